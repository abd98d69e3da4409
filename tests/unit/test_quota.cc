/* Tests of quotas of teams, of the order of teams and of the shards'
   slices. */
#include <gtest/gtest.h>
#include <vector>

extern "C" {
#include "mb_quota.h"
#include "mb_rng.h"
}

struct QuotaTest : testing::Test {
    mb_quota_t *quota = mb_quota_new();
    mb_size_t capacity = {100000, 100000, 10};

    void SetUp() override
    {
        mb_quota_set_capacity(quota, &capacity);
    }
    void TearDown() override
    {
        mb_quota_free(quota);
    }
};

/* Guards against a team that exceeds its quota in one dimension, and against a
   refused reservation that changes the counts. */
TEST_F(QuotaTest, EnforcesTheQuotaInEveryDimension)
{
    mb_team_t team = {{2000, 50000, 1}, 1};
    mb_team_id_t id = mb_quota_set_team(quota, MB_STR_LIT("a"), &team);
    mb_size_t size = {1000, 1000, 1};
    EXPECT_TRUE(mb_quota_reserve(quota, id, &size));
    EXPECT_FALSE(mb_quota_reserve(quota, id, &size));
    size.accelerators = 0;
    EXPECT_TRUE(mb_quota_reserve(quota, id, &size));
    EXPECT_FALSE(mb_quota_reserve(quota, id, &size));
    size.cpu_milli = 2000;
    EXPECT_TRUE(mb_quota_fits_limits(quota, id, &size));
    size.cpu_milli = 2001;
    EXPECT_FALSE(mb_quota_fits_limits(quota, id, &size));
    EXPECT_FALSE(mb_quota_reserve(quota, MB_TEAM_NONE, &size));
}

/* Guards against an order that ignores the weight or the team's scarcest
   resource. */
TEST_F(QuotaTest, OrdersByWeightedDominantShare)
{
    mb_team_t light = {{100000, 100000, 10}, 1};
    mb_team_t heavy = {{100000, 100000, 10}, 4};
    mb_team_id_t a = mb_quota_set_team(quota, MB_STR_LIT("a"), &light);
    mb_team_id_t b = mb_quota_set_team(quota, MB_STR_LIT("b"), &heavy);
    mb_size_t cpu = {20000, 0, 0};
    mb_size_t accelerators = {0, 0, 6};
    EXPECT_LT(mb_quota_compare_teams(quota, a, b), 0);
    ASSERT_TRUE(mb_quota_reserve(quota, a, &cpu));
    ASSERT_TRUE(mb_quota_reserve(quota, b, &accelerators));
    EXPECT_GT(mb_quota_compare_teams(quota, a, b), 0);
    ASSERT_FALSE(mb_quota_reserve(quota, b, &accelerators));
    mb_size_t cpus = {90000, 0, 0};
    ASSERT_TRUE(mb_quota_reserve(quota, b, &cpus));
    EXPECT_LT(mb_quota_compare_teams(quota, a, b), 0);
}

/* Guards against usage of a removed team that is charged to a new team under
   the same id. */
TEST_F(QuotaTest, DoesNotReuseTheIdOfARemovedTeamWithTasks)
{
    mb_team_t team = {{2000, 2000, 0}, 1};
    mb_team_id_t a = mb_quota_set_team(quota, MB_STR_LIT("a"), &team);
    mb_size_t size = {1000, 1000, 0};
    ASSERT_TRUE(mb_quota_reserve(quota, a, &size));
    mb_quota_remove_team(quota, MB_STR_LIT("a"));
    EXPECT_FALSE(mb_quota_reserve(quota, a, &size));
    EXPECT_NE(mb_quota_set_team(quota, MB_STR_LIT("b"), &team), a);
    mb_quota_release(quota, a, &size);
    EXPECT_EQ(mb_quota_set_team(quota, MB_STR_LIT("c"), &team), a);
    EXPECT_TRUE(mb_quota_reserve(quota, a, &size));
}

/* Guards against slices that together grant more or less than the quota, and
   against a slice that deviates by more than a rounding error from its shard's
   proportion. */
TEST(QuotaSliceTest, SlicesAddUpToTheQuota)
{
    mb_rng_seeded_t seeded;
    mb_rng_seeded_init(&seeded, 20261204);
    mb_rng_t rng = mb_rng_from_seeded(&seeded);
    for (int round = 0; round < 2000; round++) {
        uint32_t count = 2 + (uint32_t)(mb_rng_next(&rng) % 70);
        std::vector<mb_size_t> shards(count);
        double total = 0;
        for (mb_size_t &shard : shards) {
            shard = {(uint32_t)mb_rng_next(&rng), 1 + (uint32_t)round, 0};
            total += shard.cpu_milli;
        }
        mb_size_t quota = {(uint32_t)mb_rng_next(&rng), 17, 5};
        uint64_t cpu = 0;
        uint64_t memory = 0;
        for (uint32_t i = 0; i < count; i++) {
            mb_size_t slice = mb_quota_slice(&quota, shards.data(), count, i);
            cpu += slice.cpu_milli;
            memory += slice.memory_mb;
            EXPECT_EQ(slice.accelerators, 0u);
            EXPECT_NEAR(slice.cpu_milli,
                        quota.cpu_milli * (shards[i].cpu_milli / total),
                        1.001);
        }
        EXPECT_EQ(cpu, quota.cpu_milli);
        EXPECT_EQ(memory, quota.memory_mb);
    }
}

/* Guards against a single shard, here one without capacity, that does not
   grant the whole quota. */
TEST(QuotaSliceTest, ASingleShardGrantsTheWholeQuota)
{
    mb_size_t quota = {7, 8, 9};
    mb_size_t none = {0, 0, 0};
    mb_size_t slice = mb_quota_slice(&quota, &none, 1, 0);
    EXPECT_EQ(slice.cpu_milli, 7u);
    EXPECT_EQ(slice.memory_mb, 8u);
    EXPECT_EQ(slice.accelerators, 9u);
}
