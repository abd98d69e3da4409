# Helpers for the scripts of the review. A script sources this file; it then
# has a small deployment on loopback: a store, schedulers, agents and executors.
# Settings follow deploy/scheduler.ini and deploy/agent.ini, commands follow
# deploy/system.toml, bounds those of the site dtu-sched. The result is in
# record.txt beside the script. Exit code 1: the rule was broken, 0: it held,
# 2: the case could not run.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
trouble=${TROUBLE:-1}
record="$here/record.txt"
dir=$(mktemp -d)
pids=()
hold_max_ms=10000
service=order-desk
declare -A scheduler agent executor

# Ends every process that the script started, by its id.
cleanup() {
  local status=$?
  kill -CONT "${pids[@]}" 2> /dev/null
  kill -KILL "${pids[@]}" 2> /dev/null
  wait 2> /dev/null
  rm -rf "$dir"
  exit $status
}
trap cleanup EXIT

# Ends the script because the case could not run.
cannot_run() {
  echo "cannot run: $1" | tee -a "$record" >&2
  tail -n 5 "$dir"/*.log >&2 2> /dev/null
  exit 2
}

cd "$root" || exit 2
: > "$record"
for program in target/bin/magnoliabarrowd target/review/standin-store target/review/review-executor \
  target/review/review-client; do
  [ -x "$program" ] || cannot_run "$program is missing; build first"
done

# Sets port_base to the first of 56 ports on which nothing listens.
choose_ports() {
  local port
  for _ in $(seq 50); do
    port_base=$((20000 + (RANDOM * 32768 + RANDOM) % 11000))
    for port in $(seq "$port_base" $((port_base + 55))); do
      (exec 3<> "/dev/tcp/127.0.0.1/$port") 2> /dev/null && continue 2
    done
    return 0
  done
  cannot_run "no free ports"
}
choose_ports

# Prints the address of the case's port number $1 (0 to 55).
address() {
  echo "127.0.0.1:$((port_base + $1))"
}

now_ms() {
  date +%s%3N
}

# Writes a line to the record.
note() {
  echo "$(now_ms) $*" >> "$record"
}

# Starts a program in the background with its output in $dir/NAME.log:
# start NAME COMMAND... Its process id is then in $started.
start() {
  local name=$1
  shift
  "$@" >> "$dir/$name.log" 2>&1 &
  started=$!
  pids+=("$started")
}

# Starts the platform's store and has the operator write the configuration.
start_store() {
  local config length
  start store target/review/standin-store -l "$(address 0)"
  config='{"version":3,"routes":[{"name":"q","host":"jobs.example","path_prefix":"/q/","service":"'$service'","priority":0,"max_attempts":4,"stretch_factor":1.5,"target_latency_ms":300}],"services":[{"name":"'$service'","admission_check":true,"standby":false}],"limits":{"max_body_bytes":262144}}'
  length=$((1 + 6 + ${#config}))
  for _ in $(seq 100); do
    printf "\\x00\\x00\\x$(printf %02x $((length / 256)))\\x$(printf %02x $((length % 256)))\\x06config%s" "$config" |
      target/review/review-client POST "http://$(address 0)/api/log-append?topic=keyed.op&part=0" store 1000 - |
      grep '^200' > /dev/null && return 0
    sleep 0.05
  done
  cannot_run "the store does not answer"
}

# Starts a daemon with the command of the deploy file: start_daemon NAME FILE.
start_daemon() {
  MAGNOLIABARROW_BOOT=$2 start "$1" target/bin/magnoliabarrowd --config-env MAGNOLIABARROW_BOOT
}

# Starts a scheduler: start_scheduler NUMBER (1 to 3).
start_scheduler() {
  cat > "$dir/scheduler-$1.ini" << INI
[daemon]
role = scheduler
name = frontend-$1
region = pt-centro
failure_domain = lisboa-a
[scheduler]
client_address = $(address $((0 + $1)))
ready_address = $(address $((3 + $1)))
metrics_address = $(address $((6 + $1)))
config_age_max_ms = 2000
[job_log]
address = $(address 0)
INI
  start_daemon "scheduler-$1" "$dir/scheduler-$1.ini"
  scheduler[$1]=$started
}

# Starts the agent of an executor: start_agent NUMBER (1 to 11).
start_agent() {
  cat > "$dir/agent-$1.ini" << INI
[daemon]
role = agent
name = side-$1
region = pt-centro
failure_domain = lisboa-a
[agent]
registration_address = $(address $((9 + $1)))
link_address = $(address $((20 + $1)))
metrics_address = $(address $((31 + $1)))
worker_address = $(address $((42 + $1)))
service = $service
[job_log]
address = $(address 0)
INI
  start_daemon "agent-$1" "$dir/agent-$1.ini"
  agent[$1]=$started
}

# Starts an executor: start_executor NUMBER CPU_THOUSANDTHS [KIND]. What it runs is
# appended to $dir/runs-NUMBER.
start_executor() {
  target/review/review-executor "$(address $((42 + $1)))" "$(address $((9 + $1)))" "i-$1" "$service" "$2" \
    "$hold_max_ms" "${@:3}" >> "$dir/runs-$1" 2>> "$dir/executor-$1.log" &
  executor[$1]=$!
  pids+=("$!")
}

# Sends a request of a consumer and prints "STATUS BODY":
# consumer METHOD SCHEDULER ID [DATA].
consumer() {
  target/review/review-client "$1" "http://$(address "$2")/q/$3" jobs.example 3000 "${@:4}"
}

# Prints the state of a submission, or the status of the answer:
# job_state SCHEDULER ID.
job_state() {
  local answer
  answer=$(consumer GET "$1" "$2")
  case $answer in
    *'"state":"'*) sed 's/.*"state":"\([a-z]*\)".*/\1/' <<< "$answer" ;;
    *) echo "${answer%% *}" ;;
  esac
}

# Prints the number of the scheduler that owns the fleet; nothing if none does.
fleet_owner() {
  local number
  for number in "${!scheduler[@]}"; do
    kill -0 "${scheduler[$number]}" 2> /dev/null || continue
    target/review/review-client GET "http://$(address $((6 + number)))/metrics" m 1000 |
      grep '^mb_fleet_owner 1' > /dev/null && echo "$number"
  done
}

# Waits up to 20 s until a scheduler owns the fleet and all are ready.
wait_until_ready() {
  local number ready
  for _ in $(seq 200); do
    ready=1
    for number in "${!scheduler[@]}"; do
      target/review/review-client GET "http://$(address $((3 + number)))/" r 1000 | grep '^200' > /dev/null || ready=0
    done
    [ $ready = 1 ] && [ -n "$(fleet_owner)" ] && return 0
    sleep 0.1
  done
  cannot_run "no scheduler owns the fleet, or one is not ready"
}

# Switches the store off (1: it answers every call with 503) or on (0).
switch_store() {
  target/review/review-client POST "http://$(address 0)/switch?down=$1" store 1000 "" > /dev/null
  note "store down=$1"
}

# Adds what the executors ran to the record, in order of time.
collect_runs() {
  sort -n -s -k1,1 "$dir"/runs-* >> "$record"
}

# Ends the script with its result: finish BROKEN TEXT.
finish() {
  echo "$2" | tee -a "$record"
  [ -n "${KEEP_LOGS:-}" ] && cp "$dir"/* "$KEEP_LOGS"/
  exit "$1"
}
