/* Randomized histories of mb_request and mb_slots in simulated time, with two
   entries and three sidecars. A fake network delays, loses and repeats frames,
   goes silent, cuts links and replaces them; processes pause, drain and crash.
   Guards against a non-idempotent request that runs twice, a request that is
   reported as not run although it ran, a wrong or missing answer, more
   requests at an upstream than it has slots, and requests that are started
   after a drain. The environment variables MB_HISTORIES and MB_SEED set the
   number of histories and the first seed. */
#include <gtest/gtest.h>

#include <chrono>
#include <cstdlib>
#include <memory>
#include <queue>
#include <vector>

extern "C" {
#include "mb_request.h"
#include "mb_rng.h"
#include "mb_slots.h"
}

namespace {

const uint32_t ENTRIES = 2;
const uint32_t SIDECARS = 3;
const uint32_t EVENTS = 200; /* minimum number of events of a history */
const uint64_t MS = 1000;    /* in microseconds */

struct History;

/* One sidecar process; after a crash a new one takes its index. */
struct Sidecar {
    History *history;
    uint32_t index;
    uint32_t running = 0;
    bool dead = false;
    uint64_t drain_us = 0; /* start of its drain; 0: not draining */
    mb_slots_t slots;
};

/* One link between an entry and a sidecar. A link that has been replaced may
   still deliver frames. */
struct Link {
    Sidecar *sidecar;
    uint32_t entry;
    bool cut = false;             /* loses all frames, also those in flight */
    bool silent = false;          /* loses new frames, without an error */
    uint64_t last_us[2] = {0, 0}; /* last delivery by direction */
};

/* One client and its request. */
struct Client {
    mb_open_request_t open; /* must be first, see mb_request.h */
    uint32_t number;
    uint32_t entry;
    uint32_t starts = 0; /* how often the upstream ran the request */
    /* An error kind, MB_KIND_COUNT for a response, or -1: no answer yet. */
    int answer = -1;
};

/* One entry process. */
struct Entry {
    History *history;
    uint32_t index;
    uint64_t paused_until_us = 0;
    uint64_t counter = 0;
    mb_request_table_t table;
    Link *links[SIDECARS] = {};
    bool usable[SIDECARS] = {}; /* whether new attempts may go there */
};

enum EventKind {
    REQUEST_ARRIVES,
    FRAME,
    RUN_ENDS,
    TICK,
    FAULT,
    LINK_LOST,
    LINK_REPLACED,
    SIDECAR_GONE
};

/* One event of the simulation; which members are set depends on its kind. */
struct Event {
    uint64_t at_us;
    uint64_t order; /* order of creation; breaks ties */
    EventKind event_kind;
    mb_message_type_t type;
    bool to_sidecar; /* of RUN_ENDS: whether the upstream was reached */
    Link *link;
    Sidecar *sidecar;
    mb_request_id_t id;
    uint32_t value; /* deadline in ms, client's number, state or reason */
    uint32_t index; /* of the entry */
    bool operator<(const Event &other) const
    {
        return at_us != other.at_us ? at_us > other.at_us
                                    : order > other.order;
    }
};

/* State of the simulation. */
struct History {
    mb_rng_seeded_t seeded;
    mb_rng_t rng;
    uint64_t now_us = 1000000;
    uint64_t order = 0;
    uint32_t events = 0;
    uint32_t arrivals_left = 60;
    uint32_t answered = 0;
    std::priority_queue<Event> queue;
    std::vector<std::unique_ptr<Client>> clients;
    std::vector<std::unique_ptr<Link>> links;
    std::vector<std::unique_ptr<Sidecar>> sidecars;
    Sidecar *current[SIDECARS] = {};
    Entry entries[ENTRIES];
    /* By counter of the attempt's id - 1; second: the client's number. */
    std::vector<std::pair<mb_request_id_t, uint32_t>> attempts;

    uint64_t below(uint64_t bound)
    {
        return mb_rng_below(&rng, bound);
    }
    bool chance(uint32_t percent)
    {
        return below(100) < percent;
    }

    void push(Event event, uint64_t at_us)
    {
        event.at_us = at_us;
        event.order = order++;
        queue.push(event);
    }

    uint32_t client_number(const mb_request_id_t &id)
    {
        return attempts[id.counter - 1].second;
    }

    /* Delivers a frame after a random delay, in order with the earlier frames
       of its direction; a few are delivered a second time later. */
    void send(Link *link, bool to_sidecar, mb_message_type_t type,
              const mb_request_id_t &id, uint32_t value)
    {
        if (link == nullptr || link->cut || link->silent) {
            return;
        }
        uint64_t &last = link->last_us[to_sidecar ? 1 : 0];
        last = std::max(last,
                        now_us + 500 + below(chance(10) ? 400 * MS : 8 * MS));
        Event event = {0,    0,       FRAME, type,  to_sidecar,
                       link, nullptr, id,    value, 0};
        push(event, last);
        if (chance(5)) {
            push(event, last + below(3000 * MS));
        }
    }
};

uint64_t
read_time(void *context)
{
    return static_cast<History *>(context)->now_us;
}

/* Returns the current link from a sidecar to the entry of a request, or
   NULL. */
Link *
link_to(Sidecar *sidecar, const mb_request_id_t *id)
{
    Link *link =
        sidecar->history->entries[id->process - 1].links[sidecar->index];
    return link != nullptr && link->sidecar == sidecar ? link : nullptr;
}

/* Callbacks of a sidecar. */
void
on_start(void *context, const mb_request_t *request)
{
    Sidecar *sidecar = static_cast<Sidecar *>(context);
    History *history = sidecar->history;
    bool reached = !history->chance(3);
    Client &client = *history->clients[history->client_number(request->id)];
    ASSERT_FALSE(sidecar->dead);
    ASSERT_LE(++sidecar->running, 2u) << "more requests than slots";
    if (sidecar->drain_us > 0) {
        ASSERT_LT(history->now_us, sidecar->drain_us + 2000 * MS)
            << "started 2 s after DRAIN";
    }
    if (reached) {
        client.starts++;
        ASSERT_TRUE(client.open.idempotent || client.starts == 1)
            << "non-idempotent request ran twice";
        ASSERT_FALSE(client.answer >= 0 && client.answer < MB_KIND_COUNT &&
                     !mb_kind_info((mb_kind_t)client.answer)->may_have_run)
            << "started after it was reported as not run";
    }
    Event event = {0,       0,       RUN_ENDS, MB_MESSAGE_RESPONSE,
                   reached, nullptr, sidecar,  request->id,
                   0,       0};
    history->push(
        event, history->now_us + 500 +
                   history->below(history->chance(15) ? 5000 * MS : 60 * MS));
}

void
on_refuse(void *context, const mb_request_id_t *id, mb_kind_t reason)
{
    Sidecar *sidecar = static_cast<Sidecar *>(context);
    sidecar->history->send(link_to(sidecar, id), false, MB_MESSAGE_REFUSED,
                           *id, reason);
}

void
on_respond(void *context, const mb_response_t *response)
{
    Sidecar *sidecar = static_cast<Sidecar *>(context);
    uint32_t number = (uint32_t)strtoul(response->body.data, nullptr, 10);
    sidecar->history->send(link_to(sidecar, &response->id), false,
                           MB_MESSAGE_RESPONSE, response->id, number);
}

void
on_outcome(void *context, const mb_request_id_t *id, mb_outcome_state_t state)
{
    Sidecar *sidecar = static_cast<Sidecar *>(context);
    sidecar->history->send(link_to(sidecar, id), false, MB_MESSAGE_OUTCOME,
                           *id, state);
}

/* Records the answer to a client: an error kind, or MB_KIND_COUNT for a
   response. */
void
answer(History *history, Client *client, int kind)
{
    ASSERT_EQ(client->answer, -1) << "answered twice";
    client->answer = kind;
    history->answered++;
    if (kind < MB_KIND_COUNT && !mb_kind_info((mb_kind_t)kind)->may_have_run) {
        ASSERT_EQ(client->starts, 0u) << "reported as not run after it ran";
    }
}

/* Sends an attempt over a random usable link; without one the client gets
   `fallback_kind`. */
void
attempt(Entry *entry, Client *client, mb_kind_t fallback_kind)
{
    History *history = entry->history;
    uint32_t first = (uint32_t)history->below(SIDECARS);
    for (uint32_t i = 0; i < SIDECARS; i++) {
        uint32_t s = (first + i) % SIDECARS;
        Link *link = entry->links[s];
        if (!entry->usable[s] || link == nullptr) {
            continue;
        }
        history->attempts.push_back({{}, client->number});
        mb_request_id_t id = {entry->index + 1, 7, history->attempts.size()};
        mb_request_begin_attempt(&entry->table, &client->open, &id,
                                 link->sidecar);
        history->send(
            link, true, MB_MESSAGE_REQUEST, id,
            (uint32_t)((client->open.deadline_us -
                        std::min(client->open.deadline_us, history->now_us)) /
                       MS));
        return;
    }
    answer(history, client,
           mb_open_request_error_kind(&client->open, fallback_kind));
}

/* Callbacks of an entry. */
void
on_retry(void *context, mb_open_request_t *open, mb_kind_t fallback_kind)
{
    attempt(static_cast<Entry *>(context), reinterpret_cast<Client *>(open),
            fallback_kind);
}

void
on_fail(void *context, mb_open_request_t *open, mb_kind_t kind)
{
    answer(static_cast<Entry *>(context)->history,
           reinterpret_cast<Client *>(open), kind);
}

void
on_send_outcome_ask(void *context, const void *peer,
                    const mb_outcome_ask_t *ask)
{
    Entry *entry = static_cast<Entry *>(context);
    const Sidecar *sidecar = static_cast<const Sidecar *>(peer);
    for (uint32_t i = 0; i < ask->count; i++) {
        entry->history->send(entry->links[sidecar->index], true,
                             MB_MESSAGE_OUTCOME_ASK, ask->ids[i], 0);
    }
}

void
on_send_cancel(void *context, const void *peer, const mb_request_id_t *id)
{
    Entry *entry = static_cast<Entry *>(context);
    const Sidecar *sidecar = static_cast<const Sidecar *>(peer);
    Link *link = entry->links[sidecar->index];
    if (link != nullptr && link->sidecar == sidecar) {
        entry->history->send(link, true, MB_MESSAGE_CANCEL, *id, 0);
    }
}

bool
on_spend_retry(void *context)
{
    return !static_cast<Entry *>(context)->history->chance(10);
}

/* Makes a new link between an entry and a sidecar, which replaces the
   current one. */
Link *
connect(History *history, Entry *entry, Sidecar *sidecar)
{
    history->links.push_back(std::make_unique<Link>());
    Link *link = history->links.back().get();
    link->sidecar = sidecar;
    link->entry = entry->index;
    entry->links[sidecar->index] = link;
    entry->usable[sidecar->index] = sidecar->drain_us == 0;
    return link;
}

/* Starts a sidecar process with 2 slots and a queue of 2. */
void
start_sidecar(History *history, uint32_t index)
{
    history->sidecars.push_back(std::make_unique<Sidecar>());
    Sidecar *sidecar = history->sidecars.back().get();
    sidecar->history = history;
    sidecar->index = index;
    mb_clock_t clock = {read_time, history};
    mb_slots_config_t config = {2, 2, history->chance(50) ? 4u : 64u,
                                MB_SLOTS_RESPONSE_BYTES_MAX};
    mb_slots_callbacks_t callbacks = {on_start, on_refuse, on_respond,
                                      on_outcome, sidecar};
    mb_slots_init(&sidecar->slots, &config, &clock, &callbacks);
    history->current[index] = sidecar;
}

/* Delivers a frame to a sidecar. */
void
deliver_to_sidecar(const Event &event)
{
    Sidecar *sidecar = event.link->sidecar;
    if (sidecar->dead) {
        return;
    }
    if (event.type == MB_MESSAGE_REQUEST) {
        mb_request_t request;
        request.id = event.id;
        request.deadline_ms = event.value;
        request.request_class = (mb_class_t)(event.id.counter % 3);
        request.idempotent = false;
        request.method = request.path = request.body = MB_STR_EMPTY;
        request.headers.count = 0;
        mb_slots_submit(&sidecar->slots, &request);
    }
    else if (event.type == MB_MESSAGE_OUTCOME_ASK) {
        mb_slots_query_outcome(&sidecar->slots, &event.id);
    }
    else {
        mb_slots_cancel(&sidecar->slots, &event.id);
    }
}

/* Delivers a frame to an entry. */
void
deliver_to_entry(History *history, const Event &event)
{
    Entry *entry = &history->entries[event.link->entry];
    if (event.type == MB_MESSAGE_REFUSED) {
        mb_request_handle_refusal(&entry->table, &event.id,
                                  (mb_kind_t)event.value);
    }
    else if (event.type == MB_MESSAGE_OUTCOME) {
        mb_request_handle_outcome(&entry->table, &event.id,
                                  (mb_outcome_state_t)event.value);
    }
    else if (event.type == MB_MESSAGE_RESPONSE) {
        mb_open_request_t *open =
            mb_request_handle_response(&entry->table, &event.id, true);
        if (open != nullptr) {
            Client *client = reinterpret_cast<Client *>(open);
            ASSERT_EQ(client->number, event.value)
                << "response of another request";
            answer(history, client, MB_KIND_COUNT);
        }
    }
    else if (event.type == MB_MESSAGE_DRAIN &&
             entry->links[event.link->sidecar->index] == event.link) {
        entry->usable[event.link->sidecar->index] = false;
    }
}

/* Injects a random fault: cuts or silences a link, pauses an entry, or drains
   or crashes a sidecar. */
void
inject_fault(History *history)
{
    Entry *entry = &history->entries[history->below(ENTRIES)];
    Sidecar *sidecar = history->current[history->below(SIDECARS)];
    Link *link = entry->links[sidecar->index];
    Event event = {0,       0,  LINK_LOST, MB_MESSAGE_PING, false, link,
                   sidecar, {}, 0,         entry->index};
    uint64_t kind = history->below(100);
    if (kind < 70 && link != nullptr && link->sidecar == sidecar) {
        bool silent = kind < 35;
        (silent ? link->silent : link->cut) = true;
        /* A silent link is replaced without a notice of its loss. */
        if (!silent) {
            history->push(event, history->now_us + history->below(100 * MS));
        }
        event.event_kind = LINK_REPLACED;
        history->push(event,
                      history->now_us + 100 * MS + history->below(3000 * MS));
    }
    else if (kind < 85) {
        entry->paused_until_us = history->now_us + history->below(8000 * MS);
    }
    else if (kind < 92 && sidecar->drain_us == 0) {
        sidecar->drain_us = history->now_us;
        mb_slots_drain(&sidecar->slots);
        for (Entry &each : history->entries) {
            if (link_to(sidecar, &(const mb_request_id_t &)mb_request_id_t{
                                     each.index + 1, 7, 1}) != nullptr) {
                history->send(each.links[sidecar->index], false,
                              MB_MESSAGE_DRAIN, {}, 0);
            }
        }
    }
    else if (kind >= 92) {
        sidecar->dead = true;
        start_sidecar(history, sidecar->index);
        for (Entry &each : history->entries) {
            event.event_kind = SIDECAR_GONE;
            event.index = each.index;
            history->push(event, history->now_us + history->below(3000 * MS));
        }
    }
}

/* Handles one event. */
void
handle_event(History *history, const Event &event)
{
    Entry *entry = &history->entries[event.index];
    if (event.event_kind == REQUEST_ARRIVES) {
        history->clients.push_back(std::make_unique<Client>());
        Client *client = history->clients.back().get();
        *client = {};
        client->answer = -1;
        client->number = (uint32_t)history->clients.size() - 1;
        client->open.idempotent = history->chance(30);
        client->open.deadline_us =
            history->now_us + 20 * MS + history->below(4000 * MS);
        attempt(entry, client, MB_KIND_UNAVAILABLE);
    }
    else if (event.event_kind == FRAME && event.to_sidecar) {
        deliver_to_sidecar(event);
    }
    else if (event.event_kind == FRAME) {
        deliver_to_entry(history, event);
    }
    else if (event.event_kind == RUN_ENDS && !event.sidecar->dead) {
        event.sidecar->running--;
        if (!event.to_sidecar) {
            mb_slots_request_not_run(&event.sidecar->slots, &event.id,
                                     MB_KIND_UNAVAILABLE);
            return;
        }
        char text[16];
        mb_response_t response;
        (void)snprintf(text, sizeof(text), "%u",
                       history->client_number(event.id));
        response.id = event.id;
        response.status = 200;
        response.headers.count = 0;
        response.body = {text, strlen(text) + 1};
        response.last = true;
        mb_slots_request_finished(&event.sidecar->slots, &response);
    }
    else if (event.event_kind == FAULT) {
        inject_fault(history);
    }
    else if (event.event_kind == LINK_LOST &&
             entry->links[event.sidecar->index] == event.link) {
        entry->usable[event.sidecar->index] = false;
        mb_request_link_lost(&entry->table, event.sidecar);
    }
    else if (event.event_kind == LINK_REPLACED && !event.sidecar->dead &&
             entry->links[event.sidecar->index] == event.link) {
        (void)connect(history, entry, event.sidecar);
        mb_request_link_replaced(&entry->table, event.sidecar);
    }
    else if (event.event_kind == SIDECAR_GONE) {
        mb_request_peer_gone(&entry->table, event.sidecar);
        if (entry->links[event.sidecar->index]->sidecar == event.sidecar) {
            (void)connect(history, entry,
                          history->current[event.sidecar->index]);
        }
    }
    else if (event.event_kind == TICK) {
        for (Entry &each : history->entries) {
            if (each.paused_until_us <= history->now_us) {
                mb_request_tick(&each.table);
            }
        }
        for (Sidecar *sidecar : history->current) {
            mb_slots_tick(&sidecar->slots);
        }
    }
}

/* Returns the entry at which an event happens, or NULL. */
Entry *
find_entry(History *history, const Event &event)
{
    if (event.event_kind == FRAME) {
        return event.to_sidecar ? nullptr
                                : &history->entries[event.link->entry];
    }
    bool at_entry =
        event.event_kind == REQUEST_ARRIVES || event.event_kind == LINK_LOST ||
        event.event_kind == LINK_REPLACED || event.event_kind == SIDECAR_GONE;
    return at_entry ? &history->entries[event.index] : nullptr;
}

/* Handles events in order of time until none is left. Events of a paused entry
   are postponed until its pause is over. Faults and ticks go on while requests
   are open or still to arrive, and until the minimum of events is reached. */
void
run(History *history)
{
    while (!history->queue.empty() && !::testing::Test::HasFatalFailure()) {
        Event event = history->queue.top();
        history->queue.pop();
        history->now_us = event.at_us;
        history->events++;
        Entry *entry = find_entry(history, event);
        if (entry != nullptr && entry->paused_until_us > event.at_us) {
            history->push(event, entry->paused_until_us);
            continue;
        }
        if (event.event_kind == FRAME && event.link->cut) {
            continue;
        }
        handle_event(history, event);
        bool open = history->answered < history->clients.size() ||
                    history->arrivals_left > 0 || history->events < EVENTS;
        if (event.event_kind == REQUEST_ARRIVES &&
            --history->arrivals_left > 0) {
            event.index = (uint32_t)history->below(ENTRIES);
            history->push(event, event.at_us + history->below(150 * MS));
        }
        if (event.event_kind == FAULT && open) {
            history->push(event, event.at_us + history->below(1200 * MS));
        }
        if (event.event_kind == TICK && open) {
            history->push(event, event.at_us + 100 * MS);
        }
    }
}

/* Runs one history; returns the number of its events. */
uint32_t
run_seed(uint64_t seed)
{
    History history;
    mb_rng_seeded_init(&history.seeded, seed);
    history.rng = mb_rng_from_seeded(&history.seeded);
    mb_clock_t clock = {read_time, &history};
    for (uint32_t s = 0; s < SIDECARS; s++) {
        start_sidecar(&history, s);
    }
    for (uint32_t e = 0; e < ENTRIES; e++) {
        Entry *entry = &history.entries[e];
        entry->history = &history;
        entry->index = e;
        mb_request_callbacks_t callbacks = {
            on_retry,       on_fail,        on_send_outcome_ask,
            on_send_cancel, on_spend_retry, entry};
        mb_request_table_init(&entry->table, &clock, &callbacks);
        for (Sidecar *sidecar : history.current) {
            (void)connect(&history, entry, sidecar);
        }
    }
    for (EventKind event_kind : {REQUEST_ARRIVES, FAULT, TICK}) {
        history.push({0,
                      0,
                      event_kind,
                      MB_MESSAGE_PING,
                      false,
                      nullptr,
                      nullptr,
                      {},
                      0,
                      0},
                     history.now_us);
    }
    run(&history);
    for (auto &client : history.clients) {
        EXPECT_NE(client->answer, -1) << "client got no answer";
        EXPECT_FALSE(client->answer >= 0 && client->answer < MB_KIND_COUNT &&
                     !mb_kind_info((mb_kind_t)client->answer)->may_have_run &&
                     client->starts > 0)
            << "ran although it was reported as not run";
    }
    for (Entry &entry : history.entries) {
        mb_request_table_finish(&entry.table);
    }
    for (auto &sidecar : history.sidecars) {
        mb_slots_finish(&sidecar->slots);
    }
    return history.events;
}

/* Reads a number from an environment variable. */
uint64_t
number_from_env(const char *name, uint64_t fallback)
{
    const char *text = getenv(name);
    return text != nullptr ? strtoull(text, nullptr, 10) : fallback;
}

} // namespace

TEST(RequestHistory, RunsAndReportsRequestsCorrectlyUnderFaults)
{
    uint64_t first = number_from_env("MB_SEED", 20261204);
    uint64_t count = number_from_env("MB_HISTORIES", 1000);
    uint64_t events = 0;
    auto begin = std::chrono::steady_clock::now();
    for (uint64_t i = 0; i < count; i++) {
        uint32_t event_count = run_seed(first + i);
        ASSERT_FALSE(HasFailure()) << "MB_HISTORIES=1 MB_SEED=" << first + i;
        ASSERT_GE(event_count, EVENTS);
        events += event_count;
    }
    std::chrono::duration<double> took =
        std::chrono::steady_clock::now() - begin;
    printf("histories=%lu first_seed=%lu events=%lu seconds=%.3f\n", count,
           first, events, took.count());
}
