/* The list of evacuated failure domains as JSON, for operators. */
#ifndef MB_EVACUATION_JSON_H
#define MB_EVACUATION_JSON_H

#include <glib.h>

#include "mb_str.h"

typedef struct mb_evacuation_row {
    mb_str_t domain;
    uint64_t since_unix_ms; /* when the process learned of the request */
    uint32_t workers;
    uint32_t runs; /* that are still there */
} mb_evacuation_row_t;

typedef struct mb_evacuation_list {
    bool owner; /* of the fleet; other processes know no workers or runs */
    bool starts_withheld;
    const GArray *rows; /* mb_evacuation_row_t */
} mb_evacuation_list_t;

/* Appends a list as an object with the members "owner", "starts_withheld" and
   "items". The numbers of workers and runs are null unless the process is the
   owner. */
void mb_evacuation_json_write(mb_buf_t *out, const mb_evacuation_list_t *list);

#endif
