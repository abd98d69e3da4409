#!/usr/bin/env bash
# Runs the tests of random histories with increasing seeds for a given time, and
# crowds of misbehaving clients beside ordinary ones against an entry and a
# scheduler: soak.sh BIN [SEED [SECONDS]]. Prints the histories, events, rate and seeds of
# each test. A failure prints the command that repeats it and ends the runs of
# that test; the exit code is then 1.
set -euo pipefail
bin=$1
seed=${2:-1}
seconds=${3:-60}
failed=0

# Runs one test in batches of histories: soak_test NAME BATCH SECONDS.
soak_test() {
  local name=$1 batch=$2 next=$seed histories=0 events=0 begin=$SECONDS batch_events took
  [ -x "$bin/$name" ] || { echo "no program $name" >&2; exit 2; }
  while [ $((SECONDS - begin)) -lt "$3" ]; do
    if ! MB_SEED=$next MB_HISTORIES=$batch MB_HISTORY_SEED=$next MB_HISTORY_COUNT=$batch \
      RC_PARAMS="seed=$next" "$bin/$name" > "$out" 2>&1; then
      tail -n 40 "$out"
      echo "repeat: MB_SEED=$next MB_HISTORIES=$batch MB_HISTORY_SEED=$next MB_HISTORY_COUNT=$batch" \
        "RC_PARAMS=seed=$next $bin/$name"
      failed=1
      return
    fi
    batch_events=$(sed -n "s/.*events[= ]\([0-9]*\).*/\1/p" "$out" | head -n 1)
    events=$((events + ${batch_events:-0}))
    histories=$((histories + batch))
    next=$((next + batch))
  done
  took=$((SECONDS - begin))
  [ "$took" -gt 0 ] || took=1
  echo "$name histories=$histories events=${events/#0/none} seconds=$took rate=$((histories / took))/s seeds=$seed..$((next - 1))"
}

# Plays a mixed crowd beside ordinary clients: soak_crowd ROLE SECONDS.
soak_crowd() {
  if ! MB_CROWD_SECONDS=$2 bash "$(dirname "$0")/../system/test_crowd_$1.sh" "$bin" mixed > "$out" 2>&1; then
    tail -n 40 "$out"
    echo "repeat: MB_CROWD_SECONDS=$2 bash tests/system/test_crowd_$1.sh $bin mixed"
    failed=1
    return
  fi
  echo "crowd $1 $(grep '^figures' "$out")"
}

out=$(mktemp)
trap 'rm -f "$out"' EXIT
test_seconds=$(((seconds + 5) / 6))
soak_test test_request_history 5000 "$test_seconds"
soak_test test_shard_history 100 "$test_seconds"
soak_test test_config_history 100 "$test_seconds"
# test_replica sets the number of its cases itself: a run counts as one history.
soak_test test_replica 1 "$test_seconds"
soak_crowd entry "$test_seconds"
soak_crowd scheduler "$test_seconds"
exit "$failed"
