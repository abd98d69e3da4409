#!/usr/bin/env bash
# LOST: submissions that recur every minute for a month. See claim.txt.
. "$(dirname "$0")/../common-3.sh"

# The platform kills a process that exceeds `memory_mb` and starts it again.
memory_mb=260
count=40
[ "$trouble" != 0 ] || count=4
small=00000000000000f1
deadline_ms=$(($(now_ms) + 95000))
# Tells whether there is time left to ask for more.
in_time() { [ "$(now_ms)" -lt "$deadline_ms" ]; }

# Prints the resident memory of a process in MB.
memory_of() {
  awk '/^VmRSS:/ { print int($2 / 1024) }' "/proc/$1/status" 2> /dev/null
}

# Plays the platform for scheduler NUMBER: kills it when it exceeds its memory,
# and starts it again 0.5 s after it has ended. Ends with the file $dir/stop:
# keep_scheduler NUMBER.
keep_scheduler() {
  local mb
  while [ ! -e "$dir/stop" ]; do
    start_scheduler "$1"
    note "scheduler-$1 started"
    while kill -0 "${pid_of[scheduler-$1]}" 2> /dev/null && [ ! -e "$dir/stop" ]; do
      mb=$(memory_of "${pid_of[scheduler-$1]}")
      if [ "${mb:-0}" -gt "$memory_mb" ]; then
        note "scheduler-$1 uses $mb MB, more than $memory_mb: killed"
        break
      fi
      sleep 0.02
    done
    kill -KILL "${pid_of[scheduler-$1]}" 2> /dev/null
    wait "${pid_of[scheduler-$1]}" 2> /dev/null
    [ -e "$dir/stop" ] || sleep 0.5
  done
}

store_program=limited_store
start_store
# Four schedulers, as dtu-sched has.
for i in 1 2 3 4; do
  keep_scheduler $i &
  keeper[i]=$!
done
# Has the keepers end their schedulers.
stop_keepers() {
  touch "$dir/stop"
  wait "${keeper[@]}" 2> /dev/null
}
trap 'status=$?; stop_keepers; (exit $status); cleanup' EXIT
for i in 1 2; do
  start_agent $i
  start_executor $i
done
for i in 1 2 3 4; do
  wait_until 5 is_ready $i || cannot_run "scheduler $i is not ready"
done

# Due every minute of 30 days, from tomorrow on: nothing of them runs here.
first_ms=$((($(date +%s) + 86400) * 1000))
accepted=()
begin_ms=$(now_ms)
for n in $(seq $count); do
  # One each 0.7 s, as often as price-run comes on dtu-sched without a burst.
  sleep 0.69
  [ $(($(now_ms) - begin_ms)) -lt 45000 ] || break
  id=$(printf '00000000000e%04x' "$n")
  status=$(client $((n % 4 + 1)) POST "$id" '{"spec":"ms=100","steps":[{"count":1,"cpu":500,"memory_limit_mb":100,"estimated_ms":100}],"repeat_count":43200,"first_run_ms":'$first_ms',"interval_ms":60000}')
  [ "$status" = 200 ] && accepted+=("$id")
done
note "${#accepted[@]} of $count recurring submissions accepted"
[ "${#accepted[@]}" -gt 0 ] || cannot_run "none is accepted"
small_status=
for attempt in 1 2 3; do
  small_status=$(client $((attempt % 4 + 1)) POST $small '{"spec":"ms=200","steps":[{"count":2,"cpu":500,"memory_limit_mb":100}]}')
  [ "$small_status" = 200 ] && break
  sleep 1
done
# The end of the traffic; finish_s is 14.
sleep 14
unknown=0
asked=0
for id in "${accepted[@]:0:10}"; do
  in_time || break
  known=no
  asked=$((asked + 1))
  for attempt in 1 2 3 4; do
    answer=$(client $attempt GET "$id")
    [ "$answer" = 200 ] && known=yes && break
    sleep 0.3
  done
  [ $known = yes ] || unknown=$((unknown + 1))
done
small_done=no
in_time || small_done=not_asked
for attempt in 1 2 3 4 5 6; do
  in_time || break
  is_shown $((attempt % 4 + 1)) $small completed && small_done=yes && break
  sleep 0.5
done
touch "$dir/stop"
record_events
kills=$(grep -c 'killed$' "$record")
starts=$(events | grep -c "start task=$small")
summary="${#accepted[@]} of $count recurring submissions accepted; schedulers killed for memory $kills times; of $asked accepted ones, $unknown without an answer to four GETs; a small submission: answered with $small_status, $starts tasks started, completed: $small_done"
if [ $unknown -gt 0 ] || { [ "$small_status" = 200 ] && [ $small_done = no ]; }; then
  echo "LOST: $summary" | tee -a "$record"
  exit 1
fi
echo "held: $summary" | tee -a "$record"
exit 0
