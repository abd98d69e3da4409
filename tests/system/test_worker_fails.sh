#!/usr/bin/env bash
# Guards against a worker that fails every task and still gets new ones. It must
# be suspended after 10 starts, then get only probes, at growing intervals, and
# get work again once it is healthy.
. "$(dirname "$0")/common.sh"
. "$(dirname "$0")/shard.sh"
start_cluster

curl -fs -X POST -d '' "http://$(address 63)/control/fail/1" > "$dir/out" || fail "control"
apply_job "$owner" steady 120 500 "sleep 400" ',"max_failures":1000'
wait_for_job_field 30 "$owner" steady finished 120
starts=$(grep -c ' start ' "$dir/journal.3")
echo "starts at the failing worker: $starts"
# Up to 4 probes after the suspension: after 1 s, 2 s, 4 s and 8 s.
[ "$starts" -le 14 ] || fail "$starts starts at the failing worker, more than 10 and 4 probes"
pass "a worker that fails every task is suspended"

curl -fs -X POST -d '' "http://$(address 63)/control/fail/0" > "$dir/out" || fail "control"
before=$(grep -c 'reason=end' "$dir/journal.3" || true)
apply_job "$owner" later 200 500 "sleep 400" ',"max_failures":1000'
wait_for_job_field 40 "$owner" later finished 200
[ "$(grep -c 'reason=end' "$dir/journal.3")" -gt "$((before + 5))" ] || fail "the worker gets no work although it is healthy again"
check_journals finished=320
pass "a suspended worker gets work again once it is healthy"
finish
