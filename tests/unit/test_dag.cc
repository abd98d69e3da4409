/* Tests of jobs with steps, and of the records that store them. */
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <string>
#include <vector>

extern "C" {
#include "mb_dag_record.h"
}

static mb_str_t
view(const std::string &text)
{
    return mb_str_t{text.data(), text.size()};
}

static mb_dag_id_t
parse_id(const char *text)
{
    mb_dag_id_t id;
    EXPECT_TRUE(mb_dag_id_parse(mb_str_from_cstr(text), &id));
    return id;
}

/* Returns the specification of a job of two steps, the second of which depends
   on the first. `steps` provides the memory of the steps. */
static mb_dag_spec_t
two_steps(mb_dag_step_t *steps)
{
    steps[0] = mb_dag_step_t{};
    steps[0].count = 3;
    steps[0].checkpoints = true;
    steps[1] = mb_dag_step_t{};
    steps[1].count = 2;
    steps[1].depends_on = 1;
    steps[1].image = MB_STR_LIT("image");
    mb_dag_spec_t spec = {};
    spec.id = parse_id("0123456789abcdef");
    spec.policy.queue = MB_STR_LIT("queue");
    spec.policy.service = MB_STR_LIT("service");
    spec.policy.max_attempts = 2;
    spec.payload = MB_STR_LIT("payload");
    spec.step_count = 2;
    spec.steps = steps;
    return spec;
}

class Dag : public ::testing::Test {
  protected:
    void SetUp() override
    {
        mb_dag_table_init(&table);
        ASSERT_TRUE(mb_dag_record_decoder_init(&decoder));
        spec = two_steps(steps);
    }
    void TearDown() override
    {
        mb_dag_table_finish(&table);
        mb_dag_record_decoder_finish(&decoder);
    }
    mb_dag_table_t table;
    mb_dag_record_decoder_t decoder;
    mb_dag_step_t steps[2];
    mb_dag_spec_t spec;
};

/* Guards against a job that exists twice because its client sent it again. */
TEST_F(Dag, AddsJobOfTheSameIdOnce)
{
    EXPECT_NE(mb_dag_add(&table, &spec), nullptr);
    EXPECT_EQ(mb_dag_add(&table, &spec), nullptr);
    EXPECT_EQ(g_hash_table_size(table.jobs), 1u);
}

/* Guards against ids that are truncated, too long or not hexadecimal. */
TEST_F(Dag, RejectsInvalidIds)
{
    mb_dag_id_t id;
    EXPECT_FALSE(mb_dag_id_parse(MB_STR_LIT("0123456789abcde"), &id));
    EXPECT_FALSE(mb_dag_id_parse(MB_STR_LIT("0123456789abcdef0"), &id));
    EXPECT_FALSE(mb_dag_id_parse(MB_STR_LIT("0123456789abcdeg"), &id));
}

/* Guards against a step that starts before the steps it depends on are done,
   also if a task is reported as done twice. */
TEST_F(Dag, StepWaitsForItsDependencies)
{
    mb_dag_job_t *job = mb_dag_add(&table, &spec);
    for (uint32_t i = 0; i < 3; i++) {
        EXPECT_FALSE(mb_dag_step_ready(job, 0, 1));
        mb_dag_set_done(job, 0, 0, mb_dag_task(job, 0, 0, i));
        mb_dag_set_done(job, 0, 0, mb_dag_task(job, 0, 0, i));
    }
    EXPECT_TRUE(mb_dag_step_ready(job, 0, 1));
    EXPECT_FALSE(mb_dag_all_done(job));
}

/* Guards against specifications that would lead to indices out of bounds. */
TEST_F(Dag, RejectsInvalidSpecifications)
{
    const char *reason = nullptr;
    steps[0].depends_on = 2;
    EXPECT_FALSE(mb_dag_spec_valid(&spec, &reason));
    steps[0].depends_on = 0;
    steps[1].count = 0;
    EXPECT_FALSE(mb_dag_spec_valid(&spec, &reason));
    steps[1].count = MB_DAG_TASKS_MAX;
    EXPECT_FALSE(mb_dag_spec_valid(&spec, &reason));
}

/* Guards against a job that is accepted and then lost, because its record
   can't be read: what is valid can be encoded and decoded, whatever the length
   of its texts. */
TEST_F(Dag, RecordsOfValidSpecificationsCanBeRead)
{
    const std::string text(4 * MB_DAG_TEXT_MAX, 'x');
    mb_str_t *const texts[] = {&steps[1].image, &steps[1].label,
                               &steps[1].rack, &spec.policy.queue,
                               &spec.policy.service};
    for (mb_str_t *field : texts) {
        mb_str_t before = *field;
        for (size_t length = 0; length <= text.size(); length++) {
            const char *reason = nullptr;
            mb_buf_t value = {};
            mb_dag_record_t record;
            *field = {text.data(), length};
            EXPECT_EQ(mb_dag_spec_valid(&spec, &reason),
                      length <= MB_DAG_TEXT_MAX);
            mb_dag_record_encode_job(&value, &spec);
            EXPECT_EQ(
                mb_dag_record_decode(&decoder, MB_STR_LIT("j0123456789abcdef"),
                                     mb_buf_view(&value), &record, nullptr),
                length <= MB_DAG_TEXT_MAX);
            mb_buf_finish(&value);
        }
        *field = before;
    }
}

/* Guards against a failed run that is counted twice, because it was reported
   twice or after another one; the job would fail although it has attempts
   left. */
TEST_F(Dag, CountsEachFailedRunOnce)
{
    mb_dag_job_t *job = mb_dag_add(&table, &spec);
    mb_dag_task_t *task = mb_dag_task(job, 0, 0, 0);
    EXPECT_TRUE(mb_dag_add_failure(task, 7));
    EXPECT_FALSE(mb_dag_add_failure(task, 7));
    EXPECT_TRUE(mb_dag_add_failure(task, 3));
    EXPECT_EQ(task->failures, 2);
}

/* Guards against fields of a job that are lost when it is written to the log
   and read back. */
TEST_F(Dag, JobRecordKeepsEveryField)
{
    mb_buf_t value = {};
    mb_buf_t key = {};
    mb_dag_record_t record;
    steps[0].size = mb_size_t{1, 2, 3};
    steps[0].gang = steps[0].rack_local = steps[0].speculative = true;
    steps[0].per_worker_max = 4;
    steps[0].label = MB_STR_LIT("label");
    steps[0].rack = MB_STR_LIT("rack");
    steps[1].long_running = steps[1].best_effort = true;
    steps[1].latency_target_ms = 5;
    steps[1].unavailable_max = 6;
    spec.submitted_ms = 7;
    mb_dag_record_encode_key(&key, MB_DAG_RECORD_JOB,
                             mb_dag_id_view(&spec.id));
    mb_dag_record_encode_job(&value, &spec);
    ASSERT_TRUE(mb_dag_record_decode(&decoder, mb_buf_view(&key),
                                     mb_buf_view(&value), &record, nullptr));
    const mb_dag_spec_t &read = record.body.job;
    ASSERT_EQ(read.step_count, 2u);
    EXPECT_EQ(read.steps[0].size.accelerators, 3u);
    EXPECT_TRUE(read.steps[0].gang && read.steps[0].rack_local &&
                read.steps[0].speculative);
    EXPECT_EQ(read.steps[0].per_worker_max, 4u);
    EXPECT_TRUE(mb_str_equal(read.steps[0].rack, MB_STR_LIT("rack")));
    EXPECT_EQ(read.steps[1].depends_on, 1u);
    EXPECT_EQ(read.steps[1].unavailable_max, 6u);
    EXPECT_TRUE(mb_str_equal(read.steps[1].image, MB_STR_LIT("image")));
    EXPECT_TRUE(mb_str_equal(read.payload, spec.payload));
    EXPECT_EQ(read.submitted_ms, 7u);
    mb_buf_finish(&key);
    mb_buf_finish(&value);
}

/* Guards against a new owner that does not know which tasks are done, how
   often tasks failed or their checkpoints. */
RC_GTEST_FIXTURE_PROP(Dag, ProgressIsRestoredFromTheLog, ())
{
    mb_dag_job_t *job = mb_dag_add(&table, &spec);
    mb_buf_t bits = {};
    mb_buf_t value = {};
    mb_buf_t key = {};
    mb_dag_record_t record;
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(mb_dag_progress_row_t));
    mb_dag_progress_t progress = {};
    progress.rows = rows;
    auto done =
        *rc::gen::container<std::vector<bool>>(5, rc::gen::arbitrary<bool>());
    auto runs = *rc::gen::unique<std::vector<uint64_t>>(
        rc::gen::inRange<uint64_t>(1, 100));
    for (uint32_t i = 0; i < 5; i++) {
        mb_dag_task_t *task = &mb_dag_open(job, 0)->tasks[i];
        if (done[i]) {
            mb_dag_set_done(job, 0, mb_dag_find_step(job, i), task);
        }
        for (uint64_t run : runs) {
            mb_dag_add_failure(task, run + i);
        }
        mb_dag_set_checkpoint(task, MB_STR_LIT("checkpoint"));
    }
    mb_dag_progress_collect(job, &bits, &progress);
    mb_dag_record_encode_key(&key, MB_DAG_RECORD_PROGRESS,
                             mb_dag_id_view(&spec.id));
    mb_dag_record_encode_progress(&value, &progress);
    RC_ASSERT(mb_dag_record_decode(&decoder, mb_buf_view(&key),
                                   mb_buf_view(&value), &record, nullptr));
    mb_dag_table_clear(&table);
    mb_dag_job_t *next = mb_dag_add(&table, &spec);
    mb_dag_progress_apply(next, &record.body.progress);
    for (uint32_t i = 0; i < 5; i++) {
        const mb_dag_occurrence_t *open = mb_dag_find_open(next, 0);
        bool is_done = open == nullptr ? mb_dag_is_finished(next, 0)
                                       : open->tasks[i].done;
        RC_ASSERT(is_done == done[i]);
        if (!is_done) {
            RC_ASSERT(open->tasks[i].failures == runs.size());
            RC_ASSERT(open->tasks[i].checkpoint_len == 10);
        }
    }
    mb_buf_finish(&bits);
    mb_buf_finish(&key);
    mb_buf_finish(&value);
    g_array_unref(rows);
    mb_dag_table_clear(&table);
}

/* Guards against a new owner that loses the estimates of headroom, and would
   have to disturb services again to learn them. */
RC_GTEST_FIXTURE_PROP(Dag, HeadroomEstimatesAreRestoredFromTheLog, ())
{
    auto slopes = *rc::gen::container<std::vector<uint32_t>>(
        rc::gen::inRange<uint32_t>(0, 5000));
    mb_buf_t key = {};
    mb_buf_t value = {};
    mb_dag_record_t record;
    GArray *pairs = g_array_new(FALSE, FALSE, sizeof(mb_headroom_pair_t));
    for (uint32_t i = 0; i < slopes.size(); i++) {
        mb_headroom_pair_t pair = {UINT64_MAX - i, slopes[i] / 1000.0, i};
        g_array_append_val(pairs, pair);
    }
    mb_dag_record_encode_key(&key, MB_DAG_RECORD_HEADROOM, MB_STR_EMPTY);
    mb_dag_record_encode_headroom_pairs(&value, pairs);
    RC_ASSERT(mb_dag_record_decode(&decoder, mb_buf_view(&key),
                                   mb_buf_view(&value), &record, nullptr));
    RC_ASSERT(record.body.pairs->len == pairs->len);
    for (guint i = 0; i < pairs->len; i++) {
        const mb_headroom_pair_t *read =
            &g_array_index(record.body.pairs, mb_headroom_pair_t, i);
        const mb_headroom_pair_t *written =
            &g_array_index(pairs, mb_headroom_pair_t, i);
        RC_ASSERT(read->key == written->key);
        RC_ASSERT(std::abs(read->slope - written->slope) < 0.0011);
        RC_ASSERT(read->weight == written->weight);
    }
    mb_buf_finish(&key);
    mb_buf_finish(&value);
    g_array_unref(pairs);
}

/* Guards against malformed records, such as those of another program, that
   crash the process, are rejected without an error or accepted with one. */
RC_GTEST_FIXTURE_PROP(Dag, RandomBytesAreRejectedOrDecoded,
                      (const std::string &key, const std::string &value))
{
    mb_dag_record_t record;
    GError *error = nullptr;
    bool read = mb_dag_record_decode(&decoder, view(key), view(value), &record,
                                     &error);
    RC_ASSERT(read == (error == nullptr));
    g_clear_error(&error);
}
