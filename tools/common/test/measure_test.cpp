#include "common/arrival_plan.hpp"
#include "common/completion_call.hpp"
#include "common/latency_histogram.hpp"
#include "common/token_bucket.hpp"

#include <gtest/gtest.h>

namespace auburntrestle::tools {
namespace {

// Guards against quantiles that are off by more than the bucket width.
TEST(LatencyHistogram, QuantilesAreWithinOnePercent)
{
  LatencyHistogram histogram;
  for (std::int64_t value = 1; value <= 100'000; ++value) {
    histogram.Add(Duration(value));
  }
  for (const double share : { 0.5, 0.9, 0.99, 0.999 }) {
    const double expected = share * 100'000.0;
    const auto found = static_cast<double>(histogram.Quantile(share).count());
    EXPECT_GE(found, expected);
    EXPECT_LE(found, expected * 1.01);
  }
  EXPECT_EQ(histogram.Quantile(1.0), Duration(100'000));
  EXPECT_EQ(histogram.Max(), Duration(100'000));
}

// Guards against lost counts when histograms are merged.
TEST(LatencyHistogram, MergeAddsCounts)
{
  LatencyHistogram one;
  LatencyHistogram two;
  EXPECT_EQ(one.Quantile(0.5), Duration(0));
  one.Add(Duration(10));
  two.Add(Duration(1'000'000));
  one.Merge(two);
  EXPECT_EQ(one.Count(), 2U);
  EXPECT_EQ(one.Quantile(0.5), Duration(10));
  EXPECT_EQ(one.Quantile(0.999), Duration(1'000'000));
}

// Guards against a bucket that exceeds its rate or refuses large amounts.
TEST(TokenBucket, GrantsAtItsRate)
{
  TokenBucket bucket(100.0, 50.0, TimePoint());
  EXPECT_EQ(bucket.TryConsume(50.0, TimePoint()), Duration(0));
  EXPECT_EQ(bucket.TryConsume(10.0, TimePoint()), Duration(100'000));
  EXPECT_EQ(bucket.TryConsume(10.0, TimePoint(Duration(100'000))), Duration(0));
  const TimePoint later(Duration(10'000'000));
  EXPECT_EQ(bucket.TryConsume(80.0, later), Duration(0));
  // The level is -30, so 10 more units take 400 ms.
  EXPECT_EQ(bucket.TryConsume(10.0, later), Duration(400'000));
}

// Guards against runs with the same seed that differ.
TEST(ArrivalPlan, IsEqualForEqualSeeds)
{
  ApplicationShape shape;
  shape.m_rate = 50.0;
  const Duration length = std::chrono::seconds(20);
  const auto one = PlanArrivals({ shape }, length, 3, {}, 10'000);
  const auto two = PlanArrivals({ shape }, length, 3, {}, 10'000);
  ASSERT_EQ(one.size(), two.size());
  // Five standard deviations around the mean of 1000.
  EXPECT_GT(one.size(), 840U);
  EXPECT_LT(one.size(), 1160U);
  for (std::size_t index = 0; index < one.size(); ++index) {
    ASSERT_EQ(one[index].m_at, two[index].m_at);
    ASSERT_EQ(one[index].m_prompt, two[index].m_prompt);
    ASSERT_EQ(one[index].m_isLong,
              one[index].m_expectedTokens > shape.m_longFrom);
  }
  EXPECT_EQ(PlanArrivals({ shape }, length, 3, {}, 10).size(), 10U);
}

// Guards against a slow-down that picks one engine twice.
TEST(ArrivalPlan, SlowsDifferentEnginesAtATime)
{
  SlowShape shape;
  shape.m_share = 0.25;
  const auto plan = PlanSlowDowns(shape, 12, std::chrono::seconds(10), 1);
  ASSERT_EQ(plan.size(), 6U);
  for (std::size_t index = 0; index < plan.size(); index += 3) {
    EXPECT_NE(plan[index].m_engine, plan[index + 1].m_engine);
    EXPECT_NE(plan[index].m_engine, plan[index + 2].m_engine);
    EXPECT_NE(plan[index + 1].m_engine, plan[index + 2].m_engine);
  }
}

// Guards against events that are lost when a chunk ends inside a line.
TEST(CompletionStream, JoinsPieces)
{
  const std::string body = "data: {\"choices\":[{\"text\":\"ab\"}]}\n\n"
                           ": comment\n"
                           "data: {\"choices\":[{\"text\":\" cd\"}]}\r\n\r\n"
                           "data: [DONE]\n\n";
  for (std::size_t cut = 0; cut <= body.size(); ++cut) {
    CompletionStream stream;
    stream.Read(body.substr(0, cut), TimePoint(Duration(1)));
    stream.Read(body.substr(cut), TimePoint(Duration(2)));
    ASSERT_EQ(stream.Text(), "ab cd") << cut;
    ASSERT_TRUE(stream.IsDone()) << cut;
    ASSERT_EQ(stream.Error(), "") << cut;
  }
}

// Guards against an error event that counts as output.
TEST(CompletionStream, ReportsErrorEvents)
{
  CompletionStream stream;
  stream.Read("data: {\"error\":{\"code\":\"backend_lost\","
              "\"outcome\":\"outcome_unknown\"}}\n\n",
              TimePoint());
  EXPECT_EQ(stream.Error(), "backend_lost/outcome_unknown");
  EXPECT_FALSE(stream.IsDone());
  EXPECT_EQ(ErrorName(502, "no json"), "http_502/outcome_unknown");
}

} // namespace
} // namespace auburntrestle::tools
