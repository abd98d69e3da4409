/* Simulation, in virtual time, of one scheduler that reads configurations from
   the log over a narrow link, and of clients that ask it for queues. The log,
   the link and the process are disturbed from outside. */
#ifndef CONFIG_SIMULATION_H
#define CONFIG_SIMULATION_H

#include <algorithm>
#include <string>
#include <vector>

extern "C" {
#include "mb_config_reader.h"
#include "mb_job_request.h"
}

/* The bounds that the operators state, in milliseconds: a version is in force
   that long after its acknowledgement, at a process that has not been
   disturbed for the second time. */
static const uint64_t IN_FORCE_MS = 3000;
static const uint64_t CALM_MS = 4000;

/* A log of configurations behind a link. Connections may go silent for good; a
   read on such a connection, or on a new one while the log is silent, times
   out. So does a read whose answer takes longer than its idle time-out, which
   is stricter than the interface. */
class SlowLog {
  public:
    static constexpr uint64_t LINK_BYTES_PER_MS = 1250; /* 10 Mbit/s */
    static constexpr uint64_t ANSWER_MAX = 900 * 1024;
    static constexpr uint64_t LATENCY_MS = 9;

    bool silent = false; /* no call is answered */
    bool busy = false;   /* every call is rejected */
    uint64_t extra_latency_ms = 0;
    uint64_t first = 0; /* earliest offset retained */
    /* The records have the key "config". */
    std::vector<std::string> records;

    explicit SlowLog(uint64_t *now_us) : now_us_(now_us)
    {
        connections_.assign(IDLE_CONNECTIONS, true);
    }

    /* All open connections go silent. */
    void silence_connections()
    {
        std::fill(connections_.begin(), connections_.end(), false);
        for (Read &read : reads_) {
            read.live = false;
        }
    }

    /* Completes what is due. */
    void run()
    {
        for (size_t i = 0; i < reads_.size();) {
            Read read = reads_[i];
            start_answer(&read);
            reads_[i] = read;
            if (!is_due(read)) {
                i++;
                continue;
            }
            reads_.erase(reads_.begin() + (long)i);
            complete(read);
        }
    }

    mb_keyed_log_t callbacks()
    {
        return {on_append, on_read, on_newest, this};
    }

  private:
    static constexpr size_t IDLE_CONNECTIONS = 3;
    struct Read {
        mb_keyed_read_t call;
        bool newest;
        bool live; /* its connection carries the answer */
        uint64_t sent_us;
        uint64_t deadline_us;
        uint64_t end;         /* offset after the last record of the answer */
        uint64_t log_end;     /* end of the log when the answer began */
        uint64_t answered_us; /* 0: the answer has not begun */
    };

    static bool on_append(void *, const mb_keyed_append_t *)
    {
        return false;
    }
    static bool on_read(void *context, const mb_keyed_read_t *read)
    {
        return static_cast<SlowLog *>(context)->send(read, false);
    }
    static bool on_newest(void *context, const mb_keyed_read_t *read)
    {
        return static_cast<SlowLog *>(context)->send(read, true);
    }

    /* A read takes the idle connection that was used last, or a new one. */
    bool send(const mb_keyed_read_t *call, bool newest)
    {
        bool live = !silent;
        if (!connections_.empty()) {
            live = live && connections_.back();
            connections_.pop_back();
        }
        reads_.push_back({*call, newest, live, *now_us_,
                          *now_us_ + call->idle_timeout_ms * UINT64_C(1000), 0,
                          0, 0});
        return true;
    }

    /* Begins the answer of a read once there is something to answer. */
    void start_answer(Read *read)
    {
        uint64_t ready_us =
            read->sent_us + (LATENCY_MS + extra_latency_ms) * 1000;
        bool waits = !read->newest && read->call.from >= records.size() &&
                     *now_us_ < ready_us + read->call.wait_ms * UINT64_C(1000);
        if (read->answered_us != 0 || !read->live || silent ||
            *now_us_ < ready_us || (waits && !busy)) {
            return;
        }
        uint64_t bytes = 16;
        read->log_end = records.size();
        read->end = std::max(read->newest ? 0 : read->call.from, first);
        if (read->newest) {
            read->end = records.size();
            bytes += records.empty() ? 0 : records.back().size() * 4 / 3;
        }
        while (
            !busy && read->end < records.size() &&
            (bytes == 16 || bytes + records[read->end].size() <= ANSWER_MAX)) {
            bytes += records[read->end++].size();
        }
        link_free_us_ = std::max(link_free_us_, *now_us_) +
                        (busy ? 0 : bytes * 1000 / LINK_BYTES_PER_MS);
        read->answered_us = link_free_us_;
        if (read->answered_us > read->deadline_us) {
            link_free_us_ = read->deadline_us; /* the rest is not sent */
        }
    }

    bool is_due(const Read &read) const
    {
        return *now_us_ >= read.deadline_us ||
               (read.answered_us != 0 && *now_us_ >= read.answered_us &&
                read.live);
    }

    void complete(const Read &read)
    {
        mb_keyed_page_t page = {};
        std::vector<mb_keyed_record_t> views;
        bool answered = read.live && read.answered_us != 0 &&
                        read.answered_us <= read.deadline_us;
        page.result = !answered ? MB_KEYED_UNKNOWN
                      : busy    ? MB_KEYED_NOT_DONE
                                : MB_KEYED_OK;
        if (page.result == MB_KEYED_OK && !read.newest &&
            read.call.from < first) {
            page.result = MB_KEYED_TRIMMED;
        }
        if (answered) {
            connections_.push_back(true);
        }
        if (page.result == MB_KEYED_OK) {
            uint64_t from = read.newest
                                ? read.end - std::min<uint64_t>(read.end, 1)
                                : read.call.from;
            for (uint64_t i = from; i < read.end; i++) {
                views.push_back({MB_STR_LIT("config"),
                                 {records[i].data(), records[i].size()}});
            }
            page.end = read.log_end;
        }
        page.records = views.data();
        page.count = (uint32_t)views.size();
        read.call.done(read.call.context, &page);
    }

    uint64_t *now_us_;
    std::vector<bool> connections_; /* idle; false: silent */
    std::vector<Read> reads_;
    uint64_t link_free_us_ = 0;
};

/* Reads configurations as the scheduler does, and checks each request of a
   client against what had been acknowledged. */
class ConfigSimulation {
  public:
    uint64_t now_us = 1000000;
    SlowLog log{&now_us};
    bool frozen = false; /* the process does not run */
    bool disturbed = false;
    uint64_t disturbed_until_us = 0; /* end of the latest disturbance */
    uint64_t late = 0;     /* requests decided by a version too old, in calm
                              times */
    uint64_t overdue = 0;  /* the same at any time */
    uint64_t reverted = 0; /* by an older version than one before */
    uint64_t rejected = 0; /* for want of a recent version, in calm times */
    uint64_t decided = 0;
    std::string report; /* the first request that was late or rejected */

    ConfigSimulation()
    {
        mb_clock_t clock = {read_clock, &now_us};
        mb_log_t logger = mb_log_null();
        mb_keyed_log_t callbacks = log.callbacks();
        mb_config_decoder_t decoder = {decode, nullptr, this};
        mb_epoch_init(&epoch_);
        mb_queue_table_init(&table_, &epoch_);
        mb_config_reader_init(&reader, MB_STR_LIT("config"), &callbacks,
                              &table_, &decoder, nullptr, &clock, &logger);
    }
    ~ConfigSimulation()
    {
        mb_config_reader_finish(&reader);
        mb_queue_table_finish(&table_);
        mb_epoch_finish(&epoch_);
    }

    /* The operator writes the next version: `bytes` long, with one queue that
       only this version has. */
    void write(size_t bytes)
    {
        std::string text = std::to_string(++written_) + " ";
        log.records.push_back(text + std::string(bytes, 'x'));
        acknowledged_.push_back({now_us, written_});
    }

    void end_disturbance()
    {
        disturbed = false;
        disturbed_until_us = now_us;
    }

    void advance(uint64_t ms)
    {
        uint64_t end_us = now_us + ms * 1000;
        while (now_us < end_us) {
            now_us += STEP_MS * 1000;
            if (frozen) {
                continue;
            }
            log.run();
            if (now_us % (TICK_MS * 1000) == 0) {
                mb_config_reader_run(&reader);
                ask();
            }
        }
    }

    mb_config_reader_t reader;

  private:
    static constexpr uint64_t STEP_MS = 2;
    static constexpr uint64_t TICK_MS = 20;

    static uint64_t read_clock(void *context)
    {
        return *static_cast<uint64_t *>(context);
    }

    /* A configuration is its version and padding. */
    static bool decode(void *, mb_str_t, mb_str_t value,
                       void (*take)(void *, const mb_queue_version_t *),
                       void *take_context, GError **)
    {
        mb_queue_version_t version = {};
        mb_queue_t queue = {};
        mb_str_t rest = value;
        mb_str_t number = MB_STR_EMPTY;
        (void)mb_str_split(&rest, ' ', &number);
        EXPECT_TRUE(mb_str_to_u64(number, &version.version));
        std::string prefix = prefix_of(version.version);
        queue.name = MB_STR_LIT("queue");
        queue.host = MB_STR_LIT("host");
        queue.prefix = {prefix.data(), prefix.size()};
        queue.service = MB_STR_LIT("service");
        version.queue_count = 1;
        version.queues = &queue;
        take(take_context, &version);
        return true;
    }
    static std::string prefix_of(uint64_t version)
    {
        return "/v" + std::to_string(version) + "/";
    }

    /* A client asks for the queue of the version that must be in force. */
    void ask()
    {
        uint64_t required = 0;
        for (const auto &[acked_us, version] : acknowledged_) {
            if (acked_us + IN_FORCE_MS * 1000 < now_us) {
                required = version;
            }
        }
        bool calm =
            !disturbed && now_us >= disturbed_until_us + CALM_MS * 1000;
        std::string path = prefix_of(required);
        mb_job_request_target_t target = {};
        bool stale = mb_config_reader_age_us(&reader) > IN_FORCE_MS * 1000;
        mb_epoch_enter(&epoch_);
        const mb_queue_version_t *version = mb_queue_table_load(&table_);
        mb_job_request_result_t result = mb_job_request_resolve(
            version, stale, MB_STR_LIT("GET"), MB_STR_LIT("host"),
            {path.data(), path.size()}, &target);
        uint64_t used = version == nullptr ? 0 : version->version;
        mb_epoch_leave(&epoch_);
        check(result, used, required, calm);
    }

    void check(mb_job_request_result_t result, uint64_t used,
               uint64_t required, bool calm)
    {
        if (result == MB_JOB_REQUEST_OK ||
            result == MB_JOB_REQUEST_UNKNOWN_QUEUE) {
            EXPECT_EQ(result == MB_JOB_REQUEST_OK, used == required);
            decided++;
            note(calm && used < required, &late, used, required);
            note(used < required, &overdue, used, required);
            note(used < newest_used_, &reverted, used, required);
            newest_used_ = std::max(newest_used_, used);
        }
        else {
            note(calm && required > 0, &rejected, used, required);
        }
    }
    void note(bool wrong, uint64_t *count, uint64_t used, uint64_t required)
    {
        if (wrong && report.empty()) {
            report = "at " + std::to_string(now_us / 1000) + " ms: version " +
                     std::to_string(used) + ", required " +
                     std::to_string(required);
        }
        *count += wrong;
    }

    mb_epoch_t epoch_;
    mb_queue_table_t table_;
    uint64_t written_ = 0;
    uint64_t newest_used_ = 0;
    std::vector<std::pair<uint64_t, uint64_t>> acknowledged_;
};

#endif
