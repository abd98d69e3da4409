#include "client.h"

#include <curl/curl.h>
#include <jansson.h>
#include <string.h>

#include "mb_cleanup.h"

/* Time-out of one call. The server answers a watch after up to 30 s, so it
   must be longer than that. */
#define CALL_TIMEOUT_MS 40000L
#define CONNECT_TIMEOUT_MS 5000L
/* Maximum size of a response body, in bytes. */
#define RESPONSE_MAX (256u * 1024u * 1024u)
#define REVISION_HEADER "x-magnoliabarrow-revision:"

/* Initializes a client. Reads the bearer token from `token_file`, unless it is
   NULL. Returns false, with the error set, if the file can't be read; the
   client must be released with client_finish in any case. */
bool
client_init(client_t *client, const char *server, const char *token_file,
            GError **error)
{
    g_autofree char *content = NULL;
    g_autoptr(GError) cause = NULL;
    gsize len = 0;
    *client = (client_t){.server = server};
    if (token_file == NULL) {
        return true;
    }
    if (!g_file_get_contents(token_file, &content, &len, &cause)) {
        mb_error_set(error, MB_KIND_IO, "%s", cause->message);
        return false;
    }
    mb_buf_set(&client->token, mb_str_trim((mb_str_t){content, len}));
    return true;
}

/* Releases a client. */
void
client_finish(client_t *client)
{
    mb_buf_finish(&client->token);
}

/* Releases the body of a response. */
void
response_finish(response_t *response)
{
    mb_buf_finish(&response->body);
}

/* Appends a part of the body; a callback of libcurl. Returns 0, which ends the
   call with an error, if the body becomes larger than RESPONSE_MAX. */
static size_t
append_body(char *data, size_t size, size_t count, void *context)
{
    response_t *response = context;
    if (response->body.len + size * count > RESPONSE_MAX) {
        return 0;
    }
    mb_buf_append(&response->body, (mb_str_t){data, size * count});
    return size * count;
}

/* Gets the revision from its header; a callback of libcurl, called for each
   header line. */
static size_t
parse_header(char *data, size_t size, size_t count, void *context)
{
    response_t *response = context;
    size_t len = strlen(REVISION_HEADER);
    if (size * count > len &&
        g_ascii_strncasecmp(data, REVISION_HEADER, len) == 0) {
        mb_str_t value = {data + len, size * count - len};
        (void)mb_str_to_u64(mb_str_trim(value), &response->revision);
    }
    return size * count;
}

/* Sets the error that the body of a response names. A response without the
   name of a known error is a protocol error. */
static void
set_response_error(const response_t *response, GError **error)
{
    json_t *root =
        json_loadb(response->body.data, response->body.len, 0, NULL);
    const char *name = json_string_value(json_object_get(root, "error"));
    const char *message = json_string_value(json_object_get(root, "message"));
    mb_kind_t kind = MB_KIND_PROTOCOL;
    if (name == NULL || !mb_kind_from_name(mb_str_from_cstr(name), &kind)) {
        kind = MB_KIND_PROTOCOL;
    }
    mb_error_set(error, kind, "%s: %s (HTTP %ld)",
                 name != NULL ? name : "protocol",
                 message != NULL ? message : "no message", response->status);
    json_decref(root);
}

/* Sets the error for a call without a complete response. Only a failure before
   the request was sent proves that a write had no effect; after any other the
   outcome is unknown. */
static void
set_transport_error(CURLcode code, const char *server, GError **error)
{
    bool not_sent =
        code == CURLE_COULDNT_CONNECT || code == CURLE_URL_MALFORMAT;
    mb_error_set(error, not_sent ? MB_KIND_IO : MB_KIND_UNKNOWN_OUTCOME,
                 "server %s: %s", server, curl_easy_strerror(code));
}

/* Sets the options of a call. Returns its headers, which the caller frees
   after the call. The header "Expect:" without a value keeps libcurl from
   waiting for "100 Continue" before it sends a large body. */
static struct curl_slist *
set_options(CURL *easy, const client_t *client, const char *method,
            mb_str_t body, response_t *response)
{
    struct curl_slist *headers = curl_slist_append(NULL, "Expect:");
    if (client->token.len > 0) {
        g_autofree char *line =
            g_strdup_printf("Authorization: Bearer %.*s",
                            MB_STR_ARG(mb_buf_view(&client->token)));
        headers = curl_slist_append(headers, line);
    }
    (void)curl_easy_setopt(easy, CURLOPT_PROXY, "");
    (void)curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    (void)curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, CALL_TIMEOUT_MS);
    (void)curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                           CONNECT_TIMEOUT_MS);
    (void)curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    (void)curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_body);
    (void)curl_easy_setopt(easy, CURLOPT_WRITEDATA, response);
    (void)curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, parse_header);
    (void)curl_easy_setopt(easy, CURLOPT_HEADERDATA, response);
    if (strcmp(method, "GET") != 0) {
        (void)curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, (long)body.len);
        (void)curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body.data);
        (void)curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
    }
    return headers;
}

/* Calls the API and waits for the response. Returns false, with an error of
   the kind that the server named or that describes the failure of the call,
   unless the status is 200. The caller releases the response in any case. */
bool
client_call(const client_t *client, const char *method, mb_str_t path,
            mb_str_t body, response_t *response, GError **error)
{
    CURL *easy = curl_easy_init();
    g_autofree char *url =
        g_strdup_printf("http://%s%.*s", client->server, MB_STR_ARG(path));
    *response = (response_t){0};
    struct curl_slist *headers =
        set_options(easy, client, method, body, response);
    (void)curl_easy_setopt(easy, CURLOPT_URL, url);
    CURLcode code = curl_easy_perform(easy);
    (void)curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &response->status);
    curl_slist_free_all(headers);
    curl_easy_cleanup(easy);
    if (code != CURLE_OK) {
        set_transport_error(code, client->server, error);
        return false;
    }
    if (response->status != 200) {
        set_response_error(response, error);
        return false;
    }
    return true;
}
