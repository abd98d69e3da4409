/* Tests of the adapter to the operators' platform: what it reads and what it
   refuses. */
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <string>

extern "C" {
#include "mbp_jobs.h"
#include "mbp_registration.h"
#include "mbp_task.h"
}

static mb_str_t
view(const std::string &text)
{
    return mb_str_t{text.data(), text.size()};
}

/* What a callback was handed. */
struct Taken {
    int count = 0;
    std::string name;
    std::string rack;
    mb_registration_t registration = {};
    mb_dag_spec_t spec = {};
    mb_dag_step_t steps[MB_DAG_STEPS_MAX] = {};
    uint64_t version = 0;
    std::vector<std::string> queues;
    uint32_t stretch_milli = 0;
    bool admission_check = false;
};

static void
take_registration(void *context, const mb_registration_t *registration)
{
    Taken *taken = static_cast<Taken *>(context);
    taken->count++;
    taken->registration = *registration;
    taken->name = std::string(registration->worker.name.data,
                              registration->worker.name.len);
    taken->rack = std::string(registration->worker.rack.data,
                              registration->worker.rack.len);
}

static bool
read_registration(Taken *taken, const std::string &uri,
                  const std::string &body)
{
    static mbp_registration_filter_t own = {{"svc", 3}};
    mb_registration_codec_t front = mbp_registration_codec(&own);
    GError *error = nullptr;
    bool read = front.read(front.context, MB_STR_LIT("POST"), view(uri),
                           view(body), take_registration, taken, &error);
    EXPECT_EQ(read, error == nullptr);
    g_clear_error(&error);
    return read;
}

static const char *const beat =
    "{\"service\":\"svc\",\"address\":\"10.0.0.1:1\",\"zone\":\"z\","
    "\"state\":\"ready\",\"capacity\":{\"cpu\":16000,\"memory_limit_mb\":100,"
    "\"gpu\":1},\"labels\":[\"a\",\"r1-3\"],\"sequence\":4,\"born\":12}";

/* Guards against fields of a heartbeat that are read wrongly. */
TEST(Registration, ReadsAHeartbeat)
{
    Taken taken;
    ASSERT_TRUE(
        read_registration(&taken, "/api/Instances.Heartbeat/i-1", beat));
    const mb_worker_info_t &worker = taken.registration.worker;
    EXPECT_EQ(taken.name, "i-1");
    EXPECT_EQ(taken.rack, "r1-3");
    EXPECT_EQ(worker.state, MB_WORKER_READY);
    EXPECT_EQ(worker.capacity.cpu_milli, 16000u);
    EXPECT_EQ(worker.capacity.accelerators, 1u);
    EXPECT_EQ(worker.start_time_ms, 12u);
    EXPECT_EQ(taken.registration.sequence, 4u);
}

/* Guards against a life of an executor that is taken for another one under
   the same id. */
TEST(Registration, TellsTwoLivesApart)
{
    EXPECT_NE(mbp_incarnation_compute(MB_STR_LIT("i-1"), 12),
              mbp_incarnation_compute(MB_STR_LIT("i-1"), 13));
    EXPECT_NE(mbp_incarnation_compute(MB_STR_LIT("i-1"), 12),
              mbp_incarnation_compute(MB_STR_LIT("i-2"), 12));
}

/* Guards against heartbeats of other writers that name an executor to use. */
TEST(Registration, RefusesHeartbeatsOfOthers)
{
    Taken taken;
    std::string uri = "/api/Instances.Heartbeat/i-1";
    for (const char *part : {"\"svc\"", "\"ready\"", "16000", "4,", "100"}) {
        std::string body = beat;
        body.replace(body.find(part), strlen(part),
                     std::string(part).back() == ',' ? "{}," : "[]");
        EXPECT_FALSE(read_registration(&taken, uri, body)) << body;
    }
    EXPECT_FALSE(read_registration(&taken, uri, "\xff{"));
    EXPECT_FALSE(read_registration(&taken, "/api/Other/i-1", beat));
    EXPECT_EQ(taken.count, 0);
}

RC_GTEST_PROP(Registration, AnyBytesAreReadOrRefused,
              (const std::string &body))
{
    Taken taken;
    (void)read_registration(&taken, "/api/Instances.Heartbeat/i-1", body);
}

static void
take_job(void *context, mb_dag_spec_t *spec)
{
    Taken *taken = static_cast<Taken *>(context);
    taken->count++;
    taken->spec = *spec;
    std::copy(spec->steps, spec->steps + spec->step_count, taken->steps);
}

static bool
read_job(Taken *taken, const std::string &body)
{
    mb_job_codec_t front = mbp_job_codec();
    GError *error = nullptr;
    bool read =
        front.read_job(front.context, view(body), take_job, taken, &error);
    EXPECT_EQ(read, error == nullptr);
    g_clear_error(&error);
    return read;
}

/* Guards against fields of a job that are read wrongly or mixed up. */
TEST(Jobs, ReadsAJob)
{
    Taken taken;
    ASSERT_TRUE(read_job(
        &taken,
        "{\"spec\":\"x\",\"repeat_count\":2,\"first_run_ms\":7,"
        "\"interval_ms\":8,\"steps\":[{\"count\":4,\"cpu\":500,"
        "\"memory_limit_mb\":256,\"gpu\":1,\"estimated_ms\":900,"
        "\"affinity\":\"r1-3\",\"requirements\":\"a\",\"anti_affinity\":2,"
        "\"gang\":true},{\"count\":1,\"depends_on\":[0],"
        "\"checkpointing\":true,\"fills\":true,\"target_ms\":50,"
        "\"miss_allowed\":3,\"long_running\":true,\"speculative\":true,"
        "\"rack_local\":true,\"image\":\"m\"}]}"));
    EXPECT_EQ(taken.spec.step_count, 2u);
    EXPECT_EQ(taken.spec.occurrences, 2u);
    EXPECT_EQ(taken.spec.first_ms, 7u);
    EXPECT_EQ(taken.spec.interval_ms, 8u);
    EXPECT_EQ(taken.steps[0].size.cpu_milli, 500u);
    EXPECT_EQ(taken.steps[0].size.memory_mb, 256u);
    EXPECT_EQ(taken.steps[0].size.accelerators, 1u);
    EXPECT_EQ(taken.steps[0].estimate_ms, 900u);
    EXPECT_EQ(taken.steps[0].per_worker_max, 2u);
    EXPECT_TRUE(taken.steps[0].gang);
    EXPECT_EQ(taken.steps[0].rack.len, 4u);
    EXPECT_EQ(taken.steps[0].label.len, 1u);
    EXPECT_EQ(taken.steps[1].depends_on, 1u);
    EXPECT_TRUE(taken.steps[1].checkpoints && taken.steps[1].best_effort &&
                taken.steps[1].long_running && taken.steps[1].speculative &&
                taken.steps[1].rack_local);
    EXPECT_EQ(taken.steps[1].latency_target_ms, 50u);
    EXPECT_EQ(taken.steps[1].unavailable_max, 3u);
}

/* Guards against bad bodies that are stored or end the process. */
TEST(Jobs, RefusesBadBodies)
{
    Taken taken;
    EXPECT_FALSE(read_job(&taken, ""));
    EXPECT_FALSE(read_job(&taken, "[]"));
    EXPECT_FALSE(read_job(&taken, "{\"spec\":\"x\"}"));
    EXPECT_FALSE(read_job(&taken, "{\"steps\":[1]}"));
    EXPECT_FALSE(read_job(&taken, "{\"steps\":[{\"depends_on\":[-1]}]}"));
    EXPECT_FALSE(read_job(&taken, "{\"steps\":[{\"depends_on\":[99]}]}"));
    EXPECT_EQ(taken.count, 0);
}

static void
take_config(void *context, const mb_queue_version_t *version)
{
    Taken *taken = static_cast<Taken *>(context);
    taken->count++;
    taken->version = version->version;
    for (uint32_t i = 0; i < version->queue_count; i++) {
        taken->queues.push_back(std::string(version->queues[i].prefix.data,
                                            version->queues[i].prefix.len));
        taken->stretch_milli = version->queues[i].stretch_milli;
    }
    taken->admission_check = version->pools[0].admission_check;
}

static bool
read_config(Taken *taken, const char *key, const std::string &value)
{
    mb_job_codec_t front = mbp_job_codec();
    GError *error = nullptr;
    bool read = front.read_config(front.context, mb_str_from_cstr(key),
                                  view(value), take_config, taken, &error);
    g_clear_error(&error);
    return read;
}

/* Guards against a configuration that is read wrongly, and against records of
   other keys that replace it. */
TEST(Jobs, ReadsAConfiguration)
{
    Taken taken;
    std::string value =
        "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
        "\"path_prefix\":\"/p/\",\"service\":\"s\",\"priority\":1,"
        "\"max_attempts\":2,\"stretch_factor\":1.5,"
        "\"target_latency_ms\":300}],\"services\":[{\"name\":\"s\","
        "\"admission_check\":true}],\"limits\":{\"max_body_bytes\":9}}";
    EXPECT_TRUE(read_config(&taken, "config", value));
    EXPECT_EQ(taken.version, 7u);
    ASSERT_EQ(taken.queues.size(), 1u);
    EXPECT_EQ(taken.queues[0], "/p/");
    EXPECT_EQ(taken.stretch_milli, 1500u);
    EXPECT_TRUE(taken.admission_check);
    EXPECT_FALSE(read_config(&taken, "wave/1", value));
    EXPECT_FALSE(read_config(&taken, "config", "{\"version\":8}"));
    EXPECT_EQ(taken.count, 1);
}

/* Guards against names of tasks that are cut or carry more than four parts. */
TEST(Tasks, ReadsWhatItWrites)
{
    mb_dag_task_id_t task = {};
    mb_dag_task_id_t read = {};
    mb_buf_t name = {};
    memcpy(task.job.text, "0123456789abcdef", MB_DAG_ID_LEN);
    task.occurrence = 1;
    task.step = 2;
    task.index = 300;
    mbp_task_id_write(&name, &task);
    EXPECT_TRUE(mbp_task_id_parse(mb_buf_view(&name), &read));
    EXPECT_TRUE(mb_dag_task_id_equal(&task, &read));
    mb_buf_append_cstr(&name, ".1");
    EXPECT_FALSE(mbp_task_id_parse(mb_buf_view(&name), &read));
    EXPECT_FALSE(mbp_task_id_parse(MB_STR_LIT("0123456789abcdef.1.2"), &read));
    mb_buf_finish(&name);
}
