# Checks the lines of standin-executor: no task runs twice at a time, at one
# executor or at two. Arguments: the file of each executor, in order of time. An
# executor that was killed prints no ends: its runs end when it is up again.
# Prints the runs that overlap; exit code 1 if there are any.

# Returns the value of a field of the line: get(NAME).
function get(name,   i, parts) {
  for (i = 1; i <= NF; i++) {
    split($i, parts, "=")
    if (parts[1] == name) return parts[2]
  }
  return ""
}

# Returns when a run ended, in milliseconds, or "inf" if it has not.
function get_end(run) {
  return run in end_ms ? end_ms[run] : "inf"
}

# Tells whether a run begins before another one has ended.
function begins_before_end(run, other) {
  return !(other in end_ms) || start_ms[run] < end_ms[other]
}

$1 == "up" {
  for (i = 1; i <= count; i++) {
    if (file_of[i] == FILENAME && !(i in end_ms)) end_ms[i] = get("at_ms") + 0
  }
  next
}

$1 == "start" {
  count++
  file_of[count] = FILENAME
  task_of[count] = get("task")
  number_of[count] = get("run")
  start_ms[count] = get("at_ms") + 0
  next
}

{
  for (i = 1; i <= count; i++) {
    if (file_of[i] == FILENAME && task_of[i] == get("task") && number_of[i] == get("run") && !(i in end_ms)) {
      end_ms[i] = get("at_ms") + 0
    }
  }
}

END {
  for (i = 1; i <= count; i++) {
    for (k = 1; k < i; k++) {
      if (task_of[i] != task_of[k] || !begins_before_end(i, k) || !begins_before_end(k, i)) continue
      print "task=" task_of[i] " run=" number_of[k] " " start_ms[k] " to " get_end(k) \
        ", run=" number_of[i] " " start_ms[i] " to " get_end(i) " ms"
      faults++
    }
  }
  if (faults > 0) exit 1
}
