# Computes the figures of docs/CAPACITY.md that follow from the size of the fleet
# that the design is for, the settings and the measured slopes; prints them as a
# table. Input: a file of "slope intercept gradient" lines, read into a and b,
# then a file of points, of which only the "fixed name value" lines are used.

# Returns the value of a fitted slope at x.
function at(name, x) { return a[name] + b[name] * x }

# Prints one row of the table.
function row(name, formula, value, limit) {
  printf "| %s | %s | %s | %s |\n", name, formula, value, limit
}

# Returns the bytes per second of the owner of one of k shards for syncs every
# `period` seconds with response bodies of `body` bytes, and for starts and
# finishes of tasks, in the log and at the workers.
function owner_bytes(k, period, body) {
  sync = headers + a["request_bytes"] + body
  task = b["request_bytes"] + 2 * b["starts_bytes"] + 2 * b["finishes_bytes"] + 2 * b["response_bytes"]
  return workers / k * sync / period + starts / k * task
}

# Returns the bytes per second of `reads` reads per second, which return
# `records` records per second of `size` bytes each.
function stream_bytes(records, size, reads) {
  return records * (size + envelope) + reads * read_bytes
}

# Returns the bytes per second of every daemon, whatever its role: it reads the
# members, and the configuration with its snapshots.
function common_bytes() {
  return stream_bytes(entries / 10, fixed["member_record"], 0.5) + \
    stream_bytes(changes, fixed["config_worker_record"], 1) + at("config_stream_bytes", workers) / snapshot_s
}

# Returns the smallest number of shards with which an owner stays within its
# limit, together with what every daemon reads and its calls to the log.
function shards_for(period, body) {
  rest = limit_bytes - common_bytes() - shard_calls() * read_bytes
  return int(owner_bytes(1, period, body) / rest) + 1
}

# Returns an owner's calls to the log per second: an append for each record, a
# read that returns it, and one read per second without records.
function shard_calls() { return 1 + 2 * (2 / delay + 3 / lease) }

# Returns the appends per second to all streams of the log.
function appends(k, delay, lease, entries) {
  return 2 * k / delay + 3 * k / lease + entries / 10 + changes
}

$1 == "fixed" { fixed[$2] = $3; next }
FNR == NR { a[$1] = $2; b[$1] = $3 }

END {
  workers = 23000; tasks = 480000; critical = 130000; starts = 1900; domains = 16
  changes = 8700 / 86400; limit_bytes = 7000; entries = 100; log_appends = 300
  period = 10; lease = 30; delay = 5; snapshot_s = 21600
  envelope = fixed["record_envelope"]
  read_bytes = fixed["read_request"] + fixed["read_response_headers"] + fixed["read_body"]
  headers = fixed["sync_request_headers"] + fixed["sync_response_headers"]
  per_worker = tasks / workers
  full = at("usage_bytes", per_worker)
  list = at("response_bytes", per_worker)
  delta = a["response_bytes"] + 9
  k = shards_for(period, full)
  print "| figure | formula | value | limit |"
  print "| --- | --- | --- | --- |"
  row("bytes of one sync with usage", "headers + request_bytes(0) + usage_bytes(480,000 / W)", sprintf("%.0f", headers + a["request_bytes"] + full), "")
  row("bytes of one sync without usage", "headers + request_bytes(0) + response_bytes(480,000 / W)", sprintf("%.0f", headers + a["request_bytes"] + list), "")
  row("bytes of one sync, list unchanged", "headers + request_bytes(0) + response_bytes(0) + 9", sprintf("%.0f", headers + a["request_bytes"] + delta), "")
  row("K at T = 3 s, with usage", "smallest K with which an owner stays within 7,000 B/s in all", shards_for(3, full), "")
  row("K at T = 10 s, with usage", "same; chosen", k, "")
  row("K at T = 10 s, without usage", "same", shards_for(period, list), "")
  row("K at T = 10 s, list unchanged", "same", shards_for(period, delta), "")
  row("owner, syncs, starts and finishes, B/s", "(W / K) sync / T + (S / K) (start + finish)", sprintf("%.0f", owner_bytes(k, period, full)), "")
  row("owner, calls to the log, B/s", "(1 + 2 (2 / D + 3 / lease)) read", sprintf("%.0f", shard_calls() * read_bytes), "")
  row("every daemon, members and config, B/s", "rows below", sprintf("%.0f", common_bytes()), "")
  row("owner in all, B/s", "sum of the three rows above", sprintf("%.0f", owner_bytes(k, period, full) + shard_calls() * read_bytes + common_bytes()), "7,000")
  row("appends a second, K and D = 0.5 s", "2 K / D + 3 K / lease + E / 10 + 0.1", sprintf("%.0f", appends(k, 0.5, lease, entries)), "300")
  row("appends a second, K and D = 5 s", "same; chosen", sprintf("%.0f", appends(k, delay, lease, entries)), "300")
  row("appends left for urgent starts, 1/s", "300 - the row above", sprintf("%.0f", log_appends - appends(k, delay, lease, entries)), "")
  row("follower of one shard, B/s", "(S / K) (start + finish) + 2 records / D + 3 renewals / lease", sprintf("%.0f", starts / k * (b["starts_bytes"] + b["finishes_bytes"]) + (a["starts_bytes"] + a["finishes_bytes"]) / delay + 3 * fixed["renew_record"] / lease), "7,000")
  row("members, B/s at E = 100, a read per record", "E (member_record + envelope) / 10 + (E / 10) read", sprintf("%.0f", stream_bytes(entries / 10, fixed["member_record"], entries / 10)), "7,000")
  row("members, B/s at E = 100, a read per 2 s", "E (member_record + envelope) / 10 + 0.5 read", sprintf("%.0f", stream_bytes(entries / 10, fixed["member_record"], 0.5)), "7,000")
  row("config, B/s of changes and reads", "0.1 (config_worker_record + envelope) + 1 read", sprintf("%.0f", stream_bytes(changes, fixed["config_worker_record"], 1)), "7,000")
  row("config, B/s of a reader, snapshots", "config_stream_bytes(W) / 21,600 s (retention 24 h)", sprintf("%.0f", at("config_stream_bytes", workers) / 21600), "7,000")
  row("config, bytes to read from nothing", "config_stream_bytes(W)", sprintf("%.0f", at("config_stream_bytes", workers)), "")
  row("config, seconds of replay", "W config_put_us(W) / 1,000,000", sprintf("%.2f", workers * at("config_put_us", workers) / 1e6), "")
  row("config, seconds to read at 7 KB/s", "config_stream_bytes(W) / 7,000", sprintf("%.0f", at("config_stream_bytes", workers) / limit_bytes), "burst")
  row("config, MB in every daemon", "config_bytes(W)", sprintf("%.1f", at("config_bytes", workers) / 1e6), "64")
  row("shard, KB of an owner at rest", "shard_bytes(480,000 / K) + placement_bytes(W / K)", sprintf("%.0f", (at("shard_bytes", tasks / k) + at("placement_bytes", workers / k)) / 1e3), "64,000")
  row("one shard of everything, MB", "shard_bytes(480,000) + placement_bytes(W) + config_bytes(W)", sprintf("%.1f", (at("shard_bytes", tasks) + at("placement_bytes", workers) + at("config_bytes", workers)) / 1e6), "64")
  row("shard, KB of a snapshot", "snapshot_bytes(480,000 / K)", sprintf("%.0f", b["snapshot_bytes"] * tasks / k / 1e3), "")
  row("shard, MB of the tail of 6 h at peak", "(S / K) (start + finish) 21,600 s", sprintf("%.1f", starts / k * (b["starts_bytes"] + b["finishes_bytes"]) * 21600 / 1e6), "")
  row("shard, seconds to apply that tail", "2 (S / K) 21,600 shard_start_us", sprintf("%.2f", 2 * starts / k * 21600 * at("shard_start_us", tasks / k) / 1e6), "")
  row("decisions, percent of a core of an owner", "(S / K) dispatch_us(1,100) / 10,000", sprintf("%.4f", starts / k * at("dispatch_us", 1100) / 1e4), "2.1")
  row("sidecars of an idle entry within 2.1%", "(2.1 - heartbeat_cpu(0)) / heartbeat_cpu gradient", sprintf("%.0f", (2.1 - a["heartbeat_cpu"]) / b["heartbeat_cpu"]), "")
  row("sidecars of an idle entry within 7 KB/s", "(7,000 - members and config) / (8 ping_frame)", sprintf("%.0f", (limit_bytes - common_bytes()) / (8 * fixed["ping_frame"])), "")
  row("links of an entry within 64 MB", "(65,536 - config_bytes(W) / 1,024 - link_kib(0)) / link_kib gradient", sprintf("%.0f", (65536 - at("config_bytes", workers) / 1024 - a["link_kib"]) / b["link_kib"]), "")
  row("latency-critical tasks of a failure domain", "130,000 / 16", sprintf("%.0f", critical / domains), "")
  row("their restart at 1,900 starts/s, s", "the row above / S", sprintf("%.1f", critical / domains / starts), "4")
  row("starts a second that 4 s needs", "130,000 / 16 / 4", sprintf("%.0f", critical / domains / 4), "1,900")
  row("appends that this adds, 1/s over 4 s", "K / 4 (one record of up to 512 starts per shard)", sprintf("%.0f", k / 4), "")
  row("releases of a lost domain, records", "30,000 tasks / K / 48 per record, per shard; x K", sprintf("%d", int(tasks / domains / k / 48 + 0.9999) * k), "")
}
