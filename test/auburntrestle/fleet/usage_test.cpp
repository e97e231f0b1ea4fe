#include "auburntrestle/fleet/usage_recorder.hpp"
#include "auburntrestle/fleet/usage_reporter.hpp"

#include <gtest/gtest.h>

namespace auburntrestle::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kWindow = seconds(5);
constexpr Duration kDue = seconds(10);
const AccountName kAccount("account");

TEST(UsageRecorderTest, CountsByTheWindowOfTheStart)
{
  UsageRecorder recorder(kWindow);
  EXPECT_FALSE(recorder.HasChanges());
  EXPECT_EQ(recorder.RecordStart(kAccount, milliseconds(4999)), UsageWindow(0));
  EXPECT_EQ(recorder.RecordStart(kAccount, milliseconds(5000)), UsageWindow(1));
  recorder.RecordStart(kAccount, milliseconds(9999));
  EXPECT_TRUE(recorder.HasChanges());
  const UsageByWindow expected{ { UsageWindow(0), { { kAccount, 1 } } },
                                { UsageWindow(1), { { kAccount, 2 } } } };
  EXPECT_EQ(recorder.TakeChanges(), expected);
  EXPECT_FALSE(recorder.HasChanges());
}

// Guards against a request that is counted although every backend server
// refused it, or that is counted again in a window that is final.
TEST(UsageRecorderTest, TakesBackWhatDidNotRun)
{
  UsageRecorder recorder(kWindow);
  const auto window = recorder.RecordStart(kAccount, milliseconds(100));
  recorder.RecordNotRun(kAccount, window);
  EXPECT_EQ(recorder.TakeChanges().at(window).at(kAccount), 0U);
  recorder.RecordClosed(UsageWindow(1));
  recorder.RecordNotRun(kAccount, window);
  recorder.RecordStart(kAccount, milliseconds(200));
  EXPECT_TRUE(recorder.TakeChanges().empty());
}

// Guards against counts that are lost with the leader that had them.
TEST(UsageRecorderTest, ANewLeaderGetsAllOpenWindows)
{
  UsageRecorder recorder(kWindow);
  recorder.RecordStart(kAccount, milliseconds(100));
  recorder.RecordStart(kAccount, milliseconds(5100));
  std::ignore = recorder.TakeChanges();
  recorder.RecordClosed(UsageWindow(1));
  recorder.RecordNewLeader();
  EXPECT_TRUE(recorder.HasChanges());
  EXPECT_EQ(recorder.TakeChanges().size(), 1U);
}

SubmitUsage Submission(const std::string& aInstance,
                       std::uint64_t aSequence,
                       std::uint64_t aCount,
                       std::uint64_t aIncarnation = 1)
{
  return SubmitUsage{ InstanceId(aInstance),
                      Incarnation(aIncarnation),
                      aSequence,
                      { { UsageWindow(7), { { kAccount, aCount } } } } };
}

/** Submissions in the order of their arrival, and the sum. */
struct SumCase
{
  std::string m_name;
  std::vector<SubmitUsage> m_submissions;
  std::uint64_t m_expected = 0;
};

class UsageSumTest : public testing::TestWithParam<SumCase>
{};

// Guards against counts that are added twice when they are sent again, or lost
// when an instance restarts.
TEST_P(UsageSumTest, AddsEachRunOfAnInstanceOnce)
{
  UsageReporter reporter(kWindow, kDue);
  reporter.Start(TimePoint());
  for (const auto& submission : GetParam().m_submissions) {
    reporter.RecordSubmission(submission);
  }
  EXPECT_EQ(reporter.CountsOf(UsageWindow(7)),
            (UsageCounts{ { kAccount, GetParam().m_expected } }));
  reporter.RecordClosed(UsageWindow(8));
  EXPECT_TRUE(reporter.CountsOf(UsageWindow(7)).empty());
}

INSTANTIATE_TEST_SUITE_P(
  Orders,
  UsageSumTest,
  testing::Values(
    SumCase{ "one", { Submission("a", 1, 3) }, 3 },
    SumCase{ "repeated", { Submission("a", 1, 3), Submission("a", 1, 3) }, 3 },
    SumCase{ "grown", { Submission("a", 1, 3), Submission("a", 2, 5) }, 5 },
    SumCase{ "overtaken", { Submission("a", 2, 5), Submission("a", 1, 3) }, 5 },
    SumCase{ "two", { Submission("a", 1, 3), Submission("b", 1, 4) }, 7 },
    SumCase{ "restarted",
             { Submission("a", 9, 3), Submission("a", 1, 4, 2) },
             7 }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

/** When a window is closed. Window 7 ends at 40 s, its report is due at 50 s.
 */
struct CloseCase
{
  std::string m_name;
  Duration m_wall{};
  /** Since the start of the leadership epoch. */
  Duration m_leading{};
  bool m_expected = false;
};

class UsageCloseTest : public testing::TestWithParam<CloseCase>
{};

// Guards against a window that is closed before all instances have sent their
// counts, or too late for its report.
TEST_P(UsageCloseTest, WaitsForCounts)
{
  UsageReporter reporter(kWindow, kDue);
  const TimePoint start(seconds(1000));
  reporter.Start(start);
  const auto wall = std::chrono::duration_cast<WallTime>(GetParam().m_wall);
  const auto window =
    reporter.NextToClose(UsageWindow(7), wall, start + GetParam().m_leading);
  EXPECT_EQ(window.has_value(), GetParam().m_expected);
}

INSTANTIATE_TEST_SUITE_P(
  Times,
  UsageCloseTest,
  testing::Values(
    CloseCase{ "before_its_end", seconds(39), seconds(60), false },
    CloseCase{ "soon_after", milliseconds(44999), seconds(60), false },
    CloseCase{ "half_way", seconds(45), seconds(60), true },
    CloseCase{ "new_leader", seconds(46), seconds(1), false },
    CloseCase{ "leader_of_two_seconds", seconds(46), seconds(2), true },
    CloseCase{ "overdue", seconds(90), seconds(60), true }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

} // namespace
} // namespace auburntrestle::fleet
