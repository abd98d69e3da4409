/* Tests of the membership of entries. */
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>
#include <string>

extern "C" {
#include "mb_member.h"
#include "mb_member_record.h"
}

namespace {

struct MemberTable {
    mb_members_t members;
    MemberTable()
    {
        mb_members_init(&members);
    }
    ~MemberTable()
    {
        mb_members_finish(&members);
    }
    /* Encodes, decodes and applies an announcement. */
    void announce(uint64_t process, const std::string &domain,
                  uint64_t time_ms, bool leaving = false,
                  uint64_t incarnation = 1)
    {
        std::string address = "127.0.0.1:" + std::to_string(process);
        mb_announcement_t announcement = {process,
                                          incarnation,
                                          {address.data(), address.size()},
                                          {domain.data(), domain.size()},
                                          leaving};
        mb_buf_t encoded = {};
        mb_announcement_t decoded;
        mb_member_record_encode(&encoded, &announcement);
        ASSERT_TRUE(mb_member_record_decode(mb_buf_view(&encoded), &decoded));
        mb_members_announce(&members, &decoded, time_ms);
        mb_buf_finish(&encoded);
    }
    std::set<uint64_t> choose(uint64_t sidecar, const std::string &domain,
                              uint32_t max)
    {
        mb_member_choice_t choices[16];
        uint32_t count = mb_members_choose(
            &members, sidecar, mb_str_t{domain.data(), domain.size()}, max,
            choices);
        std::set<uint64_t> chosen;
        for (uint32_t i = 0; i < count; i++) {
            chosen.insert(choices[i].process);
        }
        EXPECT_EQ(chosen.size(), count);
        return chosen;
    }
};

} // namespace

/* Guards against entries that stay in the table for ever, and against the
   removal of all entries after an outage of the log, in which they could not
   announce themselves. */
TEST(Member, EntriesExpireButNotByAnOutageOfTheLog)
{
    MemberTable table;
    mb_members_tick(&table.members, true, 1000);
    table.announce(1, "a", 1000);
    mb_members_tick(&table.members, true, 1000 + MB_MEMBER_TTL_MS - 1);
    EXPECT_EQ(mb_members_count(&table.members), 1u);
    mb_members_tick(&table.members, false, 1000 + 10 * MB_MEMBER_TTL_MS);
    EXPECT_EQ(mb_members_count(&table.members), 1u);
    uint64_t outage_end = 1000 + 20 * MB_MEMBER_TTL_MS;
    mb_members_tick(&table.members, true, outage_end);
    EXPECT_EQ(mb_members_count(&table.members), 1u);
    mb_members_tick(&table.members, true, outage_end + MB_MEMBER_TTL_MS);
    EXPECT_EQ(mb_members_count(&table.members), 0u);
}

/* Guards against the removal of a live entry when an earlier incarnation of
   the same process announces that it leaves. */
TEST(Member, DepartureOfAnOldIncarnationKeepsTheNewOne)
{
    MemberTable table;
    mb_members_tick(&table.members, true, 1000);
    table.announce(1, "a", 1000, false, 2);
    table.announce(1, "a", 1001, true, 1);
    EXPECT_EQ(mb_members_count(&table.members), 1u);
    table.announce(1, "a", 1002, true, 2);
    EXPECT_EQ(mb_members_count(&table.members), 0u);
}

/* Guards against a sidecar that is cut off by the loss of its own failure
   domain, because all entries chosen are there; against the choice of more
   entries than allowed; and against a choice that changes although none of the
   chosen entries has left. */
RC_GTEST_PROP(Member, ChoiceIsBoundedAndIncludesAnotherDomain, ())
{
    MemberTable table;
    mb_members_tick(&table.members, true, 1000);
    auto domains = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3)));
    bool has_outside = false;
    for (size_t i = 0; i < domains.size(); i++) {
        table.announce(i + 1, std::to_string(domains[i]), 1000);
        has_outside |= domains[i] != 0;
    }
    uint32_t max = *rc::gen::inRange<uint32_t>(1, 5);
    uint64_t sidecar = *rc::gen::arbitrary<uint64_t>();
    auto chosen = table.choose(sidecar, "0", max);
    RC_ASSERT(chosen.size() == std::min<size_t>(max, domains.size()));
    bool chosen_outside = false;
    for (uint64_t process : chosen) {
        chosen_outside |= domains[process - 1] != 0;
    }
    RC_ASSERT(chosen_outside == has_outside);
    std::set<uint32_t> ranks;
    for (size_t i = 0; i < domains.size(); i++) {
        ranks.insert(
            mb_members_rank(&table.members, i + 1, MB_STR_LIT("config")));
    }
    RC_ASSERT(ranks.size() == domains.size());
    RC_ASSERT(*ranks.rbegin() == domains.size() - 1);
    for (size_t i = 0; i < domains.size(); i++) {
        if (chosen.count(i + 1) == 0) {
            table.announce(i + 1, std::to_string(domains[i]), 1001, true);
        }
    }
    RC_ASSERT(table.choose(sidecar, "0", max) == chosen);
}
