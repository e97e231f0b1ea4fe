#include "auburntrestle/rollout/simulation.hpp"

#include <gtest/gtest.h>

#include <iostream>

namespace auburntrestle::rollout::test {
namespace {

struct Variant
{
  const char* m_name;
  StragglerMitigation m_mitigation;
  bool m_deferStaleWork;
  bool m_waves;
};

SimulationOptions RolloutOptions(std::uint64_t aSeed, const Variant& aVariant)
{
  SimulationOptions options;
  options.m_seed = aSeed;
  options.m_policy.m_stragglerMitigation = aVariant.m_mitigation;
  options.m_policy.m_deferStaleWork = aVariant.m_deferStaleWork;
  options.m_policy.m_stragglerMinimumAge = std::chrono::milliseconds(200);
  options.m_policy.m_stragglerScanInterval = std::chrono::milliseconds(250);
  options.m_swapInWaves = aVariant.m_waves;
  options.m_swapTime = std::chrono::milliseconds(150);
  options.m_stragglers = 0.05;
  options.m_engines = 12;
  options.m_slots = 16;
  options.m_groups = 16;
  options.m_batchGroups = 4;
  options.m_trainTime = std::chrono::milliseconds(4000);
  options.m_faultInterval = Duration{};
  options.m_messageLoss = 0.0;
  options.m_unknownVersion = 0.0;
  options.m_duplicateResults = 0.0;
  options.m_judge = false;
  return options;
}

// Guards against a policy that no longer halves the trainers' idle share under
// stragglers and a weight rollout after every step. Runs in virtual time.
TEST(IdleExperiment, PolicyHalvesTheIdleShareOfTheBaseline)
{
  const Variant variants[] = {
    { "baseline", StragglerMitigation::Off, false, false },
    { "relief_only", StragglerMitigation::SecondAttempt, false, false },
    { "waves_only", StragglerMitigation::Off, false, true },
    { "hold_back_only", StragglerMitigation::Off, true, false },
    { "move", StragglerMitigation::Move, true, true },
    { "policy", StragglerMitigation::SecondAttempt, true, true },
  };
  constexpr int kSeeds = 2;
  std::map<std::string, double> idle;
  for (const Variant& variant : variants) {
    std::uint64_t stale = 0;
    std::size_t samples = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Simulation simulation(RolloutOptions(seed, variant));
      simulation.RunFor(std::chrono::minutes(2));
      const Findings findings = Check(simulation.GetGroundTruth());
      EXPECT_TRUE(findings.IsClean()) << variant.m_name << " seed " << seed;
      idle[variant.m_name] += simulation.IdleShare() / kSeeds;
      stale += simulation.Sum(&Metrics::m_cancelledStale) +
               simulation.Sum(&Metrics::m_droppedStale);
      samples += findings.m_checkedSamples;
    }
    std::cout << "variant=" << variant.m_name << " seeds=1.." << kSeeds
              << " idle_share=" << idle[variant.m_name]
              << " samples_delivered=" << samples
              << " stale_work_dropped=" << stale << '\n';
  }
  EXPECT_LE(idle["policy"], idle["baseline"] / 2);
}

} // namespace
} // namespace auburntrestle::rollout::test
