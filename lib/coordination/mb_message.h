/* Messages between an entry and a sidecar as plain structs; the frame codec
   of the protocol layer turns them to and from bytes. */
#ifndef MB_MESSAGE_H
#define MB_MESSAGE_H

#include <stdbool.h>
#include <stdint.h>

#include "mb_error.h"
#include "mb_resource.h"
#include "mb_str.h"

/* Version of the protocol between the system's own processes. */
#define MB_PROTOCOL_VERSION 1
/* Most headers of one request or response. */
#define MB_HEADERS_MAX 64
/* Largest body of a request or response, in bytes. */
#define MB_BODY_MAX (1024u * 1024u)
/* Longest method, in bytes. */
#define MB_METHOD_MAX 32u
/* Longest path with query and longest header name or value, in bytes. */
#define MB_TEXT_MAX (16u * 1024u)
/* Most bytes of the path and all headers of one message, which leave room in
   a frame beside the largest body. */
#define MB_HEAD_MAX (48u * 1024u)
/* Most request ids in one outcome query. */
#define MB_OUTCOME_IDS_MAX 256

/* Identifies one attempt of a request; counters on one link only increase. */
typedef struct mb_request_id {
    uint64_t process;
    uint64_t incarnation;
    uint64_t counter;
} mb_request_id_t;

/* Text of a header field; both views point into the frame. */
typedef struct mb_header {
    mb_str_t name;
    mb_str_t value;
} mb_header_t;

typedef struct mb_headers {
    uint32_t count;
    mb_header_t items[MB_HEADERS_MAX];
} mb_headers_t;

typedef enum mb_message_type {
    MB_MESSAGE_HELLO,
    MB_MESSAGE_CREDIT,
    MB_MESSAGE_REQUEST,
    MB_MESSAGE_RESPONSE,
    MB_MESSAGE_REFUSED,
    MB_MESSAGE_OUTCOME_ASK,
    MB_MESSAGE_OUTCOME,
    MB_MESSAGE_CANCEL,
    MB_MESSAGE_DRAIN,
    MB_MESSAGE_PING,
    MB_MESSAGE_PONG,
    MB_MESSAGE_ORDER,
    MB_MESSAGE_REPORT,
    MB_MESSAGE_TYPE_COUNT
} mb_message_type_t;

/* Role of the process that says hello. */
typedef enum mb_role { MB_ROLE_ENTRY, MB_ROLE_SIDECAR } mb_role_t;

/* First message in each direction of a link. */
typedef struct mb_hello {
    uint32_t version;
    uint64_t process;
    uint64_t incarnation;
    mb_role_t role;
    mb_str_t failure_domain;
    mb_str_t service; /* of a sidecar; empty from an entry */
    uint32_t slots;   /* of a sidecar's upstream */
} mb_hello_t;

/* What a sidecar lets one entry have in flight. */
typedef struct mb_credit {
    uint32_t granted;             /* requests in flight at most */
    uint32_t utilisation_percent; /* slots in use */
    uint32_t latency_us;          /* moving average at the upstream */
} mb_credit_t;

typedef struct mb_request {
    mb_request_id_t id;
    uint32_t deadline_ms; /* left when the frame was written */
    mb_class_t request_class;
    bool idempotent;
    mb_str_t method;
    mb_str_t path; /* with the query; begins with '/', or with '?' when the
                      path itself is empty */
    mb_headers_t headers;
    mb_str_t body;
} mb_request_t;

typedef struct mb_response {
    mb_request_id_t id;
    uint32_t status;
    mb_headers_t headers; /* only in the first part */
    mb_str_t body;        /* one part of the body */
    bool last;
} mb_response_t;

/* The request of this id was not run and will not be. */
typedef struct mb_refused {
    mb_request_id_t id;
    mb_kind_t reason;
} mb_refused_t;

typedef struct mb_outcome_ask {
    uint32_t count;
    mb_request_id_t ids[MB_OUTCOME_IDS_MAX];
} mb_outcome_ask_t;

typedef enum mb_outcome_state {
    MB_OUTCOME_REFUSED,
    MB_OUTCOME_RUNNING,
    MB_OUTCOME_FINISHED, /* the response follows */
    MB_OUTCOME_UNKNOWN,
    MB_OUTCOME_STATE_COUNT
} mb_outcome_state_t;

typedef struct mb_outcome {
    mb_request_id_t id;
    mb_outcome_state_t state;
} mb_outcome_t;

/* One message. Views point into the memory that it was decoded from. */
typedef struct mb_message {
    mb_message_type_t type;
    union {
        mb_hello_t hello;
        mb_credit_t credit;
        mb_request_t request;
        mb_response_t response;
        mb_refused_t refused;
        mb_outcome_ask_t outcome_ask;
        mb_outcome_t outcome;
        mb_request_id_t cancel;
        uint64_t sequence; /* of PING and PONG */
        mb_str_t packed;   /* of ORDER and REPORT, see mb_order_codec.h */
    } body;
} mb_message_t;

/* Tells whether a message with these parts fits into the bounds of a frame.
   One that doesn't would end the link of everybody else. */
static inline bool
mb_message_fits(mb_str_t method, mb_str_t path, const mb_headers_t *headers,
                mb_str_t body)
{
    size_t head = path.len;
    bool fits = method.len <= MB_METHOD_MAX && path.len <= MB_TEXT_MAX &&
                headers->count <= MB_HEADERS_MAX && body.len <= MB_BODY_MAX;
    for (uint32_t i = 0; fits && i < headers->count; i++) {
        const mb_header_t *header = &headers->items[i];
        fits = header->name.len <= MB_TEXT_MAX &&
               header->value.len <= MB_TEXT_MAX;
        head += header->name.len + header->value.len;
    }
    return fits && head <= MB_HEAD_MAX;
}

/* Tells whether two ids name the same attempt. */
static inline bool
mb_request_id_equal(const mb_request_id_t *a, const mb_request_id_t *b)
{
    return a->process == b->process && a->incarnation == b->incarnation &&
           a->counter == b->counter;
}

#endif
