/* A TCP connection that carries frames between an entry and a sidecar, and
   helpers to open non-blocking TCP sockets. A link is used on the thread of
   its loop only. */
#ifndef MB_LINK_H
#define MB_LINK_H

#include "mb_frame.h"
#include "mb_loop.h"

/* A link refuses further messages while more than this many bytes wait to be
   sent on it. */
#define MB_LINK_SEND_BUFFER_MAX (16u * 1024u * 1024u)

typedef struct mb_link mb_link_t;

typedef struct mb_link_callbacks {
    /* A message has arrived; its views are valid during the call. */
    void (*message)(void *context, mb_link_t *link,
                    const mb_message_t *message);
    /* The link has failed or the peer has closed it. Called once, never from
       inside a call of mb_link_send. The link must be finished with
       mb_link_finish, in this call or later. */
    void (*closed)(void *context, mb_link_t *link);
    void *context;
} mb_link_callbacks_t;

struct mb_link {
    mb_loop_t *loop;
    mb_loop_source_t source;
    mb_loop_deferred_t flush; /* writes all messages of a batch of events */
    mb_link_callbacks_t callbacks;
    mb_frame_decoder_t decoder;
    mb_buf_t receive_buffer; /* bytes received and not yet delivered */
    mb_buf_t send_buffer;    /* encoded frames not yet sent */
    bool connecting;         /* the connect is in progress */
    bool watching_writable;  /* the loop watches for EPOLLOUT */
    bool failed;             /* set to end the link; see mb_link_fail */
    bool invalid_frame;      /* it has failed because of what was received */
    bool paused; /* delivers no frame until mb_link_resume on another loop */
    uint64_t last_received_ms;
    uint64_t last_ping_ms;
    uint64_t ping_sequence;
};

/* Interval between PINGs, in milliseconds. */
#define MB_LINK_PING_MS 500u
/* A link on which nothing has been received for this long is suspected to have
   failed, in milliseconds. */
#define MB_LINK_SUSPECT_MS 1500u

/* Initializes a link that owns the socket `fd`. `connecting` says that its
   connect is still in progress. Returns false when it can't be set up; the
   socket is closed then and there is nothing to finish. */
bool mb_link_init(mb_link_t *link, mb_loop_t *loop, int fd, bool connecting,
                  const mb_link_callbacks_t *callbacks);
/* Closes the connection and releases the buffers. Does not call `closed`. */
void mb_link_finish(mb_link_t *link);
/* Marks the link as failed; `closed` is called after the current batch of
   events. Inside a callback of the link it is enough to set `failed`. */
void mb_link_fail(mb_link_t *link);
/* Sends a PING if the interval since the last one has passed and the
   connection is established. */
void mb_link_ping(mb_link_t *link, uint64_t now_ms);
/* Returns whether nothing has been received for MB_LINK_SUSPECT_MS. */
bool mb_link_is_suspect(const mb_link_t *link, uint64_t now_ms);
/* Removes a paused link from its loop and moves it, with the bytes that it has
   received, to `to`, which must be passed to mb_link_resume; `from` may be
   freed. Not from inside a callback of the link. */
void mb_link_move(mb_link_t *from, mb_link_t *to);
/* Continues a moved link on another loop; on the thread of that loop. Frames
   that had arrived before are delivered after the current batch of events.
   Returns false when the loop refuses the socket; the link is finished
   then. */
bool mb_link_resume(mb_link_t *link, mb_loop_t *loop,
                    const mb_link_callbacks_t *callbacks);
/* Queues a message, which is written after the current batch of events.
   Returns false, and queues nothing, when more than MB_LINK_SEND_BUFFER_MAX
   bytes wait already, the link has failed, or the message is longer than
   MB_FRAME_MAX, which the peer would not accept. */
bool mb_link_send(mb_link_t *link, const mb_message_t *message);

/* Opens a non-blocking listening socket on an IPv4 address in host byte order.
   Returns the descriptor, or -1 with `error` set, for instance when the port
   is in use. */
int mb_tcp_listen(uint32_t ip, uint16_t port, GError **error);
/* Accepts a connection as a non-blocking socket. Returns the descriptor, or -1
   when none is waiting or it can't be accepted. */
int mb_tcp_accept(int listen_fd);
/* Starts a non-blocking connect to an IPv4 address in host byte order. Returns
   the descriptor, whose connect may still be in progress, or -1 with `error`
   set. */
int mb_tcp_connect(uint32_t ip, uint16_t port, GError **error);

#endif
