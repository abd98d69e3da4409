/* Tests of the limits of the HTTP server, against a server on a loopback
   address whose handler returns the size of the body. */
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "mb_atomic.h"
#include "mb_http_server.h"
}

namespace {

constexpr size_t BODY_MAX = 100000;

/* A connection to the server. */
class Client {
  public:
    explicit Client(const sockaddr_in &address)
        : fd_(socket(AF_INET, SOCK_STREAM, 0))
    {
        timeval timeout = {10, 0};
        (void)setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &timeout,
                         sizeof(timeout));
        EXPECT_EQ(connect(fd_, reinterpret_cast<const sockaddr *>(&address),
                          sizeof(address)),
                  0);
    }
    ~Client()
    {
        (void)close(fd_);
    }
    void send(const std::string &text)
    {
        (void)::send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
    }
    void post(const std::string &headers)
    {
        send("POST /x HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n");
    }
    /* Reads up to the end of the connection, or until `until` was received. */
    std::string read(const std::string &until = "no such text")
    {
        std::string all;
        char part[4096];
        ssize_t count;
        while (all.find(until) == std::string::npos &&
               (count = recv(fd_, part, sizeof(part), 0)) > 0) {
            all.append(part, (size_t)count);
        }
        return all;
    }

  private:
    int fd_;
};

class HttpServer : public testing::Test {
  protected:
    void SetUp() override
    {
        start({});
    }
    void TearDown() override
    {
        mb_http_server_finish(&server);
    }
    /* Starts the server on a free port. */
    void start(const mb_intake_limits_t &limits)
    {
        mb_http_server_config_t config = {};
        socklen_t size = sizeof(address);
        config.ip = INADDR_LOOPBACK;
        config.threads = 2;
        config.max_connections = 64;
        config.idle_timeout_s = 15;
        config.limits = limits;
        config.body_max = BODY_MAX;
        config.handle = handle;
        config.context = this;
        ASSERT_TRUE(mb_http_server_init(&server, &config, nullptr));
        int fd = MHD_get_daemon_info(server.daemon, MHD_DAEMON_INFO_LISTEN_FD)
                     ->listen_fd;
        ASSERT_EQ(
            getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size), 0);
    }
    void restart(const mb_intake_limits_t &limits)
    {
        mb_http_server_finish(&server);
        start(limits);
    }
    static void handle(void *context, mb_http_exchange_t *exchange)
    {
        auto *test = static_cast<HttpServer *>(context);
        std::string body =
            "size=" + std::to_string(mb_http_body(exchange).len);
        test->handled++;
        if (test->hold) {
            test->held = exchange;
            return;
        }
        mb_http_respond(exchange, 200, nullptr, {body.data(), body.size()});
    }
    /* Sweeps for some time. */
    void sweepFor(int ms)
    {
        for (int i = 0; i < ms; i += 20) {
            mb_http_server_tick(&server);
            (void)usleep(20000);
        }
    }
    mb_http_server_t server = {};
    sockaddr_in address = {};
    std::atomic<int> handled{0};
    std::atomic<bool> hold{false};
    std::atomic<mb_http_exchange_t *> held{nullptr};
};

} // namespace

/* Guards against a limit that refuses the largest request allowed, announced
   or in chunks of one byte. */
TEST_F(HttpServer, LargestBodyIsServed)
{
    Client announced(address);
    announced.post("Content-Length: " + std::to_string(BODY_MAX) + "\r\n");
    announced.send(std::string(BODY_MAX, 'x'));
    EXPECT_NE(announced.read("size=100000").find("size=100000"),
              std::string::npos);
    Client chunked(address);
    std::string chunks;
    for (size_t i = 0; i < BODY_MAX; i++) {
        chunks += "1\r\nx\r\n";
    }
    chunked.post("Transfer-Encoding: chunked\r\n");
    chunked.send(chunks + "0\r\n\r\n");
    EXPECT_NE(chunked.read("size=100000").find("size=100000"),
              std::string::npos);
}

/* Guards against a body over the limit that is read or kept, and against a
   refusal that does not say that nothing ran. */
TEST_F(HttpServer, BodyOverTheLimitIsRefusedAtOnce)
{
    Client announced(address);
    announced.post("Content-Length: 100001\r\n");
    std::string refusal = announced.read("\n}");
    EXPECT_EQ(refusal.rfind("HTTP/1.1 413", 0), 0u) << refusal;
    EXPECT_NE(refusal.find("X-Magnoliabarrow-Run: no\r\n"), std::string::npos);
    Client sent(address);
    sent.post("Transfer-Encoding: chunked\r\n");
    sent.send("186a1\r\n" + std::string(100001, 'x'));
    EXPECT_EQ(sent.read("}").rfind("HTTP/1.1 413", 0), 0u);
    EXPECT_EQ(handled, 0);
}

/* Guards against a refused client that is read without end. */
TEST_F(HttpServer, RefusedConnectionIsClosed)
{
    Client client(address);
    client.post("Transfer-Encoding: chunked\r\n");
    client.send("186a1\r\n" + std::string(100001, 'x'));
    for (int i = 0; i < 300 && mb_http_server_count_open(&server) > 0; i++) {
        client.send("\r\n10000\r\n" + std::string(65536, 'x'));
        sweepFor(20);
    }
    EXPECT_EQ(mb_http_server_count_open(&server), 0u);
}

/* Guards against bodies that hold more than the budget, a refusal without an
   honest time to return, and a small request that has no room. */
TEST_F(HttpServer, ExhaustedBudgetRefusesWithATimeToReturn)
{
    mb_intake_limits_t limits = {};
    limits.bytes_max = 400000;
    restart(limits);
    Client stopped(address);
    stopped.post("Content-Length: 100000\r\n");
    stopped.send(std::string(99999, 'x'));
    (void)usleep(100000);
    Client second(address);
    second.post("Content-Length: 100000\r\n");
    second.send(std::string(99999, 'x'));
    Client third(address);
    (void)usleep(100000);
    third.post("Content-Length: 100000\r\n");
    third.send(std::string(99999, 'x'));
    std::string refusal = third.read("}");
    EXPECT_EQ(refusal.rfind("HTTP/1.1 503", 0), 0u) << refusal;
    EXPECT_NE(refusal.find("Retry-After: "), std::string::npos);
    Client small(address);
    small.post("Content-Length: 2\r\n");
    small.send("{}");
    EXPECT_NE(small.read("size=2").find("size=2"), std::string::npos);
    EXPECT_LE(mb_atomic_load(&server.registry.intake.bytes), 400000u);
    sweepFor(1500);
    std::string closed = stopped.read("}");
    EXPECT_NE(closed.find("HTTP/1.1 503"), std::string::npos) << closed;
    EXPECT_EQ(handled, 1);
}

/* Guards against a client that stalls in calm and is cut, and against headers
   that never end. */
TEST_F(HttpServer, SlowClientsAreServedInCalm)
{
    mb_intake_limits_t limits = {};
    limits.calm.head_ms = 1500;
    restart(limits);
    Client slow(address);
    slow.post("Content-Length: 2\r\n");
    slow.send("{");
    Client endless(address);
    endless.send("POST /x HTTP/1.1\r\nHost: x\r\n");
    sweepFor(3500);
    slow.send("}");
    EXPECT_NE(slow.read("size=2").find("size=2"), std::string::npos);
    std::string refusal = endless.read();
    EXPECT_EQ(refusal.rfind("HTTP/1.1 408", 0), 0u) << refusal;
}

/* Guards against a request that is cut while its handler computes the
   response, however strict the limits are. */
TEST_F(HttpServer, RunningRequestIsNotCut)
{
    hold = true;
    Client client(address);
    client.post("Content-Length: 2\r\n");
    client.send("{}");
    mb_atomic_store(&server.registry.intake.draining, 1);
    sweepFor(3000);
    ASSERT_NE(held.load(), nullptr);
    mb_http_respond(held, 200, nullptr, MB_STR_LIT("late"));
    EXPECT_NE(client.read("late").find("late"), std::string::npos);
}

/* Guards against silent connections that keep out other clients. */
TEST_F(HttpServer, SilentConnectionsMakeRoom)
{
    std::vector<std::unique_ptr<Client>> crowd;
    for (int i = 0; i < 80; i++) {
        crowd.push_back(std::make_unique<Client>(address));
    }
    sweepFor(1500);
    std::string answer;
    for (int i = 0; i < 50 && answer.empty(); i++) {
        Client client(address);
        client.post("Content-Length: 2\r\n");
        client.send("{}");
        answer = client.read("size=2");
        sweepFor(100);
    }
    EXPECT_NE(answer.find("size=2"), std::string::npos);
    EXPECT_LE(mb_atomic_load(&server.registry.intake.connections), 68u);
}

/* Guards against silent connections that keep out other clients where the
   bytes of the budget, and not the connections, run out. */
TEST_F(HttpServer, SilentConnectionsMakeRoomInASmallBudget)
{
    mb_intake_limits_t limits = {};
    limits.bytes_max = 8 * MB_INTAKE_CONNECTION_BYTES;
    restart(limits);
    std::vector<std::unique_ptr<Client>> crowd;
    for (int i = 0; i < 8; i++) {
        crowd.push_back(std::make_unique<Client>(address));
    }
    sweepFor(1500);
    std::string answer;
    for (int i = 0; i < 20 && answer.empty(); i++) {
        Client client(address);
        client.send("GET /x HTTP/1.1\r\nHost: x\r\n\r\n");
        answer = client.read("size=0");
        sweepFor(100);
    }
    EXPECT_NE(answer.find("size=0"), std::string::npos);
}
