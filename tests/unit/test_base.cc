/* Tests of errors, strings, epoch-based reclamation and mailboxes. */
#include <gtest/gtest.h>
#include <pthread.h>
#include <rapidcheck/gtest.h>
#include <string>

extern "C" {
#include "mb_epoch.h"
#include "mb_error.h"
#include "mb_mailbox.h"
#include "mb_str.h"
}

/* Guards against an error kind that has no row in the table of properties. */
TEST(Error, EveryKindHasProperties)
{
    for (int i = 0; i < MB_KIND_COUNT; i++) {
        const mb_kind_info_t *info = mb_kind_info((mb_kind_t)i);
        mb_kind_t found;
        EXPECT_GE(info->http_status, 400);
        EXPECT_GT(info->exit_code, 0);
        ASSERT_TRUE(mb_kind_from_name(info->name, &found));
        EXPECT_EQ(found, (mb_kind_t)i);
    }
}

/* Guards against parts that are lost or merged, and reads beyond the end. */
RC_GTEST_PROP(Str, SplitPartsCanBeJoinedToTheText, (const std::string &text))
{
    mb_str_t rest = {text.data(), text.size()};
    mb_str_t part;
    std::string joined;
    while (mb_str_split(&rest, ',', &part)) {
        joined.append(part.data, part.len);
        joined.push_back(',');
    }
    std::string expected = text;
    if (!text.empty() && text.back() != ',') {
        expected.push_back(',');
    }
    RC_ASSERT(joined == expected);
}

/* Guards against numbers that wrap around on overflow. */
TEST(Str, ParsingRejectsNumbersThatOverflow)
{
    uint64_t value = 0;
    EXPECT_TRUE(mb_str_to_u64(MB_STR_LIT("18446744073709551615"), &value));
    EXPECT_EQ(value, UINT64_MAX);
    EXPECT_FALSE(mb_str_to_u64(MB_STR_LIT("18446744073709551616"), &value));
    EXPECT_FALSE(mb_str_to_u64(MB_STR_LIT("-1"), &value));
    EXPECT_FALSE(mb_str_to_u64(MB_STR_LIT(""), &value));
}

/* A version whose members are equal until it is destroyed. */
struct Version {
    uint64_t first;
    uint64_t second;
};

struct EpochTest {
    mb_epoch_t epoch;
    void *cell;
    uint64_t torn; /* versions read whose members differed; atomic */
};

static void
destroy_version(void *object)
{
    Version *version = static_cast<Version *>(object);
    version->first = 0;
    delete version;
}

static void *
read_versions(void *context)
{
    EpochTest *test = static_cast<EpochTest *>(context);
    for (int i = 0; i < 20000; i++) {
        mb_epoch_enter(&test->epoch);
        Version *version = static_cast<Version *>(mb_epoch_load(&test->cell));
        if (version->first != version->second) {
            __atomic_fetch_add(&test->torn, 1, __ATOMIC_RELAXED);
        }
        mb_epoch_leave(&test->epoch);
    }
    return nullptr;
}

/* Guards against a version that is destroyed while a reader uses it: four
   readers load versions while a writer replaces them. */
TEST(Epoch, VersionIsNotDestroyedWhileRead)
{
    EpochTest test = {};
    pthread_t readers[4];
    mb_epoch_init(&test.epoch);
    mb_epoch_publish(&test.epoch, &test.cell, new Version{1, 1},
                     destroy_version);
    for (pthread_t &reader : readers) {
        pthread_create(&reader, nullptr, read_versions, &test);
    }
    for (uint64_t i = 2; i < 2000; i++) {
        mb_epoch_publish(&test.epoch, &test.cell, new Version{i, i},
                         destroy_version);
    }
    for (pthread_t &reader : readers) {
        pthread_join(reader, nullptr);
    }
    EXPECT_EQ(test.torn, 0u);
    mb_epoch_publish(&test.epoch, &test.cell, nullptr, destroy_version);
    mb_epoch_finish(&test.epoch);
}

struct TestMessage {
    mb_mailbox_message_t message;
    int sender;
    int number;
};

struct Sender {
    mb_mailbox_t *mailbox;
    int id;
};

static void *
send_messages(void *context)
{
    Sender *sender = static_cast<Sender *>(context);
    for (int i = 0; i < 1000; i++) {
        TestMessage *test_message = new TestMessage{{}, sender->id, i};
        EXPECT_TRUE(mb_mailbox_send(sender->mailbox, &test_message->message));
    }
    return nullptr;
}

struct Received {
    int next[4]; /* expected number of the next message, by sender */
    int out_of_order;
};

static void
receive_message(void *context, mb_mailbox_message_t *message)
{
    Received *received = static_cast<Received *>(context);
    TestMessage *test_message = reinterpret_cast<TestMessage *>(message);
    if (received->next[test_message->sender]++ != test_message->number) {
        received->out_of_order++;
    }
    delete test_message;
}

/* Guards against lost messages, and messages of a sender out of order, when
   several threads send while the mailbox is read. */
TEST(Mailbox, KeepsMessagesOfEachSenderInOrder)
{
    mb_mailbox_t mailbox;
    Received received = {};
    Sender senders[4];
    pthread_t threads[4];
    ASSERT_TRUE(mb_mailbox_init(&mailbox, 4000));
    for (int i = 0; i < 4; i++) {
        senders[i] = {&mailbox, i};
        pthread_create(&threads[i], nullptr, send_messages, &senders[i]);
    }
    size_t total = 0;
    for (int i = 0; i < 100; i++) {
        total += mb_mailbox_receive(&mailbox, receive_message, &received);
    }
    for (pthread_t &thread : threads) {
        pthread_join(thread, nullptr);
    }
    total += mb_mailbox_receive(&mailbox, receive_message, &received);
    EXPECT_EQ(total, 4000u);
    EXPECT_EQ(received.out_of_order, 0);
    mb_mailbox_finish(&mailbox);
}

/* Guards against a queue that grows without bound. */
TEST(Mailbox, SendFailsWhenFull)
{
    mb_mailbox_t mailbox;
    Received received = {};
    ASSERT_TRUE(mb_mailbox_init(&mailbox, 1));
    TestMessage *first = new TestMessage{{}, 0, 0};
    TestMessage second = {{}, 0, 1};
    EXPECT_TRUE(mb_mailbox_send(&mailbox, &first->message));
    EXPECT_FALSE(mb_mailbox_send(&mailbox, &second.message));
    EXPECT_EQ(mb_mailbox_receive(&mailbox, receive_message, &received), 1u);
    mb_mailbox_finish(&mailbox);
}
