/* Tests of the calls to the platform's executor, against a server that ends
   connections. */
#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "loopback_listener.h"

extern "C" {
#include "mbp_executor.h"
}

namespace {

/* Reads one request, which ends with the end of a JSON object; false when
   the connection has ended. */
static bool
read_request(int fd)
{
    std::string text;
    char part[1024];
    while (text.find("\r\n\r\n{") == std::string::npos || text.back() != '}') {
        ssize_t count = recv(fd, part, sizeof(part), 0);
        if (count <= 0) {
            return false;
        }
        text.append(part, (size_t)count);
    }
    return true;
}

/* An executor that accepts connections one after the other. It answers the
   first request, carries out the second one and closes the connection without
   a response, and answers later ones with 503. */
class ResettingExecutor {
  public:
    ResettingExecutor()
    {
        thread_ = std::thread([this] { serve(); });
    }
    ~ResettingExecutor()
    {
        listener.stop();
        thread_.join();
    }

    LoopbackListener listener;
    std::atomic<int> requests{0};

  private:
    void serve()
    {
        int fd;
        while ((fd = listener.accept_next()) >= 0) {
            while (read_request(fd)) {
                requests++;
                if (requests == 2) {
                    break;
                }
                std::string response =
                    requests == 1
                        ? "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n"
                          "{\"clock_ms\":5}"
                        : "HTTP/1.1 503 Service Unavailable\r\n"
                          "Content-Length: 0\r\n\r\n";
                (void)send(fd, response.data(), response.size(), MSG_NOSIGNAL);
            }
            (void)close(fd);
        }
    }

    std::thread thread_;
};

/* An executor that answers every request with the same JSON text. */
class AnsweringExecutor {
  public:
    explicit AnsweringExecutor(const std::string &body) : body_(body)
    {
        thread_ = std::thread([this] { serve(); });
    }
    ~AnsweringExecutor()
    {
        listener.stop();
        (void)shutdown(connection_, SHUT_RDWR);
        thread_.join();
    }

    LoopbackListener listener;

  private:
    void serve()
    {
        std::string response = "HTTP/1.1 200 OK\r\nContent-Length: " +
                               std::to_string(body_.size()) + "\r\n\r\n" +
                               body_;
        int fd;
        while ((fd = listener.accept_next()) >= 0) {
            connection_ = fd;
            while (read_request(fd)) {
                (void)send(fd, response.data(), response.size(), MSG_NOSIGNAL);
            }
            (void)close(fd);
        }
    }

    std::string body_;
    std::atomic<int> connection_{-1}; /* the latest one */
    std::thread thread_;
};

/* The adapter on a running event loop of its own. */
class Executor : public testing::Test {
  protected:
    struct Start {
        mb_loop_task_t task;
        Executor *test;
        std::promise<mb_executor_result_t> result;
    };

    void SetUp() override
    {
        mb_log_t log = mb_log_null();
        ASSERT_TRUE(mb_loop_init(&loop, 16, nullptr));
        ASSERT_TRUE(mb_http_client_init(&client, &loop, 4, 4096, nullptr));
        mbp_executor_init(
            &executor, &client,
            {server.listener.address.data(), server.listener.address.size()},
            &log);
        ASSERT_TRUE(mb_loop_start(&loop, nullptr));
    }

    void TearDown() override
    {
        mb_loop_stop(&loop);
        mb_http_client_finish(&client);
        mb_loop_finish(&loop);
    }

    /* Starts a run and waits for the result of the call. */
    mb_executor_result_t start_run()
    {
        Start start = {};
        start.task.run = run;
        start.test = this;
        EXPECT_TRUE(mb_loop_post(&loop, &start.task));
        return start.result.get_future().get();
    }

    static void run(mb_loop_task_t *task)
    {
        Start *start = reinterpret_cast<Start *>(task);
        mb_executor_t calls = mbp_executor_interface(&start->test->executor);
        mb_executor_call_t call = {};
        mb_order_start_t order = {};
        EXPECT_TRUE(
            mb_dag_id_parse(MB_STR_LIT("0123456789abcdef"), &order.task.job));
        order.run = 1;
        call.worker = MB_STR_LIT("i-1");
        call.timeout_ms = 2000;
        call.context = start;
        call.done = [](void *context, const mb_executor_answer_t *answer) {
            static_cast<Start *>(context)->result.set_value(answer->result);
        };
        EXPECT_TRUE(calls.start(calls.context, &call, &order, 1000));
    }

    struct List {
        mb_loop_task_t task;
        mb_executor_t calls;
        std::vector<mb_report_end_t> ends;
        std::promise<mb_executor_result_t> result;
    };

    /* Returns the ends, without checkpoints, that the adapter takes from the
       member `finished` of a list. */
    std::vector<mb_report_end_t> list_ends(const std::string &finished)
    {
        AnsweringExecutor answering(
            "{\"born\":1,\"clock_ms\":5,\"active\":[],\"finished\":[" +
            finished + "]}");
        mbp_executor_t adapter;
        mb_log_t log = mb_log_null();
        mbp_executor_init(&adapter, &client,
                          {answering.listener.address.data(),
                           answering.listener.address.size()},
                          &log);
        List list = {};
        list.task.run = run_list;
        list.calls = mbp_executor_interface(&adapter);
        EXPECT_TRUE(mb_loop_post(&loop, &list.task));
        EXPECT_EQ(list.result.get_future().get(), MB_EXECUTOR_OK);
        return list.ends;
    }

    static void run_list(mb_loop_task_t *task)
    {
        List *list = reinterpret_cast<List *>(task);
        mb_executor_call_t call = {};
        call.worker = MB_STR_LIT("i-1");
        call.timeout_ms = 2000;
        call.context = list;
        call.done = [](void *context, const mb_executor_answer_t *answer) {
            List *into = static_cast<List *>(context);
            for (guint i = 0; i < answer->ends->len; i++) {
                into->ends.push_back(
                    g_array_index(answer->ends, mb_report_end_t, i));
                into->ends.back().checkpoint = MB_STR_EMPTY;
            }
            into->result.set_value(answer->result);
        };
        EXPECT_TRUE(list->calls.list(list->calls.context, &call, 0, 1000, 0));
    }

    ResettingExecutor server;
    mb_loop_t loop;
    mb_http_client_t client;
    mbp_executor_t executor;
};

} // namespace

/* Guards against a start that is reported as refused although it was carried
   out: libcurl repeats an idempotent request when a reused connection ends
   without a response, and only the answer to the repetition is seen. */
TEST_F(Executor, StartWithoutAResponseIsNotRepeated)
{
    EXPECT_EQ(start_run(), MB_EXECUTOR_OK);
    EXPECT_EQ(start_run(), MB_EXECUTOR_UNANSWERED);
    EXPECT_EQ(server.requests, 2);
}

/* An end with an unknown outcome was left out: it was never acknowledged, and
   each list that repeated it wrote a line to the log. */
TEST_F(Executor, EndWithAnUnknownOutcomeCountsAsStopped)
{
    const std::string task = "\"0123456789abcdef.0.0.1\"";
    auto ends = list_ends("[1," + task + ",1,\"done\",\"\"],[2," + task +
                          ",2,\"evaporated\",\"\"],[3," + task +
                          ",3,7,\"\"],[4," + task + ",4,\"failed\",\"\"]");
    ASSERT_EQ(ends.size(), 4u);
    EXPECT_EQ(ends[0].how, MB_RUN_DONE);
    EXPECT_EQ(ends[1].how, MB_RUN_STOPPED);
    EXPECT_EQ(ends[1].number, 2u);
    EXPECT_EQ(ends[2].how, MB_RUN_STOPPED);
    EXPECT_EQ(ends[3].how, MB_RUN_FAILED);
}

/* Guards against an end that hides those beside it because its number, run
   number or task can't be read. */
TEST_F(Executor, EndThatCannotBeReadLeavesTheOthers)
{
    const std::string task = "\"0123456789abcdef.0.0.1\"";
    auto ends = list_ends("[-1," + task +
                          ",1,\"done\",\"\"],[2,\"0.0.1\",1,\"done\",\"\"]," +
                          "[3," + task + ",1.5,\"done\",\"\"],null,[4," +
                          task + ",1,\"done\",\"\"]");
    ASSERT_EQ(ends.size(), 1u);
    EXPECT_EQ(ends[0].number, 4u);
    EXPECT_EQ(ends[0].how, MB_RUN_DONE);
}
