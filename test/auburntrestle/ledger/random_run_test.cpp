#include "auburntrestle/core/random.hpp"
#include "auburntrestle/ledger/ledger_fixture.hpp"

#include <gtest/gtest.h>

#include <array>
#include <map>
#include <set>

namespace auburntrestle::ledger {
namespace {

constexpr Duration kRetention = std::chrono::seconds(20);

/** Generates random commands with few names, so that they often conflict. */
class CommandSource
{
public:
  explicit CommandSource(std::uint64_t aSeed)
    : m_random(aSeed)
  {
  }

  Command Next(const StateMachine& aMachine)
  {
    const TrainerId trainer(Name("t", 2));
    const Cursor last = LastCursor(aMachine, trainer);
    const LeaseName lease(Name("l", 2));
    const ClaimKey key = Key(Name("k", 30));
    switch (m_random.Below(17)) {
      case 0:
        return ApplyConfiguration{ SiteName(m_random.Chance(0.5) ? ""
                                                                 : "north"),
                                   NextNumber(aMachine),
                                   Digest(Name("d", 3)),
                                   "text",
                                   EditId() };
      case 1:
        return ReportRevision{ AnyIdentity(),
                               DataCentreId("d"),
                               Revision(m_random.Below(
                                 aMachine.NewestRevision().Get() + 2)) };
      case 2:
        if (m_random.Chance(0.2)) {
          ++m_incarnations[m_random.Below(3)];
        }
        return InstanceDied{ Identity(Name("i", 3), m_random.Below(4)) };
      case 3:
        return AcquireLease{ lease, AnyIdentity(), std::chrono::seconds(2) };
      case 4:
        return RenewLease{ lease,
                           AnyIdentity(),
                           AnyFencing(aMachine, lease),
                           std::chrono::seconds(2) };
      case 5:
        return ReleaseLease{ lease,
                             AnyIdentity(),
                             AnyFencing(aMachine, lease) };
      case 6:
      case 7:
        return BeginClaim{
          key, AnyOwner(), Digest(Name("r", 2)), std::chrono::seconds(20)
        };
      case 8:
        return FinishClaim{ key, OwnerOf(aMachine, key), "answer" };
      case 9:
        return MarkClaimUnknown{ key, OwnerOf(aMachine, key) };
      case 10:
        return OpenStep{ trainer,
                         StepNumber(m_random.Below(200)),
                         Digest(Name("s", 2)),
                         { 2, 3 },
                         "prompts" };
      case 11:
        return PublishVersion{ trainer,
                               ModelName("m"),
                               WeightVersion(m_random.Below(50)) };
      case 12:
        return DiscardBatch{ trainer, last };
      case 13:
        return AcknowledgeBatch{ trainer, last };
      default:
        return FixBatch{ trainer,
                         Cursor(last.Get() + 1 - m_random.Below(2)),
                         AnySamples(aMachine, trainer),
                         "batch",
                         Term(m_random.Below(8) == 0 ? 2 : 1) };
    }
  }

  RandomSource& Random() noexcept { return m_random; }

private:
  std::string Name(const char* aPrefix, std::uint64_t aBound)
  {
    std::string name(aPrefix);
    name += std::to_string(m_random.Below(aBound));
    return name;
  }
  InstanceIdentity AnyIdentity()
  {
    const std::uint64_t instance = m_random.Below(3);
    std::string name("i");
    name += std::to_string(instance);
    return Identity(name, m_incarnations[instance]);
  }
  ClaimOwner AnyOwner()
  {
    return ClaimOwner{ AnyIdentity(), RequestId(m_random.Below(5)) };
  }
  ClaimOwner OwnerOf(const StateMachine& aMachine, const ClaimKey& aKey)
  {
    const auto claim = aMachine.Claim(aKey);
    return claim && m_random.Chance(0.8) ? claim->m_owner : AnyOwner();
  }
  static Cursor LastCursor(const StateMachine& aMachine,
                           const TrainerId& aTrainer)
  {
    const auto view = aMachine.Trainer(aTrainer);
    return view ? view->m_lastCursor : Cursor();
  }
  static Fencing AnyFencing(const StateMachine& aMachine,
                            const LeaseName& aLease)
  {
    const auto view = aMachine.Lease(aLease);
    return view ? view->m_fencing : Fencing();
  }
  std::uint64_t NextNumber(const StateMachine& aMachine)
  {
    const auto accepted = aMachine.ConfigurationOf(SiteName());
    return (accepted.m_base ? accepted.m_base->m_number : 0) +
           m_random.Below(3);
  }
  std::vector<SampleRef> AnySamples(const StateMachine& aMachine,
                                    const TrainerId& aTrainer)
  {
    std::vector<SampleRef> samples;
    const auto view = aMachine.Trainer(aTrainer);
    if (!view) {
      return samples;
    }
    for (const StepView& step : view->m_openSteps) {
      for (const SampleRef& sample : step.m_free) {
        if (m_random.Chance(0.5)) {
          samples.push_back(sample);
        }
      }
    }
    if (m_random.Chance(0.1)) {
      samples.push_back(Sample(m_random.Below(200), 0, 0));
    }
    return samples;
  }

  RandomSource m_random;
  std::array<std::uint64_t, 3> m_incarnations{ 1, 1, 1 };
};

/** Checks the results against the invariants of the ledger over a run. */
class Invariants
{
public:
  void Check(const Command& aCommand,
             const Result& aResult,
             const StateMachine& aMachine)
  {
    ASSERT_GE(aMachine.NewestRevision(), m_revision);
    m_revision = aMachine.NewestRevision();
    for (const InstanceView& instance : aMachine.Instances()) {
      Revision& inForce = m_inForce[instance.m_identity.m_instance];
      ASSERT_GE(instance.m_revision, inForce);
      inForce = instance.m_revision;
    }
    m_now = aMachine.Now();
    if (aResult) {
      std::visit([&](const auto& aOne) { CheckAccepted(aOne, *aResult); },
                 aCommand);
      ++m_accepted[aCommand.index()];
    }
    for (auto& [key, begun] : m_begun) {
      const auto claim = aMachine.Claim(key);
      const bool ended = claim && claim->m_state != ClaimState::Running;
      if (ended && !begun.m_endedAt) {
        begun.m_endedAt = m_now;
      }
    }
  }

  [[nodiscard]] std::size_t KindsAccepted() const { return m_accepted.size(); }

private:
  void CheckAccepted(const auto&, const ResultValue&) {}
  void CheckAccepted(const ApplyConfiguration& aEdit,
                     const ResultValue& aAnswer)
  {
    const auto& accepted = std::get<ConfigurationAccepted>(aAnswer);
    const auto [position, added] =
      m_edits.try_emplace({ aEdit.m_site, aEdit.m_number }, accepted);
    ASSERT_EQ(position->second, accepted) << "two results for one number";
    if (added) {
      ASSERT_TRUE(m_revisions.insert(accepted.m_revision).second);
    }
  }
  void CheckAccepted(const AcquireLease& aAcquire, const ResultValue& aAnswer)
  {
    const Fencing fencing = std::get<LeaseGranted>(aAnswer).m_fencing;
    const auto [position, added] =
      m_holders.try_emplace(fencing, aAcquire.m_lease, aAcquire.m_holder);
    if (added) {
      ASSERT_EQ(std::prev(m_holders.end())->first, fencing)
        << "fencing number does not grow";
    }
    ASSERT_EQ(position->second, std::pair(aAcquire.m_lease, aAcquire.m_holder));
  }
  void CheckAccepted(const BeginClaim& aBegin, const ResultValue& aAnswer)
  {
    if (std::get<ClaimResult>(aAnswer).m_begun) {
      const auto [position, added] =
        m_begun.try_emplace(aBegin.m_key, Begun{ aBegin.m_owner, {} });
      if (!added && position->second.m_owner != aBegin.m_owner) {
        ASSERT_TRUE(position->second.m_endedAt) << "begun twice";
        ASSERT_GE(m_now.Get() - position->second.m_endedAt->Get(), kRetention)
          << "begun again within retention";
        position->second = Begun{ aBegin.m_owner, {} };
      }
    }
  }
  void CheckAccepted(const FixBatch& aFix, const ResultValue&)
  {
    if (m_batches.contains({ aFix.m_trainer, aFix.m_cursor })) {
      return;
    }
    for (const SampleRef& sample : aFix.m_samples) {
      ASSERT_TRUE(m_taken.insert({ aFix.m_trainer, sample }).second)
        << "sample in two batches";
    }
    m_batches[{ aFix.m_trainer, aFix.m_cursor }] = aFix.m_samples;
  }
  void CheckAccepted(const DiscardBatch& aDiscard, const ResultValue&)
  {
    auto& samples = m_batches.at({ aDiscard.m_trainer, aDiscard.m_cursor });
    for (const SampleRef& sample : samples) {
      m_taken.erase({ aDiscard.m_trainer, sample });
    }
    samples.clear();
  }

  Revision m_revision;
  std::map<InstanceId, Revision> m_inForce;
  std::map<std::pair<SiteName, std::uint64_t>, ConfigurationAccepted> m_edits;
  std::set<Revision> m_revisions;
  std::map<Fencing, std::pair<LeaseName, InstanceIdentity>> m_holders;
  struct Begun
  {
    ClaimOwner m_owner;
    /** When the claim was first observed as ended. */
    std::optional<LedgerTime> m_endedAt;
  };

  LedgerTime m_now;
  std::map<ClaimKey, Begun> m_begun;
  std::set<std::pair<TrainerId, SampleRef>> m_taken;
  std::map<std::pair<TrainerId, Cursor>, std::vector<SampleRef>> m_batches;
  std::map<std::size_t, int> m_accepted;
};

// Guards against sequences of commands that violate an invariant of the ledger,
// and against a state machine that differs after a restore from a snapshot.
TEST(StateMachine, RandomRunsKeepTheInvariants)
{
  constexpr std::uint64_t kSeeds = 8;
  constexpr int kCommands = 4000;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    LedgerFixture ledger;
    StateMachine restored;
    CommandSource source(seed);
    Invariants invariants;
    for (int i = 0; i < kCommands; ++i) {
      const Command command = source.Next(ledger.m_machine);
      ledger.m_now += std::chrono::milliseconds(source.Random().Below(200));
      const Result result = ledger.Apply(command);
      ASSERT_NO_FATAL_FAILURE(
        invariants.Check(command, result, ledger.m_machine));
      const Result again =
        restored.Apply(ledger.m_index,
                       Term(1),
                       Encode(Proposal{ LedgerTime(ledger.m_now), command }));
      ASSERT_EQ(again, result) << "at command " << i;
      if (source.Random().Chance(0.02)) {
        auto copy = StateMachine::Restore(restored.Snapshot());
        ASSERT_TRUE(copy);
        restored = std::move(*copy);
      }
    }
    EXPECT_EQ(restored.StateDigest(), ledger.m_machine.StateDigest());
    // Without enough accepted kinds of commands the run would prove nothing.
    EXPECT_GE(invariants.KindsAccepted(), 14U);
  }
}

} // namespace
} // namespace auburntrestle::ledger
