# Checks the journals of standin-worker, merged in order of time (sort -n):
# - no task runs on two workers at once, or starts while it runs already;
# - no attempt starts twice;
# - no task starts after it completed (stopped with reason=end);
# - the tasks of a worker never exceed its capacity;
# - with finished=N, exactly N tasks completed.
# Variables: capacity: of each worker, in thousandths of a processor (default
# 4000); kills="WORKER:TIME_US ...": workers that were killed at a time, so
# that their journal has no line for the end of their tasks. Prints the faults;
# exit code 1 when there are any.

# Prints a fault with the time of the current line.
function fault(text) {
  print $1 ": " text
  faults++
}

# Removes a task from its worker and releases its processors.
function remove_task(task) {
  used[worker_of[task]] -= size[task]
  delete worker_of[task]
}

# Removes the tasks of workers that were killed up to the current line's time.
function apply_kills(   i, fields, task) {
  for (i = 1; i <= kill_count; i++) {
    if (kill_applied[i]) continue
    split(kill_list[i], fields, ":")
    if (fields[2] + 0 > $1 + 0) continue
    kill_applied[i] = 1
    for (task in worker_of) {
      if (worker_of[task] == fields[1]) remove_task(task)
    }
  }
}

BEGIN {
  if (capacity == "") capacity = 4000
  kill_count = split(kills, kill_list, " ")
}

$3 != "start" && $3 != "stop" { next }

{
  apply_kills()
  task = $4
  attempt = $4 " " $5
  split($6, cpu, "=")
}

$3 == "start" {
  if (task in worker_of) fault(task " starts on " $2 " while it runs on " worker_of[task])
  if (attempt in started) fault(attempt " starts twice")
  if (task in completed) fault(task " starts after it completed")
  started[attempt] = 1
  worker_of[task] = $2
  size[task] = cpu[2]
  used[$2] += cpu[2]
  if (used[$2] > capacity) fault($2 " runs tasks of " used[$2] " thousandths of a processor, capacity " capacity)
}

$3 == "stop" {
  if (task in worker_of && worker_of[task] == $2) remove_task(task)
  if ($0 ~ /reason=end$/) completed[task] = 1
}

END {
  for (task in completed) count++
  if (finished != "" && count + 0 != finished + 0) {
    print count + 0 " tasks completed, not " finished
    faults++
  }
  if (faults > 0) exit 1
  print count + 0 " tasks completed, no fault"
}
