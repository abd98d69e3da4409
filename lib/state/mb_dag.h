/* Jobs whose tasks form steps that depend on one another. The specification
   and the progress are replicated through the job log; what runs where is
   known to the owner of the fleet alone. Used on one thread. */
#ifndef MB_DAG_H
#define MB_DAG_H

#include <glib.h>

#include "mb_resource.h"

/* Length of a job's id, in bytes. */
#define MB_DAG_ID_LEN 16
/* Most steps of a job; their dependencies are the bits of one number. */
#define MB_DAG_STEPS_MAX 64u
/* Most tasks of one occurrence of a job. */
#define MB_DAG_TASKS_MAX 65536u
/* Most occurrences of a job. */
#define MB_DAG_OCCURRENCES_MAX 65536u
/* Longest text that a job passes to its tasks, in bytes. */
#define MB_DAG_PAYLOAD_MAX 4096u
/* Longest checkpoint, in bytes. */
#define MB_DAG_CHECKPOINT_MAX 1024u
/* Most failures of one task that are counted. */
#define MB_DAG_FAILURES_MAX 4096u
/* Copies of one task that may run at a time, where a step allows them. */
#define MB_DAG_COPIES_MAX 2u

/* The job's identifier as clients write it: hexadecimal digits. */
typedef struct mb_dag_id {
    char text[MB_DAG_ID_LEN];
} mb_dag_id_t;

/* One task: the job, its occurrence, the step and the index in the step. */
typedef struct mb_dag_task_id {
    mb_dag_id_t job;
    uint32_t occurrence;
    uint32_t step;
    uint32_t index;
} mb_dag_task_id_t;

/* What a step asks for. Text is owned by the job. */
typedef struct mb_dag_step {
    uint32_t count;       /* tasks */
    mb_size_t size;       /* of each task */
    uint32_t estimate_ms; /* declared run time; may be far off */
    uint64_t depends_on;  /* bit per earlier step whose tasks must be done */
    bool checkpoints;
    bool gang;               /* the tasks work only together */
    bool rack_local;         /* the tasks are slower on more than one rack */
    bool speculative;        /* copies of a task may run at the same time */
    bool long_running;       /* runs until the job is cancelled */
    bool best_effort;        /* uses processors that others leave unused */
    uint32_t per_worker_max; /* tasks on one worker; 0: no bound */
    uint32_t latency_target_ms; /* of the service that a task gives; 0: none */
    uint32_t unavailable_max;   /* tasks that may be away by our own doing */
    mb_str_t label;             /* that the worker must have; empty: any */
    mb_str_t rack;              /* where the data is; empty: anywhere */
    mb_str_t image; /* tasks of one image behave alike; may be empty */
} mb_dag_step_t;

/* How the queue of a job is to be served, as configured at acceptance. */
typedef struct mb_dag_policy {
    mb_str_t queue;
    mb_str_t service;  /* whose workers run the tasks */
    uint32_t priority; /* 0 comes first */
    uint32_t max_attempts;
    uint32_t latency_objective_ms;
    uint32_t stretch_milli; /* of the longest chain of work */
    bool needs_approval;    /* starts need the approval of a service */
} mb_dag_policy_t;

/* What a client asked for. Views: mb_dag_add copies them. */
typedef struct mb_dag_spec {
    mb_dag_id_t id;
    mb_dag_policy_t policy;
    mb_str_t payload;
    uint32_t step_count;
    const mb_dag_step_t *steps;
    uint32_t occurrences; /* 0: once, now */
    uint64_t first_ms;    /* Unix time of the first occurrence */
    uint64_t interval_ms;
    uint64_t submitted_ms; /* Unix time */
} mb_dag_spec_t;

typedef enum mb_dag_outcome {
    MB_DAG_OPEN,
    MB_DAG_COMPLETED,
    MB_DAG_FAILED,
    MB_DAG_CANCELLED,
    MB_DAG_OUTCOME_COUNT
} mb_dag_outcome_t;

/* Returns the name of an outcome, for log lines. */
static inline const char *
mb_dag_outcome_name(mb_dag_outcome_t outcome)
{
    static const char *const names[MB_DAG_OUTCOME_COUNT] = {
        "open", "completed", "failed", "cancelled"};
    return outcome < MB_DAG_OUTCOME_COUNT ? names[outcome] : "unknown";
}

/* One run of a task, known to the owner. */
typedef struct mb_dag_run {
    uint64_t number; /* 0: none */
    uint32_t worker; /* index in the fleet */
} mb_dag_run_t;

/* One task. `done`, the failures and the checkpoint are replicated; the rest
   is known to the owner. */
typedef struct mb_dag_task {
    char *checkpoint; /* not terminated; NULL: none */
    uint16_t checkpoint_len;
    uint16_t failures;
    bool done;
    uint64_t *failed_runs; /* numbers of the runs that failed, `failures` of
                              them; the same end may be reported again, and
                              ends of several workers in any order */
    uint32_t
        last_failed_worker; /* worker of the last failure, plus 1; 0: none */
    uint64_t last_run;      /* highest number of its runs */
    uint64_t not_before_us;
    mb_dag_run_t runs[MB_DAG_COPIES_MAX];
} mb_dag_task_t;

/* One occurrence of a job's steps. */
typedef struct mb_dag_occurrence {
    mb_dag_task_t *tasks;       /* of all steps, in order */
    uint32_t *unfinished_tasks; /* tasks that are not done, by step */
    uint64_t due_us;            /* of the owner's clock */
    uint64_t finished_steps;    /* bit per step whose tasks are all done */
} mb_dag_occurrence_t;

typedef struct mb_dag_job {
    mb_dag_spec_t spec; /* owns its text and steps */
    mb_dag_step_t *steps;
    uint32_t *first_task; /* index of each step's first task */
    uint32_t task_count;  /* of one occurrence */
    uint32_t occurrence_count;
    mb_dag_occurrence_t *occurrences;
    mb_dag_outcome_t stored_outcome; /* as stored: what clients are told */
    bool started;                    /* as stored: a task has started */
    bool cancelled;                  /* as stored */
    uint64_t known_since_us;         /* when this process learned of the job */
    uint64_t closed_us;              /* when its outcome was stored; 0: open */
    /* Of the owner: */
    mb_dag_outcome_t outcome; /* may not be stored yet */
    bool any_run_started;
    bool dirty;             /* differs from what is stored */
    bool inherited;         /* accepted before this process became the owner */
    bool needs_scheduling;  /* some task may be startable */
    uint32_t running;       /* runs that hold a worker */
    uint64_t idle_since_us; /* since when there are none */
    uint64_t arrived_us;
    uint64_t objective_us;   /* time within which it should be completed */
    uint64_t remaining_work; /* milliseconds of a thousandth of a processor */
    uint64_t remaining_us;   /* least time until it can be completed */
} mb_dag_job_t;

/* One row of stored progress. */
typedef struct mb_dag_progress_row {
    uint32_t occurrence;
    uint32_t task; /* in the occurrence */
    uint16_t failures;
    const uint64_t *failed_runs; /* `failures` of them */
    mb_str_t checkpoint;
} mb_dag_progress_row_t;

/* Stored progress of a job; `done` holds a bit per task of each occurrence,
   each occurrence beginning at a whole byte. */
typedef struct mb_dag_progress {
    mb_dag_id_t id;
    mb_dag_outcome_t outcome;
    bool started;
    mb_str_t done;
    GArray *rows; /* mb_dag_progress_row_t */
} mb_dag_progress_t;

/* All jobs that a process knows. */
typedef struct mb_dag_table {
    GHashTable *jobs; /* mb_dag_id_t -> mb_dag_job_t */
} mb_dag_table_t;

void mb_dag_table_init(mb_dag_table_t *table);
void mb_dag_table_finish(mb_dag_table_t *table);
void mb_dag_table_clear(mb_dag_table_t *table);
mb_dag_job_t *mb_dag_find(const mb_dag_table_t *table, mb_dag_id_t id);
mb_dag_job_t *mb_dag_add(mb_dag_table_t *table, const mb_dag_spec_t *spec);
void mb_dag_remove(mb_dag_table_t *table, mb_dag_id_t id);
bool mb_dag_spec_valid(const mb_dag_spec_t *spec, const char **reason);

/* For tables of GLib whose keys are ids. */
guint mb_dag_id_hash(gconstpointer key);
gboolean mb_dag_id_equal(gconstpointer a, gconstpointer b);
bool mb_dag_id_parse(mb_str_t text, mb_dag_id_t *id);
mb_str_t mb_dag_id_view(const mb_dag_id_t *id);

mb_dag_task_t *mb_dag_task(const mb_dag_job_t *job, uint32_t occurrence,
                           uint32_t step, uint32_t index);
uint32_t mb_dag_find_step(const mb_dag_job_t *job, uint32_t task);
void mb_dag_set_checkpoint(mb_dag_task_t *task, mb_str_t checkpoint);
bool mb_dag_add_failure(mb_dag_task_t *task, uint64_t run);
void mb_dag_set_done(mb_dag_job_t *job, uint32_t occurrence, uint32_t step,
                     mb_dag_task_t *task);
bool mb_dag_step_ready(const mb_dag_job_t *job, uint32_t occurrence,
                       uint32_t step);
bool mb_dag_all_done(const mb_dag_job_t *job);

size_t mb_dag_done_bytes(const mb_dag_job_t *job);
void mb_dag_progress_collect(const mb_dag_job_t *job, mb_buf_t *bits,
                             mb_dag_progress_t *progress);
void mb_dag_progress_apply(mb_dag_job_t *job,
                           const mb_dag_progress_t *progress);

#endif
