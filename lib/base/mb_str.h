/* Strings with an explicit length: borrowed views and growable buffers. */
#ifndef MB_STR_H
#define MB_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A borrowed view of bytes, passed by value. Not NUL-terminated; may contain
   NUL. The owner of the bytes must outlive it. */
typedef struct mb_str {
    const char *data;
    size_t len;
} mb_str_t;

/* A growable buffer that owns its bytes. An all-zero buffer is valid and
   empty; it is released with mb_buf_finish. */
typedef struct mb_buf {
    char *data;
    size_t len;
    size_t cap;
} mb_buf_t;

/* A view of a string literal. */
#define MB_STR_LIT(text) ((mb_str_t){(text), sizeof(text) - 1})
#define MB_STR_EMPTY ((mb_str_t){"", 0})
/* The arguments of a "%.*s" conversion of printf. */
#define MB_STR_ARG(str) (int)(str).len, (str).data

mb_str_t mb_str_from_cstr(const char *text);
bool mb_str_equal(mb_str_t a, mb_str_t b);
int mb_str_compare(mb_str_t a, mb_str_t b);
bool mb_str_starts_with(mb_str_t text, mb_str_t prefix);
mb_str_t mb_str_trim(mb_str_t text);
bool mb_str_split(mb_str_t *rest, char separator, mb_str_t *part);
bool mb_str_to_u64(mb_str_t text, uint64_t *value);
uint64_t mb_str_hash(mb_str_t text);
/* Functions of a GHashTable whose keys are of type mb_str_t, and of one whose
   keys are of type mb_buf_t. */
unsigned mb_str_key_hash(const void *key);
int mb_str_key_equal(const void *a, const void *b);
unsigned mb_buf_key_hash(const void *key);
int mb_buf_key_equal(const void *a, const void *b);
char *mb_str_to_cstr(mb_str_t text);

void mb_buf_init(mb_buf_t *buf);
void mb_buf_finish(mb_buf_t *buf);
void mb_buf_clear(mb_buf_t *buf);
void mb_buf_reserve(mb_buf_t *buf, size_t extra);
void mb_buf_append(mb_buf_t *buf, mb_str_t text);
void mb_buf_append_cstr(mb_buf_t *buf, const char *text);
void mb_buf_append_byte(mb_buf_t *buf, char byte);
void mb_buf_printf(mb_buf_t *buf, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
void mb_buf_set(mb_buf_t *buf, mb_str_t text);
void mb_buf_drop_front(mb_buf_t *buf, size_t count);
mb_str_t mb_buf_view(const mb_buf_t *buf);

#endif
