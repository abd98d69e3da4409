#include "mb_http_transfer.h"

#include <string.h>

#include "mb_cleanup.h"
#include "mb_clock.h"

/* Returns the present time of the clock of time-outs, in
   microseconds. */
uint64_t
mb_http_transfer_now_us(void)
{
    mb_clock_t clock = mb_clock_monotonic();
    return mb_clock_us(&clock);
}

/* Returns whether a header applies to a single connection (RFC 9110, 7.6.1) or
   is set by libcurl, and so must not be forwarded. */
static bool
is_hop_by_hop_header(mb_str_t name)
{
    static const char *const names[] = {
        "connection", "keep-alive",        "proxy-connection", "te",
        "trailer",    "transfer-encoding", "upgrade",          "host",
        "expect",     "content-length"};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (name.len == strlen(names[i]) &&
            g_ascii_strncasecmp(name.data, names[i], name.len) == 0) {
            return true;
        }
    }
    return false;
}

/* Splits "Name: value" lines into views. Lines without a colon, such as the
   status line, hop-by-hop headers and those beyond MB_HEADERS_MAX are left
   out. */
static void
parse_head(mb_str_t head, mb_headers_t *headers)
{
    mb_str_t line;
    headers->count = 0;
    while (headers->count < MB_HEADERS_MAX &&
           mb_str_split(&head, '\n', &line)) {
        mb_str_t value = line;
        mb_str_t name;
        if (!mb_str_split(&value, ':', &name) || name.len == line.len ||
            is_hop_by_hop_header(name)) {
            continue;
        }
        headers->items[headers->count++] =
            (mb_header_t){name, mb_str_trim(value)};
    }
}

/* Frees a call and its libcurl handle, which must not be in use. */
void
mb_http_transfer_free(mb_http_transfer_t *transfer)
{
    transfer->client->received -= transfer->received;
    curl_easy_cleanup(transfer->easy);
    curl_slist_free_all(transfer->headers);
    mb_buf_finish(&transfer->request_body);
    mb_buf_finish(&transfer->response_head);
    mb_buf_finish(&transfer->response_body);
    g_free(transfer);
}

/* Returns whether bytes of the request were sent. libcurl repeats an
   idempotent request by itself when a reused connection ends without a
   response; the size counts all attempts. */
static bool
was_sent(const mb_http_transfer_t *transfer)
{
    long request_bytes = 0;
    (void)curl_easy_getinfo(transfer->easy, CURLINFO_REQUEST_SIZE,
                            &request_bytes);
    return request_bytes > 0;
}

/* Maps an error of libcurl to an error kind. Only a failure to resolve the
   host or to connect, in the first attempt, proves that the request did not
   run, because nothing was sent. */
static mb_kind_t
get_error_kind(const mb_http_transfer_t *transfer, CURLcode code)
{
    if (transfer->too_large) {
        return MB_KIND_UPSTREAM_FAILED;
    }
    switch (code) {
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
        return was_sent(transfer) ? MB_KIND_UPSTREAM_FAILED
                                  : MB_KIND_UNAVAILABLE;
    case CURLE_OPERATION_TIMEDOUT:
        return MB_KIND_UNKNOWN_OUTCOME;
    default:
        return MB_KIND_UPSTREAM_FAILED;
    }
}

/* Sets the result of a call that libcurl has ended with `code`. Its views are
   valid as long as the call. */
void
mb_http_transfer_get_result(const mb_http_transfer_t *transfer, CURLcode code,
                            mb_http_result_t *result)
{
    long status = 0;
    long new_connections = 0;
    double sent_after_s = 0; /* 0: the request was not sent */
    (void)curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
    (void)curl_easy_getinfo(transfer->easy, CURLINFO_NUM_CONNECTS,
                            &new_connections);
    (void)curl_easy_getinfo(transfer->easy, CURLINFO_PRETRANSFER_TIME,
                            &sent_after_s);
#ifdef MB_MUTANT_PART_PASSED_AS_WHOLE
    code = code == CURLE_PARTIAL_FILE ? CURLE_OK : code;
#endif
    result->kind =
        code == CURLE_OK ? MB_KIND_COUNT : get_error_kind(transfer, code);
    result->status = (uint32_t)status;
    parse_head(mb_buf_view(&transfer->response_head), &result->headers);
    result->body = mb_buf_view(&transfer->response_body);
    result->connection_reused = new_connections == 0 && sent_after_s > 0;
}

/* Progress callback of libcurl: notes when bytes were sent or received. */
static int
note_progress(void *context, curl_off_t download_total, curl_off_t downloaded,
              curl_off_t upload_total, curl_off_t uploaded)
{
    mb_http_transfer_t *transfer = context;
    (void)download_total;
    (void)upload_total;
    if (downloaded + uploaded != transfer->progress_bytes) {
        transfer->progress_bytes = downloaded + uploaded;
#ifndef MB_MUTANT_IDLE_TIMEOUT_IS_TOTAL
        transfer->progress_us = mb_http_transfer_now_us();
#endif
    }
    return 0;
}

/* Appends a part of a response to a buffer of up to `max` bytes. Returns the
   size of the part, or 0, which fails the call, if the buffer or the responses
   of all calls become too large. */
static size_t
collect(mb_http_transfer_t *transfer, mb_buf_t *buf, mb_str_t part, size_t max)
{
    mb_http_client_t *client = transfer->client;
    bool exhausted = client->received_max != 0 &&
                     client->received + part.len > client->received_max;
    if (buf->len + part.len > max || exhausted) {
        transfer->too_large = true;
        return 0;
    }
    client->received += part.len;
    transfer->received += part.len;
    mb_buf_append(buf, part);
    return part.len;
}

/* Header callback of libcurl: collects a header line. A status line begins a
   new response, so that the headers of the final one are kept. The headers may
   have MB_BODY_MAX bytes. */
static size_t
collect_header(char *data, size_t size, size_t count, void *context)
{
    mb_http_transfer_t *transfer = context;
    mb_str_t line = {data, size * count};
    if (mb_str_starts_with(line, MB_STR_LIT("HTTP/"))) {
        mb_buf_clear(&transfer->response_head);
    }
    return collect(transfer, &transfer->response_head, line, MB_BODY_MAX);
}

/* Write callback of libcurl: collects a part of the body, up to the limit of
   the client. */
static size_t
collect_body(char *data, size_t size, size_t count, void *context)
{
    mb_http_transfer_t *transfer = context;
    return collect(transfer, &transfer->response_body,
                   (mb_str_t){data, size * count}, transfer->client->max_body);
}

/* Adds the headers of a call, except hop-by-hop headers. */
static void
add_headers(mb_http_transfer_t *transfer, const mb_headers_t *headers)
{
    MB_AUTO_BUF mb_buf_t line = {0};
    for (uint32_t i = 0; headers != NULL && i < headers->count; i++) {
        const mb_header_t *header = &headers->items[i];
        if (is_hop_by_hop_header(header->name)) {
            continue;
        }
        mb_buf_clear(&line);
        mb_buf_append(&line, header->name);
        mb_buf_append_cstr(&line, ": ");
        mb_buf_append(&line, header->value);
        mb_buf_append_byte(&line, '\0');
        transfer->headers = curl_slist_append(transfer->headers, line.data);
    }
    /* Otherwise libcurl would wait for "100 Continue" before it sends a large
       body. */
    transfer->headers = curl_slist_append(transfer->headers, "Expect:");
}

/* Read callback of libcurl, for a request body that must not be sent twice:
   copies the next bytes of the body. */
static size_t
read_body(char *out, size_t size, size_t count, void *context)
{
    mb_http_transfer_t *transfer = context;
    size_t remaining = transfer->request_body.len - transfer->request_sent;
    size_t capacity = size * count;
    size_t part = remaining < capacity ? remaining : capacity;
    memcpy(out, transfer->request_body.data + transfer->request_sent, part);
    transfer->request_sent += part;
    return part;
}

/* Keeps libcurl from repeating a non-idempotent request, which it does by
   itself when a reused connection ends without a response. It can't repeat a
   body that comes from a read callback without a seek callback; a request
   without a body is sent on a new connection. */
static void
prevent_repetition(mb_http_transfer_t *transfer, const mb_http_call_t *call)
{
    CURL *easy = transfer->easy;
#ifdef MB_MUTANT_POST_REPEATED_BY_LIBCURL
    return;
#endif
    if (call->body.len == 0) {
        (void)curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        return;
    }
    (void)curl_easy_setopt(easy, CURLOPT_POST, 1L);
    (void)curl_easy_setopt(easy, CURLOPT_READFUNCTION, read_body);
    (void)curl_easy_setopt(easy, CURLOPT_READDATA, transfer);
}

/* Sets the method and the body of a call. libcurl gets a body that may be
   repeated as a buffer, any other through prevent_repetition. */
static void
set_method(mb_http_transfer_t *transfer, const mb_http_call_t *call)
{
    g_autofree char *method = mb_str_to_cstr(call->method);
    CURL *easy = transfer->easy;
    if (mb_str_equal(call->method, MB_STR_LIT("HEAD"))) {
        (void)curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
        return;
    }
    if (call->body.len > 0 || mb_str_equal(call->method, MB_STR_LIT("POST")) ||
        mb_str_equal(call->method, MB_STR_LIT("PUT"))) {
        mb_buf_set(&transfer->request_body, call->body);
        (void)curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                               (long)call->body.len);
        bool repeatable = call->idempotent || call->body.len == 0;
#ifdef MB_MUTANT_POST_REPEATED_BY_LIBCURL
        repeatable = true;
#endif
        if (repeatable) {
            (void)curl_easy_setopt(
                easy, CURLOPT_POSTFIELDS,
                call->body.len > 0 ? transfer->request_body.data : "");
        }
    }
    if (!call->idempotent) {
        prevent_repetition(transfer, call);
    }
    (void)curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
}

/* Keeps a call from connections that may have gone silent together with the
   one of a call that exceeded its idle time-out: until a call succeeds, it
   opens a new connection, and later it takes none from before that time-out.
   libcurl counts the age of a connection in whole seconds. */
static void
avoid_suspect_connections(const mb_http_transfer_t *transfer)
{
    const mb_http_client_t *client = transfer->client;
    if (client->pool_suspect) {
        (void)curl_easy_setopt(transfer->easy, CURLOPT_FRESH_CONNECT, 1L);
    }
    else if (client->suspect_before_us != 0) {
        uint64_t age_s =
            (mb_http_transfer_now_us() - client->suspect_before_us) /
            MB_US_PER_S;
        (void)curl_easy_setopt(transfer->easy, CURLOPT_MAXLIFETIME_CONN,
                               (long)MAX(age_s, 1));
    }
}

/* Sets the other options of a call. */
static void
set_options(mb_http_transfer_t *transfer, const mb_http_call_t *call)
{
    g_autofree char *url = mb_str_to_cstr(call->url);
    CURL *easy = transfer->easy;
    (void)curl_easy_setopt(easy, CURLOPT_URL, url);
    (void)curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    (void)curl_easy_setopt(easy, CURLOPT_PROXY, "");
    (void)curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    (void)curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    (void)curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    (void)curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)call->timeout_ms);
    (void)curl_easy_setopt(easy, CURLOPT_PRIVATE, (char *)transfer);
    (void)curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
    (void)curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, collect_header);
    (void)curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
    (void)curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, collect_body);
    (void)curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
    if (call->idle_timeout_ms > 0) {
        (void)curl_easy_setopt(easy, CURLOPT_NOPROGRESS, 0L);
        (void)curl_easy_setopt(easy, CURLOPT_XFERINFOFUNCTION, note_progress);
        (void)curl_easy_setopt(easy, CURLOPT_XFERINFODATA, transfer);
        avoid_suspect_connections(transfer);
    }
}

/* Creates a call and its libcurl handle, which is not started. Returns NULL if
   libcurl fails. */
mb_http_transfer_t *
mb_http_transfer_new(mb_http_client_t *client, const mb_http_call_t *call)
{
    CURL *easy = curl_easy_init();
    if (easy == NULL) {
        return NULL;
    }
    mb_http_transfer_t *transfer = g_new0(mb_http_transfer_t, 1);
    transfer->client = client;
    transfer->easy = easy;
    transfer->done = call->done;
    transfer->context = call->context;
    add_headers(transfer, call->headers);
    set_method(transfer, call);
    set_options(transfer, call);
    return transfer;
}
