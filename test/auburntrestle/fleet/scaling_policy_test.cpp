#include "auburntrestle/fleet/scaling_policy.hpp"

#include <gtest/gtest.h>

#include <set>
#include <sstream>
#include <string>

namespace auburntrestle::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using Servers = std::map<DataCentreId, ServerCounts>;

const DataCentreId kA("a");
const DataCentreId kB("b");
const DataCentreId kC("c");

/** What changes at a time. */
struct Step
{
  Duration m_at{};
  Servers m_servers;
  std::optional<std::size_t> m_waitingItems;
};

struct ScalingCase
{
  std::string m_name;
  std::vector<Step> m_steps;
  Duration m_end{};
  /** Data centres that refuse each order. */
  std::set<DataCentreId> m_refusing;
  /** Time in ms, data centre, number of on-demand servers, reason. */
  std::vector<std::string> m_orders;
};

void PrintTo(const ScalingCase& aCase, std::ostream* aStream)
{
  *aStream << aCase.m_name;
}

/** a is the cheapest data centre, then c. 12 servers of 8 slots start 180
 * waiting items of 2 s within half of the objective. */
ScalingLimits Limits()
{
  return { .m_minServers = 2,
           .m_maxServers = 8,
           .m_bootTime = seconds(4),
           .m_preemptiblePrice = 0.3,
           .m_prices = { { kA, 1.0 }, { kB, 2.0 }, { kC, 1.5 } } };
}

Step AllServers()
{
  return { seconds(0),
           { { kA, { 2, 2, 0 } }, { kB, { 4, 0, 0 } }, { kC, { 4, 0, 0 } } },
           100 };
}

class ScalingPolicyTest : public testing::TestWithParam<ScalingCase>
{};

// Guards against orders without a reason, repeated orders for one event,
// missing replacements and numbers that would remove servers.
TEST_P(ScalingPolicyTest, OrdersOnlyWhatIsMissing)
{
  const ScalingCase& test = GetParam();
  ScalingPolicy policy;
  Servers servers;
  ServiceDemand demand{ 0, 8, seconds(2), milliseconds(7500) };
  std::vector<std::string> orders;
  std::size_t next = 0;
  for (Duration time{}; time <= test.m_end; time += milliseconds(500)) {
    for (; next < test.m_steps.size() && test.m_steps[next].m_at <= time;
         ++next) {
      const Step& step = test.m_steps[next];
      for (const auto& [id, counts] : step.m_servers) {
        servers[id] = counts;
      }
      demand.m_waitingItems =
        step.m_waitingItems.value_or(demand.m_waitingItems);
    }
    const TimePoint now(seconds(1000) + time);
    policy.Observe(Limits(), servers, demand, now);
    for (const ScalingOrder& order : policy.Decide(now)) {
      std::ostringstream text;
      text << std::chrono::duration_cast<milliseconds>(time).count() << ' '
           << order.m_dataCentre.Get() << ' ' << order.m_servers << ' '
           << ToString(order.m_reason);
      orders.push_back(text.str());
      if (test.m_refusing.contains(order.m_dataCentre)) {
        policy.RecordRefusal(order, now);
      }
    }
  }
  EXPECT_EQ(orders, test.m_orders);
}

const Step kReclaim{ seconds(20), { { kA, { 2, 0, 2 } } }, {} };
const Step kReclaimed{ milliseconds(22200), { { kA, { 2, 0, 0 } } }, {} };

INSTANTIATE_TEST_SUITE_P(
  Cases,
  ScalingPolicyTest,
  testing::Values(
    ScalingCase{ "steady", { AllServers() }, seconds(120), {}, {} },
    ScalingCase{ "idle",
                 { AllServers(), { seconds(20), {}, 0 } },
                 seconds(120),
                 {},
                 {} },
    ScalingCase{ "short_burst",
                 { AllServers(),
                   { seconds(20), {}, 400 },
                   { milliseconds(20500), {}, 0 } },
                 seconds(60),
                 {},
                 {} },
    ScalingCase{ "burst",
                 { AllServers(),
                   { seconds(20), {}, 300 },
                   { seconds(23), {}, 0 },
                   { seconds(25), { { kA, { 6, 2, 0 } } }, {} } },
                 seconds(90),
                 {},
                 { "21000 a 6 growth" } },
    ScalingCase{
      "burst_refused",
      { AllServers(), { seconds(20), {}, 300 }, { seconds(22), {}, 0 } },
      seconds(60),
      { kA, kB, kC },
      { "21000 a 6 growth", "21500 c 8 growth" } },
    ScalingCase{
      "growth",
      { AllServers(),
        { seconds(20), {}, 300 },
        { seconds(25), { { kA, { 6, 2, 0 } } }, {} },
        { seconds(31), { { kC, { 6, 0, 0 } } }, {} },
        { milliseconds(33500), {}, 0 },
        { seconds(37), { { kC, { 7, 0, 0 } } }, {} } },
      seconds(90),
      {},
      { "21000 a 6 growth", "27000 c 6 growth", "33000 c 7 growth" } },
    ScalingCase{ "reclaim",
                 { AllServers(),
                   kReclaim,
                   kReclaimed,
                   { milliseconds(24500), { { kA, { 4, 0, 0 } } }, {} } },
                 seconds(90),
                 {},
                 { "20000 a 4 reclaim" } },
    ScalingCase{ "reclaim_and_refusal",
                 { AllServers(),
                   kReclaim,
                   kReclaimed,
                   { milliseconds(24500), { { kC, { 6, 0, 0 } } }, {} } },
                 seconds(90),
                 { kA },
                 { "20000 a 4 reclaim", "20500 c 6 relocation" } },
    ScalingCase{ "reclaim_and_nothing_available",
                 { AllServers(), kReclaim, kReclaimed },
                 seconds(28),
                 { kA, kB, kC },
                 { "20000 a 4 reclaim",
                   "20500 c 6 relocation",
                   "21000 b 6 relocation",
                   "25000 a 4 relocation",
                   "25500 c 6 relocation",
                   "26000 b 6 relocation" } },
    ScalingCase{ "rolling_replacement",
                 { AllServers(),
                   { seconds(40), { { kA, { 3, 2, 0 } } }, {} },
                   { seconds(42), { { kA, { 2, 2, 0 } } }, {} },
                   { seconds(44), { { kA, { 2, 3, 0 } } }, {} },
                   { seconds(46), { { kA, { 2, 2, 1 } } }, {} },
                   { seconds(48), { { kA, { 2, 2, 0 } } }, {} } },
                 seconds(90),
                 {},
                 {} },
    ScalingCase{ "restart",
                 { AllServers(),
                   { seconds(20), { { kB, { 3, 0, 0 } } }, {} },
                   { milliseconds(22500), { { kB, { 4, 0, 0 } } }, {} } },
                 seconds(90),
                 {},
                 {} },
    ScalingCase{ "lost_server",
                 { AllServers(),
                   { seconds(20), { { kB, { 3, 0, 0 } } }, {} },
                   { seconds(27), { { kB, { 4, 0, 0 } } }, {} } },
                 seconds(90),
                 {},
                 { "22500 b 4 shortage" } },
    ScalingCase{ "ordered_server_does_not_come",
                 { AllServers(), { seconds(20), { { kB, { 3, 0, 0 } } }, {} } },
                 seconds(36),
                 {},
                 { "22500 b 4 shortage", "35000 b 4 shortage" } },
    ScalingCase{ "servers_announced_late",
                 { { seconds(0), { { kA, { 1, 0, 0 } } }, 400 },
                   { seconds(6), AllServers().m_servers, 100 } },
                 seconds(60),
                 {},
                 {} },
    ScalingCase{ "below_minimum",
                 { AllServers(),
                   { seconds(0), { { kB, { 1, 0, 0 } } }, {} },
                   { seconds(15), { { kB, { 2, 0, 0 } } }, {} } },
                 seconds(60),
                 {},
                 { "10000 b 2 minimum" } }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

// Guards against ending servers that run but are missing in the directory, for
// example during a network partition: the number of an order covers them.
TEST(ScalingPolicyNumberTest, CoversServersThatWereThereRecently)
{
  ScalingPolicy policy;
  const ServiceDemand idle{ 0, 8, seconds(2), milliseconds(7500) };
  ServiceDemand busy = idle;
  busy.m_waitingItems = 400;
  const TimePoint start(seconds(1000));
  for (int second = 0; second < 20; ++second) {
    policy.Observe(
      Limits(), { { kA, { 6, 0, 0 } } }, idle, start + seconds(second));
  }
  std::uint32_t ordered = 0;
  for (int second = 20; second < 22; ++second) {
    const TimePoint now = start + seconds(second);
    policy.Observe(Limits(), { { kA, { 1, 0, 0 } } }, busy, now);
    for (const ScalingOrder& order : policy.Decide(now)) {
      if (order.m_dataCentre == kA) {
        EXPECT_EQ(order.m_reason, ScalingReason::Growth);
        ordered = order.m_servers;
      }
    }
  }
  EXPECT_GE(ordered, 6U);
}

// Guards against giving up an order that got no response, and against a second
// order while its servers may be on their way.
TEST(ScalingPolicyNumberTest, RepeatsAFailedOrderWithTheSameNumber)
{
  ScalingPolicy policy;
  const ServiceDemand idle{ 0, 8, seconds(2), milliseconds(7500) };
  const TimePoint start(seconds(1000));
  policy.Observe(Limits(), { { kA, { 4, 2, 0 } } }, idle, start);
  policy.Observe(
    Limits(), { { kA, { 4, 0, 2 } } }, idle, start + milliseconds(500));
  const auto first = policy.Decide(start + milliseconds(500));
  ASSERT_EQ(first.size(), 1U);
  EXPECT_EQ(first[0].m_servers, 6U);
  EXPECT_TRUE(policy.Decide(start + milliseconds(600)).empty());
  policy.RecordFailure(first[0]);
  const auto second = policy.Decide(start + milliseconds(800));
  ASSERT_EQ(second.size(), 1U);
  EXPECT_EQ(second[0].m_servers, 6U);
}

} // namespace
} // namespace auburntrestle::fleet
