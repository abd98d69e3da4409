/* limited_store: tests/standins/store.c with the limits of the platform's
   store that the settings name under `platform`: a record has at most
   record_bytes, and the records of one append have call_bytes at most. An
   append beyond them appends nothing and is answered with 413. Prints one line
   for each of them.

   limited_store -l ADDRESS */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "mb_cleanup.h"
#include "mb_clock.h"
#include "mb_http_server.h"
#include "mb_settings.h"
#include "mb_uri.h"

/* Period of the checks for waiting reads to answer, in microseconds. */
#define POLL_US 5000
/* Maximum number of items on one page of newest records. */
#define PAGE_ITEMS 50u
/* Limits of the store, by the pages; not configurable. */
#define RECORD_BYTES 262144u
#define CALL_BYTES 2097152u
/* Maximum size of the answer to a read that names none, in kilobytes. */
#define MAX_KB_DEFAULT 1024u

typedef struct record {
    mb_buf_t bytes; /* length of the key in one byte, key, value */
} record_t;

/* The latest append of a producer. */
typedef struct producer {
    uint64_t epoch;
    uint64_t sequence;
} producer_t;

typedef struct topic {
    GPtrArray *records;    /* record_t; the index is the offset */
    GHashTable *newest;    /* key -> offset of its newest record + 1 */
    GHashTable *producers; /* name -> producer_t */
} topic_t;

/* A read that waits for a record. */
typedef struct waiting_read {
    mb_http_exchange_t *exchange;
    topic_t *topic;
    uint64_t from;
    uint64_t until_us;
} waiting_read_t;

/* Guards the following. */
static GMutex lock;
static GHashTable *topics;       /* name -> topic_t */
static GPtrArray *waiting_reads; /* waiting_read_t */
static bool down;                /* answer every call with 503 */

/* Returns the time of the monotonic clock. */
static uint64_t
now_us(void)
{
    mb_clock_t clock = mb_clock_monotonic();
    return mb_clock_us(&clock);
}

/* Returns a parameter of the query, which the caller frees; NULL if there is
   no such parameter. */
static char *
get_parameter(mb_str_t uri, const char *name)
{
    mb_str_t value;
    return mb_uri_get_parameter(uri, mb_str_from_cstr(name), &value)
               ? mb_str_to_cstr(value)
               : NULL;
}

/* Returns a number parameter of the query; 0 if there is none. */
static uint64_t
get_number(mb_str_t uri, const char *name)
{
    uint64_t value = 0;
    (void)mb_uri_get_parameter_u64(uri, mb_str_from_cstr(name), &value);
    return value;
}

/* Returns the topic that a call names. Creates it if it does not exist; unlike
   the platform also for a read. */
static topic_t *
get_topic(mb_str_t uri)
{
    g_autofree char *name = get_parameter(uri, "topic");
    topic_t *topic = g_hash_table_lookup(topics, name);
    if (topic == NULL) {
        topic = g_new0(topic_t, 1);
        topic->records = g_ptr_array_new();
        topic->newest =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        topic->producers =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        (void)g_hash_table_insert(topics, g_strdup(name), topic);
    }
    return topic;
}

/* Responds with a body of JSON. */
static void
respond(mb_http_exchange_t *exchange, uint32_t status, const char *text)
{
    mb_http_respond(exchange, status, NULL, mb_str_from_cstr(text));
}

/* Checks producer, epoch and sequence number of an append, and records them if
   it is to be written. Returns 0 in that case, 200 for a repeated append, or
   409, with *reason set to the body, for one of an older epoch or out of
   order. The first append of an epoch may have any sequence number. */
static uint32_t
check_producer(topic_t *topic, mb_str_t uri, const char **reason)
{
    g_autofree char *name = get_parameter(uri, "producer");
    uint64_t epoch = get_number(uri, "epoch");
    uint64_t sequence = get_number(uri, "sequence");
    if (name == NULL) {
        return 0;
    }
    producer_t *last = g_hash_table_lookup(topic->producers, name);
    if (last == NULL) {
        last = g_new0(producer_t, 1);
        (void)g_hash_table_insert(topic->producers, g_strdup(name), last);
    }
    else if (epoch < last->epoch) {
        *reason = "{\"reason\":\"fenced\"}";
        return 409;
    }
    else if (epoch == last->epoch && sequence == last->sequence) {
        return 200;
    }
    else if (epoch == last->epoch && sequence != last->sequence + 1) {
        *reason = "{\"reason\":\"seq\"}";
        return 409;
    }
    *last = (producer_t){epoch, sequence};
    return 0;
}

/* Writes the records of an append: for each its length in four bytes,
   big-endian, the length of the key in one byte, the key and the value. */
static void
write_records(topic_t *topic, mb_str_t body)
{
    while (body.len >= 4) {
        const unsigned char *bytes = (const unsigned char *)body.data;
        size_t length = (size_t)bytes[0] << 24 | (size_t)bytes[1] << 16 |
                        (size_t)bytes[2] << 8 | bytes[3];
        if (length < 1 || length > body.len - 4) {
            return;
        }
        record_t *record = g_new0(record_t, 1);
        mb_buf_append(&record->bytes, (mb_str_t){body.data + 4, length});
        g_ptr_array_add(topic->records, record);
        char *key = g_strndup(body.data + 5, bytes[4]);
        (void)g_hash_table_replace(topic->newest, key,
                                   GUINT_TO_POINTER(topic->records->len));
        body.data += 4 + length;
        body.len -= 4 + length;
    }
}

/* Returns the size of the largest record of an append. */
static size_t
get_largest_record(mb_str_t body)
{
    size_t largest = 0;
    while (body.len >= 4) {
        const unsigned char *bytes = (const unsigned char *)body.data;
        size_t length = (size_t)bytes[0] << 24 | (size_t)bytes[1] << 16 |
                        (size_t)bytes[2] << 8 | bytes[3];
        if (length > body.len - 4) {
            break;
        }
        largest = MAX(largest, length);
        body.data += 4 + length;
        body.len -= 4 + length;
    }
    return largest;
}

/* Handles log-append. */
static void
handle_append(mb_http_exchange_t *exchange)
{
    mb_str_t uri = mb_http_uri(exchange);
    topic_t *topic = get_topic(uri);
    const char *reason = NULL;
    mb_str_t records = mb_http_body(exchange);
    size_t largest = get_largest_record(records);
    if (largest > RECORD_BYTES || records.len > CALL_BYTES) {
        (void)printf("%llu store refused an append: bytes=%zu "
                     "largest_record=%zu\n",
                     (unsigned long long)(now_us() / MB_US_PER_MS),
                     records.len, largest);
        (void)fflush(stdout);
        respond(exchange, 413, "{}");
        return;
    }
    uint32_t status = check_producer(topic, uri, &reason);
    if (status == 409) {
        respond(exchange, 409, reason);
        return;
    }
    if (status == 0) {
        write_records(topic, mb_http_body(exchange));
    }
    g_autofree char *text = g_strdup_printf("{\"offset\":0,\"end_offset\":%u}",
                                            topic->records->len);
    respond(exchange, 200, text);
}

/* Appends a big-endian number of `size` bytes. */
static void
append_number(mb_buf_t *out, uint64_t value, int size)
{
    for (int i = size - 1; i >= 0; i--) {
        mb_buf_append_byte(out, (char)(value >> (8 * i)));
    }
}

/* Answers a read in order: the offset after the newest record, the earliest
   offset, which is 0, and the records from `from` on, up to max_kb kilobytes
   but at least one. */
static void
answer_read(mb_http_exchange_t *exchange, const topic_t *topic, uint64_t from)
{
    MB_AUTO_BUF mb_buf_t body = {0};
    uint64_t max_kb = get_number(mb_http_uri(exchange), "max_kb");
    size_t bytes_max = (max_kb == 0 ? MAX_KB_DEFAULT : max_kb) * 1024;
    append_number(&body, topic->records->len, 8);
    append_number(&body, 0, 8);
    for (guint i = (guint)from; i < topic->records->len; i++) {
        const record_t *record = g_ptr_array_index(topic->records, i);
        if (i > from && body.len + record->bytes.len > bytes_max) {
            break;
        }
        append_number(&body, record->bytes.len, 4);
        mb_buf_append(&body, mb_buf_view(&record->bytes));
    }
    mb_http_respond(exchange, 200, NULL, mb_buf_view(&body));
}

/* Handles log-read: without a record at the offset, the answer waits for up to
   wait_ms. */
static void
handle_read(mb_http_exchange_t *exchange)
{
    mb_str_t uri = mb_http_uri(exchange);
    topic_t *topic = get_topic(uri);
    uint64_t from = get_number(uri, "from");
    uint64_t wait_us = get_number(uri, "wait_ms") * MB_US_PER_MS;
    if (from < topic->records->len || wait_us == 0) {
        answer_read(exchange, topic, from);
        return;
    }
    waiting_read_t *waiting_read = g_new0(waiting_read_t, 1);
    *waiting_read =
        (waiting_read_t){exchange, topic, from, now_us() + wait_us};
    g_ptr_array_add(waiting_reads, waiting_read);
}

/* Orders keys by their bytes, as GCompareFunc. */
static int
compare_keys(gconstpointer a, gconstpointer b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Handles log-newest: answers with a page of the newest records in the order
   of their keys, after the key in the parameter depends_on. Keys whose newest
   value is empty are removed ones and left out. */
static void
handle_newest(mb_http_exchange_t *exchange)
{
    mb_str_t uri = mb_http_uri(exchange);
    topic_t *topic = get_topic(uri);
    g_autofree char *escaped = get_parameter(uri, "depends_on");
    g_autofree char *after =
        g_uri_unescape_string(escaped == NULL ? "" : escaped, NULL);
    g_autoptr(GPtrArray) keys = g_ptr_array_new();
    MB_AUTO_BUF mb_buf_t body = {0};
    GHashTableIter iter;
    gpointer key;
    uint32_t count = 0;
    bool more = false;
    g_hash_table_iter_init(&iter, topic->newest);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        g_ptr_array_add(keys, key);
    }
    g_ptr_array_sort(keys, compare_keys);
    mb_buf_append_cstr(&body, "{\"items\":[");
    for (guint i = 0; i < keys->len && !more; i++) {
        const char *name = g_ptr_array_index(keys, i);
        guint offset =
            GPOINTER_TO_UINT(g_hash_table_lookup(topic->newest, name)) - 1;
        const record_t *record = g_ptr_array_index(topic->records, offset);
        size_t skip = 1 + strlen(name);
        if (strcmp(name, after) <= 0 || record->bytes.len == skip) {
            continue;
        }
        more = count == PAGE_ITEMS;
        if (!more) {
            g_autofree char *value =
                g_base64_encode((const guchar *)record->bytes.data + skip,
                                record->bytes.len - skip);
            mb_buf_printf(&body,
                          "%s{\"key\":\"%s\",\"offset\":%u,\"value\":\"",
                          count++ > 0 ? "," : "", name, offset);
            mb_buf_append_cstr(&body, value);
            mb_buf_append_cstr(&body, "\"}");
        }
    }
    mb_buf_printf(&body, "],\"has_more\":%s,\"end_offset\":%u}",
                  more ? "true" : "false", topic->records->len);
    mb_http_respond(exchange, 200, NULL, mb_buf_view(&body));
}

/* Handles one request on a thread of the server. */
static void
handle(void *context, mb_http_exchange_t *exchange)
{
    mb_str_t path = mb_uri_path(mb_http_uri(exchange));
    (void)context;
    g_mutex_lock(&lock);
    if (mb_str_equal(path, MB_STR_LIT("/switch"))) {
        down = get_number(mb_http_uri(exchange), "down") != 0;
        respond(exchange, 200, "{}");
    }
    else if (down) {
        respond(exchange, 503, "{}");
    }
    else if (mb_str_equal(path, MB_STR_LIT("/api/log-append"))) {
        handle_append(exchange);
    }
    else if (mb_str_equal(path, MB_STR_LIT("/api/log-read"))) {
        handle_read(exchange);
    }
    else if (mb_str_equal(path, MB_STR_LIT("/api/log-newest"))) {
        handle_newest(exchange);
    }
    else {
        respond(exchange, 404, "{}");
    }
    g_mutex_unlock(&lock);
}

/* Answers the waiting reads whose record is there or whose time is over. */
static void
answer_due_reads(void)
{
    g_mutex_lock(&lock);
    for (guint i = 0; i < waiting_reads->len;) {
        waiting_read_t *waiting_read = g_ptr_array_index(waiting_reads, i);
        if (waiting_read->from >= waiting_read->topic->records->len &&
            now_us() < waiting_read->until_us) {
            i++;
            continue;
        }
        answer_read(waiting_read->exchange, waiting_read->topic,
                    waiting_read->from);
        (void)g_ptr_array_remove_index_fast(waiting_reads, i);
        g_free(waiting_read);
    }
    g_mutex_unlock(&lock);
}

int
main(int argc, char **argv)
{
    mb_http_server_config_t config = {.threads = 2,
                                      .max_connections = 256,
                                      .idle_timeout_s = 60,
                                      .body_max = 16u * 1024u * 1024u,
                                      .handle = handle};
    static mb_http_server_t server;
    g_autoptr(GError) error = NULL;
    if (argc != 3 || strcmp(argv[1], "-l") != 0 ||
        !mb_address_parse(mb_str_from_cstr(argv[2]), &config.ip,
                          &config.port)) {
        (void)fprintf(stderr, "usage: limited_store -l ADDRESS\n");
        return 2;
    }
    (void)signal(SIGPIPE, SIG_IGN);
    topics = g_hash_table_new(g_str_hash, g_str_equal);
    waiting_reads = g_ptr_array_new();
    if (!mb_http_server_init(&server, &config, &error)) {
        (void)fprintf(stderr, "limited_store: %s\n", error->message);
        return 1;
    }
    for (;;) {
        (void)usleep(POLL_US);
        answer_due_reads();
    }
}
