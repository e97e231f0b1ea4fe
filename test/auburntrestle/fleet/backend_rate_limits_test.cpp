#include "auburntrestle/fleet/backend_rate_limits.hpp"

#include <gtest/gtest.h>

#include <chrono>

namespace auburntrestle::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const BackendProcess kServer{ BackendId("server"), Incarnation(1) };
const TimePoint kStart{ seconds(100) };

class BackendRateLimitsTest : public testing::Test
{
protected:
  void State(std::optional<RequestRate> aLimit, TimePoint aSentAt)
  {
    std::ignore = m_limits.RecordStatement(kServer, aLimit, aSentAt, m_now);
  }

  [[nodiscard]] bool IsPermitted() const
  {
    return m_limits.NextPermit(kServer) <= m_now;
  }

  BackendRateLimits m_limits;
  TimePoint m_now = kStart;
};

TEST_F(BackendRateLimitsTest, AServerInTroubleGetsNoBurst)
{
  EXPECT_TRUE(IsPermitted());
  State(RequestRate(4), m_now);
  EXPECT_FALSE(IsPermitted());
  m_now += milliseconds(250);
  EXPECT_TRUE(IsPermitted());
  m_limits.RecordSent(kServer, m_now);
  EXPECT_FALSE(IsPermitted());
}

TEST_F(BackendRateLimitsTest, ALateResponseDoesNotEndALimit)
{
  const TimePoint before = m_now;
  m_now += seconds(1);
  State(RequestRate(1), m_now);
  State(std::nullopt, before);
  EXPECT_EQ(m_limits.LimitOf(kServer), RequestRate(1));
  m_now += seconds(1);
  State(std::nullopt, m_now);
  EXPECT_EQ(m_limits.LimitOf(kServer), std::nullopt);
  EXPECT_TRUE(IsPermitted());
}

TEST_F(BackendRateLimitsTest, ARestartedServerDoesNotInheritALimit)
{
  State(RequestRate(1), m_now);
  const BackendProcess restarted{ kServer.m_id, Incarnation(2) };
  EXPECT_EQ(m_limits.LimitOf(restarted), std::nullopt);
  EXPECT_LE(m_limits.NextPermit(restarted), m_now);
}

// Guards against a limit of zero that never ends, because no request is sent
// whose response could end it.
TEST_F(BackendRateLimitsTest, ALimitOfZeroPermitsARareRequest)
{
  State(RequestRate(0), m_now);
  m_now += seconds(10);
  EXPECT_TRUE(IsPermitted());
}

TEST_F(BackendRateLimitsTest, RequestsWithoutAPermitDelayThePermitsOfOthers)
{
  State(RequestRate(1), m_now);
  m_now += seconds(2);
  for (int report = 0; report < 20; ++report) {
    m_limits.RecordSent(kServer, m_now);
  }
  m_now += seconds(3);
  EXPECT_FALSE(IsPermitted());
  m_now += seconds(2);
  EXPECT_TRUE(IsPermitted());
}

} // namespace
} // namespace auburntrestle::fleet
