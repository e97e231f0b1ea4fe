#include "common/batching_model.hpp"
#include "common/prefix_cache.hpp"

#include <gtest/gtest.h>

namespace auburntrestle::tools {
namespace {

const BatchingTiming kTiming{ 2,          1, Duration(10), 0.5, Duration(100),
                              Duration(1) };

TimePoint At(std::int64_t aMicroseconds)
{
  return TimePoint(Duration(aMicroseconds));
}

// Guards against more running sequences than slots, and against a queue that
// is not in order of arrival.
TEST(BatchingModel, QueuesAboveTheSlots)
{
  BatchingModel model(kTiming);
  for (SequenceNumber number = 1; number <= 4; ++number) {
    model.Submit({ number, 0, 0, 1 }, At(0));
  }
  EXPECT_EQ(model.RunningCount(), 2U);
  EXPECT_EQ(model.WaitingCount(), 2U);
  const auto first = model.Advance(At(100));
  ASSERT_EQ(first.size(), 2U);
  EXPECT_TRUE(first[0].m_last);
  EXPECT_EQ(model.RunningCount(), 2U);
  const auto second = model.Advance(At(200));
  ASSERT_EQ(second.size(), 2U);
  EXPECT_EQ(second[0].m_number, 3U);
}

// Guards against a time per token that ignores the load above the knee.
TEST(BatchingModel, SlowsDownAboveTheKnee)
{
  BatchingModel model(kTiming);
  model.Submit({ 1, 0, 0, 10 }, At(0));
  EXPECT_EQ(model.TimePerToken(), Duration(10));
  model.Submit({ 2, 0, 0, 10 }, At(0));
  EXPECT_EQ(model.TimePerToken(), Duration(15));
  model.SetSlowFactor(4.0);
  EXPECT_EQ(model.TimePerToken(), Duration(60));
}

// Guards against a prompt that adds no delay, and a resumed sequence that
// starts from the beginning.
TEST(BatchingModel, PromptLengthDelaysAndResumeContinues)
{
  BatchingModel model(kTiming);
  model.Submit({ 1, 50, 3, 5 }, At(0));
  EXPECT_EQ(model.NextDue(), At(150));
  const auto tokens = model.Advance(At(1000));
  ASSERT_EQ(tokens.size(), 2U);
  EXPECT_EQ(tokens[0].m_index, 3U);
  EXPECT_TRUE(tokens[1].m_last);
}

// Guards against a cancelled sequence that keeps its slot.
TEST(BatchingModel, CancelFreesTheSlot)
{
  BatchingModel model(kTiming);
  for (SequenceNumber number = 1; number <= 3; ++number) {
    model.Submit({ number, 0, 0, 9 }, At(0));
  }
  EXPECT_TRUE(model.Cancel(1, At(5)));
  EXPECT_FALSE(model.Cancel(1, At(5)));
  EXPECT_EQ(model.RunningCount(), 2U);
  EXPECT_EQ(model.WaitingCount(), 0U);
}

// Guards against tokens during a weight swap, of running and new sequences.
TEST(BatchingModel, PauseDelaysRunningAndNewSequences)
{
  BatchingModel model(kTiming);
  model.Submit({ 1, 0, 0, 2 }, At(0));
  model.Pause(Duration(500), At(50));
  model.Submit({ 2, 0, 0, 2 }, At(60));
  EXPECT_TRUE(model.Advance(At(549)).empty());
  EXPECT_EQ(model.NextDue(), At(600));
}

std::string Prompt(char aLetter, std::size_t aBlocks)
{
  return std::string(aBlocks * PrefixCache::kBlockTokens * 4, aLetter);
}

// Guards against a hit that is longer than the shared prefix.
TEST(PrefixCache, FindsTheSharedPrefixOnly)
{
  PrefixCache cache(1000);
  std::vector<CacheEvent> events;
  EXPECT_EQ(cache.LookUpAndStore(Prompt('a', 2) + Prompt('b', 1), events), 0U);
  EXPECT_EQ(events.size(), 3U);
  EXPECT_EQ(cache.LookUpAndStore(Prompt('a', 2) + Prompt('c', 1), events), 32U);
  EXPECT_EQ(cache.LookUpAndStore(Prompt('b', 1), events), 0U);
}

// Guards against a cache that exceeds its limit or evicts recent blocks.
TEST(PrefixCache, EvictsTheLeastRecentlyUsed)
{
  PrefixCache cache(2 * PrefixCache::kBlockTokens);
  std::vector<CacheEvent> events;
  EXPECT_EQ(cache.LookUpAndStore(Prompt('a', 1), events), 0U);
  EXPECT_EQ(cache.LookUpAndStore(Prompt('b', 1), events), 0U);
  EXPECT_EQ(cache.LookUpAndStore(Prompt('a', 1), events), 16U);
  events.clear();
  EXPECT_EQ(cache.LookUpAndStore(Prompt('c', 1), events), 0U);
  ASSERT_EQ(events.size(), 2U);
  EXPECT_FALSE(events[0].m_stored);
  EXPECT_EQ(events[0].m_prefixHash, PrefixCache::BlocksOf(Prompt('b', 1))[0]);
  EXPECT_EQ(cache.Size(), 32U);
}

} // namespace
} // namespace auburntrestle::tools
