#include "auburntrestle/rollout/simulation.hpp"

#include <gtest/gtest.h>

#include <iostream>

namespace auburntrestle::rollout::test {
namespace {

constexpr std::size_t kEvents = 15000;
constexpr std::uint64_t kSeeds = 8;

SimulationOptions FaultyOptions(std::uint64_t aSeed, InjectedFault aFault)
{
  SimulationOptions options;
  options.m_seed = aSeed;
  options.m_fault = aFault;
  options.m_policy.m_maxGenerating = 40;
  options.m_policy.m_judgeTimeout = std::chrono::seconds(1);
  options.m_policy.m_stragglerMinimumAge = std::chrono::milliseconds(200);
  options.m_policy.m_stragglerScanInterval = std::chrono::milliseconds(250);
  options.m_policy.m_stragglerMitigation =
    aSeed % 2 == 0 ? StragglerMitigation::SecondAttempt
                   : StragglerMitigation::Move;
  options.m_stragglers = 0.03;
  options.m_bound = aSeed % 3 == 0 ? 0 : 1;
  return options;
}

void Print(std::uint64_t aSeed,
           const Simulation& aSimulation,
           const Findings& aFindings)
{
  std::cout << "seed=" << aSeed << " events=" << aSimulation.EventsHandled()
            << " leader_changes=" << aSimulation.LeaderChanges()
            << " samples=" << aFindings.m_checkedSamples
            << " duplicates_dropped="
            << aSimulation.Sum(&Metrics::m_duplicatesDropped)
            << " regenerated=" << aSimulation.Sum(&Metrics::m_regenerated)
            << " cancelled_stale="
            << aSimulation.Sum(&Metrics::m_cancelledStale)
            << " reliefs=" << aSimulation.Sum(&Metrics::m_mitigations)
            << " resent=" << aSimulation.Sum(&Metrics::m_batchesResent)
            << " expired=" << aSimulation.Sum(&Metrics::m_batchesExpired)
            << " discarded=" << aSimulation.Sum(&Metrics::m_batchesDiscarded)
            << " judge_failures=" << aSimulation.Sum(&Metrics::m_judgeFailures)
            << " held_back=" << aSimulation.Sum(&Metrics::m_deferrals)
            << " | duplicates=" << aFindings.m_duplicates
            << " wrong_versions=" << aFindings.m_wrongVersions
            << " over_bound=" << aFindings.m_overBound
            << " split_groups=" << aFindings.m_splitGroups
            << " repeated_judgements=" << aFindings.m_repeatedJudgements
            << " missing=" << aFindings.m_missingSamples << '\n';
}

// Guards against samples that are lost, duplicated, stale, reported with a
// wrong version or split from their group after crashes, swaps, resends and
// leader changes.
TEST(RandomRunTest, MaintainsInvariantsUnderFaults)
{
  std::uint64_t resent = 0;
  std::uint64_t discarded = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Simulation simulation(FaultyOptions(seed, InjectedFault::None));
    simulation.RunEvents(kEvents);
    EXPECT_TRUE(simulation.RunUntilDelivered(std::chrono::minutes(5)))
      << "seed " << seed;
    const Findings findings = Check(simulation.GetGroundTruth());
    Print(seed, simulation, findings);
    EXPECT_GE(simulation.EventsHandled(), 10000U);
    EXPECT_TRUE(findings.IsClean()) << "seed " << seed;
    EXPECT_EQ(findings.m_missingSamples, 0U) << "seed " << seed;
    EXPECT_GT(findings.m_checkedSamples, 0U);
    EXPECT_TRUE(simulation.GetGroundTruth().m_unexpectedRefusals.empty())
      << "seed " << seed << ' '
      << simulation.GetGroundTruth().m_unexpectedRefusals.front();
    resent += simulation.Sum(&Metrics::m_batchesResent);
    discarded += simulation.Sum(&Metrics::m_batchesDiscarded);
  }
  // Without resends and discards the run would not have tested them.
  EXPECT_GT(resent, 0U);
  EXPECT_GT(discarded, 0U);
}

// Guards against a checker that detects no violation.
TEST(RandomRunTest, CheckerDetectsEveryInjectedFault)
{
  const struct
  {
    InjectedFault m_fault;
    std::size_t Findings::*m_counter;
  } cases[] = {
    { InjectedFault::ForgetDelivered, &Findings::m_duplicates },
    { InjectedFault::MisreportVersion, &Findings::m_wrongVersions },
    { InjectedFault::HidePublication, &Findings::m_overBound },
    { InjectedFault::SplitGroup, &Findings::m_splitGroups },
    { InjectedFault::IgnoreClaims, &Findings::m_repeatedJudgements },
  };
  for (const auto& entry : cases) {
    Simulation simulation(FaultyOptions(3, entry.m_fault));
    simulation.RunEvents(kEvents);
    const Findings findings = Check(simulation.GetGroundTruth());
    Print(3, simulation, findings);
    EXPECT_GT(findings.*entry.m_counter, 0U)
      << "injected fault " << static_cast<int>(entry.m_fault);
  }
}

} // namespace
} // namespace auburntrestle::rollout::test
