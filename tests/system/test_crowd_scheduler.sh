#!/usr/bin/env bash
# Guards against a scheduler that runs out of memory or descriptors, ends, or no
# longer answers because of misbehaving clients, as test_crowd_entry.sh for an
# entry. A second argument names the only kind of crowd to play.
. "$(dirname "$0")/common.sh"
. "$(dirname "$0")/jobs.sh"
. "$(dirname "$0")/crowd.sh"
crowd_options=(-a "$(address 511)" -t /q/00000000000000aa -H jobs.example)
submitted=0
scheduler_daemon_settings='memory_mb = 160'

# Starts the scheduler.
start_target() {
  start_scheduler 1
  target=$started
}

# Submits a job that the scheduler accepts.
ask_ordinary() {
  submitted=$((submitted + 1))
  curl -fs -m 5 -o /dev/null -H 'Host: jobs.example' -X POST \
    "http://$(address 511)/q/$(printf %016x $((4096 + submitted)))" \
    -d '{"spec":"x","steps":[{"count":1,"cpu":500,"memory_limit_mb":100,"estimated_ms":300}]}'
}

start_store
play_crowds "${2:-}"
finish
