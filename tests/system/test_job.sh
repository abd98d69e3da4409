#!/usr/bin/env bash
# Guards against a job that does not run, runs on one worker only, or whose
# state an entry does not report; a job larger than every worker that blocks
# other jobs or reports no reason; a cancellation that leaves tasks running; and
# a failing task that is retried for ever.
. "$(dirname "$0")/common.sh"
. "$(dirname "$0")/shard.sh"
start_cluster

apply_job 1 build 30 1000 "sleep 300"
wait_for_job_field 10 "$owner" build finished 30
check_journals finished=30
for number in 1 2 3; do
  grep -q ' start ' "$dir/journal.$number" || fail "worker $number ran nothing"
done
pass "a job of 30 tasks runs on three workers"

wait_for_job_field 3 "$other" build finished 30
cli "$other" explain build > "$dir/out" || fail "explain at the other entry"
grep -q '"finished":30' "$dir/out" || fail "explain: $(cat "$dir/out")"
cli "$owner" get job > "$dir/out" || fail "get job"
cli "$owner" get job build -o json > "$dir/build.json"
cli "$owner" apply -f "$dir/build.json" > "$dir/out" || fail "apply rejects a resource that has a status"
[ "$(metric "$owner" mb_task_finishes_total)" = 30 ] || fail "finishes: $(metric "$owner" mb_task_finishes_total)"
[ "$(metric "$owner" mb_shard_takeovers_total)" = 1 ] || fail "takeovers: $(metric "$owner" mb_shard_takeovers_total)"
cli "$owner" dump | grep '"shard-0":{"phase":"owner"' > /dev/null || fail "dump: $(cli "$owner" dump)"
pass "get, explain, metrics and dump report the finished job"

apply_job 1 huge 1 9000 "sleep 100"
apply_job 2 small 3 1000 "sleep 100"
wait_for_job_field 5 "$owner" small finished 3
[ "$(job_field "$owner" huge wait)" = size ] || fail "wait of huge: $(job_field "$owner" huge wait)"
[ "$(job_field "$owner" huge unschedulable)" = true ] || fail "huge is not unschedulable"
cli "$owner" explain huge | grep 'larger than every worker' > /dev/null || fail "no reason for huge"
pass "a job larger than every worker reports the reason and blocks no other job"

apply_job 1 long 20 1000 "sleep 60000"
wait_for_job_field 5 "$owner" long running 12
cli 1 cancel long > "$dir/out" || fail "cancel"
wait_for_job_field 5 "$owner" long running 0
wait_for_job_field 5 "$owner" long pending 0
check_journals
pass "the tasks of a cancelled job stop"

apply_job 1 bad 2 1000 "sleep 50 fail" ',"max_failures":2'
wait_for_job_field 5 "$owner" bad failed 2
pass "tasks that fail are retried and then reported as failed"
kill -TERM "${pid[entry-1]}" "${pid[entry-2]}"
wait "${pid[entry-1]}" || fail "entry 1 ended with $?"
wait "${pid[entry-2]}" || fail "entry 2 ended with $?"
pass "both entries stop with exit code 0"
finish
