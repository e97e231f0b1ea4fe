#include "auburntrestle/consensus/cluster.hpp"

#include <gtest/gtest.h>

#include <array>
#include <cerrno>
#include <iostream>
#include <string>
#include <tuple>

namespace auburntrestle::consensus::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

enum class Loss
{
  Crash,
  DiskLost,
  OldDiskCopy,
};

enum class Moment
{
  /** The first member has rejoined as a learner and has not caught up. */
  BeforeRepair,
  /** The first member has become a voter again. */
  AfterRepair,
};

constexpr std::array kLossNames = { "Crash", "DiskLost", "OldDiskCopy" };

void InjectLoss(Cluster& aCluster,
                Loss aLoss,
                std::size_t aMember,
                const MemoryFiles::Image& aOldCopy)
{
  aCluster.Crash(aMember);
  if (aLoss == Loss::DiskLost) {
    aCluster.EraseDisk(aMember);
  } else if (aLoss == Loss::OldDiskCopy) {
    aCluster.Device(aMember).Restore(aOldCopy);
  }
}

using Pair = std::tuple<Loss, Loss, Moment, bool>;

class FaultPairs : public testing::TestWithParam<Pair>
{};

// Guards against counting a repaired member before it holds the log: the loss
// of a second member would then lose acknowledged commands.
TEST_P(FaultPairs, KeepTheSafetyRules)
{
  const auto [first, second, moment, leaderSecond] = GetParam();
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    ClusterOptions options;
    options.m_seed = seed;
    Cluster cluster(options);
    ASSERT_TRUE(cluster.CommitsNewCommand());
    ASSERT_TRUE(cluster.RunUntil([&] { return cluster.IsFullyReplicated(); },
                                 seconds(5)));
    const std::size_t repaired = cluster.Follower();
    std::vector<MemoryFiles::Image> copies;
    for (std::size_t member = 0; member < cluster.Size(); ++member) {
      copies.push_back(cluster.Device(member).DurableImage());
    }
    for (int command = 0; command < 30; ++command) {
      cluster.ProposeAndReadOnAllLeaders();
      cluster.Run(milliseconds(5));
    }
    InjectLoss(cluster, first, repaired, copies[repaired]);
    cluster.Run(seconds(1));
    ASSERT_TRUE(cluster.CommitsNewCommand());
    cluster.Start(repaired);
    const bool early = moment == Moment::BeforeRepair;
    ASSERT_TRUE(cluster.RunUntil(
      [&] {
        const auto leader = cluster.Leader();
        return leader &&
               (early ? cluster.Status(repaired).m_last.m_index > LogIndex(0)
                      : cluster.IsFullyReplicated());
      },
      seconds(10)))
      << cluster.Describe();
    std::size_t lost = *cluster.Leader();
    for (std::size_t member = 0; !leaderSecond && member < 3; ++member) {
      if (member != repaired && member != *cluster.Leader()) {
        lost = member;
        break;
      }
    }
    InjectLoss(cluster, second, lost, copies[lost]);
    cluster.Run(seconds(1));
    cluster.ProposeAndReadOnAllLeaders();
    const bool majorityHolds = !early || second == Loss::Crash;
    cluster.Heal();
    EXPECT_TRUE(!majorityHolds || cluster.CommitsNewCommand());
    cluster.Run(seconds(2));
    cluster.ProposeAndReadOnAllLeaders();
    cluster.Run(seconds(1));
    EXPECT_TRUE(cluster.Violations().empty()) << cluster.Describe();
  }
}

INSTANTIATE_TEST_SUITE_P(
  All,
  FaultPairs,
  testing::Combine(
    testing::Values(Loss::Crash, Loss::DiskLost, Loss::OldDiskCopy),
    testing::Values(Loss::Crash, Loss::DiskLost, Loss::OldDiskCopy),
    testing::Values(Moment::BeforeRepair, Moment::AfterRepair),
    testing::Bool()),
  [](const testing::TestParamInfo<Pair>& aInfo) {
    return std::string(
             kLossNames[static_cast<std::size_t>(std::get<0>(aInfo.param))]) +
           "Then" +
           kLossNames[static_cast<std::size_t>(std::get<1>(aInfo.param))] +
           (std::get<2>(aInfo.param) == Moment::BeforeRepair ? "BeforeRepair"
                                                             : "AfterRepair") +
           (std::get<3>(aInfo.param) ? "OfLeader" : "OfFollower");
  });

/** The kind of disk fault in a random run. */
enum class DiskFault
{
  None,
  Lost,
  OldCopy,
};

void InjectRandomly(Cluster& aCluster,
                    DiskFault aDiskFault,
                    const std::vector<MemoryFiles::Image>& aCopies)
{
  RandomSource& random = aCluster.Random();
  const std::size_t victim = random.Below(aCluster.Size());
  switch (random.Below(10)) {
    case 0:
      aCluster.Crash(victim, true);
      break;
    case 1:
      aCluster.Crash(victim, true);
      aCluster.Start(victim);
      break;
    case 2:
      aCluster.Isolate(victim);
      break;
    case 3:
      aCluster.Block(victim, random.Below(aCluster.Size()));
      break;
    case 4:
      aCluster.m_dropChance = 0.2;
      aCluster.m_duplicateChance = 0.2;
      break;
    case 5:
      aCluster.m_maxDelay = milliseconds(random.Below(300) + 1);
      break;
    case 6:
      aCluster.SetClockRate(victim, 0.2 + 3 * random.Unit());
      break;
    case 7:
      aCluster.Device(victim).FailAfter(
        MemoryFiles::Target::Sync, random.Below(4), EIO);
      break;
    case 8:
      // Another disk may be lost only after the previous one is repaired.
      if (aDiskFault != DiskFault::None && aCluster.IsFullyReplicated()) {
        aCluster.EraseDisk(victim);
        if (aDiskFault == DiskFault::OldCopy) {
          aCluster.Device(victim).Restore(aCopies[victim]);
        }
        aCluster.Start(victim);
      }
      break;
    default:
      aCluster.Heal();
      break;
  }
}

/** Initial members, Options::m_verifyAfterRestart, disk faults. A log of one or
 * two members tolerates no lost disk. */
using RandomCase = std::tuple<std::size_t, bool, DiskFault>;

class RandomFaults : public testing::TestWithParam<RandomCase>
{};

// Guards against violations under combinations of faults that the other tests
// do not list.
TEST_P(RandomFaults, KeepTheSafetyRulesAndRecover)
{
  const auto [initialMembers, verify, diskFault] = GetParam();
  constexpr std::uint64_t kFirstSeed = 1000;
  constexpr std::uint64_t kRuns = 150;
  std::cout << "seeds " << kFirstSeed << " to " << kFirstSeed + kRuns - 1
            << std::endl;
  for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + kRuns; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    ClusterOptions options;
    options.m_initialMembers = initialMembers;
    options.m_seed = seed;
    options.m_verifyAfterRestart = verify;
    Cluster cluster(options);
    cluster.Run(milliseconds(cluster.Random().Below(2000) + 1));
    std::vector<MemoryFiles::Image> copies;
    for (std::size_t member = 0; member < initialMembers; ++member) {
      copies.push_back(cluster.Device(member).DurableImage());
    }
    for (int round = 0; round < 100; ++round) {
      cluster.ProposeAndReadOnAllLeaders();
      cluster.Run(milliseconds(cluster.Random().Below(200) + 1));
      if (cluster.Random().Chance(0.3)) {
        InjectRandomly(cluster, diskFault, copies);
      }
    }
    cluster.Heal();
    // With verification, a member that restarts while another one's disk is
    // lost waits until that member has rejoined; then only safety is checked.
    if (!verify || diskFault == DiskFault::None) {
      EXPECT_TRUE(cluster.CommitsNewCommand()) << cluster.Describe();
      EXPECT_TRUE(cluster.RunUntil([&] { return cluster.IsFullyReplicated(); },
                                   seconds(20)))
        << cluster.Describe();
    }
    cluster.Run(seconds(2));
    ASSERT_TRUE(cluster.Violations().empty()) << cluster.Describe();
  }
}

INSTANTIATE_TEST_SUITE_P(
  All,
  RandomFaults,
  testing::Values(RandomCase{ 1, false, DiskFault::None },
                  RandomCase{ 2, false, DiskFault::None },
                  RandomCase{ 3, false, DiskFault::None },
                  RandomCase{ 3, false, DiskFault::Lost },
                  RandomCase{ 3, false, DiskFault::OldCopy },
                  RandomCase{ 3, true, DiskFault::None },
                  RandomCase{ 3, true, DiskFault::OldCopy },
                  RandomCase{ 5, false, DiskFault::Lost },
                  RandomCase{ 5, false, DiskFault::OldCopy },
                  RandomCase{ 5, true, DiskFault::OldCopy }));

} // namespace
} // namespace auburntrestle::consensus::test
