#include "mb_message_copy.h"

#include <glib.h>
#include <string.h>

/* Copies text to *at, which is advanced past it; returns a view of the
   copy. */
static mb_str_t
put_text(char **at, mb_str_t text)
{
    mb_str_t copy = {*at, text.len};
    if (text.len > 0) {
        memcpy(*at, text.data, text.len);
    }
    *at += text.len;
    return copy;
}

/* Returns the total size of all header names and values, in bytes. */
static size_t
headers_size(const mb_headers_t *headers)
{
    size_t size = 0;
    for (uint32_t i = 0; i < headers->count; i++) {
        size += headers->items[i].name.len + headers->items[i].value.len;
    }
    return size;
}

/* Copies all headers and their text. */
static void
put_headers(char **at, const mb_headers_t *headers, mb_header_t *copies)
{
    for (uint32_t i = 0; i < headers->count; i++) {
        copies[i].name = put_text(at, headers->items[i].name);
        copies[i].value = put_text(at, headers->items[i].value);
    }
}

/* Fills in the headers of a message from a copy. */
static void
view_headers(mb_headers_t *headers, const mb_header_t *copies, uint32_t count)
{
    headers->count = count;
    if (count > 0) {
        memcpy(headers->items, copies, count * sizeof(*copies));
    }
}

/* Copies a request except for its deadline. */
mb_request_copy_t *
mb_request_copy_new(const mb_request_t *request)
{
    size_t fixed = sizeof(mb_request_copy_t) +
                   request->headers.count * sizeof(mb_header_t);
    mb_request_copy_t *copy =
        g_malloc(fixed + headers_size(&request->headers) +
                 request->method.len + request->path.len + request->body.len);
    char *at = (char *)copy + fixed;
    copy->id = request->id;
    copy->request_class = request->request_class;
    copy->idempotent = request->idempotent;
    copy->header_count = request->headers.count;
    put_headers(&at, &request->headers, copy->headers);
    copy->method = put_text(&at, request->method);
    copy->path = put_text(&at, request->path);
    copy->body = put_text(&at, request->body);
    return copy;
}

/* Fills in a request with views into the copy, which must outlive it.
   `deadline_ms` is the time left: it shrinks while the copy is kept. */
void
mb_request_copy_view(const mb_request_copy_t *copy, uint32_t deadline_ms,
                     mb_request_t *request)
{
    request->id = copy->id;
    request->deadline_ms = deadline_ms;
    request->request_class = copy->request_class;
    request->idempotent = copy->idempotent;
    request->method = copy->method;
    request->path = copy->path;
    request->body = copy->body;
    view_headers(&request->headers, copy->headers, copy->header_count);
}

/* Copies a whole response. */
mb_response_copy_t *
mb_response_copy_new(const mb_response_t *response)
{
    size_t fixed = sizeof(mb_response_copy_t) +
                   response->headers.count * sizeof(mb_header_t);
    size_t size =
        fixed + headers_size(&response->headers) + response->body.len;
    mb_response_copy_t *copy = g_malloc(size);
    char *at = (char *)copy + fixed;
    copy->id = response->id;
    copy->size = size;
    copy->status = response->status;
    copy->header_count = response->headers.count;
    put_headers(&at, &response->headers, copy->headers);
    copy->body = put_text(&at, response->body);
    return copy;
}

/* Fills in a whole response; its views point into the copy. */
void
mb_response_copy_view(const mb_response_copy_t *copy, mb_response_t *response)
{
    response->id = copy->id;
    response->status = copy->status;
    response->body = copy->body;
    response->last = true;
    view_headers(&response->headers, copy->headers, copy->header_count);
}
