/* Randomised histories of mb_request and mb_slots under virtual time. A fake
   network delays frames, loses and repeats them, goes silent, cuts links and
   replaces them; processes pause, drain and crash. Guards against a request
   that runs twice, one that is reported as not run although it ran, a wrong
   or missing answer, too many requests at an upstream and new work after a
   drain. MB_HISTORIES and MB_SEED set the number and the first seed. */
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
const uint32_t EVENTS = 200;
const uint64_t MS = 1000;

struct History;

/* One sidecar process; a crash makes the next one. */
struct Sidecar {
    History *history;
    uint32_t index;
    uint32_t running = 0;
    bool dead = false;
    uint64_t drain_us = 0;
    mb_slots_t slots;
};

/* One link of an entry and a sidecar; a replaced one may still deliver. */
struct Link {
    Sidecar *sidecar;
    uint32_t entry;
    bool cut = false;
    bool silent = false;
    uint64_t last_us[2] = {0, 0};
};

struct Client {
    mb_open_request_t open; /* first, as mb_request.h asks for */
    uint32_t number;
    uint32_t entry;
    uint32_t starts = 0;
    int answer = -1; /* an error kind, or MB_KIND_COUNT for a response */
};

struct Entry {
    History *history;
    uint32_t index;
    uint64_t paused_until_us = 0;
    uint64_t counter = 0;
    mb_request_table_t table;
    Link *links[SIDECARS] = {};
    bool usable[SIDECARS] = {};
};

enum What { ARRIVE, FRAME, RUN_ENDS, TICK, FAULT, LOST, REPLACE, GONE };

struct Event {
    uint64_t at_us;
    uint64_t order;
    What what;
    mb_message_type_t type;
    bool to_sidecar;
    Link *link;
    Sidecar *sidecar;
    mb_request_id_t id;
    uint32_t value; /* number of the client's request, state or reason */
    uint32_t index;
    bool operator<(const Event &other) const
    {
        return at_us != other.at_us ? at_us > other.at_us
                                    : order > other.order;
    }
};

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

    uint32_t number_of(const mb_request_id_t &id)
    {
        return attempts[id.counter - 1].second;
    }

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
now_of(void *context)
{
    return static_cast<History *>(context)->now_us;
}

/* Callbacks of a sidecar. */
Link *
link_to(Sidecar *sidecar, const mb_request_id_t *id)
{
    Link *link =
        sidecar->history->entries[id->process - 1].links[sidecar->index];
    return link != nullptr && link->sidecar == sidecar ? link : nullptr;
}

void
on_start(void *context, const mb_request_t *request)
{
    Sidecar *sidecar = static_cast<Sidecar *>(context);
    History *history = sidecar->history;
    bool reached = !history->chance(3);
    Client &client = *history->clients[history->number_of(request->id)];
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
                     !mb_kind_answer((mb_kind_t)client.answer)->may_have_run)
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

/* Callbacks of an entry. */
void
answer(History *history, Client *client, int kind)
{
    ASSERT_EQ(client->answer, -1) << "answered twice";
    client->answer = kind;
    history->answered++;
    if (kind < MB_KIND_COUNT &&
        !mb_kind_answer((mb_kind_t)kind)->may_have_run) {
        ASSERT_EQ(client->starts, 0u) << "reported as not run after it ran";
    }
}

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
on_ask(void *context, const void *peer, const mb_outcome_ask_t *ask)
{
    Entry *entry = static_cast<Entry *>(context);
    const Sidecar *sidecar = static_cast<const Sidecar *>(peer);
    for (uint32_t i = 0; i < ask->count; i++) {
        entry->history->send(entry->links[sidecar->index], true,
                             MB_MESSAGE_OUTCOME_ASK, ask->ids[i], 0);
    }
}

void
on_cancel(void *context, const void *peer, const mb_request_id_t *id)
{
    Entry *entry = static_cast<Entry *>(context);
    const Sidecar *sidecar = static_cast<const Sidecar *>(peer);
    Link *link = entry->links[sidecar->index];
    if (link != nullptr && link->sidecar == sidecar) {
        entry->history->send(link, true, MB_MESSAGE_CANCEL, *id, 0);
    }
}

bool
on_spend(void *context)
{
    return !static_cast<Entry *>(context)->history->chance(10);
}

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

void
boot(History *history, uint32_t index)
{
    history->sidecars.push_back(std::make_unique<Sidecar>());
    Sidecar *sidecar = history->sidecars.back().get();
    sidecar->history = history;
    sidecar->index = index;
    mb_clock_t clock = {now_of, history};
    mb_slots_config_t config = {2, 2, history->chance(50) ? 4u : 64u,
                                MB_SLOTS_RESPONSE_BYTES_MAX};
    mb_slots_callbacks_t callbacks = {on_start, on_refuse, on_respond,
                                      on_outcome, sidecar};
    mb_slots_init(&sidecar->slots, &config, &clock, &callbacks);
    history->current[index] = sidecar;
}

void
frame_to_sidecar(const Event &event)
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

void
frame_to_entry(History *history, const Event &event)
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
            ASSERT_EQ(client->number, event.value) << "another's answer";
            answer(history, client, MB_KIND_COUNT);
        }
    }
    else if (event.type == MB_MESSAGE_DRAIN &&
             entry->links[event.link->sidecar->index] == event.link) {
        entry->usable[event.link->sidecar->index] = false;
    }
}

/* One fault, chosen at random. */
void
fault(History *history)
{
    Entry *entry = &history->entries[history->below(ENTRIES)];
    Sidecar *sidecar = history->current[history->below(SIDECARS)];
    Link *link = entry->links[sidecar->index];
    Event event = {0,       0,  LOST, MB_MESSAGE_PING, false, link,
                   sidecar, {}, 0,    entry->index};
    uint64_t kind = history->below(100);
    if (kind < 70 && link != nullptr && link->sidecar == sidecar) {
        bool silent = kind < 35;
        (silent ? link->silent : link->cut) = true;
        /* A silent link is replaced without the entry seeing an end. */
        if (!silent) {
            history->push(event, history->now_us + history->below(100 * MS));
        }
        event.what = REPLACE;
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
        boot(history, sidecar->index);
        for (Entry &each : history->entries) {
            event.what = GONE;
            event.index = each.index;
            history->push(event, history->now_us + history->below(3000 * MS));
        }
    }
}

void
apply(History *history, const Event &event)
{
    Entry *entry = &history->entries[event.index];
    if (event.what == ARRIVE) {
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
    else if (event.what == FRAME && event.to_sidecar) {
        frame_to_sidecar(event);
    }
    else if (event.what == FRAME) {
        frame_to_entry(history, event);
    }
    else if (event.what == RUN_ENDS && !event.sidecar->dead) {
        event.sidecar->running--;
        if (!event.to_sidecar) {
            mb_slots_request_not_run(&event.sidecar->slots, &event.id,
                                     MB_KIND_UNAVAILABLE);
            return;
        }
        char text[16];
        mb_response_t response;
        (void)snprintf(text, sizeof(text), "%u", history->number_of(event.id));
        response.id = event.id;
        response.status = 200;
        response.headers.count = 0;
        response.body = {text, strlen(text) + 1};
        response.last = true;
        mb_slots_request_finished(&event.sidecar->slots, &response);
    }
    else if (event.what == FAULT) {
        fault(history);
    }
    else if (event.what == LOST &&
             entry->links[event.sidecar->index] == event.link) {
        entry->usable[event.sidecar->index] = false;
        mb_request_link_lost(&entry->table, event.sidecar);
    }
    else if (event.what == REPLACE && !event.sidecar->dead &&
             entry->links[event.sidecar->index] == event.link) {
        (void)connect(history, entry, event.sidecar);
        mb_request_link_replaced(&entry->table, event.sidecar);
    }
    else if (event.what == GONE) {
        mb_request_peer_gone(&entry->table, event.sidecar);
        if (entry->links[event.sidecar->index]->sidecar == event.sidecar) {
            (void)connect(history, entry,
                          history->current[event.sidecar->index]);
        }
    }
    else if (event.what == TICK) {
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
entry_of(History *history, const Event &event)
{
    if (event.what == FRAME) {
        return event.to_sidecar ? nullptr
                                : &history->entries[event.link->entry];
    }
    bool at_entry = event.what == ARRIVE || event.what == LOST ||
                    event.what == REPLACE || event.what == GONE;
    return at_entry ? &history->entries[event.index] : nullptr;
}

void
run(History *history)
{
    while (!history->queue.empty() && !::testing::Test::HasFatalFailure()) {
        Event event = history->queue.top();
        history->queue.pop();
        history->now_us = event.at_us;
        history->events++;
        Entry *entry = entry_of(history, event);
        if (entry != nullptr && entry->paused_until_us > event.at_us) {
            history->push(event, entry->paused_until_us);
            continue;
        }
        if (event.what == FRAME && event.link->cut) {
            continue;
        }
        apply(history, event);
        bool open = history->answered < history->clients.size() ||
                    history->arrivals_left > 0 || history->events < EVENTS;
        if (event.what == ARRIVE && --history->arrivals_left > 0) {
            event.index = (uint32_t)history->below(ENTRIES);
            history->push(event, event.at_us + history->below(150 * MS));
        }
        if (event.what == FAULT && open) {
            history->push(event, event.at_us + history->below(1200 * MS));
        }
        if (event.what == TICK && open) {
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
    mb_clock_t clock = {now_of, &history};
    for (uint32_t s = 0; s < SIDECARS; s++) {
        boot(&history, s);
    }
    for (uint32_t e = 0; e < ENTRIES; e++) {
        Entry *entry = &history.entries[e];
        entry->history = &history;
        entry->index = e;
        mb_request_callbacks_t callbacks = {on_retry,  on_fail,  on_ask,
                                            on_cancel, on_spend, entry};
        mb_request_table_init(&entry->table, &clock, &callbacks);
        for (Sidecar *sidecar : history.current) {
            (void)connect(&history, entry, sidecar);
        }
    }
    for (What what : {ARRIVE, FAULT, TICK}) {
        history.push(
            {0, 0, what, MB_MESSAGE_PING, false, nullptr, nullptr, {}, 0, 0},
            history.now_us);
    }
    run(&history);
    for (auto &client : history.clients) {
        EXPECT_NE(client->answer, -1) << "a client got no answer";
        EXPECT_FALSE(
            client->answer >= 0 && client->answer < MB_KIND_COUNT &&
            !mb_kind_answer((mb_kind_t)client->answer)->may_have_run &&
            client->starts > 0)
            << "ran although reported as not run";
    }
    for (Entry &entry : history.entries) {
        mb_request_table_finish(&entry.table);
    }
    for (auto &sidecar : history.sidecars) {
        mb_slots_finish(&sidecar->slots);
    }
    return history.events;
}

uint64_t
number_from(const char *name, uint64_t fallback)
{
    const char *text = getenv(name);
    return text != nullptr ? strtoull(text, nullptr, 10) : fallback;
}

} // namespace

TEST(RequestHistory, KeepsItsPromisesUnderFaults)
{
    uint64_t first = number_from("MB_SEED", 20261204);
    uint64_t count = number_from("MB_HISTORIES", 1000);
    uint64_t events = 0;
    auto begin = std::chrono::steady_clock::now();
    for (uint64_t i = 0; i < count; i++) {
        uint32_t ran = run_seed(first + i);
        ASSERT_FALSE(HasFailure()) << "MB_HISTORIES=1 MB_SEED=" << first + i;
        ASSERT_GE(ran, EVENTS);
        events += ran;
    }
    std::chrono::duration<double> took =
        std::chrono::steady_clock::now() - begin;
    printf("histories=%lu first_seed=%lu events=%lu seconds=%.3f\n", count,
           first, events, took.count());
}
