#!/usr/bin/env bash
# One of 16 submissions that last can never be done (poison, share 0.0625): its
# tasks fail soon after each start. The work of another queue must still be
# started on the executors, which are sound and have room.
set -u
. "$(dirname "$0")/../common-2.sh"

start_deployment 2 8 a
# 16 submissions that last, within 3.98 s; the last one can't be done.
first=$(now)
for i in $(seq 15); do
  submit $((i % 2 + 1)) "watch/$(printf '8b%014x' "$i")" '{"spec":"ms=0,cpu=1000,mem=1000","steps":[{"count":2,"cpu":1000,"memory_limit_mb":1000,"estimated_ms":400,"long_running":true}]}'
  sleep 0.1
done
if [ "$trouble" != 0 ]; then
  submit 2 "watch/8c00000000000001" '{"spec":"ms=250,cpu=1000,mem=1000,fail=1","steps":[{"count":6,"cpu":1000,"memory_limit_mb":1000,"estimated_ms":400,"long_running":true}]}'
fi
[ $(($(now) - first)) -le 3980 ] || cannot "the submissions took too long"
# 12 submissions of another queue, all of which can be done.
for i in $(seq 12); do
  submit $((i % 2 + 1)) "price/$(printf '8a%014x' "$i")" '{"spec":"ms=1700,cpu=2000,mem=3000;ms=1700,cpu=2000,mem=3000","steps":[{"count":8,"cpu":2000,"memory_limit_mb":3000,"estimated_ms":1700},{"count":8,"cpu":2000,"memory_limit_mb":3000,"estimated_ms":1700,"depends_on":[0]}]}'
  sleep 3
done
# finish_s (14 s) after the end of the traffic, and 3 s more.
ended=$(now)
sleep 17
late=0
for i in $(seq 12); do
  [ "$(job_state 1 "price/$(printf '8a%014x' "$i")")" = completed ] || late=$((late + 1))
done
# Submissions that can be done, are not completed, and of which nothing has run
# for the last 3 s.
idle=$(awk -v from="$(($(now) - 3000))" '
  / start .*task=8a.*answer=200/ { match($0, /task=[0-9a-f.]*/); task = substr($0, RSTART + 5, RLENGTH - 5); job = substr(task, 1, 16); running[job]++; seen[job] = $1; if ($1 >= from) recent[job] = 1 }
  / end .*task=8a/ { match($0, /task=[0-9a-f.]*/); job = substr($0, RSTART + 5, 16); running[job]--; if ($1 >= from) recent[job] = 1; if ($0 ~ /how=done/) done[job]++ }
  END { for (i = 1; i <= 12; i++) { job = sprintf("8a%014x", i); if (done[job] + 0 < 16 && running[job] + 0 == 0 && !recent[job]) n++ } print n + 0 }' "$record")
# The most cores that were in use in these 3 s, of 128.
most=$(awk -v from="$(($(now) - 3000))" '
  function cpu() { return $0 ~ /task=8a/ ? 2 : 1 }
  / start executor.*answer=200/ { used += cpu() }
  / (end|lost) executor/ { used -= cpu() }
  $1 < from || used > most { most = used }
  END { print most + 0 }' <(sort -s -n -k1,1 "$record"))
text="price_jobs=12 not_completed=$late of_these_idle_for_3s=$idle cores_in_use=$most seconds_after_traffic=$((($(now) - ended) / 1000))"
# Under half of the capacity is in use, and a step of 8 tasks of 2 cores fits
# twice into the rest.
[ "$idle" -gt 0 ] && [ "$most" -lt 64 ] && [ $((most + 32)) -le 128 ] && verdict 1 "LOST broken: $text"
[ "$late" = 0 ] || cannot "$text"
verdict 0 "held: $text"
