/* Tests of the HTTP client against a server that ends connections early. */
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <atomic>
#include <future>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

extern "C" {
#include "mb_http_client.h"
}

namespace {

/* A server that accepts connections one after the other. It sends
   `first_response` to the very first request, and closes the connection
   without a response at each later request. */
class Server {
  public:
    explicit Server(const std::string &first_response)
        : first_response_(first_response)
    {
        sockaddr_in address = {};
        socklen_t size = sizeof(address);
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        EXPECT_EQ(bind(listener_, (sockaddr *)&address, size), 0);
        EXPECT_EQ(listen(listener_, 8), 0);
        EXPECT_EQ(getsockname(listener_, (sockaddr *)&address, &size), 0);
        url = "http://127.0.0.1:" + std::to_string(ntohs(address.sin_port));
        thread_ = std::thread([this] { serve(); });
    }

    ~Server()
    {
        (void)shutdown(listener_, SHUT_RDWR);
        thread_.join();
        (void)close(listener_);
    }

    std::string url;
    std::atomic<int> requests{0};

  private:
    void serve()
    {
        int fd;
        while ((fd = accept(listener_, nullptr, nullptr)) >= 0) {
            while (read_request(fd)) {
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
    int listener_;
    std::thread thread_;
};

/* A client on a running event loop of its own. */
class HttpClient : public testing::Test {
  protected:
    struct Call {
        mb_loop_task_t task;
        HttpClient *test;
        std::string url;
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

    /* Sends a non-idempotent POST and waits for its result. */
    std::pair<mb_kind_t, std::string> post(const std::string &url)
    {
        Call call = {};
        call.task.run = run;
        call.test = this;
        call.url = url;
        EXPECT_TRUE(mb_loop_post(&loop, &call.task));
        return call.result.get_future().get();
    }

    static void run(mb_loop_task_t *task)
    {
        Call *call = reinterpret_cast<Call *>(task);
        mb_http_call_t http = {};
        http.method = MB_STR_LIT("POST");
        http.url = {call->url.data(), call->url.size()};
        http.body = MB_STR_LIT("body");
        http.timeout_ms = 5000;
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
