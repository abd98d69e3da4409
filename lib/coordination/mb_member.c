#include "mb_member.h"

#include <glib.h>
#include <string.h>

/* One live entry, as last announced. */
typedef struct member {
    uint64_t process;
    uint64_t incarnation;
    uint64_t time_ms; /* time of the announcement, by the log's clock */
    char address[MB_MEMBER_TEXT_MAX + 1];
    char failure_domain[MB_MEMBER_TEXT_MAX + 1];
} member_t;

/* An entry with its weight in a rendezvous order. */
typedef struct ranked {
    uint64_t weight;
    const member_t *member;
} ranked_t;

/* Initializes an empty table. */
void
mb_members_init(mb_members_t *members)
{
    memset(members, 0, sizeof(*members));
    (void)pthread_mutex_init(&members->lock, NULL);
    members->table =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

/* Releases the table. */
void
mb_members_finish(mb_members_t *members)
{
    g_hash_table_unref(members->table);
    (void)pthread_mutex_destroy(&members->lock);
}

/* Removes all entries, before the stream is replayed from its earliest
   retained record. */
void
mb_members_reset(mb_members_t *members)
{
    (void)pthread_mutex_lock(&members->lock);
    g_hash_table_remove_all(members->table);
    (void)pthread_mutex_unlock(&members->lock);
}

/* Returns whether an entry is live. After an outage of the log, the time to
   live starts anew, because entries could not announce themselves. */
static bool
is_live(const mb_members_t *members, const member_t *member)
{
    uint64_t since = MAX(member->time_ms, members->outage_end_ms);
    return since + MB_MEMBER_TTL_MS > members->log_now_ms;
}

/* Removes the entries that are no longer live. */
static void
remove_expired(mb_members_t *members)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, members->table);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (!is_live(members, value)) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

/* Copies a text to `out`, truncated to MB_MEMBER_TEXT_MAX bytes. */
static void
copy_text(char *out, mb_str_t text)
{
    size_t len = MIN(text.len, MB_MEMBER_TEXT_MAX);
    memcpy(out, text.data, len);
    out[len] = '\0';
}

/* Applies an announcement, in the order of the stream. `time_ms` is the time
   at which it was appended, by the log's clock. If a stopped incarnation
   announces that it leaves, an entry of a later incarnation stays. */
void
mb_members_announce(mb_members_t *members,
                    const mb_announcement_t *announcement, uint64_t time_ms)
{
    (void)pthread_mutex_lock(&members->lock);
    member_t *member =
        g_hash_table_lookup(members->table, &announcement->process);
    if (announcement->leaving) {
        if (member != NULL &&
            member->incarnation == announcement->incarnation) {
            (void)g_hash_table_remove(members->table, &announcement->process);
        }
    }
    else if (member != NULL ||
             g_hash_table_size(members->table) < MB_MEMBERS_MAX) {
        member_t *next = g_new0(member_t, 1);
        next->process = announcement->process;
        next->incarnation = announcement->incarnation;
        next->time_ms = time_ms;
        copy_text(next->address, announcement->address);
        copy_text(next->failure_domain, announcement->failure_domain);
        g_hash_table_replace(members->table, &next->process, next);
    }
    (void)pthread_mutex_unlock(&members->lock);
}

/* Advances the time and removes entries that are no longer live; to be called
   several times a second. `reachable` tells whether the log is reachable,
   `log_now_ms` is the present time by its clock; 0 if it is not known. */
void
mb_members_tick(mb_members_t *members, bool reachable, uint64_t log_now_ms)
{
    (void)pthread_mutex_lock(&members->lock);
#ifdef MB_MUTANT_TTL_NOT_SUSPENDED
    reachable = true;
#endif
    if (reachable && log_now_ms > 0) {
        if (!members->reachable && members->log_now_ms > 0) {
            members->outage_end_ms = log_now_ms;
        }
        members->log_now_ms = log_now_ms;
        remove_expired(members);
    }
    members->reachable = reachable;
    (void)pthread_mutex_unlock(&members->lock);
}

/* Returns the number of live entries. */
uint32_t
mb_members_count(mb_members_t *members)
{
    (void)pthread_mutex_lock(&members->lock);
    uint32_t count = g_hash_table_size(members->table);
    (void)pthread_mutex_unlock(&members->lock);
    return count;
}

/* Computes the weight of a key and a process in rendezvous hashing. */
static uint64_t
compute_weight(uint64_t key, uint64_t process)
{
    uint64_t pair[2] = {key, process};
    return mb_str_hash((mb_str_t){(const char *)pair, sizeof(pair)});
}

/* Orders entries by descending weight, and by process if the weights are
   equal. */
static int
compare_ranked(const void *a, const void *b)
{
    const ranked_t *x = a;
    const ranked_t *y = b;
    if (x->weight != y->weight) {
        return x->weight > y->weight ? -1 : 1;
    }
    return x->member->process > y->member->process ? -1 : 1;
}

/* Returns the live entries in the rendezvous order of a key, as ranked_t; the
   caller releases the array. The lock must be held. */
static GArray *
compute_rendezvous_order(const mb_members_t *members, uint64_t key)
{
    GArray *order = g_array_new(FALSE, FALSE, sizeof(ranked_t));
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, members->table);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const member_t *member = value;
        ranked_t ranked = {compute_weight(key, member->process), member};
        g_array_append_val(order, ranked);
    }
    g_array_sort(order, compare_ranked);
    return order;
}

/* Returns the position of a process in the rendezvous order of a key, or
   MB_MEMBER_RANK_NONE if it is not a live entry. */
uint32_t
mb_members_rank(mb_members_t *members, uint64_t process, mb_str_t key)
{
    uint32_t rank = MB_MEMBER_RANK_NONE;
    (void)pthread_mutex_lock(&members->lock);
    GArray *order = compute_rendezvous_order(members, mb_str_hash(key));
    for (guint i = 0; i < order->len; i++) {
        if (g_array_index(order, ranked_t, i).member->process == process) {
            rank = i;
        }
    }
    g_array_unref(order);
    (void)pthread_mutex_unlock(&members->lock);
    return rank;
}

/* Copies an entry to a choice. */
static void
copy_choice(mb_member_choice_t *choice, const member_t *member)
{
    choice->process = member->process;
    memcpy(choice->address, member->address, sizeof(choice->address));
}

/* Chooses up to `max` entries for a sidecar by rendezvous hashing, so that the
   arrival or departure of one entry changes the choice of few sidecars. At
   least one of them is outside the given failure domain, that of the sidecar,
   if there is such an entry, because the loss of a domain's entries must not
   cut off its sidecars. Returns the number of entries chosen. */
uint32_t
mb_members_choose(mb_members_t *members, uint64_t sidecar,
                  mb_str_t failure_domain, uint32_t max,
                  mb_member_choice_t *choices)
{
    uint32_t count = 0;
    bool outside = false;
    (void)pthread_mutex_lock(&members->lock);
    GArray *order = compute_rendezvous_order(members, sidecar);
    for (guint i = 0; i < order->len && max > 0; i++) {
        const member_t *member = g_array_index(order, ranked_t, i).member;
        bool is_outside = !mb_str_equal(
            mb_str_from_cstr(member->failure_domain), failure_domain);
        if (count < max) {
            copy_choice(&choices[count++], member);
            outside |= is_outside;
        }
        else if (!outside && is_outside) {
            copy_choice(&choices[max - 1], member);
            outside = true;
        }
    }
    g_array_unref(order);
    (void)pthread_mutex_unlock(&members->lock);
    return count;
}

/* Dumps the live entries for diagnosis. */
void
mb_members_dump(mb_members_t *members, const mb_dump_t *dump)
{
    GHashTableIter iter;
    void *value;
    (void)pthread_mutex_lock(&members->lock);
    mb_dump_number(dump, "reachable", members->reachable);
    g_hash_table_iter_init(&iter, members->table);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const member_t *member = value;
        mb_dump_begin(dump, member->address);
        mb_dump_text(dump, "failure_domain",
                     mb_str_from_cstr(member->failure_domain));
        mb_dump_number(dump, "announced_ms", member->time_ms);
        mb_dump_end(dump);
    }
    (void)pthread_mutex_unlock(&members->lock);
}
