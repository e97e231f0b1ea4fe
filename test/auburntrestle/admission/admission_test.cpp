#include "auburntrestle/admission/concurrency_limit.hpp"
#include "auburntrestle/admission/drain_rate.hpp"
#include "auburntrestle/admission/output_estimator.hpp"
#include "auburntrestle/admission/waiting_queue.hpp"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace auburntrestle::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ seconds(100) };
constexpr WeightVersion kNewest{ 100 };

/**
 * Records times for some seconds, with as many requests in flight as the limit
 * allows.
 * @return the limit afterwards.
 */
std::uint32_t RecordTimes(ConcurrencyLimit& aLimit,
                          TimePoint& aNow,
                          int aSeconds,
                          Duration aFirstToken,
                          Duration aPerToken)
{
  for (int i = 0; i < aSeconds * 20; ++i) {
    aNow += milliseconds(50);
    aLimit.RecordFirstToken(aFirstToken, TokenCount(100), aLimit.Limit(), aNow);
    aLimit.RecordTokens(aPerToken, TokenCount(1), aLimit.Limit(), aNow);
  }
  return aLimit.Limit();
}

// Guards against a limit that does not adapt to the observed times.
TEST(ConcurrencyLimitTest, FollowsObservedTimes)
{
  struct Row
  {
    Duration m_firstToken;
    Duration m_perToken;
    bool m_shrinks;
  };
  const Row rows[] = {
    { milliseconds(50), milliseconds(10), false },
    { milliseconds(60), milliseconds(15), false },
    { milliseconds(50), milliseconds(40), true },
    { milliseconds(900), milliseconds(10), true },
  };
  for (const auto& row : rows) {
    ConcurrencyLimit limit(8, 64);
    auto now = kStart;
    const auto before =
      RecordTimes(limit, now, 1, milliseconds(50), milliseconds(10));
    EXPECT_GT(before, 8U);
    const auto after =
      RecordTimes(limit, now, 3, row.m_firstToken, row.m_perToken);
    EXPECT_EQ(after < before, row.m_shrinks);
    EXPECT_GE(after, 1U);
    EXPECT_LE(RecordTimes(limit, now, 60, milliseconds(50), milliseconds(10)),
              64U);
  }
}

// Guards against a limit that grows on an idle server, or without evidence that
// the server takes up requests.
TEST(ConcurrencyLimitTest, DoesNotGrowUnusedOrWithoutFirstTokens)
{
  ConcurrencyLimit limit(8, 64);
  auto now = kStart;
  for (int i = 0; i < 200; ++i) {
    now += milliseconds(50);
    limit.RecordFirstToken(milliseconds(50), TokenCount(1), 2, now);
  }
  EXPECT_EQ(limit.Limit(), 8U);
  for (int i = 0; i < 200; ++i) {
    now += milliseconds(50);
    limit.RecordTokens(milliseconds(10), TokenCount(1), 8, now);
  }
  EXPECT_LE(limit.Limit(), 9U);
}

// Guards against a single outdated report that changes the limit.
TEST(ConcurrencyLimitTest, SuccessiveLoadReportsCorrectSlowly)
{
  ConcurrencyLimit limit(32, 64);
  registry::LoadReport full;
  full.m_running = 8;
  full.m_waiting = 3;
  limit.RecordLoad(full, kStart);
  EXPECT_EQ(limit.Limit(), 32U);
  limit.RecordLoad(full, kStart);
  EXPECT_EQ(limit.Limit(), 26U);
  for (int i = 0; i < 30; ++i) {
    limit.RecordLoad(full, kStart);
  }
  EXPECT_EQ(limit.Limit(), 8U);
}

WaitingRequest Request(std::uint64_t aId,
                       const std::string& aCaller,
                       WorkSize aSize = WorkSize::Short,
                       std::uint64_t aMinVersion = 0)
{
  WaitingRequest request;
  request.m_id = RequestId(aId);
  request.m_caller = CallerId(aCaller);
  request.m_size = aSize;
  request.m_minVersion = WeightVersion(aMinVersion);
  request.m_cost = 10.0;
  return request;
}

// Guards against a caller with many requests that starves the others.
TEST(WaitingQueueTest, CallersShareByWeight)
{
  WaitingQueue queue;
  for (std::uint64_t i = 0; i < 400; ++i) {
    queue.PushBack(Request(i, "heavy"), 3.0);
    queue.PushBack(Request(1000 + i, "light"), 1.0);
  }
  std::map<CallerId, int> started;
  for (int i = 0; i < 200; ++i) {
    const auto next =
      queue.Peek({ RequestClass::Application, kNewest, kNewest });
    ++started[next->m_caller];
    queue.RemoveAndCharge(next->m_id);
  }
  EXPECT_NEAR(started[CallerId("heavy")], 150, 2);
  // Work that exceeds its estimate is charged to the caller.
  queue.Charge(RequestClass::Application, CallerId("heavy"), 3000.0);
  for (int i = 0; i < 50; ++i) {
    const auto next =
      queue.Peek({ RequestClass::Application, kNewest, kNewest });
    EXPECT_EQ(next->m_caller, CallerId("light"));
    queue.RemoveAndCharge(next->m_id);
  }
}

// Guards against requests that cannot run yet and block others, and against a
// wrong order within a caller.
TEST(WaitingQueueTest, ReturnsTheFirstEligibleRequest)
{
  WaitingQueue queue;
  queue.PushBack(Request(1, "a", WorkSize::Long), 1.0);
  queue.PushBack(Request(2, "a", WorkSize::Short, 7), 1.0);
  queue.PushBack(Request(3, "a"), 1.0);
  queue.PushBack(Request(4, "a"), 1.0);
  queue.PushFront(Request(5, "a", WorkSize::Long), 1.0);
  struct Row
  {
    std::optional<WeightVersion> m_short;
    std::optional<WeightVersion> m_long;
    std::uint64_t m_expected = 0;
  };
  const WeightVersion old(6);
  const Row rows[] = { { old, std::nullopt, 3 },
                       { kNewest, std::nullopt, 2 },
                       { old, old, 5 },
                       { std::nullopt, old, 5 },
                       { std::nullopt, std::nullopt, 0 } };
  for (const auto& row : rows) {
    const auto next =
      queue.Peek({ RequestClass::Application, row.m_short, row.m_long });
    EXPECT_EQ(next ? next->m_id : RequestId(0), RequestId(row.m_expected));
  }
  EXPECT_FALSE(queue.Peek({ RequestClass::Training, kNewest, kNewest }));
  EXPECT_EQ(
    queue.CountAhead(RequestClass::Application, WorkSize::Short, CallerId("b")),
    2U);
  EXPECT_TRUE(queue.Remove(RequestId(3)));
  EXPECT_FALSE(queue.Remove(RequestId(3)));
  EXPECT_EQ(queue.Size(RequestClass::Application), 4U);
}

// Guards against classifying long work of unknown length as short.
TEST(OutputEstimatorTest, StartsAtTheMaximumAndFollowsTheCaller)
{
  OutputEstimator estimator;
  const CallerId caller("a");
  EXPECT_EQ(estimator.EstimateOutput(caller, TokenCount(100)), TokenCount(100));
  EXPECT_EQ(estimator.EstimateOutput(caller, TokenCount(0)), TokenCount(4096));
  for (int i = 0; i < 50; ++i) {
    estimator.Record(caller, TokenCount(100), TokenCount(20));
  }
  EXPECT_EQ(estimator.EstimateOutput(caller, TokenCount(100)), TokenCount(20));
  EXPECT_EQ(estimator.EstimateOutput(caller, TokenCount(4000)),
            TokenCount(4000));
}

// Guards against a retry-after that does not match the queue.
TEST(DrainRateTest, GivesTheTimeForAQueue)
{
  DrainRate rate;
  EXPECT_FALSE(rate.TimeToDrain(10, kStart));
  auto now = kStart;
  for (int i = 0; i < 200; ++i) {
    now += milliseconds(100);
    rate.Record(now);
  }
  EXPECT_NEAR(*rate.PerSecond(now), 10.0, 1.0);
  EXPECT_NEAR(rate.TimeToDrain(50, now)->count(), 5e6, 5e5);
}

} // namespace
} // namespace auburntrestle::admission
