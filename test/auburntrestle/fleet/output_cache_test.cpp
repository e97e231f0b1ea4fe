#include "auburntrestle/fleet/output_cache.hpp"

#include <gtest/gtest.h>

#include <string>

namespace auburntrestle::fleet {
namespace {

struct ExtractCase
{
  std::string m_name;
  std::string m_body = "body";
  std::vector<WeightVersion> m_versions{ WeightVersion(3) };
  std::uint64_t m_minVersion = 3;
  bool m_single = false;
  Duration m_age{};
  bool m_fits = true;
};

class OutputCacheTest : public testing::TestWithParam<ExtractCase>
{};

TEST_P(OutputCacheTest, ExtractsOnlyOutputsThatFit)
{
  const TimePoint now{ std::chrono::seconds(10) };
  OutputCache cache;
  JobItem item;
  item.m_id = ItemId("item");
  item.m_body = "body";
  cache.Add(item, { { 5, "text", GetParam().m_versions } }, now);
  item.m_body = GetParam().m_body;
  const auto extracted = cache.Extract(item,
                                       WeightVersion(GetParam().m_minVersion),
                                       GetParam().m_single,
                                       now + GetParam().m_age);
  EXPECT_EQ(extracted.has_value(), GetParam().m_fits);
  EXPECT_EQ(cache.size(), 0U);
}

// Guards against the score of another reward call.
TEST(OutputCacheScoreTest, AScoreBelongsToItsRewardCall)
{
  const TimePoint now{ std::chrono::seconds(10) };
  OutputCache cache;
  JobItem item;
  item.m_id = ItemId("item");
  item.m_reward = RewardCall{ RewardId("reward"), "host", "/path", "body" };
  const CachedOutput scored{ { 5, "text", {}, true }, Score("score") };
  cache.Add(item, scored, now);
  const auto same = cache.Extract(item, WeightVersion(), false, now);
  ASSERT_TRUE(same);
  EXPECT_EQ(same->m_score, Score("score"));

  cache.Add(item, scored, now);
  item.m_reward->m_body = "other body";
  const auto other = cache.Extract(item, WeightVersion(), false, now);
  ASSERT_TRUE(other);
  EXPECT_TRUE(other->m_progress.m_complete);
  EXPECT_FALSE(other->m_score);
}

const std::vector<WeightVersion> kTwo{ WeightVersion(3), WeightVersion(4) };

INSTANTIATE_TEST_SUITE_P(
  Outputs,
  OutputCacheTest,
  testing::Values(
    ExtractCase{ "fits" },
    ExtractCase{ .m_name = "too_old", .m_minVersion = 4, .m_fits = false },
    ExtractCase{ .m_name = "partly_too_old",
                 .m_versions = kTwo,
                 .m_minVersion = 4,
                 .m_fits = false },
    ExtractCase{ .m_name = "two_versions", .m_versions = kTwo },
    ExtractCase{ .m_name = "two_versions_of_one",
                 .m_versions = kTwo,
                 .m_single = true,
                 .m_fits = false },
    ExtractCase{ .m_name = "other_request",
                 .m_body = "other",
                 .m_fits = false },
    ExtractCase{ .m_name = "expired",
                 .m_age = std::chrono::minutes(2),
                 .m_fits = false }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

} // namespace
} // namespace auburntrestle::fleet
