/* The list of evacuated failure domains for operators, on the metrics address:
   GET /evacuations. The thread of the loop, which holds the tables, writes
   it. */
#include "mb_atomic.h"
#include "mb_cleanup.h"
#include "mb_evacuation_json.h"
#include "mb_scheduler_internal.h"
#include "mb_uri.h"

static const mb_str_t evacuations_path = {"/evacuations", 12};

/* A request for the list. */
typedef struct listing {
    mb_loop_task_t task;
    mb_scheduler_node_t *node;
    mb_http_exchange_t *exchange;
} listing_t;

/* Adds the evacuated domains to a list (mb_evacuation_row_t). */
static void
add_rows(const mb_scheduler_node_t *node, GArray *rows)
{
    GHashTableIter iter;
    gpointer value;
    uint64_t now_us = mb_clock_us(&node->clock);
    uint64_t now_unix_ms = mb_scheduler_unix_ms();
    g_hash_table_iter_init(&iter, node->evacuation.domains);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const mb_evacuation_domain_t *domain = value;
        if (domain->evacuated) {
            mb_fleet_domain_t counts =
                mb_fleet_count_domain(&node->fleet, domain->key);
            mb_evacuation_row_t row = {
                .domain = domain->key,
                .since_unix_ms =
                    now_unix_ms - (now_us - domain->changed_us) / MB_US_PER_MS,
                .workers = counts.workers,
                .runs = counts.runs};
            g_array_append_val(rows, row);
        }
    }
}

/* Responds to a request for the list, on the thread of the loop. */
static void
respond_list(mb_loop_task_t *task)
{
    listing_t *listing = (listing_t *)task;
    const mb_scheduler_node_t *node = listing->node;
    MB_AUTO_BUF mb_buf_t body = {0};
    g_autoptr(GArray) rows =
        g_array_new(FALSE, FALSE, sizeof(mb_evacuation_row_t));
    add_rows(node, rows);
    mb_evacuation_list_t list = {.owner = mb_fleet_is_owner(&node->fleet),
                                 .starts_withheld =
                                     node->fleet.starts_withheld,
                                 .rows = rows};
    mb_evacuation_json_write(&body, &list);
    mb_http_respond(listing->exchange, 200, NULL, mb_buf_view(&body));
    g_free(listing);
}

/* Handles a request for the list, on an HTTP thread. Returns false, without a
   response, if the request is for something else. While draining it is
   rejected: the loop may be stopped before it would respond. */
bool
mb_scheduler_handle_evacuations(mb_scheduler_node_t *node,
                                mb_http_exchange_t *exchange)
{
    if (!mb_str_equal(mb_uri_path(mb_http_uri(exchange)), evacuations_path)) {
        return false;
    }
    listing_t *listing = g_new0(listing_t, 1);
    *listing = (listing_t){
        .task = {.run = respond_list}, .node = node, .exchange = exchange};
    if (mb_atomic_load(&node->draining) != 0 ||
        !mb_loop_post(&node->loop, &listing->task)) {
        mb_http_respond(exchange, 503, NULL, MB_STR_EMPTY);
        g_free(listing);
    }
    return true;
}
