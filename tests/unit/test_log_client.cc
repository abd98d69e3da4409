/* Tests of the client of one stream against a log that sends slowly. */
#include <gtest/gtest.h>

#include <string>
#include <thread>

#include "loopback_listener.h"

extern "C" {
#include "mb_cleanup.h"
#include "mb_log_client.h"
}

namespace {

/* A log with a single record. It sends the answer to a read of that record in
   parts, PAUSE_MS apart, and answers later reads at once without a record. */
class SlowLogServer {
  public:
    static constexpr int PARTS = 12;
    static constexpr int PAUSE_MS = 400;

    SlowLogServer()
    {
        address = listener_.address;
        thread_ = std::thread([this] { serve(); });
    }
    ~SlowLogServer()
    {
        listener_.stop();
        thread_.join();
    }

    std::string address;

  private:
    void serve()
    {
        int fd;
        while ((fd = listener_.accept_next()) >= 0) {
            answer(fd);
            (void)close(fd);
        }
    }

    static void answer(int fd)
    {
        char text[1024] = "";
        (void)!recv(fd, text, sizeof(text) - 1, 0);
        bool first = std::string(text).find("from=0&") != std::string::npos;
        std::string body = encode_page(first);
        std::string response =
            "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body;
        size_t part = first ? response.size() / PARTS + 1 : response.size();
        for (size_t i = 0; i < response.size(); i += part) {
            std::string bytes = response.substr(i, part);
            if (send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) {
                return;
            }
            (void)usleep(PAUSE_MS * 1000);
        }
    }

    static std::string encode_page(bool with_record)
    {
        MB_AUTO_BUF mb_buf_t bytes = {};
        MB_AUTO_BUF mb_buf_t body = {};
        mb_record_t record = {};
        record.writer = 7;
        record.sequence = 1;
        record.type = MB_RECORD_DATA;
        record.payload = MB_STR_LIT("a record that the test does not decode");
        mb_record_encode(&bytes, &record);
        mb_log_entry_t entry = {0, 1, mb_buf_view(&bytes)};
        mb_log_page_t page = {0, 1, with_record ? 1u : 0u, &entry};
        mb_log_page_encode(&body, &page);
        return std::string(body.data, body.len);
    }

    LoopbackListener listener_;
    std::thread thread_;
};

} // namespace

/* Guards against a process that never gets ready, because it ends a read of
   the log while bytes arrive, and sends the same read again. */
TEST(LogClient, GetsReadyOverALinkSlowerThanTheTimeoutOfARead)
{
    SlowLogServer server;
    uint64_t applied = 0;
    mb_log_client_t client;
    mb_log_client_config_t config = {};
    config.address = {server.address.data(), server.address.size()};
    config.stream = MB_STR_LIT("config");
    config.writer = 9;
    config.retention_ms = 600000;
    config.queue_max = 4;
    mb_replica_callbacks_t callbacks = {};
    callbacks.apply = [](void *context, const mb_record_t *, bool) {
        (void)__atomic_add_fetch(static_cast<uint64_t *>(context), 1,
                                 __ATOMIC_SEQ_CST);
    };
    callbacks.reset = [](void *) {};
    callbacks.context = &applied;
    mb_log_client_callbacks_t none = {};
    mb_log_t log = mb_log_null();
    ASSERT_TRUE(mb_log_client_init(&client, &config, &callbacks, &none, &log,
                                   nullptr));
    ASSERT_TRUE(mb_log_client_start(&client, nullptr));
    const int transfer_ms = SlowLogServer::PARTS * SlowLogServer::PAUSE_MS;
    for (int i = 0; i < 2 * transfer_ms && !mb_log_client_ready(&client);
         i += 10) {
        (void)usleep(10000);
    }
    EXPECT_TRUE(mb_log_client_ready(&client));
    mb_log_client_finish(&client);
    EXPECT_EQ(applied, 1u);
}
