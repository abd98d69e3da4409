#!/usr/bin/env bash
# Guards against a stand-in worker that breaks a rule that the owners of shards
# rely on: fencing by token and incarnation, idempotent starts, capacity, and
# the stop of all tasks when the lease expires.
. "$(dirname "$0")/common.sh"

url=http://$(address 60)
start worker standin-worker -l "$(address 60)" -n w1 -j "$dir/journal" \
  --cpu-milli 1000 --memory-mb 1000
wait_for_url "$url/control/fail/0"

# Sends a sync request, given as hex digits; the response is then in $answer, as
# hex digits.
send_sync() {
  answer=$(printf "$(echo "$1" | sed 's/../\\x&/g')" |
    curl -fs --data-binary @- "$url/v1/sync" | od -An -v -tx1 | tr -d ' \n') ||
    fail "no answer to $1"
}

# Prints a sync request as hex digits: sync_request TOKEN INCARNATION LEASE
# STARTS, each as the hex digits of its msgpack encoding. A request is an array
# of seven fields (97); the last three are empty arrays (90).
sync_request() {
  echo "97$1$2$3$4909090"
}

lease=cd0320 # 800 ms
send_sync "$(sync_request 05 00 $lease 90)"
# A response begins with the header of its array (2 digits), the incarnation (18)
# and the highest token.
incarnation=${answer:2:18}
[ "${answer:20:2}" = 05 ] || fail "the token was not accepted: $answer"
# A start: [job, index, attempt, cpu, memory, accelerators, command, checkpoint].
# Two tasks of 600 of the worker's 1000 thousandths of a processor, so that only
# one fits.
task=98010001cd02580100a9$(printf 'sleep 300' | od -An -tx1 | tr -d ' \n')c400
second_task=98010101cd02580100a9$(printf 'sleep 300' | od -An -tx1 | tr -d ' \n')c400
send_sync "$(sync_request 05 "$incarnation" $lease "91$task")"
# One running attempt: [job 1, index 0, attempt 1].
[[ $answer == *9193010001* ]] || fail "the task does not run: $answer"
send_sync "$(sync_request 05 "$incarnation" $lease "92$task$second_task")"
[ "$(grep -c ' start ' "$dir/journal")" = 1 ] || fail "the repeated start ran, or the start over the capacity"
grep -q ' refuse ' "$dir/journal" || fail "the start over the capacity was not refused"
pass "a start runs once and within the capacity"
send_sync "$(sync_request 04 "$incarnation" $lease "91$second_task")"
send_sync "$(sync_request 05 cf0000000000000001 $lease "91$second_task")"
[ "$(grep -c ' start ' "$dir/journal")" = 1 ] || fail "a start with a lower token or another incarnation ran"
pass "a lower token and another incarnation start nothing"
sleep 0.4
send_sync "$(sync_request 05 "$incarnation" $lease 90)"
# One result, of that attempt.
[[ $answer == *91950100010* ]] || fail "the result is missing: $answer"
pass "the result is kept until it is acknowledged"
# The second task as "sleep 900", with a lease of 100 ms that is not renewed.
send_sync "$(sync_request 06 "$incarnation" cd0064 "91${second_task/a9736c656570203330/a9736c656570203930}")"
sleep 0.3
grep -q 'reason=lapse' "$dir/journal" || fail "the task did not stop when the lease expired"
send_sync "$(sync_request 06 00 $lease 90)"
[ "${answer:2:18}" != "$incarnation" ] || fail "the incarnation did not change when the lease expired"
pass "all tasks stop when the lease expires"
curl -fs "$url/control/pause/300" > /dev/null
begin=$(date +%s%N)
send_sync "$(sync_request 06 00 $lease 90)"
[ $(($(date +%s%N) - begin)) -ge 200000000 ] || fail "the paused worker answered at once"
pass "a paused worker answers later"
finish
