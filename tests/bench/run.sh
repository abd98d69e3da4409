#!/usr/bin/env bash
# Runs every bench and prints "name value unit" lines, with the baselines from
# the same run. Argument: folder of the programs. A bench is a program bench_X
# without arguments, or a script bench_X.sh in this folder; the programs in
# `run_by_scripts` need arguments or are for capacity.sh, and are left out.
set -uo pipefail
here=$(dirname "$0")
bin=$1
run_by_scripts=" bench_client bench_slopes bench_control bench_links bench_config_in_force "
failed=0
echo "machine_load $(cut -d ' ' -f 1 /proc/loadavg) runnable"
for source in "$here"/bench_*.c "$here"/bench_*.cc; do
  name=$(basename "${source%.*}")
  [ -e "$source" ] || continue
  [[ $run_by_scripts == *" $name "* ]] && continue
  timeout 300 "$bin/$name" || { echo "$name failed" >&2; failed=1; }
done
for script in "$here"/bench_*.sh; do
  timeout 300 bash "$script" "$bin" || { echo "$(basename "$script") failed" >&2; failed=1; }
done
exit $failed
