#include "auburntrestle/ledger/accepted_configuration_store.hpp"
#include "auburntrestle/ledger/lease_holder.hpp"
#include "auburntrestle/ledger/ledger_fixture.hpp"
#include "auburntrestle/ledger/proposal_clock.hpp"
#include "auburntrestle/ledger/restart_gate.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <functional>

namespace auburntrestle::ledger {
namespace {

using std::chrono::seconds;

TimePoint At(Duration aTime)
{
  return TimePoint(aTime);
}

// Guards against a holder that acts after its lease has expired on a faster
// clock, and against a next holder with a fast clock that starts too early.
TEST(LeaseHolder, StopsBeforeTheLeaseCouldHaveEndedOnAnyClock)
{
  const std::int64_t million = 1'000'000;
  for (const std::int64_t drift : { 0, 1, 200, 10'000, 100'000 }) {
    for (const std::int64_t lease : { 1, 999, 10'000'000, 600'000'000 }) {
      SCOPED_TRACE(std::to_string(drift) + " " + std::to_string(lease));
      const std::int64_t safe =
        SafeLeaseTime(Duration(lease), DriftBound{ drift }).count();
      // The slowest local clock shows `safe`; the fastest other clock less
      // than the lease: safe / (1 - d) * (1 + d) <= lease.
      EXPECT_LE(safe * (million + drift), lease * (million - drift));
      EXPECT_GT((safe + 1) * (million + drift), lease * (million - drift));
      const std::int64_t wait =
        SafeWaitTime(Duration(lease), DriftBound{ drift }).count();
      EXPECT_GE(wait * (million - drift), lease * (million + drift));
      EXPECT_LT((wait - 1) * (million - drift), lease * (million + drift));
    }
  }
}

// Guards against a holder whose lease is extended or shortened by late results
// or results out of order.
TEST(LeaseHolder, CountsFromTheRequest)
{
  LeaseHolder holder(DriftBound{ 0 }, seconds(5));
  EXPECT_FALSE(holder.MayAct(At(seconds(0))));
  const LeaseGranted grant{ Fencing(2), seconds(10), seconds(7) };
  holder.OnGranted(grant, seconds(10), At(seconds(1)), At(seconds(4)));
  EXPECT_TRUE(holder.MayAct(At(seconds(11) - Duration(1))));
  EXPECT_FALSE(holder.MayAct(At(seconds(11))));
  EXPECT_FALSE(holder.FencingNumber(At(seconds(11))));
  // Renewals extend the lease; a late, older result does not shorten it.
  holder.OnGranted(grant, seconds(10), At(seconds(9)), At(seconds(9)));
  holder.OnGranted(grant, seconds(10), At(seconds(5)), At(seconds(10)));
  EXPECT_EQ(holder.StopsAt(), At(seconds(19)));
  // The previous lease and the maximum order time are counted from the grant
  // on.
  EXPECT_FALSE(holder.MayActUnfenced(At(seconds(16) - Duration(1))));
  EXPECT_TRUE(holder.MayActUnfenced(At(seconds(16))));
  holder.OnLost();
  EXPECT_FALSE(holder.MayAct(At(seconds(16))));
}

// Guards against a first holder that waits for a previous lease that never
// existed.
TEST(LeaseHolder, FirstHolderNeedsNoWait)
{
  LeaseHolder holder(DriftBound{ 0 }, seconds(5));
  holder.OnGranted(LeaseGranted{ Fencing(1), seconds(10), seconds(0) },
                   seconds(10),
                   At(seconds(0)),
                   At(seconds(1)));
  EXPECT_TRUE(holder.MayActUnfenced(At(seconds(1))));
}

// Guards against a new leader whose unrelated clock ends leases too early.
TEST(ProposalClock, ContinuesFromTheTimeOfTheLedger)
{
  const ProposalClock clock(LedgerTime(seconds(100)), At(seconds(5000)));
  EXPECT_EQ(clock.Stamp(At(seconds(5000))), LedgerTime(seconds(100)));
  EXPECT_EQ(clock.Stamp(At(seconds(5003))), LedgerTime(seconds(103)));
}

struct GateCase
{
  const char* m_name;
  std::function<void(RestartGate&)> m_events;
  GateState m_state;
  std::optional<Revision> m_missing;
};

// Guards against a restarted instance that acts on outdated state.
TEST(RestartGate, OpensOnlyWithTheNewestRevision)
{
  const InstanceId self("self");
  const InstanceId peer("peer");
  const InstanceId other("other");
  const std::set<InstanceId> live{ self, peer };
  const std::vector<GateCase> cases{
    { "start with a stored revision",
      [](RestartGate& aGate) { aGate.RecordOwnRevision(Revision(5)); },
      GateState::Closed,
      std::nullopt },
    { "confirmed and up to date",
      [](RestartGate& aGate) {
        aGate.RecordOwnRevision(Revision(5));
        aGate.OnReadConfirmed(Revision(5));
      },
      GateState::OpenConfirmed,
      std::nullopt },
    { "confirmed and behind",
      [](RestartGate& aGate) {
        aGate.RecordOwnRevision(Revision(5));
        aGate.OnReadConfirmed(Revision(6));
      },
      GateState::Closed,
      Revision(6) },
    { "confirmed in a new system",
      [](RestartGate& aGate) { aGate.OnReadConfirmed(Revision(0)); },
      GateState::OpenConfirmed,
      std::nullopt },
    { "cut off before membership is known",
      [](RestartGate& aGate) {
        aGate.RecordOwnRevision(Revision(5));
        aGate.SetCutOff(true);
      },
      GateState::Closed,
      std::nullopt },
    { "cut off with a silent peer",
      [&](RestartGate& aGate) {
        aGate.RecordOwnRevision(Revision(5));
        aGate.SetCutOff(true);
        aGate.SetLiveInstances(live);
      },
      GateState::Closed,
      std::nullopt },
    { "cut off and behind a peer",
      [&](RestartGate& aGate) {
        aGate.RecordOwnRevision(Revision(5));
        aGate.SetCutOff(true);
        aGate.SetLiveInstances(live);
        aGate.RecordPeerRevision(peer, Revision(7));
      },
      GateState::Closed,
      Revision(7) },
    { "cut off and caught up with the peer",
      [&](RestartGate& aGate) {
        aGate.SetCutOff(true);
        aGate.SetLiveInstances(live);
        aGate.RecordPeerRevision(peer, Revision(7));
        aGate.RecordOwnRevision(Revision(7));
      },
      GateState::OpenCutOff,
      std::nullopt },
    { "cut off, no report required of a dead peer",
      [&](RestartGate& aGate) {
        aGate.RecordOwnRevision(Revision(5));
        aGate.SetCutOff(true);
        aGate.RecordPeerRevision(other, Revision(9));
        aGate.RecordPeerRevision(peer, Revision(5));
        aGate.SetLiveInstances(live);
      },
      GateState::OpenCutOff,
      std::nullopt },
    { "peers agree but a majority is reachable",
      [&](RestartGate& aGate) {
        aGate.RecordOwnRevision(Revision(5));
        aGate.SetLiveInstances(live);
        aGate.RecordPeerRevision(peer, Revision(5));
      },
      GateState::Closed,
      std::nullopt },
    { "cut off and no instance has a revision",
      [&](RestartGate& aGate) {
        aGate.SetCutOff(true);
        aGate.SetLiveInstances(live);
        aGate.RecordPeerRevision(peer, Revision(0));
      },
      GateState::Closed,
      std::nullopt },
    { "confirmed after cut off",
      [&](RestartGate& aGate) {
        aGate.RecordOwnRevision(Revision(5));
        aGate.SetCutOff(true);
        aGate.SetLiveInstances({ self });
        aGate.SetCutOff(false);
        aGate.OnReadConfirmed(Revision(5));
      },
      GateState::OpenConfirmed,
      std::nullopt },
  };
  for (const GateCase& testCase : cases) {
    SCOPED_TRACE(testCase.m_name);
    RestartGate gate(self);
    testCase.m_events(gate);
    EXPECT_EQ(gate.State(), testCase.m_state);
    EXPECT_EQ(gate.MissingRevision(), testCase.m_missing);
    EXPECT_EQ(gate.MayUseClaims(),
              testCase.m_state == GateState::OpenConfirmed);
  }
}

class StoreTest : public testing::Test
{
protected:
  void SetUp() override { std::filesystem::remove_all(m_folder); }
  void TearDown() override { std::filesystem::remove_all(m_folder); }

  static AcceptedConfiguration At(std::uint64_t aRevision,
                                  const std::string& aText)
  {
    return { Revision(aRevision),
             SiteName("north"),
             AcceptedFile{ aRevision, Digest("d"), aText },
             std::nullopt };
  }

  const std::filesystem::path m_folder =
    std::filesystem::path(testing::TempDir()) / "accepted_configuration_test";
};

// Guards against a revision that decreases, with or without a restart.
TEST_F(StoreTest, NeverGoesBack)
{
  {
    auto store = AcceptedConfigurationStore::Open(m_folder);
    ASSERT_TRUE(store);
    ASSERT_TRUE(store->Accept(At(4, "four")));
    ASSERT_TRUE(store->Accept(At(6, "six")));
  }
  auto store = AcceptedConfigurationStore::Open(m_folder);
  ASSERT_TRUE(store);
  EXPECT_EQ(store->Current(), At(6, "six"));
  EXPECT_TRUE(store->Accept(At(6, "six")));
  const auto back = store->Accept(At(5, "five"));
  ASSERT_FALSE(back);
  EXPECT_EQ(back.error().m_kind, StoreErrorKind::WouldGoBack);
  const auto conflict = store->Accept(At(6, "other"));
  ASSERT_FALSE(conflict);
  EXPECT_EQ(conflict.error().m_kind, StoreErrorKind::Conflict);
  EXPECT_EQ(store->HeldRevision(), Revision(6));
  auto memory = AcceptedConfigurationStore::InMemory();
  ASSERT_TRUE(memory.Accept(At(2, "two")));
  EXPECT_FALSE(memory.Accept(At(1, "one")));
}

// Guards against accepting a damaged or partly written file as valid.
TEST_F(StoreTest, DamagedFileIsRefusedAndTemporaryIgnored)
{
  {
    auto store = AcceptedConfigurationStore::Open(m_folder);
    ASSERT_TRUE(store && store->Accept(At(1, "one")));
  }
  std::ofstream(m_folder / "accepted-configuration.new") << "half";
  EXPECT_EQ(AcceptedConfigurationStore::Open(m_folder)->HeldRevision(),
            Revision(1));
  const std::filesystem::path file = m_folder / "accepted-configuration";
  std::filesystem::resize_file(file, std::filesystem::file_size(file) - 1);
  const auto damaged = AcceptedConfigurationStore::Open(m_folder);
  ASSERT_FALSE(damaged);
  EXPECT_EQ(damaged.error().m_kind, StoreErrorKind::Corrupt);
  EXPECT_EQ(damaged.error().m_file, file);
}

// Guards against a failed write that is reported as success, and against a
// store that accepts changes after it.
TEST_F(StoreTest, FailedWriteIsReportedFromThenOn)
{
  auto store = AcceptedConfigurationStore::Open(m_folder);
  ASSERT_TRUE(store && store->Accept(At(1, "one")));
  const std::filesystem::path blocked = m_folder / "accepted-configuration.new";
  std::filesystem::create_directory(blocked);
  const auto failed = store->Accept(At(2, "two"));
  ASSERT_FALSE(failed);
  EXPECT_EQ(failed.error().m_kind, StoreErrorKind::FileFailed);
  std::filesystem::remove(blocked);
  EXPECT_FALSE(store->Accept(At(2, "two")));
  EXPECT_EQ(store->HeldRevision(), Revision(1));
}

} // namespace
} // namespace auburntrestle::ledger
