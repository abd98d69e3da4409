#include "mb_where_json.h"

#include <jansson.h>

/* Sets a member to a number. */
static void
set_number(json_t *object, const char *key, uint64_t value)
{
    (void)json_object_set_new(object, key, json_integer((json_int_t)value));
}

/* Returns a limit as a number, or null if there is none. */
static json_t *
encode_limit(uint64_t limit)
{
    return limit == UINT64_MAX ? json_null() : json_integer((json_int_t)limit);
}

/* Returns the workers that a task fits on as an array. A name that is not
   valid UTF-8 is left out. */
static json_t *
encode_places(const mb_fleet_where_step_t *step)
{
    json_t *places = json_array();
    for (uint32_t i = 0; i < step->place_count; i++) {
        const mb_fleet_where_place_t *place = &step->places[i];
        json_t *object = json_object();
        (void)json_object_set_new(
            object, "worker",
            json_stringn(place->worker.data, place->worker.len));
        set_number(object, "cost", place->cost);
        (void)json_array_append_new(places, object);
    }
    return places;
}

/* Returns a step as a JSON object. */
static json_t *
encode_step(const mb_fleet_where_step_t *step)
{
    json_t *object = json_object();
    json_t *workers = json_object();
    set_number(object, "occurrence", step->occurrence);
    set_number(object, "step", step->step);
    set_number(object, "task", step->index);
    set_number(object, "waiting", step->waiting);
    (void)json_object_set_new(object, "has_place",
                              json_boolean(step->has_place));
    (void)json_object_set_new(object, "reason", json_string(step->reason));
    set_number(workers, "excluded", step->excluded);
    set_number(workers, "unusable", step->unusable);
    set_number(workers, "no_room", step->no_room);
    set_number(workers, "evacuated", step->evacuated);
    set_number(workers, "fits", step->fits);
    (void)json_object_set_new(object, "workers", workers);
    (void)json_object_set_new(object, "cost_limit",
                              encode_limit(step->cost_limit));
    (void)json_object_set_new(object, "places", encode_places(step));
    return object;
}

/* Sets the members that tell where an open job would be placed. */
static void
set_where(json_t *root, const mb_fleet_where_t *where)
{
    json_t *steps = json_array();
    for (uint32_t i = 0; i < where->step_count; i++) {
        (void)json_array_append_new(steps, encode_step(&where->steps[i]));
    }
    (void)json_object_set_new(root, "late", json_boolean(where->is_late));
    set_number(root, "jobs_before", where->jobs_before);
    (void)json_object_set_new(root, "steps", steps);
}

/* Sets the member that tells whether the job would be admitted. */
static void
set_admission(json_t *root, const mb_where_answer_t *answer)
{
    json_t *admission = json_object();
    (void)json_object_set_new(admission, "admitted",
                              json_boolean(answer->admitted));
    if (!answer->admitted) {
        set_number(admission, "retry_after_s", answer->retry_after_s);
    }
    (void)json_object_set_new(root, "admission", admission);
}

/* Appends an answer; see the header. */
void
mb_where_json_write(mb_buf_t *out, const mb_where_answer_t *answer)
{
    json_t *root = json_object();
    (void)json_object_set_new(root, "owner", json_boolean(answer->owner));
    if (answer->owner) {
        (void)json_object_set_new(
            root, "outcome",
            json_string(mb_dag_outcome_name(answer->outcome)));
    }
    if (answer->owner && answer->outcome == MB_DAG_OPEN) {
        set_where(root, &answer->where);
    }
    if (answer->owner && answer->judged) {
        set_admission(root, answer);
    }
    char *encoded = json_dumps(root, JSON_COMPACT);
    mb_buf_append_cstr(out, encoded);
    mb_buf_append_byte(out, '\n');
    free(encoded);
    json_decref(root);
}
