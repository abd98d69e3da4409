#!/usr/bin/env bash
# Runs the whole system on loopback: a log, three workers, two entries, and two
# sidecars with an upstream each. Sends requests while a sidecar drains, stops
# the entry that owns the shard of a job while the job runs, prints the results
# with the command-line client, and stops everything. Argument: the folder with
# the programs. Environment: MB_DEMO_PORT_BASE, the port to which the port
# numbers below are added (default 17000).
set -euo pipefail
bin=$1
here=$(dirname "$0")
base=${MB_DEMO_PORT_BASE:-17000}
dir=$(mktemp -d)
pids=()

# Stops the programs that still run and removes their files.
cleanup() {
  local status=$?
  kill -TERM "${pids[@]}" 2> /dev/null || true
  wait 2> /dev/null || true
  rm -rf "$dir"
  exit $status
}
trap cleanup EXIT

# Prints the address with a port number of this run: address NUMBER
address() {
  echo "127.0.0.1:$((base + $1))"
}

# Writes the settings file ROLE-NUMBER.ini from the example of the role, with
# addresses of this run, and checks it: settings ROLE NUMBER
settings() {
  sed -e "s/^name = .*/name = $1-$2/" \
    -e "s/^client_address = .*/client_address = $(address $((80 + $2)))/" \
    -e "s/^link_address = .*/link_address = $(address $((70 + $2)))/" \
    -e "s/^upstream_address = .*/upstream_address = $(address $((90 + $2)))/" \
    -e "s/^entries = .*/entries = $(address 71), $(address 72)/" \
    -e "s/127.0.0.1:16000/$(address 10)/; s/127.0.0.1:7000/$(address $((20 + $2)))/" \
    "$here/$1.ini" > "$dir/$1-$2.ini"
  "$bin/magnoliabarrowd" -c "$dir/$1-$2.ini" --check > "$dir/check.out"
}

# Starts a program in the background and sets $started to its process id:
# start LOG-NAME COMMAND...
start() {
  local log=$1
  shift
  "$@" > "$dir/$log.log" 2>&1 &
  started=$!
  pids+=("$started")
}

# Runs the command-line client against entry number $1.
cli() {
  "$bin/magnoliabarrow" --server "$(address $((20 + $1)))" "${@:2}"
}

# Repeats a command until it succeeds. Fails after 150 attempts (15 s or more).
wait_for() {
  for _ in $(seq 150); do
    "$@" > "$dir/wait.out" 2>&1 && return 0
    sleep 0.1
  done
  echo "gave up waiting: $*" >&2
  tail -n 20 "$dir"/*.log >&2
  return 1
}

# Succeeds if entry number $1 owns the shard.
owns() {
  cli "$1" metrics | grep -q '^mb_shards_owned 1'
}

# Succeeds if the job, as shown by entry number $1, contains the text $2.
status_has() {
  cli "$1" get job index-build -o json | grep -q "$2"
}

# Prints the status of the job, as shown by entry number $1.
show_status() {
  cli "$1" get job index-build -o json | grep -o '"status":{[^}]*}'
}

start log "$bin/standin-log" -l "$(address 10)"
for i in 1 2; do
  settings entry "$i"
  settings sidecar "$i"
  start "upstream-$i" "$bin/standin-upstream" -l "$(address $((90 + i)))" -n "upstream-$i"
  start "entry-$i" "$bin/magnoliabarrowd" -c "$dir/entry-$i.ini"
  entries[i]=$started
  start "sidecar-$i" "$bin/magnoliabarrowd" -c "$dir/sidecar-$i.ini"
  sidecars[i]=$started
done
for i in 1 2 3; do
  start "worker-$i" "$bin/standin-worker" -l "$(address $((60 + i)))" -n "worker-$i"
done
wait_for curl -fs "http://$(address 21)/healthz"
wait_for curl -fs "http://$(address 22)/healthz"
wait_for curl -fs "http://$(address 81)/svc/search/"
wait_for curl -fs "http://$(address 82)/svc/search/"
echo "1 log, 3 workers, 2 entries, 2 sidecars with upstreams are up"

for i in 1 2 3; do
  sed -e "s/worker-1/worker-$i/; s/127.0.0.1:19500/$(address $((60 + i)))/; s/rack-1/rack-$i/" \
    "$here/resources/worker.json"
done > "$dir/workers.json"
# The upstreams here are not started as tasks on workers, so the service needs 0
# instances. One of the requests takes 1 s, which needs a longer deadline.
sed -e 's/"instances": 11/"instances": 0/; s/"deadline_ms": 200/"deadline_ms": 5000/' \
  "$here/resources/service.json" > "$dir/service.json"
for file in "$dir"/{workers,service}.json "$here"/resources/{team,constraint,policy}.json; do
  cli 1 apply -f "$file"
done
echo "declared workers, seen at entry 2:"
sleep 0.5
cli 2 get worker

(for i in $(seq 300); do
  curl -s -o "$dir/body" -w '%{http_code}\n' "http://$(address $((81 + i % 2)))/svc/search/item/$i"
done | sort | uniq -c > "$dir/load") &
load=$!
curl -s -o "$dir/slow.body" -w '%{http_code}' "http://$(address 81)/svc/search/sleep/1000" > "$dir/slow" &
slow=$!
sleep 0.3
kill -TERM "${sidecars[2]}"
wait "$load" "$slow" "${sidecars[2]}"
echo "300 requests while one sidecar drained (count, status): $(cat "$dir/load")"
echo "a request of 1 s during the drain gave: $(cat "$dir/slow")"

owner=1
wait_for eval 'owns 1 || owns 2'
owns 1 || owner=2
other=$((3 - owner))
cli "$other" apply -f "$here/resources/job.json"
wait_for status_has "$owner" '"running":2[0-9]'
echo "job at entry $owner, the owner of its shard: $(show_status "$owner")"
kill -TERM "${entries[owner]}"
wait "${entries[owner]}"
wait_for owns "$other"
echo "entry $owner was stopped with SIGTERM; entry $other owns the shard"
wait_for status_has "$other" '"finished":40'
echo "job at entry $other: $(show_status "$other")"
echo "explain, latest events:"
cli "$other" explain index-build | grep -o '"events":.*' | cut -c 1-300
echo "metrics of entry $other:"
cli "$other" metrics | grep -E '^mb_(shards_owned|shard_takeovers_total|task_[a-z]*_total|requests_total|requests_answered_total) '
kill -TERM "${sidecars[1]}"
wait "${sidecars[1]}"
kill -TERM "${entries[other]}"
wait "${entries[other]}"
echo "entries and sidecars drained and stopped with exit code 0"
