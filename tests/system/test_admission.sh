#!/usr/bin/env bash
# Guards against an overload in which no job is rejected, and against a rejected
# job that is run although it was not submitted again, or that is not accepted
# when its client returns after Retry-After, up to 4 times. Runs two schedulers
# that reject overdue jobs, two agents, and the stand-ins of the store and of
# the executors.
. "$(dirname "$0")/common.sh"
. "$(dirname "$0")/jobs.sh"
reject_overdue_jobs=yes

# Submits a job of 40 tasks and prints the HTTP status: submit NUMBER ID.
submit() {
  curl -s -m 3 -o "$dir/answer" -D "$dir/headers" -w '%{http_code}' -H 'Host: jobs.example' -X POST \
    "http://$(address $((510 + $1)))/q/$2" \
    -d '{"spec":"x","steps":[{"count":40,"cpu":500,"memory_limit_mb":10,"estimated_ms":300}]}'
}

# Tells whether a scheduler is the owner.
has_owner() {
  owns_fleet 1 || owns_fleet 2
}

# Tells whether a scheduler reports a job as completed: is_completed ID.
is_completed() {
  curl -s -m 2 -H 'Host: jobs.example' "http://$(address 511)/q/$1" | grep -q '"state":"completed"'
}

start_store
for i in 1 2; do
  start_scheduler $i
  start_agent $i
  start_executor $i 400
done
wait_for_url "http://$(address 521)/"
wait_for_url "http://$(address 522)/"
wait_until "no scheduler owns the fleet" has_owner

rejected=()
for i in $(seq 100 350); do
  id="0000000000000$i"
  status=$(submit $((i % 2 + 1)) "$id")
  case $status in
    200) ;;
    503)
      rejected+=("$id")
      [ ${#rejected[@]} -lt 2 ] || break
      ;;
    *) fail "a job is answered with $status" ;;
  esac
  sleep 0.15
done
[ ${#rejected[@]} -eq 2 ] || fail "${#rejected[@]} jobs were rejected"
wait_until "the rejection is not logged" grep -qh "submission answered job=${rejected[1]} .*reason=backlog" "$dir"/scheduler-1.log "$dir"/scheduler-2.log
after_s=$(sed -n 's/^[Rr]etry-[Aa]fter: *\([0-9]*\).*/\1/p' "$dir/headers")
[ "${after_s:-0}" -ge 1 ] && [ "$after_s" -le 60 ] || fail "Retry-After is '$after_s'"
curl -s "http://$(address $((530 + i % 2 + 1)))/" | grep -q '^mb_jobs_rejected_backlog_by_queue_total{queue="q"} [1-9]' ||
  fail "the rejection is not counted for its queue"
pass "a job that would be completed too late is rejected"

for _ in 1 2 3 4; do
  sleep "$after_s"
  status=$(submit 1 "${rejected[1]}")
  [ "$status" = 503 ] || break
  after_s=$(sed -n 's/^[Rr]etry-[Aa]fter: *\([0-9]*\).*/\1/p' "$dir/headers")
done
[ "$status" = 200 ] || fail "the job is answered with $status after 4 retries"
[ "$(submit 2 "${rejected[1]}")" = 200 ] || fail "the repeated job was not accepted"
for _ in 1 2 3 4; do
  is_completed "${rejected[1]}" && break
  sleep 5
done
is_completed "${rejected[1]}" || fail "the job is not completed"
pass "a rejected job is accepted when its client returns, and completed"

! grep -qh "^start task=${rejected[0]}" "$dir"/runs-* || fail "a rejected job was run"
pass "a rejected job is not run"
finish
