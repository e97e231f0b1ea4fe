#include "auburntrestle/fleet/shutdown_schedule.hpp"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

namespace auburntrestle::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A request that arrives aAt after the start of the shutdown. */
struct AdmissionCase
{
  std::string m_name;
  Duration m_at;
  Duration m_timeLimit;
  bool m_isTaken;
  Duration m_allowedTime = seconds(8);
};

void PrintTo(const AdmissionCase& aCase, std::ostream* aStream)
{
  *aStream << aCase.m_name;
}

class ShutdownScheduleTest : public testing::TestWithParam<AdmissionCase>
{};

// Guards against a request that is taken late in a planned shutdown, passed on,
// and cut off at its end.
TEST_P(ShutdownScheduleTest, TakesOnlyRequestsThatCanEnd)
{
  constexpr TimePoint kStart{ seconds(100) };
  const ShutdownSchedule schedule(kStart, GetParam().m_allowedTime);
  EXPECT_EQ(schedule.Admits(GetParam().m_timeLimit, kStart + GetParam().m_at),
            GetParam().m_isTaken);
}

INSTANTIATE_TEST_SUITE_P(
  Cases,
  ShutdownScheduleTest,
  testing::Values(
    AdmissionCase{ "at_once", {}, seconds(30), true },
    AdmissionCase{ "while_directed_here", seconds(2), seconds(30), true },
    AdmissionCase{ "late_and_short", seconds(3), seconds(4), true },
    AdmissionCase{ "late_and_long", seconds(3), seconds(5), false },
    AdmissionCase{ "later_and_short", milliseconds(6900), seconds(1), false },
    AdmissionCase{ "just_in_time", milliseconds(6200), seconds(1), true },
    AdmissionCase{ "at_the_end", milliseconds(7200), {}, false },
    AdmissionCase{ "after_the_end", milliseconds(7400), {}, false },
    AdmissionCase{ "no_time_at_all",
                   seconds(1),
                   seconds(1),
                   false,
                   seconds(1) }));

// Guards against final responses that are sent too late to arrive.
TEST(ShutdownScheduleOrderTest, RespondsBeforeItStops)
{
  constexpr TimePoint kStart{ seconds(100) };
  const ShutdownSchedule schedule(kStart, seconds(8));
  EXPECT_LT(schedule.EarliestStop(), schedule.FinalResponses());
  EXPECT_LT(schedule.FinalResponses(), schedule.LatestStop());
  EXPECT_LT(schedule.LatestStop(), kStart + seconds(8));
}

} // namespace
} // namespace auburntrestle::fleet
