#!/usr/bin/env bash
# Guards against an entry that is healthy before its sidecars have attached, and
# answers 404 to the first requests after each start.
. "$(dirname "$0")/common.sh"

starts=15
log=$(address 840)
api=$(address 841)
client=$(address 842)
writer_api=$(address 843)

cat > "$dir/entry.ini" << INI
[daemon]
role = entry
name = entry-1
[entry]
client_address = $client
link_address = $(address 844)
[log]
address = $log
[api]
address = $api
INI
cat > "$dir/sidecar.ini" << INI
[daemon]
role = sidecar
name = sidecar-1
[sidecar]
service = echo
upstream_address = $(address 845)
[log]
address = $log
[api]
address = $writer_api
INI

# Changes the configuration every 40 ms, which ends the entry's first read of
# the log early.
write_configuration() {
  local n=0
  while [ ! -e "$dir/end" ]; do
    n=$((n + 1))
    curl -s -m 2 -o /dev/null -X PUT -d '{"spec":{"quota":{},"weight":1}}' "http://$writer_api/v1/team/n$n?revision=0" || true
    sleep 0.04
  done
}

# Prints the status of the first request after /healthz is 200.
first_status() {
  local _
  for _ in $(seq 2000); do
    curl -fs -m 0.3 -o /dev/null "http://$api/healthz" && break
    sleep 0.002
  done
  curl -s -m 5 -o /dev/null -w '%{http_code}' "http://$client/svc/echo/hello"
}

start upstream standin-upstream -l "$(address 845)"
start log standin-log -l "$log"
start sidecar magnoliabarrowd -c "$dir/sidecar.ini"
start entry magnoliabarrowd -c "$dir/entry.ini"
entry=$started
wait_for_url "http://$client/svc/echo/hello"
write_configuration &
writer=$!
pids+=("$writer")
failed=0
for ((n = 0; n < starts; n++)); do
  kill -KILL "$entry"
  wait "$entry" 2> /dev/null || true
  start entry magnoliabarrowd -c "$dir/entry.ini"
  entry=$started
  status=$(first_status)
  [ "$status" = 200 ] || failed=$((failed + 1))
done
touch "$dir/end"
wait "$writer"
[ "$failed" = 0 ] || fail "$failed of $starts starts: the first request of a healthy entry failed"
pass "a healthy entry has its sidecars"
finish
