#!/usr/bin/env bash
# LOST: the owner of the fleet is killed. Its successor starts what was
# accepted meanwhile with one order for each agent, which is longer than the
# agent accepts; so it goes again and again. TROUBLE=0: the owner is not killed.
. "$(dirname "$0")/../common.sh"

# As many and as fast as in a burst of the site: 8.4 a second times 2.6.
submissions=33
tasks=36
cpu=48
capacity=32000
finish_ms=14000

start_store
for number in 1 2 3; do
  start_scheduler $number
done
for number in 1 2; do
  start_agent $number
  start_executor $number $((capacity / 2))
done
wait_until_ready
sleep 2

# 4,000 bytes, the largest spec that the pages allow.
payload="ms=400 cpu=$cpu $(printf 'x%.0s' $(seq 3986))"
body='{"spec":"'$payload'","steps":[{"count":'$tasks',"cpu":'$cpu',"memory_limit_mb":100,"estimated_ms":400}]}'
note "each submission: $tasks tasks, a spec of ${#payload} bytes"
owner=$(fleet_owner)
[ -n "$owner" ] || cannot_run "no scheduler owns the fleet"
other=$((owner % 3 + 1))
if [ "$trouble" = 1 ]; then
  kill -KILL "${scheduler[$owner]}"
  note "killed the owner of the fleet, frontend-$owner"
fi
accepted=()
for number in $(seq $submissions); do
  id=$(printf '%016x' $((number + 8192)))
  answer=$(consumer POST $other "$id" "$body")
  note "POST $id: $answer"
  [ "${answer%% *}" = 200 ] && accepted+=("$id")
  sleep 0.03
done
traffic_end_ms=$(now_ms)
[ ${#accepted[@]} -gt $((submissions / 2)) ] || cannot_run "only ${#accepted[@]} submissions were accepted"
if [ "$trouble" = 1 ]; then
  sleep 2
  start_scheduler "$owner"
  note "frontend-$owner started again"
fi
until [ "$(now_ms)" -gt $((traffic_end_ms + finish_ms + 30000)) ]; do
  sleep 1
  open=()
  for id in "${accepted[@]}"; do
    [ "$(job_state $other "$id")" = completed ] || open+=("$id")
  done
  note "$((${#accepted[@]} - ${#open[@]})) of ${#accepted[@]} completed"
  [ ${#open[@]} = 0 ] && break
done
collect_runs
[ ${#open[@]} = 0 ] && finish 0 "held: all ${#accepted[@]} submissions were completed"

# LOST, from finish_s after the end of the traffic: submissions that are not
# completed and have nothing running for 3 s, while so little of the capacity
# is in use that each would fit twice, and under half of it.
printf '%s\n' "${open[@]}" > "$dir/open"
result=$(awk -v from=$((traffic_end_ms + finish_ms)) -v to="$(now_ms)" -v cpu=$cpu '
  FILENAME ~ /open$/ { open[$1] = 1; next }
  $3 ~ /^(start|done|stopped|lapsed)$/ {
    split($4, part, /[=.]/)
    if ($3 == "start") { used += cpu; running[part[2]]++ } else { used -= cpu; running[part[2]]-- }
    if ($1 >= from && used > most) most = used
    if ($1 >= from && $3 == "start" && running[part[2]] == 1) {
      gap = $1 - (part[2] in idle && idle[part[2]] > from ? idle[part[2]] : from)
      if (gap > longest[part[2]]) longest[part[2]] = gap
    }
    if (running[part[2]] == 0) idle[part[2]] = $1
  }
  END {
    for (id in open) {
      gap = running[id] > 0 ? 0 : to - (id in idle && idle[id] > from ? idle[id] : from)
      if (gap > longest[id]) longest[id] = gap
      if (longest[id] >= 3000) lost++
    }
    print lost + 0, most + 0
  }' "$dir/open" "$record")
read -r lost most <<< "$result"
text="${#open[@]} of ${#accepted[@]} accepted submissions not completed; $lost of them had nothing running for 3 s or more from 14 s after the end of the traffic, while at most $most of $capacity thousandths of a core were in use"
[ "$lost" -gt 0 ] && [ $((most * 2)) -lt $capacity ] && [ $((most + 2 * tasks * cpu)) -lt $capacity ] && finish 1 "LOST: $text"
finish 0 "held: $text"
