#!/usr/bin/env bash
# Guards against tasks that are stopped, started or run twice while the log is
# unavailable, and against tasks that never run again after their worker was
# killed, whether it comes back or not.
. "$(dirname "$0")/common.sh"
. "$(dirname "$0")/shard.sh"
start_cluster

# Sets a fault switch of the stand-in log: set_log_fault QUERY.
set_log_fault() {
  curl -fs -X POST -d '' "http://$log/admin/set?$1" > "$dir/admin.out" || fail "cannot set $1 at the log"
}

apply_job "$owner" outage 36 1000 "sleep 1500"
wait_for_job_field 10 "$owner" outage running 12
set_log_fault "outage=503"
sleep 0.3 # a batch of starts in flight may still reach the workers
before=$(cat "${journals[@]}" | grep -c ' start ')
sleep 4
completed=$(cat "${journals[@]}" | grep -c 'reason=end' || true)
after=$(cat "${journals[@]}" | grep -c ' start ')
[ "$completed" = 12 ] || fail "$completed tasks completed in the outage, not 12"
[ "$after" = "$before" ] || fail "$((after - before)) tasks started in the outage"
pass "in an outage of the log the running tasks complete and none starts"
set_log_fault "outage=off"
wait_for_job_field 25 1 outage finished 36
check_journals finished=36
pass "after the outage every task completes once"

wait_for_owner 10
apply_job "$owner" lost 24 1000 "sleep 800 checkpoint-every 100"
wait_for_job_field 10 "$owner" lost running 12
sleep 0.3
kill -KILL "${pid[worker-2]}"
sleep 0.05
kill_times=$(awk '{printf "%.0f", $1 * 1000000}' /proc/uptime)
sleep 0.2
start_worker 2
wait_for_job_field 25 "$owner" lost finished 24
check_journals finished=60 "kills=worker-2:$kill_times"
grep -q ' start ' "$dir/journal.2" || fail "worker 2 ran nothing"
pass "tasks of a worker that was killed and restarted run again"

apply_job "$owner" gone 12 1000 "sleep 1500"
wait_for_job_field 10 "$owner" gone running 12
kill -KILL "${pid[worker-3]}"
wait "${pid[worker-3]}" 2> /dev/null || true
kill_times="$kill_times worker-3:$(awk '{printf "%.0f", $1 * 1000000}' /proc/uptime)"
wait_for_job_field 30 "$owner" gone finished 12
check_journals finished=72 "kills=worker-2:$kill_times"
pass "tasks of a worker that does not come back run on other workers"
finish
