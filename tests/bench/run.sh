#!/usr/bin/env bash
# Runs every bench and prints "name value unit" lines, each with its baseline
# from the same run. Arguments: folder of the programs. A bench is a program
# bench_X without arguments, or a script bench_X.sh in this folder; the
# programs in `parts` are run by scripts.
set -uo pipefail
here=$(dirname "$0")
bin=$1
parts=" bench_client bench_slopes bench_control bench_links bench_config_in_force "
failed=0
echo "machine_load $(cut -d ' ' -f 1 /proc/loadavg) runnable"
for source in "$here"/bench_*.c "$here"/bench_*.cc; do
  name=$(basename "${source%.*}")
  [ -e "$source" ] || continue
  [[ $parts == *" $name "* ]] && continue
  timeout 300 "$bin/$name" || { echo "$name failed" >&2; failed=1; }
done
for script in "$here"/bench_*.sh; do
  timeout 300 bash "$script" "$bin" || { echo "$(basename "$script") failed" >&2; failed=1; }
done
exit $failed
