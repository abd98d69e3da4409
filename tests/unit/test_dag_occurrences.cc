/* Tests of recurring jobs: what their occurrences take, and how their progress
   is stored. */
#include <gtest/gtest.h>
#include <malloc.h>
#include <rapidcheck/gtest.h>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "mb_clock.h"
#include "mb_dag_record.h"
}

static const uint32_t occurrences_of_a_month = 43200;

struct DagOccurrences : public ::testing::Test {
    mb_dag_table_t table;
    mb_dag_record_decoder_t decoder;
    mb_dag_step_t steps[2] = {};
    mb_dag_spec_t spec = {};
    mb_buf_t value = {};
    uint32_t omitted = 0; /* from the latest record */

    static mb_str_t view_of(const std::string &text)
    {
        return {text.data(), text.size()};
    }

    void SetUp() override
    {
        mb_dag_table_init(&table);
        ASSERT_TRUE(mb_dag_record_decoder_init(&decoder));
        steps[0].count = 3;
        steps[1].count = 2;
        steps[1].depends_on = 1;
        EXPECT_TRUE(mb_dag_id_parse(MB_STR_LIT("0123456789abcdef"), &spec.id));
        spec.policy.queue = MB_STR_LIT("queue");
        spec.policy.service = MB_STR_LIT("service");
        spec.step_count = 2;
        spec.steps = steps;
        spec.interval_ms = 60000;
    }

    void TearDown() override
    {
        mb_buf_finish(&value);
        mb_dag_table_finish(&table);
        mb_dag_record_decoder_finish(&decoder);
    }

    mb_dag_job_t *add(uint32_t occurrences)
    {
        spec.occurrences = occurrences;
        return mb_dag_add(&table, &spec);
    }

    static void finish(mb_dag_job_t *job, uint32_t number, uint32_t tasks)
    {
        for (uint32_t t = 0; t < tasks; t++) {
            mb_dag_set_done(job, number, mb_dag_find_step(job, t),
                            &mb_dag_open(job, number)->tasks[t]);
        }
    }

    /* Encodes the progress of a job to `value`. */
    void encode(const mb_dag_job_t *job)
    {
        mb_buf_t bits = {};
        mb_dag_progress_t progress = {};
        progress.rows =
            g_array_new(FALSE, FALSE, sizeof(mb_dag_progress_row_t));
        progress.numbers = g_array_new(FALSE, FALSE, sizeof(uint32_t));
        mb_dag_progress_collect(job, &bits, &progress);
        mb_buf_clear(&value);
        mb_dag_record_encode_progress(&value, &progress);
        omitted = progress.omitted;
        g_array_unref(progress.rows);
        g_array_unref(progress.numbers);
        mb_buf_finish(&bits);
    }

    /* Returns the job as a process has it that reads `value` from the log. */
    mb_dag_job_t *read_back()
    {
        mb_dag_record_t record;
        EXPECT_TRUE(
            mb_dag_record_decode(&decoder, MB_STR_LIT("s0123456789abcdef"),
                                 mb_buf_view(&value), &record, nullptr));
        mb_dag_table_clear(&table);
        mb_dag_job_t *job = mb_dag_add(&table, &spec);
        mb_dag_progress_apply(job, &record.body.progress);
        return job;
    }
};

/* A submission that recurred each minute for a month took 8 MB in every
   scheduler, which 40 of them ended for good. */
TEST_F(DagOccurrences, JobThatRecursForAMonthTakesNoMoreThanWhatIsDue)
{
    size_t before = mallinfo2().uordblks;
    mb_dag_job_t *job = add(occurrences_of_a_month);
    job->due_base_us = 1000000;
    job->due_base_ms = 1000000;
    spec.first_ms = job->due_base_ms;
    job->spec.first_ms = job->due_base_ms;
    mb_dag_open_due(job, job->due_base_us + 60000000u);
    EXPECT_EQ(job->open->len, 2u);
    EXPECT_LT(mallinfo2().uordblks - before, 16384u);
    EXPECT_LT(table.weight, 16384u);
    for (uint32_t i = 0; i < 40000; i++) {
        finish(job, i, 5);
        mb_dag_release_finished(job);
    }
    EXPECT_LT(mallinfo2().uordblks - before, 16384u);
    encode(job);
    EXPECT_LT(value.len, 64u);
    EXPECT_EQ(read_back()->finished_count, 40000u);
    EXPECT_FALSE(mb_dag_all_done(mb_dag_find(&table, spec.id)));
}

/* An occurrence that had waited for long kept every later one in memory, or
   its number was lost among the finished ones. */
TEST_F(DagOccurrences, UnfinishedOccurrenceAmongFinishedOnesIsKept)
{
    mb_dag_job_t *job = add(10000);
    for (uint32_t i = 0; i < 10000; i++) {
        finish(job, i, i == 500 ? 1 : 5);
        mb_dag_release_finished(job);
    }
    EXPECT_EQ(job->open->len, 1u);
    encode(job);
    EXPECT_LT(value.len, 64u);
    job = read_back();
    EXPECT_EQ(job->open->len, 1u);
    EXPECT_EQ(job->finished_count, 9999u);
    EXPECT_EQ(mb_dag_unfinished(job, 500, 0), 2u);
    EXPECT_EQ(mb_dag_unfinished(job, 501, 0), 0u);
    finish(job, 500, 5);
    EXPECT_TRUE(mb_dag_all_done(job));
}

/* Occurrences that were due at once while nothing could run took all memory,
   or those without room were never run. */
TEST_F(DagOccurrences, DueOccurrencesBeyondTheRoomFollowInOrder)
{
    steps[0].count = 1000;
    uint32_t count = MB_DAG_TASKS_MAX / 1002;
    mb_dag_job_t *job = add(count);
    uint64_t bytes = mb_dag_weigh_occurrence(&spec);
    uint32_t at_once =
        mb_dag_window(&spec) + (uint32_t)(MB_DAG_SURPLUS_BYTES_MAX / bytes);
    mb_dag_open_due(job, UINT64_MAX - 1);
    ASSERT_LT(at_once, count);
    EXPECT_EQ(job->open->len, at_once);
    for (uint32_t i = 0; i < count; i++) {
        ASSERT_NE(mb_dag_find_open(job, i), nullptr) << i;
        finish(job, i, 1002);
        mb_dag_release_finished(job);
        mb_dag_open_due(job, UINT64_MAX - 1);
    }
    EXPECT_TRUE(mb_dag_all_done(job));
    EXPECT_EQ(table.surplus_bytes, 0u);
}

/* An owner that read progress of an earlier version, with a bit for each task
   of all occurrences, started finished work again. */
TEST_F(DagOccurrences, ProgressOfTheFormerVersionIsRead)
{
    std::string bits(100, '\0');
    mb_dag_progress_t progress = {};
    (void)add(100);
    for (uint32_t i = 0; i < 40; i++) {
        bits[i] = 31;
    }
    bits[41] = 1;
    progress.id = spec.id;
    progress.done = {bits.data(), bits.size()};
    progress.rows = g_array_new(FALSE, FALSE, sizeof(mb_dag_progress_row_t));
    mb_dag_record_encode_progress(&value, &progress);
    g_array_unref(progress.rows);
    mb_dag_job_t *job = read_back();
    EXPECT_EQ(job->finished_count, 40u);
    EXPECT_EQ(mb_dag_unfinished(job, 40, 0), 3u);
    EXPECT_EQ(mb_dag_unfinished(job, 41, 0), 2u);
    EXPECT_EQ(job->open->len, 1u);
}

/* During an upgrade, an owner of the version before did not read which
   occurrences were done, and started them again. */
TEST_F(DagOccurrences, ProgressOfSomeOccurrencesIsReadByTheFormerVersion)
{
    mb_dag_record_t record;
    for (uint32_t occurrences : {2u, 1024u, 1025u}) {
        mb_dag_table_clear(&table);
        mb_dag_job_t *job = add(occurrences);
        finish(job, 0, 5);
        finish(job, 1, 2);
        mb_dag_release_finished(job);
        encode(job);
        ASSERT_TRUE(
            mb_dag_record_decode(&decoder, MB_STR_LIT("s0123456789abcdef"),
                                 mb_buf_view(&value), &record, nullptr));
        const mb_dag_progress_t &progress = record.body.progress;
        EXPECT_EQ(progress.is_sparse, occurrences > 1024);
        if (!progress.is_sparse) {
            ASSERT_EQ(progress.done.len, occurrences);
            EXPECT_EQ(progress.done.data[0], 31);
            EXPECT_EQ(progress.done.data[1], 3);
        }
        job = read_back();
        EXPECT_EQ(job->finished_count, 1u);
        EXPECT_EQ(mb_dag_unfinished(job, 1, 0), 1u);
    }
}

/* A due time beyond the range of the clock wrapped around, and the occurrence
   was due at once. */
TEST_F(DagOccurrences, DueTimesDoNotWrapAround)
{
    spec.interval_ms = UINT64_MAX / 2;
    mb_dag_job_t *job = add(100);
    job->due_base_us = 1;
    for (uint32_t i = 1; i < 100; i++) {
        EXPECT_EQ(mb_dag_due_us(job, i), UINT64_MAX) << i;
    }
}

/* A new owner did not know which tasks of overlapping occurrences were done,
   or how often they had failed. */
RC_GTEST_FIXTURE_PROP(DagOccurrences, ProgressIsRestoredFromTheLog, ())
{
    auto order = *rc::gen::container<std::vector<uint32_t>>(
        60, rc::gen::inRange<uint32_t>(0, 12));
    std::vector<uint32_t> done(12, 0);
    /* Stored with all bits, and with ranges. */
    auto occurrences = *rc::gen::element<uint32_t>(12, 5000);
    mb_dag_table_clear(&table);
    mb_dag_job_t *job = add(occurrences);
    for (uint32_t number : order) {
        if (done[number] == 5) {
            continue;
        }
        mb_dag_occurrence_t *open = mb_dag_open(job, number);
        mb_dag_add_failure(&open->tasks[4], done[number] + 1);
        finish(job, number, ++done[number]);
        mb_dag_release_finished(job);
    }
    encode(job);
    job = read_back();
    uint32_t finished = 0;
    for (uint32_t i = 0; i < 12; i++) {
        finished += done[i] == 5;
        RC_ASSERT(mb_dag_is_finished(job, i) == (done[i] == 5));
        RC_ASSERT(mb_dag_unfinished(job, i, 0) == 3 - MIN(3, done[i]));
        if (done[i] > 0 && done[i] < 5) {
            RC_ASSERT(mb_dag_find_task(job, i, 1, 1)->failures == done[i]);
        }
    }
    RC_ASSERT(job->finished_count == finished);
    mb_dag_table_clear(&table);
}

/* Ranges of finished occurrences that touch or overlap were counted twice. */
RC_GTEST_FIXTURE_PROP(DagOccurrences, FinishedRangesAreASet, ())
{
    auto firsts = *rc::gen::container<std::vector<uint32_t>>(
        20, rc::gen::inRange<uint32_t>(0, 90));
    std::set<uint32_t> expected;
    mb_dag_table_clear(&table);
    mb_dag_job_t *job = add(100);
    for (uint32_t first : firsts) {
        uint32_t end = first + 1 + first % 7;
        mb_dag_set_finished(job, {first, end});
        for (uint32_t i = first; i < end; i++) {
            expected.insert(i);
        }
    }
    RC_ASSERT(job->finished_count == expected.size());
    for (uint32_t i = 0; i < 100; i++) {
        RC_ASSERT(mb_dag_is_finished(job, i) == (expected.count(i) > 0));
    }
    mb_dag_table_clear(&table);
}

/* The progress of a job with many checkpoints was longer than a record of the
   log, which refused it; the owner then started nothing any more. */
TEST_F(DagOccurrences, ProgressWithManyCheckpointsFitsInARecord)
{
    const size_t record_max = 262144;
    const std::string checkpoint(MB_DAG_CHECKPOINT_MAX, 'c');
    steps[0].count = 3000;
    for (uint32_t occurrences : {0u, 20u}) {
        mb_dag_table_clear(&table);
        mb_dag_job_t *job = add(occurrences);
        for (uint32_t t = 0; t < 3000; t++) {
            mb_dag_task_t *task = mb_dag_task(job, 0, 0, t);
            task->runs[0].number = t < 2990;
            mb_dag_set_checkpoint(task, view_of(checkpoint));
            if (t < 20) {
                (void)mb_dag_add_failure(task, t + 1);
            }
        }
        encode(job);
        EXPECT_LT(value.len, record_max);
        EXPECT_GT(omitted, 2000u);
        job = read_back();
        for (uint32_t t = 0; t < 3000; t++) {
            const mb_dag_task_t *task = mb_dag_task(job, 0, 0, t);
            EXPECT_EQ(task->failures, t < 20 ? 1 : 0);
            /* Tasks without a run need their checkpoints most. */
            EXPECT_TRUE(t < 2990 || task->checkpoint_len > 0) << t;
        }
    }
}

/* The progress of the largest recurring job was longer than a record. */
TEST_F(DagOccurrences, ProgressOfTheMostOccurrencesFitsInARecord)
{
    steps[0].count = 1;
    steps[1].count = 1;
    spec.interval_ms = 0;
    mb_dag_job_t *job = add(MB_DAG_TASKS_MAX / 2);
    for (uint32_t i = 0; i < job->occurrence_count; i++) {
        finish(job, i, i % 2 + 1);
    }
    encode(job);
    EXPECT_LT(value.len, 262144u);
    job = read_back();
    EXPECT_EQ(job->finished_count, MB_DAG_TASKS_MAX / 4);
    EXPECT_EQ(mb_dag_unfinished(job, 4, 0), 0u);
    EXPECT_EQ(mb_dag_unfinished(job, 4, 1), 1u);
}
