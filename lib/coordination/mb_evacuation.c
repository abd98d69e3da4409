#include "mb_evacuation.h"

#include <string.h>

/* GDestroyNotify of `domains`. */
static void
free_domain(gpointer data)
{
    mb_evacuation_domain_t *domain = data;
    mb_buf_finish(&domain->name);
    g_free(domain);
}

/* Returns how old the table may be when the owner decides on a start: the
   setting, less the time until the task starts at the worker. A setting that
   is not longer than this time gives 1 ms, as 0 means that the age is not
   checked. */
static uint64_t
get_age_max_us(uint64_t setting_ms)
{
    uint64_t margin_ms = MB_EVACUATION_START_MARGIN_MS;
#ifdef MB_MUTANT_EVACUATION_NO_MARGIN
    margin_ms = 0;
#endif
    return setting_ms == 0 ? 0
                           : MAX(setting_ms - MIN(setting_ms, margin_ms), 1) *
                                 MB_US_PER_MS;
}

/* Initializes an empty table; see the header. */
void
mb_evacuation_init(mb_evacuation_t *table, uint64_t age_max_ms,
                   const mb_clock_t *clock, const mb_log_t *log)
{
    memset(table, 0, sizeof(*table));
    table->domains = g_hash_table_new_full(mb_str_key_hash, mb_str_key_equal,
                                           NULL, free_domain);
    table->clock = *clock;
    table->log = *log;
    table->age_max_us = get_age_max_us(age_max_ms);
}

/* Releases the memory of a table. */
void
mb_evacuation_finish(mb_evacuation_t *table)
{
    g_hash_table_destroy(table->domains);
}

/* GHRFunc: tells whether the return of work to a domain has ended, so that it
   can be forgotten. */
static gboolean
has_returned(gpointer key, gpointer value, gpointer context)
{
    const mb_evacuation_domain_t *domain = value;
    const mb_evacuation_t *table = context;
    (void)key;
    return !domain->evacuated &&
           mb_clock_us(&table->clock) >=
               domain->changed_us +
                   MB_EVACUATION_RETURN_MS * (uint64_t)MB_US_PER_MS;
}

/* Returns the entry of a domain, added if there is none. Entries of former
   requests are dropped then, so that the table does not grow with time. */
static mb_evacuation_domain_t *
get_domain(mb_evacuation_t *table, mb_str_t name)
{
    mb_evacuation_domain_t *domain =
        g_hash_table_lookup(table->domains, &name);
    if (domain == NULL) {
        (void)g_hash_table_foreach_remove(table->domains, has_returned, table);
        domain = g_new0(mb_evacuation_domain_t, 1);
        mb_buf_set(&domain->name, name);
        domain->key = mb_buf_view(&domain->name);
        (void)g_hash_table_insert(table->domains, &domain->key, domain);
    }
    return domain;
}

/* Changes whether a domain is evacuated, and logs it. */
static void
set_evacuated(mb_evacuation_t *table, mb_evacuation_domain_t *domain,
              bool evacuated, const char *source)
{
    uint64_t now_us = mb_clock_us(&table->clock);
    mb_log_notice(
        &table->log,
        "evacuation %s domain=%.*s source=%s "
        "known_for_ms=%" G_GUINT64_FORMAT,
        evacuated ? "requested" : "withdrawn", MB_STR_ARG(domain->key), source,
        evacuated ? 0 : (now_us - domain->changed_us) / MB_US_PER_MS);
    domain->evacuated = evacuated;
    domain->changed_us = now_us;
    table->evacuated += evacuated ? 1 : UINT32_MAX;
    table->version++;
}

/* Applies a record; see the header. A repeated request changes nothing. */
void
mb_evacuation_apply(mb_evacuation_t *table, mb_str_t name, bool evacuated)
{
    mb_evacuation_domain_t *domain =
        evacuated ? get_domain(table, name)
                  : g_hash_table_lookup(table->domains, &name);
    if (domain == NULL) {
        return;
    }
    domain->load = table->load;
    if (domain->evacuated != evacuated) {
        set_evacuated(table, domain, evacuated, "record");
    }
}

/* Begins a load of the newest records; see the header. */
void
mb_evacuation_begin_load(mb_evacuation_t *table)
{
    table->load++;
}

/* Ends a load; see the header. */
void
mb_evacuation_end_load(mb_evacuation_t *table)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, table->domains);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        mb_evacuation_domain_t *domain = value;
#ifdef MB_MUTANT_EVACUATION_LOADS_NOT_RECONCILED
        continue;
#endif
        if (domain->evacuated && domain->load != table->load) {
            set_evacuated(table, domain, false, "load");
        }
    }
}

/* Notes the end of a read; see the header. */
void
mb_evacuation_read_ended(mb_evacuation_t *table, uint64_t read_start_us,
                         bool succeeded)
{
    table->failed_repeatedly =
        !succeeded && table->failed_read_us != 0 &&
        read_start_us - table->failed_read_us <= table->age_max_us;
    table->failed_read_us = succeeded ? 0 : read_start_us;
}

/* Notes the age of the table; see the header. */
void
mb_evacuation_caught_up(mb_evacuation_t *table, uint64_t read_start_us)
{
    table->confirmed_us = read_start_us;
}

/* Tells whether a domain is evacuated. */
bool
mb_evacuation_contains(const mb_evacuation_t *table, mb_str_t name)
{
    const mb_evacuation_domain_t *domain =
        g_hash_table_lookup(table->domains, &name);
    return domain != NULL && domain->evacuated;
}

/* Returns when a request was withdrawn; see the header. */
uint64_t
mb_evacuation_withdrawn_us(const mb_evacuation_t *table, mb_str_t name)
{
    const mb_evacuation_domain_t *domain =
        g_hash_table_lookup(table->domains, &name);
    return domain == NULL || domain->evacuated ? 0 : domain->changed_us;
}

/* Returns the age of the table; see the header. */
uint64_t
mb_evacuation_age_us(const mb_evacuation_t *table)
{
    return table->confirmed_us == 0
               ? UINT64_MAX
               : mb_clock_us(&table->clock) - table->confirmed_us;
}

/* Tells whether two reads in a row have failed, the later one began within the
   maximum age, and none has succeeded since: the log is unreachable. One
   failure does not show that: after a pause of the process, it may be that of
   a connection that the log has closed meanwhile. */
static bool
is_unreachable(const mb_evacuation_t *table)
{
#ifdef MB_MUTANT_EVACUATION_OLD_FAILURE_COUNTS
    return table->failed_repeatedly;
#endif
#ifdef MB_MUTANT_EVACUATION_ONE_FAILURE_COUNTS
    return table->failed_read_us != 0;
#endif
    return table->failed_repeatedly &&
           mb_clock_us(&table->clock) - table->failed_read_us <=
               table->age_max_us;
}

/* Tells whether the table is recent enough; see the header. While the log is
   unreachable, starts go on: nobody who is cut off can be told of a request,
   another process that reaches the log takes the fleet over, and the agents
   obey the newer owner. After a pause of the process, both the table and the
   latest failure are old, so that nothing starts before the next read has
   ended. */
bool
mb_evacuation_may_start(const mb_evacuation_t *table, const char **reason)
{
    const char *withheld_for = NULL;
#ifndef MB_MUTANT_EVACUATION_AGE_NOT_CHECKED
    if (table->age_max_us != 0 && table->confirmed_us == 0) {
        withheld_for = "config_log_never_read";
    }
    else if (table->age_max_us != 0 &&
             mb_evacuation_age_us(table) > table->age_max_us &&
             !is_unreachable(table)) {
        withheld_for = "evacuations_outdated";
    }
#endif
    if (reason != NULL) {
        *reason = withheld_for;
    }
    return withheld_for == NULL;
}
