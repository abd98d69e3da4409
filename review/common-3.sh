#!/usr/bin/env bash
# Helpers for the scripts of the third review (review/11 to 15). A script is
# called from anywhere, without arguments; it sources this file first. It
# starts the programs of the deploy file from the root of the repository, with
# settings as the templates of deploy/ give them for dtu-sched, and the
# stand-ins that review/build-3.sh has built. Exit codes: 0 the rule held, 1 it
# was broken, 2 the case could not run.
set -uo pipefail
case_dir=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
cd "$case_dir/../.." || exit 2
record=$case_dir/record.txt
standins=target/review-3
trouble=${TROUBLE:-1}
pids=()
declare -A pid_of
: > "$record" || exit 2

# Ends the case because it could not run: cannot_run TEXT.
cannot_run() {
  echo "could not run: $1" | tee -a "$record" >&2
  exit 2
}

for needed in target/bin/magnoliabarrowd $standins/store $standins/executor; do
  [ -x "$needed" ] || cannot_run "$needed is not built (deploy file, then review/build-3.sh)"
done
command -v curl > /dev/null || cannot_run "no curl"
dir=$(mktemp -d) || exit 2

# Kills what this script has started, by its ids, and removes its files.
cleanup() {
  local status=$?
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2> /dev/null
    kill -KILL "$pid" 2> /dev/null
  done
  wait 2> /dev/null
  if [ -n "${KEEP_LOGS:-}" ]; then
    cp "$dir"/*.log "$KEEP_LOGS"/
  fi
  rm -rf "$dir"
  exit $status
}
trap cleanup EXIT

# Tells whether nothing listens on any of the ports of the case.
ports_are_free() {
  local offset
  for offset in 0 {11..19} {21..29} {31..39} {41..99}; do
    (exec 3<> "/dev/tcp/127.0.0.1/$((port_base + offset))") 2> /dev/null && return 1
  done
  return 0
}
for _ in $(seq 20); do
  port_base=$((10000 + RANDOM % 20000))
  ports_are_free && break
  port_base=0
done
[ "$port_base" -ne 0 ] || cannot_run "no free ports"

# Prints the address with an offset: 0 the store, 11 to 19 the schedulers for
# clients, 21 ready, 31 metrics, 41 to 59 registration at the agents, 61 links
# of the agents, 81 executors.
address() {
  echo "127.0.0.1:$((port_base + $1))"
}
store=$(address 0)

# Prints the zone of machine NUMBER; there are 4: zone NUMBER.
zone() {
  echo "zone-$((($1 - 1) % 4 + 1))"
}

# Prints the time that all processes share, in milliseconds.
now_ms() {
  awk '{ printf "%d\n", $1 * 1000 }' /proc/uptime
}

# Writes a line to the record, with the time.
note() {
  echo "$(now_ms) $*" >> "$record"
}

# Starts a program in the background: start NAME PROGRAM ARGUMENTS...
start() {
  local who=$1
  shift
  "$@" >> "$dir/$who.log" 2>&1 &
  pid_of[$who]=$!
  pids+=($!)
}

# Sends a signal to a process that this script has started: signal NAME SIGNAL.
signal() {
  note "signal $2 to $1"
  kill -s "$2" "${pid_of[$1]}" 2> /dev/null
}

# Waits up to LIMIT_S seconds until a command succeeds: wait_until LIMIT_S
# COMMAND...
wait_until() {
  local end=$(($(now_ms) + $1 * 1000))
  shift
  until "$@"; do
    [ "$(now_ms)" -lt "$end" ] || return 1
    sleep 0.1
  done
}

# Has the operator write a record to keyed.op: write_op KEY VALUE.
write_op() {
  local length=$((1 + ${#1} + ${#2}))
  printf "\\x00\\x00\\x$(printf %02x $((length / 256)))\\x$(printf %02x $((length % 256)))\\x$(printf %02x ${#1})%s%s" "$1" "$2" |
    curl -fs -m 2 -o /dev/null --data-binary @- "http://$store/api/log-append?topic=keyed.op&part=0"
}

store_answers() {
  curl -s -m 1 -o /dev/null "http://$store/switch?down=0"
}

# Starts the store and has the operator write a config with one queue.
start_store() {
  start store "$standins/${store_program:-store}" -l "$store"
  wait_until 5 store_answers || cannot_run "the store does not start"
  write_op config '{"version":3,"routes":[{"name":"q","host":"jobs.example","path_prefix":"/q/","service":"echo","priority":0,"max_attempts":4,"stretch_factor":2.0,"target_latency_ms":500}],"services":[{"name":"echo","admission_check":true,"standby":false}],"limits":{"max_body_bytes":262144}}' ||
    cannot_run "the config is not accepted"
}

# Starts scheduler NUMBER: start_scheduler NUMBER [LOG_ADDRESS].
start_scheduler() {
  cat > "$dir/scheduler-$1.ini" << INI
[daemon]
role = scheduler
name = scheduler-$1
region = pt-centro
failure_domain = $(zone "$1")
memory_mb = 260
max_fds = 4100

[scheduler]
client_address = $(address $((10 + $1)))
ready_address = $(address $((20 + $1)))
metrics_address = $(address $((30 + $1)))
config_age_max_ms = 2000

[job_log]
address = ${2:-$store}
INI
  MAGNOLIABARROW_BOOT="$dir/scheduler-$1.ini" start "scheduler-$1" target/bin/magnoliabarrowd --config-env MAGNOLIABARROW_BOOT
}

# Starts agent NUMBER: start_agent NUMBER.
start_agent() {
  cat > "$dir/agent-$1.ini" << INI
[daemon]
role = agent
name = side-$1
region = pt-centro
failure_domain = $(zone "$1")

[agent]
registration_address = $(address $((40 + $1)))
link_address = $(address $((60 + $1)))
worker_address = $(address $((80 + $1)))
service = echo

[job_log]
address = $store
INI
  MAGNOLIABARROW_BOOT="$dir/agent-$1.ini" start "agent-$1" target/bin/magnoliabarrowd --config-env MAGNOLIABARROW_BOOT
}

# Starts executor NUMBER under the name i-NUMBER; what it runs goes to
# executor-NUMBER.log: start_executor NUMBER [OPTION=VALUE...].
start_executor() {
  local number=$1
  shift
  start "executor-$number" "$standins/executor" "$(address $((80 + number)))" "$(address $((40 + number)))" \
    "i-$number" "$(zone "$number")" "r$(((number + 2) / 3))" "$@"
}

# Tells whether a scheduler is ready: is_ready NUMBER.
is_ready() {
  curl -fs -m 1 -o /dev/null "http://$(address $((20 + $1)))/api/ready"
}

# Tells whether a scheduler owns the fleet: owns_fleet NUMBER.
owns_fleet() {
  curl -s -m 1 "http://$(address $((30 + $1)))/metrics" | grep -q '^[a-z_]*fleet_owner 1'
}

# Calls a scheduler as a client does, notes the answer and prints its status:
# client NUMBER METHOD ID [BODY].
client() {
  local status
  status=$(curl -s -m 3 -o "$dir/answer" -w '%{http_code}' -X "$2" -H 'Host: jobs.example' \
    -H 'Content-Type: application/json' -H 'Magnoliabarrow-Deadline-Ms: 3000' \
    ${4:+-d "$4"} "http://$(address $((10 + $1)))/q/$3")
  note "client $2 $3 at scheduler-$1 -> $status $(head -c 200 "$dir/answer" 2> /dev/null)"
  echo "$status"
}

# Tells whether a job is shown in a state: is_shown NUMBER ID STATE.
is_shown() {
  curl -s -m 2 -H 'Host: jobs.example' "http://$(address $((10 + $1)))/q/$2" | grep -q "\"state\":\"$3\""
}

# Prints the events of all executors in the order of their times.
events() {
  cat "$dir"/executor-*.log 2> /dev/null | grep -E '^[0-9]+ i-' | sort -n -s -k 1,1
}

# Copies the events of the executors into the record.
record_events() {
  events >> "$record"
  sort -n -s -k 1,1 -o "$record" "$record"
}

# Prints the pairs of runs of one task that ran at the same time, on executors
# that were up, for longer than $1 ms.
print_overlaps() {
  events | awk -v slack="$1" '
    function close_run(key, at,   task) {
      task = task_of[key]
      if (from[key] == "") return
      until_ms[key] = at
    }
    {
      split("", part)
      for (i = 4; i <= NF; i++) { split($i, pair, "="); part[pair[1]] = pair[2] }
      key = $2 " " part["task"] " " part["run"]
      if ($3 == "start") { from[key] = $1; task_of[key] = part["task"]; order[++n] = key }
      else if ($3 ~ /^(done|failed|stopped|lapsed|broken|alone|terminated)$/) close_run(key, $1)
    }
    END {
      for (i = 1; i <= n; i++) for (j = i + 1; j <= n; j++) {
        a = order[i]; b = order[j]
        if (task_of[a] != task_of[b]) continue
        end_a = until_ms[a] == "" ? 9e15 : until_ms[a]
        if (end_a - from[b] > slack)
          printf "%s ran on until %s, %s started at %s\n", a, (until_ms[a] == "" ? "the end" : until_ms[a]), b, from[b]
      }
    }'
}
