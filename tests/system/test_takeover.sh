#!/usr/bin/env bash
# Guards against a task that runs twice or is lost when the owner of the shard
# is killed, is paused for longer than its lease and then resumes, or is
# stopped as planned; and against a takeover that takes too long.
. "$(dirname "$0")/common.sh"
. "$(dirname "$0")/shard.sh"
start_cluster

# Prints the time in milliseconds.
now_ms() {
  echo $(($(date +%s%N) / 1000000))
}

apply_job "$owner" killed 60 1000 "sleep 500"
wait_for_job_field 10 "$owner" killed running 12
sleep 0.7
killed_owner=$owner
kill -KILL "${pid[entry-$killed_owner]}"
begin_ms=$(now_ms)
wait_for_owner 10 "$other"
took_ms=$(($(now_ms) - begin_ms))
wait_for_job_field 25 "$owner" killed finished 60
check_journals finished=60
echo "takeover after SIGKILL: $took_ms ms, lease 1500 ms"
[ "$took_ms" -lt 4000 ] || fail "takeover after SIGKILL took $took_ms ms"
pass "after the owner was killed every task completes once"

start_entry "$killed_owner"
wait_for_url "http://$(address $((20 + killed_owner)))/healthz"
sleep 1
apply_job "$owner" planned 30 1000 "sleep 500"
wait_for_job_field 10 "$owner" planned running 12
stopped_owner=$owner
kill -TERM "${pid[entry-$stopped_owner]}"
begin_ms=$(now_ms)
wait_for_owner 10 "$other"
took_ms=$(($(now_ms) - begin_ms))
echo "takeover after a planned stop: $took_ms ms"
[ "$took_ms" -lt 1200 ] || fail "takeover after a planned stop took $took_ms ms"
wait "${pid[entry-$stopped_owner]}" || fail "the planned stop ended with $?"
wait_for_job_field 15 "$owner" planned finished 30
check_journals finished=90
cat "${journals[@]}" | grep 'reason=lapse' > /dev/null && fail "a worker's lease lapsed"
pass "after a planned stop the other entry takes over within 1.2 s"

start_entry "$stopped_owner"
wait_for_url "http://$(address $((20 + stopped_owner)))/healthz"
sleep 1
apply_job "$owner" paused 60 1000 "sleep 400"
wait_for_job_field 10 "$owner" paused running 12
paused_owner=$owner
kill -STOP "${pid[entry-$paused_owner]}"
wait_for_owner 10 "$other"
sleep 0.5
kill -CONT "${pid[entry-$paused_owner]}"
wait_for_job_field 25 "$owner" paused finished 60
check_journals finished=150
[ "$(metric "$paused_owner" mb_shards_owned)" = 0 ] || fail "the paused owner still claims the shard"
pass "a paused owner starts no task after it resumes"
finish
