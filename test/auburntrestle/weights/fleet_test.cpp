#include "auburntrestle/weights/fleet.hpp"

#include <gtest/gtest.h>

#include <iostream>
#include <string>

namespace auburntrestle::weights::test {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

const WeightKey kModel{ ModelName("conselheiro"), "" };
const WeightKey kAdapter{ ModelName("conselheiro"), "formal" };

Goals VersionGoals(std::uint64_t aVersion, std::uint64_t aBytes)
{
  Goals goals;
  goals.m_weights[kModel] = { WeightVersion(aVersion), ByteCount(aBytes) };
  goals.m_weights[kAdapter] = { WeightVersion(aVersion),
                                ByteCount(aBytes / 10) };
  return goals;
}

FleetOptions FaultyFleet(std::uint64_t aSeed)
{
  FleetOptions options;
  options.m_seed = aSeed;
  options.m_faults = 0.01;
  options.m_settings.m_minServing = 3;
  options.m_settings.m_maxOrderDuration = seconds(6);
  return options;
}

Observed RunFaulty(const FleetOptions& aOptions, bool& aSettled)
{
  Fleet fleet(aOptions);
  for (std::size_t engine = 0; engine < aOptions.m_engines; ++engine) {
    fleet.SetHeldWeights(engine, kModel, { WeightVersion(0), ByteCount(400) });
    fleet.SetHeldWeights(engine, kAdapter, { WeightVersion(0), ByteCount(40) });
  }
  for (std::uint64_t version = 1; version <= 30; ++version) {
    fleet.SetGoals(VersionGoals(version, 400));
    for (int step = 0; step < 400; ++step) {
      fleet.Step();
    }
  }
  aSettled = fleet.Settle(minutes(10));
  return fleet.GetObserved();
}

// Guards against concurrent orders of two lease holders on one engine, too few
// serving engines, exceeded memory, broken weights in service, and engines that
// never reach their goal.
TEST(FleetTest, BringsEveryEngineToTheGoalUnderFaults)
{
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const FleetOptions options = FaultyFleet(seed);
    bool settled = false;
    const Observed observed = RunFaulty(options, settled);
    std::cout << "seed=" << seed << " steps=" << observed.m_ticks
              << " orders=" << observed.m_orders
              << " leases=" << observed.m_leases
              << " crashes=" << observed.m_crashes
              << " swap_failures=" << observed.m_swapFailures
              << " | overlapping=" << observed.m_overlappingOrders
              << " broken_in_service=" << observed.m_brokenInService
              << " over_committed=" << observed.m_overCommitted << '\n';
    EXPECT_GE(observed.m_ticks, 10000U);
    EXPECT_TRUE(settled) << "seed " << seed;
    EXPECT_GT(observed.m_leases * observed.m_crashes * observed.m_swapFailures,
              0U);
    EXPECT_EQ(observed.m_overlappingOrders, 0U) << "seed " << seed;
    EXPECT_EQ(observed.m_brokenInService, 0U) << "seed " << seed;
    EXPECT_EQ(observed.m_overCommitted, 0U) << "seed " << seed;
    EXPECT_EQ(observed.m_belowMinimum, 0U) << "seed " << seed;
  }
}

// Guards against a check of overlapping orders that cannot fail.
TEST(FleetTest, DetectsOrdersThatDoNotWaitForTheEarlierLease)
{
  FleetOptions options = FaultyFleet(1);
  options.m_hideEarlierLease = true;
  bool settled = false;
  EXPECT_GT(RunFaulty(options, settled).m_overlappingOrders, 0U);
}

struct PlanResult
{
  Duration m_elapsed{};
  Observed m_observed;
};

PlanResult RunPlan(RolloutPlan aPlan)
{
  FleetOptions options;
  options.m_settings.m_plan = aPlan;
  options.m_settings.m_minServing = 6;
  options.m_settings.m_storeBytesPerSecond =
    ByteCount(options.m_storeBytesPerSecond);
  Fleet fleet(options);
  for (std::size_t engine = 0; engine < options.m_engines; ++engine) {
    fleet.SetHeldWeights(engine, kModel, { WeightVersion(0), ByteCount(1000) });
  }
  fleet.SetGoals(VersionGoals(1, 1000));
  EXPECT_TRUE(fleet.Settle(minutes(10)));
  return { fleet.Elapsed(), fleet.GetObserved() };
}

// Guards against a wave plan that costs more serving capacity than ordering
// every engine at once, or that takes much longer.
TEST(PlanExperiment, WavesLoseLessCapacityThanAllAtOnce)
{
  const PlanResult waves = RunPlan(RolloutPlan::Waves);
  const PlanResult once = RunPlan(RolloutPlan::AllAtOnce);
  for (const auto& [name, result] :
       { std::pair("waves", waves), std::pair("all_at_once", once) }) {
    std::cout << "plan=" << name << " seconds_until_current="
              << static_cast<double>(result.m_elapsed.count()) / 1e6
              << " engine_seconds_lost="
              << static_cast<double>(result.m_observed.m_capacityLost.count()) /
                   1e6
              << " most_loads=" << result.m_observed.m_maxLoads
              << " orders_below_minimum=" << result.m_observed.m_belowMinimum
              << '\n';
  }
  EXPECT_EQ(waves.m_observed.m_belowMinimum, 0U);
  EXPECT_GT(once.m_observed.m_belowMinimum, 0U);
  EXPECT_LT(waves.m_observed.m_capacityLost,
            once.m_observed.m_capacityLost / 2);
  EXPECT_LT(waves.m_elapsed, once.m_elapsed * 3 / 2);
}

struct MemoryResult
{
  std::size_t m_scenarios = 0;
  std::size_t m_overCommittedScenarios = 0;
  std::size_t m_overCommittedLoads = 0;
  std::size_t m_completed = 0;
  Duration m_elapsed{};
};

/**
 * Rotates the placement among the engines of a random fleet; the final
 * placement always fits the memory.
 */
void RunMove(std::uint64_t aSeed, MemoryRule aRule, MemoryResult& aResult)
{
  FleetOptions options;
  options.m_seed = aSeed;
  options.m_engines = 12;
  options.m_capacity = ByteCount(100);
  options.m_storeBytesPerSecond = 100;
  options.m_settings.m_memory = aRule;
  RandomSource random(aSeed);
  Fleet fleet(options);
  Goals goals;
  const auto key = [](std::size_t aModel) {
    std::string name("model");
    name += std::to_string(aModel);
    return WeightKey{ ModelName(name), "" };
  };
  for (std::size_t model = 0; model < 4; ++model) {
    goals.m_weights[key(model)] = { WeightVersion(1),
                                    ByteCount(20 + random.Below(25)) };
  }
  // Each engine holds one or two models, and its goal is the models of another
  // engine.
  const std::size_t shift = 1 + random.Below(options.m_engines - 1);
  for (std::size_t engine = 0; engine < options.m_engines; ++engine) {
    std::set<WeightKey> held{ key(engine % 4) };
    if (engine % 2 == 0) {
      held.insert(key((engine + engine / 4 + 1) % 4));
    }
    for (const WeightKey& weights : held) {
      fleet.SetHeldWeights(
        engine,
        weights,
        { WeightVersion(1), goals.m_weights.at(weights).m_bytes });
    }
    std::string name("engine");
    name += std::to_string((engine + shift) % options.m_engines);
    goals.m_placement[BackendId(name)] = held;
  }
  fleet.SetGoals(goals);
  ++aResult.m_scenarios;
  aResult.m_completed += fleet.Settle(minutes(5)) ? 1 : 0;
  aResult.m_overCommittedLoads += fleet.GetObserved().m_overCommitted;
  aResult.m_overCommittedScenarios +=
    fleet.GetObserved().m_overCommitted > 0 ? 1 : 0;
  aResult.m_elapsed += fleet.Elapsed();
}

// Guards against a load that exceeds an engine's memory because weights that it
// has not unloaded yet were not counted.
TEST(MemoryExperiment, CountingBothPlacesPreventsOverCommitment)
{
  std::map<MemoryRule, MemoryResult> results;
  for (const MemoryRule rule :
       { MemoryRule::CountBothPlaces, MemoryRule::CountFinalState }) {
    MemoryResult& result = results[rule];
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
      RunMove(seed, rule, result);
    }
    std::cout << "rule="
              << (rule == MemoryRule::CountBothPlaces ? "count_both_places"
                                                      : "count_final_state")
              << " seeds=1..50 over_committed_scenarios="
              << result.m_overCommittedScenarios
              << " over_committed_loads=" << result.m_overCommittedLoads
              << " completed=" << result.m_completed << " mean_seconds="
              << static_cast<double>(result.m_elapsed.count()) / 1e6 /
                   static_cast<double>(result.m_scenarios)
              << '\n';
  }
  EXPECT_EQ(results[MemoryRule::CountBothPlaces].m_overCommittedLoads, 0U);
  EXPECT_GT(results[MemoryRule::CountFinalState].m_overCommittedLoads, 0U);
}

} // namespace
} // namespace auburntrestle::weights::test
