#include "auburntrestle/registry/registry.hpp"

#include <algorithm>
#include <utility>

namespace auburntrestle::registry {

namespace internal {

// The incarnation of an expired server is kept for this time, so that a delayed
// announcement of a terminated process does not add the server again.
constexpr Duration kTombstoneLifetime = std::chrono::minutes(10);

} // namespace internal

bool BackendRegistry::IsStale(const Announcement& aAnnouncement) const
{
  const auto& id = aAnnouncement.m_backend;
  if (const auto found = m_records.find(id); found != m_records.end()) {
    return aAnnouncement.m_incarnation <
           found->second.m_announcement.m_incarnation;
  }
  const auto tombstone = m_tombstones.find(id);
  if (tombstone == m_tombstones.end()) {
    return false;
  }
  const auto& old = tombstone->second;
  return aAnnouncement.m_incarnation < old.m_incarnation ||
         (old.m_wasLeaving && aAnnouncement.m_incarnation == old.m_incarnation);
}

AnnounceResult BackendRegistry::Announce(const Announcement& aAnnouncement,
                                         Duration aLease,
                                         TimePoint aNow)
{
  if (IsStale(aAnnouncement)) {
    return AnnounceResult::Ignored;
  }
  const auto& id = aAnnouncement.m_backend;
  auto [entry, added] = m_records.try_emplace(id);
  auto& record = entry->second;
  const bool restarted =
    !added && aAnnouncement.m_incarnation > record.m_announcement.m_incarnation;
  if (!added) {
    m_leaseEnds.erase({ record.m_leaseEnd, id });
    UpdateServedCounts(record.m_announcement, -1);
  }
  if (added || restarted) {
    record = BackendRecord{};
    record.m_owned = m_owned.contains(id);
    record.m_ownedSince = aNow;
  }
  Renew(record, aAnnouncement, aLease, aNow);
  UpdateServedCounts(record.m_announcement, 1);
  m_leaseEnds.insert({ record.m_leaseEnd, id });
  m_tombstones.erase(id);
  if (aAnnouncement.m_load) {
    RecordLoad(id, *aAnnouncement.m_load, aNow);
  }
  if (added) {
    return AnnounceResult::Added;
  }
  return restarted ? AnnounceResult::Restarted : AnnounceResult::Renewed;
}

void BackendRegistry::Renew(BackendRecord& aRecord,
                            const Announcement& aAnnouncement,
                            Duration aLease,
                            TimePoint aNow)
{
  const bool wasLeaving =
    aRecord.m_announcement.m_state == BackendState::Leaving &&
    aRecord.m_announcement.m_incarnation == aAnnouncement.m_incarnation &&
    !aRecord.m_announcement.m_backend.Get().empty();
  const auto load = aRecord.m_announcement.m_load;
  aRecord.m_announcement = aAnnouncement;
  aRecord.m_announcement.m_load = load;
  if (wasLeaving) {
    aRecord.m_announcement.m_state = BackendState::Leaving;
  }
  aRecord.m_leaseEnd = aNow + aLease;
}

void BackendRegistry::UpdateServedCounts(const Announcement& aAnnouncement,
                                         int aDelta)
{
  for (const auto& model : aAnnouncement.m_models) {
    if ((m_models[model.m_name] += aDelta) == 0) {
      m_models.erase(model.m_name);
    }
  }
  for (const auto& service : aAnnouncement.m_services) {
    if ((m_services[service] += aDelta) == 0) {
      m_services.erase(service);
    }
  }
}

bool BackendRegistry::RecordLoad(const BackendId& aBackend,
                                 const LoadReport& aLoad,
                                 TimePoint aNow)
{
  const auto found = m_records.find(aBackend);
  if (found == m_records.end()) {
    return false;
  }
  auto& record = found->second;
  const TimePoint measuredAt = aNow - std::max(aLoad.m_age, Duration(0));
  if (record.m_loadMeasuredAt && measuredAt < *record.m_loadMeasuredAt) {
    return false;
  }
  record.m_loadMeasuredAt = measuredAt;
  record.m_announcement.m_load = aLoad;
  return true;
}

void BackendRegistry::RecordVersion(const BackendId& aBackend,
                                    const ModelName& aModel,
                                    WeightVersion aVersion)
{
  const auto found = m_records.find(aBackend);
  if (found == m_records.end()) {
    return;
  }
  for (auto& model : found->second.m_announcement.m_models) {
    if (model.m_name == aModel) {
      model.m_version = aVersion;
    }
  }
}

std::vector<BackendId> BackendRegistry::Expire(TimePoint aNow)
{
  std::vector<BackendId> expired;
  while (!m_leaseEnds.empty() && m_leaseEnds.begin()->first <= aNow) {
    const auto id = m_leaseEnds.begin()->second;
    m_leaseEnds.erase(m_leaseEnds.begin());
    const auto found = m_records.find(id);
    const auto& announcement = found->second.m_announcement;
    UpdateServedCounts(announcement, -1);
    m_tombstones[id] = Tombstone{ announcement.m_incarnation,
                                  announcement.m_state == BackendState::Leaving,
                                  aNow + internal::kTombstoneLifetime };
    m_records.erase(found);
    expired.push_back(id);
  }
  if (!expired.empty()) {
    PurgeTombstones(aNow);
  }
  return expired;
}

void BackendRegistry::PurgeTombstones(TimePoint aNow)
{
  std::erase_if(m_tombstones, [aNow](const auto& aEntry) {
    return aEntry.second.m_expiresAt <= aNow;
  });
}

std::vector<BackendId> BackendRegistry::SetOwned(std::set<BackendId> aOwned,
                                                 TimePoint aNow)
{
  std::vector<BackendId> changed;
  for (auto& [id, record] : m_records) {
    const bool owned = aOwned.contains(id);
    if (owned == record.m_owned) {
      continue;
    }
    record.m_owned = owned;
    record.m_ownedSince = aNow;
    changed.push_back(id);
  }
  m_owned = std::move(aOwned);
  return changed;
}

const BackendRecord* BackendRegistry::Find(const BackendId& aBackend) const
{
  const auto found = m_records.find(aBackend);
  return found == m_records.end() ? nullptr : &found->second;
}

bool BackendRegistry::Serves(const ModelName& aModel) const
{
  return m_models.contains(aModel);
}

bool BackendRegistry::Serves(const ServiceName& aService) const
{
  return m_services.contains(aService);
}

std::vector<BackendId> BackendRegistry::BackendIds() const
{
  std::vector<BackendId> ids;
  ids.reserve(m_records.size());
  for (const auto& entry : m_records) {
    ids.push_back(entry.first);
  }
  return ids;
}

std::vector<BackendView> BackendRegistry::Views(TimePoint aNow) const
{
  std::vector<BackendView> views;
  views.reserve(m_records.size());
  for (const auto& entry : m_records) {
    const auto& record = entry.second;
    BackendView view;
    view.m_announcement = record.m_announcement;
    view.m_leaseLeft = std::max(record.m_leaseEnd - aNow, Duration(0));
    if (record.m_loadMeasuredAt) {
      view.m_loadAge = aNow - *record.m_loadMeasuredAt;
    }
    view.m_owned = record.m_owned;
    views.push_back(std::move(view));
  }
  return views;
}

} // namespace auburntrestle::registry
