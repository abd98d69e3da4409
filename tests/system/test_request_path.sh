#!/usr/bin/env bash
# Guards against a request that reaches the upstream changed, or whose response
# comes back incomplete, through entry and sidecar; and against a planned stop
# that cuts off a request in flight.
. "$(dirname "$0")/common.sh"

cat > "$dir/entry.ini" <<INI
[daemon]
role = entry
name = entry-1
[entry]
client_address = $(address 80)
link_address = $(address 70)
INI
cat > "$dir/sidecar.ini" <<INI
[daemon]
role = sidecar
name = sidecar-1
[sidecar]
service = echo
upstream_address = $(address 90)
entries = $(address 70)
INI
start upstream standin-upstream -l "$(address 90)"
start entry magnoliabarrowd -c "$dir/entry.ini"
entry=$started
start sidecar magnoliabarrowd -c "$dir/sidecar.ini"
sidecar=$started

url=http://$(address 80)/svc/echo
wait_for_url "$url/ready"
answer=$(curl -fs -d 'hello' "$url/a/b?c=d") || fail "no answer"
[[ $answer == *'"path":"/a/b?c=d","body":"hello"'* ]] || fail "wrong answer $answer"
answer=$(curl -fs "$url?c=d") || fail "no answer without a path"
[[ $answer == *'"path":"/?c=d"'* ]] || fail "wrong answer to a query without a path: $answer"
pass "path, query and body reach the upstream, and its response comes back"
code=$(curl -s -o /dev/null -w '%{http_code}' "http://$(address 80)/svc/none/")
[ "$code" = 404 ] || fail "unknown service gave $code"
pass "a request for an unknown service gets 404"

# 3.5 s is longer than the grace period of 2 s that a drain waits for in any
# case, so the sidecar must wait for this request itself.
curl -s -o "$dir/slow" -w '%{http_code}' "$url/sleep/3500" > "$dir/slow.code" & slow=$!
sleep 0.3
kill -TERM "$sidecar"
wait "$slow" || fail "the request in flight was cut off"
[ "$(cat "$dir/slow.code")" = 200 ] || fail "the request in flight got $(cat "$dir/slow.code")"
wait "$sidecar" || fail "sidecar exit code $?"
pass "a stop of the sidecar waits for the request in flight"
kill -TERM "$entry"
wait "$entry" || fail "entry exit code $?"
pass "a stop of the entry ends with success"
finish
