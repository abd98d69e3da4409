/* Tests of replay: deduplication, snapshots, gaps and late starters. */
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <string>
#include <vector>

extern "C" {
#include "mb_record.h"
}

namespace {

struct Stored {
    std::string bytes;
    uint64_t time_ms;
};

/* A state that depends on the order and number of records: per key the list
   of the values applied. */
struct Reader {
    mb_replica_t replica;
    mb_record_decoder_t decoder;
    std::map<std::string, std::string> state, loading;
    bool in_load = false;

    explicit Reader(uint64_t writer)
    {
        mb_replica_config_t config = {writer, 1000, true};
        mb_log_t log = mb_log_null();
        mb_replica_callbacks_t callbacks = {};
        callbacks.apply = [](void *c, const mb_record_t *r, bool) {
            std::string text(r->payload.data, r->payload.len);
            static_cast<Reader *>(c)->state[text.substr(0, 1)] += text;
        };
        callbacks.reset = [](void *c) {
            static_cast<Reader *>(c)->loading.clear();
        };
        callbacks.load = [](void *c, mb_str_t chunk) {
            std::string text(chunk.data, chunk.len);
            static_cast<Reader *>(c)->loading[text.substr(0, 1)] =
                text.substr(1);
            return true;
        };
        callbacks.loaded = [](void *c, uint64_t) {
            auto *self = static_cast<Reader *>(c);
            self->state = self->loading;
        };
        callbacks.save = [](void *c, void (*emit)(void *, mb_str_t), void *e) {
            for (auto &item : static_cast<Reader *>(c)->state) {
                std::string text = item.first + item.second;
                emit(e, mb_str_t{text.data(), text.size()});
            }
        };
        callbacks.context = this;
        mb_replica_init(&replica, &config, &callbacks, &log);
        (void)mb_record_decoder_init(&decoder);
    }
    ~Reader()
    {
        mb_replica_finish(&replica);
        mb_record_decoder_finish(&decoder);
    }
    mb_feed_result_t feed(const Stored &stored, uint64_t offset)
    {
        mb_record_t record;
        EXPECT_TRUE(mb_record_decode(
            &decoder, mb_str_t{stored.bytes.data(), stored.bytes.size()},
            &record));
        record.offset = offset;
        record.time_ms = stored.time_ms;
        return mb_replica_feed(&replica, &record);
    }
};

/* The log, its time, and writers that may repeat what they wrote. */
struct World {
    std::vector<Stored> log;
    uint64_t time_ms = 1;
    uint64_t earliest = 0;
    std::map<uint64_t, uint64_t> sequences;
    std::map<uint64_t, std::string> last;

    void store(const mb_record_t *record)
    {
        mb_buf_t out = {};
        mb_record_encode(&out, record);
        log.push_back({std::string(out.data, out.len), time_ms});
        last[record->writer] = log.back().bytes;
        mb_buf_finish(&out);
    }
    void data(uint64_t writer, const std::string &text)
    {
        mb_record_t record = {};
        record.writer = writer;
        record.sequence = ++sequences[writer];
        record.payload = {text.data(), text.size()};
        store(&record);
    }
    /* Writes a snapshot of what `reader` has read; `parts` cuts it short. */
    void snapshot(Reader &reader, uint64_t writer, uint64_t id, int parts)
    {
        struct Emit {
            World *world;
            uint64_t writer;
            int parts;
        } emit = {this, writer, parts};
        mb_replica_save(
            &reader.replica, id,
            [](void *c, const mb_record_t *part) {
                auto *e = static_cast<Emit *>(c);
                mb_record_t record = *part;
                record.writer = e->writer;
                record.sequence = ++e->world->sequences[e->writer];
                if (e->parts-- > 0) {
                    e->world->store(&record);
                }
            },
            &emit);
    }
};

} // namespace

/* Guards against a late reader whose state differs from that of a reader
   that saw everything: lost or doubled records, broken snapshots. */
RC_GTEST_PROP(Replica, LateStarterEqualsFullReader, ())
{
    World world;
    Reader full(1), saver(2);
    mb_replica_start(&full.replica, 0);
    mb_replica_start(&saver.replica, 0);
    uint64_t full_next = 0, saver_next = 0;
    uint64_t snapshot_id = 100;
    auto steps =
        *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 100));
    for (int step : steps) {
        uint64_t writer = 10 + static_cast<uint64_t>(step % 3);
        world.time_ms += static_cast<uint64_t>(step % 7);
        if (step < 55) {
            world.data(writer, std::string(1, char('a' + step % 5)) +
                                   std::to_string(step));
        }
        else if (step < 75 && world.last.count(writer) > 0) {
            world.log.push_back({world.last[writer], world.time_ms});
        }
        else if (step < 85) {
            while (saver_next < world.log.size()) {
                saver.feed(world.log[saver_next], saver_next);
                saver_next++;
            }
        }
        else {
            world.snapshot(saver, 2, ++snapshot_id, step < 90 ? 2 : 1000);
        }
    }
    while (saver_next < world.log.size()) {
        saver.feed(world.log[saver_next], saver_next);
        saver_next++;
    }
    uint64_t cut = *rc::gen::inRange<uint64_t>(1, world.log.size() + 1);
    world.snapshot(saver, 2, ++snapshot_id, 1000);
    for (; full_next < world.log.size(); full_next++) {
        full.feed(world.log[full_next], full_next);
    }
    Reader late(3);
    mb_replica_start(&late.replica, cut);
    for (uint64_t i = cut; i < world.log.size(); i++) {
        RC_ASSERT(late.feed(world.log[i], i) != MB_FEED_GAP);
    }
    RC_ASSERT(mb_replica_ready(&late.replica));
    RC_ASSERT(late.state == full.state);
    RC_ASSERT(saver.state == full.state);
}

/* Guards against a retry that lands after the snapshot and is applied twice
   by a reader that starts from it. */
TEST(Replica, SnapshotKeepsTheWritersTable)
{
    World world;
    Reader saver(2), late(3);
    mb_replica_start(&saver.replica, 0);
    world.data(10, "a1");
    std::string first = world.log[0].bytes;
    saver.feed(world.log[0], 0);
    world.snapshot(saver, 2, 7, 1000);
    world.log.push_back({first, 2});
    mb_replica_start(&late.replica, 1);
    for (uint64_t i = 1; i < world.log.size(); i++) {
        late.feed(world.log[i], i);
    }
    EXPECT_EQ(late.state["a"], "a1");
}

/* Guards against reading on over missing records, and against showing an
   empty state while a reader reloads. */
TEST(Replica, GapIsFoundAndStateStaysUntilReloaded)
{
    World world;
    Reader reader(2), saver(3);
    mb_replica_start(&reader.replica, 0);
    mb_replica_start(&saver.replica, 0);
    world.data(10, "a1");
    world.data(10, "a2");
    reader.feed(world.log[0], 0);
    saver.feed(world.log[0], 0);
    saver.feed(world.log[1], 1);
    world.snapshot(saver, 3, 9, 1000);
    EXPECT_EQ(reader.feed(world.log[2], 2), MB_FEED_GAP);
    mb_replica_start(&reader.replica, 2);
    EXPECT_FALSE(mb_replica_ready(&reader.replica));
    EXPECT_EQ(reader.state["a"], "a1");
    for (uint64_t i = 2; i < world.log.size(); i++) {
        reader.feed(world.log[i], i);
    }
    EXPECT_TRUE(mb_replica_ready(&reader.replica));
    EXPECT_EQ(reader.state["a"], "a1a2");
}

/* Guards against a crash or a wrong record on bytes from elsewhere. */
RC_GTEST_PROP(Record, AnyBytesAreRefusedOrDecoded, (const std::string &bytes))
{
    static mb_record_decoder_t decoder;
    mb_record_t record;
    RC_ASSERT(mb_record_decoder_init(&decoder));
    (void)mb_record_decode(&decoder, mb_str_t{bytes.data(), bytes.size()},
                           &record);
    mb_record_decoder_finish(&decoder);
}

/* Guards against records that expire before a snapshot holds them: one is due
   after a quarter of the retention time and at the latest after a half, and
   not while a newer one exists. */
TEST(Replica, SnapshotIsDueWellBeforeRecordsExpire)
{
    World world;
    Reader reader(2);
    mb_replica_start(&reader.replica, 0);
    world.time_ms = 1000;
    EXPECT_FALSE(mb_replica_snapshot_due(&reader.replica, 100000, 0, 0));
    world.data(10, "a1");
    reader.feed(world.log[0], 0);
    EXPECT_FALSE(mb_replica_snapshot_due(&reader.replica, 1250, 0, 0));
    EXPECT_TRUE(mb_replica_snapshot_due(&reader.replica, 1251, 0, 0));
    EXPECT_FALSE(mb_replica_snapshot_due(&reader.replica, 1251, 1, 0));
    EXPECT_TRUE(mb_replica_snapshot_due(&reader.replica, 1501, 1000, 999));
    world.time_ms = 1300;
    world.snapshot(reader, 2, 5, 1000);
    for (uint64_t i = 1; i < world.log.size(); i++) {
        reader.feed(world.log[i], i);
    }
    EXPECT_FALSE(mb_replica_snapshot_due(&reader.replica, 1550, 0, 0));
    EXPECT_TRUE(mb_replica_snapshot_due(&reader.replica, 1551, 0, 0));
}

/* Guards against a snapshot of an old state, by a writer that was paused, that
   counts as a new one: no other would follow before the records after its
   state have expired, and a late reader would find no state at all. */
TEST(Replica, ASnapshotOfAnOldStateCoversNoLaterRecords)
{
    World world;
    Reader reader(2), paused(3);
    mb_replica_start(&reader.replica, 0);
    mb_replica_start(&paused.replica, 0);
    world.time_ms = 1000;
    world.data(10, "a1");
    reader.feed(world.log[0], 0);
    paused.feed(world.log[0], 0);
    world.time_ms = 1100;
    world.data(10, "a2");
    world.time_ms = 1900;
    world.snapshot(paused, 3, 5, 1000);
    for (uint64_t i = 1; i < world.log.size(); i++) {
        reader.feed(world.log[i], i);
    }
    EXPECT_EQ(reader.replica.covered_until_ms, 1100u);
    EXPECT_TRUE(mb_replica_snapshot_due(&reader.replica, 1900, 0, 0));
}
