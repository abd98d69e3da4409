/* Tests of the replica of a stream: duplicates, snapshots, gaps, and processes
   that start late. */
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <string>
#include <vector>

extern "C" {
#include "mb_record.h"
}

namespace {

struct StoredRecord {
    std::string bytes;
    uint64_t time_ms;
};

/* A replica in one process. Its state is the list of the records applied, by
   key, so that it depends on their order and number. */
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
    mb_feed_result_t feed(const StoredRecord &stored, uint64_t offset)
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

/* The log, its clock, and the writers. */
struct LogModel {
    std::vector<StoredRecord> log;
    uint64_t time_ms = 1;
    uint64_t earliest = 0;
    /* By writer: the last sequence number, and the last record. */
    std::map<uint64_t, uint64_t> sequences;
    std::map<uint64_t, std::string> last_bytes;

    void append(const mb_record_t *record)
    {
        mb_buf_t out = {};
        mb_record_encode(&out, record);
        log.push_back({std::string(out.data, out.len), time_ms});
        last_bytes[record->writer] = log.back().bytes;
        mb_buf_finish(&out);
    }
    void append_data(uint64_t writer, const std::string &text)
    {
        mb_record_t record = {};
        record.writer = writer;
        record.sequence = ++sequences[writer];
        record.payload = {text.data(), text.size()};
        append(&record);
    }
    /* Appends a snapshot of the state of `reader`, or only its first
       `max_records` records. */
    void append_snapshot(Reader &reader, uint64_t writer, uint64_t id,
                         int max_records)
    {
        struct Emit {
            LogModel *model;
            uint64_t writer;
            int max_records;
        } emit = {this, writer, max_records};
        mb_replica_save(
            &reader.replica, id,
            [](void *c, const mb_record_t *part) {
                auto *e = static_cast<Emit *>(c);
                mb_record_t record = *part;
                record.writer = e->writer;
                record.sequence = ++e->model->sequences[e->writer];
                if (e->max_records-- > 0) {
                    e->model->append(&record);
                }
            },
            &emit);
    }
};

} // namespace

/* Guards against a process that starts from a snapshot and gets another state
   than one that replayed all records. The log holds duplicate records and
   incomplete snapshots; a lost or repeated record shows in the state. */
RC_GTEST_PROP(Replica, ReplicaFromASnapshotEqualsAFullReplay, ())
{
    LogModel model;
    Reader full(1), snapshot_writer(2);
    mb_replica_start(&full.replica, 0);
    mb_replica_start(&snapshot_writer.replica, 0);
    uint64_t full_next = 0, snapshot_writer_next = 0;
    uint64_t snapshot_id = 100;
    auto steps =
        *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 100));
    for (int step : steps) {
        uint64_t writer = 10 + static_cast<uint64_t>(step % 3);
        model.time_ms += static_cast<uint64_t>(step % 7);
        /* A new record, a duplicate, replay by the writer of snapshots, or a
           snapshot, of which every third is incomplete. */
        if (step < 55) {
            model.append_data(writer, std::string(1, char('a' + step % 5)) +
                                          std::to_string(step));
        }
        else if (step < 75 && model.last_bytes.count(writer) > 0) {
            model.log.push_back({model.last_bytes[writer], model.time_ms});
        }
        else if (step < 85) {
            while (snapshot_writer_next < model.log.size()) {
                snapshot_writer.feed(model.log[snapshot_writer_next],
                                     snapshot_writer_next);
                snapshot_writer_next++;
            }
        }
        else {
            model.append_snapshot(snapshot_writer, 2, ++snapshot_id,
                                  step < 90 ? 2 : 1000);
        }
    }
    while (snapshot_writer_next < model.log.size()) {
        snapshot_writer.feed(model.log[snapshot_writer_next],
                             snapshot_writer_next);
        snapshot_writer_next++;
    }
    uint64_t start = *rc::gen::inRange<uint64_t>(1, model.log.size() + 1);
    model.append_snapshot(snapshot_writer, 2, ++snapshot_id, 1000);
    for (; full_next < model.log.size(); full_next++) {
        full.feed(model.log[full_next], full_next);
    }
    Reader late(3);
    mb_replica_start(&late.replica, start);
    for (uint64_t i = start; i < model.log.size(); i++) {
        RC_ASSERT(late.feed(model.log[i], i) != MB_FEED_GAP);
    }
    RC_ASSERT(mb_replica_ready(&late.replica));
    RC_ASSERT(late.state == full.state);
    RC_ASSERT(snapshot_writer.state == full.state);
}

/* Guards against a record that is applied twice by a process that starts from
   a snapshot, because a retry appends the record again after the snapshot. */
TEST(Replica, SnapshotKeepsTheTableOfWriters)
{
    LogModel model;
    Reader snapshot_writer(2), late(3);
    mb_replica_start(&snapshot_writer.replica, 0);
    model.append_data(10, "a1");
    std::string first = model.log[0].bytes;
    snapshot_writer.feed(model.log[0], 0);
    model.append_snapshot(snapshot_writer, 2, 7, 1000);
    model.log.push_back({first, 2});
    mb_replica_start(&late.replica, 1);
    for (uint64_t i = 1; i < model.log.size(); i++) {
        late.feed(model.log[i], i);
    }
    EXPECT_EQ(late.state["a"], "a1");
}

/* Guards against replay that goes on although records are missing, and against
   an empty state while a process waits for a snapshot. */
TEST(Replica, GapIsDetectedAndStateStaysUntilReloaded)
{
    LogModel model;
    Reader reader(2), snapshot_writer(3);
    mb_replica_start(&reader.replica, 0);
    mb_replica_start(&snapshot_writer.replica, 0);
    model.append_data(10, "a1");
    model.append_data(10, "a2");
    reader.feed(model.log[0], 0);
    snapshot_writer.feed(model.log[0], 0);
    snapshot_writer.feed(model.log[1], 1);
    model.append_snapshot(snapshot_writer, 3, 9, 1000);
    EXPECT_EQ(reader.feed(model.log[2], 2), MB_FEED_GAP);
    mb_replica_start(&reader.replica, 2);
    EXPECT_FALSE(mb_replica_ready(&reader.replica));
    EXPECT_EQ(reader.state["a"], "a1");
    for (uint64_t i = 2; i < model.log.size(); i++) {
        reader.feed(model.log[i], i);
    }
    EXPECT_TRUE(mb_replica_ready(&reader.replica));
    EXPECT_EQ(reader.state["a"], "a1a2");
}

/* Guards against a crash on foreign or damaged bytes in the log. */
RC_GTEST_PROP(Record, DecodesOrRejectsAnyBytes, (const std::string &bytes))
{
    static mb_record_decoder_t decoder;
    mb_record_t record;
    RC_ASSERT(mb_record_decoder_init(&decoder));
    (void)mb_record_decode(&decoder, mb_str_t{bytes.data(), bytes.size()},
                           &record);
    mb_record_decoder_finish(&decoder);
}

/* Guards against records that are removed by retention before a snapshot
   includes them. A snapshot is due after a quarter of the retention time, at
   the latest after a half, and not while a newer one exists. */
TEST(Replica, SnapshotIsDueWellBeforeRecordsExpire)
{
    LogModel model;
    Reader reader(2);
    mb_replica_start(&reader.replica, 0);
    model.time_ms = 1000;
    EXPECT_FALSE(mb_replica_snapshot_due(&reader.replica, 100000, 0, 0));
    model.append_data(10, "a1");
    reader.feed(model.log[0], 0);
    EXPECT_FALSE(mb_replica_snapshot_due(&reader.replica, 1250, 0, 0));
    EXPECT_TRUE(mb_replica_snapshot_due(&reader.replica, 1251, 0, 0));
    EXPECT_FALSE(mb_replica_snapshot_due(&reader.replica, 1251, 1, 0));
    EXPECT_TRUE(mb_replica_snapshot_due(&reader.replica, 1501, 1000, 999));
    model.time_ms = 1300;
    model.append_snapshot(reader, 2, 5, 1000);
    for (uint64_t i = 1; i < model.log.size(); i++) {
        reader.feed(model.log[i], i);
    }
    EXPECT_FALSE(mb_replica_snapshot_due(&reader.replica, 1550, 0, 0));
    EXPECT_TRUE(mb_replica_snapshot_due(&reader.replica, 1551, 0, 0));
}

/* Guards against a snapshot of an old state, written by a process that was
   paused, that counts as a new one. No other snapshot would then follow before
   retention removes the records after that state, and a process that starts
   later could not load any state. */
TEST(Replica, SnapshotOfAnOldStateDoesNotCoverLaterRecords)
{
    LogModel model;
    Reader reader(2), paused(3);
    mb_replica_start(&reader.replica, 0);
    mb_replica_start(&paused.replica, 0);
    model.time_ms = 1000;
    model.append_data(10, "a1");
    reader.feed(model.log[0], 0);
    paused.feed(model.log[0], 0);
    model.time_ms = 1100;
    model.append_data(10, "a2");
    model.time_ms = 1900;
    model.append_snapshot(paused, 3, 5, 1000);
    for (uint64_t i = 1; i < model.log.size(); i++) {
        reader.feed(model.log[i], i);
    }
    EXPECT_EQ(reader.replica.covered_until_ms, 1100u);
    EXPECT_TRUE(mb_replica_snapshot_due(&reader.replica, 1900, 0, 0));
}
