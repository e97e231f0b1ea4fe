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

/** An accepted edit as `config history` shows it. */
struct HistoryEntry
{
  SiteName m_site;
  std::uint64_t m_number = 0;
  Digest m_digest;
  EditId m_edit;
  Revision m_revision;
  LedgerTime m_acceptedAt;
};

/** An instance as far as the ledger knows it. */
struct InstanceView
{
  InstanceIdentity m_identity;
  DataCentreId m_dataCentre;
  /** The revision in force on the instance. */
  Revision m_revision;
  LedgerTime m_seenAt;
};

/** A lease. */
struct LeaseView
{
  InstanceIdentity m_holder;
  Fencing m_fencing;
  Duration m_duration{};
  LedgerTime m_endsAt;
  bool m_held = false;
};

/** A claim. */
struct ClaimView
{
  ClaimOwner m_owner;
  ClaimState m_state = ClaimState::Running;
  std::string m_response;
};

/** A step that is not complete. */
struct StepView
{
  StepNumber m_step;
  Digest m_digest;
  std::vector<std::uint32_t> m_groupSizes;
  std::string m_payload;
  /** Samples that are neither in the outstanding batch nor delivered. */
  std::vector<SampleRef> m_free;
};

/** The batch that is fixed and neither acknowledged nor discarded. */
struct BatchView
{
  Cursor m_cursor;
  std::vector<SampleRef> m_samples;
  std::string m_payload;
  LogIndex m_fixedAt;
};

/** A trainer. */
struct TrainerView
{
  /** The cursor of the last fixed batch; 0 before the first. */
  Cursor m_lastCursor;
  std::optional<BatchView> m_outstanding;
  std::vector<StepView> m_openSteps;
  /** The highest step that was ever opened; 0 before the first. */
  StepNumber m_lastStep;
  /** Whether the last batch was closed by a discard. */
  bool m_lastDiscarded = false;
};

/** How many entries the state holds, for metrics. */
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
 * The replicated state of the system. Equal sequences of Apply calls give equal
 * states and results on every member: it reads no clock and draws no random
 * number.
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
   * Carries out a committed entry.
   * @param aIndex its index, above that of every earlier call.
   * @param aTerm the term in which a leader appended it.
   * @param aBytes an encoded Proposal.
   * @return the answer, or a refusal that changed nothing but the time.
   */
  Result Apply(LogIndex aIndex, Term aTerm, std::string_view aBytes);

  /** @return the whole state as bytes; equal states give equal bytes. */
  [[nodiscard]] std::string Snapshot() const;

  /** Restores a state; malformed bytes or another version are an error. */
  [[nodiscard]] static tl::expected<StateMachine, CodecError> Restore(
    std::string_view aSnapshot,
    const Limits& aLimits = {});

  /** @return the digest of the snapshot, to compare members. */
  [[nodiscard]] Digest StateDigest() const;

  [[nodiscard]] LogIndex LastApplied() const noexcept;
  [[nodiscard]] LedgerTime Now() const noexcept;
  [[nodiscard]] StateSize Size() const noexcept;

  /** @return the newest revision of the configuration; 0 before the first. */
  [[nodiscard]] Revision NewestRevision() const noexcept;
  /** @return what is accepted for a site. */
  [[nodiscard]] AcceptedConfiguration ConfigurationOf(
    const SiteName& aSite) const;
  /** @return the sites that have an overlay. */
  [[nodiscard]] std::vector<SiteName> Sites() const;
  /** @return remembered edits of all files, the newest revision first. */
  [[nodiscard]] std::vector<HistoryEntry> History(std::size_t aLimit) const;
  [[nodiscard]] std::vector<InstanceView> Instances() const;
  /**
   * @param aLive the instances that are alive.
   * @return the newest revision that all of them have in force; an instance
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
  Result Carry(const Command& aCommand, LogIndex aIndex, Term aTerm);
  void EndEarlierLives(const InstanceId& aInstance);

  Limits m_limits;
  std::unique_ptr<internal::State> m_state;
  std::unique_ptr<internal::ClaimTable> m_claims;
  std::unique_ptr<internal::TrainerTable> m_trainers;
};

} // namespace auburntrestle::ledger

#endif
