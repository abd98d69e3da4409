/* Jobs of steps that depend on one another; each step is a number of equal
   tasks. A job can be repeated: each occurrence executes all steps once.
   Specifications and progress are replicated through the job log. Which task
   runs where is known only to the owner of the fleet, the process that
   schedules. Used on one thread. */
#ifndef MB_DAG_H
#define MB_DAG_H

#include <glib.h>

#include "mb_resource.h"

/* Length of the id of a job, in bytes. */
#define MB_DAG_ID_LEN 16
/* Maximum number of steps of a job. A set of steps is a 64-bit mask. */
#define MB_DAG_STEPS_MAX 64u
/* Maximum number of tasks of a job, in all occurrences together. */
#define MB_DAG_TASKS_MAX 65536u
/* Maximum number of occurrences of a job. */
#define MB_DAG_OCCURRENCES_MAX 65536u
/* Maximum length of the payload of a job, in bytes. */
#define MB_DAG_PAYLOAD_MAX 4096u
/* Maximum length of the other texts of a specification, in bytes: image, label
   and rack of a step, names of the queue and of the service. */
#define MB_DAG_TEXT_MAX 255u
/* Maximum length of a checkpoint, in bytes. */
#define MB_DAG_CHECKPOINT_MAX 1024u
/* Maximum number of tasks in the record of an absent worker. */
#define MB_DAG_ABSENT_TASKS_MAX 4096u
/* Maximum number of failures that are counted of a task. */
#define MB_DAG_FAILURES_MAX 4096u
/* Maximum number of concurrent runs of a task in a speculative step. */
#define MB_DAG_COPIES_MAX 2u
/* Size up to which failures and checkpoints are added to the stored progress
   of a job, in bytes: below the maximum of a record in the log service, and so
   small that a narrow link carries it in the time of an append. */
#define MB_DAG_PROGRESS_BYTES_MAX (96u * 1024u)
/* Memory of all jobs together for occurrences beyond the window of their job
   (mb_dag_window), in bytes. */
#define MB_DAG_SURPLUS_BYTES_MAX (4u * 1024u * 1024u)

/* The id of a job, chosen by the client: hexadecimal digits. Not
   NUL-terminated. */
typedef struct mb_dag_id {
    char text[MB_DAG_ID_LEN];
} mb_dag_id_t;

/* Identifies a task. Numbers start at 0. */
typedef struct mb_dag_task_id {
    mb_dag_id_t job;
    uint32_t occurrence;
    uint32_t step;
    uint32_t index; /* in the step */
} mb_dag_task_id_t;

/* A step. Its texts are owned by the job. */
typedef struct mb_dag_step {
    uint32_t count;          /* number of tasks */
    mb_size_t size;          /* of each task */
    uint32_t estimate_ms;    /* declared run time of a task; may be far off */
    uint64_t depends_on;     /* mask of earlier steps that must be done */
    bool checkpoints;        /* tasks write checkpoints and resume from them */
    bool gang;               /* tasks must run at the same time */
    bool rack_local;         /* tasks are slower if not all on one rack */
    bool speculative;        /* a task may have several concurrent runs */
    bool long_running;       /* service tasks; run until cancelled */
    bool best_effort;        /* uses processors that other tasks leave idle */
    uint32_t per_worker_max; /* maximum number of tasks on a worker; 0: none */
    uint32_t latency_target_ms; /* of the requests that tasks serve; 0: none */
    uint32_t unavailable_max;   /* number of tasks that the scheduler itself
                                   may make unavailable at a time */
    mb_str_t label; /* that a worker must have; empty: any worker */
    mb_str_t rack;  /* of the input data; empty: no preference */
    mb_str_t image; /* tasks of the same image are assumed to behave alike and
                       have common estimates; may be empty */
} mb_dag_step_t;

/* How a job is to be scheduled: the configuration of its queue when the job
   was accepted. */
typedef struct mb_dag_policy {
    mb_str_t queue;
    mb_str_t service;  /* the pool whose workers run the tasks */
    uint32_t priority; /* 0: highest */
    uint32_t max_attempts;
    /* The job should be completed within the objective: the length of its
       critical path (the longest chain of dependent steps) times
       `stretch_milli` / 1000, plus `latency_objective_ms`. */
    uint32_t latency_objective_ms;
    uint32_t stretch_milli;
    bool needs_approval; /* an external service must approve starts */
} mb_dag_policy_t;

/* The specification of a job, as submitted by a client. */
typedef struct mb_dag_spec {
    mb_dag_id_t id;
    mb_dag_policy_t policy;
    mb_str_t payload; /* passed to the tasks unchanged */
    uint32_t step_count;
    const mb_dag_step_t *steps;
    uint32_t occurrences;  /* 0: one, due at once */
    uint64_t first_ms;     /* due time of the first occurrence; Unix time */
    uint64_t interval_ms;  /* between due times of occurrences */
    uint64_t submitted_ms; /* Unix time */
} mb_dag_spec_t;

typedef enum mb_dag_outcome {
    MB_DAG_OPEN, /* no outcome yet */
    MB_DAG_COMPLETED,
    MB_DAG_FAILED,
    MB_DAG_CANCELLED,
    MB_DAG_OUTCOME_COUNT
} mb_dag_outcome_t;

/* Returns the name of an outcome for log lines, a static text. */
static inline const char *
mb_dag_outcome_name(mb_dag_outcome_t outcome)
{
    static const char *const names[MB_DAG_OUTCOME_COUNT] = {
        "open", "completed", "failed", "cancelled"};
    return outcome < MB_DAG_OUTCOME_COUNT ? names[outcome] : "unknown";
}

/* A run of a task. Known to the owner only. */
typedef struct mb_dag_run {
    uint64_t number;     /* 0: no run */
    uint32_t worker;     /* index of the worker in the fleet */
    bool throttled;      /* it has been throttled at some time */
    uint64_t started_us; /* when this owner started or adopted it */
} mb_dag_run_t;

/* Run times of the tasks of a step, as far as they ended at this owner. */
typedef struct mb_dag_step_times {
    uint32_t samples;    /* of whole tasks at full speed */
    uint32_t longest_ms; /* of the first occurrence, at full speed; 0: none */
    double log_ms;       /* mean of the logarithm of the samples */
} mb_dag_step_times_t;

/* A task. `done`, the failures and the checkpoint are replicated; the rest is
   known to the owner only. */
typedef struct mb_dag_task {
    char *checkpoint; /* owned; not NUL-terminated; NULL: none */
    uint16_t checkpoint_len;
    uint16_t failures; /* number of failed runs */
    uint16_t retries;  /* failed runs in a row under this owner. The members of
                          a gang count at its first task. */
    uint16_t stalls;   /* runs stopped without progress under this owner */
    uint64_t checkpoint_run; /* number of the run that saved `checkpoint`; 0:
                                unknown, read from the log */
    bool done;
    uint64_t done_run; /* number of the run that succeeded; 0: unknown, read
                          from the log */
    uint32_t run_ms;   /* run time of that run at full speed; 0: unknown */
    uint64_t *failed_runs; /* numbers of the `failures` failed runs. Needed to
                              count each once: a worker may report a completion
                              repeatedly, and reports of several workers arrive
                              in any order. */
    uint32_t last_failed_worker; /* index of the worker of the last failed run,
                                    plus 1; 0: none */
    uint64_t last_run;           /* highest number of a run */
    uint64_t not_before_us;      /* end of the retry delay */
    mb_dag_run_t runs[MB_DAG_COPIES_MAX];
    /* Number of absent workers on which the former owner may have started it;
       unless 0, it must not be started. */
    uint32_t absent_workers;
} mb_dag_task_t;

/* An open occurrence of a job: one that has begun or is due, and is not known
   to be finished. Only these are in memory. */
typedef struct mb_dag_occurrence {
    uint32_t number;
    bool is_surplus;         /* it was opened beyond the job's window */
    mb_dag_task_t *tasks;    /* of all steps, in order of the steps */
    uint64_t finished_steps; /* mask of steps whose tasks are all done */
    /* By step: all tasks of the step with a lower index are done. */
    uint32_t *first_unfinished;
    /* Number of tasks not done, by step; `first_unfinished` is the second half
       of the same memory. */
    uint32_t unfinished_tasks[];
} mb_dag_occurrence_t;

/* Consecutive occurrences, from `first` to `end` - 1. */
typedef struct mb_dag_range {
    uint32_t first;
    uint32_t end;
} mb_dag_range_t;

/* A job. Times in microseconds are by the clock of this process. */
typedef struct mb_dag_job {
    struct mb_dag_table *table;
    mb_dag_spec_t spec; /* owns its texts and steps */
    mb_dag_step_t *steps;
    uint32_t *first_task;            /* its index in an occurrence, by step */
    mb_dag_step_times_t *step_times; /* known to the owner, by step */
    uint32_t task_count;             /* of an occurrence */
    uint32_t occurrence_count;
    GPtrArray *open; /* mb_dag_occurrence_t by number; those that are finished
                        stay until mb_dag_release_finished */
    mb_dag_occurrence_t *latest; /* the open one that was last looked up, or
                                    NULL: nearly always the next one */
    GArray *finished; /* mb_dag_range_t, in order, with gaps between them */
    uint32_t finished_count; /* number of finished occurrences */
    uint64_t weight;         /* its part of the table's weight */
    bool compacted;          /* see mb_dag_compact */
    bool omission_logged;    /* the log has that its progress is incomplete */
    /* As stored in the job log, and thus as reported to clients: */
    mb_dag_outcome_t stored_outcome;
    bool started; /* a worker has listed a run or its end */
    bool cancelled;
    uint64_t known_since_us; /* when this process read the job from the log */
    uint64_t closed_us;      /* when it read the outcome; 0: still open */
    /* Known to the owner, possibly not stored yet: */
    mb_dag_outcome_t outcome;
    bool any_run_started;   /* becomes `started` */
    bool dirty;             /* the progress differs from what is stored */
    bool inherited;         /* accepted before this process became the owner */
    bool needs_scheduling;  /* a task may be startable */
    uint64_t next_due_us;   /* when the next occurrence is to be opened;
                               UINT64_MAX: none */
    uint32_t running;       /* number of runs that occupy a worker */
    uint64_t idle_since_us; /* since when `running` is 0 */
    uint64_t wait_logged_us; /* when the log last got why it waits; 0: never */
    uint64_t arrived_us;     /* when the job was submitted */
    /* When this owner got to know the job, by the clock of this process and as
       Unix time: due times are computed from it. */
    uint64_t due_base_us;
    uint64_t due_base_ms;
    uint32_t next_due; /* every occurrence before it was opened or is finished
                        */
    /* Since when the job is to be done, as of the latest sort: the due time of
       its oldest unfinished occurrence if it recurs, else `arrived_us`. */
    uint64_t wanted_since_us;
    uint64_t objective_us; /* see mb_dag_policy_t; from `arrived_us` */
    /* Estimates for the oldest unfinished occurrence: */
    uint64_t remaining_work; /* in milliseconds of 1/1000 processor */
    uint64_t remaining_us;   /* of the critical path: minimum to completion */
    uint64_t estimated_us;   /* when these and `objective_us` were estimated */
} mb_dag_job_t;

/* The stored progress of a task that is not done. */
typedef struct mb_dag_progress_row {
    uint32_t occurrence;
    uint32_t task; /* index in the occurrence */
    uint16_t failures;
    const uint64_t *failed_runs; /* `failures` numbers of runs */
    mb_str_t checkpoint;
} mb_dag_progress_row_t;

/* The stored progress of a job. Texts and arrays are borrowed. */
typedef struct mb_dag_progress {
    mb_dag_id_t id;
    mb_dag_outcome_t outcome;
    bool started;
    /* Whether the record names the finished occurrences and those that `done`
       describes, as for jobs with many; otherwise `done` describes all. */
    bool is_sparse;
    GArray *finished; /* mb_dag_range_t */
    GArray *numbers;  /* uint32_t: the occurrences that `done` describes */
    mb_str_t done; /* a bit for each task; every occurrence starts at a byte */
    GArray *rows;  /* mb_dag_progress_row_t */
    uint32_t omitted; /* checkpoints and rows that were left out */
} mb_dag_progress_t;

/* All jobs that a process knows. */
typedef struct mb_dag_table {
    GHashTable *jobs;       /* mb_dag_job_t by id */
    uint64_t weight;        /* of all jobs (mb_dag_weigh), in bytes */
    uint64_t surplus_bytes; /* of occurrences opened beyond their window */
} mb_dag_table_t;

/* mb_dag.c */
void mb_dag_table_init(mb_dag_table_t *table);
void mb_dag_table_finish(mb_dag_table_t *table);
void mb_dag_table_clear(mb_dag_table_t *table);
mb_dag_job_t *mb_dag_find(const mb_dag_table_t *table, mb_dag_id_t id);
mb_dag_job_t *mb_dag_add(mb_dag_table_t *table, const mb_dag_spec_t *spec);
void mb_dag_remove(mb_dag_table_t *table, mb_dag_id_t id);
void mb_dag_compact(mb_dag_job_t *job);
bool mb_dag_spec_valid(const mb_dag_spec_t *spec, const char **reason);

/* For a GHashTable whose keys are of type mb_dag_id_t. */
guint mb_dag_id_hash(gconstpointer key);
gboolean mb_dag_id_equal(gconstpointer a, gconstpointer b);
bool mb_dag_id_parse(mb_str_t text, mb_dag_id_t *id);
mb_str_t mb_dag_id_view(const mb_dag_id_t *id);

/* mb_dag_weight.c */
uint32_t mb_dag_window(const mb_dag_spec_t *spec);
uint64_t mb_dag_weigh(const mb_dag_spec_t *spec);
uint64_t mb_dag_weigh_occurrence(const mb_dag_spec_t *spec);
uint64_t mb_dag_weigh_compacted(const mb_dag_job_t *job);

/* mb_dag_occurrence.c */
mb_dag_occurrence_t *mb_dag_find_open(const mb_dag_job_t *job,
                                      uint32_t number);
mb_dag_occurrence_t *mb_dag_open(mb_dag_job_t *job, uint32_t number);
void mb_dag_open_due(mb_dag_job_t *job, uint64_t now_us);
void mb_dag_release_finished(mb_dag_job_t *job);
void mb_dag_close_all(mb_dag_job_t *job);
bool mb_dag_is_finished(const mb_dag_job_t *job, uint32_t number);
void mb_dag_set_finished(mb_dag_job_t *job, mb_dag_range_t range);
const mb_dag_occurrence_t *mb_dag_oldest_open(const mb_dag_job_t *job);
uint64_t mb_dag_due_us(const mb_dag_job_t *job, uint32_t number);
bool mb_dag_has_task(const mb_dag_job_t *job, const mb_dag_task_id_t *id);
mb_dag_task_t *mb_dag_open_task(mb_dag_job_t *job, uint32_t occurrence,
                                uint32_t step, uint32_t index);
const mb_dag_task_t *mb_dag_find_task(const mb_dag_job_t *job,
                                      uint32_t occurrence, uint32_t step,
                                      uint32_t index);
uint32_t mb_dag_find_step(const mb_dag_job_t *job, uint32_t task);
uint32_t mb_dag_unfinished(const mb_dag_job_t *job, uint32_t occurrence,
                           uint32_t step);
void mb_dag_set_checkpoint(mb_dag_task_t *task, mb_str_t checkpoint);
bool mb_dag_add_failure(mb_dag_task_t *task, uint64_t run);
void mb_dag_set_done(mb_dag_job_t *job, uint32_t occurrence, uint32_t step,
                     mb_dag_task_t *task);
bool mb_dag_step_ready(const mb_dag_job_t *job, uint32_t occurrence,
                       uint32_t step);
bool mb_dag_all_done(const mb_dag_job_t *job);

/* Finds a task by occurrence, step and index in the step. Its occurrence is
   opened if necessary. Returns NULL if a number is out of range, or if the
   occurrence is finished and was released. Inline, as scheduling passes call
   it for each task and worker. */
static inline mb_dag_task_t *
mb_dag_task(mb_dag_job_t *job, uint32_t occurrence, uint32_t step,
            uint32_t index)
{
    mb_dag_occurrence_t *latest = job->latest;
    if (latest == NULL || latest->number != occurrence ||
        step >= job->spec.step_count || index >= job->steps[step].count) {
        return mb_dag_open_task(job, occurrence, step, index);
    }
    return &latest->tasks[job->first_task[step] + index];
}

/* Returns the number of runs that a task has on workers. */
static inline uint32_t
mb_dag_count_runs(const mb_dag_task_t *task)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < MB_DAG_COPIES_MAX; i++) {
        count += task->runs[i].number != 0;
    }
    return count;
}

/* mb_dag_progress.c */
void mb_dag_progress_collect(const mb_dag_job_t *job, mb_buf_t *bits,
                             mb_dag_progress_t *progress);
void mb_dag_progress_apply(mb_dag_job_t *job,
                           const mb_dag_progress_t *progress);

#endif
