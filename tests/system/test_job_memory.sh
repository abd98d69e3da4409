#!/usr/bin/env bash
# Guards against jobs that are accepted although the schedulers can't hold them:
# with large and recurring jobs submitted to all at once, no process may exceed
# its memory, which differs, also not after all have started again; what is
# accepted stays known, and what is rejected is not. Runs three schedulers, an
# agent, and the stand-ins of the store and of the executor.
. "$(dirname "$0")/common.sh"
. "$(dirname "$0")/jobs.sh"
memory_mb=(0 512 260 160)
jobs=60
lines=400

# Starts a scheduler with its memory: start_limited NUMBER.
start_limited() {
  scheduler_daemon_settings="memory_mb = ${memory_mb[$1]}"
  start_scheduler "$1"
}

# Checks the resident memory of all schedulers: check_memory WHEN.
check_memory() {
  local mb
  for i in 1 2 3; do
    mb=$(awk '/^VmHWM:/ { print int($2 / 1024) }' "/proc/${scheduler[i]}/status" 2> /dev/null)
    [ -n "$mb" ] || fail "scheduler $i has ended $1"
    [ "$mb" -lt "${memory_mb[$i]}" ] || fail "scheduler $i has used $mb MB of ${memory_mb[$i]} $1"
  done
}

# Submits a job, again after an answer that tells nothing, and notes its last
# status: submit NUMBER ID BODY.
submit() {
  local status
  for _ in 1 2 3 4; do
    status=$(curl -s -m 5 -o /dev/null -w '%{http_code}' -H 'Host: jobs.example' -X POST \
      "http://$(address $((510 + $1)))/q/$2" -d "$3")
    [ "$status" = 504 ] || break
  done
  echo "$status" > "$dir/status-$2"
}

# Prints the status of a query: query NUMBER ID.
query() {
  curl -s -m 3 -o /dev/null -w '%{http_code}' -H 'Host: jobs.example' "http://$(address $((510 + $1)))/q/$2"
}

# Waits until all schedulers are ready.
wait_for_all() {
  for i in 1 2 3; do wait_for_url "http://$(address $((520 + i)))/"; done
}

start_store
for i in 1 2 3; do start_limited $i; done
start_agent 1
start_executor 1 200
wait_for_all

# Lines of a crontab for a month, from tomorrow on; all of them are accepted.
first_ms=$((($(date +%s) + 86400) * 1000))
for k in $(seq 20); do
  for n in $(seq "$k" 20 $lines); do
    submit $((n % 3 + 1)) "$(printf '00000000000c%04x' "$n")" \
      '{"spec":"line","steps":[{"count":1,"cpu":500,"memory_limit_mb":100,"estimated_ms":100}],"repeat_count":43200,"first_run_ms":'$first_ms',"interval_ms":60000}'
  done &
  waits[k]=$!
done
wait "${waits[@]}"
[ "$(cat "$dir"/status-00000000000c* | grep -cx 200)" = $lines ] || fail "lines of a crontab are rejected"
check_memory "after $lines recurring jobs"
pass "all lines of a crontab are accepted"

# Jobs of 16,000 tasks, about 2.4 MB each, which no worker can take.
waits=()
for n in $(seq $jobs); do
  submit $((n % 3 + 1)) "$(printf '00000000000d%04x' "$n")" \
    '{"spec":"x","steps":[{"count":16000,"cpu":500000,"memory_limit_mb":100,"estimated_ms":100}]}' &
  waits[n]=$!
done
wait "${waits[@]}"
accepted=()
rejected=()
for n in $(seq $jobs); do
  id=$(printf '00000000000d%04x' "$n")
  case $(cat "$dir/status-$id") in
    200) accepted+=("$id") ;;
    503) rejected+=("$id") ;;
    *) fail "a job is answered with $(cat "$dir/status-$id")" ;;
  esac
done
[ ${#accepted[@]} -gt 0 ] || fail "no large job is accepted"
[ ${#rejected[@]} -gt 0 ] || fail "no large job is rejected"
sleep 2
check_memory "with ${#accepted[@]} large jobs"
pass "of $jobs large jobs ${#accepted[@]} are accepted, within the memory of all"

for i in 1 2 3; do kill -KILL "${scheduler[i]}"; done
for i in 1 2 3; do
  wait "${scheduler[i]}" 2> /dev/null || true
  start_limited $i
done
wait_for_all
sleep 3
check_memory "after all have started again"
for i in 1 2 3; do
  for id in "${accepted[@]}"; do
    [ "$(query $i "$id")" = 200 ] || fail "an accepted job is not known to scheduler $i"
  done
  for id in "${rejected[@]}"; do
    [ "$(query $i "$id")" = 410 ] || fail "a rejected job is known to scheduler $i"
  done
done
pass "after all have started again, accepted jobs are known and rejected ones are not"

submit 3 00000000000f0001 '{"spec":"x","steps":[{"count":2,"cpu":500,"memory_limit_mb":100,"estimated_ms":200}]}'
[ "$(cat "$dir/status-00000000000f0001")" = 200 ] || fail "a small job is rejected"
is_completed() {
  curl -s -m 2 -H 'Host: jobs.example' "http://$(address 512)/q/$1" | grep -q '"state":"completed"'
}
wait_until "a small job is not completed" is_completed 00000000000f0001
pass "small jobs are accepted and completed"
finish
