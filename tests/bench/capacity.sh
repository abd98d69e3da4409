#!/usr/bin/env bash
# Measures the slopes of docs/CAPACITY.md: how memory, time and bytes grow with
# the size of the fleet. Fits y = a + b x to each by least squares, draws an SVG
# of each into docs/plots and replaces the tables between the page's markers.
# The error of a fit is given as the root mean square and the largest of the
# residuals. Argument: folder of the programs.
. "$(dirname "$0")/../system/common.sh"
docs=$(cd "$(dirname "$0")/../../docs" && pwd)
mkdir -p "$docs/plots"

cat > "$dir/entry.ini" <<INI
[daemon]
role = entry
name = entry-1
log_level = error
[entry]
client_address = $(address 80)
link_address = $(address 70)
INI
start entry magnoliabarrowd -c "$dir/entry.ini"
sleep 0.5
"$bin/bench_links" "$(address 70)" "$started" > "$dir/points" || fail "bench_links"
kill -TERM "$started"
"$bin/bench_slopes" >> "$dir/points" || fail "bench_slopes"
"$bin/bench_control" >> "$dir/points" || fail "bench_control"

# Prints the processor time of a process in clock ticks of 10 ms.
cpu_ticks() {
  awk '{ print $14 + $15 }' "/proc/$1/stat"
}

# Prints a value of /proc/PID/status in KiB: status_kib PID NAME.
status_kib() {
  awk -v k="$2:" '$1 == k { print $2 }' "/proc/$1/status"
}

# Processor time and memory of an idle entry and of its first sidecar, with 0 to
# 64 sidecars that send only heartbeats and credits.
heartbeat_window_s=10
start upstream standin-upstream -l "$(address 91)" -t 2
sed "s/entry-1/entry-2/; s/$(address 80)/$(address 81)/; s/$(address 70)/$(address 71)/" "$dir/entry.ini" \
  > "$dir/entry2.ini"
start entry2 magnoliabarrowd -c "$dir/entry2.ini"
entry=$started
sidecar=
attached=0
for count in 0 16 32 64; do
  while [ "$attached" -lt "$count" ]; do
    attached=$((attached + 1))
    cat > "$dir/sidecar$attached.ini" <<INI
[daemon]
role = sidecar
name = sidecar-$attached
log_level = error
[sidecar]
service = echo
upstream_address = $(address 91)
entries = $(address 71)
slots = 8
INI
    start "sidecar$attached" magnoliabarrowd -c "$dir/sidecar$attached.ini"
    sidecar=${sidecar:-$started}
  done
  sleep 2
  before=$(cpu_ticks "$entry")
  sidecar_before=$([ -z "$sidecar" ] || cpu_ticks "$sidecar")
  sleep "$heartbeat_window_s"
  awk -v n="$count" -v t=$(($(cpu_ticks "$entry") - before)) -v s="$heartbeat_window_s" \
    'BEGIN { printf "heartbeat_cpu %d %.4f\n", n, t / s }' >> "$dir/points"
  echo "entry_kib $count $(status_kib "$entry" VmRSS)" >> "$dir/points"
done
{
  awk -v t=$(($(cpu_ticks "$sidecar") - sidecar_before)) -v s="$heartbeat_window_s" \
    'BEGIN { printf "fixed sidecar_idle_cpu_percent %.2f\n", t / s }'
  echo "fixed sidecar_idle_kib $(status_kib "$sidecar" VmRSS)"
  echo "fixed sidecar_peak_kib $(status_kib "$sidecar" VmHWM)"
} >> "$dir/points"

# Bytes of the HTTP headers of one sync request and response, as libcurl sends
# them.
start worker standin-worker -l "$(address 60)"
printf '\x97\x01\x00\x00\x90\x90\x90\x90' > "$dir/sync"
sleep 0.5
curl -fs -A '' -H 'Content-Type: application/msgpack' --data-binary @"$dir/sync" -o /dev/null \
  -w 'fixed sync_request_headers %{size_request}\nfixed sync_response_headers %{size_header}\n' \
  "http://$(address 60)/v1/sync" > "$dir/headers" || fail "sync"
cat "$dir/headers" >> "$dir/points"
# Bytes of one read from a stream of the log.
start log standin-log -l "$(address 61)"
sleep 0.5
curl -s -A '' -o /dev/null -w 'fixed read_request %{size_request}\nfixed read_response_headers %{size_header}\nfixed read_body %{size_download}\n' \
  "http://$(address 61)/v1/streams/members/records?from=123456&max=4096&wait_ms=0" >> "$dir/points"

# Fits one slope, prints its table row and draws its plot:
# add_slope NAME X-LABEL Y-LABEL.
add_slope() {
  local name=$1 x=$2 y=$3
  awk -v n="$name" '$1 == n { print $2, $3 }' "$dir/points" > "$dir/$name.dat"
  [ -s "$dir/$name.dat" ] || fail "no points of $name"
  read -r a b rms worst < <(awk '{ x[NR] = $1; y[NR] = $2; sx += $1; sy += $2; sxx += $1 * $1; sxy += $1 * $2 }
    END { b = (NR * sxy - sx * sy) / (NR * sxx - sx * sx); a = (sy - b * sx) / NR
      for (i = 1; i <= NR; i++) { r = y[i] - a - b * x[i]; q += r * r; r = r < 0 ? -r : r; w = r > w ? r : w }
      printf "%.6g %.6g %.3g %.3g\n", a, b, sqrt(q / NR), w }' "$dir/$name.dat")
  echo "$name $a $b" >> "$dir/fits"
  gnuplot <<PLOT
set terminal svg size 640,400
set output "$docs/plots/$name.svg"
set xlabel "$x"
set ylabel "$y"
set key left top
set grid
plot "$dir/$name.dat" with points pointtype 7 title "measured", $a + ($b) * x title sprintf("%g + %g x", $a, $b)
PLOT
  echo "| $name | $x | $y | $a | $b | $rms | $worst | $(tr '\n' ';' < "$dir/$name.dat" | sed 's/;$//; s/;/, /g; s/ \([0-9.]*\)/: \1/g; s/,: */, /g') |"
}

{
  echo "| slope | x | y | y at 0 | y per x | rms residual | largest residual | points (x: y) |"
  echo "| --- | --- | --- | --- | --- | --- | --- | --- |"
  add_slope frame_bytes "bytes of body" "bytes of a REQUEST frame"
  add_slope frame_us "bytes of body" "us to encode and decode a REQUEST"
  add_slope publish_us "sidecars" "us to publish one routing version"
  add_slope table_bytes "sidecars" "bytes of targets and one routing version"
  add_slope link_kib "links" "KiB resident in an entry"
  add_slope heartbeat_cpu "sidecars" "percent of a core in an idle entry"
  add_slope entry_kib "sidecars" "KiB resident in an idle entry"
  add_slope resource_bytes "workers" "bytes of worker resources"
  add_slope config_bytes "workers" "bytes of the table of resources"
  add_slope config_put_us "workers" "us to decode and put one record"
  add_slope config_stream_bytes "workers" "bytes of the records of workers"
  add_slope placement_bytes "workers" "bytes of the placement index"
  add_slope shard_bytes "tasks" "bytes of a shard"
  add_slope shard_start_us "tasks" "us to apply one start"
  add_slope snapshot_bytes "tasks" "bytes of a snapshot of a shard"
  add_slope tail_bytes "tasks" "bytes of the records of their starts"
  add_slope dispatch_us "teams" "us of one decision"
  add_slope request_bytes "starts" "bytes of a sync request"
  add_slope response_bytes "running tasks" "bytes of a sync response without usage"
  add_slope usage_bytes "running tasks" "bytes of a sync response with usage"
  add_slope starts_bytes "starts" "bytes of a record of starts"
  add_slope finishes_bytes "finishes" "bytes of a record of finishes"
} > "$dir/table" || fail "slopes"
{
  echo
  echo "| value | measured |"
  echo "| --- | --- |"
  awk '$1 == "fixed" { print "| " $2 " | " $3 " |" }' "$dir/points"
} >> "$dir/table"
awk -f "$(dirname "$0")/capacity_derived.awk" "$dir/fits" "$dir/points" > "$dir/derived" || fail "derived figures"

page=$docs/CAPACITY.md
# Replaces the text of the page between two markers: replace_section NAME FILE.
replace_section() {
  grep -q "<!-- $1 -->" "$page" || fail "no marker $1 in CAPACITY.md"
  awk -v name="$1" -v file="$2" '
    $0 == "<!-- " name " -->" { print; while ((getline line < file) > 0) print line; skip = 1; next }
    $0 == "<!-- end " name " -->" { skip = 0 }
    !skip { print }' "$page" > "$dir/page"
  cp "$dir/page" "$page"
}
replace_section measured "$dir/table"
replace_section derived "$dir/derived"
cat "$dir/table" "$dir/derived"
