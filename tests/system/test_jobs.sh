#!/usr/bin/env bash
# Guards against jobs that are lost, run twice or never completed when the
# scheduler that owns the fleet is killed or stopped, an agent is killed, or the
# log is unavailable. Runs two schedulers, two agents, and the stand-ins of the
# store, which holds the log, and of the executors.
. "$(dirname "$0")/common.sh"
. "$(dirname "$0")/jobs.sh"

# Prints the state of a job as a scheduler reports it: job_state NUMBER ID.
job_state() {
  curl -s -m 2 -H 'Host: jobs.example' "http://$(address $((510 + $1)))/q/$2" |
    sed -n 's/.*"state":"\([a-z]*\)".*/\1/p'
}

# Submits a job of two steps with two tasks each and prints the HTTP status:
# submit NUMBER ID.
submit() {
  curl -s -m 3 -o "$dir/answer" -D "$dir/headers" -w '%{http_code}' -H 'Host: jobs.example' -X POST \
    "http://$(address $((510 + $1)))/q/$2" \
    -d '{"spec":"x","steps":[{"count":2,"cpu":500,"memory_limit_mb":100,"estimated_ms":300},{"count":2,"cpu":500,"memory_limit_mb":100,"depends_on":[0]}]}'
}

# Waits up to 25 s until a scheduler reports a state of a job:
# wait_for_state NUMBER ID STATE.
wait_for_state() {
  for _ in $(seq 250); do
    [ "$(job_state "$1" "$2")" = "$3" ] && return 0
    sleep 0.1
  done
  fail "job $2 is $(job_state "$1" "$2") at scheduler $1, not $3"
}

# Prints the number of the scheduler that owns the fleet, nothing without one.
fleet_owner() {
  for i in 1 2; do
    if owns_fleet "$i"; then
      echo "$i"
    fi
  done
}

# Waits up to 15 s until a scheduler owns the fleet.
wait_for_owner() {
  for _ in $(seq 150); do
    [ -n "$(fleet_owner)" ] && return 0
    sleep 0.1
  done
  fail "no scheduler owns the fleet"
}

start_store
start_scheduler 1
start_scheduler 2
for i in 1 2; do
  start_agent $i
  start_executor $i 400
done
wait_for_url "http://$(address 521)/"
wait_for_url "http://$(address 522)/"
wait_for_owner

[ "$(submit 1 0000000000000001)" = 200 ] || fail "the job was not accepted: $(cat "$dir/answer")"
[ "$(submit 2 0000000000000001)" = 200 ] || fail "the repeated job was not accepted"
wait_for_state 1 0000000000000001 completed
wait_for_state 2 0000000000000001 completed
pass "a job that is submitted twice is completed"

[ "$(curl -s -o /dev/null -w '%{http_code}' -H 'Host: jobs.example' "http://$(address 511)/q/00000000000000ff")" = 410 ] ||
  fail "an unknown job is not answered with 410"
[ "$(curl -s -o /dev/null -w '%{http_code}' -H 'Host: other.example' "http://$(address 511)/q/00000000000000ff")" = 404 ] ||
  fail "an unknown queue is not answered with 404"
[ "$(curl -s -o /dev/null -w '%{http_code}' -H 'Host: jobs.example' -X POST -d '{' "http://$(address 511)/q/00000000000000fe")" = 400 ] ||
  fail "a bad job is not answered with 400"
long=$(printf 'x%.0s' $(seq 256))
[ "$(curl -s -o /dev/null -w '%{http_code}' -H 'Host: jobs.example' -X POST "http://$(address 511)/q/00000000000000fd" \
  -d '{"spec":"x","steps":[{"count":1,"cpu":200,"memory_limit_mb":100,"image":"'"$long"'"}]}')" = 400 ] ||
  fail "a job with an image of 256 bytes is not answered with 400"
pass "requests for unknown jobs and queues and invalid jobs are rejected"

for i in 1 2 3; do
  [ "$(submit 1 "000000000000005$i")" = 200 ] || fail "the job was not accepted"
  status=$(curl -s -o /dev/null -w '%{http_code}' -H 'Host: jobs.example' -X DELETE "http://$(address 512)/q/000000000000005$i")
  [ "$status" = 200 ] || fail "a cancellation right after the job is answered with $status"
  wait_for_state 2 "000000000000005$i" cancelled
done
[ "$(curl -s -o /dev/null -w '%{http_code}' -H 'Host: jobs.example' -X DELETE "http://$(address 512)/q/00000000000000ff")" = 410 ] ||
  fail "the cancellation of an unknown job is not answered with 410"
pass "a job is cancelled by a scheduler that has not read it yet"

old_owner=$(fleet_owner)
for i in 1 2 3 4 5 6; do
  [ "$(submit $((i % 2 + 1)) "000000000000001$i")" = 200 ] || fail "job $i was not accepted"
done
kill -KILL "${scheduler[$old_owner]}"
killed_ms=$(date +%s%3N)
wait_for_owner
echo "takeover_ms $(($(date +%s%3N) - killed_ms))"
new_owner=$((3 - old_owner))
[ "$(fleet_owner)" = "$new_owner" ] || fail "the other scheduler does not own the fleet"
start_scheduler "$old_owner"
for i in 1 2 3 4 5 6; do
  wait_for_state "$new_owner" "000000000000001$i" completed
done
pass "jobs are completed although their owner was killed"

wait_for_url "http://$(address $((520 + old_owner)))/"
wait_for_state "$old_owner" 0000000000000016 completed
pass "a restarted scheduler knows the jobs"

[ "$(submit 1 0000000000000021)" = 200 ] || fail "the job was not accepted"
kill -KILL "${agent[1]}"
start_agent 1
wait_for_state 2 0000000000000021 completed
pass "a job is completed although an agent was killed"

curl -s -o /dev/null "http://$store/switch?down=1"
status=$(submit 1 0000000000000031)
[ "$status" = 503 ] || fail "a job is answered with $status while the log is unavailable"
grep -qi '^retry-after:' "$dir/headers" || fail "the rejection of a job has no Retry-After"
curl -s -o /dev/null "http://$store/switch?down=0"
for _ in $(seq 50); do
  [ "$(submit 1 0000000000000032)" = 200 ] && break
  sleep 0.1
done
wait_for_state 1 0000000000000032 completed
pass "jobs are rejected while the log is unavailable and accepted afterwards"

kill -TERM "${scheduler[1]}"
wait_for_owner
[ "$(submit 2 0000000000000041)" = 200 ] || fail "the job was not accepted"
wait_for_state 2 0000000000000041 completed
wait "${scheduler[1]}" || fail "the stopped scheduler ended with $?"
pass "after a planned stop the other scheduler owns the fleet and completes jobs"

repeated=$(grep -h '^done' "$dir"/runs-* | sed 's/ run=.*//' | sort | uniq -d)
[ -z "$repeated" ] || fail "tasks succeeded twice: $repeated"
rejected_runs=$(grep -h '^start task=0000000000000031' "$dir"/runs-* || true)
[ -z "$rejected_runs" ] || fail "a rejected job was run: $rejected_runs"
pass "no task succeeded twice, and no rejected job was run"
finish
