# Helpers for the tests of shards. They run the stand-in log, three stand-in
# workers, each with a journal of its starts and stops, and two entries, either
# of which may own a shard. Source common.sh first.
log=$(address 10)
worker_lease_ms=2000
journals=()
declare -A pid

# Starts or restarts entry number $1; its process id is then in pid[entry-$1].
start_entry() {
  cat > "$dir/entry-$1.ini" << INI
[daemon]
role = entry
name = entry-$1
failure_domain = domain-$1
[entry]
client_address = $(address $((80 + $1)))
link_address = $(address $((70 + $1)))
[log]
address = $log
retention_ms = 60000
[api]
address = $(address $((20 + $1)))
[shard]
count = ${shard_count:-1}
lease_ms = 1500
drift_margin_ms = 200
claim_delay_ms = 200
worker_lease_ms = $worker_lease_ms
sync_period_ms = 100
batch_delay_ms = 100
outage_grace_ms = 20000
INI
  start "entry-$1" magnoliabarrowd -c "$dir/entry-$1.ini"
  pid[entry-$1]=$started
}

# Starts or restarts worker number $1 with the options that follow; its process
# id is then in pid[worker-$1].
start_worker() {
  local number=$1
  shift
  start "worker-$number" standin-worker -l "$(address $((60 + number)))" -n "worker-$number" \
    -j "$dir/journal.$number" --cpu-milli 4000 --memory-mb 8000 --usage-lag-ms 0 "$@"
  pid[worker-$number]=$started
  journals[number]="$dir/journal.$number"
}

# Runs the command line client against entry number $1.
cli() {
  "$bin/magnoliabarrow" --server "$(address $((20 + $1)))" "${@:2}"
}

# Prints the resource of worker number $1.
worker_json() {
  echo "{\"kind\":\"worker\",\"name\":\"worker-$1\",\"spec\":{\"address\":\"$(address $((60 + $1)))\",\"region\":\"north\",\"failure_domain\":\"domain-$1\",\"rack\":\"rack-$1\",\"capacity\":{\"cpu_milli\":4000,\"memory_mb\":8000}}}"
}

# Prints the resource of a job: job_json NAME COUNT CPU_MILLI COMMAND [FIELDS],
# FIELDS: more fields of the spec, each with a comma before it.
job_json() {
  echo "{\"kind\":\"job\",\"name\":\"$1\",\"spec\":{\"team\":\"web\",\"count\":$2,\"size\":{\"cpu_milli\":$3,\"memory_mb\":100},\"run_time_ms\":1000,\"command\":\"$4\"${5:-}}}"
}

# Applies a job through entry number $1; the rest as for job_json.
apply_job() {
  local entry=$1
  shift
  job_json "$@" > "$dir/job.json"
  cli "$entry" apply -f "$dir/job.json" > "$dir/apply.out" || fail "apply $1"
}

# Prints a field of a job's status as an entry reports it:
# job_field ENTRY JOB NAME
job_field() {
  cli "$1" get job "$2" -o json 2> /dev/null | grep -o '"status":{.*' | sed -n "s/.*\"$3\":\"\{0,1\}\([a-z_0-9]*\).*/\1/p"
}

# Waits until a field of a job's status has a value:
# wait_for_job_field SECONDS ENTRY JOB NAME VALUE
wait_for_job_field() {
  local end=$(($(date +%s%N) + $1 * 1000000000))
  while [ "$(job_field "$2" "$3" "$4")" != "$5" ]; do
    [ "$(date +%s%N)" -lt "$end" ] ||
      fail "$4 of $3 is $(job_field "$2" "$3" "$4"), not $5, at entry $2 after $1 s"
    sleep 0.05
  done
}

# Prints the value of a metric of an entry, nothing when the entry does not
# answer: metric ENTRY NAME
metric() {
  curl -s -m 2 "http://$(address $((20 + $1)))/metrics" | sed -n "s/^$2 //p"
}

# Waits until one of the entries (default: 1 and 2) owns a single shard; its
# number is then in $owner, that of the other entry in $other:
# wait_for_owner SECONDS [ENTRY...]
wait_for_owner() {
  local end=$(($(date +%s%N) + $1 * 1000000000))
  shift
  while true; do
    for owner in "${@:-1 2}"; do
      for owner in $owner; do
        if [ "$(metric "$owner" mb_shards_owned)" = 1 ]; then
          other=$((3 - owner))
          return 0
        fi
      done
    done
    [ "$(date +%s%N)" -lt "$end" ] || fail "no entry owns the shard"
    sleep 0.02
  done
}

# Checks the journals of all workers together: check_journals [NAME=VALUE...],
# with the variables of check_journal.awk.
check_journals() {
  local options=()
  for option in "$@"; do
    options+=(-v "$option")
  done
  sort -n "${journals[@]}" | awk "${options[@]}" -f "$(dirname "$0")/check_journal.awk" > "$dir/check.out" ||
    fail "$(cat "$dir/check.out")"
}

# Starts the log, both entries and the workers, applies the resources of the
# workers and of the team "web", and with one shard waits for its owner.
start_cluster() {
  start log standin-log -l "$log" -r 60000
  wait_for_url "http://$log/v1/streams/config/records?from=0&max=1&wait_ms=0"
  start_entry 1
  start_entry 2
  for number in 1 2 3; do
    start_worker "$number"
    worker_json "$number" >> "$dir/resources.json"
  done
  echo '{"kind":"team","name":"web","spec":{"quota":{"cpu_milli":100000,"memory_mb":400000}}}' >> "$dir/resources.json"
  wait_for_url "http://$(address 21)/healthz"
  wait_for_url "http://$(address 22)/healthz"
  cli 1 apply -f "$dir/resources.json" > "$dir/apply.out" || fail "apply"
  [ "${shard_count:-1}" -gt 1 ] || wait_for_owner 10
}
