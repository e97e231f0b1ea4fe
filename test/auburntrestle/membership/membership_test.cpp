#include "auburntrestle/membership/cluster.hpp"
#include "auburntrestle/membership/membership.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace auburntrestle::membership {
namespace {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

const std::string kSeed = Cluster::AddressOf("00");

std::string Name(int aNumber)
{
  return (aNumber < 10 ? "0" : "") + std::to_string(aNumber);
}

std::set<std::string> Names(int aFrom, int aTo)
{
  std::set<std::string> names;
  for (int number = aFrom; number < aTo; ++number) {
    names.insert(Name(number));
  }
  return names;
}

/** Starts aCount instances of one data centre with instance 00 as seed. */
void StartAll(Cluster& aCluster, int aCount)
{
  for (int number = 0; number < aCount; ++number) {
    aCluster.Start(Name(number), "lisboa-a", { kSeed });
  }
}

void ExpectLiveAtAll(Cluster& aCluster,
                     const std::set<std::string>& aObservers,
                     const std::set<std::string>& aLive)
{
  for (const std::string& id : aObservers) {
    EXPECT_EQ(aCluster.LiveAt(id), aLive) << "at " << id;
  }
}

struct LossRow
{
  int m_instances;
  double m_lossRate;
  std::uint64_t m_seed;
};

class MembershipUnderLoss : public testing::TestWithParam<LossRow>
{};

// Guards against instances that never find each other, and against live
// instances that are declared dead because of lost messages.
TEST_P(MembershipUnderLoss, AllFindEachOtherAndNoneIsDeclaredDead)
{
  Cluster cluster(GetParam().m_seed);
  cluster.m_lossRate = GetParam().m_lossRate;
  StartAll(cluster, GetParam().m_instances);
  cluster.Run(minutes(10));
  const auto all = Names(0, GetParam().m_instances);
  ExpectLiveAtAll(cluster, all, all);
  for (const std::string& id : all) {
    EXPECT_EQ(cluster.Count<MemberDead>(id), 0U) << "at " << id;
    EXPECT_FALSE(cluster.At(id).IsIsolated());
  }
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         MembershipUnderLoss,
                         testing::Values(LossRow{ 2, 0.0, 1 },
                                         LossRow{ 9, 0.0, 2 },
                                         LossRow{ 28, 0.0, 3 },
                                         LossRow{ 28, 0.05, 4 },
                                         LossRow{ 9, 0.05, 5 },
                                         LossRow{ 60, 0.02, 6 }));

class MembershipSeeds : public testing::TestWithParam<std::uint64_t>
{};

INSTANTIATE_TEST_SUITE_P(Seeds,
                         MembershipSeeds,
                         testing::Range<std::uint64_t>(100, 110));

// Guards against a crash that is not detected, so that the instance keeps its
// backend servers, and against a restart that counts as the dead incarnation.
TEST_P(MembershipSeeds, CrashIsNoticedAndRestartIsAccepted)
{
  Cluster cluster(GetParam());
  StartAll(cluster, 8);
  cluster.Run(seconds(60));
  cluster.Crash("05");
  cluster.Run(seconds(20));
  auto rest = Names(0, 8);
  rest.erase("05");
  ExpectLiveAtAll(cluster, rest, rest);
  for (const std::string& id : rest) {
    EXPECT_EQ(cluster.Count<MemberDead>(id), 1U);
    EXPECT_EQ(cluster.Count<MemberLeft>(id), 0U);
  }
  cluster.Start("05", "lisboa-a", { kSeed }, 2);
  cluster.Run(seconds(15));
  ExpectLiveAtAll(cluster, Names(0, 8), Names(0, 8));
}

// Guards against a restarted instance that stays dead because its incarnation
// is below the known one, as after its clock was set back.
TEST_P(MembershipSeeds, RestartWithOldIncarnationAdoptsAHigherOne)
{
  Cluster cluster(GetParam());
  for (int number = 0; number < 5; ++number) {
    cluster.Start(Name(number), "lisboa-a", { kSeed }, 50);
  }
  cluster.Run(seconds(60));
  cluster.Crash("03");
  cluster.Run(seconds(20));
  cluster.Start("03", "lisboa-a", { kSeed }, 7);
  cluster.Run(seconds(20));
  ExpectLiveAtAll(cluster, Names(0, 5), Names(0, 5));
  EXPECT_GT(cluster.At("00").Members().Find(InstanceId("03"))->m_incarnation,
            Incarnation(50));
}

// Guards against a leave that is reported as a failure, or that is undone by
// updates still in flight.
TEST_P(MembershipSeeds, LeaveIsNotReportedAsDeath)
{
  Cluster cluster(GetParam());
  StartAll(cluster, 8);
  cluster.Run(seconds(60));
  cluster.Handle("04", LeaveRequested{});
  cluster.Crash("04");
  cluster.Run(seconds(60));
  auto rest = Names(0, 8);
  rest.erase("04");
  ExpectLiveAtAll(cluster, rest, rest);
  for (const std::string& id : rest) {
    EXPECT_EQ(cluster.Count<MemberLeft>(id), 1U) << "at " << id;
    EXPECT_EQ(cluster.Count<MemberDead>(id), 0U) << "at " << id;
  }
}

// Guards against declaring an instance dead because one path to it is broken
// while others reach it.
TEST_P(MembershipSeeds, OneBrokenPathCausesNoDeath)
{
  Cluster cluster(GetParam());
  StartAll(cluster, 6);
  cluster.Run(seconds(30));
  cluster.m_isLost = [](const std::string& aFrom, const std::string& aTo) {
    return (aFrom == "01" && aTo == "02") || (aFrom == "04" && aTo == "03");
  };
  cluster.Run(minutes(10));
  ExpectLiveAtAll(cluster, Names(0, 6), Names(0, 6));
  for (const std::string& id : Names(0, 6)) {
    EXPECT_EQ(cluster.Count<MemberDead>(id), 0U) << "at " << id;
  }
}

enum class Cut : std::uint8_t
{
  Both,
  Incoming,
  Outgoing,
};

struct CutRow
{
  Cut m_cut;
  std::uint64_t m_seed;
};

class MembershipCut : public testing::TestWithParam<CutRow>
{};

// Guards against an isolated instance that takes over: it must detect its
// isolation, and must not declare the others dead before the timeout of
// isolated suspicions, in whichever direction the path is broken. Also guards
// against a partition that persists after the path works again.
TEST_P(MembershipCut, IsolatedInstanceDetectsItAndRejoins)
{
  Cluster cluster(GetParam().m_seed);
  StartAll(cluster, 7);
  cluster.Run(seconds(60));
  const Cut cut = GetParam().m_cut;
  cluster.m_isLost = [cut](const std::string& aFrom, const std::string& aTo) {
    return (cut != Cut::Outgoing && aTo == "06") ||
           (cut != Cut::Incoming && aFrom == "06");
  };
  cluster.Run(seconds(7));
  EXPECT_TRUE(cluster.At("06").IsIsolated());
  cluster.Run(seconds(18));
  EXPECT_EQ(cluster.LiveAt("06"), Names(0, 7));
  ExpectLiveAtAll(cluster, Names(0, 6), Names(0, 6));
  EXPECT_FALSE(cluster.At("00").IsIsolated());
  // One hour exceeds every suspicion timeout.
  cluster.Run(hours(1));
  EXPECT_TRUE(cluster.At("06").IsIsolated());
  cluster.m_isLost = {};
  cluster.Run(seconds(60));
  EXPECT_FALSE(cluster.At("06").IsIsolated());
  ExpectLiveAtAll(cluster, Names(0, 7), Names(0, 7));
}

INSTANTIATE_TEST_SUITE_P(Directions,
                         MembershipCut,
                         testing::Values(CutRow{ Cut::Both, 200 },
                                         CutRow{ Cut::Both, 201 },
                                         CutRow{ Cut::Incoming, 202 },
                                         CutRow{ Cut::Incoming, 203 },
                                         CutRow{ Cut::Outgoing, 204 },
                                         CutRow{ Cut::Outgoing, 205 }));

// Guards against a data centre that stays split after a healed partition.
TEST_P(MembershipSeeds, HalvesRejoinAfterAPartition)
{
  Cluster cluster(GetParam());
  StartAll(cluster, 8);
  cluster.Run(seconds(60));
  cluster.m_isLost = [](const std::string& aFrom, const std::string& aTo) {
    return (aFrom < "04") != (aTo < "04");
  };
  cluster.Run(minutes(20));
  ExpectLiveAtAll(cluster, Names(0, 4), Names(0, 4));
  ExpectLiveAtAll(cluster, Names(4, 8), Names(4, 8));
  cluster.m_isLost = {};
  cluster.Run(seconds(60));
  ExpectLiveAtAll(cluster, Names(0, 8), Names(0, 8));
}

// Guards against the survivor of two instances that counts as isolated although
// another data centre replies, and that waits for the timeout of isolated
// suspicions.
TEST_P(MembershipSeeds, SurvivorInContactWithAnotherDataCentreIsNotIsolated)
{
  Cluster cluster(GetParam());
  cluster.Start("00", "lisboa-a", { kSeed });
  cluster.Start("01", "lisboa-a", { kSeed });
  cluster.Start("02", "lisboa-b", { kSeed });
  cluster.Start("03", "lisboa-b", { kSeed });
  cluster.Run(seconds(60));
  cluster.Crash("00");
  cluster.Run(seconds(15));
  EXPECT_EQ(cluster.LiveAt("01"), std::set<std::string>{ "01" });
  EXPECT_FALSE(cluster.At("01").IsIsolated());
  EXPECT_EQ(cluster.Count<IsolationChanged>("01"), 0U);
}

// Guards against the survivor of two instances that never takes over because it
// cannot distinguish the crash of the other from its own isolation.
TEST(Membership, LastOfTwoTakesOverAfterTheIsolatedSuspicionTimeout)
{
  Cluster cluster(300);
  StartAll(cluster, 2);
  cluster.Run(seconds(30));
  cluster.Crash("00");
  cluster.Run(seconds(25));
  EXPECT_TRUE(cluster.At("01").IsIsolated());
  EXPECT_EQ(cluster.LiveAt("01"), Names(0, 2));
  cluster.Run(seconds(10));
  EXPECT_EQ(cluster.LiveAt("01"), std::set<std::string>{ "01" });
  EXPECT_TRUE(cluster.At("01").IsIsolated());
}

// Guards against advertised changes that do not reach everyone, and against
// free capacity being advertised more often than the interval allows.
TEST_P(MembershipSeeds, AdvertisedChangesReachEveryone)
{
  Cluster cluster(GetParam());
  StartAll(cluster, 10);
  cluster.Run(seconds(60));
  const InstanceId changed("07");
  const auto versionBefore =
    cluster.At("07").Members().Find(changed)->m_advertisement.m_version;
  for (std::uint32_t slots = 1; slots <= 100; ++slots) {
    cluster.Handle(
      "07",
      LocalStateChanged{
        Revision(41), true, { { ModelName("conselheiro"), slots } } });
    cluster.Run(std::chrono::milliseconds(100));
  }
  cluster.Run(seconds(30));
  for (const std::string& id : Names(0, 10)) {
    const Advertisement& seen =
      cluster.At(id).Members().Find(changed)->m_advertisement;
    EXPECT_EQ(seen.m_revision, Revision(41)) << "at " << id;
    EXPECT_TRUE(seen.m_draining) << "at " << id;
    ASSERT_EQ(seen.m_capacity.size(), 1U) << "at " << id;
    EXPECT_EQ(seen.m_capacity[0].m_freeSlots, 100U) << "at " << id;
    EXPECT_LE(seen.m_version - versionBefore, 3U);
  }
}

/** Starts aEach instances in each of aCentres data centres. */
void StartCentres(Cluster& aCluster, int aCentres, int aEach)
{
  for (int number = 0; number < aCentres * aEach; ++number) {
    aCluster.Start(Name(number),
                   "dc" + Name(number / aEach),
                   { kSeed, Cluster::AddressOf(Name(aEach)) });
  }
}

// Guards against summaries that do not reach every instance, mix the members of
// data centres, or keep an old revision or capacity.
TEST_P(MembershipSeeds, SummariesReachEveryInstance)
{
  Cluster cluster(GetParam());
  StartCentres(cluster, 5, 4);
  cluster.Run(seconds(60));
  cluster.Handle(
    "05", LocalStateChanged{ Revision(9), true, { { ModelName("m"), 4 } } });
  cluster.Handle(
    "06", LocalStateChanged{ Revision(8), false, { { ModelName("m"), 3 } } });
  cluster.Run(seconds(60));
  for (int number = 0; number < 20; ++number) {
    const std::string id = Name(number);
    EXPECT_EQ(cluster.LiveAt(id), Names(number / 4 * 4, number / 4 * 4 + 4));
    EXPECT_EQ(cluster.At(id).Summaries().All().size(), 5U) << "at " << id;
    const KnownSummary* known =
      cluster.At(id).Summaries().Find(DataCentreId("dc01"));
    ASSERT_NE(known, nullptr) << "at " << id;
    const Summary& summary = known->m_summary;
    EXPECT_EQ(summary.m_liveInstances, 4U) << "at " << id;
    EXPECT_EQ(summary.m_drainingInstances, 1U) << "at " << id;
    EXPECT_EQ(summary.m_newestRevision, Revision(9)) << "at " << id;
    EXPECT_EQ(summary.m_oldestRevision, Revision(0)) << "at " << id;
    ASSERT_EQ(summary.m_capacity.size(), 1U) << "at " << id;
    EXPECT_EQ(summary.m_capacity[0].m_freeSlots, 3U) << "at " << id;
    EXPECT_TRUE(
      cluster.At(id).IsReachable(DataCentreId("dc01"), cluster.m_now));
  }
}

// Guards against a data centre that counts as reachable while it is cut off for
// an hour, whose instances declare each other dead, or that stays unreachable
// afterwards because all its representatives were replaced meanwhile.
TEST_P(MembershipSeeds, CutOffDataCentreBecomesReachableAgain)
{
  Cluster cluster(GetParam());
  StartCentres(cluster, 3, 4);
  cluster.Run(seconds(60));
  cluster.m_isLost = [](const std::string& aFrom, const std::string& aTo) {
    return (aFrom >= "08") != (aTo >= "08");
  };
  cluster.Run(hours(1));
  for (const std::string& id : Names(0, 12)) {
    const bool outside = id < "08";
    EXPECT_EQ(cluster.At(id).IsReachable(DataCentreId("dc02"), cluster.m_now),
              !outside);
    EXPECT_EQ(cluster.At(id).IsReachable(DataCentreId("dc00"), cluster.m_now),
              outside);
    EXPECT_FALSE(cluster.At(id).IsIsolated()) << "at " << id;
  }
  ExpectLiveAtAll(cluster, Names(8, 12), Names(8, 12));
  for (const std::string& id : Names(8, 11)) {
    cluster.Crash(id);
  }
  cluster.Start("20", "dc02", { Cluster::AddressOf("11"), kSeed }, 9);
  cluster.Run(minutes(1));
  cluster.m_isLost = {};
  cluster.Run(minutes(1));
  for (const std::string& id : Names(0, 8)) {
    EXPECT_TRUE(
      cluster.At(id).IsReachable(DataCentreId("dc02"), cluster.m_now));
    EXPECT_EQ(cluster.At(id)
                .Summaries()
                .Find(DataCentreId("dc02"))
                ->m_summary.m_liveInstances,
              2U)
      << "at " << id;
  }
}

// Guards against new summaries that are ignored because all instances of a data
// centre restarted and count versions from one again.
TEST(Membership, SummariesContinueAfterAllInstancesOfADataCentreRestart)
{
  Cluster cluster(301);
  StartCentres(cluster, 2, 3);
  cluster.Run(minutes(30));
  for (const std::string& id : Names(3, 6)) {
    cluster.Crash(id);
  }
  cluster.Run(minutes(2));
  EXPECT_FALSE(
    cluster.At("00").IsReachable(DataCentreId("dc01"), cluster.m_now));
  for (const std::string& id : Names(3, 6)) {
    cluster.Start(id, "dc01", { kSeed, Cluster::AddressOf("03") }, 2);
  }
  cluster.Run(minutes(1));
  EXPECT_TRUE(
    cluster.At("00").IsReachable(DataCentreId("dc01"), cluster.m_now));
}

// Guards against replay: an undirected datagram can be replayed to any
// instance, so only a Join is accepted in one.
TEST(Membership, UndirectedMessagesOtherThanJoinAreIgnored)
{
  MembershipSettings settings;
  settings.m_id = InstanceId("a");
  settings.m_dataCentre = DataCentreId("dc");
  settings.m_peerAddress = "10.0.0.1:70";
  Membership membership(settings, 1, TimePoint());
  const MemberUpdate other{
    InstanceId("b"), Incarnation(1), MemberState::Alive, Advertisement{}
  };
  const std::vector<std::pair<Message, bool>> rows{
    { Ping{ 1, { other } }, false },
    { PingRequest{ 1, InstanceId("c"), "10.0.0.3:70", { other } }, false },
    { Ack{ 1, { other } }, false },
    { SyncRequest{}, false },
    { Members{ 1, { other } }, false },
    { SummaryRequest{}, false },
    { Summaries{}, false },
    { Join{ 1, DataCentreId("dc"), other }, true },
  };
  for (const auto& [message, accepted] : rows) {
    std::vector<Action> actions;
    membership.Handle(
      MessageReceived{ InstanceId("b"), "10.0.0.2:70", false, message },
      TimePoint(),
      actions);
    EXPECT_EQ(!actions.empty(), accepted) << message.index();
  }
}

// Guards against traffic that grows with the number of changes or members: the
// gossip in a message never exceeds the limit.
TEST(Membership, GossipInAMessageIsBounded)
{
  Cluster cluster(302);
  std::size_t largest = 0;
  cluster.m_observe = [&](const std::string& /*aFrom*/,
                          const std::string& /*aTo*/,
                          const SendMessage& aSend) {
    if (const auto* ping = std::get_if<Ping>(&aSend.m_message)) {
      std::size_t bytes = 0;
      for (const MemberUpdate& update : ping->m_updates) {
        bytes += MaxEncodedBytes(update);
      }
      largest = std::max(largest, bytes);
    }
  };
  StartAll(cluster, 60);
  cluster.Run(seconds(30));
  EXPECT_GT(largest, 300U);
  EXPECT_LE(largest, MembershipSettings().m_maxGossipBytes);
}

// Guards against nondeterminism, which would let tests pass or fail by chance.
TEST(Membership, EqualSeedsGiveEqualRuns)
{
  std::vector<std::string> runs;
  for (int run = 0; run < 2; ++run) {
    std::string trace;
    Cluster cluster(303);
    cluster.m_lossRate = 0.1;
    cluster.m_observe = [&](const std::string& aFrom,
                            const std::string& aTo,
                            const SendMessage& aSend) {
      trace.append(aFrom).append(">").append(aTo).append(":");
      trace.append(std::to_string(aSend.m_message.index())).append("\n");
    };
    StartAll(cluster, 6);
    cluster.Run(seconds(60));
    runs.push_back(std::move(trace));
  }
  EXPECT_FALSE(runs[0].empty());
  EXPECT_EQ(runs[0], runs[1]);
}

} // namespace
} // namespace auburntrestle::membership
