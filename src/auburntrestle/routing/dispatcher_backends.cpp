#include "auburntrestle/core/overloaded.hpp"
#include "auburntrestle/routing/dispatcher_core.hpp"

#include <algorithm>
#include <utility>

namespace auburntrestle::routing::internal {

namespace {

// At this interval a median over hundreds of servers is cheap, and a slowed
// server is detected within a few of its tokens.
constexpr Duration kComparisonInterval = std::chrono::milliseconds(200);
// Waiting requests are kept during a short time without backend servers, such
// as a change of owner.
constexpr Duration kEmptyPoolGrace = std::chrono::seconds(5);

} // namespace

void DispatcherCore::MarkDirty(PoolIndex aPool)
{
  if (std::find(m_dirtyPools.begin(), m_dirtyPools.end(), aPool) ==
      m_dirtyPools.end()) {
    m_dirtyPools.push_back(aPool);
  }
}

std::optional<PoolIndex> DispatcherCore::FindPool(const Target& aTarget) const
{
  const auto find = [](const auto& aMap,
                       const auto& aName) -> std::optional<PoolIndex> {
    const auto found = aMap.find(aName);
    if (found == aMap.end()) {
      return std::nullopt;
    }
    return found->second;
  };
  return std::visit(
    Overloaded{
      [&](const ModelName& aName) { return find(m_poolByModel, aName); },
      [&](const ServiceName& aName) { return find(m_poolByService, aName); },
    },
    aTarget);
}

PoolIndex DispatcherCore::FindOrAddPool(const Target& aTarget)
{
  if (const auto found = FindPool(aTarget)) {
    return *found;
  }
  const PoolIndex index = m_pools.size();
  m_pools.emplace_back(aTarget);
  std::visit(
    Overloaded{
      [&](const ModelName& aName) { m_poolByModel[aName] = index; },
      [&](const ServiceName& aName) { m_poolByService[aName] = index; },
    },
    aTarget);
  return index;
}

std::uint32_t DispatcherCore::MaxLimitOf(
  const registry::Announcement& aAnnouncement) const
{
  const auto configured = m_policy.m_admission.m_maxLimit;
  return aAnnouncement.m_capacity == 0
           ? configured
           : std::min(configured, aAnnouncement.m_capacity);
}

std::vector<Membership> DispatcherCore::MembershipsOf(
  const registry::Announcement& aAnnouncement)
{
  std::vector<Membership> memberships;
  for (const auto& model : aAnnouncement.m_models) {
    const Membership membership{ FindOrAddPool(model.m_name), model.m_version };
    const bool listed = std::any_of(memberships.begin(),
                                    memberships.end(),
                                    [&membership](const auto& aOther) {
                                      return aOther.m_pool == membership.m_pool;
                                    });
    // A server that lists a model twice must count once in the pool's totals.
    if (!listed) {
      memberships.push_back(membership);
    }
  }
  for (const auto& service : aAnnouncement.m_services) {
    memberships.push_back({ FindOrAddPool(service), WeightVersion(0) });
  }
  return memberships;
}

void DispatcherCore::On(const BackendAnnounced& aEvent)
{
  const auto& announcement = aEvent.m_announcement;
  const auto result =
    m_registry.Announce(announcement, m_policy.m_backendLease, m_now);
  if (result == registry::AnnounceResult::Ignored) {
    return;
  }
  SyncBackend(announcement.m_backend,
              result == registry::AnnounceResult::Restarted);
  if (announcement.m_load) {
    ApplyLoad(announcement.m_backend);
  }
}

void DispatcherCore::On(const LoadReported& aEvent)
{
  if (m_registry.RecordLoad(aEvent.m_backend, aEvent.m_load, m_now)) {
    ApplyLoad(aEvent.m_backend);
  }
}

void DispatcherCore::ApplyLoad(const BackendId& aId)
{
  const auto found = m_backendById.find(aId);
  const auto* record = m_registry.Find(aId);
  if (found == m_backendById.end() || record == nullptr ||
      !record->m_announcement.m_load) {
    return;
  }
  const auto& load = *record->m_announcement.m_load;
  auto& backend = m_backends[found->second];
  backend.m_reportedLoad = std::uint64_t{ load.m_running } + load.m_waiting;
  backend.m_limit.RecordLoad(load, m_now);
  const auto own = static_cast<std::uint32_t>(backend.m_used.m_inFlight);
  const auto foreign = load.m_running > own ? load.m_running - own : 0U;
  if (backend.m_awaitsLoadReport &&
      *record->m_loadMeasuredAt > record->m_ownedSince) {
    backend.m_awaitsLoadReport = false;
    backend.m_previousOwnerInFlight = foreign;
  } else {
    // Reports lag behind the attempts that this instance started, so that later
    // reports may only lower the number.
    backend.m_previousOwnerInFlight =
      std::min(backend.m_previousOwnerInFlight, foreign);
  }
  RefreshBackend(found->second);
}

void DispatcherCore::On(const OwnedBackendsChanged& aEvent)
{
  for (const auto& id : m_registry.SetOwned(aEvent.m_owned, m_now)) {
    SyncBackend(id, false);
  }
}

void DispatcherCore::On(const PeerSpeedReported& aEvent)
{
  auto& pool = m_pools[FindOrAddPool(aEvent.m_target)];
  if (aEvent.m_timePerToken > 0.0) {
    pool.m_peerTimePerToken = aEvent.m_timePerToken;
  } else {
    pool.m_peerTimePerToken.reset();
  }
}

void DispatcherCore::SyncBackend(const BackendId& aId, bool aReset)
{
  const auto* record = m_registry.Find(aId);
  const bool owned = record != nullptr && record->m_owned;
  auto found = m_backendById.find(aId);
  if (found == m_backendById.end()) {
    if (!owned) {
      return;
    }
    const auto max = MaxLimitOf(record->m_announcement);
    BackendState added(aId, m_policy.m_admission.m_initialLimit, max);
    BackendIndex index = 0;
    if (m_freeBackends.empty()) {
      index = static_cast<BackendIndex>(m_backends.size());
      m_backends.push_back(std::move(added));
    } else {
      index = m_freeBackends.back();
      m_freeBackends.pop_back();
      m_backends[index] = std::move(added);
    }
    found = m_backendById.emplace(aId, index).first;
  }
  const BackendIndex index = found->second;
  auto& backend = m_backends[index];
  if (owned && !backend.m_isOwned) {
    backend.m_awaitsLoadReport = true;
  }
  backend.m_isOwned = owned;
  backend.m_acceptsWork =
    owned && record->m_announcement.m_state == registry::BackendState::Serving;
  if (record != nullptr) {
    backend.m_address = record->m_announcement.m_address;
    backend.m_limit.SetMax(MaxLimitOf(record->m_announcement));
    if (aReset) {
      backend.m_limit =
        admission::ConcurrencyLimit(m_policy.m_admission.m_initialLimit,
                                    MaxLimitOf(record->m_announcement));
      backend.m_speed = registry::SpeedEstimate();
      backend.m_failures = 0;
      backend.m_pausedUntil.reset();
      backend.m_halfOpen = false;
      backend.m_previousOwnerInFlight = 0;
    }
    SetMemberships(index, MembershipsOf(record->m_announcement));
  }
  RefreshBackend(index);
  ReleaseBackendIfUnused(index);
}

void DispatcherCore::SetMemberships(BackendIndex aBackend,
                                    std::vector<Membership> aNew)
{
  auto& backend = m_backends[aBackend];
  if (backend.m_memberships == aNew) {
    return;
  }
  for (const auto& membership : backend.m_memberships) {
    auto& pool = m_pools[membership.m_pool];
    pool.m_totals -= backend.m_contribution;
    pool.m_slots.Remove(aBackend);
    pool.m_loads.Remove(aBackend);
    pool.m_members.erase(aBackend);
  }
  backend.m_contribution = SlotTotals{};
  backend.m_memberships = std::move(aNew);
}

void DispatcherCore::RefreshBackend(BackendIndex aBackend)
{
  auto& backend = m_backends[aBackend];
  const bool usable = backend.IsUsable();
  SlotTotals contribution;
  if (usable) {
    contribution = backend.m_used;
    contribution.m_limit =
      backend.SlotLimit(m_policy.m_admission.m_initialLimit);
  }
  const bool free = contribution.m_inFlight < contribution.m_limit;
  for (const auto& membership : backend.m_memberships) {
    auto& pool = m_pools[membership.m_pool];
    pool.m_totals -= backend.m_contribution;
    pool.m_totals += contribution;
    if (backend.m_acceptsWork) {
      pool.m_members.insert(aBackend);
    } else {
      pool.m_members.erase(aBackend);
    }
    if (!usable) {
      pool.m_slots.Remove(aBackend);
      pool.m_loads.Remove(aBackend);
      continue;
    }
    pool.m_slots.Set(
      aBackend, membership.m_version, backend.CurrentTier(), free);
    if (IsBaseline()) {
      pool.m_loads.Set(aBackend, membership.m_version, backend.m_reportedLoad);
    }
    if (pool.m_queue.Size() > 0) {
      MarkDirty(membership.m_pool);
    }
  }
  backend.m_contribution = contribution;
}

void DispatcherCore::ReleaseBackendIfUnused(BackendIndex aBackend)
{
  auto& backend = m_backends[aBackend];
  if (backend.m_isOwned || backend.m_used.m_inFlight > 0 ||
      !m_backendById.contains(backend.m_id)) {
    return;
  }
  SetMemberships(aBackend, {});
  m_backendById.erase(backend.m_id);
  m_freeBackends.push_back(aBackend);
}

void DispatcherCore::On(const PolicyChanged& aEvent)
{
  if (!Validate(aEvent.m_policy)) {
    return;
  }
  const bool queueChanged = aEvent.m_policy.m_name != m_policy.m_name;
  std::vector<RequestId> waiting;
  // The policies order the queue differently, so waiting requests are queued
  // again.
  if (queueChanged) {
    for (const auto& entry : m_requests) {
      if (entry.second.m_waiting) {
        waiting.push_back(entry.first);
      }
    }
    std::sort(waiting.begin(), waiting.end());
    for (const auto id : waiting) {
      Dequeue(m_requests.at(id), false);
    }
  }
  m_policy = aEvent.m_policy;
  for (const auto id : waiting) {
    Enqueue(m_requests.at(id), false);
  }
  for (const auto& id : m_registry.BackendIds()) {
    SyncBackend(id, false);
  }
}

void DispatcherCore::On(const DrainRequested& /*aEvent*/)
{
  m_draining = true;
}

void DispatcherCore::On(const Tick& /*aEvent*/)
{
  for (const auto& id : m_registry.Expire(m_now)) {
    SyncBackend(id, false);
  }
  RunTimers();
  if (m_lastComparison && m_now - *m_lastComparison < kComparisonInterval) {
    return;
  }
  m_lastComparison = m_now;
  CompareSpeeds();
  for (auto& pool : m_pools) {
    FailRequestsOfEmptyPool(pool);
  }
}

void DispatcherCore::RunTimers()
{
  while (const auto timer = m_timers.PopDue(m_now)) {
    RunTimer(*timer);
  }
}

void DispatcherCore::RunTimer(const Timer& aTimer)
{
  if (aTimer.m_kind == TimerKind::BackendRetry) {
    const auto index = static_cast<BackendIndex>(aTimer.m_subject);
    auto& backend = m_backends[index];
    if (backend.m_pausedUntil && *backend.m_pausedUntil <= m_now) {
      backend.m_pausedUntil.reset();
      backend.m_halfOpen = backend.m_failures > 0;
      RefreshBackend(index);
    }
    return;
  }
  const auto found = m_requests.find(RequestId(aTimer.m_subject));
  if (found == m_requests.end()) {
    return;
  }
  switch (aTimer.m_kind) {
    case TimerKind::Deadline:
      OnDeadline(found->second);
      break;
    case TimerKind::Hedge:
      OnHedgeTimer(found->second);
      break;
    case TimerKind::Progress:
      OnProgressTimer(found->second, AttemptNumber(aTimer.m_attempt));
      break;
    case TimerKind::BackendRetry:
      break;
  }
}

void DispatcherCore::UpdateTypicalTime(Pool& aPool)
{
  std::vector<double> times;
  times.reserve(aPool.m_members.size());
  for (const auto index : aPool.m_members) {
    if (const auto time = m_backends[index].m_speed.TimePerToken()) {
      times.push_back(*time);
    }
  }
  if (times.empty()) {
    aPool.m_typicalTimePerToken.reset();
    return;
  }
  // The lower median: with two servers, the faster one is the reference.
  const auto middle =
    times.begin() + static_cast<std::ptrdiff_t>((times.size() - 1) / 2);
  std::nth_element(times.begin(), middle, times.end());
  aPool.m_typicalTimePerToken = *middle;
}

void DispatcherCore::CompareSpeeds()
{
  for (auto& pool : m_pools) {
    UpdateTypicalTime(pool);
    pool.m_probeTargets.clear();
  }
  for (BackendIndex index = 0; index < m_backends.size(); ++index) {
    auto& backend = m_backends[index];
    const auto time = backend.m_speed.TimePerToken();
    double slowness = 1.0;
    for (const auto& membership : backend.m_memberships) {
      const auto reference = m_pools[membership.m_pool].ReferenceTimePerToken();
      if (time && reference && *reference > 0.0) {
        slowness = std::max(slowness, *time / *reference);
      }
    }
    backend.SetSlowness(slowness, m_now);
    RefreshBackend(index);
    if (backend.m_probeDue) {
      for (const auto& membership : backend.m_memberships) {
        m_pools[membership.m_pool].m_probeTargets.push_back(index);
      }
    }
  }
}

void DispatcherCore::FailRequestsOfEmptyPool(Pool& aPool)
{
  if (!aPool.m_members.empty() || aPool.m_queue.Size() == 0) {
    aPool.m_emptySince.reset();
    return;
  }
  if (!aPool.m_emptySince) {
    aPool.m_emptySince = m_now;
  }
  if (m_now - *aPool.m_emptySince < kEmptyPoolGrace) {
    return;
  }
  auto ids = aPool.m_queue.Ids();
  std::sort(ids.begin(), ids.end());
  for (const auto id : ids) {
    Fail(m_requests.at(id), ErrorCode::NoBackend, kComparisonInterval);
  }
}

std::vector<registry::BackendView> DispatcherCore::BackendViews(
  TimePoint aNow) const
{
  auto views = m_registry.Views(aNow);
  for (auto& view : views) {
    const auto found = m_backendById.find(view.m_announcement.m_backend);
    if (found == m_backendById.end()) {
      continue;
    }
    const auto& backend = m_backends[found->second];
    view.m_inFlight = static_cast<std::uint32_t>(backend.m_used.m_inFlight);
    view.m_limit = backend.SlotLimit(m_policy.m_admission.m_initialLimit);
    view.m_timePerToken = backend.m_speed.TimePerToken();
    view.m_slowness = backend.m_slowness;
    view.m_failing = backend.m_pausedUntil || backend.m_halfOpen;
  }
  return views;
}

std::optional<double> DispatcherCore::TypicalTimePerToken(
  const Target& aTarget) const
{
  const auto pool = FindPool(aTarget);
  return pool ? m_pools[*pool].m_typicalTimePerToken : std::nullopt;
}

std::size_t DispatcherCore::WaitingCount(admission::RequestClass aClass) const
{
  return m_waitingByClass[static_cast<std::size_t>(aClass)];
}

} // namespace auburntrestle::routing::internal
