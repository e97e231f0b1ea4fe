#include "auburntrestle/core/steady_wall_clock.hpp"

#include <gtest/gtest.h>

#include <string>

namespace auburntrestle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr WallTime kTrueStart = std::chrono::hours(24 * 365 * 50);

/** The true time at a time since the start of the machine. */
WallTime TrueTime(Duration aSinceBoot)
{
  return kTrueStart + std::chrono::duration_cast<WallTime>(aSinceBoot);
}

/** Reads the time of day each second, from aFrom to aTo seconds. */
void Read(SteadyWallClock& aClock, int aFrom, int aTo, WallTime aJump)
{
  for (int second = aFrom; second < aTo; ++second) {
    const Duration sinceBoot = seconds(second);
    aClock.RecordOwn(TrueTime(sinceBoot) + aJump, BootTime(sinceBoot));
  }
}

/** A jump of the time of day, and by how much the estimate moves. */
struct JumpCase
{
  std::string m_name;
  int m_calmSeconds = 30;
  int m_jumpSeconds = 6;
  milliseconds m_jump{};
  /** How many peers, and how many of them jump too. */
  int m_peers = 0;
  int m_jumpedPeers = 0;
  milliseconds m_expectedError{};
};

class SteadyWallClockTest : public testing::TestWithParam<JumpCase>
{};

// Guards against requests that count in another window because the time of day
// jumped by seconds.
TEST_P(SteadyWallClockTest, StaysWithTheMajority)
{
  SteadyWallClock clock;
  const JumpCase& given = GetParam();
  Read(clock, 0, given.m_calmSeconds, WallTime());
  const int end = given.m_calmSeconds + given.m_jumpSeconds;
  Read(clock, given.m_calmSeconds, end, given.m_jump);
  const Duration now = seconds(end);
  for (int peer = 0; peer < given.m_peers; ++peer) {
    const bool jumped = peer < given.m_jumpedPeers;
    clock.RecordPeer(InstanceId(std::to_string(peer)),
                     TrueTime(now) + (jumped ? given.m_jump : WallTime()),
                     BootTime(now));
  }
  EXPECT_EQ(clock.At(BootTime(now)) - TrueTime(now), given.m_expectedError);
}

INSTANTIATE_TEST_SUITE_P(
  Jumps,
  SteadyWallClockTest,
  testing::Values(
    JumpCase{ "none", 30, 0, milliseconds(0), 0, 0, milliseconds(0) },
    JumpCase{ "forward", 30, 6, milliseconds(2400), 0, 0, milliseconds(0) },
    JumpCase{ "backward", 30, 6, milliseconds(-2400), 0, 0, milliseconds(0) },
    JumpCase{ "at_the_start", 0, 6, milliseconds(2400), 2, 0, milliseconds(0) },
    JumpCase{ "with_a_minority_of_peers",
              0,
              6,
              milliseconds(2400),
              4,
              1,
              milliseconds(0) },
    JumpCase{ "for_good",
              0,
              60,
              milliseconds(2400),
              0,
              0,
              milliseconds(2400) }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

TEST(SteadyWallClockTest, IsTheEpochBeforeAnyReading)
{
  EXPECT_EQ(SteadyWallClock().At(BootTime(seconds(5))), WallTime());
}

} // namespace
} // namespace auburntrestle
