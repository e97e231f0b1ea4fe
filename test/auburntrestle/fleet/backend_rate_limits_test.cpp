#include "auburntrestle/core/random.hpp"
#include "auburntrestle/fleet/backend_chooser.hpp"
#include "auburntrestle/fleet/backend_rate_limits.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace auburntrestle::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const BackendProcess kServer{ BackendId("server"), Incarnation(1) };
const ServiceName kService("service");
const TimePoint kStart{ seconds(100) };

constexpr Duration kWindow = seconds(4);

/** @return the most requests that the users want a server to get within
 * kWindow. */
double MaxInWindow(double aRate)
{
  constexpr double kTolerance = 1.5;
  constexpr double kAllowance = 5;
  return kTolerance * aRate * std::chrono::duration<double>(kWindow).count() +
         kAllowance;
}

/** @return the most of aTimes, which are ascending, within kWindow. */
std::size_t MostInWindow(const std::vector<TimePoint>& aTimes)
{
  std::size_t most = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < aTimes.size(); ++last) {
    while (aTimes[last] - aTimes[first] >= kWindow) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

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

struct LoadCase
{
  std::string m_name;
  /** The limit of a server; they share it evenly where there are several. */
  double m_rate;
  std::size_t m_instances;
  /** Servers of the service, and how many of them state the limit. */
  std::size_t m_servers;
  std::size_t m_limited;
  /** Requests per second of all instances together. */
  double m_demand;
};

std::ostream& operator<<(std::ostream& aStream, const LoadCase& aCase)
{
  return aStream << aCase.m_name;
}

/**
 * Plays short requests that arrive at random at many instances, in virtual
 * time. Some servers state a limit in their responses; each instance learns of
 * it from its own responses only, and asks the first instance for permits.
 */
class LimitLoad
{
public:
  explicit LimitLoad(const LoadCase& aCase)
    : m_case(aCase)
    , m_sent(aCase.m_servers)
  {
    for (std::size_t server = 0; server < m_case.m_servers; ++server) {
      m_records.push_back(Record(server));
    }
    for (std::size_t index = 0; index < m_case.m_instances; ++index) {
      auto& instance = m_instances.emplace_back();
      instance.m_chooser.SetStatements(instance.m_limits, instance.m_draining);
      instance.m_chooser.SetBackends(m_records);
    }
  }

  void Run(Duration aTime)
  {
    const TimePoint end = m_now + aTime;
    while (m_now < end) {
      m_now += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(2 * m_random.Unit() / m_case.m_demand));
      ++m_requests;
      m_served += Serve(m_instances[m_random.Below(m_case.m_instances)]);
    }
  }

  /** @return the share of requests that a server answered. */
  [[nodiscard]] double ServedShare() const
  {
    return static_cast<double>(m_served) / static_cast<double>(m_requests);
  }

  /** @return the most requests of instances that knew the limit which a limited
   * server got in a window. */
  [[nodiscard]] std::size_t WorstWindow() const
  {
    std::size_t worst = 0;
    for (std::size_t server = 0; server < m_case.m_limited; ++server) {
      worst = std::max(worst, MostInWindow(m_sent[server]));
    }
    return worst;
  }

private:
  struct Instance
  {
    BackendRateLimits m_limits;
    DrainingBackends m_draining;
    BackendChooser m_chooser{ DataCentreId("dc") };
  };

  [[nodiscard]] static BackendRecord Record(std::size_t aServer)
  {
    BackendRecord record;
    record.m_id = BackendId(std::to_string(aServer));
    record.m_service = kService;
    record.m_dataCentre = DataCentreId("dc");
    record.m_slots = 6;
    record.m_incarnation = Incarnation(1);
    return record;
  }

  [[nodiscard]] std::size_t Serve(Instance& aInstance)
  {
    while (const auto* record =
             aInstance.m_chooser.Choose(kService, {}, m_now)) {
      const auto limit = aInstance.m_limits.LimitOf(record->Process());
      if (!limit || HasPermit(aInstance, *record, *limit)) {
        Send(aInstance, *record, limit.has_value());
        return 1;
      }
    }
    return 0;
  }

  [[nodiscard]] bool HasPermit(Instance& aInstance,
                               const BackendRecord& aRecord,
                               RequestRate aLimit)
  {
    const auto wait = m_leader.Grant(aRecord.Process(), aLimit, m_now);
    if (wait) {
      aInstance.m_limits.RecordNoPermit(aRecord.Process(), m_now + *wait);
    }
    return !wait;
  }

  void Send(Instance& aInstance, const BackendRecord& aRecord, bool aKnowsLimit)
  {
    const auto server = std::stoul(aRecord.m_id.Get());
    if (aKnowsLimit) {
      m_sent[server].push_back(m_now);
    }
    aInstance.m_limits.RecordSent(aRecord.Process(), m_now);
    aInstance.m_chooser.RecordSent(aRecord.m_id);
    aInstance.m_chooser.RecordResponse(aRecord.m_id, milliseconds(20));
    const bool limited = server < m_case.m_limited;
    std::ignore = aInstance.m_limits.RecordStatement(
      aRecord.Process(),
      limited ? std::optional(RequestRate(m_case.m_rate)) : std::nullopt,
      m_now,
      m_now);
  }

  LoadCase m_case;
  RandomSource m_random{ 7 };
  TimePoint m_now = kStart;
  std::vector<BackendRecord> m_records;
  std::deque<Instance> m_instances;
  BackendRateLimits m_leader;
  /** Sends of instances that knew the limit, by server. */
  std::vector<std::vector<TimePoint>> m_sent;
  std::size_t m_requests = 0;
  std::size_t m_served = 0;
};

class LimitLoadTest : public testing::TestWithParam<LoadCase>
{};

// Guards against a limit that each instance takes for its own, so that a server
// in trouble gets it many times over, and against refusals that a server with
// room could have served.
TEST_P(LimitLoadTest, InstancesTogetherKeepALimitAndUseIt)
{
  const LoadCase& load = GetParam();
  LimitLoad play(load);
  play.Run(seconds(60));
  EXPECT_LE(static_cast<double>(play.WorstWindow()), MaxInWindow(load.m_rate));
  const double capacity = load.m_servers > load.m_limited
                            ? load.m_demand
                            : load.m_rate * static_cast<double>(load.m_limited);
  constexpr double kMinUse = 0.8;
  EXPECT_GE(play.ServedShare(),
            kMinUse * std::min(1.0, capacity / load.m_demand));
}

INSTANTIATE_TEST_SUITE_P(
  Loads,
  LimitLoadTest,
  testing::Values(
    LoadCase{ "one instance, all limited", 3.5, 1, 2, 2, 20 },
    LoadCase{ "few instances, two of three limited", 1.9, 7, 3, 2, 6 },
    LoadCase{ "few instances, all limited", 1.0, 7, 3, 3, 6 },
    LoadCase{ "many instances, all limited", 4.0, 66, 4, 4, 60 },
    LoadCase{ "many instances, a very low limit", 0.3, 66, 4, 3, 60 }));

} // namespace
} // namespace auburntrestle::fleet
