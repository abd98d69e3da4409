/* What the spec of each kind of resource may hold, as tables. */
#ifndef MB_RESOURCE_SCHEMA_H
#define MB_RESOURCE_SCHEMA_H

#include <stddef.h>

#include "mb_resource.h"

typedef enum mb_field_type {
    MB_FIELD_NAME,      /* a resource name */
    MB_FIELD_TEXT,      /* any text of `low` to `high` bytes */
    MB_FIELD_ADDRESS,   /* IPv4:port */
    MB_FIELD_NUMBER,    /* uint32_t from `low` to `high` */
    MB_FIELD_BOOL,      /* true or false */
    MB_FIELD_CLASS,     /* urgent, normal or batch */
    MB_FIELD_OBJECTIVE, /* throughput_first or latency_first */
    MB_FIELD_SIZE,      /* an object of three numbers */
    MB_FIELD_NAME_LIST  /* an array of names */
} mb_field_type_t;

/* One field of a spec: where it is kept and what it may hold. */
typedef struct mb_field {
    const char *name;
    mb_field_type_t type;
    size_t offset;
    bool required;
    uint32_t min;
    uint32_t max;
    uint32_t default_value; /* of a number, class or objective */
} mb_field_t;

/* The fields of one JSON object. */
typedef struct mb_schema {
    const mb_field_t *fields;
    size_t count;
} mb_schema_t;

/* Number of objectives of a policy. */
#define MB_OBJECTIVE_COUNT 2

extern const mb_schema_t mb_resource_schemas[MB_RESOURCE_KIND_COUNT];
extern const mb_schema_t mb_size_schema;
extern const char *const mb_objective_names[MB_OBJECTIVE_COUNT];

#endif
