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
  view.m_usable = true;
  view.m_versions[kModel] = WeightVersion(aVersion);
  return view;
}

ItemRequirements Need(std::uint64_t aMinVersion,
                      const std::string& aGroup = "g")
{
  ItemRequirements need;
  need.m_service = kService;
  need.m_model = kModel;
  need.m_minVersion = WeightVersion(aMinVersion);
  need.m_group = GroupId(aGroup);
  return need;
}

TEST(ItemSchedulerTest, UsesOnlyEnginesWhoseVersionIsNewEnough)
{
  ItemScheduler scheduler;
  scheduler.SetEngine(BackendId("old"), Engine(1));
  EXPECT_FALSE(scheduler.Place(Need(2)));
  scheduler.SetEngine(BackendId("new"), Engine(2));
  EXPECT_EQ(scheduler.Place(Need(2)), BackendId("new"));
  auto single = Need(1);
  single.m_onlyVersion = WeightVersion(1);
  EXPECT_EQ(scheduler.Place(single), BackendId("old"));
}

// Guards against engines that stand idle for every model while they load the
// weights of one.
TEST(ItemSchedulerTest, ALoadStopsItemsOfItsModelOnly)
{
  ItemScheduler scheduler;
  EngineView engine = Engine(1);
  engine.m_versions[ModelName("other")] = WeightVersion(1);
  engine.m_loading = ModelName("other");
  scheduler.SetEngine(BackendId("a"), engine);
  EXPECT_EQ(scheduler.Place(Need(1)), BackendId("a"));
  engine.m_loading = kModel;
  scheduler.SetEngine(BackendId("a"), engine);
  EXPECT_FALSE(scheduler.Place(Need(1)));
}

// Guards against items that wait in the queue of an engine while another one
// has room.
TEST(ItemSchedulerTest, NeverExceedsTheSlotsAndSpreadsTheLoad)
{
  ItemScheduler scheduler;
  for (const char* id : { "a", "b", "c" }) {
    scheduler.SetEngine(BackendId(id), Engine(1));
  }
  for (int item = 0; item < 12; ++item) {
    const auto need = Need(1, "g" + std::to_string(item));
    const auto engine = scheduler.Place(need);
    ASSERT_TRUE(engine);
    scheduler.Started(*engine, need.m_group);
  }
  EXPECT_FALSE(scheduler.Place(Need(1)));
  for (const char* id : { "a", "b", "c" }) {
    EXPECT_EQ(scheduler.RunningOn(BackendId(id)), 4U);
  }
}

TEST(ItemSchedulerTest, KeepsItemsOfOnePromptTogetherAtEqualLoad)
{
  ItemScheduler scheduler;
  scheduler.SetEngine(BackendId("a"), Engine(1, 16));
  scheduler.SetEngine(BackendId("b"), Engine(1, 16));
  scheduler.Started(BackendId("b"), GroupId("g"));
  scheduler.Started(BackendId("a"), GroupId("other"));
  EXPECT_EQ(scheduler.Place(Need(1)), BackendId("b"));
}

TEST(ItemSchedulerTest, AvoidsSlowEnginesAndRelievesThem)
{
  ItemScheduler scheduler;
  for (const char* id : { "fast", "other", "slow" }) {
    scheduler.SetEngine(BackendId(id), Engine(1));
  }
  for (int event = 0; event < 50; ++event) {
    scheduler.SawEvent(BackendId("fast"), std::chrono::milliseconds(40));
    scheduler.SawEvent(BackendId("other"), std::chrono::milliseconds(41));
    scheduler.SawEvent(BackendId("slow"), std::chrono::milliseconds(150));
  }
  EXPECT_NE(scheduler.Place(Need(1)), BackendId("slow"));
  EXPECT_TRUE(scheduler.Relief(BackendId("slow"), Need(1)));
  EXPECT_FALSE(scheduler.Relief(BackendId("other"), Need(1)));
}

TEST(ItemSchedulerTest, ReturnsToAnEngineThatFailedOnlyIfThereIsNoOther)
{
  ItemScheduler scheduler;
  scheduler.SetEngine(BackendId("a"), Engine(1));
  auto need = Need(1);
  need.m_avoid = BackendId("a");
  EXPECT_EQ(scheduler.Place(need), BackendId("a"));
  scheduler.SetEngine(BackendId("b"), Engine(1));
  EXPECT_EQ(scheduler.Place(need), BackendId("b"));
}

/** Engines that load whatever the rollout asks for at once. */
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

  /** Carries out all loads. @return how many there were. */
  std::size_t Settle()
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

// The load: a version every few seconds, and jobs that accept the one before.
TEST_F(RolloutTest, LoadsHalfOfTheEnginesAtEachVersionAndKeepsAllUsable)
{
  AddEngines(8, { "model" });
  for (std::uint64_t version = 2; version < 10; ++version) {
    m_newest[kModel] = WeightVersion(version);
    EXPECT_LE(Settle(), 4U);
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

// Guards against a load for one model that takes capacity from another.
TEST_F(RolloutTest, GivesEachModelHomesInProportionToItsDemand)
{
  AddEngines(10, { "big", "small" });
  m_rollout.SetDemand(ModelName("big"), 900);
  m_rollout.SetDemand(ModelName("small"), 100);
  // Both homes are too old for jobs that accept the version before.
  m_newest[ModelName("small")] = WeightVersion(4);
  EXPECT_EQ(Settle(), 2U);
  m_newest[ModelName("small")] = WeightVersion(5);
  EXPECT_EQ(Settle(), 1U);
  std::size_t big = 0;
  std::size_t small = 0;
  for (const auto& [id, engine] : m_engines) {
    big += m_rollout.IsHome(BackendId(id), ModelName("big")) ? 1 : 0;
    small += m_rollout.IsHome(BackendId(id), ModelName("small")) ? 1 : 0;
  }
  EXPECT_EQ(big, 10U);
  EXPECT_EQ(small, 2U);
}

// The load: four trainers in turn, each with more items than a quarter of the
// slots. Guards against slots that stay free while items wait for a version.
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
      loads += Settle();
      std::size_t usable = 0;
      for (const auto& [id, engine] : m_engines) {
        const auto held = engine.m_versions.at(ModelName(model));
        usable += held >= WeightVersion(version - 1) ? 1 : 0;
      }
      EXPECT_GE(usable, kEngines / 2) << model << " " << version;
    }
  }
  // As many as bringing each version to the engines of one model each.
  EXPECT_LE(loads, kVersions * kEngines);
}

} // namespace
} // namespace auburntrestle::fleet
