#include "auburntrestle/ledger/state_machine.hpp"

#include "auburntrestle/core/overloaded.hpp"
#include "auburntrestle/ledger/internal/check.hpp"
#include "auburntrestle/ledger/internal/claim_table.hpp"
#include "auburntrestle/ledger/internal/configuration_table.hpp"
#include "auburntrestle/ledger/internal/lease_table.hpp"
#include "auburntrestle/ledger/internal/state.hpp"
#include "auburntrestle/ledger/internal/state_codec.hpp"
#include "auburntrestle/ledger/internal/trainer_table.hpp"

#include <algorithm>

namespace auburntrestle::ledger {

namespace internal {

StepNumber LastStepOf(const TrainerState& aTrainer)
{
  StepNumber last(aTrainer.m_firstKnownStep.Get() == 0
                    ? 0
                    : aTrainer.m_firstKnownStep.Get() - 1);
  if (!aTrainer.m_open.empty()) {
    last = std::max(last, aTrainer.m_open.rbegin()->first);
  }
  if (!aTrainer.m_closed.empty()) {
    last = std::max(last, aTrainer.m_closed.rbegin()->first);
  }
  return last;
}

namespace {

std::optional<AcceptedFile> AcceptedFileOf(const ConfigurationState& aTable,
                                           const SiteName& aSite)
{
  const auto found = aTable.m_files.find(aSite);
  if (found == aTable.m_files.end()) {
    return std::nullopt;
  }
  const AcceptedEdit& edit = found->second.m_edits.back();
  return AcceptedFile{ edit.m_number, edit.m_digest, found->second.m_text };
}

StepView ViewOf(StepNumber aNumber, const OpenStepState& aStep)
{
  StepView view{
    aNumber, aStep.m_digest, aStep.m_groupSizes, aStep.m_payload, {}
  };
  std::size_t offset = 0;
  for (std::uint32_t group = 0; group < aStep.m_groupSizes.size(); ++group) {
    for (std::uint32_t index = 0; index < aStep.m_groupSizes[group]; ++index) {
      if (aStep.m_samples[offset++] == static_cast<char>(SampleState::Free)) {
        view.m_free.push_back(
          SampleRef{ aNumber, GroupIndex(group), SampleIndex(index) });
      }
    }
  }
  return view;
}

std::optional<BatchView> BatchOf(const TrainerState& aTrainer)
{
  if (!aTrainer.m_outstanding) {
    return std::nullopt;
  }
  return BatchView{ aTrainer.m_lastCursor,
                    aTrainer.m_outstanding->m_samples,
                    aTrainer.m_outstanding->m_payload,
                    aTrainer.m_outstanding->m_fixedAt };
}

/** @return whether the related parts of a decoded state are consistent. */
bool IsConsistent(const State& aState)
{
  for (const auto& [site, file] : aState.m_configuration.m_files) {
    if (file.m_edits.empty()) {
      return false;
    }
  }
  for (const auto& [id, trainer] : aState.m_trainers) {
    for (const auto& [number, step] : trainer.m_open) {
      std::size_t count = 0;
      for (const std::uint32_t size : step.m_groupSizes) {
        count += size;
      }
      if (count != step.m_samples.size()) {
        return false;
      }
    }
    if (!trainer.m_outstanding) {
      continue;
    }
    for (const SampleRef& sample : trainer.m_outstanding->m_samples) {
      const auto step = trainer.m_open.find(sample.m_step);
      if (step == trainer.m_open.end() || !SampleOffset(step->second, sample)) {
        return false;
      }
    }
  }
  return true;
}

} // namespace

} // namespace internal

StateMachine::StateMachine(const Limits& aLimits)
  : m_limits(aLimits)
  , m_state(std::make_unique<internal::State>())
  , m_claims(std::make_unique<internal::ClaimTable>())
  , m_trainers(std::make_unique<internal::TrainerTable>())
{
}

StateMachine::~StateMachine() = default;
StateMachine::StateMachine(StateMachine&&) noexcept = default;
StateMachine& StateMachine::operator=(StateMachine&&) noexcept = default;

void StateMachine::EndPreviousIncarnations(const InstanceId& aInstance)
{
  const auto found = m_state->m_instances.find(aInstance);
  if (found != m_state->m_instances.end()) {
    m_claims->EndPreviousIncarnations(
      InstanceIdentity{ aInstance, found->second.m_incarnation }, *m_state);
  }
}

Result StateMachine::Execute(const Command& aCommand,
                             LogIndex aIndex,
                             Term aTerm)
{
  internal::State& state = *m_state;
  return std::visit(
    Overloaded{
      [](const AdvanceTime&) -> Result { return Done{}; },
      [&](const ReportRevision& aReport) {
        Result result = internal::Apply(aReport, state, m_limits);
        EndPreviousIncarnations(aReport.m_identity.m_instance);
        return result;
      },
      [&](const AcquireLease& aAcquire) {
        Result result = internal::Apply(aAcquire, state, m_limits);
        EndPreviousIncarnations(aAcquire.m_holder.m_instance);
        return result;
      },
      [&](const OpenStep& aOpen) {
        return m_trainers->Apply(aOpen, aIndex, state, m_limits);
      },
      [&](const FixBatch& aFix) {
        return m_trainers->Apply(aFix, aIndex, aTerm, state, m_limits);
      },
      [&](const auto& aOther) {
        if constexpr (requires { m_claims->Apply(aOther, state, m_limits); }) {
          return m_claims->Apply(aOther, state, m_limits);
        } else if constexpr (requires {
                               m_trainers->Apply(aOther, state, m_limits);
                             }) {
          return m_trainers->Apply(aOther, state, m_limits);
        } else {
          return internal::Apply(aOther, state, m_limits);
        }
      } },
    aCommand);
}

Result StateMachine::Apply(LogIndex aIndex, Term aTerm, std::string_view aBytes)
{
  if (aIndex <= m_state->m_lastApplied) {
    return internal::Refuse(RefusalKind::AlreadyApplied,
                            m_state->m_lastApplied.Get());
  }
  m_state->m_lastApplied = aIndex;
  const auto proposal = Decode(aBytes);
  if (!proposal) {
    return internal::Refuse(proposal.error() == CodecError::UnknownVersion
                              ? RefusalKind::UnknownVersion
                              : RefusalKind::Malformed);
  }
  m_state->m_now = std::max(m_state->m_now, proposal->m_stamp);
  m_claims->Expire(*m_state);
  return Execute(proposal->m_command, aIndex, aTerm);
}

std::string StateMachine::Snapshot() const
{
  return internal::EncodeState(*m_state);
}

tl::expected<StateMachine, CodecError> StateMachine::Restore(
  std::string_view aSnapshot,
  const Limits& aLimits)
{
  auto state = internal::DecodeState(aSnapshot);
  if (!state) {
    return tl::unexpected(state.error());
  }
  if (!internal::IsConsistent(*state)) {
    return tl::unexpected(CodecError::Malformed);
  }
  StateMachine machine(aLimits);
  *machine.m_state = std::move(*state);
  machine.m_claims->Rebuild(*machine.m_state);
  machine.m_trainers->Rebuild(*machine.m_state);
  return machine;
}

Digest StateMachine::StateDigest() const
{
  return settings::DigestOf(Snapshot());
}

LogIndex StateMachine::LastApplied() const noexcept
{
  return m_state->m_lastApplied;
}

LedgerTime StateMachine::Now() const noexcept
{
  return m_state->m_now;
}

StateSize StateMachine::Size() const noexcept
{
  return StateSize{ m_state->m_configuration.m_files.size(),
                    m_state->m_instances.size(),
                    m_state->m_leases.m_leases.size(),
                    m_state->m_claims.size(),
                    m_state->m_trainers.size(),
                    m_state->m_models.size(),
                    m_trainers->PayloadBytes() };
}

Revision StateMachine::NewestRevision() const noexcept
{
  return m_state->m_configuration.m_revision;
}

AcceptedConfiguration StateMachine::ConfigurationOf(const SiteName& aSite) const
{
  const internal::ConfigurationState& table = m_state->m_configuration;
  return AcceptedConfiguration{ table.m_revision,
                                aSite,
                                internal::AcceptedFileOf(table, SiteName()),
                                aSite.Get().empty()
                                  ? std::nullopt
                                  : internal::AcceptedFileOf(table, aSite) };
}

std::vector<SiteName> StateMachine::Sites() const
{
  std::vector<SiteName> sites;
  for (const auto& [site, file] : m_state->m_configuration.m_files) {
    if (!site.Get().empty()) {
      sites.push_back(site);
    }
  }
  return sites;
}

std::vector<HistoryEntry> StateMachine::History(std::size_t aLimit) const
{
  std::vector<HistoryEntry> entries;
  for (const auto& [site, file] : m_state->m_configuration.m_files) {
    for (const internal::AcceptedEdit& edit : file.m_edits) {
      entries.push_back(HistoryEntry{ site,
                                      edit.m_number,
                                      edit.m_digest,
                                      edit.m_edit,
                                      edit.m_revision,
                                      edit.m_acceptedAt });
    }
  }
  std::sort(
    entries.begin(), entries.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.m_revision > aRight.m_revision;
    });
  entries.resize(std::min(entries.size(), aLimit));
  return entries;
}

std::vector<InstanceView> StateMachine::Instances() const
{
  std::vector<InstanceView> views;
  for (const auto& [id, instance] : m_state->m_instances) {
    views.push_back(
      InstanceView{ InstanceIdentity{ id, instance.m_incarnation },
                    instance.m_dataCentre,
                    instance.m_revision,
                    instance.m_lastSeenAt });
  }
  return views;
}

Revision StateMachine::InForceOnAll(const std::vector<InstanceId>& aLive) const
{
  Revision oldest = NewestRevision();
  for (const InstanceId& id : aLive) {
    const auto found = m_state->m_instances.find(id);
    oldest =
      std::min(oldest,
               found == m_state->m_instances.end() ? Revision()
                                                   : found->second.m_revision);
  }
  return oldest;
}

std::optional<LeaseView> StateMachine::Lease(const LeaseName& aLease) const
{
  const auto found = m_state->m_leases.m_leases.find(aLease);
  if (found == m_state->m_leases.m_leases.end()) {
    return std::nullopt;
  }
  const internal::LeaseState& lease = found->second;
  return LeaseView{ lease.m_holder,
                    lease.m_fencing,
                    lease.m_duration,
                    lease.m_endsAt,
                    internal::IsHeld(lease, m_state->m_now) };
}

std::optional<ClaimView> StateMachine::Claim(const ClaimKey& aKey) const
{
  const auto found = m_state->m_claims.find(aKey);
  if (found == m_state->m_claims.end()) {
    return std::nullopt;
  }
  return ClaimView{ found->second.m_owner,
                    found->second.m_state,
                    found->second.m_response };
}

std::vector<TrainerId> StateMachine::Trainers() const
{
  std::vector<TrainerId> ids;
  for (const auto& [id, trainer] : m_state->m_trainers) {
    ids.push_back(id);
  }
  return ids;
}

std::optional<TrainerView> StateMachine::Trainer(
  const TrainerId& aTrainer) const
{
  const auto found = m_state->m_trainers.find(aTrainer);
  if (found == m_state->m_trainers.end()) {
    return std::nullopt;
  }
  const auto& state = found->second;
  TrainerView view;
  view.m_lastCursor = state.m_lastCursor;
  view.m_outstanding = internal::BatchOf(state);
  view.m_lastStep = internal::LastStepOf(state);
  const auto closed = state.m_closedCursors.find(state.m_lastCursor);
  view.m_lastDiscarded =
    closed != state.m_closedCursors.end() && closed->second;
  for (const auto& [number, step] : found->second.m_open) {
    view.m_openSteps.push_back(internal::ViewOf(number, step));
  }
  return view;
}

std::optional<BatchView> StateMachine::Batch(const TrainerId& aTrainer,
                                             Cursor aCursor) const
{
  const auto found = m_state->m_trainers.find(aTrainer);
  if (found == m_state->m_trainers.end() ||
      found->second.m_lastCursor != aCursor) {
    return std::nullopt;
  }
  return internal::BatchOf(found->second);
}

std::map<ModelName, WeightVersion> StateMachine::Versions() const
{
  std::map<ModelName, WeightVersion> versions;
  for (const auto& [model, state] : m_state->m_models) {
    versions.emplace(model, state.m_newest);
  }
  return versions;
}

std::optional<WeightVersion> StateMachine::NewestVersion(
  const ModelName& aModel) const
{
  const auto found = m_state->m_models.find(aModel);
  if (found == m_state->m_models.end()) {
    return std::nullopt;
  }
  return found->second.m_newest;
}

} // namespace auburntrestle::ledger
