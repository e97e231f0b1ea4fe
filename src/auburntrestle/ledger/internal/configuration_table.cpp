#include "auburntrestle/ledger/internal/configuration_table.hpp"

#include "auburntrestle/ledger/internal/check.hpp"

#include <algorithm>

namespace auburntrestle::ledger::internal {

namespace {

const AcceptedEdit* FindEdit(const FileState& aFile, std::uint64_t aNumber)
{
  const auto found =
    std::lower_bound(aFile.m_edits.begin(),
                     aFile.m_edits.end(),
                     aNumber,
                     [](const AcceptedEdit& aEdit, std::uint64_t aValue) {
                       return aEdit.m_number < aValue;
                     });
  return found != aFile.m_edits.end() && found->m_number == aNumber ? &*found
                                                                    : nullptr;
}

ResultValue ResultOf(const AcceptedEdit& aEdit)
{
  return ConfigurationAccepted{ aEdit.m_revision,
                                aEdit.m_number,
                                aEdit.m_digest };
}

/** @return the result for an edit whose number is not above the last one. */
Result ResultForOldNumber(const ApplyConfiguration& aCommand,
                          const FileState& aFile)
{
  if (const AcceptedEdit* winner = FindEdit(aFile, aCommand.m_number)) {
    if (winner->m_digest == aCommand.m_digest) {
      return ResultOf(*winner);
    }
    return Refuse(RefusalKind::NumberTaken,
                  aFile.m_edits.back().m_number,
                  winner->m_digest.Get());
  }
  return Refuse(RefusalKind::NumberNotNext, aFile.m_edits.back().m_number);
}

bool IsEditIdReused(const ApplyConfiguration& aCommand, const FileState& aFile)
{
  return !aCommand.m_edit.Get().empty() &&
         std::any_of(aFile.m_edits.begin(),
                     aFile.m_edits.end(),
                     [&](const AcceptedEdit& aEdit) {
                       return aEdit.m_edit == aCommand.m_edit &&
                              (aEdit.m_number != aCommand.m_number ||
                               aEdit.m_digest != aCommand.m_digest);
                     });
}

/** Makes room for an instance by erasing the one that has been silent longest,
 * if that is at least kMinSilence. */
bool MakeRoomForInstance(State& aState, const Limits& aLimits)
{
  if (aState.m_instances.size() < aLimits.m_instances) {
    return true;
  }
  constexpr Duration kMinSilence = std::chrono::hours(24);
  const auto oldest = std::min_element(
    aState.m_instances.begin(),
    aState.m_instances.end(),
    [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.m_lastSeenAt < aRight.second.m_lastSeenAt;
    });
  if (aState.m_now.Get() - oldest->second.m_lastSeenAt.Get() < kMinSilence) {
    return false;
  }
  aState.m_instances.erase(oldest);
  return true;
}

} // namespace

Result Apply(const ApplyConfiguration& aCommand,
             State& aState,
             const Limits& aLimits)
{
  const std::string& site = aCommand.m_site.Get();
  if ((!site.empty() && !IsValidName(site, aLimits)) ||
      aCommand.m_number == 0 ||
      !IsValidName(aCommand.m_digest.Get(), aLimits) ||
      aCommand.m_edit.Get().size() > aLimits.m_nameBytes) {
    return Refuse(RefusalKind::InvalidArgument);
  }
  if (aCommand.m_text.size() > aLimits.m_configurationBytes) {
    return Refuse(RefusalKind::PayloadTooLarge, aLimits.m_configurationBytes);
  }
  ConfigurationState& table = aState.m_configuration;
  const auto found = table.m_files.find(aCommand.m_site);
  if (found != table.m_files.end()) {
    const FileState& file = found->second;
    if (IsEditIdReused(aCommand, file)) {
      return Refuse(RefusalKind::EditIdReused, file.m_edits.back().m_number);
    }
    const std::uint64_t last = file.m_edits.back().m_number;
    if (aCommand.m_number <= last) {
      return ResultForOldNumber(aCommand, file);
    }
    if (aCommand.m_number != last + 1) {
      return Refuse(RefusalKind::NumberNotNext, last);
    }
  } else if (table.m_files.size() >= aLimits.m_files) {
    return Refuse(RefusalKind::LimitReached, aLimits.m_files);
  }
  // The first edit of a file may have any number, so that operators can
  // continue their numbering when a system is set up again.
  FileState& file = table.m_files[aCommand.m_site];
  table.m_revision = table.m_revision.Next();
  file.m_text = aCommand.m_text;
  file.m_edits.push_back(AcceptedEdit{ aCommand.m_number,
                                       aCommand.m_digest,
                                       aCommand.m_edit,
                                       table.m_revision,
                                       aState.m_now });
  if (file.m_edits.size() > aLimits.m_editsPerFile) {
    file.m_edits.pop_front();
  }
  return ResultOf(file.m_edits.back());
}

tl::expected<InstanceState*, Refusal> RecordInstance(
  const InstanceIdentity& aIdentity,
  State& aState,
  const Limits& aLimits)
{
  if (!IsValidName(aIdentity.m_instance.Get(), aLimits)) {
    return Refuse(RefusalKind::InvalidArgument);
  }
  auto found = aState.m_instances.find(aIdentity.m_instance);
  if (found == aState.m_instances.end()) {
    if (!MakeRoomForInstance(aState, aLimits)) {
      return Refuse(RefusalKind::LimitReached, aLimits.m_instances);
    }
    found = aState.m_instances.try_emplace(aIdentity.m_instance).first;
    found->second.m_incarnation = aIdentity.m_incarnation;
  }
  InstanceState& instance = found->second;
  const Incarnation firstAlive =
    std::max(instance.m_incarnation, instance.m_firstAlive);
  if (aIdentity.m_incarnation < firstAlive) {
    return Refuse(RefusalKind::DeadIncarnation, firstAlive.Get());
  }
  instance.m_incarnation = aIdentity.m_incarnation;
  instance.m_lastSeenAt = aState.m_now;
  return &instance;
}

Result Apply(const ReportRevision& aCommand,
             State& aState,
             const Limits& aLimits)
{
  if (aCommand.m_dataCentre.Get().size() > aLimits.m_nameBytes) {
    return Refuse(RefusalKind::InvalidArgument);
  }
  if (aCommand.m_revision > aState.m_configuration.m_revision) {
    return Refuse(RefusalKind::UnknownRevision,
                  aState.m_configuration.m_revision.Get());
  }
  const auto recorded = RecordInstance(aCommand.m_identity, aState, aLimits);
  if (!recorded) {
    return tl::unexpected(recorded.error());
  }
  InstanceState& instance = **recorded;
  if (aCommand.m_revision < instance.m_revision) {
    return Refuse(RefusalKind::RevisionWentBack, instance.m_revision.Get());
  }
  instance.m_dataCentre = aCommand.m_dataCentre;
  instance.m_revision = aCommand.m_revision;
  return Done{};
}

} // namespace auburntrestle::ledger::internal
