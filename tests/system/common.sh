# Helpers for the system tests and benches, which run the real programs. A
# script sources this file with the folder of the programs in $1. Ports count
# from MB_TEST_PORT_BASE (default 18000), so that several checkouts can run
# their tests at the same time.
set -euo pipefail
bin=$1
dir=$(mktemp -d)
pids=()
passed=0
port_base=${MB_TEST_PORT_BASE:-18000}

# Prints the address of the test's port number $1 (0 to 999).
address() {
  echo "127.0.0.1:$((port_base + $1))"
}

# Kills the processes that still run and removes the test's files; keeps the
# exit code.
cleanup() {
  local status=$?
  kill -KILL "${pids[@]}" 2> /dev/null || true
  wait 2> /dev/null || true
  rm -rf "$dir"
  exit $status
}
trap cleanup EXIT

# Ends the test with a message and the last 50 lines of each process's log.
fail() {
  echo "FAIL: $1" >&2
  tail -n 50 "$dir"/*.log >&2 || true
  exit 1
}

# Counts and prints a check that passed.
pass() {
  passed=$((passed + 1))
  echo "ok $passed $1"
}

# Starts a program in the background: start NAME PROGRAM ARGS... Its process
# id is then in $started, its output in $dir/NAME.log.
start() {
  local name=$1 program=$2
  shift 2
  "$bin/$program" "$@" >> "$dir/$name.log" 2>&1 &
  started=$!
  pids+=("$started")
}

# Waits up to 10 s until a URL answers with success.
wait_for_url() {
  for _ in $(seq 200); do
    curl -fs -o /dev/null "$1" && return 0
    sleep 0.05
  done
  fail "$1 does not answer"
}

# Prints the number of passed checks, as the last line of a test.
finish() {
  echo "$passed passed, 0 failed"
}
