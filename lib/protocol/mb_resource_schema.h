/* Tables of the fields in the spec of each kind of resource: their types,
   ranges and defaults. They drive the JSON codec in mb_resource_json.c. */
#ifndef MB_RESOURCE_SCHEMA_H
#define MB_RESOURCE_SCHEMA_H

#include <stddef.h>

#include "mb_resource.h"

typedef enum mb_field_type {
    MB_FIELD_NAME,      /* a resource name; may be empty if optional */
    MB_FIELD_TEXT,      /* any text of `min` to `max` bytes */
    MB_FIELD_ADDRESS,   /* IPv4:port */
    MB_FIELD_NUMBER,    /* uint32_t from `min` to `max` */
    MB_FIELD_BOOL,      /* true or false */
    MB_FIELD_CLASS,     /* urgent, normal or batch */
    MB_FIELD_OBJECTIVE, /* throughput_first or latency_first */
    MB_FIELD_SIZE,      /* an object, see mb_size_schema */
    MB_FIELD_NAME_LIST  /* an array of different names */
} mb_field_type_t;

/* One field of a JSON object and the member of a C struct that stores it. */
typedef struct mb_field {
    const char *name;
    mb_field_type_t type;
    size_t offset; /* of the member in its struct */
    bool required;
    uint32_t min; /* range of a number or of the length of a text */
    uint32_t max;
    uint32_t default_value; /* of a number or class that is absent */
} mb_field_t;

/* The fields of one JSON object. */
typedef struct mb_schema {
    const mb_field_t *fields;
    size_t count;
} mb_schema_t;

/* Number of values of mb_objective_t. */
#define MB_OBJECTIVE_COUNT 2

/* The spec of each kind of resource. */
extern const mb_schema_t mb_resource_schemas[MB_RESOURCE_KIND_COUNT];
/* The members of mb_size_t. */
extern const mb_schema_t mb_size_schema;
/* Names in JSON, by mb_objective_t. */
extern const char *const mb_objective_names[MB_OBJECTIVE_COUNT];

#endif
