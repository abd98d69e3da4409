#!/usr/bin/env bash
# Guards against tasks that run twice at a time: the owner of the fleet can't
# read the log any more, its successor runs what it had started, and an agent
# that comes back without the successor's token obeys the former owner. Runs two
# schedulers, three agents and executors, and the stand-in of the store, which
# the first scheduler reaches through a relay.
. "$(dirname "$0")/common.sh"
. "$(dirname "$0")/jobs.sh"

relay=$(address 501)
# A task runs for longer than the test.
task_ms=30000

# Tells whether the executors have started a number of runs.
has_started() {
  [ "$(cat "$dir"/runs-* | grep -c '^start')" -ge "$1" ]
}

# Tells whether a scheduler answers that it does not own the fleet.
has_lost_fleet() {
  curl -s -m 1 "http://$(address $((530 + $1)))/metrics" | grep '^[a-z_]*fleet_owner 0' > /dev/null
}

start_store
mkfifo "$dir/relay-commands"
"$bin/standin-relay" -l "$relay" -t "$store" <> "$dir/relay-commands" > "$dir/relay.out" 2>> "$dir/relay.log" &
relay_process=$!
pids+=("$relay_process")
for number in 1 2 3; do
  start_agent $number
  start_executor $number $task_ms
done
start_scheduler 1 "$relay"
wait_for_url "http://$(address 521)/"
wait_until "the first scheduler does not own the fleet" owns_fleet 1
start_scheduler 2
wait_for_url "http://$(address 522)/"

tasks=12
status=$(curl -s -m 3 -o /dev/null -w '%{http_code}' -H 'Host: jobs.example' -X POST "http://$(address 511)/q/0000000000000001" \
  -d '{"spec":"x","steps":[{"count":'$tasks',"cpu":500,"memory_limit_mb":100,"estimated_ms":'$task_ms'}]}')
[ "$status" = 200 ] || fail "the job was answered with $status"
wait_until "the tasks do not start" has_started $tasks
grep -q '^start' "$dir/runs-1" "$dir/runs-2" || fail "nothing runs at the executors that stay"

kill -STOP "$relay_process"
wait_until "the second scheduler does not take over" owns_fleet 2
pass "another scheduler takes over from an owner that can't read the log"

# The leases that the former owner granted end 5.2 s after the last reports, its
# own lease 10 s after its latest read. The successor is paused, so that the
# agent that starts again is found by the former owner first.
sleep 5.7
kill -STOP "${scheduler[2]}"
kill -KILL "${agent[3]}" "${executor[3]}"
start_agent 3
start_executor 3 $task_ms
sleep 1.3
kill -CONT "${scheduler[2]}"
sleep 1.5
# A start is a fault if an earlier run of the task has not ended by then. On a
# busy machine the takeover may take longer than the leases: the runs have then
# ended, and their tasks may start again.
twice=$(awk -f "$(dirname "$0")/check_runs.awk" "$dir"/runs-*) || fail "tasks that run were started again: $twice"
pass "the former owner starts nothing that its successor runs"

kill -CONT "$relay_process"
wait_until "the first scheduler still takes itself for the owner" has_lost_fleet 1
lost=$(grep -c '^\(lapsed\|stopped\)' "$dir/runs-1" "$dir/runs-2" | grep -v ':0$' || true)
[ -z "$lost" ] || fail "runs of the first owner were lost: $lost"
pass "the runs go on under the successor"
finish
