#!/usr/bin/env bash
# Guards against a --check that starts the daemon, an error without its exit
# code, and a reload that applies part of an invalid file or does not report
# that a change needs a restart.
. "$(dirname "$0")/common.sh"

cat > "$dir/entry.ini" <<INI
[daemon]
role = entry
name = entry-1
log_level = info
[entry]
client_address = $(address 81)
link_address = $(address 71)
INI

# Runs the daemon and expects an exit code: expect_exit CODE ARGS...
expect_exit() {
  local want=$1 got=0
  shift
  timeout 5 "$bin/magnoliabarrowd" "$@" > "$dir/out" 2> "$dir/err" || got=$?
  [ "$got" = "$want" ] || fail "magnoliabarrowd $* gave $got, expected $want: $(cat "$dir/err")"
}

# Waits up to 5 s until a file has a line with a text: wait_for_line FILE TEXT
wait_for_line() {
  for _ in $(seq 100); do
    grep -qF "$2" "$1" && return 0
    sleep 0.05
  done
  fail "no line '$2'"
}

expect_exit 0 -c "$dir/entry.ini" --check
pass "--check of a valid file ends with 0 without serving"
expect_exit 2
expect_exit 78 -c "$dir/none.ini" --check
printf '[daemon]\nrole = sidecar\nname = s\n' > "$dir/bad.ini"
expect_exit 78 -c "$dir/bad.ini" --check
grep -qF '[sidecar] service' "$dir/err" || fail "the error does not name the key"
printf '[daemon]\nrole = sidecar\nname = s\n[sidecar]\nservice = a\nentries = here\n' > "$dir/bad.ini"
expect_exit 78 -c "$dir/bad.ini" --check
grep -qF '[sidecar] entries' "$dir/err" || fail "the error does not name the key"
pass "an invalid command line ends with 2, invalid settings with 78"

start entry magnoliabarrowd -c "$dir/entry.ini"
entry=$started
log=$dir/entry.log
wait_for_line "$log" "entry serves clients"
sed -i 's/^log_level = .*/log_level = error/; s/^client_address = .*/client_address = 127.0.0.1:1/' "$dir/entry.ini"
kill -HUP "$entry"
wait_for_line "$log" "change needs a restart option=[entry]client_address"
wait_for_line "$log" "change applied option=[daemon]log_level"
echo 'nonsense' >> "$dir/entry.ini"
kill -HUP "$entry"
wait_for_line "$log" "settings refused, nothing changed"
pass "SIGHUP applies what it can, logs what needs a restart and rejects a bad file as a whole"

kill -USR1 "$entry"
wait_for_line "$log" '"role":"entry"'
grep '^{' "$log" > "$dir/dump.json" || fail "the dump is not a line of its own"
grep -qF "\"client_address\":\"$(address 81)\"" "$dir/dump.json" || fail "the dump lacks the client address in force"
grep -qF '"log_level":"error"' "$dir/dump.json" || fail "the dump lacks the log level in force"
pass "SIGUSR1 writes one line of JSON with the values in force"

kill -TERM "$entry"
wait "$entry" || fail "exit code $?"
grep -qF draining "$log" && fail "log_level = error was not in force"
pass "SIGTERM ends the daemon with 0, and the reloaded log level is in force"
finish
