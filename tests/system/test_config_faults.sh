#!/usr/bin/env bash
# Guards against an answer to a write that contradicts its outcome, when the log
# has outages, delays or loses acknowledgements. A write that got 200 must be in
# force at both entries and one that got 503 at none; 504 says that the outcome
# is unknown. A write of a new name must get no other answer. SEED sets the
# order of the faults.
. "$(dirname "$0")/common.sh"

seed=${SEED:-20261204}
writes=80
echo "seed $seed"
RANDOM=$seed
log=$(address 210)
for i in 1 2; do
  cat > "$dir/entry-$i.ini" << INI
[daemon]
role = entry
name = entry-$i
[entry]
client_address = $(address $((280 + i)))
link_address = $(address $((270 + i)))
[log]
address = $log
retention_ms = 20000
[api]
address = $(address $((220 + i)))
INI
done
start log standin-log -l "$log" -r 20000
for i in 1 2; do
  start "entry$i" magnoliabarrowd -c "$dir/entry-$i.ini"
  wait_for_url "http://$(address $((220 + i)))/healthz"
done

# Writes resource number $1, at both entries in turn, and keeps the HTTP status
# in $dir/code.$1.
write_one() {
  curl -s -m 20 -o /dev/null -w '%{http_code}' -X PUT \
    -d '{"spec":{"quota":{},"weight":1}}' \
    "http://$(address $((221 + $1 % 2)))/v1/team/n$1?revision=0" > "$dir/code.$1" || true
}

faults=(outage=503 outage=silent 'outage=off&lose_acks=1' 'outage=off&delay_ms=300' 'outage=off&delay_ms=0')
writers=()
for ((i = 0; i < writes; i++)); do
  if [ $((i % 4)) = 0 ]; then
    curl -fs -o /dev/null -X POST -d '' "http://$log/admin/set?${faults[RANDOM % 5]}"
  fi
  write_one "$i" &
  writers+=($!)
  sleep 0.1
done
curl -fs -o /dev/null -X POST -d '' "http://$log/admin/set?outage=off&delay_ms=0&lose_acks=0"
wait "${writers[@]}"
sleep 6
declare -A answers=()
for i in 1 2; do
  curl -fs "http://$(address $((220 + i)))/v1/team" | grep -o '"name":"n[0-9]*"' | sort > "$dir/state.$i"
done
cmp "$dir/state.1" "$dir/state.2" || fail "the entries have different teams"
for ((i = 0; i < writes; i++)); do
  code=$(cat "$dir/code.$i")
  present=no
  grep -q "\"n$i\"" "$dir/state.1" && present=yes
  answers[$code]=$((${answers[$code]:-0} + 1))
  case $code/$present in
    200/yes | 503/no | 504/*) ;;
    *) fail "write $i was answered $code, present: $present" ;;
  esac
done
for code in "${!answers[@]}"; do
  echo "answered $code: ${answers[$code]}"
done
[ "${answers[200]:-0}" -gt 0 ] || fail "no write got 200"
pass "every answer matches the outcome after outages, delays and lost acknowledgements"
finish
