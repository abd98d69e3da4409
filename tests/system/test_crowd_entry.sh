#!/usr/bin/env bash
# Guards against an entry that runs out of memory or descriptors, ends, or no
# longer answers because of misbehaving clients: bodies and headers that never
# end, silent connections, and responses that nobody reads. A second argument
# names the only kind of crowd to play.
. "$(dirname "$0")/common.sh"
. "$(dirname "$0")/crowd.sh"
crowd_options=(-a "$(address 80)" -t /svc/echo/x)

cat > "$dir/entry.ini" << INI
[daemon]
role = entry
name = entry-1
memory_mb = 160
[entry]
client_address = $(address 80)
link_address = $(address 70)
INI
cat > "$dir/sidecar.ini" << INI
[daemon]
role = sidecar
name = sidecar-1
[sidecar]
service = echo
upstream_address = $(address 90)
entries = $(address 70)
INI

# Starts the entry.
start_target() {
  start entry magnoliabarrowd -c "$dir/entry.ini"
  target=$started
}

# Sends a request that the upstream answers.
ask_ordinary() {
  curl -fs -m 5 -d hello "http://$(address 80)/svc/echo/x" | grep -q '"body":"hello"'
}

start upstream standin-upstream -l "$(address 90)"
start sidecar magnoliabarrowd -c "$dir/sidecar.ini"
play_crowds "${2:-}"
finish
