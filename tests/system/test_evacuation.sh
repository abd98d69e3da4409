#!/usr/bin/env bash
# Guards against starts in an evacuated failure domain later than 5 s after the
# request was acknowledged, although the owner of the fleet is killed right
# after that, and against jobs that are lost meanwhile or workers that get no
# work after the request is withdrawn. Runs two schedulers under load, an agent
# and an executor in each of two domains, and the stand-in of the store.
. "$(dirname "$0")/common.sh"
. "$(dirname "$0")/jobs.sh"
evacuate_ms=5000
scheduler_settings="evacuation_age_max_ms = $evacuate_ms"

# Submits a job every 100 ms until the file "stop" exists, to the schedulers in
# turn, and adds the ids of those that were accepted to $dir/accepted.
run_load() {
  local number=0 id
  until [ -e "$dir/stop" ]; do
    number=$((number + 1))
    id=$(printf '%016x' $number)
    [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' -H 'Host: jobs.example' -X POST \
      "http://$(address $((511 + number % 2)))/q/$id" \
      -d '{"spec":"x","steps":[{"count":2,"cpu":500,"memory_limit_mb":100,"estimated_ms":300}]}')" = 200 ] &&
      echo "$id" >> "$dir/accepted"
    sleep 0.1
  done
}

# Prints the number of runs that the executor of a domain has started.
count_starts() {
  grep -c '^start' "$dir/runs-$1" || true
}

# Tells whether the executor of a domain has started more than a number of
# runs: has_started_more NUMBER RUNS.
has_started_more() {
  [ "$(count_starts "$1")" -gt "$2" ]
}

# Prints what the owner of the fleet lists.
list_evacuations() {
  local i
  for i in 1 2; do
    if owns_fleet $i; then
      "$bin/magnoliabarrow" -s "$(address $((530 + i)))" evacuations
    fi
  done
}

# Tells whether the owner lists domain-1 with one worker and no runs.
domain_is_empty() {
  list_evacuations | grep -qE '^domain-1 .* 1 +0 *$'
}

# Prints the explanations of schedulers 1 and 2: explain QUERY.
explain() {
  local i
  for i in 1 2; do
    "$bin/magnoliabarrow" -s "$(address $((530 + i)))" where "$1" || echo "exit code $?"
  done
}

# Tells whether all accepted jobs are completed.
all_completed() {
  local id
  while read -r id; do
    curl -s -m 2 -H 'Host: jobs.example' "http://$(address 512)/q/$id" |
      grep -q '"state":"completed"' || return 1
  done < "$dir/accepted"
}

start_store
start_scheduler 1
wait_until "scheduler 1 does not own the fleet" owns_fleet 1
start_scheduler 2
for i in 1 2; do
  start_agent $i
  start_executor $i 400 "domain-$i"
done
wait_for_url "http://$(address 521)/"
wait_for_url "http://$(address 522)/"
run_load 2> /dev/null &
load=$!
pids+=("$load")
wait_until "nothing runs in domain-1" has_started_more 1 0
wait_until "nothing runs in domain-2" has_started_more 2 0
list_evacuations | grep -q 'no failure domain is evacuated' || fail "evacuations are listed: $(list_evacuations)"
pass "work runs in both domains"

write_config evacuate/domain-1 '{}' || fail "the request was not acknowledged"
kill -KILL "${scheduler[1]}"
wait_until "scheduler 2 does not own the fleet" owns_fleet 2
start_scheduler 1
sleep $((evacuate_ms / 1000))
starts=$(count_starts 1)
starts_elsewhere=$(count_starts 2)
sleep 4
[ "$(count_starts 1)" = "$starts" ] ||
  fail "runs began in the evacuated domain: $(tail -n 5 "$dir/runs-1")"
has_started_more 2 "$starts_elsewhere" || fail "no work runs in the other domain"
pass "nothing starts in the evacuated domain, although the owner was killed after the request"

wait_until "the list is $(list_evacuations)" domain_is_empty
curl -s -m 2 "http://$(address 532)/metrics" | grep -qE 'evacuated_workers 1$' || fail "the metrics show no evacuated worker"
pass "the owner lists the domain"
explain 'service=echo&cpu_milli=100&memory_mb=10' > "$dir/where"
[ "$(grep -c '"owner":false' "$dir/where")" = 1 ] || fail "another process than the owner explains: $(cat "$dir/where")"
grep '"owner":true' "$dir/where" | grep -q '"evacuated":1' || fail "the obstacle is not named: $(cat "$dir/where")"
explain "job=$(head -n 1 "$dir/accepted")" | grep -q '"outcome":"completed"' || fail "a job is not explained"
for query in job=x job=ffffffffffffffff 'service=echo&cpu_milli=-1' 'service=echo&count=0' 'service=echo&gang=2'; do
  explain "$query" 2> /dev/null | grep -q '^exit code' || fail "$query is explained"
done
pass "the owner explains where a task would be placed"

write_config evacuate/domain-1 '' || fail "the withdrawal was not acknowledged"
wait_until "no work returned to domain-1" has_started_more 1 "$starts"
pass "work returns after the withdrawal"

touch "$dir/stop"
wait "$load" || true
wait_until "not all accepted jobs are completed" all_completed
[ "$(wc -l < "$dir/accepted")" -gt 20 ] || fail "few jobs were accepted"
pass "all accepted jobs are completed"
finish
