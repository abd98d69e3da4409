#!/usr/bin/env bash
# Measures the latency that entry and sidecar add to a request, and the requests
# per second and processor time of one entry with 4 threads. Prints "name value
# unit" lines; the baseline is the same client with a direct connection to an
# upstream. Argument: folder of the programs.
# BENCH_REQUESTS: requests of one run (default 40000); BENCH_SIDECARS: pairs
# of sidecar and upstream (default 4).
. "$(dirname "$0")/../system/common.sh"
requests=${BENCH_REQUESTS:-40000}
sidecars=${BENCH_SIDECARS:-4}

# Prints one result of a bench_client run: get_result FILE NAME.
get_result() {
  awk -v name="$2" '$1 == name { print $2 }' "$1"
}

# Runs bench_client and keeps its output: run_client FILE ARGS...
run_client() {
  local out=$1
  shift
  "$bin/bench_client" "$@" > "$out" 2>> "$dir/client.log" || fail "bench_client $* $(cat "$out")"
}

# Prints $1 - $2.
difference() {
  awk -v a="$1" -v b="$2" 'BEGIN { printf "%.1f", a - b }'
}

cat > "$dir/entry.ini" <<INI
[daemon]
role = entry
name = entry-1
log_level = error
[entry]
client_address = $(address 80)
link_address = $(address 70)
http_threads = 2
link_threads = 2
INI
start entry magnoliabarrowd -c "$dir/entry.ini"
entry=$started
for i in $(seq "$sidecars"); do
  cat > "$dir/sidecar$i.ini" <<INI
[daemon]
role = sidecar
name = sidecar-$i
log_level = error
[sidecar]
service = echo
upstream_address = $(address $((90 + i)))
entries = $(address 70)
slots = 64
INI
  start "upstream$i" standin-upstream -l "$(address $((90 + i)))" -t 2
  start "sidecar$i" magnoliabarrowd -c "$dir/sidecar$i.ini"
done
wait_for_url "http://$(address 80)/svc/echo/"
sleep 1

proxied=(-a "$(address 80)" -p /svc/echo/)
direct=(-a "$(address 91)" -p /)
run_client "$dir/warm" "${proxied[@]}" -n 4000 -c 32 -t 2
run_client "$dir/warm" "${direct[@]}" -n 4000 -c 32 -t 2
cpu_before=$(awk '{ print $14 + $15 }' "/proc/$entry/stat")
run_client "$dir/full" "${proxied[@]}" -n "$requests" -c 64 -t 2
cpu_after=$(awk '{ print $14 + $15 }' "/proc/$entry/stat")
run_client "$dir/full.direct" "${direct[@]}" -n "$requests" -c 64 -t 2
rate=$(($(get_result "$dir/full" throughput_per_s) / 2))
run_client "$dir/half" "${proxied[@]}" -n "$requests" -c 64 -t 2 -r "$rate"
run_client "$dir/half.direct" "${direct[@]}" -n "$requests" -c 64 -t 2 -r "$rate"

for q in p50 p99; do
  proxied_us=$(get_result "$dir/half" ${q}_us)
  direct_us=$(get_result "$dir/half.direct" ${q}_us)
  echo "request_added_${q}_us $(difference "$proxied_us" "$direct_us") us"
  echo "request_added_${q}_us_baseline $direct_us us"
done
echo "request_throughput_per_s $(get_result "$dir/full" throughput_per_s) /s"
echo "request_throughput_per_s_baseline $(get_result "$dir/full.direct" throughput_per_s) /s"
awk -v ticks=$((cpu_after - cpu_before)) -v hz="$(getconf CLK_TCK)" -v n="$requests" \
  'BEGIN { printf "request_entry_cpu_us %.1f us\n", ticks / hz * 1e6 / n }'
