#include "auburntrestle/consensus/cluster.hpp"

#include <gtest/gtest.h>

#include <array>
#include <cerrno>
#include <string>
#include <tuple>

namespace auburntrestle::consensus::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeeds = 3;

enum class Fault
{
  Crash,
  Restart,
  TornWrite,
  OldDiskCopy,
  DiskLost,
  DiskFull,
  SyncFails,
  Partition,
  OneWayOut,
  OneWayIn,
  LongIsolation,
  Duplicate,
  Delay,
  Reorder,
  FastClock,
  SlowClock,
};

enum class AtStep
{
  Propose,
  Replicate,
  Commit,
  Apply,
  Read,
  Snapshot,
  MemberChange,
};

enum class Victim
{
  Leader,
  Follower,
};

constexpr std::array kFaultNames = {
  "Crash",     "Restart",  "TornWrite", "OldDiskCopy",
  "DiskLost",  "DiskFull", "SyncFails", "Partition",
  "OneWayOut", "OneWayIn", "Isolation", "Duplicate",
  "Delay",     "Reorder",  "FastClock", "SlowClock",
};
constexpr std::array kStepNames = { "Propose",     "Replicate", "Commit",
                                    "Apply",       "Read",      "Snapshot",
                                    "MemberChange" };

void Inject(Cluster& aCluster,
            Fault aFault,
            std::size_t aVictim,
            const MemoryFiles::Image& aOldCopy)
{
  switch (aFault) {
    case Fault::Crash:
      aCluster.Crash(aVictim);
      break;
    case Fault::Restart:
      aCluster.Crash(aVictim);
      aCluster.Start(aVictim);
      break;
    case Fault::TornWrite:
      aCluster.Device(aVictim).FailAfter(MemoryFiles::Target::Write, 0, EIO);
      aCluster.Run(milliseconds(60));
      aCluster.Crash(aVictim, true);
      aCluster.Start(aVictim);
      break;
    case Fault::OldDiskCopy:
      aCluster.Crash(aVictim);
      aCluster.Device(aVictim).Restore(aOldCopy);
      aCluster.Start(aVictim);
      break;
    case Fault::DiskLost:
      aCluster.EraseDisk(aVictim);
      aCluster.Start(aVictim);
      break;
    case Fault::DiskFull:
      aCluster.Device(aVictim).FailAfter(MemoryFiles::Target::Write, 0, ENOSPC);
      break;
    case Fault::SyncFails:
      aCluster.Device(aVictim).FailAfter(MemoryFiles::Target::Sync, 1, EIO);
      break;
    case Fault::Partition:
    case Fault::LongIsolation:
      aCluster.Isolate(aVictim);
      break;
    case Fault::OneWayOut:
    case Fault::OneWayIn:
      for (std::size_t other = 0; other < aCluster.Size(); ++other) {
        if (other != aVictim) {
          aFault == Fault::OneWayOut ? aCluster.Block(aVictim, other)
                                     : aCluster.Block(other, aVictim);
        }
      }
      break;
    case Fault::Duplicate:
      aCluster.m_duplicateChance = 0.5;
      break;
    case Fault::Delay:
      aCluster.m_maxDelay = milliseconds(400);
      break;
    case Fault::Reorder:
      aCluster.m_maxDelay = milliseconds(40);
      aCluster.m_duplicateChance = 0.2;
      aCluster.m_dropChance = 0.1;
      break;
    case Fault::FastClock:
      aCluster.SetClockRate(aVictim, 3);
      break;
    case Fault::SlowClock:
      aCluster.SetClockRate(aVictim, 0.2);
      break;
  }
}

bool IsReached(const Cluster& aCluster, AtStep aStep, std::uint64_t aCommand)
{
  switch (aStep) {
    case AtStep::Propose:
    case AtStep::MemberChange:
      return true;
    case AtStep::Replicate:
      return aCluster.IsInFlight([](const Message& aMessage) {
        const auto* body = std::get_if<AppendResponse>(&aMessage.m_body);
        return body != nullptr && body->m_accepted;
      });
    case AtStep::Commit:
    case AtStep::Read:
      return aCluster.IsAcknowledged(aCommand);
    case AtStep::Apply:
      return aCluster.AppliedBy(aCommand) >= 2;
    case AtStep::Snapshot:
      return aCluster.IsInFlight([](const Message& aMessage) {
        return std::holds_alternative<SnapshotRequest>(aMessage.m_body);
      });
  }
  return false;
}

/** Starts a command, snapshot or membership change and runs the cluster until
 * it has just reached the step. */
void ReachStep(Cluster& aCluster, AtStep aStep)
{
  const std::size_t leader = *aCluster.Leader();
  if (aStep == AtStep::Snapshot) {
    const std::size_t behind = aCluster.Follower();
    aCluster.Crash(behind);
    for (int command = 0; command < 20; ++command) {
      aCluster.Propose(leader);
      aCluster.Run(milliseconds(5));
    }
    aCluster.Start(behind);
  } else if (aStep == AtStep::MemberChange) {
    const std::size_t added = aCluster.AddMember();
    aCluster.Change(leader, AddLearner{ aCluster.Status(added).m_identity });
    return;
  }
  const std::uint64_t command = aCluster.Propose(leader);
  if (aStep == AtStep::Read) {
    aCluster.RunUntil([&] { return aCluster.IsAcknowledged(command); },
                      seconds(5));
    aCluster.Read(leader);
  }
  ASSERT_TRUE(
    aStep == AtStep::Propose ||
    aCluster.RunUntil([&] { return IsReached(aCluster, aStep, command); },
                      seconds(5)));
}

void RunUnderLoad(Cluster& aCluster, Duration aTime)
{
  constexpr Duration kBetween = milliseconds(70);
  for (Duration passed{ 0 }; passed < aTime; passed += kBetween) {
    aCluster.ProposeAndReadOnAllLeaders();
    aCluster.Run(kBetween);
  }
}

using Case = std::tuple<Fault, AtStep, Victim>;

class FaultMatrix : public testing::TestWithParam<Case>
{};

// Guards against the loss of an acknowledged command and the confirmation of a
// stale read when a single fault occurs at any step of the protocol.
TEST_P(FaultMatrix, KeepsTheSafetyRulesAndRecovers)
{
  const auto [fault, step, victimRole] = GetParam();
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    ClusterOptions options;
    options.m_seed = seed;
    Cluster cluster(options);
    ASSERT_TRUE(cluster.CommitsNewCommand());
    ASSERT_TRUE(cluster.RunUntil([&] { return cluster.IsFullyReplicated(); },
                                 seconds(5)));
    const std::size_t victim =
      victimRole == Victim::Leader ? *cluster.Leader() : cluster.Follower();
    const MemoryFiles::Image oldCopy = cluster.Device(victim).DurableImage();
    RunUnderLoad(cluster, milliseconds(300));
    ReachStep(cluster, step);
    Inject(cluster, fault, victim, oldCopy);
    RunUnderLoad(cluster,
                 fault == Fault::LongIsolation ? seconds(5) : seconds(1));
    cluster.Heal();
    EXPECT_TRUE(cluster.CommitsNewCommand()) << cluster.Describe();
    EXPECT_TRUE(cluster.RunUntil([&] { return cluster.IsFullyReplicated(); },
                                 seconds(20)))
      << cluster.Describe();
    cluster.ProposeAndReadOnAllLeaders();
    cluster.Run(milliseconds(200));
    EXPECT_GT(cluster.ConfirmedReads(), 0U);
    EXPECT_TRUE(cluster.Violations().empty()) << cluster.Describe();
  }
}

std::string CaseName(const testing::TestParamInfo<Case>& aInfo)
{
  const auto& [fault, step, victim] = aInfo.param;
  return std::string(kFaultNames[static_cast<std::size_t>(fault)]) + "At" +
         kStepNames[static_cast<std::size_t>(step)] + "Of" +
         (victim == Victim::Leader ? "Leader" : "Follower");
}

INSTANTIATE_TEST_SUITE_P(All,
                         FaultMatrix,
                         testing::Combine(testing::Values(Fault::Crash,
                                                          Fault::Restart,
                                                          Fault::TornWrite,
                                                          Fault::OldDiskCopy,
                                                          Fault::DiskLost,
                                                          Fault::DiskFull,
                                                          Fault::SyncFails,
                                                          Fault::Partition,
                                                          Fault::OneWayOut,
                                                          Fault::OneWayIn,
                                                          Fault::LongIsolation,
                                                          Fault::Duplicate,
                                                          Fault::Delay,
                                                          Fault::Reorder,
                                                          Fault::FastClock,
                                                          Fault::SlowClock),
                                          testing::Values(AtStep::Propose,
                                                          AtStep::Replicate,
                                                          AtStep::Commit,
                                                          AtStep::Apply,
                                                          AtStep::Read,
                                                          AtStep::Snapshot,
                                                          AtStep::MemberChange),
                                          testing::Values(Victim::Leader,
                                                          Victim::Follower)),
                         CaseName);

} // namespace
} // namespace auburntrestle::consensus::test
