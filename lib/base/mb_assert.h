/* Assertions that are checked in every build. */
#ifndef MB_ASSERT_H
#define MB_ASSERT_H

#include <assert.h>

/* Checks an invariant, in release builds as well. `name` identifies it in the
   log. A violation is logged and aborts the process, because continuing could
   break a guarantee given to a client. */
#define MB_INVARIANT(condition, name)                                         \
    do {                                                                      \
        if (!(condition)) {                                                   \
            mb_invariant_failed((name), #condition, __FILE__, __LINE__);      \
        }                                                                     \
    } while (0)

void mb_invariant_failed(const char *name, const char *condition,
                         const char *file, int line) __attribute__((noreturn));

#endif
