# The rule TWICE, over the record in order of time, as far as executors see it.
# Prints two numbers: starts after a run of the task has ended `done`, if that
# end is taken note of then or later and the executor's lease has not lapsed in
# between; and runs that began while another run of the task went on, on
# executors that are up. The first examples go to standard error.
function field(name,   i) {
  for (i = 3; i <= NF; i++) if (index($i, name "=") == 1) return substr($i, length(name) + 2)
}
function example(text) { if (examples++ < 3) print text > "/dev/stderr" }
# A new life of an executor, or a lapsed lease: its unread ends never count.
function drop_ends(id,   key, part) {
  for (key in unread) { split(key, part, " "); if (part[1] == id) delete unread[key] }
}
$3 == "boot" {
  drop_ends($2)
  for (key in since) { split(key, part, " "); if (part[1] == $2) delete since[key] }
}
$3 == "lease-lapsed" { drop_ends($2) }
$3 == "start" {
  task = field("task")
  if (task in noted) { after++; example("task " task ": run " field("run") " started after the end done of an earlier run") }
  for (key in unread) if (unread[key] == task) waiting[key]++
  since[$2 " " task " " field("run")] = $1
}
$3 == "done" { unread[$2 " " field("number")] = field("task") }
$3 == "ack" {
  for (key in unread) {
    split(key, part, " ")
    if (part[1] != $2 || part[2] + 0 > field("cursor") + 0) continue
    if (waiting[key] > 0) { after += waiting[key]; example("task " unread[key] ": started after its end done, acknowledged later") }
    noted[unread[key]] = 1
    delete unread[key]
    delete waiting[key]
  }
}
$3 ~ /^(done|failed|stopped|lapsed)$/ {
  task = field("task")
  own = $2 " " task " " field("run")
  for (key in since) {
    split(key, part, " ")
    if (key != own && part[2] == task && since[key] > since[own] && since[key] < $1) {
      beside++
      example("task " task ": run " part[3] " began " $1 - since[key] " ms before the end of run " field("run"))
    }
  }
  # A run that began during this one may have ended before it.
  if ((own in since) && (task in begun) && begun[task] > since[own]) beside++
  if (since[own] > begun[task]) begun[task] = since[own]
  delete since[own]
}
END { print after + 0, beside + 0 }
