/* A TCP connection that carries frames between an entry and a sidecar. Used
   only on the thread of its loop. */
#ifndef MB_LINK_H
#define MB_LINK_H

#include "mb_frame.h"
#include "mb_loop.h"

/* Most bytes that wait to be sent on one link. */
#define MB_LINK_SEND_BUFFER_MAX (16u * 1024u * 1024u)

typedef struct mb_link mb_link_t;

typedef struct mb_link_callbacks {
    /* A message arrived; its views are valid during the call. */
    void (*message)(void *context, mb_link_t *link,
                    const mb_message_t *message);
    /* The link failed or the peer closed it; called once, never from inside
       a call of mb_link_send. The owner finishes the link. */
    void (*closed)(void *context, mb_link_t *link);
    void *context;
} mb_link_callbacks_t;

struct mb_link {
    mb_loop_t *loop;
    mb_loop_source_t source;
    mb_loop_deferred_t flush; /* writes once for all messages of a batch */
    mb_link_callbacks_t callbacks;
    mb_frame_decoder_t decoder;
    mb_buf_t receive_buffer;
    mb_buf_t send_buffer;
    bool connecting;
    bool watching_writable;
    bool failed;
    bool paused; /* hands on no frame until it has moved to its loop */
    uint64_t last_received_ms;
    uint64_t last_ping_ms;
    uint64_t ping_sequence;
};

/* How often PING is sent, in milliseconds. */
#define MB_LINK_PING_MS 500u
/* A link without a frame for this long is suspect, in milliseconds. */
#define MB_LINK_SUSPECT_MS 1500u

bool mb_link_init(mb_link_t *link, mb_loop_t *loop, int fd, bool connecting,
                  const mb_link_callbacks_t *callbacks);
void mb_link_finish(mb_link_t *link);
void mb_link_fail(mb_link_t *link);
void mb_link_ping(mb_link_t *link, uint64_t now_ms);
bool mb_link_is_suspect(const mb_link_t *link, uint64_t now_ms);
void mb_link_move(mb_link_t *from, mb_link_t *to);
bool mb_link_resume(mb_link_t *link, mb_loop_t *loop,
                    const mb_link_callbacks_t *callbacks);
bool mb_link_send(mb_link_t *link, const mb_message_t *message);

int mb_tcp_listen(uint32_t ip, uint16_t port, GError **error);
int mb_tcp_accept(int listen_fd);
int mb_tcp_connect(uint32_t ip, uint16_t port, GError **error);

#endif
