#include "auburntrestle/fleet/loop_monitor.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace auburntrestle::fleet {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kDue{ std::chrono::seconds(10) };
/** What a loop had done until the first of two checks. */
constexpr LoopActivity kBefore{ { 100, 200 }, 300 };

struct OverloadCase
{
  std::string m_name;
  Duration m_lag{};
  LoopActivity m_activity;
  bool m_isOverloaded = false;
};

class OverloadDetectorTest : public testing::TestWithParam<OverloadCase>
{};

// Guards against an instance that does not wait for anything, or too late for
// its callers, without a line in its log that tells why.
TEST_P(OverloadDetectorTest, ReportsWhatTheLoopDid)
{
  OverloadDetector detector;
  EXPECT_FALSE(detector.Check(kDue, kDue, kBefore));
  const auto overload =
    detector.Check(kDue, kDue + GetParam().m_lag, GetParam().m_activity);
  ASSERT_EQ(overload.has_value(), GetParam().m_isOverloaded);
  if (!overload) {
    return;
  }
  const auto& counts = GetParam().m_activity.m_counts;
  EXPECT_EQ(overload->m_lag, GetParam().m_lag);
  EXPECT_EQ(overload->m_activity.m_counts.m_posted,
            counts.m_posted - kBefore.m_counts.m_posted);
  EXPECT_EQ(overload->m_activity.m_counts.m_expired,
            counts.m_expired - kBefore.m_counts.m_expired);
}

INSTANTIATE_TEST_SUITE_P(
  Checks,
  OverloadDetectorTest,
  testing::Values(
    OverloadCase{ "idle", milliseconds(1), { { 100, 201 }, 302 }, false },
    OverloadCase{ "slow_callback",
                  milliseconds(501),
                  { { 101, 201 }, 302 },
                  true },
    OverloadCase{ "callback_that_runs_again",
                  milliseconds(1),
                  { { 9000, 201 }, 300 },
                  true },
    OverloadCase{ "waits_unknown",
                  milliseconds(1),
                  { { 101, 201 }, 0 },
                  false }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

struct StallCase
{
  std::string m_name;
  /** The turns of the loop at each check. */
  std::vector<std::uint64_t> m_turns;
  int m_reports = 0;
};

class StallDetectorTest : public testing::TestWithParam<StallCase>
{};

// Guards against a loop that never returns from a callback without a line in
// the log, and against a line for a process that was only suspended.
TEST_P(StallDetectorTest, ReportsALoopWithoutTurnsOnce)
{
  StallDetector detector;
  int reports = 0;
  for (const auto turns : GetParam().m_turns) {
    reports += detector.Check(turns) ? 1 : 0;
  }
  EXPECT_EQ(reports, GetParam().m_reports);
}

INSTANTIATE_TEST_SUITE_P(
  Loops,
  StallDetectorTest,
  testing::Values(
    StallCase{ "turning", { 1, 2, 3, 4, 5, 6, 7, 8 }, 0 },
    StallCase{ "suspended", { 1, 1, 1, 2, 3, 3, 4 }, 0 },
    StallCase{ "stuck", { 1, 1, 1, 1, 1, 1, 1, 1 }, 1 },
    StallCase{ "stuck_twice", { 1, 1, 1, 1, 1, 1, 2, 2, 2, 2, 2, 2 }, 2 }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

} // namespace
} // namespace auburntrestle::fleet
