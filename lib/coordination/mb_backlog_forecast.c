/* Forecasts of the backlog, as the owner collects them and as schedulers keep
   them. */
#include "mb_backlog.h"

/* Initializes an empty forecast. */
void
mb_backlog_forecast_init(mb_backlog_forecast_t *forecast)
{
    *forecast = (mb_backlog_forecast_t){
        .classes = g_array_new(FALSE, FALSE, sizeof(mb_backlog_class_t)),
        .ratios = g_array_new(FALSE, FALSE, sizeof(mb_backlog_ratio_t))};
}

/* Releases the memory of a forecast. */
void
mb_backlog_forecast_finish(mb_backlog_forecast_t *forecast)
{
    g_array_unref(forecast->classes);
    g_array_unref(forecast->ratios);
}

/* Makes a forecast empty. */
void
mb_backlog_forecast_clear(mb_backlog_forecast_t *forecast)
{
    forecast->token = 0;
    forecast->published_ms = 0;
    (void)g_array_set_size(forecast->classes, 0);
    (void)g_array_set_size(forecast->ratios, 0);
}

/* Returns a class, added if there is none; see the header. */
mb_backlog_class_t *
mb_backlog_get_class(GArray *classes, uint64_t service, uint32_t priority)
{
    for (guint i = 0; i < classes->len; i++) {
        mb_backlog_class_t *known =
            &g_array_index(classes, mb_backlog_class_t, i);
        if (known->service == service && known->priority == priority) {
            return known;
        }
    }
    if (classes->len == MB_BACKLOG_CLASSES_MAX) {
        return NULL;
    }
    mb_backlog_class_t added = {.service = service,
                                .priority = priority,
                                .overdue_size = MB_BACKLOG_SIZES};
    g_array_append_val(classes, added);
    return &g_array_index(classes, mb_backlog_class_t, classes->len - 1);
}

/* Returns the class of a job with that much work. */
uint32_t
mb_backlog_size_class(uint64_t work_ms)
{
    uint32_t octave = 0;
    work_ms = MIN(work_ms, UINT32_MAX); /* its square does not overflow */
    while (octave < MB_BACKLOG_SIZES / 2 - 1 && work_ms >> (octave + 1) > 0) {
        octave++;
    }
    /* The latter half of an octave begins at its start times the square root
       of 2. */
    bool is_latter =
        work_ms * work_ms >= UINT64_C(2) << (2 * octave) && octave > 0;
    return octave * 2 + is_latter;
}

/* Returns the longest of the paths that end at a step on which `step`
   depends. `paths` holds those of the `count` earlier steps. */
static uint64_t
longest_path_before(const mb_dag_step_t *step, const uint64_t *paths,
                    uint32_t count)
{
    uint64_t longest = 0;
    for (uint32_t i = 0; i < count; i++) {
        if (step->depends_on & (UINT64_C(1) << i)) {
            longest = MAX(longest, paths[i]);
        }
    }
    return longest;
}

/* Returns what the decision about a job depends on. Services and recurring
   jobs are not judged by a backlog of batch work. */
mb_backlog_job_t
mb_backlog_job(const mb_dag_spec_t *spec)
{
    uint64_t paths[MB_DAG_STEPS_MAX];
    uint64_t work = 0; /* in milliseconds of 1/1000 processor */
    uint64_t widest = 0;
    mb_backlog_job_t job = {.id = spec->id,
                            .service = mb_str_hash(spec->policy.service),
                            .queue = mb_str_hash(spec->policy.queue),
                            .priority = spec->policy.priority,
                            .stretch_milli = spec->policy.stretch_milli,
                            .latency_objective_ms =
                                spec->policy.latency_objective_ms,
                            .judged = spec->occurrences == 0};
    for (uint32_t i = 0; i < spec->step_count; i++) {
        const mb_dag_step_t *step = &spec->steps[i];
        uint64_t width = (uint64_t)step->count * step->size.cpu_milli;
        paths[i] = longest_path_before(step, paths, i) + step->estimate_ms;
        job.path_ms = MAX(job.path_ms, paths[i]);
        work += width * step->estimate_ms;
        if (width >= widest) {
            widest = width;
            job.widest = step->size;
            job.widest_best_effort = step->best_effort;
        }
#ifndef MB_MUTANT_BACKLOG_JUDGES_SERVICES
        job.judged = job.judged && !step->long_running;
#endif
    }
    job.work_ms = MIN(work / 1000, MB_BACKLOG_WORK_MAX_MS);
    return job;
}
