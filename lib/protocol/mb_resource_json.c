#include "mb_resource_json.h"

#include <jansson.h>
#include <stddef.h>
#include <string.h>

#include "mb_error.h"
#include "mb_resource_schema.h"
#include "mb_settings.h"

/* Size of the buffers for parts of an error message, in bytes: the path of an
   object, such as "spec.size.", and the values allowed for a field. */
#define MESSAGE_PART_SIZE 64

/* How invalid fields of one JSON object are reported. `prefix` is the path of
   the object, such as "spec.", which is put before the name of the field. */
typedef struct reporter {
    const char *prefix;
    GError **error;
} reporter_t;

static bool decode_object(const mb_schema_t *schema, json_t *object,
                          char *base, const reporter_t *reporter);

/* Sets the error for an invalid field to its path and the values allowed.
   Returns false, for the caller to return. */
static bool
reject(const reporter_t *reporter, const char *name, const char *allowed)
{
    mb_error_set(reporter->error, MB_KIND_INVALID, "%s%s: %s",
                 reporter->prefix, name, allowed);
    return false;
}

/* Decodes a text of `min` to `max` bytes. */
static bool
decode_text(const mb_field_t *field, json_t *value, mb_buf_t *out,
            const reporter_t *reporter)
{
    char allowed[MESSAGE_PART_SIZE];
    mb_str_t text = {json_string_value(value), json_string_length(value)};
    (void)g_snprintf(allowed, sizeof(allowed),
                     "must be text of %u to %u bytes", field->min, field->max);
    if (!json_is_string(value) || text.len < field->min ||
        text.len > field->max) {
        return reject(reporter, field->name, allowed);
    }
    mb_buf_set(out, text);
    return true;
}

/* Checks that a value is a resource name. In a field of the type MB_FIELD_NAME
   that is not required, it may be empty. */
static bool
check_name(const mb_field_t *field, json_t *value, const reporter_t *reporter)
{
    mb_str_t text = {json_string_value(value), json_string_length(value)};
    bool empty_allowed = !field->required && field->type == MB_FIELD_NAME;
    if (!json_is_string(value) ||
        (!mb_resource_name_valid(text) && !(empty_allowed && text.len == 0))) {
        return reject(reporter, field->name,
                      "must be a name of 1 to 63 letters, digits, '.', '_' "
                      "or '-' that starts with a letter or digit");
    }
    return true;
}

/* Decodes a resource name; see check_name. */
static bool
decode_name(const mb_field_t *field, json_t *value, mb_buf_t *out,
            const reporter_t *reporter)
{
    if (!check_name(field, value, reporter)) {
        return false;
    }
    mb_buf_set(
        out, (mb_str_t){json_string_value(value), json_string_length(value)});
    return true;
}

/* Decodes an address IPv4:port, which is stored as text. */
static bool
decode_address(const mb_field_t *field, json_t *value, mb_buf_t *out,
               const reporter_t *reporter)
{
    mb_str_t text = {json_string_value(value), json_string_length(value)};
    uint32_t ip;
    uint16_t port;
    if (!json_is_string(value) || !mb_address_parse(text, &ip, &port)) {
        return reject(reporter, field->name, "must be an address IPv4:port");
    }
    mb_buf_set(out, text);
    return true;
}

/* Decodes an integer from `min` to `max`. */
static bool
decode_number(const mb_field_t *field, json_t *value, uint32_t *out,
              const reporter_t *reporter)
{
    char allowed[MESSAGE_PART_SIZE];
    json_int_t number = json_integer_value(value);
    (void)g_snprintf(allowed, sizeof(allowed),
                     "must be a whole number from %u to %u", field->min,
                     field->max);
    if (!json_is_integer(value) || number < (json_int_t)field->min ||
        number > (json_int_t)field->max) {
        return reject(reporter, field->name, allowed);
    }
    *out = (uint32_t)number;
    return true;
}

/* Decodes an array of at most MB_NAMES_MAX different names. */
static bool
decode_names(const mb_field_t *field, json_t *value, mb_names_t *out,
             const reporter_t *reporter)
{
    if (!json_is_array(value) || json_array_size(value) > MB_NAMES_MAX) {
        return reject(reporter, field->name,
                      "must be an array of at most 16 names");
    }
    for (size_t i = 0; i < json_array_size(value); i++) {
        json_t *item = json_array_get(value, i);
        if (!check_name(field, item, reporter)) {
            return false;
        }
        mb_str_t name = {json_string_value(item), json_string_length(item)};
        for (uint32_t j = 0; j < out->count; j++) {
            if (mb_str_equal(mb_buf_view(&out->items[j]), name)) {
                return reject(reporter, field->name,
                              "must not contain a name twice");
            }
        }
        (void)mb_names_add(out, name);
    }
    return true;
}

/* Decodes the name of a class or an objective into the enum at `out`. */
static bool
decode_choice(const mb_field_t *field, json_t *value, char *out,
              const reporter_t *reporter)
{
    mb_str_t text = {json_string_value(value), json_string_length(value)};
    bool is_string = json_is_string(value);
    if (field->type == MB_FIELD_CLASS) {
        return (is_string && mb_class_from_name(text, (mb_class_t *)out)) ||
               reject(reporter, field->name,
                      "must be \"urgent\", \"normal\" or \"batch\"");
    }
    for (size_t i = 0; is_string && i < MB_OBJECTIVE_COUNT; i++) {
        if (mb_str_equal(text, mb_str_from_cstr(mb_objective_names[i]))) {
            *(mb_objective_t *)out = (mb_objective_t)i;
            return true;
        }
    }
    return reject(reporter, field->name,
                  "must be \"throughput_first\" or \"latency_first\"");
}

/* Decodes an mb_size_t, a nested object. */
static bool
decode_size(const mb_field_t *field, json_t *value, char *out,
            const reporter_t *reporter)
{
    char prefix[MESSAGE_PART_SIZE];
    (void)g_snprintf(prefix, sizeof(prefix), "%s%s.", reporter->prefix,
                     field->name);
    reporter_t nested = {prefix, reporter->error};
    if (!json_is_object(value)) {
        return reject(reporter, field->name, "must be an object");
    }
    return decode_object(&mb_size_schema, value, out, &nested);
}

/* Decodes one field into the struct member at `out`. */
static bool
decode_field(const mb_field_t *field, json_t *value, char *out,
             const reporter_t *reporter)
{
    switch (field->type) {
    case MB_FIELD_NAME:
        return decode_name(field, value, (mb_buf_t *)out, reporter);
    case MB_FIELD_TEXT:
        return decode_text(field, value, (mb_buf_t *)out, reporter);
    case MB_FIELD_ADDRESS:
        return decode_address(field, value, (mb_buf_t *)out, reporter);
    case MB_FIELD_NUMBER:
        return decode_number(field, value, (uint32_t *)out, reporter);
    case MB_FIELD_BOOL:
        *(bool *)out = json_is_true(value);
        return json_is_boolean(value) ||
               reject(reporter, field->name, "must be true or false");
    case MB_FIELD_CLASS:
    case MB_FIELD_OBJECTIVE:
        return decode_choice(field, value, out, reporter);
    case MB_FIELD_SIZE:
        return decode_size(field, value, out, reporter);
    case MB_FIELD_NAME_LIST:
        return decode_names(field, value, (mb_names_t *)out, reporter);
    }
    return false;
}

/* Sets a field that is absent in the JSON to its default. Fields of other
   types stay zero; an objective is always required. */
static void
set_default(const mb_field_t *field, char *out)
{
    if (field->type == MB_FIELD_NUMBER) {
        *(uint32_t *)out = field->default_value;
    }
    else if (field->type == MB_FIELD_CLASS) {
        *(mb_class_t *)out = (mb_class_t)field->default_value;
    }
}

/* Returns the field of a name, NULL if the schema has none. */
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

/* Decodes an object into the struct at `base`. Rejects unknown fields first,
   so that a misspelled name is reported rather than a missing field. */
static bool
decode_object(const mb_schema_t *schema, json_t *object, char *base,
              const reporter_t *reporter)
{
    const char *key;
    json_t *value;
    json_object_foreach(object, key, value)
    {
        if (find_field(schema, key) == NULL) {
            return reject(reporter, key, "unknown field");
        }
    }
    for (size_t i = 0; i < schema->count; i++) {
        const mb_field_t *field = &schema->fields[i];
        value = json_object_get(object, field->name);
        if (value == NULL && field->required) {
            return reject(reporter, field->name, "missing");
        }
        if (value == NULL) {
            set_default(field, base + field->offset);
        }
        else if (!decode_field(field, value, base + field->offset, reporter)) {
            return false;
        }
    }
    return true;
}

/* Checks rules that the schema can't express: those on several fields, or on a
   field of one kind of resource only. */
static bool
check_rules(const mb_resource_t *resource, GError **error)
{
    reporter_t reporter = {"spec.", error};
    reporter_t top = {"", error};
    const mb_service_t *service = &resource->spec.service;
    switch (resource->kind) {
    case MB_RESOURCE_SERVICE:
        if (service->instances > 0 &&
            (service->command.len == 0 || service->size.cpu_milli == 0)) {
            return reject(
                &reporter, "instances",
                "requires a command and a size.cpu_milli of at least 1");
        }
        return true;
    case MB_RESOURCE_JOB:
        return resource->spec.job.size.cpu_milli > 0 ||
               reject(&reporter, "size.cpu_milli",
                      "must be a whole number from 1 to 10000000");
    case MB_RESOURCE_WORKER:
        return resource->spec.worker.capacity.cpu_milli > 0 ||
               reject(&reporter, "capacity.cpu_milli",
                      "must be a whole number from 1 to 10000000");
    case MB_RESOURCE_POLICY:
        return mb_str_equal(mb_buf_view(&resource->name),
                            MB_STR_LIT("default")) ||
               reject(&top, "name", "must be \"default\" for a policy");
    case MB_RESOURCE_TEAM:
    case MB_RESOURCE_CONSTRAINT:
    case MB_RESOURCE_KIND_COUNT:
        break;
    }
    return true;
}

/* Reads the members `kind` and `name` as views. A caller that knows them
   already passes them in `*kind_name` and `*name`, otherwise empty; the JSON
   may then leave them out but must not contradict. */
static bool
decode_identity(json_t *root, mb_str_t *kind_name, mb_str_t *name,
                GError **error)
{
    reporter_t reporter = {"", error};
    static const char *const keys[] = {"kind", "name"};
    mb_str_t *texts[] = {kind_name, name};
    for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
        json_t *value = json_object_get(root, keys[i]);
        mb_str_t text = {json_string_value(value), json_string_length(value)};
        if (value == NULL && texts[i]->len > 0) {
            continue;
        }
        if (!json_is_string(value)) {
            return reject(&reporter, keys[i],
                          value == NULL ? "missing" : "must be text");
        }
        if (texts[i]->len > 0 && !mb_str_equal(text, *texts[i])) {
            return reject(&reporter, keys[i],
                          "must be the same as in the request path");
        }
        *texts[i] = text;
    }
    return true;
}

/* Checks the members of a resource, except the contents of the spec and
   whether kind and name are valid. */
static bool
check_members(json_t *root, GError **error)
{
    reporter_t reporter = {"", error};
    const char *key;
    json_t *value;
    if (!json_is_object(root)) {
        return reject(&reporter, "resource", "must be a JSON object");
    }
    json_object_foreach(root, key, value)
    {
        if (strcmp(key, "kind") != 0 && strcmp(key, "name") != 0 &&
            strcmp(key, "spec") != 0 && strcmp(key, "revision") != 0 &&
            strcmp(key, "status") != 0) {
            return reject(&reporter, key, "unknown field");
        }
    }
    value = json_object_get(root, "revision");
    if (value != NULL &&
        (!json_is_integer(value) || json_integer_value(value) < 0)) {
        return reject(&reporter, "revision",
                      "must be a non-negative whole number");
    }
    return json_is_object(json_object_get(root, "spec")) ||
           reject(&reporter, "spec", "must be an object");
}

/* Decodes one resource from parsed JSON. `kind_name` and `name` are those that
   the caller knows, or empty. */
static bool
decode_resource(json_t *root, mb_str_t kind_name, mb_str_t name,
                mb_resource_t *resource, GError **error)
{
    mb_resource_kind_t kind;
    reporter_t top = {"", error};
    reporter_t spec = {"spec.", error};
    if (!check_members(root, error) ||
        !decode_identity(root, &kind_name, &name, error)) {
        return false;
    }
    if (!mb_resource_kind_from_name(kind_name, &kind)) {
        return reject(&top, "kind",
                      "must be service, job, team, constraint, policy or "
                      "worker");
    }
    if (!mb_resource_name_valid(name)) {
        return reject(&top, "name",
                      "must be 1 to 63 letters, digits, '.', '_' or '-' and "
                      "start with a letter or digit");
    }
    mb_resource_init(resource, kind, name);
    resource->revision =
        (uint64_t)json_integer_value(json_object_get(root, "revision"));
    if (!decode_object(&mb_resource_schemas[kind],
                       json_object_get(root, "spec"), (char *)&resource->spec,
                       &spec) ||
        !check_rules(resource, error)) {
        mb_resource_finish(resource);
        return false;
    }
    return true;
}

/* Parses JSON; repeated keys are rejected. Returns NULL, with the error set,
   if it is malformed. */
static json_t *
parse_json(mb_str_t text, size_t flags, GError **error)
{
    json_error_t parse_error;
    json_t *root = json_loadb(text.data, text.len,
                              flags | JSON_REJECT_DUPLICATES, &parse_error);
    if (root == NULL) {
        mb_error_set(error, MB_KIND_INVALID, "JSON: line %d: %s",
                     parse_error.line, parse_error.text);
    }
    return root;
}

/* Decodes a resource whose kind and name are known; see the header. */
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
    json_t *root = parse_json(text, 0, error);
    bool ok =
        root != NULL && decode_resource(root, mb_resource_kind_name(kind),
                                        name, resource, error);
    json_decref(root);
    return ok;
}

/* Decodes a resource whose kind and name are in the JSON; see the header. */
bool
mb_resource_json_decode(mb_str_t text, mb_resource_t *resource, GError **error)
{
    json_t *root = parse_json(text, 0, error);
    bool ok = root != NULL && decode_resource(root, MB_STR_EMPTY, MB_STR_EMPTY,
                                              resource, error);
    json_decref(root);
    return ok;
}

/* Decodes one of several resources and passes it to `visit`. Returns whether
   to go on with the next one. */
static bool
decode_and_visit(json_t *item,
                 bool (*visit)(void *context, mb_resource_t *resource),
                 void *context, GError **error)
{
    mb_resource_t resource;
    if (!decode_resource(item, MB_STR_EMPTY, MB_STR_EMPTY, &resource, error)) {
        return false;
    }
    bool proceed = visit(context, &resource);
    mb_resource_finish(&resource);
    return proceed;
}

/* Decodes several resources; see the header. */
bool
mb_resource_json_decode_all(mb_str_t text,
                            bool (*visit)(void *context,
                                          mb_resource_t *resource),
                            void *context, GError **error)
{
    bool ok = true;
    text = mb_str_trim(text);
    while (ok && text.len > 0) {
        json_error_t parse_error;
        json_t *root = json_loadb(
            text.data, text.len,
            JSON_REJECT_DUPLICATES | JSON_DISABLE_EOF_CHECK, &parse_error);
        if (root == NULL) {
            mb_error_set(error, MB_KIND_INVALID, "JSON: line %d: %s",
                         parse_error.line, parse_error.text);
            return false;
        }
        if (json_is_array(root)) {
            for (size_t i = 0; ok && i < json_array_size(root); i++) {
                ok = decode_and_visit(json_array_get(root, i), visit, context,
                                      error);
            }
        }
        else {
            ok = decode_and_visit(root, visit, context, error);
        }
        json_decref(root);
        text.data += parse_error.position;
        text.len -= (size_t)parse_error.position;
        text = mb_str_trim(text);
    }
    return ok;
}

/* Returns the JSON string of the mb_buf_t at `member`. */
static json_t *
encode_text(const char *member)
{
    const mb_buf_t *buf = (const mb_buf_t *)member;
    return json_stringn(buf->len > 0 ? buf->data : "", buf->len);
}

/* Returns the JSON array of the mb_names_t at `member`. */
static json_t *
encode_names(const char *member)
{
    const mb_names_t *names = (const mb_names_t *)member;
    json_t *array = json_array();
    for (uint32_t i = 0; i < names->count; i++) {
        (void)json_array_append_new(
            array, encode_text((const char *)&names->items[i]));
    }
    return array;
}

static json_t *encode_object(const mb_schema_t *schema, const char *base);

/* Returns the JSON value of one field, stored at `member`. */
static json_t *
encode_field(const mb_field_t *field, const char *member)
{
    mb_str_t name;
    switch (field->type) {
    case MB_FIELD_NAME:
    case MB_FIELD_TEXT:
    case MB_FIELD_ADDRESS:
        return encode_text(member);
    case MB_FIELD_NUMBER:
        return json_integer(*(const uint32_t *)member);
    case MB_FIELD_BOOL:
        return json_boolean(*(const bool *)member);
    case MB_FIELD_CLASS:
        name = mb_class_name(*(const mb_class_t *)member);
        return json_stringn(name.data, name.len);
    case MB_FIELD_OBJECTIVE:
        return json_string(
            mb_objective_names[*(const mb_objective_t *)member]);
    case MB_FIELD_SIZE:
        return encode_object(&mb_size_schema, member);
    case MB_FIELD_NAME_LIST:
        return encode_names(member);
    }
    return NULL;
}

/* Returns the JSON object of the struct at `base`. */
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

/* Appends a resource as JSON; see the header. */
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
