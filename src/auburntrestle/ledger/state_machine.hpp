#ifndef AUBURNTRESTLE_LEDGER_STATE_MACHINE_HPP
#define AUBURNTRESTLE_LEDGER_STATE_MACHINE_HPP

#include "auburntrestle/ledger/accepted_configuration.hpp"
#include "auburntrestle/ledger/codec.hpp"
#include "auburntrestle/ledger/commands.hpp"
#include "auburntrestle/ledger/limits.hpp"
#include "auburntrestle/ledger/results.hpp"

#include <tl/expected.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburntrestle::ledger {

namespace internal {
struct State;
class ClaimTable;
class TrainerTable;
}

/** An accepted edit, as shown by `config history`. */
struct HistoryEntry
{
  SiteName m_site;
  std::uint64_t m_number = 0;
  Digest m_digest;
  EditId m_edit;
  Revision m_revision;
  LedgerTime m_acceptedAt;
};

/** The state of an instance in the ledger. */
struct InstanceView
{
  InstanceIdentity m_identity;
  DataCentreId m_dataCentre;
  /** The revision in force on the instance. */
  Revision m_revision;
  LedgerTime m_lastSeenAt;
};

/** The state of a lease. */
struct LeaseView
{
  InstanceIdentity m_holder;
  Fencing m_fencing;
  Duration m_duration{};
  LedgerTime m_endsAt;
  bool m_held = false;
};

/** The state of a claim. */
struct ClaimView
{
  ClaimOwner m_owner;
  ClaimState m_state = ClaimState::Running;
  std::string m_response;
};

/** The state of an open step. */
struct StepView
{
  StepNumber m_step;
  Digest m_digest;
  std::vector<std::uint32_t> m_groupSizes;
  std::string m_payload;
  /** Samples that are neither in the outstanding batch nor delivered. */
  std::vector<SampleRef> m_free;
};

/** The outstanding batch: fixed, neither acknowledged nor discarded. */
struct BatchView
{
  Cursor m_cursor;
  std::vector<SampleRef> m_samples;
  std::string m_payload;
  LogIndex m_fixedAt;
};

/** The state of a trainer. */
struct TrainerView
{
  /** The cursor of the last fixed batch, or 0. */
  Cursor m_lastCursor;
  std::optional<BatchView> m_outstanding;
  std::vector<StepView> m_openSteps;
  /** The highest step that was ever opened, or 0. */
  StepNumber m_lastStep;
  /** Whether the last batch was discarded. */
  bool m_lastDiscarded = false;
};

/** The sizes of the tables of the state, for metrics. */
struct StateSize
{
  std::size_t m_files = 0;
  std::size_t m_instances = 0;
  std::size_t m_leases = 0;
  std::size_t m_claims = 0;
  std::size_t m_trainers = 0;
  std::size_t m_models = 0;
  std::size_t m_payloadBytes = 0;
};

/**
 * The replicated state machine. It is deterministic: the same sequence of Apply
 * calls gives the same state and results on every member, because it uses no
 * clock and no random numbers.
 */
class StateMachine
{
public:
  /** @param aLimits must be equal on all members. */
  explicit StateMachine(const Limits& aLimits = {});
  ~StateMachine();
  StateMachine(StateMachine&&) noexcept;
  StateMachine& operator=(StateMachine&&) noexcept;
  StateMachine(const StateMachine&) = delete;
  StateMachine& operator=(const StateMachine&) = delete;

  /**
   * Applies a committed entry.
   * @param aIndex its index, higher than in all earlier calls.
   * @param aTerm its term.
   * @param aBytes an encoded Proposal.
   * @return the result, or a refusal, which changed only the time.
   */
  Result Apply(LogIndex aIndex, Term aTerm, std::string_view aBytes);

  /** @return the encoded state; equal states have equal bytes. */
  [[nodiscard]] std::string Snapshot() const;

  /** Restores a state; malformed bytes or an unknown version are an error. */
  [[nodiscard]] static tl::expected<StateMachine, CodecError> Restore(
    std::string_view aSnapshot,
    const Limits& aLimits = {});

  /** @return the digest of the snapshot, for comparing members. */
  [[nodiscard]] Digest StateDigest() const;

  [[nodiscard]] LogIndex LastApplied() const noexcept;
  [[nodiscard]] LedgerTime Now() const noexcept;
  [[nodiscard]] StateSize Size() const noexcept;

  /** @return the newest revision of the configuration, or 0. */
  [[nodiscard]] Revision NewestRevision() const noexcept;
  /** @return the accepted configuration of a site. */
  [[nodiscard]] AcceptedConfiguration ConfigurationOf(
    const SiteName& aSite) const;
  /** @return the sites that have an overlay. */
  [[nodiscard]] std::vector<SiteName> Sites() const;
  /** @return at most aLimit known edits of all files, newest revision first. */
  [[nodiscard]] std::vector<HistoryEntry> History(std::size_t aLimit) const;
  [[nodiscard]] std::vector<InstanceView> Instances() const;
  /**
   * @param aLive the live instances.
   * @return the newest revision that is in force on all of them; an instance
   * that has not reported counts as revision 0.
   */
  [[nodiscard]] Revision InForceOnAll(
    const std::vector<InstanceId>& aLive) const;

  [[nodiscard]] std::optional<LeaseView> Lease(const LeaseName& aLease) const;
  [[nodiscard]] std::optional<ClaimView> Claim(const ClaimKey& aKey) const;
  [[nodiscard]] std::vector<TrainerId> Trainers() const;
  [[nodiscard]] std::optional<TrainerView> Trainer(
    const TrainerId& aTrainer) const;
  /** @return the outstanding batch of a trainer if it has this cursor. */
  [[nodiscard]] std::optional<BatchView> Batch(const TrainerId& aTrainer,
                                               Cursor aCursor) const;
  /** @return the newest published version of each model. */
  [[nodiscard]] std::map<ModelName, WeightVersion> Versions() const;
  /** @return the newest published version of a model. */
  [[nodiscard]] std::optional<WeightVersion> NewestVersion(
    const ModelName& aModel) const;

private:
  Result Execute(const Command& aCommand, LogIndex aIndex, Term aTerm);
  void EndPreviousIncarnations(const InstanceId& aInstance);

  Limits m_limits;
  std::unique_ptr<internal::State> m_state;
  std::unique_ptr<internal::ClaimTable> m_claims;
  std::unique_ptr<internal::TrainerTable> m_trainers;
};

} // namespace auburntrestle::ledger

#endif
