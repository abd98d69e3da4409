#include "mb_explain_json.h"

#include <jansson.h>
#include <stdlib.h>

/* Names and descriptions of the wait reasons in the API, and whether they last
   until a declared resource changes. */
static const struct {
    const char *name;
    const char *message;
    bool unschedulable;
} reasons[MB_WAIT_REASON_COUNT] = {
    [MB_WAIT_NONE] = {"none", "no task waits", false},
    [MB_WAIT_NO_OWNER] = {"not_owner",
                          "this process does not own the shard; its owner "
                          "knows why tasks wait",
                          false},
    [MB_WAIT_NEXT_PASS] = {"turn", "waits for the next batch of starts",
                           false},
    [MB_WAIT_BACKOFF] = {"backoff",
                         "tasks of the job ended soon after they started; "
                         "new starts are delayed",
                         false},
    [MB_WAIT_CAPACITY] = {"capacity", "no worker has enough free capacity",
                          false},
    [MB_WAIT_TOO_LARGE] = {"size", "a task is larger than every worker", true},
    [MB_WAIT_CONSTRAINT_UNSATISFIABLE] = {"constraint",
                                          "no worker satisfies the constraint",
                                          true},
    [MB_WAIT_QUOTA] = {"quota", "the team's quota is used up", false},
    [MB_WAIT_EXCEEDS_QUOTA] = {"over_quota",
                               "one task exceeds the team's quota", true},
    [MB_WAIT_TEAM_UNKNOWN] = {"no_team", "the team does not exist", true},
    [MB_WAIT_CONSTRAINT_UNKNOWN] = {"unknown_constraint",
                                    "the constraint does not exist", true},
    [MB_WAIT_CANCELLED] = {"cancelled", "the job is cancelled", false},
};

static const char *const state_names[MB_TASK_STATE_COUNT] = {
    "pending", "assigned", "running", "finished", "failed", "cancelled"};

static const char *const event_names[MB_TASK_EVENT_KIND_COUNT] = {
    "started", "finished", "failed", "released"};

static const char *const release_names[MB_RELEASE_REASON_COUNT] = {
    "evicted", "worker_lost", "worker_restarted", "not_started", "cancelled"};

/* Returns the name of a wait reason in the API. */
const char *
mb_wait_reason_name(mb_wait_reason_t reason)
{
    return reasons[reason].name;
}

/* Returns whether a reason lasts until a declared resource changes. */
bool
mb_wait_reason_is_unschedulable(mb_wait_reason_t reason)
{
    return reasons[reason].unschedulable;
}

/* Sets a member of an object to a number. */
static void
set_number(json_t *object, const char *name, uint64_t value)
{
    (void)json_object_set_new(object, name, json_integer((json_int_t)value));
}

/* Sets a member of an object to a string. Invalid UTF-8 is left out. */
static void
set_string(json_t *object, const char *name, mb_str_t value)
{
    (void)json_object_set_new(object, name,
                              json_stringn(value.data, value.len));
}

/* Adds why tasks of the job wait. */
static void
set_wait(json_t *object, mb_wait_reason_t reason)
{
    (void)json_object_set_new(object, "wait",
                              json_string(reasons[reason].name));
    (void)json_object_set_new(object, "message",
                              json_string(reasons[reason].message));
    (void)json_object_set_new(object, "unschedulable",
                              json_boolean(reasons[reason].unschedulable));
}

/* Adds the task counts by state. Only the shard's owner can distinguish
   assigned from running tasks, so both count as running. */
static void
set_counts(json_t *object, const uint32_t *counts)
{
    set_number(object, "pending", counts[MB_TASK_PENDING]);
    set_number(object, "running",
               (uint64_t)counts[MB_TASK_ASSIGNED] + counts[MB_TASK_RUNNING]);
    set_number(object, "finished", counts[MB_TASK_FINISHED]);
    set_number(object, "failed", counts[MB_TASK_FAILED]);
    set_number(object, "cancelled", counts[MB_TASK_CANCELLED]);
}

/* Appends an object as compact JSON and releases it. */
static void
write_object(mb_buf_t *out, json_t *object)
{
    char *text = json_dumps(object, JSON_COMPACT);
    mb_buf_append_cstr(out, text);
    free(text);
    json_decref(object);
}

/* Appends the status of a job; see the header. */
void
mb_explain_json_write_status(mb_buf_t *out, const mb_explain_status_t *status)
{
    json_t *object = json_object();
    set_counts(object, status->counts);
    set_wait(object, status->wait);
    write_object(out, object);
}

/* The JSON under construction for one job. */
typedef struct explanation {
    json_t *object;
    json_t *tasks;
    json_t *events;
} explanation_t;

/* Returns the JSON object of a task. The worker is given while the task is
   assigned or running. */
static json_t *
task_to_json(const mb_explain_t *part)
{
    json_t *task = json_object();
    set_number(task, "index", part->body.task.index);
    (void)json_object_set_new(task, "state",
                              json_string(state_names[part->body.task.state]));
    set_number(task, "attempt", part->body.task.attempt);
    set_number(task, "failures", part->body.task.failures);
    if (part->body.task.state == MB_TASK_ASSIGNED ||
        part->body.task.state == MB_TASK_RUNNING) {
        set_string(task, "worker", part->body.task.worker);
    }
    if (part->body.task.stopping) {
        (void)json_object_set_new(task, "stopping", json_true());
    }
    return task;
}

/* Returns the JSON object of an event in the history of a task. */
static json_t *
event_to_json(const mb_task_event_t *event)
{
    json_t *object = json_object();
    set_number(object, "offset", event->offset);
    set_number(object, "index", event->index);
    set_number(object, "attempt", event->attempt);
    (void)json_object_set_new(object, "event",
                              json_string(event_names[event->kind]));
    if (event->kind == MB_TASK_EVENT_RELEASED) {
        (void)json_object_set_new(object, "reason",
                                  json_string(release_names[event->reason]));
    }
    return object;
}

/* Adds one part of an explanation; callback of mb_shard_explain. Tasks beyond
   MB_EXPLAIN_TASKS_MAX are left out. */
static void
add_part(void *context, const mb_explain_t *part)
{
    explanation_t *explanation = context;
    switch (part->part) {
    case MB_EXPLAIN_JOB:
        set_counts(explanation->object, part->body.job.counts);
        set_wait(explanation->object, part->body.job.wait);
        (void)json_object_set_new(explanation->object, "over",
                                  json_boolean(part->body.job.closed));
        break;
    case MB_EXPLAIN_TASK:
        if (json_array_size(explanation->tasks) < MB_EXPLAIN_TASKS_MAX) {
            (void)json_array_append_new(explanation->tasks,
                                        task_to_json(part));
        }
        break;
    case MB_EXPLAIN_EVENT:
        (void)json_array_append_new(explanation->events,
                                    event_to_json(&part->body.event));
        break;
    }
}

/* Appends what one shard knows about a job or service; see the header. */
bool
mb_explain_json_write(mb_buf_t *out, const mb_shard_t *shard, mb_str_t stream,
                      mb_str_t job)
{
    explanation_t explanation = {json_object(), json_array(), json_array()};
    set_string(explanation.object, "shard", stream);
    bool found = mb_shard_explain(shard, MB_RESOURCE_JOB, job, add_part,
                                  &explanation) ||
                 mb_shard_explain(shard, MB_RESOURCE_SERVICE, job, add_part,
                                  &explanation);
    (void)json_object_set_new(explanation.object, "tasks", explanation.tasks);
    (void)json_object_set_new(explanation.object, "events",
                              explanation.events);
    if (found) {
        write_object(out, explanation.object);
    }
    else {
        json_decref(explanation.object);
    }
    return found;
}
