/* Tests of the configuration, and of the encoding of resources as JSON and as
   records of the log. */
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <string>

extern "C" {
#include "mb_config.h"
#include "mb_config_record.h"
#include "mb_error.h"
#include "mb_resource_json.h"
}

namespace {

mb_str_t
view(const std::string &text)
{
    return mb_str_t{text.data(), text.size()};
}

std::string
encode(const mb_resource_t *resource)
{
    mb_buf_t out = {};
    mb_resource_json_encode(&out, resource);
    std::string text(out.data, out.len);
    mb_buf_finish(&out);
    return text;
}

/* Returns the message of the error in decoding a text, or "" if there is
   none. */
std::string
get_decode_error(const std::string &text)
{
    mb_resource_t resource;
    GError *error = nullptr;
    if (mb_resource_json_decode(view(text), &resource, &error)) {
        mb_resource_finish(&resource);
        return "";
    }
    std::string message = error->message;
    EXPECT_EQ(mb_error_kind(error), MB_KIND_INVALID);
    g_error_free(error);
    return message;
}

const char *const valid_resources[] = {
    R"({"kind":"service","name":"s","spec":{"team":"t","host":"a.b","class":"urgent","deadline_ms":9,"instances":2,"size":{"cpu_milli":5},"command":"x \"y\""}})",
    R"({"kind":"job","name":"j","spec":{"team":"t","count":7,"size":{"cpu_milli":1,"memory_mb":2,"accelerators":3},"run_time_ms":2592000000,"command":"run","cancelled":true}})",
    R"({"kind":"team","name":"t","spec":{"quota":{"cpu_milli":10000000},"weight":1000}})",
    R"({"kind":"constraint","name":"c","spec":{"regions":["r1","r2"],"racks":[],"needs_accelerator":true,"max_per_rack":4}})",
    R"({"kind":"policy","name":"default","spec":{"objective":"latency_first","batch_min_share_percent":0}})",
    R"({"kind":"worker","name":"w-1","spec":{"address":"127.0.0.1:1","region":"r","failure_domain":"d","rack":"k","capacity":{"cpu_milli":16000,"memory_mb":60000}}})",
};

} // namespace

/* Guards against fields that are lost or changed by encoding and decoding, for
   every kind of resource. */
TEST(ResourceJson, RoundTripKeepsEveryFieldOfEveryKind)
{
    for (const char *text : valid_resources) {
        mb_resource_t original, decoded;
        GError *error = nullptr;
        ASSERT_TRUE(mb_resource_json_decode(view(text), &original, &error))
            << error->message;
        std::string json = encode(&original);
        ASSERT_TRUE(mb_resource_json_decode(view(json), &decoded, &error));
        EXPECT_EQ(json, encode(&decoded));
        mb_resource_finish(&original);
        mb_resource_finish(&decoded);
    }
}

/* Guards against numbers that are truncated, and texts that are truncated at a
   quote or a line feed. */
RC_GTEST_PROP(ResourceJson, JobKeepsNumbersAndCommand, ())
{
    mb_resource_t job, decoded;
    mb_resource_init(&job, MB_RESOURCE_JOB, MB_STR_LIT("j"));
    mb_job_t *spec = &job.spec.job;
    std::string command = *rc::gen::nonEmpty(
        rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127)));
    mb_buf_set(&spec->team, MB_STR_LIT("t"));
    mb_buf_set(&spec->command, view(command));
    spec->task_class = (mb_class_t)*rc::gen::inRange(0, 3);
    spec->count = *rc::gen::inRange<uint32_t>(1, 1000001);
    spec->size.cpu_milli = *rc::gen::inRange<uint32_t>(1, 10000001);
    spec->run_time_ms = *rc::gen::inRange<uint32_t>(1, 2592000001u);
    std::string text = encode(&job);
    RC_ASSERT(mb_resource_json_decode(view(text), &decoded, nullptr));
    RC_ASSERT(encode(&decoded) == text);
    mb_resource_finish(&job);
    mb_resource_finish(&decoded);
}

/* Guards against invalid input that is accepted, and against error messages
   that don't name the invalid field and the allowed values. */
TEST(ResourceJson, DecodeErrorNamesTheFieldAndItsRange)
{
    std::string prefix = R"({"kind":"team","name":"t","spec":)";
    EXPECT_EQ(get_decode_error(prefix + R"({"quota":{},"weight":0}})"),
              "spec.weight: must be a whole number from 1 to 1000");
    EXPECT_EQ(get_decode_error(prefix + R"({"quota":{},"weight":1.5}})"),
              "spec.weight: must be a whole number from 1 to 1000");
    EXPECT_EQ(get_decode_error(prefix + R"({"quota":{},"wieght":1}})"),
              "spec.wieght: unknown field");
    EXPECT_EQ(get_decode_error(prefix + R"({"quota":{"cpu_milli":-1}}})"),
              "spec.quota.cpu_milli: must be a whole number from 0 to "
              "10000000");
    EXPECT_EQ(get_decode_error(prefix + R"({}})"), "spec.quota: missing");
    EXPECT_NE(get_decode_error(prefix + R"({"quota":{}},"extra":1})"), "");
    EXPECT_NE(get_decode_error(prefix + R"({"quota":{},"quota":{}}})"), "");
    EXPECT_NE(
        get_decode_error(
            R"({"kind":"policy","name":"x","spec":{"objective":"latency_first"}})"),
        "");
    EXPECT_NE(get_decode_error(
                  R"({"kind":"team","name":"../x","spec":{"quota":{}}})"),
              "");
    EXPECT_NE(get_decode_error("[]"), "");
    EXPECT_NE(get_decode_error(""), "");
}

/* Guards against a configuration that differs from a plain map after any
   sequence of writes and deletes, with an expected revision that is right or
   wrong, or without one. */
RC_GTEST_PROP(Config, BehavesLikeAMap, ())
{
    mb_epoch_t epoch;
    mb_config_t config;
    std::map<std::string, uint64_t> model;
    mb_epoch_init(&epoch);
    mb_config_init(&config, &epoch);
    auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        200, rc::gen::pair(rc::gen::inRange(0, 20), rc::gen::inRange(0, 6)));
    uint64_t revision = 0;
    for (auto &step : steps) {
        std::string name = "n" + std::to_string(step.first);
        uint64_t current = 0, present = model.count(name) ? model[name] : 0;
        uint64_t expected = step.second % 3 == 0   ? MB_REVISION_ANY
                            : step.second % 3 == 1 ? present
                                                   : present + 1;
        bool conflict = step.second % 3 == 2;
        mb_config_result_t result;
        revision++;
        if (step.second < 3) {
            mb_resource_t resource;
            mb_resource_init(&resource, MB_RESOURCE_TEAM, view(name));
            result = mb_config_put(&config, &resource, expected, revision,
                                   &current);
            RC_ASSERT(result ==
                      (conflict ? MB_CONFIG_CONFLICT : MB_CONFIG_APPLIED));
            model[name] = conflict ? present : revision;
            if (model[name] == 0) {
                model.erase(name);
            }
        }
        else {
            result = mb_config_delete(&config, MB_RESOURCE_TEAM, view(name),
                                      expected, revision, &current);
            RC_ASSERT(result == (conflict       ? MB_CONFIG_CONFLICT
                                 : present == 0 ? MB_CONFIG_MISSING
                                                : MB_CONFIG_APPLIED));
            if (!conflict) {
                model.erase(name);
            }
        }
        RC_ASSERT(current == present);
    }
    mb_epoch_enter(&epoch);
    const mb_config_version_t *version = mb_config_load(&config);
    RC_ASSERT(mb_config_count(version, MB_RESOURCE_TEAM) == model.size());
    for (auto &item : model) {
        const mb_resource_t *found =
            mb_config_find(version, MB_RESOURCE_TEAM, view(item.first));
        RC_ASSERT(found != nullptr);
        RC_ASSERT(found->revision == item.second);
    }
    mb_epoch_leave(&epoch);
    mb_config_finish(&config);
    mb_epoch_finish(&epoch);
}

/* Guards against a write whose cost grows with the number of workers: in a
   fleet of 23,000 workers, the size that the scheduler is designed for, every
   write would be slow. Each worker is written twice. */
TEST(Config, WritesStayCheapWithManyWorkers)
{
    mb_epoch_t epoch;
    mb_config_t config;
    uint64_t current;
    mb_epoch_init(&epoch);
    mb_config_init(&config, &epoch);
    for (uint64_t i = 1; i <= 46000; i++) {
        mb_resource_t resource;
        std::string name = "w" + std::to_string(i % 23000);
        mb_resource_init(&resource, MB_RESOURCE_WORKER, view(name));
        ASSERT_EQ(
            mb_config_put(&config, &resource, MB_REVISION_ANY, i, &current),
            MB_CONFIG_APPLIED);
    }
    mb_epoch_enter(&epoch);
    EXPECT_EQ(mb_config_count(mb_config_load(&config), MB_RESOURCE_WORKER),
              23000u);
    mb_epoch_leave(&epoch);
    mb_config_finish(&config);
    mb_epoch_finish(&epoch);
}

/* Guards against a snapshot of the configuration that loses resources or
   their revisions. */
TEST(ConfigRecord, RoundTripKeepsTheResourceAndRevisions)
{
    mb_config_codec_t codec = mb_config_record_codec();
    mb_buf_t out = {};
    for (const char *text : valid_resources) {
        mb_resource_t resource, decoded;
        mb_config_write_t write, read;
        ASSERT_TRUE(mb_resource_json_decode(view(text), &resource, nullptr));
        write = {false, resource.kind, mb_buf_view(&resource.name), 5,
                 9,     &resource};
        mb_buf_clear(&out);
        codec.encode(codec.context, &out, &write);
        mb_str_t rest = mb_buf_view(&out);
        ASSERT_TRUE(codec.decode(codec.context, &rest, &read, &decoded));
        EXPECT_EQ(rest.len, 0u);
        EXPECT_EQ(read.expected, 5u);
        EXPECT_EQ(read.revision, 9u);
        EXPECT_EQ(encode(&decoded), encode(&resource));
        mb_resource_finish(&decoded);
        mb_resource_finish(&resource);
    }
    mb_buf_finish(&out);
}
