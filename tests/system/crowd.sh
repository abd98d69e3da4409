# Helpers for the tests of misbehaving clients: a crowd (standin-crowd) against
# one process. The bounds are those of the smallest machine that runs the
# process. Only what does not depend on the speed of the machine is checked.
# Source common.sh first.
#
# A test defines start_target, which starts the process afresh and sets $target,
# ask_ordinary, which succeeds if an ordinary request is answered, and
# $crowd_options for standin-crowd.
memory_max_kb=$((160 * 1024))
fds_max=4100
# Memory and descriptors that a process may keep above its earlier level some
# seconds after the crowd has left.
memory_left_kb=$((24 * 1024))
fds_left=16
crowd_failed=0

# Prints a figure of the status of the process, in kB, nothing if it has ended:
# memory_kb VmRSS|VmHWM.
memory_kb() {
  sed -n "s/^$1:[^0-9]*\([0-9]*\) kB/\1/p" "/proc/$target/status" 2> /dev/null || true
}

# Prints the number of open descriptors of the process.
count_fds() {
  { find "/proc/$target/fd" -mindepth 1 2> /dev/null || true; } | wc -l
}

# Counts a violation, prints it and goes on, so that all figures are shown.
violated() {
  echo "VIOLATED: $1"
  violations=$((violations + 1))
}

# Waits up to 20 s until memory and descriptors are back near their earlier
# levels $1 and $2.
wait_for_return() {
  for _ in $(seq 200); do
    rss=$(memory_kb VmRSS)
    fds=$(count_fds)
    [ "${rss:-0}" -le $(($1 + memory_left_kb)) ] && [ "$fds" -le $(($2 + fds_left)) ] && return 0
    sleep 0.1
  done
  violated "20 s after the crowd: ${rss:-0} kB (earlier $1), $fds descriptors (earlier $2)"
}

# Waits up to 60 s until an ordinary request is answered.
wait_for_answer() {
  local end=$((SECONDS + 60))
  while [ "$SECONDS" -lt "$end" ]; do
    ask_ordinary && return 0
    sleep 0.2
  done
  violated "an ordinary request is not answered after the crowd"
}

# Runs a crowd against a fresh process and checks it: play_crowd KIND CONNECTIONS
# BYTES SECONDS [ORDINARY], with ORDINARY connections beside it.
play_crowd() {
  local crowd rss_before fds_before rss fds peak_fds=0 hwm
  violations=0
  start_target
  wait_for_answer
  rss_before=$(memory_kb VmRSS)
  fds_before=$(count_fds)
  if [ "${5:-0}" -gt 0 ]; then
    start ordinary standin-crowd "${crowd_options[@]}" -k ordinary -n "$5" -b 64 -s "$4"
  fi
  start crowd standin-crowd "${crowd_options[@]}" -k "$1" -n "$2" -b "$3" -s "$4"
  crowd=$started
  while kill -0 "$crowd" 2> /dev/null; do
    fds=$(count_fds)
    peak_fds=$((fds > peak_fds ? fds : peak_fds))
    sleep 0.2
  done
  kill -0 "$target" 2> /dev/null || violated "the process ended"
  hwm=$(memory_kb VmHWM)
  [ "${hwm:-0}" -le "$memory_max_kb" ] || violated "peak of memory $hwm kB (at most $memory_max_kb)"
  [ "$peak_fds" -le "$fds_max" ] || violated "$peak_fds descriptors (at most $fds_max)"
  wait_for_return "$rss_before" "$fds_before"
  wait_for_answer
  echo "figures crowd=$1 connections=$2 bytes=$3 rss_before_kb=$rss_before peak_kb=${hwm:-0} rss_after_kb=$(memory_kb VmRSS)" \
    "fds_before=$fds_before fds_peak=$peak_fds fds_after=$(count_fds) violations=$violations $(tail -n 1 "$dir/crowd.log")"
  if [ "$violations" = 0 ]; then
    pass "the process survives the crowd $1"
  else
    crowd_failed=$((crowd_failed + 1))
  fi
  kill -KILL "$target"
  wait "$target" 2> /dev/null || true
}

# Plays every kind of crowd: play_crowds [KIND]; only KIND if it is given. The
# soak plays the mixed one for longer.
play_crowds() {
  local row
  for row in "large 300 1000000 6" "tiny 1000 250000 20" "stopped 300 1000000 6" "announced 300 1000000 6" \
    "endless 300 1000000 6" "headers 3000 12000 8" "silent 4000 1 6" "deaf 400 400000 8" \
    "churn 300 1000000 8" "mixed 400 1000000 ${MB_CROWD_SECONDS:-10} 40"; do
    if [ -z "${1:-}" ] || [ "$1" = "${row%% *}" ]; then
      # shellcheck disable=SC2086
      play_crowd $row
    fi
  done
  [ "$crowd_failed" = 0 ] || fail "$crowd_failed kinds of crowds break the bounds"
}
