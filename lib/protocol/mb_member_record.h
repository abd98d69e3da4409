/* Codec of the record payloads in the stream `members`: announcements of
   entries. */
#ifndef MB_MEMBER_RECORD_H
#define MB_MEMBER_RECORD_H

#include "mb_member.h"

/* Appends [process, incarnation, address, failure domain, leaving]. */
void mb_member_record_encode(mb_buf_t *out,
                             const mb_announcement_t *announcement);
/* Decodes a payload; texts in the announcement point into it. Returns false if
   it is malformed. */
bool mb_member_record_decode(mb_str_t payload,
                             mb_announcement_t *announcement);

#endif
