# Helpers of the scripts review/6 to review/10: a small deployment on loopback
# addresses, started with the commands and templates of deploy/. A script
# sources this file from its folder, after `set -u`. Exit codes: 0 the rule
# held, 1 it was broken, 2 the case could not run.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
folder=$(cd "$(dirname "$0")" && pwd)
record=$folder/record.txt
trouble=${TROUBLE:-1}
dir=$(mktemp -d)
scheduler=()
agent=()
site_control=""
cd "$root" || exit 2
: > "$record"

# Returns the Unix time in milliseconds.
now() { date +%s%3N; }

# Appends a line with the time to the record.
note() { echo "$(now) $*" >> "$record"; }

# Ends every process that this script has started, and removes its files.
cleanup() {
  local status=$? running
  { jobs -pr; jobs -ps; } > "$dir/jobs"
  mapfile -t running < "$dir/jobs"
  kill -KILL "${running[@]}" 2> /dev/null
  wait 2> /dev/null
  if [ "${KEEP:-0}" = 1 ]; then echo "logs: $dir" >&2; else rm -rf "$dir"; fi
  exit $status
}
trap cleanup EXIT
trap 'exit 2' INT TERM

# Ends the script because the case can't run.
cannot() {
  note "cannot run: $*"
  echo "cannot run: $*" >&2
  exit 2
}

# Ends the script with its verdict: verdict 0|1 TEXT.
verdict() {
  note "verdict $1: $2"
  echo "$2"
  exit "$1"
}

[ -x target/bin/magnoliabarrowd ] && [ -x target/review-2/standin-request ] ||
  cannot "build first: the line build of deploy/system.toml, then review/build-2.sh"

# Ports: the same on all machines of the deployment, whose addresses differ.
find_ports() {
  local try port
  for try in $(seq 40); do
    port_base=$((20000 + (RANDOM % 120) * 100))
    for port in $(seq "$port_base" $((port_base + 12))); do
      (exec 3<> "/dev/tcp/127.0.0.1/$port") 2> /dev/null && continue 2
    done
    return 0
  done
  cannot "no free ports"
}
find_ports
store=127.0.0.1:$port_base

# Starts a program in the background: start NAME PROGRAM ARGS...
start() {
  local name=$1
  shift
  "$@" >> "$dir/$name.log" 2>&1 &
  started=$!
}

# Waits up to SECONDS until a command succeeds: wait_until SECONDS COMMAND...
wait_until() {
  local until=$(($(now) + $1 * 1000))
  shift
  while [ "$(now)" -lt "$until" ]; do
    "$@" && return 0
    sleep 0.05
  done
  return 1
}

# Sends a request and prints the status, 000 without a response; the body is then
# in $dir/body: http TIMEOUT_MS METHOD URL [BODY].
http() { target/review-2/standin-request "$dir/body" "$@"; }

# Tells whether a URL answers with 200.
answers() { [ "$(http 1000 GET "$1")" = 200 ]; }

# Writes a configuration to the store, as the operator: write_config JSON.
write_config() {
  local length=$((1 + 6 + ${#1}))
  note "config $1"
  printf "\\x00\\x00\\x$(printf %02x $((length / 256)))\\x$(printf %02x $((length % 256)))\\x06config%s" "$1" |
    http 2000 POST "http://$store/api/log-append?topic=keyed.op&part=0" - > /dev/null
}

# Starts the store with a configuration of three queues, like those of
# dtu-sched: stock (stock-check), price (price-run) and watch (drum-watch).
start_store() {
  local routes=""
  start store target/review-2/standin-store -l "$store"
  sleep 0.3
  kill -0 "$started" 2> /dev/null || cannot "another program has taken the port of the store"
  wait_until 10 answers "http://$store/switch?down=0" || cannot "the store does not start"
  route() {
    routes="$routes${routes:+,}{\"name\":\"$1\",\"host\":\"desk.example\",\"path_prefix\":\"/$1/\",\"service\":\"order-desk\",\"priority\":$2,\"max_attempts\":$3,\"stretch_factor\":$4,\"target_latency_ms\":$5}"
  }
  route stock 0 2 1.5 300
  route price 2 4 2.0 1000
  route watch 0 4 2.2 2500
  write_config "{\"version\":3,\"routes\":[$routes],\"services\":[{\"name\":\"order-desk\",\"admission_check\":true}],\"limits\":{\"max_body_bytes\":262144}}"
}

# Fills in a template of deploy/ for a machine: render TEMPLATE NAME IP.
render() {
  sed -e "s/{{node_name}}/$2/; s/{{region}}/pt-centro/; s/{{zone}}/lisboa-a/; s/{{ip}}/$3/
    s/{{listen_addrs.frontend}}/$3:$((port_base + 1))/; s/{{listen_addrs.ready}}/$3:$((port_base + 2))/
    s/{{listen_addrs.control}}/$3:$((port_base + 3))/; s/{{internal_ports.0}}/$((port_base + 4))/
    s/{{internal_ports.1}}/$((port_base + 5))/; s/{{app}}/$3:$((port_base + 6))/
    s/{{service}}/order-desk/; s/{{bounds.config_apply_ms}}/2000/
    s/{{platform.address}}/${4:-$store}/" "deploy/$1.ini" > "$dir/$2.ini"
  grep -q '{{' "$dir/$2.ini" && cannot "a placeholder of deploy/$1.ini is not known"
  return 0
}

# Starts the role of a machine with the command of the deploy file: run_role
# TEMPLATE NAME IP [STORE].
run_role() {
  render "$@"
  local command
  command=$(sed -n "/^\[roles.$1\]/,/^\[/s/^run = \"\(.*\)\"/\1/p" deploy/system.toml)
  export MAGNOLIABARROW_BOOT="$dir/$2.ini"
  # shellcheck disable=SC2086
  start "$2" $command
}

# Starts a scheduler: start_scheduler NUMBER [STORE].
start_scheduler() {
  run_role scheduler "frontend-$1" "127.0.1.$1" "${2:-$store}"
  scheduler[$1]=$started
}

# Starts an agent: start_agent NUMBER.
start_agent() {
  run_role agent "side-$1" "127.0.2.$1"
  agent[$1]=$started
}

# Starts the stand-in of the executors, one beside each agent: start_site COUNT
# KIND... The last kind counts for the rest.
start_site() {
  local count=$1 kind=a number list=()
  shift
  for number in $(seq "$count"); do
    kind=${1:-$kind}
    [ $# -gt 0 ] && shift
    list+=("127.0.2.$number:$((port_base + 6)),127.0.2.$number:$((port_base + 3)),i-$number,$kind,r1-$(((number + 2) / 3)),${CPU:-16000},${MEMORY:-64000}")
  done
  site_control=127.0.0.1:$((port_base + 7))
  start site target/review-2/standin-site -l "$site_control" -r "$record" "${list[@]}"
}

# Crashes the executor with a number (from 1): crash NUMBER DOWN_MS [KIND].
# Without a time it does not come back (0).
crash() {
  local down=""
  [ "$2" -gt 0 ] && down="&down_ms=$2"
  http 3000 POST "http://$site_control/crash?i=$(($1 - 1))$down&kind=${3:-}" "" > /dev/null
}

# Sends a request as a consumer and prints the status; the body is then in
# $dir/body: request METHOD SCHEDULER PATH [BODY].
request() {
  local status
  status=$(http 4000 "$1" "http://127.0.1.$2:$((port_base + 1))/$3" ${4:+"$4"})
  note "request $1 scheduler=$2 path=/$3 body=$(echo "${4:-}" | head -c 300) status=$status answer=$(head -c 200 "$dir/body")"
  echo "$status"
}

# Submits a job and ends the script if it is not accepted: submit SCHEDULER PATH
# BODY.
submit() {
  local status
  status=$(request POST "$1" "$2" "$3")
  [ "$status" = 200 ] || cannot "the job $2 is answered with $status"
}

# Prints the state of a job: job_state SCHEDULER PATH.
job_state() {
  request GET "$1" "$2" > /dev/null
  sed -n 's/.*"state":"\([a-z]*\)".*/\1/p' "$dir/body"
}

# Tells whether a scheduler is ready.
is_ready() { answers "http://127.0.1.$1:$((port_base + 2))/api/ready"; }

# Tells whether a scheduler owns the fleet.
owns_fleet() {
  answers "http://127.0.1.$1:$((port_base + 5))/metrics" && grep '^[a-z_]*fleet_owner 1' "$dir/body" > /dev/null
}

# Tells whether one of the schedulers 1 to COUNT owns the fleet.
any_owns() {
  local number
  for number in $(seq "$1"); do
    owns_fleet "$number" && return 0
  done
  return 1
}

# Starts a deployment: start_deployment SCHEDULERS EXECUTORS KIND...
start_deployment() {
  local schedulers=$1 executors=$2 number
  shift 2
  start_store
  for number in $(seq "$executors"); do
    start_agent "$number"
  done
  start_site "$executors" "$@"
  for number in $(seq "$schedulers"); do
    start_scheduler "$number"
  done
  for number in $(seq "$schedulers"); do
    wait_until 15 is_ready "$number" || cannot "scheduler $number is not ready"
  done
  wait_until 15 any_owns "$schedulers" || cannot "no scheduler owns the fleet"
  sleep 2
}
