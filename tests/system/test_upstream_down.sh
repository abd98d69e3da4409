#!/usr/bin/env bash
# Guards against requests to an upstream that is down that are reported as
# possibly run, and against an upstream that gets no requests after it is back.
. "$(dirname "$0")/common.sh"

cat > "$dir/entry.ini" <<INI
[daemon]
role = entry
name = entry-1
[entry]
client_address = $(address 280)
link_address = $(address 270)
INI
cat > "$dir/sidecar.ini" <<INI
[daemon]
role = sidecar
name = sidecar-1
[sidecar]
service = echo
upstream_address = $(address 290)
entries = $(address 270)
INI
start upstream standin-upstream -l "$(address 290)"
upstream=$started
start entry magnoliabarrowd -c "$dir/entry.ini"
start sidecar magnoliabarrowd -c "$dir/sidecar.ini"
url=http://$(address 280)/svc/echo
wait_for_url "$url/ready"
kill -TERM "$upstream"
wait "$upstream" || fail "upstream exit code $?"
for _ in 1 2 3; do
  answer=$(curl -s -o /dev/null -w '%{http_code} %header{x-magnoliabarrow-run}' -d x "$url/")
  [ "$answer" = "503 no" ] || fail "an upstream that is down gave $answer"
done
pass "requests to an upstream that is down get 503 and are reported as not run"
start upstream standin-upstream -l "$(address 290)"
for _ in $(seq 40); do
  code=$(curl -s -o /dev/null -w '%{http_code}' -d x "$url/")
  [ "$code" = 200 ] && break
  sleep 0.1
done
[ "$code" = 200 ] || fail "an upstream that is back gave $code"
pass "an upstream that is back gets requests again"
finish
