/* Tests of the log writer, which must never block on the reader of the log. */
#include <atomic>
#include <chrono>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <limits.h>
#include <cstdlib>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

extern "C" {
#include "mb_log_writer.h"
}

struct Pipe {
    int ends[2];
    Pipe()
    {
        EXPECT_EQ(pipe(ends), 0);
    }
    ~Pipe()
    {
        (void)close(ends[0]);
        (void)close(ends[1]);
    }
    /* Returns everything that was written since the last call. */
    std::string read_all()
    {
        std::string text;
        char bytes[65536];
        (void)fcntl(ends[0], F_SETFL, O_NONBLOCK);
        ssize_t got;
        while ((got = read(ends[0], bytes, sizeof(bytes))) > 0) {
            text.append(bytes, (size_t)got);
        }
        return text;
    }
};

static size_t
count_occurrences(const std::string &text, const std::string &part)
{
    size_t count = 0;
    for (size_t at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1)) {
        count++;
    }
    return count;
}

/* Guards against lines that are lost, interleaved or out of order. */
TEST(LogWriter, WritesEveryLineInOrder)
{
    Pipe pipe;
    mb_log_writer_t writer;
    ASSERT_TRUE(mb_log_writer_init(&writer, pipe.ends[1], nullptr));
    for (int i = 0; i < 100; i++) {
        std::string line = "notice test: event number=" + std::to_string(i);
        mb_log_writer_write(&writer, MB_SEVERITY_NOTICE,
                            {line.data(), line.size()});
    }
    mb_log_writer_finish(&writer);
    std::string text = pipe.read_all();
    EXPECT_EQ(count_occurrences(text, "\n"), 100u);
    EXPECT_LT(text.find("number=42\n"), text.find("number=43\n"));
}

/* Guards against lines that are split over two writes: a reader that handles
   the data of each write separately would see parts of lines, and on a pipe
   they could be interleaved with lines of another process. A socket that keeps
   the boundaries of writes is used to see them. */
TEST(LogWriter, EachWriteContainsCompleteLines)
{
    int ends[2];
    mb_log_writer_t writer;
    ASSERT_EQ(socketpair(AF_UNIX, SOCK_SEQPACKET, 0, ends), 0);
    ASSERT_TRUE(mb_log_writer_init(&writer, ends[1], nullptr));
    std::string line(300, 'x');
    for (int i = 0; i < 100; i++) {
        mb_log_writer_write(&writer, MB_SEVERITY_NOTICE,
                            {line.data(), line.size()});
    }
    mb_log_writer_finish(&writer);
    (void)close(ends[1]);
    char bytes[65536];
    ssize_t got;
    size_t lines = 0;
    while ((got = read(ends[0], bytes, sizeof(bytes))) > 0) {
        std::string text(bytes, (size_t)got);
        EXPECT_LE(text.size(), (size_t)PIPE_BUF);
        EXPECT_EQ(text.front(), '<');
        EXPECT_EQ(text.back(), '\n');
        lines += count_occurrences(text, "\n");
    }
    EXPECT_EQ(lines, 100u);
    (void)close(ends[0]);
}

/* Returns the sum of the numbers that follow each occurrence of a key. */
static uint64_t
sum_values(const std::string &text, const std::string &key)
{
    uint64_t sum = 0;
    for (size_t at = text.find(key); at != std::string::npos;
         at = text.find(key, at + 1)) {
        sum += strtoull(text.c_str() + at + key.size(), nullptr, 10);
    }
    return sum;
}

/* Guards against a process that blocks because nobody reads its log, and
   against dropped lines that are not reported. */
TEST(LogWriter, StalledReaderDoesNotBlockWriting)
{
    Pipe pipe;
    mb_log_writer_t writer;
    std::string line(200, 'x');
    const uint64_t count = 5000;
    ASSERT_TRUE(mb_log_writer_init(&writer, pipe.ends[1], nullptr));
    auto begin = std::chrono::steady_clock::now();
    for (uint64_t i = 0; i < count; i++) {
        mb_log_writer_write(&writer, MB_SEVERITY_NOTICE,
                            {line.data(), line.size()});
    }
    auto passed = std::chrono::steady_clock::now() - begin;
    EXPECT_LT(passed, std::chrono::seconds(2));
    std::string text;
    std::atomic<bool> finished{false};
    std::thread reader([&] {
        while (!finished) {
            text += pipe.read_all();
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    });
    mb_log_writer_finish(&writer);
    finished = true;
    reader.join();
    text += pipe.read_all();
    EXPECT_GE(sum_values(text, "dropped="), 1u);
    EXPECT_EQ(count_occurrences(text, line) + sum_values(text, "dropped="),
              count);
}

/* Guards against a log whose volume grows with the load without bound, and
   against failures, logged as notices, that are left out as well. */
TEST(LogWriter, LimitsFrequentEventsButNotFailures)
{
    Pipe pipe;
    mb_log_writer_t writer;
    std::string text;
    ASSERT_TRUE(mb_log_writer_init(&writer, pipe.ends[1], nullptr));
    std::thread reader([&] {
        while (count_occurrences(text, "end=here") == 0) {
            text += pipe.read_all();
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    });
    for (unsigned i = 0; i < 3 * MB_LOG_WRITER_EVENT_MAX; i++) {
        std::string often = "info test: often id=" + std::to_string(i);
        mb_log_writer_write(&writer, MB_SEVERITY_INFO,
                            {often.data(), often.size()});
        if (i % 100 == 0) {
            std::string failed = "notice test: failed id=x";
            mb_log_writer_write(&writer, MB_SEVERITY_NOTICE,
                                {failed.data(), failed.size()});
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
    }
    mb_log_writer_write(&writer, MB_SEVERITY_NOTICE,
                        mb_str_from_cstr("notice test: the end=here"));
    mb_log_writer_finish(&writer);
    reader.join();
    EXPECT_EQ(count_occurrences(text, "test: failed id="),
              3u * MB_LOG_WRITER_EVENT_MAX / 100);
    EXPECT_GE(count_occurrences(text, "test: often id="),
              MB_LOG_WRITER_EVENT_MAX);
    EXPECT_LE(count_occurrences(text, "test: often id="),
              2u * MB_LOG_WRITER_EVENT_MAX);
    EXPECT_GE(count_occurrences(text, "limited="), 1u);
}
