#!/usr/bin/env bash
# TWICE: an unhealthy executor carries some calls out and resets the channel,
# and answers others with 503. The agent's HTTP client repeats a start by
# itself after a reset; the agent takes the 503 to the repetition for the
# answer to the start, which runs. TROUBLE=0: the executor is healthy.
. "$(dirname "$0")/../common.sh"

executors=11
seconds=5

start_store
start_scheduler 1
start_scheduler 2
for number in $(seq $executors); do
  start_agent "$number"
done
# The agent of i-1 calls it at the address of its front.
start front target/review/review-front "$(address 43)" "$(address 54)" 30 20
front=$started
target/review/review-executor "$(address 54)" "$(address 10)" i-1 "$service" 16000 "$hold_max_ms" b \
  >> "$dir/runs-1" 2>> "$dir/executor-1.log" &
pids+=("$!")
start_executor 2 16000 b
for number in $(seq 3 $executors); do
  start_executor "$number" 16000 a
done
wait_until_ready
sleep 2

body='{"spec":"ms=640 cpu=240","steps":[{"count":36,"cpu":240,"memory_limit_mb":480,"estimated_ms":640,"requirements":"b"}]}'
number=0
# Hands in submissions for some seconds: traffic SECONDS.
traffic() {
  local end_ms=$(($(now_ms) + $1 * 1000))
  while [ "$(now_ms)" -lt $end_ms ]; do
    number=$((number + 1))
    id=$(printf '%016x' $((number + 4096)))
    note "POST $id: $(consumer POST $((number % 2 + 1)) "$id" "$body")"
    sleep 0.4
  done
}
traffic 2
for _ in 1 2 3; do
  if [ "$trouble" = 1 ]; then
    kill -USR1 "$front"
    note "executor i-1 fails part of its requests"
  fi
  traffic "$seconds"
  kill -USR2 "$front"
  note "executor i-1 is healthy"
  traffic 4
done
sleep 5
collect_runs
grep ' front ' "$dir/front.log" | sort -n -s -k1,1 >> "$record"
result=$(awk -f review/lib/twice.awk "$record" 2> "$dir/examples")
cat "$dir/examples" >> "$record"
read -r after beside <<< "$result"
text="$beside runs began beside another run of their task, $after of $(grep -c ' start ' "$record") starts after an end done that was taken note of"
[ "$after" = 0 ] && [ "$beside" = 0 ] && finish 0 "held: $text"
finish 1 "TWICE: $text"
