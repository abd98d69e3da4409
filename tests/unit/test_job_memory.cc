/* Tests of which jobs several schedulers accept by their memory. The
   schedulers share a log that each of them reads with a delay of its own. */
#include <gtest/gtest.h>

#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "mb_job_memory.h"
}

static const uint64_t MB = 1024 * 1024;

static uint64_t
read_clock(void *context)
{
    return *static_cast<uint64_t *>(context);
}

struct LogRecord {
    uint64_t weight = 0; /* of a job; 0: a record of a scheduler */
    mb_dag_id_t id = {};
    std::string scheduler;
    mb_job_memory_record_t memory = {};
};

struct Scheduler {
    std::string name;
    uint64_t memory_bytes;
    mb_job_memory_t memory;
    mb_dag_table_t table;
    uint64_t held_bytes = 0;
    size_t next = 0;        /* offset of the next record to read */
    uint64_t read_ms = 100; /* interval of its reads */
    uint64_t next_read_ms = 0;

    Scheduler(const std::string &with_name, uint64_t megabytes,
              const mb_clock_t *clock)
        : name(with_name), memory_bytes(megabytes * MB)
    {
        mb_dag_table_init(&table);
        mb_job_memory_init(&memory, {name.data(), name.size()}, memory_bytes,
                           clock);
    }

    ~Scheduler()
    {
        mb_job_memory_finish(&memory);
        mb_dag_table_finish(&table);
    }
};

struct Schedulers {
    uint64_t now_us = 1000000;
    mb_clock_t clock = {read_clock, &now_us};
    std::vector<std::unique_ptr<Scheduler>> all;
    std::deque<LogRecord> log;
    uint64_t accepted_bytes = 0;
    uint32_t next_id = 1;

    void add(uint64_t megabytes)
    {
        std::string name = "scheduler-" + std::to_string(all.size());
        all.emplace_back(new Scheduler(name, megabytes, &clock));
        publish(*all.back());
    }

    void publish(Scheduler &scheduler)
    {
        LogRecord record;
        record.scheduler = scheduler.name;
        record.memory = mb_job_memory_record(&scheduler.memory);
        log.push_back(record);
    }

    void read(Scheduler &scheduler)
    {
        for (; scheduler.next < log.size(); scheduler.next++) {
            const LogRecord &record = log[scheduler.next];
            if (record.weight > 0) {
                mb_dag_step_t step = {};
                mb_dag_spec_t spec = {};
                step.count = 1;
                spec.id = record.id;
                spec.steps = &step;
                spec.step_count = 1;
                (void)mb_dag_add(&scheduler.table, &spec);
                scheduler.held_bytes += record.weight;
                continue;
            }
            mb_job_memory_read(
                &scheduler.memory,
                {record.scheduler.data(), record.scheduler.size()},
                &record.memory);
        }
    }

    mb_dag_id_t new_id()
    {
        char text[MB_DAG_ID_LEN + 1];
        mb_dag_id_t id;
        (void)snprintf(text, sizeof(text), "%016x", next_id++);
        EXPECT_TRUE(mb_dag_id_parse(mb_str_from_cstr(text), &id));
        return id;
    }

    /* Submits a job, and appends it if it is accepted. */
    mb_job_memory_verdict_t submit(Scheduler &scheduler, mb_dag_id_t id,
                                   uint64_t weight)
    {
        mb_job_memory_verdict_t verdict =
            mb_job_memory_judge(&scheduler.memory, &scheduler.table,
                                scheduler.held_bytes, id, weight);
        if (verdict == MB_JOB_MEMORY_RESERVE) {
            mb_job_memory_reserve(&scheduler.memory, id, weight);
            publish(scheduler);
        }
        if (verdict == MB_JOB_MEMORY_FITS) {
            LogRecord record;
            record.weight = weight;
            record.id = id;
            mb_job_memory_admitted(&scheduler.memory, id, weight);
            log.push_back(record);
            accepted_bytes += weight;
        }
        return verdict;
    }

    /* Lets time pass; the schedulers read the log at their intervals. */
    void advance(uint64_t ms)
    {
        for (uint64_t i = 0; i < ms; i += 10) {
            now_us += 10000;
            for (auto &scheduler : all) {
                if (now_us / 1000 < scheduler->next_read_ms) {
                    continue;
                }
                scheduler->next_read_ms = now_us / 1000 + scheduler->read_ms;
                read(*scheduler);
                if (mb_job_memory_end_reservation(&scheduler->memory,
                                                  &scheduler->table)) {
                    publish(*scheduler);
                }
            }
        }
    }

    /* Submits a job repeatedly, as its client does. */
    bool is_accepted(Scheduler &scheduler, uint64_t weight)
    {
        mb_dag_id_t id = new_id();
        for (int i = 0; i < 50; i++) {
            if (submit(scheduler, id, weight) == MB_JOB_MEMORY_FITS) {
                return true;
            }
            advance(20);
        }
        return false;
    }
};

/* Several schedulers accepted what each of them had room for, and together
   more than any could hold. */
TEST(JobMemory, SchedulersThatAcceptAtOnceStayWithinWhatAllCanHold)
{
    for (uint32_t seed = 1; seed <= 200; seed++) {
        std::mt19937 random(seed);
        const uint64_t sizes[] = {160, 260, 512};
        uint64_t least = 512 * MB;
        Schedulers test;
        uint32_t count = 2 + random() % 12;
        for (uint32_t i = 0; i < count; i++) {
            uint64_t megabytes = sizes[random() % 3];
            least = std::min(least, megabytes * MB);
            test.add(megabytes);
            test.all.back()->read_ms = 20 + random() % 800;
        }
        test.advance(2000);
        for (uint32_t i = 0; i < 3000; i++) {
            Scheduler &scheduler = *test.all[random() % count];
            uint64_t weight = random() % 10 == 0 ? 4 * MB : 100000;
            (void)test.submit(scheduler, test.new_id(),
                              1000 + random() % weight);
            if (random() % 4 == 0) {
                test.advance(10);
            }
        }
        test.advance(5000);
        for (auto &scheduler : test.all) {
            ASSERT_FALSE(mb_job_memory_exceeded(&scheduler->memory, 0,
                                                test.accepted_bytes))
                << seed;
        }
        /* Clients that return get what is left of the room. */
        for (int i = 0; i < 100 && test.accepted_bytes + MB < least / 5; i++) {
            (void)test.is_accepted(*test.all[random() % count], MB / 2);
            test.advance(1000);
        }
        EXPECT_GT(test.accepted_bytes + MB, least / 5) << seed;
        EXPECT_LE(test.accepted_bytes, least / 5 * 2) << seed;
    }
}

/* A scheduler with much memory accepted more than the smallest could hold. */
TEST(JobMemory, TheLeastMemoryOfAllSchedulersCounts)
{
    Schedulers test;
    test.add(512);
    test.add(160);
    test.advance(1000);
    EXPECT_EQ(mb_job_memory_limit(&test.all[0]->memory), 160 * MB / 5);
    uint32_t accepted = 0;
    while (accepted < 100 && test.is_accepted(*test.all[0], MB)) {
        accepted++;
        test.advance(4000);
    }
    EXPECT_GE(accepted, 31u);
    EXPECT_LE(accepted, 32u);
}

/* A job that fits was rejected for good, as it is larger than the share of one
   scheduler. */
TEST(JobMemory, JobLargerThanAShareIsAcceptedAfterAReservation)
{
    Schedulers test;
    for (int i = 0; i < 13; i++) {
        test.add(160);
    }
    test.advance(1000);
    EXPECT_TRUE(test.is_accepted(*test.all[5], 20 * MB));
    /* Small ones are still accepted, there and elsewhere. */
    for (auto &scheduler : test.all) {
        EXPECT_TRUE(test.is_accepted(*scheduler, 10000));
    }
    test.advance(1000);
    EXPECT_FALSE(test.is_accepted(*test.all[6], 20 * MB));
    EXPECT_TRUE(test.is_accepted(*test.all[6], 10 * MB));
}

/* Two large jobs were accepted at the same time, each in the room of both. */
TEST(JobMemory, OfTwoLargeJobsAtATimeOneIsRejected)
{
    Schedulers test;
    test.add(160);
    test.add(160);
    test.advance(1000);
    mb_dag_id_t ids[] = {test.new_id(), test.new_id()};
    bool fits[2] = {};
    for (int i = 0; i < 40; i++) {
        for (int k = 0; k < 2; k++) {
            fits[k] = fits[k] || test.submit(*test.all[k], ids[k], 20 * MB) ==
                                     MB_JOB_MEMORY_FITS;
        }
        test.advance(20);
    }
    EXPECT_LE(fits[0] + fits[1], 1);
}

/* A scheduler that was gone for good limited the others for ever. */
TEST(JobMemory, SchedulerThatIsGoneDoesNotCount)
{
    Schedulers test;
    test.add(512);
    test.add(160);
    test.advance(1000);
    test.now_us += (MB_JOB_MEMORY_PEER_TIMEOUT_MS + 1) * UINT64_C(1000);
    EXPECT_EQ(mb_job_memory_limit(&test.all[0]->memory), 512 * MB / 5);
}

/* The lines of a crontab were rejected although all of them are small. */
TEST(JobMemory, CrontabOfSomeHundredLinesIsAcceptedAtOnce)
{
    Schedulers test;
    mb_dag_step_t step = {};
    mb_dag_spec_t spec = {};
    step.count = 1;
    step.estimate_ms = 5000;
    spec.steps = &step;
    spec.step_count = 1;
    spec.occurrences = 43200;
    spec.interval_ms = 60000;
    std::string text(1000, 'x');
    spec.payload = {text.data(), text.size()};
    for (int i = 0; i < 4; i++) {
        test.add(160);
    }
    test.advance(1000);
    for (int i = 0; i < 800; i++) {
        EXPECT_EQ(
            test.submit(*test.all[i % 4], test.new_id(), mb_dag_weigh(&spec)),
            MB_JOB_MEMORY_FITS);
    }
}
