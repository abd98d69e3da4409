#!/usr/bin/env bash
# Measures how long a write at one entry takes until it is in force at another
# one; prints config_in_force_p50_ms and _p99_ms over 1,000 writes. Argument:
# folder of the programs.
. "$(dirname "$0")/../system/common.sh"

for i in 1 2; do
  cat > "$dir/entry-$i.ini" << INI
[daemon]
role = entry
name = entry-$i
log_level = warning
[entry]
client_address = $(address $((180 + i)))
link_address = $(address $((170 + i)))
[log]
address = $(address 110)
[api]
address = $(address $((120 + i)))
INI
done
start log standin-log -l "$(address 110)"
for i in 1 2; do
  start "entry$i" magnoliabarrowd -c "$dir/entry-$i.ini"
  wait_for_url "http://$(address $((120 + i)))/healthz"
done
"$bin/bench_config_in_force" "$(address 121)" "$(address 122)" || fail "bench_config_in_force"
