#!/usr/bin/env bash
# Guards against invalid input that changes state, ends a process or is not
# answered with a specific error: resources, requests, frames, settings, an
# occupied port, and a log that can't be reached.
. "$(dirname "$0")/common.sh"
log=$(address 10)
api=$(address 20)

# Writes the settings of an entry: write_entry NAME CLIENT_PORT LINK_PORT LOG API,
# ports as numbers for address(), LOG and API as addresses.
write_entry() {
  cat > "$dir/$1.ini" << INI
[daemon]
role = entry
name = $1
[entry]
client_address = $(address "$2")
link_address = $(address "$3")
[log]
address = $4
[api]
address = $5
INI
}
write_entry entry-1 80 70 "$log" "$api"
start log standin-log -l "$log" -r 60000
start entry magnoliabarrowd -c "$dir/entry-1.ini"
entry=$started
wait_for_url "http://$api/healthz"

# Writes a resource and expects an HTTP status and an error kind:
# expect_put_error STATUS KIND BODY
expect_put_error() {
  local status
  status=$(curl -s -o "$dir/answer" -w '%{http_code}' -X PUT --data-binary "$3" "http://$api/v1/team/red")
  [ "$status" = "$1" ] || fail "status $status, not $1, for ${3:0:60}: $(cat "$dir/answer")"
  grep -q "\"error\":\"$2\"" "$dir/answer" || fail "no error $2 for ${3:0:60}: $(cat "$dir/answer")"
}
expect_put_error 400 invalid '{"kind":"team",'
expect_put_error 400 invalid 'not json'
expect_put_error 400 invalid '{"kind":"team","name":"red","spec":{"quota":{"cpu_milli":1,"memory_mb":1},"colour":"x"}}'
grep -q colour "$dir/answer" || fail "the unknown field is not named: $(cat "$dir/answer")"
expect_put_error 400 invalid '{"kind":"team","name":"red","spec":{"quota":"much"}}'
expect_put_error 400 invalid '{"kind":"team","name":"red","spec":{"quota":{"cpu_milli":1,"memory_mb":1},"weight":100000}}'
head -c 1100000 /dev/zero | tr '\0' 'x' > "$dir/large"
expect_put_error 413 too_large "@$dir/large"
[ "$(curl -s -o /dev/null -w '%{http_code}' "http://$api/v1/team/red")" = 404 ] || fail "an invalid resource was stored"
pass "invalid resources are rejected with an error kind and change nothing"

status=$(curl -s -o /dev/null -w '%{http_code}' -H "X-Long: $(head -c 40000 /dev/zero | tr '\0' 'x')" "http://$(address 80)/svc/none/")
[[ $status == 4* ]] || fail "an oversized header gave $status"
status=$(curl -s -o "$dir/answer" -w '%{http_code}' --data-binary "@$dir/large" "http://$(address 80)/svc/none/")
[ "$status" = 413 ] || fail "an oversized body gave $status"
pass "requests with an oversized header or body are rejected"

for bytes in '\xff\xff\xff\xff' '\x00\x00\x00\x00' '\x00\x00\x00\x05\xdd\xff\xff\xff\xff' '\x00\x00\x00\x02\x91\x02' 'GET / HTTP/1.1\r\n\r\n'; do
  exec 3<> "/dev/tcp/127.0.0.1/$((port_base + 70))"
  printf "$bytes" >&3
  timeout 3 cat <&3 > /dev/null || fail "a connection with malformed bytes stays open"
  exec 3>&-
done
kill -0 "$entry" || fail "the entry ended after malformed frames"
curl -fs -o /dev/null "http://$api/healthz" || fail "the entry does not answer after malformed frames"
pass "malformed frames close only the connection that sent them"

# Starts a daemon that must end with an exit code and an error message that
# matches a pattern: expect_start_error CODE PATTERN ARGS...
expect_start_error() {
  local code=0
  timeout 10 "$bin/magnoliabarrowd" "${@:3}" 2> "$dir/refused" || code=$?
  [ "$code" = "$1" ] || fail "exit code $code, not $1: $(cat "$dir/refused")"
  grep -q "$2" "$dir/refused" || fail "no $2 in: $(cat "$dir/refused")"
}
printf '[daemon]\nrole = entry\nname = x\n[entry]\nhttp_threads = 99\n' > "$dir/range.ini"
expect_start_error 78 "range.ini:5: .*http_threads.*1 to 16" -c "$dir/range.ini"
printf '[daemon]\nrole = entry\nname = x\nspeed = 3\n' > "$dir/unknown.ini"
expect_start_error 78 "unknown.ini:4: .*speed: unknown key" -c "$dir/unknown.ini"
printf '[daemon]\nrole = entry\nname = x\nmemory_mb = 160\n[entry]\nbuffer_mb = 160\n' > "$dir/limits.ini"
expect_start_error 78 "limits.ini: .*buffer_mb: .* 160 MB of memory" -c "$dir/limits.ini"
write_entry entry-2 80 71 "$log" "$(address 21)"
expect_start_error 74 "cannot listen on port $((port_base + 80))" -c "$dir/entry-2.ini"
pass "invalid settings and an occupied port end the daemon with an exit code"

write_entry entry-3 83 73 "$(address 19)" "$(address 23)"
start entry-3 magnoliabarrowd -c "$dir/entry-3.ini"
sleep 1
status=$(curl -s -m 20 -o "$dir/answer" -w '%{http_code}' -X PUT -d '{"kind":"team","name":"red","spec":{"quota":{"cpu_milli":1,"memory_mb":1}}}' "http://$(address 23)/v1/team/red")
[[ $status == 50[34] ]] || fail "a write without a log gave $status: $(cat "$dir/answer")"
kill -0 "$started" || fail "the entry without a log ended"
pass "without a log a write is rejected and the process keeps running"
finish
