#include "auburntrestle/fleet/reward_queue.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

namespace auburntrestle::fleet {
namespace {

std::shared_ptr<RewardGroup> Group(std::size_t aUnfinished, int aAcceptedAt = 0)
{
  return std::make_shared<RewardGroup>(
    RewardGroup{ aUnfinished, WallTime(aAcceptedAt) });
}

TEST(RewardQueueTest, GroupsThatAreNearlyWholeGoFirst)
{
  const TimePoint now{ std::chrono::seconds(1) };
  RewardQueue queue;
  const auto large = Group(8);
  queue.Add(RewardTicket(1), large, now);
  queue.Add(RewardTicket(2), Group(2, 20), now);
  queue.Add(RewardTicket(3), Group(2, 10), now);
  queue.Add(RewardTicket(4), Group(1, 30), now + std::chrono::seconds(1));
  const std::vector<RewardTicket> expected{ RewardTicket(3),
                                            RewardTicket(2),
                                            RewardTicket(1) };
  EXPECT_EQ(queue.Ready(now), expected);

  large->m_unfinishedItems = 1;
  EXPECT_EQ(queue.Ready(now).front(), RewardTicket(1));
  EXPECT_EQ(queue.Ready(now + std::chrono::seconds(1)).size(), 4U);
  queue.Remove(RewardTicket(1));
  EXPECT_EQ(queue.size(), 3U);
}

struct DelayCase
{
  std::uint32_t m_retries;
  Duration m_expected;
};

class RetryDelayTest : public testing::TestWithParam<DelayCase>
{};

TEST_P(RetryDelayTest, DoublesUpToTheMaximum)
{
  EXPECT_EQ(RetryDelay(RewardPolicy{}, GetParam().m_retries),
            GetParam().m_expected);
}

INSTANTIATE_TEST_SUITE_P(
  Retries,
  RetryDelayTest,
  testing::Values(DelayCase{ 0, Duration::zero() },
                  DelayCase{ 1, std::chrono::milliseconds(25) },
                  DelayCase{ 3, std::chrono::milliseconds(100) },
                  DelayCase{ 60, std::chrono::milliseconds(800) }));

TEST(HedgeDelayTest, FollowsTheMedianLatency)
{
  const RewardPolicy policy;
  EXPECT_EQ(HedgeDelay(policy, std::nullopt), policy.m_minHedgeDelay);
  EXPECT_EQ(HedgeDelay(policy, std::chrono::milliseconds(10)),
            policy.m_minHedgeDelay);
  EXPECT_EQ(HedgeDelay(policy, std::chrono::milliseconds(100)),
            std::chrono::milliseconds(300));
}

} // namespace
} // namespace auburntrestle::fleet
