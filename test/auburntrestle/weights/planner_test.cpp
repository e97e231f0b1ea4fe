#include "auburntrestle/weights/planner.hpp"

#include <gtest/gtest.h>

#include <string>

namespace auburntrestle::weights {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const WeightKey kModel{ ModelName("conselheiro"), "" };

/**
 * A planner that holds the lease, and engines that respond to reads
 * immediately.
 */
class PlannerHarness
{
public:
  explicit PlannerHarness(PlannerSettings aSettings = {},
                          TimePoint aPreviousEnd = TimePoint::min())
    : m_planner(std::move(Planner::Create(aSettings)).value())
  {
    Goals goals;
    goals.m_weights[kModel] = { WeightVersion(2), ByteCount(1000) };
    Send(GoalsChanged{ goals });
    Send(LeaseAcquired{ Fencing(7), m_now + seconds(1000), aPreviousEnd });
  }

  /**
   * Handles an event and responds to the resulting reads.
   * @return the resulting orders.
   */
  std::vector<SendOrder> Send(const Event& aEvent)
  {
    std::vector<Action> actions;
    m_planner.Handle(aEvent, m_now, actions);
    std::vector<SendOrder> orders;
    for (std::size_t next = 0; next < actions.size(); ++next) {
      const Action action = actions[next];
      if (const auto* order = std::get_if<SendOrder>(&action)) {
        orders.push_back(*order);
      } else if (const auto* read = std::get_if<ReadState>(&action)) {
        ++m_reads;
        const auto engine = m_engines.find(read->m_backend);
        if (engine != m_engines.end()) {
          m_planner.Handle(
            StateReadSucceeded{ read->m_read, engine->second }, m_now, actions);
        }
      } else if (const auto* service = std::get_if<SetInService>(&action)) {
        m_inService[service->m_backend] = service->m_inService;
      }
    }
    return orders;
  }

  std::vector<SendOrder> Announce(const std::string& aName,
                                  std::uint64_t aVersion,
                                  bool aChecksFencing = true,
                                  std::uint64_t aRunning = 0,
                                  std::uint64_t aIncarnation = 1)
  {
    EngineState state;
    state.m_backend = BackendId(aName);
    state.m_incarnation = Incarnation(aIncarnation);
    state.m_capacity = ByteCount(5000);
    state.m_held[kModel] = { WeightVersion(aVersion), ByteCount(1000) };
    state.m_checksFencing = aChecksFencing;
    state.m_running = aRunning;
    m_engines[state.m_backend] = state;
    return Send(EngineAnnounced{ state });
  }

  std::vector<SendOrder> Respond(const SendOrder& aOrder, OrderResult aResult)
  {
    if (aResult == OrderResult::Done) {
      m_engines[aOrder.m_backend].m_held[kModel].m_version = aOrder.m_version;
    }
    return Send(
      OrderResultReceived{ aOrder.m_backend, aOrder.m_order, aResult });
  }

  std::vector<SendOrder> TickAfter(Duration aTime)
  {
    m_now += aTime;
    return Send(Tick{});
  }

  const PlannerMetrics& GetMetrics() const { return m_planner.GetMetrics(); }
  bool HaveAllReachedGoal() const { return m_planner.HaveAllReachedGoal(); }

  TimePoint m_now = TimePoint(seconds(100));
  std::map<BackendId, EngineState> m_engines;
  std::map<BackendId, bool> m_inService;
  std::size_t m_reads = 0;

private:
  Planner m_planner;
};

PlannerSettings Limits(std::size_t aParallel, std::size_t aMinServing)
{
  PlannerSettings settings;
  settings.m_maxParallelLoads = aParallel;
  settings.m_minServing = aMinServing;
  return settings;
}

TEST(PlannerTest, RefusesSettingsThatAllowNoLoad)
{
  const auto planner = Planner::Create(Limits(0, 1));
  ASSERT_FALSE(planner);
  EXPECT_EQ(planner.error(), SettingsError{ "maxParallelLoads" });
}

// Guards against a rollout that leaves too few serving engines of a model,
// exceeds the parallel loads, or starts with busy engines.
TEST(PlannerTest, OrdersInWaves)
{
  const struct
  {
    std::size_t m_parallel;
    std::size_t m_minServing;
    std::size_t m_expected;
  } cases[] = { { 10, 0, 4 }, { 10, 1, 3 }, { 10, 3, 1 },
                { 10, 4, 0 }, { 2, 1, 2 },  { 1, 0, 1 } };
  for (const auto& entry : cases) {
    PlannerHarness harness(Limits(entry.m_parallel, entry.m_minServing));
    harness.Send(LeaseLost{});
    harness.Announce("a", 1, true, 9);
    harness.Announce("b", 1, true, 3);
    harness.Announce("c", 1, true, 0);
    harness.Announce("d", 1, true, 5);
    // The reads complete one by one; the orders follow from later events.
    harness.m_now += seconds(1);
    auto orders = harness.Send(LeaseAcquired{
      Fencing(8), harness.m_now + seconds(1000), TimePoint::min() });
    ASSERT_EQ(orders.size(), entry.m_expected);
    for (const SendOrder& order : orders) {
      EXPECT_EQ(order.m_fencing, Fencing(8));
      EXPECT_EQ(order.m_kind, OrderKind::LoadVersion);
      EXPECT_EQ(order.m_version, WeightVersion(2));
      EXPECT_FALSE(harness.m_inService.at(order.m_backend));
    }
  }
}

TEST(PlannerTest, PrefersIdleEngines)
{
  PlannerHarness harness(Limits(1, 1));
  harness.Announce("z", 2);
  const auto first = harness.Announce("a", 1, true, 9);
  ASSERT_EQ(first.size(), 1U);
  harness.Announce("b", 1, true, 4);
  harness.Announce("c", 1, true, 0);
  const auto second = harness.Respond(first[0], OrderResult::Done);
  ASSERT_EQ(second.size(), 1U);
  EXPECT_EQ(second[0].m_backend, BackendId("c"));
  const auto third = harness.Respond(second[0], OrderResult::Done);
  ASSERT_EQ(third.size(), 1U);
  EXPECT_EQ(third[0].m_backend, BackendId("b"));
  harness.Respond(third[0], OrderResult::Done);
  EXPECT_TRUE(harness.HaveAllReachedGoal());
}

// Guards against loads above the store's rate, and against loads during the
// delay that the store required.
TEST(PlannerTest, KeepsTheStoresRate)
{
  PlannerSettings settings = Limits(10, 0);
  settings.m_storeBytesPerSecond = ByteCount(500);
  PlannerHarness harness(settings);
  EXPECT_EQ(harness.Announce("a", 1).size(), 1U);
  EXPECT_EQ(harness.Announce("b", 1).size(), 0U);
  EXPECT_EQ(harness.TickAfter(milliseconds(1999)).size(), 0U);
  EXPECT_EQ(harness.TickAfter(milliseconds(1)).size(), 1U);
  harness.Send(StoreThrottled{ seconds(20) });
  EXPECT_EQ(harness.Announce("c", 1).size(), 0U);
  EXPECT_EQ(harness.TickAfter(seconds(19)).size(), 0U);
  EXPECT_EQ(harness.TickAfter(seconds(1)).size(), 1U);
}

// Guards against serving with weights that are partly loaded.
TEST(PlannerTest, ReadsTheStateAfterAFailure)
{
  const struct
  {
    OrderResult m_result;
    bool m_readsImmediately;
  } cases[] = { { OrderResult::SwapFailed, true },
                { OrderResult::Unknown, false } };
  for (const auto& entry : cases) {
    PlannerHarness harness(Limits(1, 0));
    const BackendId engine("a");
    const auto order = harness.Announce("a", 1);
    ASSERT_EQ(order.size(), 1U);
    const std::size_t reads = harness.m_reads;
    harness.m_engines.erase(engine);
    harness.Respond(order[0], entry.m_result);
    EXPECT_FALSE(harness.m_inService.at(engine));
    EXPECT_EQ(harness.m_reads, reads + (entry.m_readsImmediately ? 1 : 0));
    // The read gets no response, and ticks alone do not replace it.
    EXPECT_TRUE(harness.TickAfter(seconds(30)).empty());
    EXPECT_FALSE(harness.m_inService.at(engine));
    harness.m_engines[engine] = {};
    harness.m_engines[engine].m_backend = engine;
    harness.m_engines[engine].m_incarnation = Incarnation(1);
    harness.m_engines[engine].m_held[kModel] = { WeightVersion(1),
                                                 ByteCount(1000) };
    harness.TickAfter(seconds(60));
    EXPECT_TRUE(harness.m_inService.at(engine));
    EXPECT_EQ(harness.TickAfter(seconds(1)).size(), 1U);
  }
}

TEST(PlannerTest, OrdersAgainAfterARestartWithAnOldVersion)
{
  PlannerHarness harness(Limits(1, 0));
  const auto first = harness.Announce("a", 1);
  ASSERT_EQ(first.size(), 1U);
  EXPECT_TRUE(harness.Respond(first[0], OrderResult::Done).empty());
  // A late announcement of the same incarnation causes a read and changes
  // nothing.
  EngineState late = harness.m_engines.at(BackendId("a"));
  late.m_held[kModel].m_version = WeightVersion(1);
  EXPECT_TRUE(harness.Send(EngineAnnounced{ late }).empty());
  EXPECT_TRUE(harness.HaveAllReachedGoal());
  EXPECT_EQ(harness.Announce("a", 1, true, 0, 2).size(), 1U);
  harness.Respond(first[0], OrderResult::Done);
  EXPECT_EQ(harness.GetMetrics().m_staleResponses, 1U);
  EXPECT_FALSE(harness.HaveAllReachedGoal());
}

// Guards against concurrent orders of two lease holders on an engine that
// ignores fencing numbers.
TEST(PlannerTest, WaitsOutTheEarlierLeaseWhereFencingIsIgnored)
{
  PlannerSettings settings = Limits(10, 0);
  settings.m_maxOrderDuration = seconds(60);
  PlannerHarness harness(settings, TimePoint(seconds(105)));
  const auto first = harness.Announce("checks", 1, true);
  ASSERT_EQ(first.size(), 1U);
  harness.Respond(first[0], OrderResult::Done);
  EXPECT_EQ(harness.Announce("ignores", 1, false).size(), 0U);
  EXPECT_EQ(harness.m_reads, 1U);
  EXPECT_EQ(harness.TickAfter(seconds(64)).size(), 0U);
  const auto orders = harness.TickAfter(seconds(1));
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_EQ(orders[0].m_backend, BackendId("ignores"));
}

TEST(PlannerTest, SendsNoOrderWithoutTheLease)
{
  const struct
  {
    const char* m_name;
    Event m_event;
    Duration m_delay;
  } cases[] = {
    { "lost", LeaseLost{}, {} },
    { "ended", Tick{}, seconds(1000) },
    { "stale fencing",
      OrderResultReceived{
        BackendId("a"), OrderId(1), OrderResult::StaleFencing },
      {} },
  };
  for (const auto& entry : cases) {
    PlannerHarness harness(Limits(1, 0));
    ASSERT_EQ(harness.Announce("a", 1).size(), 1U) << entry.m_name;
    harness.Announce("b", 1);
    harness.m_now += entry.m_delay;
    EXPECT_TRUE(harness.Send(entry.m_event).empty()) << entry.m_name;
    EXPECT_TRUE(harness.TickAfter(seconds(61)).empty()) << entry.m_name;
    // The state of an engine with an order in flight is read, and it returns to
    // service.
    EXPECT_TRUE(harness.m_inService.at(BackendId("a"))) << entry.m_name;
    const LeaseAcquired again{ Fencing(9),
                               harness.m_now + seconds(100),
                               TimePoint::min() };
    EXPECT_EQ(harness.Send(again).size(), 1U) << entry.m_name;
  }
}

TEST(PlannerTest, ChangesRoles)
{
  PlannerHarness harness(Limits(1, 0));
  harness.Announce("a", 2);
  Goals goals;
  goals.m_weights[kModel] = { WeightVersion(2), ByteCount(1000) };
  goals.m_roles[BackendId("a")] = "prefill";
  const auto orders = harness.Send(GoalsChanged{ goals });
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_EQ(orders[0].m_kind, OrderKind::ChangeRole);
  EXPECT_EQ(orders[0].m_role, "prefill");
}

} // namespace
} // namespace auburntrestle::weights
