/* Decodes messages that are damaged at random: those between the owner and the
   agents, the records of the job log, and the platform's JSON. Guards against
   input that ends the process, that is read beyond its end, or for which
   memory is taken that it does not fill. Built with the sanitizers in CI. */
#include <gtest/gtest.h>

#include <functional>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "mb_dag_record.h"
#include "mb_frame.h"
#include "mb_order_codec.h"
#include "mbp_jobs.h"
#include "mbp_registration.h"
}

static const mb_dag_id_t job_id = {{'0', '1', '2', '3', '4', '5', '6', '7',
                                    '8', '9', 'a', 'b', 'c', 'd', 'e', 'f'}};

static const mb_dag_task_id_t job_task = {job_id, UINT32_MAX, UINT32_MAX,
                                          UINT32_MAX};

/* Checks that an encoded order or report fits in a frame. */
static void
expect_frame(const mb_buf_t &bytes)
{
    mb_buf_t frame = {};
    mb_message_t message = {};
    message.type = MB_MESSAGE_ORDER;
    message.body.packed = mb_buf_view(&bytes);
    mb_frame_encode(&frame, &message);
    EXPECT_LE(frame.len, MB_FRAME_LENGTH_BYTES + MB_FRAME_MAX);
    mb_buf_finish(&frame);
}

/* Damages a text: changes, removes, repeats or inserts bytes, or cuts it. */
static void
damage(std::string &text, std::mt19937_64 &random)
{
    static const std::string odd = {
        '\x00', '\x7f', '\x80', '\x91', '\x9f', '\xc1', '\xc6', '\xcf',
        '\xdb', '\xdd', '\xdf', '\xff', '[',    '{',    '"',    '9'};
    for (uint64_t left = 1 + random() % 4; left > 0 && !text.empty(); left--) {
        size_t at = random() % text.size();
        size_t len = 1 + random() % 8;
        switch (random() % 5) {
        case 0:
            text[at] = (char)(random() % 256);
            break;
        case 1:
            text[at] = odd[random() % odd.size()];
            break;
        case 2:
            text.erase(at, len);
            break;
        case 3:
            text.insert(at, text.substr(random() % text.size(), len));
            break;
        default:
            text.insert(at, len, odd[random() % odd.size()]);
            break;
        }
        if (random() % 16 == 0) {
            text.resize(random() % (text.size() + 1));
        }
    }
}

/* Passes damaged copies of the messages to a decoder. MB_SEED and MB_HISTORIES
   choose the seed and the number of copies. */
static void
decode_damaged(const std::vector<std::string> &messages,
               const std::function<void(const std::string &)> &decode)
{
    const char *seed_text = g_getenv("MB_SEED");
    const char *count_text = g_getenv("MB_HISTORIES");
    uint64_t seed =
        seed_text == nullptr ? 20261205 : strtoull(seed_text, nullptr, 10);
    uint64_t count =
        count_text == nullptr ? 20000 : strtoull(count_text, nullptr, 10);
    std::mt19937_64 random(seed);
    for (uint64_t i = 0; i < count; i++) {
        std::string text = messages[i % messages.size()];
        damage(text, random);
        decode(text);
    }
}

static std::string
take_text(mb_buf_t *buf)
{
    std::string text(buf->data, buf->len);
    mb_buf_finish(buf);
    return text;
}

static std::string
make_report()
{
    mb_report_t report;
    mb_buf_t bytes = {};
    mb_report_run_t run = {};
    mb_report_end_t end = {};
    mb_report_refusal_t refusal = {};
    mb_report_init(&report);
    run.task.job = end.task.job = refusal.task.job = job_id;
    run.checkpoint = end.checkpoint = MB_STR_LIT("checkpoint");
    report.worker.name = MB_STR_LIT("i-1");
    report.worker.service = MB_STR_LIT("service");
    report.worker.label_count = 1;
    report.worker.labels[0] = MB_STR_LIT("a");
    g_array_append_val(report.runs, run);
    g_array_append_val(report.ends, end);
    g_array_append_val(report.refusals, refusal);
    mb_report_encode(&bytes, &report);
    mb_report_finish(&report);
    return take_text(&bytes);
}

static std::string
make_order()
{
    mb_order_t order;
    mb_buf_t bytes = {};
    mb_order_start_t start = {};
    mb_order_stop_t stop = {};
    mb_order_throttle_t throttle = {};
    mb_order_init(&order);
    start.task.job = stop.task.job = throttle.task.job = job_id;
    start.payload = MB_STR_LIT("payload");
    start.image = MB_STR_LIT("image");
    g_array_append_val(order.starts, start);
    g_array_append_val(order.stops, stop);
    g_array_append_val(order.throttles, throttle);
    mb_order_encode(&bytes, &order);
    mb_order_finish(&order);
    return take_text(&bytes);
}

TEST(Decoders, DamagedOrdersAndReports)
{
    mb_order_decoder_t decoder;
    ASSERT_TRUE(mb_order_decoder_init(&decoder));
    decode_damaged({make_order(), make_report()},
                   [&decoder](const std::string &text) {
                       mb_str_t bytes = {text.data(), text.size()};
                       (void)mb_order_decode(&decoder, bytes, nullptr);
                       (void)mb_report_decode(&decoder, bytes, nullptr);
                   });
    mb_order_decoder_finish(&decoder);
}

/* Returns a value for each kind of record, after its key and a blank. */
static std::vector<std::string>
make_records()
{
    mb_buf_t values[9] = {};
    mb_dag_step_t step = {};
    mb_dag_spec_t spec = {};
    mb_ownership_record_t owner = {7, 8, 9, false};
    mb_dag_task_id_t task = {job_id, 0, 0, 26};
    mb_headroom_pair_t pair = {1, 0.5, 2};
    uint64_t failed_runs[] = {1, 2};
    mb_dag_range_t range = {3, 9};
    uint32_t number = 11;
    mb_job_memory_record_t memory = {1u << 25, 1u << 20};
    mb_dag_progress_row_t row = {0, 1, 2, failed_runs, MB_STR_LIT("c")};
    g_autoptr(GArray) rows = g_array_new(FALSE, FALSE, sizeof(row));
    g_autoptr(GArray) tasks = g_array_new(FALSE, FALSE, sizeof(task));
    g_autoptr(GArray) pairs = g_array_new(FALSE, FALSE, sizeof(pair));
    step.count = 4;
    step.size = {100, 100, 0};
    spec.id = job_id;
    spec.policy.queue = spec.policy.service = MB_STR_LIT("service");
    spec.policy.max_attempts = 2;
    spec.step_count = 1;
    spec.steps = &step;
    g_array_append_val(rows, row);
    g_array_append_val(tasks, task);
    g_array_append_val(pairs, pair);
    g_autoptr(GArray) finished = g_array_new(FALSE, FALSE, sizeof(range));
    g_autoptr(GArray) numbers = g_array_new(FALSE, FALSE, sizeof(number));
    g_array_append_val(finished, range);
    g_array_append_val(numbers, number);
    mb_dag_progress_t progress = {
        job_id,  MB_DAG_OPEN,        true, false, finished,
        numbers, MB_STR_LIT("\x03"), rows, 0};
    mb_dag_absence_record_t absence = {1, tasks};
    mb_dag_record_encode_job(&values[0], &spec);
    mb_dag_record_encode_progress(&values[1], &progress);
    mb_dag_record_encode_agent(&values[2], 5);
    mb_dag_record_encode_owner(&values[3], &owner);
    mb_dag_record_encode_headroom_pairs(&values[4], pairs);
    mb_dag_record_encode_absence(&values[5], &absence);
    mb_backlog_forecast_t backlog;
    mb_backlog_ratio_t ratio = {21, 2500};
    mb_backlog_forecast_init(&backlog);
    mb_backlog_get_class(backlog.classes, 11, 1)->work_ms[31] = 5;
    g_array_append_val(backlog.ratios, ratio);
    mb_dag_record_encode_backlog(&values[6], &backlog);
    mb_backlog_forecast_finish(&backlog);
    progress.is_sparse = true;
    mb_dag_record_encode_progress(&values[7], &progress);
    mb_dag_record_encode_scheduler(&values[8], &memory);
    std::string id = "0123456789abcdef ";
    std::string address = "10.0.0.1:7480 ";
    return {"j" + id + take_text(&values[0]),
            "s" + id + take_text(&values[1]),
            "w" + address + take_text(&values[2]),
            "o " + take_text(&values[3]),
            "l " + take_text(&values[4]),
            "a" + address + take_text(&values[5]),
            "b " + take_text(&values[6]),
            "s" + id + take_text(&values[7]),
            "m" + address + take_text(&values[8])};
}

TEST(Decoders, DamagedRecords)
{
    mb_dag_record_decoder_t decoder;
    ASSERT_TRUE(mb_dag_record_decoder_init(&decoder));
    decode_damaged(make_records(), [&decoder](const std::string &text) {
        mb_dag_record_t record;
        size_t blank = MIN(text.find(' '), text.size());
        mb_str_t key = {text.data(), blank};
        mb_str_t value = {text.data() + blank, text.size() - blank};
        if (value.len > 0) {
            value.data++;
            value.len--;
        }
        (void)mb_dag_record_decode(&decoder, key, value, &record, nullptr);
    });
    mb_dag_record_decoder_finish(&decoder);
}

TEST(Decoders, DamagedHeartbeats)
{
    static mbp_registration_filter_t filter = {{"svc", 3}};
    mb_registration_codec_t codec = mbp_registration_codec(&filter);
    uint64_t taken = 0;
    decode_damaged(
        {"{\"service\":\"svc\",\"address\":\"10.0.0.1:1\",\"zone\":\"z\","
         "\"state\":\"ready\",\"capacity\":{\"cpu\":16000,"
         "\"memory_limit_mb\":100,\"gpu\":1},\"labels\":[\"a\",\"r1-3\"],"
         "\"sequence\":4,\"born\":12}"},
        [&codec, &taken](const std::string &text) {
            (void)codec.read(
                codec.context, MB_STR_LIT("POST"),
                MB_STR_LIT("/api/Instances.Heartbeat/i-1"),
                {text.data(), text.size()},
                [](void *context, const mb_registration_t *registration) {
                    EXPECT_LE(registration->worker.capacity.accelerators,
                              10000u);
                    (*static_cast<uint64_t *>(context))++;
                },
                &taken, nullptr);
        });
    EXPECT_GT(taken, 0u);
}

/* Guards against a message that its receiver rejects because it is longer than
   a frame or has too many rows: rows are added while the message says that
   they fit. */
TEST(Decoders, FullOrdersAndReportsAreAccepted)
{
    const std::string text(MB_DAG_PAYLOAD_MAX, 'x');
    mb_order_decoder_t decoder;
    ASSERT_TRUE(mb_order_decoder_init(&decoder));
    for (size_t length : {0, 1, 40, 1000}) {
        mb_order_t order;
        mb_report_t report;
        mb_buf_t bytes = {};
        mb_order_start_t start = {};
        mb_order_stop_t stop = {job_task, UINT64_MAX};
        mb_report_run_t run = {};
        mb_report_end_t end = {};
        mb_report_refusal_t refusal = {job_task, UINT64_MAX,
                                       MB_REFUSAL_EXPIRED};
        mb_order_init(&order);
        start.task = job_task;
        start.run = UINT64_MAX;
        start.payload = {text.data(), 4 * length};
        start.checkpoint = {text.data(), length};
        while (order.starts->len < 3000 &&
               mb_order_add_start(&order, &start)) {
        }
        while (mb_order_add_stop(&order, &stop)) {
        }
        mb_order_encode(&bytes, &order);
        expect_frame(bytes);
        EXPECT_TRUE(mb_order_decode(&decoder, mb_buf_view(&bytes), nullptr));
        mb_buf_clear(&bytes);
        mb_report_init(&report);
        run.task = end.task = job_task;
        run.run = end.run = end.number = UINT64_MAX;
        run.checkpoint = end.checkpoint = {text.data(), length};
        while (report.runs->len < 4096 && mb_report_add_run(&report, &run)) {
        }
        EXPECT_EQ(report.runs->len, 4096u);
        while (report.ends->len < 500 && mb_report_add_end(&report, &end)) {
        }
        while (mb_report_add_refusal(&report, &refusal)) {
        }
        mb_report_encode(&bytes, &report);
        expect_frame(bytes);
        EXPECT_TRUE(mb_report_decode(&decoder, mb_buf_view(&bytes), nullptr));
        mb_order_finish(&order);
        mb_report_finish(&report);
        mb_buf_finish(&bytes);
    }
    mb_order_decoder_finish(&decoder);
}
