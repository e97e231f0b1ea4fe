#include "auburntrestle/core/random.hpp"
#include "auburntrestle/timer/timer_service.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <vector>

namespace auburntrestle::timer {
namespace {

TimePoint At(std::int64_t aMicroseconds)
{
  return TimePoint(Duration(aMicroseconds));
}

struct AdvanceRow
{
  std::int64_t m_now;
  /** Index of the timer, scheduled time and number of missed expiries. */
  std::vector<std::tuple<std::size_t, std::int64_t, std::uint64_t>> m_due;
  std::int64_t m_next;
};

// Guards against expiries that are early, lost, duplicated, out of order or,
// after a pause, not at a multiple of their interval.
TEST(TimerService, ReturnsExpiriesInOrder)
{
  TimerService timers;
  const std::vector<TimerId> ids{
    timers.ScheduleAt(At(30)),
    timers.ScheduleAt(At(10)),
    *timers.ScheduleEvery(At(10), Duration(20)),
    timers.ScheduleAt(At(200)),
  };
  const std::vector<AdvanceRow> rows{
    { 9, {}, 10 },
    { 10, { { 1, 10, 0 }, { 2, 10, 0 } }, 30 },
    { 10, {}, 30 },
    { 30, { { 0, 30, 0 }, { 2, 30, 0 } }, 50 },
    { 115, { { 2, 50, 3 } }, 130 },
    { 129, {}, 130 },
    { 250, { { 2, 130, 6 }, { 3, 200, 0 } }, 270 },
  };
  for (const AdvanceRow& row : rows) {
    std::vector<Expiry> expected;
    for (const auto& [index, at, missed] : row.m_due) {
      expected.push_back({ ids[index], At(at), missed });
    }
    EXPECT_EQ(timers.Advance(At(row.m_now)), expected) << "at " << row.m_now;
    EXPECT_EQ(timers.NextDeadline(), At(row.m_next)) << "at " << row.m_now;
  }
  EXPECT_EQ(timers.size(), 1U);
}

// Guards against cancelled timers that still expire, and against cancelling the
// wrong timer.
TEST(TimerService, CancelledTimersNeverExpire)
{
  TimerService timers;
  const TimerId once = timers.ScheduleAt(At(10));
  const TimerId other = timers.ScheduleAt(At(10));
  const TimerId often = *timers.ScheduleEvery(At(5), Duration(5));
  EXPECT_TRUE(timers.Cancel(once));
  EXPECT_FALSE(timers.Cancel(once));
  EXPECT_EQ(timers.Advance(At(5)),
            (std::vector<Expiry>{ { often, At(5), 0 } }));
  EXPECT_TRUE(timers.Cancel(often));
  EXPECT_EQ(timers.Advance(At(99)),
            (std::vector<Expiry>{ { other, At(10), 0 } }));
  EXPECT_FALSE(timers.Cancel(other));
  EXPECT_TRUE(timers.empty());
  EXPECT_EQ(timers.NextDeadline(), std::nullopt);
}

// Guards against an interval that would make Advance loop forever.
TEST(TimerService, RefusesIntervalsThatAreNotAboveZero)
{
  TimerService timers;
  for (const std::int64_t interval : { 0, -1 }) {
    const auto refused = timers.ScheduleEvery(At(1), Duration(interval));
    ASSERT_FALSE(refused.has_value());
    EXPECT_EQ(refused.error(), TimerError::BadInterval);
  }
  EXPECT_TRUE(timers.empty());
}

// Guards against faults that only occur with many timers, by comparison with a
// plain list.
TEST(TimerService, AgreesWithAPlainList)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::cout << "seed=" << seed << '\n';
    RandomSource random(seed);
    TimerService timers;
    std::vector<std::pair<std::int64_t, TimerId>> list;
    std::int64_t now = 0;
    for (int step = 0; step < 2000; ++step) {
      const std::uint64_t choice = random.Below(10);
      if (choice < 6) {
        const auto at = now + static_cast<std::int64_t>(random.Below(500));
        list.emplace_back(at, timers.ScheduleAt(At(at)));
      } else if (choice < 8 && !list.empty()) {
        const auto chosen =
          list.begin() + static_cast<std::ptrdiff_t>(random.Below(list.size()));
        EXPECT_TRUE(timers.Cancel(chosen->second));
        list.erase(chosen);
      } else {
        now += static_cast<std::int64_t>(random.Below(60));
        std::sort(list.begin(), list.end());
        std::vector<Expiry> expected;
        for (const auto& [at, id] : list) {
          if (at <= now) {
            expected.push_back({ id, At(at), 0 });
          }
        }
        std::erase_if(list,
                      [now](const auto& aItem) { return aItem.first <= now; });
        ASSERT_EQ(timers.Advance(At(now)), expected);
      }
      ASSERT_EQ(timers.size(), list.size());
    }
  }
}

} // namespace
} // namespace auburntrestle::timer
