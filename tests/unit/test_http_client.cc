/* Tests of the HTTP client against a server that ends connections early, or
   sends slowly. */
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "loopback_listener.h"

extern "C" {
#include "mb_http_client.h"
}

namespace {

/* A server that accepts connections one after the other. It sends
   `first_response` to the very first request, and closes the connection
   without a response at each later request. With `parts` it sends the response
   to every request, in so many parts with pauses between them. After
   `sent_parts` it stops and waits for the client to end the connection. */
class Server {
  public:
    explicit Server(const std::string &first_response, size_t parts = 0,
                    size_t sent_parts = SIZE_MAX)
        : first_response_(first_response), parts_(parts),
          sent_parts_(sent_parts)
    {
        url = "http://" + listener_.address;
        thread_ = std::thread([this] { serve(); });
    }

    ~Server()
    {
        listener_.stop();
        thread_.join();
    }

    std::string url;
    std::atomic<int> requests{0};

    static constexpr int PAUSE_MS = 60;

  private:
    /* Sends the response in parts. */
    void send_slowly(int fd)
    {
        size_t size = first_response_.size() / parts_ + 1;
        for (size_t i = 0; i < std::min(parts_, sent_parts_); i++) {
            std::string part = first_response_.substr(
                std::min(i * size, first_response_.size()), size);
            (void)send(fd, part.data(), part.size(), MSG_NOSIGNAL);
            (void)usleep(PAUSE_MS * 1000);
        }
    }

    void serve()
    {
        int fd;
        while ((fd = listener_.accept_next()) >= 0) {
            while (read_request(fd)) {
                if (parts_ > 0) {
                    requests++;
                    send_slowly(fd);
                    if (sent_parts_ >= parts_) {
                        break;
                    }
                    continue;
                }
                if (requests++ > 0) {
                    break;
                }
                EXPECT_EQ(send(fd, first_response_.data(),
                               first_response_.size(), 0),
                          (ssize_t)first_response_.size());
                if (first_response_.find("Connection: close") !=
                    std::string::npos) {
                    break;
                }
            }
            (void)close(fd);
        }
    }

    /* Reads one request, whose body must be "body"; false when the connection
       has ended. */
    static bool read_request(int fd)
    {
        std::string text;
        char part[1024];
        while (text.find("\r\n\r\nbody") == std::string::npos) {
            ssize_t count = recv(fd, part, sizeof(part), 0);
            if (count <= 0) {
                return false;
            }
            text.append(part, (size_t)count);
        }
        return true;
    }

    std::string first_response_;
    size_t parts_;
    size_t sent_parts_;
    LoopbackListener listener_;
    std::thread thread_;
};

/* A server that answers the first request, and on the second one, once it has
   read it, closes the connection and no longer accepts others. */
class VanishingServer {
  public:
    VanishingServer()
    {
        url = "http://" + listener_->address;
        thread_ = std::thread([this] { serve(); });
    }
    ~VanishingServer()
    {
        thread_.join();
    }

    std::string url;
    std::atomic<int> requests{0};

  private:
    void serve()
    {
        static const char response[] =
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        char part[1024];
        int fd = listener_->accept_next();
        while (requests < 2 && recv(fd, part, sizeof(part), 0) > 0) {
            if (++requests == 1) {
                (void)send(fd, response, sizeof(response) - 1, MSG_NOSIGNAL);
            }
        }
        listener_.reset();
        (void)close(fd);
    }

    std::unique_ptr<LoopbackListener> listener_ =
        std::make_unique<LoopbackListener>();
    std::thread thread_;
};

/* A server with a thread for each connection. Once `silent` is set, it no
   longer answers on the connections that are open then, without closing
   them. */
class SilentServer {
  public:
    SilentServer()
    {
        url = "http://" + listener_.address;
        acceptor_ = std::thread([this] { accept_connections(); });
    }
    ~SilentServer()
    {
        listener_.stop();
        acceptor_.join();
        for (int fd : connections_) {
            (void)shutdown(fd, SHUT_RDWR);
        }
        for (std::thread &thread : threads_) {
            thread.join();
        }
    }

    std::string url;
    std::atomic<int> accepted{0};
    std::atomic<int> silent{0}; /* so many connections are silent */

  private:
    void accept_connections()
    {
        int fd;
        while ((fd = listener_.accept_next()) >= 0) {
            int number = accepted++;
            connections_.push_back(fd);
            threads_.emplace_back([this, fd, number] { serve(fd, number); });
        }
    }
    /* The pause lets concurrent calls need a connection each. */
    void serve(int fd, int number)
    {
        static const char response[] =
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        char part[1024];
        while (recv(fd, part, sizeof(part), 0) > 0) {
            (void)usleep(50000);
            if (number >= silent) {
                (void)send(fd, response, sizeof(response) - 1, MSG_NOSIGNAL);
            }
        }
        (void)close(fd);
    }

    LoopbackListener listener_;
    std::thread acceptor_; /* the only user of the following while it runs */
    std::vector<int> connections_;
    std::vector<std::thread> threads_;
};

/* A client on a running event loop of its own. */
class HttpClient : public testing::Test {
  protected:
    struct Call {
        mb_loop_task_t task;
        HttpClient *test;
        std::string url;
        uint32_t timeout_ms;
        uint32_t idle_timeout_ms;
        std::promise<std::pair<mb_kind_t, std::string>> result;
    };

    void SetUp() override
    {
        ASSERT_TRUE(mb_loop_init(&loop, 16, nullptr));
        ASSERT_TRUE(mb_http_client_init(&client, &loop, 4, 4096, nullptr));
        ASSERT_TRUE(mb_loop_start(&loop, nullptr));
    }

    void TearDown() override
    {
        mb_loop_stop(&loop);
        mb_http_client_finish(&client);
        mb_loop_finish(&loop);
    }

    /* Sends a POST and waits for its result. */
    std::pair<mb_kind_t, std::string> post(const std::string &url,
                                           uint32_t timeout_ms = 5000,
                                           uint32_t idle_timeout_ms = 0)
    {
        Call call = {};
        start(&call, url, timeout_ms, idle_timeout_ms);
        return call.result.get_future().get();
    }

    /* Sends a POST; one with an idle time-out is idempotent. */
    void start(Call *call, const std::string &url, uint32_t timeout_ms,
               uint32_t idle_timeout_ms)
    {
        call->task.run = run;
        call->test = this;
        call->url = url;
        call->timeout_ms = timeout_ms;
        call->idle_timeout_ms = idle_timeout_ms;
        EXPECT_TRUE(mb_loop_post(&loop, &call->task));
    }

    static void run(mb_loop_task_t *task)
    {
        Call *call = reinterpret_cast<Call *>(task);
        mb_http_call_t http = {};
        http.method = MB_STR_LIT("POST");
        http.url = {call->url.data(), call->url.size()};
        http.body = MB_STR_LIT("body");
        http.timeout_ms = call->timeout_ms;
        http.idle_timeout_ms = call->idle_timeout_ms;
        http.idempotent = call->idle_timeout_ms > 0;
        http.context = call;
        http.done = [](void *context, const mb_http_result_t *result) {
            static_cast<Call *>(context)->result.set_value(
                {result->kind,
                 std::string(result->body.data, result->body.len)});
        };
        EXPECT_TRUE(mb_http_client_call(&call->test->client, &http));
    }

    mb_loop_t loop;
    mb_http_client_t client;
};

} // namespace

/* Guards against passing on a response as complete when the connection ended
   before Content-Length bytes of the body were received. */
TEST_F(HttpClient, TruncatedBodyIsAnUpstreamFailure)
{
    Server server("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n"
                  "Connection: close\r\n\r\npart");
    EXPECT_EQ(post(server.url).first, MB_KIND_UPSTREAM_FAILED);
    EXPECT_EQ(server.requests, 1);
}

/* Guards against servers whose responses, within the limit of each, take more
   memory together than the process has, and against a budget that is not
   returned. */
TEST_F(HttpClient, ResponsesOfAllCallsAreLimited)
{
    client.received_max = 200;
    Server large("HTTP/1.1 200 OK\r\nContent-Length: 300\r\n"
                 "Connection: close\r\n\r\n" +
                 std::string(300, 'x'));
    Server small("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n"
                 "Connection: close\r\n\r\n" +
                 std::string(100, 'x'));
    EXPECT_EQ(post(large.url).first, MB_KIND_UPSTREAM_FAILED);
    EXPECT_EQ(post(small.url).first, MB_KIND_COUNT);
}

/* Guards against a POST that runs twice because libcurl itself repeats it when
   a reused connection ends without a response. */
TEST_F(HttpClient, PostOnAReusedConnectionIsSentOnce)
{
    Server server("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    auto first = post(server.url);
    EXPECT_EQ(first.first, MB_KIND_COUNT);
    EXPECT_EQ(first.second, "ok");
    EXPECT_EQ(post(server.url).first, MB_KIND_UPSTREAM_FAILED);
    EXPECT_EQ(server.requests, 2);
}

/* Guards against an answer that arrives steadily, but takes longer than the
   time-out, and is requested again and again. */
TEST_F(HttpClient, SlowAnswerDoesNotExceedTheIdleTimeout)
{
    const std::string body(2000, 'x');
    const std::string response =
        "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + body;
    Server first(response, 15);
    EXPECT_EQ(post(first.url, 300).first, MB_KIND_UNKNOWN_OUTCOME);
    Server second(response, 15);
    auto result = post(second.url, 0, 300);
    EXPECT_EQ(result.first, MB_KIND_COUNT);
    EXPECT_EQ(result.second, body);
}

/* Guards against a call that waits for good after a part of the answer, or
   before it. */
TEST_F(HttpClient, SilentConnectionExceedsTheIdleTimeout)
{
    for (size_t sent_parts : {0, 4}) {
        Server server("HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" +
                          std::string(2000, 'x'),
                      15, sent_parts);
        auto start = std::chrono::steady_clock::now();
        EXPECT_EQ(post(server.url, 0, 300).first, MB_KIND_UNKNOWN_OUTCOME);
        auto elapsed = std::chrono::steady_clock::now() - start;
        EXPECT_GE(elapsed, std::chrono::milliseconds(290));
        EXPECT_LT(elapsed, std::chrono::seconds(3));
    }
}

/* Guards against calls that try one silent connection of the pool after the
   other, each until its time-out. */
TEST_F(HttpClient, OneTimeoutIsEnoughWhenAllConnectionsAreSilent)
{
    SilentServer server;
    std::vector<Call> calls(3);
    for (Call &call : calls) {
        start(&call, server.url, 0, 2000);
    }
    for (Call &call : calls) {
        EXPECT_EQ(call.result.get_future().get().second, "ok");
    }
    EXPECT_EQ(server.accepted, 3);
    /* libcurl counts the age of a connection in whole seconds. */
    std::this_thread::sleep_for(std::chrono::milliseconds(2100));
    server.silent = 3;
    EXPECT_EQ(post(server.url, 0, 300).first, MB_KIND_UNKNOWN_OUTCOME);
    EXPECT_EQ(post(server.url, 0, 300).second, "ok");
    EXPECT_EQ(server.accepted, 4);
    std::vector<Call> later(3);
    for (Call &call : later) {
        start(&call, server.url, 0, 300);
    }
    for (Call &call : later) {
        EXPECT_EQ(call.result.get_future().get().second, "ok");
    }
    EXPECT_EQ(server.accepted, 6);
}

/* Guards against a request reported as not run although the server has read
   it: libcurl repeats an idempotent request when a reused connection ends
   without a response, and the repetition may find no server any more. */
TEST_F(HttpClient, RepeatedRequestThatCantConnectMayHaveRun)
{
    VanishingServer server;
    EXPECT_EQ(post(server.url, 0, 2000).second, "ok");
    mb_kind_t kind = post(server.url, 0, 2000).first;
    EXPECT_NE(kind, MB_KIND_COUNT);
    EXPECT_TRUE(mb_kind_info(kind)->may_have_run) << "kind " << kind;
    EXPECT_EQ(server.requests, 2);
}
