/* Tests of the adapter to the operators' platform: which messages it decodes,
   and which it rejects. */
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

/* What the callbacks of the codecs received. */
struct Received {
    int count = 0; /* number of calls */
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
receive_registration(void *context, const mb_registration_t *registration)
{
    Received *received = static_cast<Received *>(context);
    received->count++;
    received->registration = *registration;
    received->name = std::string(registration->worker.name.data,
                                 registration->worker.name.len);
    received->rack = std::string(registration->worker.rack.data,
                                 registration->worker.rack.len);
}

static bool
decode_registration(Received *received, const std::string &uri,
                    const std::string &body)
{
    static mbp_registration_filter_t filter = {{"svc", 3}};
    mb_registration_codec_t codec = mbp_registration_codec(&filter);
    GError *error = nullptr;
    bool decoded =
        codec.read(codec.context, MB_STR_LIT("POST"), view(uri), view(body),
                   receive_registration, received, &error);
    EXPECT_EQ(decoded, error == nullptr);
    g_clear_error(&error);
    return decoded;
}

static const char *const heartbeat =
    "{\"service\":\"svc\",\"address\":\"10.0.0.1:1\",\"zone\":\"z\","
    "\"state\":\"ready\",\"capacity\":{\"cpu\":16000,\"memory_limit_mb\":100,"
    "\"gpu\":1},\"labels\":[\"a\",\"r1-3\"],\"sequence\":4,\"born\":12}";

/* Guards against members of a heartbeat that are decoded wrongly. */
TEST(Registration, DecodesHeartbeat)
{
    Received received;
    ASSERT_TRUE(decode_registration(&received, "/api/Instances.Heartbeat/i-1",
                                    heartbeat));
    const mb_worker_info_t &worker = received.registration.worker;
    EXPECT_EQ(received.name, "i-1");
    EXPECT_EQ(received.rack, "r1-3");
    EXPECT_EQ(worker.state, MB_WORKER_READY);
    EXPECT_EQ(worker.capacity.cpu_milli, 16000u);
    EXPECT_EQ(worker.capacity.accelerators, 1u);
    EXPECT_EQ(worker.start_time_ms, 12u);
    EXPECT_EQ(received.registration.sequence, 4u);
}

/* Guards against a restarted executor that is mistaken for its previous
   incarnation, which had the same name. */
TEST(Registration, IncarnationDependsOnNameAndStartTime)
{
    EXPECT_NE(mbp_incarnation_compute(MB_STR_LIT("i-1"), 12),
              mbp_incarnation_compute(MB_STR_LIT("i-1"), 13));
    EXPECT_NE(mbp_incarnation_compute(MB_STR_LIT("i-1"), 12),
              mbp_incarnation_compute(MB_STR_LIT("i-2"), 12));
}

/* Guards against messages of other senders that register an executor: those
   for another service, with members of a wrong type, that are not JSON, or on
   another path. */
TEST(Registration, RejectsHeartbeatsOfOtherSenders)
{
    Received received;
    std::string uri = "/api/Instances.Heartbeat/i-1";
    for (const char *part : {"\"svc\"", "\"ready\"", "16000", "4,", "100"}) {
        std::string body = heartbeat;
        body.replace(body.find(part), strlen(part),
                     std::string(part).back() == ',' ? "{}," : "[]");
        EXPECT_FALSE(decode_registration(&received, uri, body)) << body;
    }
    EXPECT_FALSE(decode_registration(&received, uri, "\xff{"));
    EXPECT_FALSE(decode_registration(&received, "/api/Other/i-1", heartbeat));
    EXPECT_EQ(received.count, 0);
}

/* Guards against an odd entry of another writer that registers an executor, or
   changes one: a number that is negative, has a fraction or is too large, an
   address that is not one, and deep nesting. */
TEST(Registration, RejectsNumbersAndAddressesOutOfRange)
{
    static const struct {
        const char *part;
        const char *odd;
    } changes[] = {
        {"16000", "1099511627781"},
        {"16000", "-1"},
        {"16000", "16000.5"},
        {":100", ":1099511627776"},
        {":100", ":-100"},
        {"\"gpu\":1", "\"gpu\":1e300"},
        {"\"gpu\":1", "\"gpu\":[]"},
        {"\"gpu\":1", "\"gpu\":4294967297"},
        {":12}", ":1e300}"},
        {":12}", ":-12}"},
        {":12}", ":\"12\"}"},
        {":4,", ":9223372036854775807,"},
        {":4,", ":-4,"},
        {"10.0.0.1:1", "10.0.0.1:65536"},
        {"10.0.0.1:1", "10.0.0.1:0"},
        {"10.0.0.1:1", "10.0.0.1:-1"},
        {"10.0.0.1:1", "10.0.0.1"},
        {"10.0.0.1:1", "10.0.0.999:1"},
        {"\"z\"", "17"},
    };
    Received received;
    std::string uri = "/api/Instances.Heartbeat/i-1";
    for (const auto &change : changes) {
        std::string body = heartbeat;
        body.replace(body.find(change.part), strlen(change.part), change.odd);
        EXPECT_FALSE(decode_registration(&received, uri, body)) << body;
    }
    std::string nested(200000, '[');
    EXPECT_FALSE(decode_registration(&received, uri, nested));
    EXPECT_FALSE(
        decode_registration(&received, uri, "{\"labels\":" + nested + "}"));
    EXPECT_EQ(received.count, 0);
}

/* Guards against bodies that end the process or that leave the result and the
   error inconsistent. */
RC_GTEST_PROP(Registration, AnyBytesAreDecodedOrRejected,
              (const std::string &body))
{
    Received received;
    (void)decode_registration(&received, "/api/Instances.Heartbeat/i-1", body);
}

static void
receive_job(void *context, mb_dag_spec_t *spec)
{
    Received *received = static_cast<Received *>(context);
    received->count++;
    received->spec = *spec;
    std::copy(spec->steps, spec->steps + spec->step_count, received->steps);
}

static bool
decode_job(Received *received, const std::string &body)
{
    mb_job_codec_t codec = mbp_job_codec();
    GError *error = nullptr;
    bool decoded = codec.read_job(codec.context, view(body), receive_job,
                                  received, &error);
    EXPECT_EQ(decoded, error == nullptr);
    g_clear_error(&error);
    return decoded;
}

/* Guards against members of a job that are decoded wrongly or mixed up. */
TEST(Jobs, DecodesJob)
{
    Received received;
    ASSERT_TRUE(decode_job(
        &received,
        "{\"spec\":\"x\",\"repeat_count\":2,\"first_run_ms\":7,"
        "\"interval_ms\":8,\"steps\":[{\"count\":4,\"cpu\":500,"
        "\"memory_limit_mb\":256,\"gpu\":1,\"estimated_ms\":900,"
        "\"affinity\":\"r1-3\",\"requirements\":\"a\",\"anti_affinity\":2,"
        "\"gang\":true},{\"count\":1,\"depends_on\":[0],"
        "\"checkpointing\":true,\"fills\":true,\"target_ms\":50,"
        "\"miss_allowed\":3,\"long_running\":true,\"speculative\":true,"
        "\"rack_local\":true,\"image\":\"m\"}]}"));
    EXPECT_EQ(received.spec.step_count, 2u);
    EXPECT_EQ(received.spec.occurrences, 2u);
    EXPECT_EQ(received.spec.first_ms, 7u);
    EXPECT_EQ(received.spec.interval_ms, 8u);
    EXPECT_EQ(received.steps[0].size.cpu_milli, 500u);
    EXPECT_EQ(received.steps[0].size.memory_mb, 256u);
    EXPECT_EQ(received.steps[0].size.accelerators, 1u);
    EXPECT_EQ(received.steps[0].estimate_ms, 900u);
    EXPECT_EQ(received.steps[0].per_worker_max, 2u);
    EXPECT_TRUE(received.steps[0].gang);
    EXPECT_EQ(received.steps[0].rack.len, 4u);
    EXPECT_EQ(received.steps[0].label.len, 1u);
    EXPECT_EQ(received.steps[1].depends_on, 1u);
    EXPECT_TRUE(received.steps[1].checkpoints &&
                received.steps[1].best_effort &&
                received.steps[1].long_running &&
                received.steps[1].speculative && received.steps[1].rack_local);
    EXPECT_EQ(received.steps[1].latency_target_ms, 50u);
    EXPECT_EQ(received.steps[1].unavailable_max, 3u);
}

/* Guards against invalid bodies that are accepted as jobs or end the
   process. */
TEST(Jobs, RejectsInvalidBodies)
{
    Received received;
    EXPECT_FALSE(decode_job(&received, ""));
    EXPECT_FALSE(decode_job(&received, "[]"));
    EXPECT_FALSE(decode_job(&received, "{\"spec\":\"x\"}"));
    EXPECT_FALSE(decode_job(&received, "{\"steps\":[1]}"));
    EXPECT_FALSE(decode_job(&received, "{\"steps\":[{\"depends_on\":[-1]}]}"));
    EXPECT_FALSE(decode_job(&received, "{\"steps\":[{\"depends_on\":[99]}]}"));
    EXPECT_EQ(received.count, 0);
}

static void
receive_config(void *context, const mb_queue_version_t *version)
{
    Received *received = static_cast<Received *>(context);
    received->count++;
    received->version = version->version;
    for (uint32_t i = 0; i < version->queue_count; i++) {
        received->queues.push_back(std::string(version->queues[i].prefix.data,
                                               version->queues[i].prefix.len));
        received->stretch_milli = version->queues[i].stretch_milli;
    }
    received->admission_check = version->pools[0].admission_check;
}

static bool
decode_config(Received *received, const char *key, const std::string &value)
{
    mb_job_codec_t codec = mbp_job_codec();
    GError *error = nullptr;
    bool decoded = codec.config_decoder.read(
        codec.config_decoder.context, mb_str_from_cstr(key), view(value),
        receive_config, received, &error);
    g_clear_error(&error);
    return decoded;
}

/* Guards against a configuration that is decoded wrongly, and against records
   of other keys, or incomplete ones, that replace it. */
TEST(Jobs, DecodesConfiguration)
{
    Received received;
    std::string value =
        "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
        "\"path_prefix\":\"/p/\",\"service\":\"s\",\"priority\":1,"
        "\"max_attempts\":2,\"stretch_factor\":1.5,"
        "\"target_latency_ms\":300}],\"services\":[{\"name\":\"s\","
        "\"admission_check\":true}],\"limits\":{\"max_body_bytes\":9}}";
    EXPECT_TRUE(decode_config(&received, "config", value));
    EXPECT_EQ(received.version, 7u);
    ASSERT_EQ(received.queues.size(), 1u);
    EXPECT_EQ(received.queues[0], "/p/");
    EXPECT_EQ(received.stretch_milli, 1500u);
    EXPECT_TRUE(received.admission_check);
    EXPECT_FALSE(decode_config(&received, "wave/1", value));
    EXPECT_FALSE(decode_config(&received, "config", "{\"version\":8}"));
    EXPECT_EQ(received.count, 1);
}

/* Guards against evacuations that are not recognized, and against keys that
   are taken for one. */
TEST(Jobs, RecognizesEvacuations)
{
    mb_job_codec_t codec = mbp_job_codec();
    mb_str_t domain = MB_STR_EMPTY;
    EXPECT_TRUE(codec.config_decoder.read_evacuation(
        nullptr, MB_STR_LIT("evacuate/zone/1"), &domain));
    EXPECT_TRUE(mb_str_equal(domain, MB_STR_LIT("zone/1")));
    for (const char *key :
         {"evacuate/", "evacuate", "config", "xevacuate/a"}) {
        EXPECT_FALSE(codec.config_decoder.read_evacuation(
            nullptr, mb_str_from_cstr(key), &domain));
    }
}

/* Guards against names that denote another task after a round trip, and
   against names with fewer or more than four parts that are accepted. */
TEST(Tasks, NameRoundTrip)
{
    mb_dag_task_id_t task = {};
    mb_dag_task_id_t parsed = {};
    mb_buf_t name = {};
    memcpy(task.job.text, "0123456789abcdef", MB_DAG_ID_LEN);
    task.occurrence = 1;
    task.step = 2;
    task.index = 300;
    mbp_task_id_write(&name, &task);
    EXPECT_TRUE(mbp_task_id_parse(mb_buf_view(&name), &parsed));
    EXPECT_TRUE(mb_dag_task_id_equal(&task, &parsed));
    mb_buf_append_cstr(&name, ".1");
    EXPECT_FALSE(mbp_task_id_parse(mb_buf_view(&name), &parsed));
    EXPECT_FALSE(
        mbp_task_id_parse(MB_STR_LIT("0123456789abcdef.1.2"), &parsed));
    mb_buf_finish(&name);
}
