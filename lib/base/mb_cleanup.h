/* Attributes that release the resource of a local variable when it goes out of
   scope, on every path out of the function. */
#ifndef MB_CLEANUP_H
#define MB_CLEANUP_H

#include <glib.h>
#include <unistd.h>

#include "mb_str.h"

/* For a local mb_buf_t, which must be initialized: frees its memory. */
#define MB_AUTO_BUF __attribute__((cleanup(mb_buf_finish)))
/* For a local file descriptor: closes it unless it is negative. */
#define MB_AUTO_FD __attribute__((cleanup(mb_cleanup_fd)))

/* Closes *fd unless it is negative; the handler of MB_AUTO_FD. */
static inline void
mb_cleanup_fd(int *fd)
{
    if (*fd >= 0) {
        (void)close(*fd);
    }
}

/* Returns *fd and sets it to -1, so that an MB_AUTO_FD variable no longer
   closes it. The caller owns the returned descriptor. */
static inline int
mb_steal_fd(int *fd)
{
    int taken = *fd;
    *fd = -1;
    return taken;
}

#endif
