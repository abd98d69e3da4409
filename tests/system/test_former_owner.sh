#!/usr/bin/env bash
# Guards against tasks that run twice at a time: the owner of the fleet can't
# read the log any more, its successor runs what it had started, and an agent
# that comes back without the successor's token obeys the former owner. Runs two
# schedulers, three agents and executors, and the stand-in of the store, which
# the first scheduler reaches through a relay.
. "$(dirname "$0")/common.sh"

store=$(address 500)
relay=$(address 501)
# A task runs for longer than the test.
task_ms=30000
export MB_SETTINGS

# Writes the settings of a scheduler and starts it: start_scheduler NUMBER LOG.
start_scheduler() {
  cat > "$dir/scheduler-$1.ini" << INI
[daemon]
role = scheduler
name = scheduler-$1
[scheduler]
client_address = $(address $((510 + $1)))
ready_address = $(address $((520 + $1)))
metrics_address = $(address $((530 + $1)))
[job_log]
address = $2
INI
  MB_SETTINGS="$dir/scheduler-$1.ini"
  start "scheduler-$1" magnoliabarrowd --config-env MB_SETTINGS
  scheduler[$1]=$started
  wait_for_url "http://$(address $((520 + $1)))/"
}

# Starts an agent and its executor: start_worker NUMBER.
start_worker() {
  cat > "$dir/agent-$1.ini" << INI
[daemon]
role = agent
name = agent-$1
[agent]
registration_address = $(address $((540 + $1)))
link_address = $(address $((550 + $1)))
worker_address = $(address $((560 + $1)))
[job_log]
address = $store
INI
  MB_SETTINGS="$dir/agent-$1.ini"
  start "agent-$1" magnoliabarrowd --config-env MB_SETTINGS
  agent[$1]=$started
  "$bin/standin-executor" -l "$(address $((560 + $1)))" -c "$(address $((540 + $1)))" -n "i-$1" -t $task_ms \
    >> "$dir/runs-$1" 2>> "$dir/executor-$1.log" &
  executor[$1]=$!
  pids+=($!)
}

# Tells whether a scheduler owns the fleet: owns_fleet NUMBER.
owns_fleet() {
  curl -s -m 1 "http://$(address $((530 + $1)))/metrics" | grep '^[a-z_]*fleet_owner 1' > /dev/null
}

# Waits up to 10 s until a command succeeds: wait_until TEXT COMMAND...
wait_until() {
  local text=$1
  shift
  for _ in $(seq 100); do
    "$@" && return 0
    sleep 0.1
  done
  fail "$text"
}

# Tells whether the executors have started a number of runs.
has_started() {
  [ "$(cat "$dir"/runs-* | grep -c '^start')" -ge "$1" ]
}

start store standin-store -l "$store"
for _ in $(seq 100); do
  curl -s -o /dev/null "http://$store/switch?down=0" && break
  sleep 0.05
done
config='{"version":3,"routes":[{"name":"q","host":"jobs.example","path_prefix":"/q/","service":"echo","priority":0,"max_attempts":3,"stretch_factor":2.0,"target_latency_ms":500}],"services":[{"name":"echo","admission_check":true,"standby":false}],"limits":{"max_body_bytes":65536}}'
length=$((1 + 6 + ${#config}))
printf "\\x00\\x00\\x$(printf %02x $((length / 256)))\\x$(printf %02x $((length % 256)))\\x06config%s" "$config" |
  curl -s -o /dev/null --data-binary @- "http://$store/api/log-append?topic=keyed.op&part=0"
mkfifo "$dir/relay-commands"
"$bin/standin-relay" -l "$relay" -t "$store" <> "$dir/relay-commands" > "$dir/relay.out" 2>> "$dir/relay.log" &
relay_process=$!
pids+=("$relay_process")
for number in 1 2 3; do
  start_worker $number
done
start_scheduler 1 "$relay"
wait_until "the first scheduler does not own the fleet" owns_fleet 1
start_scheduler 2 "$store"

tasks=12
status=$(curl -s -m 3 -o /dev/null -w '%{http_code}' -H 'Host: jobs.example' -X POST "http://$(address 511)/q/0000000000000001" \
  -d '{"spec":"x","steps":[{"count":'$tasks',"cpu":500,"memory_limit_mb":100,"estimated_ms":'$task_ms'}]}')
[ "$status" = 200 ] || fail "the job was answered with $status"
wait_until "the tasks do not start" has_started $tasks
sort -o "$dir/first" <(cat "$dir/runs-1" "$dir/runs-2")
[ -s "$dir/first" ] || fail "nothing runs at the executors that stay"

kill -STOP "$relay_process"
wait_until "the second scheduler does not take over" owns_fleet 2
pass "another scheduler takes over from an owner that can't read the log"

# The leases that the former owner granted end 5.2 s after the last reports, its
# own lease 10 s after its latest read. The successor is paused, so that the
# agent that starts again is found by the former owner first.
sleep 5.7
kill -STOP "${scheduler[2]}"
kill -KILL "${agent[3]}" "${executor[3]}"
start_worker 3
sleep 1.3
kill -CONT "${scheduler[2]}"
sleep 1.5
twice=$(cat "$dir"/runs-* | grep '^start' | sed 's/ run=.*//' | sort | uniq -d |
  while read -r line; do grep -h "^$line " "$dir/first" || true; done)
[ -z "$twice" ] || fail "tasks that run were started again: $twice"
pass "the former owner starts nothing that its successor runs"

kill -CONT "$relay_process"
wait_until "the first scheduler still takes itself for the owner" sh -c \
  "! curl -s -m 1 http://$(address 531)/metrics | grep '^[a-z_]*fleet_owner 1' > /dev/null"
lost=$(grep -c '^\(lapsed\|stopped\)' "$dir/runs-1" "$dir/runs-2" | grep -v ':0$' || true)
[ -z "$lost" ] || fail "runs of the first owner were lost: $lost"
pass "the runs go on under the successor"
finish
