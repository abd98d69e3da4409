/* The costs of placing the tasks of one step, kept in a heap while the step is
   placed. A placement changes the cost of one worker only, so that the next
   task of the step needs no look at the others. The choices are those that a
   look at all workers for each task would make. */
#include "mb_fleet_internal.h"

/* Initializes an empty set. */
void
mb_fleet_candidates_init(mb_fleet_candidates_t *candidates)
{
    candidates->heap = g_array_new(FALSE, FALSE, sizeof(mb_fleet_candidate_t));
    candidates->filled = false;
}

/* Releases the memory of a set. */
void
mb_fleet_candidates_finish(mb_fleet_candidates_t *candidates)
{
    g_array_unref(candidates->heap);
}

/* Forgets all candidates, before another step is placed or after a change that
   concerns more than one worker. */
void
mb_fleet_candidates_clear(mb_fleet_candidates_t *candidates)
{
    (void)g_array_set_size(candidates->heap, 0);
    candidates->filled = false;
}

/* Returns the candidate at an index of the heap. */
static mb_fleet_candidate_t *
get(const mb_fleet_candidates_t *candidates, guint index)
{
    return &g_array_index(candidates->heap, mb_fleet_candidate_t, index);
}

/* Tells whether one candidate is to be chosen before another. */
static bool
is_before(const mb_fleet_candidate_t *a, const mb_fleet_candidate_t *b)
{
    return a->cost != b->cost ? a->cost < b->cost : a->worker < b->worker;
}

/* Moves the candidate at an index down to its place in the heap. */
static void
sift_down(mb_fleet_candidates_t *candidates, guint index)
{
    guint len = candidates->heap->len;
    for (;;) {
        guint first = index;
        for (guint child = 2 * index + 1;
             child <= 2 * index + 2 && child < len; child++) {
            first = is_before(get(candidates, child), get(candidates, first))
                        ? child
                        : first;
        }
        if (first == index) {
            return;
        }
        mb_fleet_candidate_t moved = *get(candidates, index);
        *get(candidates, index) = *get(candidates, first);
        *get(candidates, first) = moved;
        index = first;
    }
}

/* Adds all workers that can take a run. */
static void
fill(mb_fleet_candidates_t *candidates, const mb_fleet_cost_inputs_t *inputs,
     const mb_fleet_run_t *run)
{
    mb_fleet_candidates_clear(candidates);
    for (guint i = 0; i < inputs->fleet->workers->len; i++) {
        mb_fleet_candidate_t candidate = {
            mb_fleet_placement_cost(
                inputs, mb_fleet_get_worker(inputs->fleet, i), run),
            i};
        if (candidate.cost != UINT64_MAX) {
            g_array_append_val(candidates->heap, candidate);
        }
    }
    for (guint i = candidates->heap->len / 2; i-- > 0;) {
        sift_down(candidates, i);
    }
    candidates->filled = true;
}

/* Returns the worker where a run has the lowest cost, or NULL if the cost is
   below the limit nowhere. All runs between two calls of
   mb_fleet_candidates_clear must be of the same step, and of tasks that have
   not failed. */
mb_fleet_worker_t *
mb_fleet_candidates_best(mb_fleet_candidates_t *candidates,
                         const mb_fleet_cost_inputs_t *inputs,
                         const mb_fleet_run_t *run)
{
    if (!candidates->filled) {
        fill(candidates, inputs, run);
    }
    if (candidates->heap->len == 0 ||
        get(candidates, 0)->cost >=
            mb_fleet_placement_cost_limit(inputs, run)) {
        return NULL;
    }
    return mb_fleet_get_worker(inputs->fleet, get(candidates, 0)->worker);
}

/* Updates the cost of a worker on which `run` has just been placed. */
void
mb_fleet_candidates_changed(mb_fleet_candidates_t *candidates,
                            const mb_fleet_cost_inputs_t *inputs,
                            const mb_fleet_worker_t *worker,
                            const mb_fleet_run_t *run)
{
    if (!candidates->filled) {
        return;
    }
    if (candidates->heap->len == 0 ||
        get(candidates, 0)->worker != worker->number) {
        mb_fleet_candidates_clear(candidates);
        return;
    }
    get(candidates, 0)->cost = mb_fleet_placement_cost(inputs, worker, run);
    if (get(candidates, 0)->cost == UINT64_MAX) {
        (void)g_array_remove_index_fast(candidates->heap, 0);
    }
    sift_down(candidates, 0);
}
