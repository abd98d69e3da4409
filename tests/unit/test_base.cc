/* Tests of the base layer. */
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

/* Guards against a kind that was added without its row in the table. */
TEST(Error, EveryKindHasAnAnswer)
{
    for (int i = 0; i < MB_KIND_COUNT; i++) {
        const mb_kind_info_t *answer = mb_kind_info((mb_kind_t)i);
        mb_kind_t found;
        EXPECT_GE(answer->http_status, 400);
        EXPECT_GT(answer->exit_code, 0);
        ASSERT_TRUE(mb_kind_from_name(answer->name, &found));
        EXPECT_EQ(found, (mb_kind_t)i);
    }
}

/* Guards against parts that are lost, merged or read past the end. */
RC_GTEST_PROP(Str, SplitPartsJoinToTheText, (const std::string &text))
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

/* Guards against numbers that wrap around. */
TEST(Str, RefusesNumbersThatOverflow)
{
    uint64_t value = 0;
    EXPECT_TRUE(mb_str_to_u64(MB_STR_LIT("18446744073709551615"), &value));
    EXPECT_EQ(value, UINT64_MAX);
    EXPECT_FALSE(mb_str_to_u64(MB_STR_LIT("18446744073709551616"), &value));
    EXPECT_FALSE(mb_str_to_u64(MB_STR_LIT("-1"), &value));
    EXPECT_FALSE(mb_str_to_u64(MB_STR_LIT(""), &value));
}

struct Version {
    uint64_t first;
    uint64_t second;
};

struct EpochRun {
    mb_epoch_t epoch;
    void *cell;
    uint64_t torn;
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
    EpochRun *run = static_cast<EpochRun *>(context);
    for (int i = 0; i < 20000; i++) {
        mb_epoch_enter(&run->epoch);
        Version *version = static_cast<Version *>(mb_epoch_load(&run->cell));
        if (version->first != version->second) {
            __atomic_fetch_add(&run->torn, 1, __ATOMIC_RELAXED);
        }
        mb_epoch_leave(&run->epoch);
    }
    return nullptr;
}

/* Guards against a version that is destroyed while a reader uses it. */
TEST(Epoch, ReadersNeverSeeADestroyedVersion)
{
    EpochRun run = {};
    pthread_t readers[4];
    mb_epoch_init(&run.epoch);
    mb_epoch_publish(&run.epoch, &run.cell, new Version{1, 1},
                     destroy_version);
    for (pthread_t &reader : readers) {
        pthread_create(&reader, nullptr, read_versions, &run);
    }
    for (uint64_t i = 2; i < 2000; i++) {
        mb_epoch_publish(&run.epoch, &run.cell, new Version{i, i},
                         destroy_version);
    }
    for (pthread_t &reader : readers) {
        pthread_join(reader, nullptr);
    }
    EXPECT_EQ(run.torn, 0u);
    mb_epoch_publish(&run.epoch, &run.cell, nullptr, destroy_version);
    mb_epoch_finish(&run.epoch);
}

struct Letter {
    mb_mailbox_message_t message;
    int sender;
    int number;
};

struct Sender {
    mb_mailbox_t *mailbox;
    int id;
};

static void *
send_letters(void *context)
{
    Sender *sender = static_cast<Sender *>(context);
    for (int i = 0; i < 1000; i++) {
        Letter *letter = new Letter{{}, sender->id, i};
        EXPECT_TRUE(mb_mailbox_send(sender->mailbox, &letter->message));
    }
    return nullptr;
}

struct Received {
    int next[4];
    int out_of_order;
};

static void
receive_letter(void *context, mb_mailbox_message_t *message)
{
    Received *received = static_cast<Received *>(context);
    Letter *letter = reinterpret_cast<Letter *>(message);
    if (received->next[letter->sender]++ != letter->number) {
        received->out_of_order++;
    }
    delete letter;
}

/* Guards against lost mails and against mails of one sender out of order. */
TEST(Mailbox, KeepsTheOrderOfEachSender)
{
    mb_mailbox_t mailbox;
    Received received = {};
    Sender senders[4];
    pthread_t threads[4];
    ASSERT_TRUE(mb_mailbox_init(&mailbox, 4000));
    for (int i = 0; i < 4; i++) {
        senders[i] = {&mailbox, i};
        pthread_create(&threads[i], nullptr, send_letters, &senders[i]);
    }
    size_t total = 0;
    for (int i = 0; i < 100; i++) {
        total += mb_mailbox_receive(&mailbox, receive_letter, &received);
    }
    for (pthread_t &thread : threads) {
        pthread_join(thread, nullptr);
    }
    total += mb_mailbox_receive(&mailbox, receive_letter, &received);
    EXPECT_EQ(total, 4000u);
    EXPECT_EQ(received.out_of_order, 0);
    mb_mailbox_finish(&mailbox);
}

/* Guards against a queue that grows without a bound. */
TEST(Mailbox, RefusesWhenFull)
{
    mb_mailbox_t mailbox;
    Received received = {};
    ASSERT_TRUE(mb_mailbox_init(&mailbox, 1));
    Letter *first = new Letter{{}, 0, 0};
    Letter second = {{}, 0, 1};
    EXPECT_TRUE(mb_mailbox_send(&mailbox, &first->message));
    EXPECT_FALSE(mb_mailbox_send(&mailbox, &second.message));
    EXPECT_EQ(mb_mailbox_receive(&mailbox, receive_letter, &received), 1u);
    mb_mailbox_finish(&mailbox);
}
