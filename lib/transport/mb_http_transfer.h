/* One call of the HTTP client: its libcurl handle with the options, and what
   has been received. mb_http_client runs it. */
#ifndef MB_HTTP_TRANSFER_H
#define MB_HTTP_TRANSFER_H

#include "mb_http_client.h"

/* A call in progress. */
typedef struct mb_http_transfer {
    mb_http_client_t *client;
    CURL *easy;
    struct curl_slist *headers;
    mb_buf_t request_body;
    size_t request_sent;    /* bytes of the body that libcurl has read */
    mb_buf_t response_head; /* raw header lines of the latest response */
    mb_buf_t response_body;
    size_t received;           /* part of the client's `received` */
    bool too_large;            /* the response exceeds a limit */
    uint64_t idle_timeout_us;  /* 0: unlimited */
    uint64_t progress_us;      /* when a byte was last sent or received */
    curl_off_t progress_bytes; /* sent and received until then */
    void (*done)(void *context, const mb_http_result_t *result);
    void *context;
} mb_http_transfer_t;

mb_http_transfer_t *mb_http_transfer_new(mb_http_client_t *client,
                                         const mb_http_call_t *call);
void mb_http_transfer_free(mb_http_transfer_t *transfer);
void mb_http_transfer_get_result(const mb_http_transfer_t *transfer,
                                 CURLcode code, mb_http_result_t *result);
uint64_t mb_http_transfer_now_us(void);

#endif
