#!/usr/bin/env bash
# Guards against a POST that runs twice or is reported as not run although it
# ran, a client that gets the answer to another request or an error from a
# planned stop, requests for an upstream whose sidecar has drained, and a
# configuration that is lost or goes back to an older revision. Clients and a
# writer of the configuration run while every process is replaced, killed and
# paused, connections fail and the log is unavailable. SEED sets the order of
# the faults, ROUNDS (default 1) how often the whole sequence runs.
. "$(dirname "$0")/common.sh"

seed=${SEED:-20261204}
rounds=${ROUNDS:-1}
echo "seed $seed rounds $rounds"
RANDOM=$seed
log=$(address 310)
declare -A pid=()

# Starts entry-N or sidecar-N and waits until it is ready: start_daemon NAME.
start_daemon() {
  start "$1" magnoliabarrowd -c "$dir/$1.ini"
  pid[$1]=$started
  wait_for_url "http://${api[$1]}/healthz"
}

# Sets fault switches of the stand-in log: set_log_fault QUERY.
set_log_fault() {
  curl -fs -o /dev/null -X POST -d '' "http://$log/admin/set?$1"
}

# Writes the numbers of the healthy entries to $dir/healthy every 50 ms, as the
# health checks of a load balancer would.
check_entry_health() {
  local i
  while [ ! -e "$dir/end" ]; do
    for i in 1 2; do
      if curl -fs -m 0.3 -o /dev/null "http://${api[entry-$i]}/healthz"; then
        echo "$i"
      fi
    done > "$dir/healthy.new"
    mv "$dir/healthy.new" "$dir/healthy"
    sleep 0.05
  done
}

# Sends requests one after the other, to the healthy entries in turn; when the
# connection is refused, to the other entry: run_client NUMBER. Writes a line
# "id method phases status run complete entry curl" for each to
# $dir/answers.NUMBER: phases at the start and the end of the request; run is
# "r" and the value of X-Magnoliabarrow-Run; complete is yes when the response
# is the whole response to this request; curl has curl's exit code.
run_client() {
  local n=0 id method entries entry phase code complete run
  local arguments
  while [ ! -e "$dir/end" ]; do
    n=$((n + 1))
    id=c$1-$n
    method=POST
    arguments=(-d "$id")
    [ $((n % 3)) = 0 ] && method=GET && arguments=()
    phase=$(cat "$dir/phase")
    mapfile -t entries < "$dir/healthy"
    entry=${entries[0]:-1}
    [ $((n % 2)) = 0 ] && entry=${entries[1]:-$entry}
    for entry in "$entry" $((3 - entry)); do
      code=0
      run=$(curl -s -m 8 -o "$dir/body.$1" -w '%{http_code} r%header{x-magnoliabarrow-run}' "${arguments[@]}" \
        "http://$(address $((380 + entry)))/svc/echo/sleep/20?$id") || code=$?
      [ "$code" = 7 ] || break
    done
    complete=no
    if [ "$method" = POST ]; then
      grep -qs "\"body\":\"$id\"}\$" "$dir/body.$1" && complete=yes
    else
      grep -qs "?$id\",\"body\":\"\"}\$" "$dir/body.$1" && complete=yes
    fi
    echo "$id $method $phase-$(cat "$dir/phase") $run $complete entry-$entry curl-$code" >> "$dir/answers.$1"
    rm -f "$dir/body.$1"
    [ "$code" = 0 ] || sleep 0.1
  done
}

# Writes new resources one after the other, at a healthy entry, and appends a
# line "name status revision" for each to $dir/writes.
run_writer() {
  local n=0 entry
  while [ ! -e "$dir/end" ]; do
    n=$((n + 1))
    entry=$(shuf -n 1 "$dir/healthy" || true)
    echo "n$n $(curl -s -m 12 -o "$dir/write" -w '%{http_code}' -X PUT -d '{"spec":{"quota":{},"weight":1}}' \
      "http://${api[entry-${entry:-1}]}/v1/team/n$n?revision=0") $(grep -o '"revision":[0-9]*' "$dir/write" |
        tr -dc 0-9)" >> "$dir/writes" || true
    sleep 0.2
  done
}

# Appends a line to $dir/backwards whenever the revision in force of a process
# is lower than before: watch_revision NAME. A process that is being replaced
# may start again at any revision.
watch_revision() {
  local last=0 now
  while [ ! -e "$dir/end" ]; do
    now=$(curl -fs -m 1 "http://${api[$1]}/metrics" 2> /dev/null | sed -n 's/^mb_config_revision \([0-9]*\).*/\1/p') || true
    if [ -e "$dir/replacing.$1" ]; then
      last=0
    elif [ -n "$now" ]; then
      [ "$now" -ge "$last" ] || echo "$1 from $last to $now" >> "$dir/backwards"
      last=$now
    fi
    sleep 0.1
  done
}

# Stops a process with a signal and starts it again: replace_process NAME
# SIGNAL. The upstream of a sidecar that is stopped with TERM must get no
# request from 2 s after the sidecar's DRAIN message.
replace_process() {
  local journal=$dir/journal-${1#sidecar-} before after
  kill -0 "${pid[$1]}" 2> /dev/null || fail "$1 had ended before it was stopped"
  touch "$dir/replacing.$1"
  sleep 0.2
  kill "-$2" "${pid[$1]}"
  if [ "$2" = TERM ] && [[ $1 == sidecar-* ]]; then
    sleep 2.1
    before=$(wc -l < "$journal")
    wait "${pid[$1]}" || fail "$1 exit code $?"
    sleep 0.5
    after=$(wc -l < "$journal")
    [ "$before" = "$after" ] || fail "$1 got $((after - before)) requests 2 s after its DRAIN"
  elif [ "$2" = TERM ]; then
    wait "${pid[$1]}" || fail "$1 exit code $?"
  else
    wait "${pid[$1]}" 2> /dev/null || true
  fi
  start_daemon "$1"
  sleep 1.5
  rm "$dir/replacing.$1"
}

declare -A api=()
for i in 1 2; do
  api[entry-$i]=$(address $((320 + i)))
  cat > "$dir/entry-$i.ini" << INI
[daemon]
role = entry
name = entry-$i
[entry]
client_address = $(address $((380 + i)))
link_address = $(address $((370 + i)))
[log]
address = $log
retention_ms = 60000
[api]
address = ${api[entry-$i]}
INI
done
for i in 1 2 3; do
  api[sidecar-$i]=$(address $((330 + i)))
  cat > "$dir/sidecar-$i.ini" << INI
[daemon]
role = sidecar
name = sidecar-$i
[sidecar]
service = echo
upstream_address = $(address $((390 + i)))
[log]
address = $log
retention_ms = 60000
[api]
address = ${api[sidecar-$i]}
INI
  start "upstream-$i" standin-upstream -l "$(address $((390 + i)))" -j "$dir/journal-$i"
done
# The third sidecar reaches both entries through relays.
sed -i "s/^service.*/&\nentries = $(address 375), $(address 376)/" "$dir/sidecar-3.ini"
for i in 1 2; do
  mkfifo "$dir/relay-$i"
  "$bin/standin-relay" -l "$(address $((374 + i)))" -t "$(address $((370 + i)))" <> "$dir/relay-$i" > "$dir/relay-$i.out" &
  pids+=("$!")
done
start log standin-log -l "$log" -r 60000
processes=(entry-1 entry-2 sidecar-1 sidecar-2 sidecar-3)
for name in "${processes[@]}"; do
  start_daemon "$name"
done
for i in 1 2; do
  wait_for_url "http://$(address $((380 + i)))/svc/echo/ready"
done
sleep 1.5

echo steady > "$dir/phase"
printf '1\n2\n' > "$dir/healthy"
running=()
check_entry_health & running+=("$!")
for i in 1 2 3 4; do
  run_client "$i" & running+=("$!")
done
run_writer & running+=("$!")
for name in "${processes[@]}"; do
  watch_revision "$name" & running+=("$!")
done
pids+=("${running[@]}")
sleep 1
for ((round = 0; round < rounds; round++)); do
  echo planned > "$dir/phase"
  for name in "${processes[@]}"; do
    replace_process "$name" TERM
  done
  echo faults > "$dir/phase"
  for name in $(shuf -e "${processes[@]}" --random-source=<(yes "$seed-$round")); do
    replace_process "$name" KILL
  done
  for name in "entry-$((1 + RANDOM % 2))" "sidecar-$((1 + RANDOM % 3))"; do
    kill -STOP "${pid[$name]}"
    sleep $((3 + RANDOM % 2))
    kill -CONT "${pid[$name]}"
    sleep 1
  done
  for command in silent 'delay 100' cut 'delay 0'; do
    echo "$command" > "$dir/relay-$((1 + RANDOM % 2))"
    sleep 1
  done
  echo 'delay 0' > "$dir/relay-1"
  echo 'delay 0' > "$dir/relay-2"
  for switch in outage=503 'outage=off&lose_acks=2' outage=silent 'outage=off&delay_ms=200'; do
    set_log_fault "$switch"
    sleep 1.5
  done
  set_log_fault 'outage=off&delay_ms=0&lose_acks=0'
  sleep 3
done
for name in "${processes[@]}"; do
  kill -0 "${pid[$name]}" 2> /dev/null || fail "$name has ended by itself"
done
touch "$dir/end"
wait "${running[@]}"
sleep 6

sort "$dir"/journal-* | awk '$1 == "POST" { n[$2]++ } END { for (id in n) print id, n[id] }' > "$dir/ran"
cat "$dir"/answers.* > "$dir/answers"
awk '
  NR == FNR { ran[$1] = $2; next }
  { n++; seen[$3 " " $4]++; why = ""
    if ($2 == "POST" && ran[$1] > 1) why = "ran " ran[$1] " times"
    if ($2 == "POST" && $4 == 200 && ran[$1] != 1) why = "answered but did not run"
    if ($4 == 200 && $6 != "yes") why = "answered with an incomplete response or that of another request"
    if ($2 == "POST" && $5 == "rno" && ran[$1] > 0) why = "reported as not run but ran"
    if ($3 !~ /faults/ && $4 != 200) why = "failed during a planned stop"
    if (why != "") { print why ": " $0; bad++ } }
  END { for (key in seen) print "  " key ": " seen[key]
        print "  requests: " n
        exit n == 0 || bad > 0 }' "$dir/ran" "$dir/answers" || fail "answers and journals disagree"
pass "POSTs run at most once, answers match the runs and no request fails in planned stops"
[ ! -e "$dir/backwards" ] || fail "a revision in force decreased: $(cat "$dir/backwards")"
for name in "${processes[@]}"; do
  curl -fs "http://${api[$name]}/v1/team" | grep -o '"name":"n[0-9]*"' | sort > "$dir/state.$name" || true
  cmp "$dir/state.entry-1" "$dir/state.$name" || fail "$name and entry-1 have different teams"
done
awk 'NR == FNR { there[$0] = 1; next }
  { present = ("\"name\":\"" $1 "\"") in there; seen[$2]++
    if ($2 == 200 && !present || $2 == 503 && present) { print (present ? "there: " : "lost: ") $0; bad = 1 } }
  END { for (code in seen) print "  writes answered " code ": " seen[code]; exit bad || seen[200] == 0 }' \
  "$dir/state.entry-1" "$dir/writes" || fail "the configuration disagrees with the answers to the writes"
pass "all processes have the accepted configuration and no revision decreased"
finish
