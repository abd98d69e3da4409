#!/usr/bin/env bash
# Guards against a POST that runs twice or is reported as not run although it
# ran, when the connection of a sidecar goes silent, a sidecar is killed or
# drained under load, or the connection to the upstream is cut; and against
# requests beyond the capacity that are rejected late.
. "$(dirname "$0")/common.sh"

entry_url=http://$(address 180)/svc

# Starts a sidecar: start_sidecar NUMBER SERVICE ENTRIES UPSTREAM. Its process
# id is then in $started.
start_sidecar() {
  cat > "$dir/sidecar-$1.ini" << INI
[daemon]
role = sidecar
name = sidecar-$1
[sidecar]
service = $2
upstream_address = $4
entries = $3
INI
  start "sidecar-$1" magnoliabarrowd -c "$dir/sidecar-$1.ini"
}

# Starts a TCP relay: start_relay NUMBER FROM TO. It reads its commands from the
# named pipe $dir/relay-NUMBER.
start_relay() {
  mkfifo "$dir/relay-$1"
  "$bin/standin-relay" -l "$2" -t "$3" <> "$dir/relay-$1" > "$dir/relay-$1.out" 2>> "$dir/relay-$1.log" &
  pids+=("$!")
}

# Sends POSTs, each with its own body: send_posts NAME COUNT PARALLEL PATH. The
# results are then in $dir/NAME, a line "body status run seconds" each; run is
# "r" and the value of X-Magnoliabarrow-Run.
send_posts() {
  local i
  for i in $(seq "$2"); do
    [ "$i" = 1 ] || echo next
    printf 'url = "%s"\ndata = "%s-%s"\noutput = "/dev/null"\n' "$entry_url/$4" "$1" "$i"
    printf 'write-out = "%s-%s %%{http_code} r%%header{x-magnoliabarrow-run} %%{time_total}\\n"\n' "$1" "$i"
  done > "$dir/$1.cfg"
  curl -s --no-progress-meter --parallel --parallel-immediate --parallel-max "$3" -K "$dir/$1.cfg" > "$dir/$1" || true
}

# Checks that each of COUNT requests got an answer that agrees with the runs in
# the upstreams' journals: check_answers NAME COUNT.
check_answers() {
  sort "$dir"/journal-* | uniq -c | awk '{print $3, $1}' > "$dir/ran"
  awk -v want="$2" '
    NR == FNR { ran[$1] = $2; next }
    { n++; runs = ran[$1] + 0; seen[$2]++
      if (runs > 1) { print "ran " runs " times: " $0; bad = 1 }
      if ($2 == 200 && runs != 1) { print "answered but ran " runs " times: " $0; bad = 1 }
      if ($3 == "rno" && runs != 0) { print "not run but ran: " $0; bad = 1 }
      if ($2 == "000") { print "no answer: " $0; bad = 1 } }
    END { for (code in seen) printf "  %s: %d", code, seen[code]; print ""
          if (n != want) { print "answers: " n; bad = 1 }
          exit bad }' "$dir/ran" "$dir/$1" || fail "$1: an answer disagrees with the journals"
}

cat > "$dir/entry.ini" << INI
[daemon]
role = entry
name = entry-1
[entry]
client_address = $(address 180)
link_address = $(address 170)
INI
start entry magnoliabarrowd -c "$dir/entry.ini"
for n in 1 2; do
  start "upstream-$n" standin-upstream -l "$(address $((190 + n)))" -t 16 -j "$dir/journal-$n"
done
start_relay 1 "$(address 171)" "$(address 170)"
start_relay 2 "$(address 195)" "$(address 192)"
start_sidecar 1 echo "$(address 171)" "$(address 191)"
sidecar1_pid=$started
start_sidecar 2 echo "$(address 170)" "$(address 192)"
sidecar2_pid=$started
start_sidecar 3 cutoff "$(address 170)" "$(address 195)"
wait_for_url "$entry_url/echo/ready"
wait_for_url "$entry_url/cutoff/ready"
sleep 0.3

send_posts silent 600 8 echo/sleep/40 & client=$!
sleep 0.7
echo silent > "$dir/relay-1"
wait "$client"
check_answers silent 600
[ "$(awk '$2 == 200' "$dir/silent" | wc -l)" -ge 590 ] || fail "requests were lost with the silent connection"
grep -q 'link replaced' "$dir/entry.log" || fail "the silent connection was not replaced"
pass "POSTs over a connection that goes silent run once and are answered"

sleep 4
send_posts killed 600 8 echo/sleep/40 & client=$!
sleep 0.7
kill -KILL "$sidecar1_pid"
wait "$client"
check_answers killed 600
grep -q killed "$dir/journal-1" || fail "the killed sidecar had no request"
[ "$(awk '$2 == 504 || $2 == 502' "$dir/killed" | wc -l)" -le 8 ] || fail "too many unknown outcomes"
pass "at most the 8 POSTs in flight have an unknown outcome when a sidecar is killed"

start_sidecar 4 echo "$(address 170)" "$(address 191)"
sleep 0.5
send_posts drained 900 8 echo/sleep/40 & client=$!
sleep 0.7
kill -TERM "$sidecar2_pid"
wait "$sidecar2_pid" || fail "the drained sidecar ended with $?"
wait "$client"
check_answers drained 900
[ "$(awk '$2 == 200' "$dir/drained" | wc -l)" = 900 ] || fail "a request failed during a drain"
pass "no request fails while a sidecar drains under load"

send_posts flood 200 200 echo/sleep/300
check_answers flood 200
awk '$2 == 429 || $2 == 503 { if ($4 > 1.5) late++; rejected++ }
     END { exit !(rejected > 0 && late == 0) }' "$dir/flood" || fail "requests beyond the capacity were not rejected within 1.5 s"
pass "requests beyond the capacity are rejected within 1.5 s and not run"

curl -fs -o /dev/null -d warm "$entry_url/cutoff/" || fail "no answer through the relay"
curl -s -o /dev/null -w '%{http_code}' -d once "$entry_url/cutoff/sleep/1500" > "$dir/once" & client=$!
sleep 0.5
echo cut > "$dir/relay-2"
wait "$client"
sleep 1.5
[ "$(cat "$dir/once")" = 502 ] || fail "a cut upstream connection gave $(cat "$dir/once")"
[ "$(grep -c once "$dir/journal-2")" = 1 ] || fail "a POST ran $(grep -c once "$dir/journal-2") times"
pass "a POST is not repeated when its upstream connection is cut"
finish
