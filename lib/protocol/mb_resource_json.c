#include "mb_resource_json.h"

#include <jansson.h>
#include <stddef.h>
#include <string.h>

#include "mb_error.h"
#include "mb_resource_schema.h"
#include "mb_settings.h"

/* Deepest "spec.size.cpu_milli" for messages, in bytes. */
#define FIELD_NAME_MAX 64

/* Where a fault is reported: the path of the object and the error. */
typedef struct place {
    const char *prefix;
    GError **error;
} place_t;

static bool decode_object(const mb_schema_t *schema, json_t *object,
                          char *base, const place_t *place);

/* Refuses a field and says what is allowed. */
static bool
refuse(const place_t *place, const char *name, const char *allowed)
{
    mb_error_set(place->error, MB_KIND_INVALID, "%s%s: %s", place->prefix,
                 name, allowed);
    return false;
}

/* Reads a text into a buffer. */
static bool
decode_text(const mb_field_t *field, json_t *value, mb_buf_t *out,
            const place_t *place)
{
    char allowed[FIELD_NAME_MAX];
    mb_str_t text = {json_string_value(value), json_string_length(value)};
    (void)g_snprintf(allowed, sizeof(allowed),
                     "must be text of %u to %u bytes", field->min, field->max);
    if (!json_is_string(value) || text.len < field->min ||
        text.len > field->max) {
        return refuse(place, field->name, allowed);
    }
    mb_buf_set(out, text);
    return true;
}

/* Checks a resource name; an optional one may be empty. */
static bool
check_name(const mb_field_t *field, json_t *value, const place_t *place)
{
    mb_str_t text = {json_string_value(value), json_string_length(value)};
    bool empty_allowed = !field->required && field->type == MB_FIELD_NAME;
    if (!json_is_string(value) ||
        (!mb_resource_name_valid(text) && !(empty_allowed && text.len == 0))) {
        return refuse(place, field->name,
                      "must be a name of 1 to 63 letters, digits, '.', '_' "
                      "or '-' that starts with a letter or digit");
    }
    return true;
}

/* Reads a resource name; an optional one may be empty. */
static bool
decode_name(const mb_field_t *field, json_t *value, mb_buf_t *out,
            const place_t *place)
{
    if (!check_name(field, value, place)) {
        return false;
    }
    mb_buf_set(
        out, (mb_str_t){json_string_value(value), json_string_length(value)});
    return true;
}

/* Reads an address. */
static bool
decode_address(const mb_field_t *field, json_t *value, mb_buf_t *out,
               const place_t *place)
{
    mb_str_t text = {json_string_value(value), json_string_length(value)};
    uint32_t ip;
    uint16_t port;
    if (!json_is_string(value) || !mb_address_parse(text, &ip, &port)) {
        return refuse(place, field->name, "must be an address IPv4:port");
    }
    mb_buf_set(out, text);
    return true;
}

/* Reads a whole number within the range of its field. */
static bool
decode_number(const mb_field_t *field, json_t *value, uint32_t *out,
              const place_t *place)
{
    char allowed[FIELD_NAME_MAX];
    json_int_t number = json_integer_value(value);
    (void)g_snprintf(allowed, sizeof(allowed),
                     "must be a whole number from %u to %u", field->min,
                     field->max);
    if (!json_is_integer(value) || number < (json_int_t)field->min ||
        number > (json_int_t)field->max) {
        return refuse(place, field->name, allowed);
    }
    *out = (uint32_t)number;
    return true;
}

/* Reads a list of names, each at most once. */
static bool
decode_names(const mb_field_t *field, json_t *value, mb_names_t *out,
             const place_t *place)
{
    if (!json_is_array(value) || json_array_size(value) > MB_NAMES_MAX) {
        return refuse(place, field->name,
                      "must be an array of at most 16 names");
    }
    for (size_t i = 0; i < json_array_size(value); i++) {
        json_t *item = json_array_get(value, i);
        if (!check_name(field, item, place)) {
            return false;
        }
        mb_str_t name = {json_string_value(item), json_string_length(item)};
        for (uint32_t j = 0; j < out->count; j++) {
            if (mb_str_equal(mb_buf_view(&out->items[j]), name)) {
                return refuse(place, field->name, "must name each once");
            }
        }
        (void)mb_names_add(out, name);
    }
    return true;
}

/* Reads the name of a class or an objective. */
static bool
decode_choice(const mb_field_t *field, json_t *value, char *out,
              const place_t *place)
{
    mb_str_t text = {json_string_value(value), json_string_length(value)};
    bool is_text = json_is_string(value);
    if (field->type == MB_FIELD_CLASS) {
        return (is_text && mb_class_from_name(text, (mb_class_t *)out)) ||
               refuse(place, field->name,
                      "must be \"urgent\", \"normal\" or \"batch\"");
    }
    for (size_t i = 0; is_text && i < MB_OBJECTIVE_COUNT; i++) {
        if (mb_str_equal(text, mb_str_from_cstr(mb_objective_names[i]))) {
            *(mb_objective_t *)out = (mb_objective_t)i;
            return true;
        }
    }
    return refuse(place, field->name,
                  "must be \"throughput_first\" or \"latency_first\"");
}

/* Reads an object of three numbers. */
static bool
decode_size(const mb_field_t *field, json_t *value, char *out,
            const place_t *place)
{
    char prefix[FIELD_NAME_MAX];
    (void)g_snprintf(prefix, sizeof(prefix), "%s%s.", place->prefix,
                     field->name);
    place_t inner = {prefix, place->error};
    if (!json_is_object(value)) {
        return refuse(place, field->name, "must be an object");
    }
    return decode_object(&mb_size_schema, value, out, &inner);
}

/* Reads one field of a spec. */
static bool
decode_field(const mb_field_t *field, json_t *value, char *out,
             const place_t *place)
{
    switch (field->type) {
    case MB_FIELD_NAME:
        return decode_name(field, value, (mb_buf_t *)out, place);
    case MB_FIELD_TEXT:
        return decode_text(field, value, (mb_buf_t *)out, place);
    case MB_FIELD_ADDRESS:
        return decode_address(field, value, (mb_buf_t *)out, place);
    case MB_FIELD_NUMBER:
        return decode_number(field, value, (uint32_t *)out, place);
    case MB_FIELD_BOOL:
        *(bool *)out = json_is_true(value);
        return json_is_boolean(value) ||
               refuse(place, field->name, "must be true or false");
    case MB_FIELD_CLASS:
    case MB_FIELD_OBJECTIVE:
        return decode_choice(field, value, out, place);
    case MB_FIELD_SIZE:
        return decode_size(field, value, out, place);
    case MB_FIELD_NAME_LIST:
        return decode_names(field, value, (mb_names_t *)out, place);
    }
    return false;
}

/* Sets a field that the object does not name. */
static void
set_fallback(const mb_field_t *field, char *out)
{
    if (field->type == MB_FIELD_NUMBER) {
        *(uint32_t *)out = field->default_value;
    }
    else if (field->type == MB_FIELD_CLASS) {
        *(mb_class_t *)out = (mb_class_t)field->default_value;
    }
}

/* Finds a field by name. */
static const mb_field_t *
find_field(const mb_schema_t *schema, const char *name)
{
    for (size_t i = 0; i < schema->count; i++) {
        if (strcmp(schema->fields[i].name, name) == 0) {
            return &schema->fields[i];
        }
    }
    return NULL;
}

/* Reads an object field by field into the struct at `base`. */
static bool
decode_object(const mb_schema_t *schema, json_t *object, char *base,
              const place_t *place)
{
    const char *key;
    json_t *value;
    json_object_foreach(object, key, value)
    {
        if (find_field(schema, key) == NULL) {
            return refuse(place, key, "unknown field");
        }
    }
    for (size_t i = 0; i < schema->count; i++) {
        const mb_field_t *field = &schema->fields[i];
        value = json_object_get(object, field->name);
        if (value == NULL && field->required) {
            return refuse(place, field->name, "missing");
        }
        if (value == NULL) {
            set_fallback(field, base + field->offset);
        }
        else if (!decode_field(field, value, base + field->offset, place)) {
            return false;
        }
    }
    return true;
}

/* Checks what concerns several fields together. */
static bool
check_whole(const mb_resource_t *resource, GError **error)
{
    place_t place = {"spec.", error};
    place_t top = {"", error};
    const mb_service_t *service = &resource->spec.service;
    switch (resource->kind) {
    case MB_RESOURCE_SERVICE:
        if (service->instances > 0 &&
            (service->command.len == 0 || service->size.cpu_milli == 0)) {
            return refuse(&place, "instances",
                          "needs a command and size.cpu_milli of at least 1");
        }
        return true;
    case MB_RESOURCE_JOB:
        return resource->spec.job.size.cpu_milli > 0 ||
               refuse(&place, "size.cpu_milli",
                      "must be a whole number from 1 to 10000000");
    case MB_RESOURCE_WORKER:
        return resource->spec.worker.capacity.cpu_milli > 0 ||
               refuse(&place, "capacity.cpu_milli",
                      "must be a whole number from 1 to 10000000");
    case MB_RESOURCE_POLICY:
        return mb_str_equal(mb_buf_view(&resource->name),
                            MB_STR_LIT("default")) ||
               refuse(&top, "name", "must be \"default\" for a policy");
    case MB_RESOURCE_TEAM:
    case MB_RESOURCE_CONSTRAINT:
    case MB_RESOURCE_KIND_COUNT:
        break;
    }
    return true;
}

/* Reads `kind` and `name`; a caller that knows them passes them in, and the
   text may then leave them out but not contradict. */
static bool
decode_identity(json_t *root, mb_str_t *kind_name, mb_str_t *name,
                GError **error)
{
    place_t place = {"", error};
    static const char *const keys[] = {"kind", "name"};
    mb_str_t *texts[] = {kind_name, name};
    for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
        json_t *value = json_object_get(root, keys[i]);
        mb_str_t text = {json_string_value(value), json_string_length(value)};
        if (value == NULL && texts[i]->len > 0) {
            continue;
        }
        if (!json_is_string(value)) {
            return refuse(&place, keys[i],
                          value == NULL ? "missing" : "must be text");
        }
        if (texts[i]->len > 0 && !mb_str_equal(text, *texts[i])) {
            return refuse(&place, keys[i], "differs from the path");
        }
        *texts[i] = text;
    }
    return true;
}

/* Checks the fields around the spec. */
static bool
check_outer(json_t *root, GError **error)
{
    place_t place = {"", error};
    const char *key;
    json_t *value;
    if (!json_is_object(root)) {
        return refuse(&place, "resource", "must be a JSON object");
    }
    json_object_foreach(root, key, value)
    {
        if (strcmp(key, "kind") != 0 && strcmp(key, "name") != 0 &&
            strcmp(key, "spec") != 0 && strcmp(key, "revision") != 0 &&
            strcmp(key, "status") != 0) {
            return refuse(&place, key, "unknown field");
        }
    }
    value = json_object_get(root, "revision");
    if (value != NULL &&
        (!json_is_integer(value) || json_integer_value(value) < 0)) {
        return refuse(&place, "revision", "must be a whole number from 0 on");
    }
    return json_is_object(json_object_get(root, "spec")) ||
           refuse(&place, "spec", "must be an object");
}

/* Reads one resource from parsed JSON. */
static bool
decode_root(json_t *root, mb_str_t kind_name, mb_str_t name,
            mb_resource_t *resource, GError **error)
{
    mb_resource_kind_t kind;
    place_t top = {"", error};
    place_t spec = {"spec.", error};
    if (!check_outer(root, error) ||
        !decode_identity(root, &kind_name, &name, error)) {
        return false;
    }
    if (!mb_resource_kind_from_name(kind_name, &kind)) {
        return refuse(&top, "kind",
                      "must be service, job, team, constraint, policy or "
                      "worker");
    }
    if (!mb_resource_name_valid(name)) {
        return refuse(&top, "name",
                      "must be 1 to 63 letters, digits, '.', '_' or '-' and "
                      "start with a letter or digit");
    }
    mb_resource_init(resource, kind, name);
    resource->revision =
        (uint64_t)json_integer_value(json_object_get(root, "revision"));
    if (!decode_object(&mb_resource_schemas[kind],
                       json_object_get(root, "spec"), (char *)&resource->spec,
                       &spec) ||
        !check_whole(resource, error)) {
        mb_resource_finish(resource);
        return false;
    }
    return true;
}

/* Parses JSON; repeated keys are refused. */
static json_t *
parse(mb_str_t text, size_t flags, GError **error)
{
    json_error_t where;
    json_t *root = json_loadb(text.data, text.len,
                              flags | JSON_REJECT_DUPLICATES, &where);
    if (root == NULL) {
        mb_error_set(error, MB_KIND_INVALID, "JSON: line %d: %s", where.line,
                     where.text);
    }
    return root;
}

/* Reads a resource whose kind and name are known. On success the caller
   finishes the resource. */
bool
mb_resource_json_decode_as(mb_str_t text, mb_resource_kind_t kind,
                           mb_str_t name, mb_resource_t *resource,
                           GError **error)
{
    if (text.len > MB_RESOURCE_JSON_MAX) {
        mb_error_set(error, MB_KIND_TOO_LARGE,
                     "a resource has at most %u bytes", MB_RESOURCE_JSON_MAX);
        return false;
    }
    json_t *root = parse(text, 0, error);
    bool ok = root != NULL && decode_root(root, mb_resource_kind_name(kind),
                                          name, resource, error);
    json_decref(root);
    return ok;
}

/* Reads a resource that names its kind and itself. */
bool
mb_resource_json_decode(mb_str_t text, mb_resource_t *resource, GError **error)
{
    json_t *root = parse(text, 0, error);
    bool ok = root != NULL &&
              decode_root(root, MB_STR_EMPTY, MB_STR_EMPTY, resource, error);
    json_decref(root);
    return ok;
}

/* Reads one item of a text with several resources. */
static bool
decode_item(json_t *item,
            bool (*visit)(void *context, mb_resource_t *resource),
            void *context, GError **error)
{
    mb_resource_t resource;
    if (!decode_root(item, MB_STR_EMPTY, MB_STR_EMPTY, &resource, error)) {
        return false;
    }
    bool go_on = visit(context, &resource);
    mb_resource_finish(&resource);
    return go_on;
}

/* Reads one resource, an array of them, or several texts one after another.
   Calls back for each until one is refused by us or by `visit`. */
bool
mb_resource_json_decode_all(mb_str_t text,
                            bool (*visit)(void *context,
                                          mb_resource_t *resource),
                            void *context, GError **error)
{
    bool ok = true;
    text = mb_str_trim(text);
    while (ok && text.len > 0) {
        json_error_t where;
        json_t *root = json_loadb(
            text.data, text.len,
            JSON_REJECT_DUPLICATES | JSON_DISABLE_EOF_CHECK, &where);
        if (root == NULL) {
            mb_error_set(error, MB_KIND_INVALID, "JSON: line %d: %s",
                         where.line, where.text);
            return false;
        }
        if (json_is_array(root)) {
            for (size_t i = 0; ok && i < json_array_size(root); i++) {
                ok = decode_item(json_array_get(root, i), visit, context,
                                 error);
            }
        }
        else {
            ok = decode_item(root, visit, context, error);
        }
        json_decref(root);
        text.data += where.position;
        text.len -= (size_t)where.position;
        text = mb_str_trim(text);
    }
    return ok;
}

/* Makes JSON of an owned text. */
static json_t *
encode_text(const char *at)
{
    const mb_buf_t *buf = (const mb_buf_t *)at;
    return json_stringn(buf->len > 0 ? buf->data : "", buf->len);
}

/* Makes JSON of a list of names. */
static json_t *
encode_names(const char *at)
{
    const mb_names_t *names = (const mb_names_t *)at;
    json_t *array = json_array();
    for (uint32_t i = 0; i < names->count; i++) {
        (void)json_array_append_new(
            array, encode_text((const char *)&names->items[i]));
    }
    return array;
}

static json_t *encode_object(const mb_schema_t *schema, const char *base);

/* Makes JSON of one field. */
static json_t *
encode_field(const mb_field_t *field, const char *at)
{
    mb_str_t name;
    switch (field->type) {
    case MB_FIELD_NAME:
    case MB_FIELD_TEXT:
    case MB_FIELD_ADDRESS:
        return encode_text(at);
    case MB_FIELD_NUMBER:
        return json_integer(*(const uint32_t *)at);
    case MB_FIELD_BOOL:
        return json_boolean(*(const bool *)at);
    case MB_FIELD_CLASS:
        name = mb_class_name(*(const mb_class_t *)at);
        return json_stringn(name.data, name.len);
    case MB_FIELD_OBJECTIVE:
        return json_string(mb_objective_names[*(const mb_objective_t *)at]);
    case MB_FIELD_SIZE:
        return encode_object(&mb_size_schema, at);
    case MB_FIELD_NAME_LIST:
        return encode_names(at);
    }
    return NULL;
}

/* Makes JSON of the struct at `base`. */
static json_t *
encode_object(const mb_schema_t *schema, const char *base)
{
    json_t *object = json_object();
    for (size_t i = 0; i < schema->count; i++) {
        const mb_field_t *field = &schema->fields[i];
        (void)json_object_set_new(object, field->name,
                                  encode_field(field, base + field->offset));
    }
    return object;
}

/* Appends a resource as one line of JSON, without a line feed. */
void
mb_resource_json_encode(mb_buf_t *out, const mb_resource_t *resource)
{
    mb_str_t kind = mb_resource_kind_name(resource->kind);
    json_t *root = json_object();
    (void)json_object_set_new(root, "kind", json_stringn(kind.data, kind.len));
    (void)json_object_set_new(root, "name",
                              encode_text((const char *)&resource->name));
    (void)json_object_set_new(root, "revision",
                              json_integer((json_int_t)resource->revision));
    (void)json_object_set_new(
        root, "spec",
        encode_object(&mb_resource_schemas[resource->kind],
                      (const char *)&resource->spec));
    char *text = json_dumps(root, JSON_COMPACT);
    mb_buf_append_cstr(out, text);
    free(text);
    json_decref(root);
}
