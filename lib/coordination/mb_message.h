/* Messages between an entry and a sidecar as plain structs; the frame codec
   (mb_frame.h) encodes and decodes them. The frames between the owner of the
   fleet and its agents, ORDER and REPORT, are of the same format. */
#ifndef MB_MESSAGE_H
#define MB_MESSAGE_H

#include <stdbool.h>
#include <stdint.h>

#include "mb_error.h"
#include "mb_resource.h"
#include "mb_str.h"

/* Version of the protocol between the processes of this system. */
#define MB_PROTOCOL_VERSION 1
/* Maximum number of headers of one request or response. */
#define MB_HEADERS_MAX 64
/* Maximum size of the body of a request or response, in bytes. */
#define MB_BODY_MAX (1024u * 1024u)
/* Maximum length of the method, in bytes. */
#define MB_METHOD_MAX 32u
/* Maximum length of a path with its query, and of a header name or value, in
   bytes. */
#define MB_TEXT_MAX (16u * 1024u)
/* Maximum size of the path and all headers of one message together, in bytes;
   it leaves space in a frame for a body of MB_BODY_MAX. */
#define MB_HEAD_MAX (48u * 1024u)
/* Maximum number of request ids in one outcome query. */
#define MB_OUTCOME_IDS_MAX 256

/* Identifies one attempt of a request by the process and incarnation of the
   entry and a counter, which only increases on one link. */
typedef struct mb_request_id {
    uint64_t process;
    uint64_t incarnation;
    uint64_t counter;
} mb_request_id_t;

/* One header; in a decoded message both views point into the frame. */
typedef struct mb_header {
    mb_str_t name;
    mb_str_t value;
} mb_header_t;

typedef struct mb_headers {
    uint32_t count;
    mb_header_t items[MB_HEADERS_MAX];
} mb_headers_t;

/* Types of messages. The values are sent in frames and must not change. */
typedef enum mb_message_type {
    MB_MESSAGE_HELLO,
    MB_MESSAGE_CREDIT,
    MB_MESSAGE_REQUEST,
    MB_MESSAGE_RESPONSE,
    MB_MESSAGE_REFUSED,
    MB_MESSAGE_OUTCOME_ASK,
    MB_MESSAGE_OUTCOME,
    MB_MESSAGE_CANCEL, /* the client no longer waits for the answer */
    MB_MESSAGE_DRAIN,  /* the sidecar drains: it is to be sent no new requests,
                          see mb_slots_drain */
    MB_MESSAGE_PING,
    MB_MESSAGE_PONG,
    MB_MESSAGE_ORDER,
    MB_MESSAGE_REPORT,
    MB_MESSAGE_TYPE_COUNT
} mb_message_type_t;

/* Role of the process that sends HELLO. */
typedef enum mb_role { MB_ROLE_ENTRY, MB_ROLE_SIDECAR } mb_role_t;

/* HELLO: the first message in each direction of a link. */
typedef struct mb_hello {
    uint32_t version;
    uint64_t process;
    uint64_t incarnation;
    mb_role_t role;
    mb_str_t failure_domain;
    mb_str_t service; /* of a sidecar; empty from an entry */
    uint32_t slots;   /* of a sidecar's upstream */
} mb_hello_t;

/* CREDIT: flow control from a sidecar to one entry. */
typedef struct mb_credit {
    uint32_t granted;             /* maximum number of requests in flight */
    uint32_t utilisation_percent; /* slots in use */
    uint32_t latency_us;          /* moving average at the upstream */
} mb_credit_t;

/* REQUEST: one attempt of a client's request. */
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

/* RESPONSE: the whole response or a part of it. */
typedef struct mb_response {
    mb_request_id_t id;
    uint32_t status;      /* of HTTP */
    mb_headers_t headers; /* only in the first part */
    mb_str_t body;        /* one part of the body */
    bool last;
} mb_response_t;

/* REFUSED: the request of this id was not run and will not be. */
typedef struct mb_refused {
    mb_request_id_t id;
    mb_kind_t reason;
} mb_refused_t;

/* OUTCOME_ASK: an outcome query, sent by an entry when it does not know
   whether requests ran. */
typedef struct mb_outcome_ask {
    uint32_t count;
    mb_request_id_t ids[MB_OUTCOME_IDS_MAX];
} mb_outcome_ask_t;

/* What a sidecar knows of a request id. */
typedef enum mb_outcome_state {
    MB_OUTCOME_REFUSED,  /* was not run and will not be */
    MB_OUTCOME_RUNNING,  /* or waits for a slot */
    MB_OUTCOME_FINISHED, /* the response follows */
    MB_OUTCOME_UNKNOWN,  /* may have run, but there is no record of it */
    MB_OUTCOME_STATE_COUNT
} mb_outcome_state_t;

/* OUTCOME: the answer to an outcome query for one id, or to a REQUEST whose id
   the sidecar has seen before. */
typedef struct mb_outcome {
    mb_request_id_t id;
    mb_outcome_state_t state;
} mb_outcome_t;

/* One message. Its views point into the memory that it was decoded from. */
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
        mb_request_id_t cancel; /* the request to cancel */
        uint64_t sequence;      /* of PING and PONG */
        mb_str_t packed; /* encoded ORDER or REPORT, see mb_order_codec.h */
    } body;
} mb_message_t;

/* Returns whether a message with these parts is within the limits of a frame.
   The receiver closes the link on a message that exceeds them, which would
   fail all other requests on that link, so it must not be sent. */
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

/* Returns whether two ids identify the same attempt. */
static inline bool
mb_request_id_equal(const mb_request_id_t *a, const mb_request_id_t *b)
{
    return a->process == b->process && a->incarnation == b->incarnation &&
           a->counter == b->counter;
}

#endif
