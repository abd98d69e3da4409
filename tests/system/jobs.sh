# Helpers for the tests of jobs on the operators' platform. They run schedulers,
# agents beside executors, and the stand-ins of the store, which holds the log,
# and of the executors. Source common.sh first.
store=$(address 500)
export MB_SETTINGS
scheduler=()
agent=()
executor=()

# Has the operator write a record to the configuration log: its length in four
# bytes, the length of the key in one, key and value. Fails if the log does not
# acknowledge it: write_config KEY VALUE.
write_config() {
  local length=$((1 + ${#1} + ${#2}))
  printf "\\x00\\x00\\x$(printf %02x $((length / 256)))\\x$(printf %02x $((length % 256)))\\x$(printf %02x ${#1})%s%s" "$1" "$2" |
    curl -fs -m 2 -o /dev/null --data-binary @- "http://$store/api/log-append?topic=keyed.op&part=0"
}

# Starts the store and has the operator write the configuration: one queue, q.
start_store() {
  local config
  start store standin-store -l "$store"
  for _ in $(seq 100); do
    curl -s -o /dev/null "http://$store/switch?down=0" && break
    sleep 0.05
  done
  config='{"version":3,"routes":[{"name":"q","host":"jobs.example","path_prefix":"/q/","service":"echo","priority":0,"max_attempts":3,"stretch_factor":2.0,"target_latency_ms":500}],"services":[{"name":"echo","admission_check":true,"standby":false}],"limits":{"max_body_bytes":65536}}'
  write_config config "$config"
}

# Writes the settings of a scheduler and starts it, with the log at LOG (default
# the store): start_scheduler NUMBER [LOG]. It rejects overdue jobs if
# $reject_overdue_jobs is "yes"; $scheduler_daemon_settings are further lines of
# its section [daemon].
start_scheduler() {
  cat > "$dir/scheduler-$1.ini" << INI
[daemon]
role = scheduler
name = scheduler-$1
failure_domain = domain-$1
${scheduler_daemon_settings:-}
[scheduler]
client_address = $(address $((510 + $1)))
ready_address = $(address $((520 + $1)))
metrics_address = $(address $((530 + $1)))
${scheduler_settings:-}
reject_overdue_jobs = ${reject_overdue_jobs:-no}
[job_log]
address = ${2:-$store}
INI
  MB_SETTINGS="$dir/scheduler-$1.ini"
  start "scheduler-$1" magnoliabarrowd --config-env MB_SETTINGS
  scheduler[$1]=$started
}

# Writes the settings of an agent and starts it: start_agent NUMBER.
start_agent() {
  cat > "$dir/agent-$1.ini" << INI
[daemon]
role = agent
name = agent-$1
failure_domain = domain-$1
[agent]
registration_address = $(address $((540 + $1)))
link_address = $(address $((550 + $1)))
worker_address = $(address $((560 + $1)))
service = echo
[job_log]
address = $store
INI
  start "agent-$1" magnoliabarrowd -c "$dir/agent-$1.ini"
  agent[$1]=$started
}

# Starts an executor, whose tasks run for TASK_MS, in failure domain ZONE
# (default domain-1), and appends what it runs to $dir/runs-NUMBER:
# start_executor NUMBER TASK_MS [ZONE].
start_executor() {
  "$bin/standin-executor" -l "$(address $((560 + $1)))" -c "$(address $((540 + $1)))" -n "i-$1" -t "$2" -z "${3:-domain-1}" \
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
