#include "auburntrestle/fleet/item_scheduler.hpp"
#include "auburntrestle/fleet/weight_rollout.hpp"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

namespace auburntrestle::fleet {
namespace {

const ServiceName kService("engines");
const ModelName kModel("model");

EngineView Engine(std::uint64_t aVersion, std::uint32_t aSlots = 4)
{
  EngineView view;
  view.m_service = kService;
  view.m_slots = aSlots;
  view.m_accepting = true;
  view.m_versions[kModel] = WeightVersion(aVersion);
  return view;
}

ItemRequirements Requirements(std::uint64_t aMinVersion,
                              const std::string& aGroup = "g")
{
  ItemRequirements requirements;
  requirements.m_service = kService;
  requirements.m_model = kModel;
  requirements.m_minVersion = WeightVersion(aMinVersion);
  requirements.m_group = GroupId(aGroup);
  return requirements;
}

TEST(ItemSchedulerTest, UsesOnlyEnginesWhoseVersionIsNewEnough)
{
  ItemScheduler scheduler;
  scheduler.SetEngine(BackendId("old"), Engine(1));
  EXPECT_FALSE(scheduler.Place(Requirements(2)));
  scheduler.SetEngine(BackendId("new"), Engine(2));
  EXPECT_EQ(scheduler.Place(Requirements(2)), BackendId("new"));
  auto single = Requirements(1);
  single.m_onlyVersion = WeightVersion(1);
  EXPECT_EQ(scheduler.Place(single), BackendId("old"));
}

// Guards against engines that stay idle for all models while they load the
// weights of one.
TEST(ItemSchedulerTest, ALoadBlocksOnlyItemsOfItsModel)
{
  ItemScheduler scheduler;
  EngineView engine = Engine(1);
  engine.m_versions[ModelName("other")] = WeightVersion(1);
  engine.m_loading = ModelName("other");
  scheduler.SetEngine(BackendId("a"), engine);
  EXPECT_EQ(scheduler.Place(Requirements(1)), BackendId("a"));
  engine.m_loading = kModel;
  scheduler.SetEngine(BackendId("a"), engine);
  EXPECT_FALSE(scheduler.Place(Requirements(1)));
}

// Guards against items that wait in the queue of one engine while another
// engine has a free slot.
TEST(ItemSchedulerTest, NeverExceedsTheSlotsAndSpreadsTheLoad)
{
  ItemScheduler scheduler;
  for (const char* id : { "a", "b", "c" }) {
    scheduler.SetEngine(BackendId(id), Engine(1));
  }
  for (int item = 0; item < 12; ++item) {
    const auto requirements = Requirements(1, "g" + std::to_string(item));
    const auto engine = scheduler.Place(requirements);
    ASSERT_TRUE(engine);
    scheduler.RecordStart(*engine, requirements.m_group);
  }
  EXPECT_FALSE(scheduler.Place(Requirements(1)));
  for (const char* id : { "a", "b", "c" }) {
    EXPECT_EQ(scheduler.RunningOn(BackendId(id)), 4U);
  }
}

TEST(ItemSchedulerTest, KeepsItemsOfOnePromptTogetherAtEqualLoad)
{
  ItemScheduler scheduler;
  scheduler.SetEngine(BackendId("a"), Engine(1, 16));
  scheduler.SetEngine(BackendId("b"), Engine(1, 16));
  scheduler.RecordStart(BackendId("b"), GroupId("g"));
  scheduler.RecordStart(BackendId("a"), GroupId("other"));
  EXPECT_EQ(scheduler.Place(Requirements(1)), BackendId("b"));
}

TEST(ItemSchedulerTest, AvoidsSlowEnginesAndMigratesItemsFromThem)
{
  ItemScheduler scheduler;
  for (const char* id : { "fast", "other", "slow" }) {
    scheduler.SetEngine(BackendId(id), Engine(1));
  }
  for (int event = 0; event < 50; ++event) {
    scheduler.RecordEventInterval(BackendId("fast"),
                                  std::chrono::milliseconds(40));
    scheduler.RecordEventInterval(BackendId("other"),
                                  std::chrono::milliseconds(41));
    scheduler.RecordEventInterval(BackendId("slow"),
                                  std::chrono::milliseconds(150));
  }
  EXPECT_NE(scheduler.Place(Requirements(1)), BackendId("slow"));
  EXPECT_TRUE(scheduler.MigrationTarget(BackendId("slow"), Requirements(1)));
  EXPECT_FALSE(scheduler.MigrationTarget(BackendId("other"), Requirements(1)));
}

TEST(ItemSchedulerTest, UsesAnEngineThatFailedOnlyAsALastResort)
{
  ItemScheduler scheduler;
  scheduler.SetEngine(BackendId("a"), Engine(1));
  auto requirements = Requirements(1);
  requirements.m_avoid = BackendId("a");
  EXPECT_EQ(scheduler.Place(requirements), BackendId("a"));
  scheduler.SetEngine(BackendId("b"), Engine(1));
  EXPECT_EQ(scheduler.Place(requirements), BackendId("b"));
}

/** Engines that complete every planned load immediately. */
class RolloutTest : public testing::Test
{
protected:
  void AddEngines(std::size_t aCount, const std::set<std::string>& aModels)
  {
    for (std::size_t number = 0; number < aCount; ++number) {
      EngineWeights engine;
      engine.m_service = kService;
      engine.m_ready = true;
      for (const auto& model : aModels) {
        engine.m_versions[ModelName(model)] = WeightVersion(1);
      }
      m_engines["engine" + std::to_string(number)] = engine;
    }
  }

  [[nodiscard]] std::vector<WeightLoad> Plan()
  {
    std::map<BackendId, EngineWeights> engines;
    for (const auto& [id, engine] : m_engines) {
      engines.emplace(BackendId(id), engine);
    }
    return m_rollout.Plan(engines, m_newest);
  }

  /** Executes loads until none is planned. @return how many there were. */
  std::size_t ExecuteLoads()
  {
    std::size_t loads = 0;
    for (auto plan = Plan(); !plan.empty(); plan = Plan()) {
      for (const auto& load : plan) {
        m_engines[load.m_engine.Get()].m_versions[load.m_model] =
          load.m_version;
        ++loads;
      }
    }
    return loads;
  }

  [[nodiscard]] std::size_t CountAtLeast(std::uint64_t aVersion) const
  {
    std::size_t count = 0;
    for (const auto& [id, engine] : m_engines) {
      count += engine.m_versions.at(kModel) >= WeightVersion(aVersion) ? 1 : 0;
    }
    return count;
  }

  std::map<std::string, EngineWeights> m_engines;
  std::map<ModelName, WeightVersion> m_newest;
  WeightRollout m_rollout;
};

// The workload: a version every few seconds, and jobs that accept the previous
// one.
TEST_F(RolloutTest, LoadsHalfOfTheEnginesAtEachVersionAndKeepsAllUsable)
{
  AddEngines(8, { "model" });
  for (std::uint64_t version = 2; version < 10; ++version) {
    m_newest[kModel] = WeightVersion(version);
    EXPECT_LE(ExecuteLoads(), 4U);
    EXPECT_EQ(CountAtLeast(version - 1), 8U);
    EXPECT_GE(CountAtLeast(version), 4U);
  }
}

TEST_F(RolloutTest, LoadsFewAtATimeAndTheMostOutdatedFirst)
{
  AddEngines(8, { "model" });
  m_engines["engine7"].m_versions[kModel] = WeightVersion(3);
  m_newest[kModel] = WeightVersion(4);
  const auto plan = Plan();
  ASSERT_EQ(plan.size(), 2U);
  EXPECT_NE(plan[0].m_engine, BackendId("engine7"));
  for (const auto& load : plan) {
    m_engines[load.m_engine.Get()].m_loading = kModel;
  }
  EXPECT_TRUE(Plan().empty());
}

// Guards against loads for one model that use up the capacity of another.
TEST_F(RolloutTest, GivesEachModelHomesInProportionToItsDemand)
{
  AddEngines(10, { "big", "small" });
  m_rollout.SetDemand(ModelName("big"), 900);
  m_rollout.SetDemand(ModelName("small"), 100);
  // Both homes are too old for jobs that accept the previous version.
  m_newest[ModelName("small")] = WeightVersion(4);
  EXPECT_EQ(ExecuteLoads(), 2U);
  m_newest[ModelName("small")] = WeightVersion(5);
  EXPECT_EQ(ExecuteLoads(), 1U);
  std::size_t big = 0;
  std::size_t small = 0;
  for (const auto& [id, engine] : m_engines) {
    big += m_rollout.IsHome(BackendId(id), ModelName("big")) ? 1 : 0;
    small += m_rollout.IsHome(BackendId(id), ModelName("small")) ? 1 : 0;
  }
  EXPECT_EQ(big, 10U);
  EXPECT_EQ(small, 2U);
}

// The workload: four trainers in turn, each with more items than a quarter of
// the slots. Guards against slots that stay free while items wait for a
// version.
TEST_F(RolloutTest, HalfOfAllEnginesServeEachOfFourModels)
{
  const std::set<std::string> models{ "a", "b", "c", "d" };
  constexpr std::size_t kEngines = 44;
  AddEngines(kEngines, models);
  std::size_t loads = 0;
  constexpr std::uint64_t kVersions = 6;
  for (std::uint64_t version = 2; version < 2 + kVersions; ++version) {
    for (const auto& model : models) {
      m_newest[ModelName(model)] = WeightVersion(version);
      loads += ExecuteLoads();
      std::size_t usable = 0;
      for (const auto& [id, engine] : m_engines) {
        const auto held = engine.m_versions.at(ModelName(model));
        usable += held >= WeightVersion(version - 1) ? 1 : 0;
      }
      EXPECT_GE(usable, kEngines / 2) << model << " " << version;
    }
  }
  // As many as with one model per engine and every version loaded.
  EXPECT_LE(loads, kVersions * kEngines);
}

// The load: after an outage of a large fleet, all engines are too old for every
// trainer. Guards against a model whose trainer waits while another model is
// loaded everywhere.
TEST_F(RolloutTest, EveryModelGetsEnginesSoonAfterAnOutage)
{
  constexpr std::size_t kEngines = 97;
  const std::set<std::string> models{ "a", "b", "c", "d", "e", "f", "g", "h" };
  AddEngines(kEngines, models);
  std::uint64_t version = 3;
  for (const auto& model : models) {
    m_newest[ModelName(model)] = WeightVersion(++version);
  }
  std::map<ModelName, std::size_t> loads;
  for (const auto& load : Plan()) {
    ++loads[load.m_model];
  }
  for (const auto& model : models) {
    EXPECT_GE(loads[ModelName(model)], 2U) << model;
  }
}

} // namespace
} // namespace auburntrestle::fleet
