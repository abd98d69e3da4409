#include "mb_str.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

/* Minimum capacity of a buffer that grows by appending, in bytes. */
#define MB_BUF_MIN_CAP 64

/* Returns a view of a NUL-terminated string, or the empty view for NULL. */
mb_str_t
mb_str_from_cstr(const char *text)
{
    if (text == NULL) {
        return MB_STR_EMPTY;
    }
    return (mb_str_t){text, strlen(text)};
}

/* Returns whether both views contain the same bytes. */
bool
mb_str_equal(mb_str_t a, mb_str_t b)
{
    return a.len == b.len &&
           (a.len == 0 || memcmp(a.data, b.data, a.len) == 0);
}

/* Compares two views byte by byte; a prefix comes before the longer text.
   Returns <0, 0 or >0, as memcmp does. */
int
mb_str_compare(mb_str_t a, mb_str_t b)
{
    size_t shorter = a.len < b.len ? a.len : b.len;
    int order = shorter == 0 ? 0 : memcmp(a.data, b.data, shorter);
    if (order != 0) {
        return order;
    }
    return (a.len > b.len) - (a.len < b.len);
}

/* Returns whether the text starts with the prefix. */
bool
mb_str_starts_with(mb_str_t text, mb_str_t prefix)
{
    if (text.len < prefix.len) {
        return false;
    }
    return mb_str_equal((mb_str_t){text.data, prefix.len}, prefix);
}

/* Returns the view without leading and trailing ASCII white space. */
mb_str_t
mb_str_trim(mb_str_t text)
{
    while (text.len > 0 && g_ascii_isspace(text.data[0])) {
        text.data++;
        text.len--;
    }
    while (text.len > 0 && g_ascii_isspace(text.data[text.len - 1])) {
        text.len--;
    }
    return text;
}

/* Removes the text up to the next separator, and the separator, from the front
   of *rest and sets *part to that text. Returns false if *rest is empty. A
   separator at the end is not followed by an empty part. */
bool
mb_str_split(mb_str_t *rest, char separator, mb_str_t *part)
{
    if (rest->len == 0) {
        return false;
    }
    const char *end = memchr(rest->data, separator, rest->len);
    if (end == NULL) {
        *part = *rest;
        *rest = MB_STR_EMPTY;
        return true;
    }
    size_t taken = (size_t)(end - rest->data);
    *part = (mb_str_t){rest->data, taken};
    rest->data += taken + 1;
    rest->len -= taken + 1;
    return true;
}

/* Parses a decimal number without a sign. Returns false and leaves *value
   unchanged if the text is empty, contains other bytes or overflows. */
bool
mb_str_to_u64(mb_str_t text, uint64_t *value)
{
    uint64_t sum = 0;
    if (text.len == 0) {
        return false;
    }
    for (size_t i = 0; i < text.len; i++) {
        if (!g_ascii_isdigit(text.data[i])) {
            return false;
        }
        uint64_t digit = (uint64_t)(text.data[i] - '0');
        if (sum > (UINT64_MAX - digit) / 10) {
            return false;
        }
        sum = sum * 10 + digit;
    }
    *value = sum;
    return true;
}

/* Returns a 64-bit hash. It is the same in every process and version, so it
   may be stored and sent. */
uint64_t
mb_str_hash(mb_str_t text)
{
    return XXH64(text.data, text.len, 0);
}

/* Returns a NUL-terminated copy, which the caller frees with g_free. Ends at
   the first NUL in the text, if it contains one. */
char *
mb_str_to_cstr(mb_str_t text)
{
    return g_strndup(text.data, text.len);
}

/* Initializes an empty buffer, which owns no memory yet. */
void
mb_buf_init(mb_buf_t *buf)
{
    *buf = (mb_buf_t){NULL, 0, 0};
}

/* Frees the memory of the buffer, which is then empty and may be reused. */
void
mb_buf_finish(mb_buf_t *buf)
{
    g_free(buf->data);
    mb_buf_init(buf);
}

/* Empties the buffer but keeps its memory for reuse. */
void
mb_buf_clear(mb_buf_t *buf)
{
    buf->len = 0;
}

/* Ensures that `extra` more bytes can be appended without reallocation. Like
   GLib, aborts if memory is exhausted. */
void
mb_buf_reserve(mb_buf_t *buf, size_t extra)
{
    size_t need = buf->len + extra;
    if (need <= buf->cap) {
        return;
    }
    size_t cap = buf->cap < MB_BUF_MIN_CAP ? MB_BUF_MIN_CAP : buf->cap;
    while (cap < need) {
        cap *= 2;
    }
    buf->data = g_realloc(buf->data, cap);
    buf->cap = cap;
}

/* Appends a copy of the view, which must not point into the buffer. */
void
mb_buf_append(mb_buf_t *buf, mb_str_t text)
{
    if (text.len == 0) {
        return;
    }
    mb_buf_reserve(buf, text.len);
    memcpy(buf->data + buf->len, text.data, text.len);
    buf->len += text.len;
}

/* Appends a NUL-terminated string without its NUL. */
void
mb_buf_append_cstr(mb_buf_t *buf, const char *text)
{
    mb_buf_append(buf, mb_str_from_cstr(text));
}

/* Appends one byte. */
void
mb_buf_append_byte(mb_buf_t *buf, char byte)
{
    mb_buf_append(buf, (mb_str_t){&byte, 1});
}

/* Appends formatted text, as by printf, without a NUL. */
void
mb_buf_printf(mb_buf_t *buf, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    int len = vsnprintf(NULL, 0, format, args);
    va_end(args);
    if (len <= 0) {
        return;
    }
    mb_buf_reserve(buf, (size_t)len + 1);
    va_start(args, format);
    (void)vsnprintf(buf->data + buf->len, (size_t)len + 1, format, args);
    va_end(args);
    buf->len += (size_t)len;
}

/* Replaces the content by a copy of the view, which must not point into the
   buffer. A buffer without memory is allocated with exactly the length of the
   text, to save memory: tables of resources contain very many short texts. */
void
mb_buf_set(mb_buf_t *buf, mb_str_t text)
{
    if (buf->data == NULL) {
        *buf = (mb_buf_t){g_memdup2(text.data, text.len), text.len, text.len};
        return;
    }
    mb_buf_clear(buf);
    mb_buf_append(buf, text);
}

/* Removes the first `count` bytes, or all if there are fewer. */
void
mb_buf_drop_front(mb_buf_t *buf, size_t count)
{
    if (count >= buf->len) {
        buf->len = 0;
        return;
    }
    memmove(buf->data, buf->data + count, buf->len - count);
    buf->len -= count;
}

/* Returns a view of the content, valid until the buffer is changed. */
mb_str_t
mb_buf_view(const mb_buf_t *buf)
{
    if (buf->len == 0) {
        return MB_STR_EMPTY;
    }
    return (mb_str_t){buf->data, buf->len};
}

/* Hashes a key of type mb_str_t. */
unsigned
mb_str_key_hash(const void *key)
{
    return (unsigned)mb_str_hash(*(const mb_str_t *)key);
}

/* Compares two keys of type mb_str_t. */
int
mb_str_key_equal(const void *a, const void *b)
{
    return mb_str_equal(*(const mb_str_t *)a, *(const mb_str_t *)b);
}

/* Hashes a key of type mb_buf_t. */
unsigned
mb_buf_key_hash(const void *key)
{
    return (unsigned)mb_str_hash(mb_buf_view(key));
}

/* Compares two keys of type mb_buf_t. */
int
mb_buf_key_equal(const void *a, const void *b)
{
    return mb_str_equal(mb_buf_view(a), mb_buf_view(b));
}
