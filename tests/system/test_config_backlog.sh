#!/usr/bin/env bash
# Guards against a scheduler behind a narrow link that stays on an old
# configuration after it could not read the log while large versions were
# written. The link carries 10 Mbit/s; the backlog takes longer to carry than a
# read without a byte may last.
. "$(dirname "$0")/common.sh"

store=$(address 800)
clients=http://$(address 802)
link_bytes_per_ms=1250
in_force_s=3

# Appends version $1 of the configuration, with the queue "vN" of that version
# only and 2,400 that never change: about 290 KB.
write_version() {
  awk -v version="$1" 'BEGIN {
    form = "{\"name\":\"%s\",\"host\":\"jobs.example\",\"path_prefix\":\"/%s/\",\"service\":\"echo\",\"max_attempts\":3},"
    text = sprintf("{\"version\":%d,\"routes\":[", version)
    for (i = 0; i < 2400; i++) text = text sprintf(form, "queue-" i, "queue-" i "-of-the-operators")
    text = text sprintf(form, "v" version, "v" version)
    sub(/,$/, "", text)
    printf "%s],\"services\":[{\"name\":\"echo\"}],\"limits\":{}}", text
  }' > "$dir/version"
  local length=$((1 + 6 + $(wc -c < "$dir/version")))
  {
    # shellcheck disable=SC2059
    printf "$(printf '\\x%02x' $((length >> 24)) $((length >> 16 & 255)) $((length >> 8 & 255)) $((length & 255)))\\x06config"
    cat "$dir/version"
  } | curl -s -o /dev/null --data-binary @- "http://$store/api/log-append?topic=keyed.op&part=0"
}

# Prints the HTTP status of a query for the queue "v$1".
query() {
  curl -s -m 1 -o /dev/null -w '%{http_code}' -H 'Host: jobs.example' "$clients/v$1/" || true
}

start store standin-store -l "$store"
mkfifo "$dir/relay"
"$bin/standin-relay" -l "$(address 801)" -t "$store" <> "$dir/relay" > "$dir/relay.out" 2> "$dir/relay.log" &
relay=$!
pids+=("$relay")
echo "rate $link_bytes_per_ms" > "$dir/relay"
cat > "$dir/scheduler.ini" <<INI
[daemon]
role = scheduler
name = scheduler-1
[scheduler]
client_address = $(address 802)
ready_address = $(address 803)
config_age_max_ms = ${in_force_s}000
[job_log]
address = $(address 801)
INI
for _ in $(seq 100); do
  curl -s -o /dev/null "http://$store/api/log-newest?topic=keyed.op&part=0" && break
  sleep 0.05
done
write_version 1
start scheduler magnoliabarrowd -c "$dir/scheduler.ini"
wait_for_url "http://$(address 803)/"
[ "$(query 1)" = 200 ] || fail "the queue of version 1 answers $(query 1)"
pass "the first version is in force"

kill -STOP "$relay"
for version in $(seq 2 9); do
  write_version "$version"
  sleep 0.5
done
[ "$(query 1)" = 503 ] || fail "a version that may be out of date decides: $(query 1)"
[ "$(query 9)" = 503 ] || fail "a version that may be out of date rejects a queue: $(query 9)"
pass "nothing is decided by a version that may be out of date"

kill -CONT "$relay"
back=$(date +%s%3N)
until [ "$(query 9)" = 200 ]; do
  [ "$(date +%s%3N)" -lt $((back + in_force_s * 1000)) ] || fail "version 9 is not in force after $in_force_s s"
  sleep 0.05
done
echo "in force after $(($(date +%s%3N) - back)) ms"
[ "$(query 1)" = 404 ] || fail "the queue of version 1 answers $(query 1)"
pass "the newest version is in force $in_force_s s after the log is back"
finish
