#include "auburntrestle/fleet/backend_chooser.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace auburntrestle::fleet {

namespace {

/** Weight of the newest sample in the smoothed latency. */
constexpr double kLatencyWeight = 0.3;
/** Latency assumed before the first response, in microseconds. */
constexpr double kUnknownLatency = 25000;
/** Additional cost of a request to another data centre, in microseconds. */
constexpr double kRemoteCost = 2500;
constexpr Duration kRefusalBackoff = std::chrono::milliseconds(100);
constexpr Duration kMinFailureBackoff = std::chrono::milliseconds(250);
constexpr Duration kMaxFailureBackoff = std::chrono::seconds(3);

} // namespace

BackendChooser::BackendChooser(DataCentreId aHome, ChooserLimits aLimits)
  : m_home(std::move(aHome))
  , m_limits(aLimits)
{
}

void BackendChooser::SetBackends(const std::vector<BackendRecord>& aBackends)
{
  std::map<BackendId, Backend> kept;
  for (const auto& record : aBackends) {
    if (record.m_state != BackendState::Serving) {
      continue;
    }
    const auto found = m_backends.find(record.m_id);
    Backend backend;
    if (found != m_backends.end() &&
        found->second.m_record.m_incarnation == record.m_incarnation) {
      backend = found->second;
    }
    backend.m_record = record;
    kept.emplace(record.m_id, std::move(backend));
  }
  m_backends = std::move(kept);
}

const BackendRecord* BackendChooser::Choose(
  const ServiceName& aService,
  const std::set<BackendId>& aExclude,
  TimePoint aNow,
  const std::optional<SoftwareVersion>& aSoftware) const
{
  const Backend* best = nullptr;
  double bestCost = 0;
  bool bestAvoided = false;
  for (const auto& [id, backend] : m_backends) {
    const bool fits = !aSoftware || *aSoftware == backend.m_record.m_software;
    if (backend.m_record.m_service != aService || !fits ||
        backend.m_misdirected || IsDraining(backend) || aExclude.contains(id) ||
        IsFull(backend) || PermitOf(backend) > aNow) {
      continue;
    }
    const double latency =
      backend.m_latency > 0 ? backend.m_latency : kUnknownLatency;
    double cost = latency * (1.0 + backend.m_inFlight);
    cost += backend.m_record.m_dataCentre == m_home ? 0 : kRemoteCost;
    // Avoided backend servers are still better than no response.
    const bool avoided = backend.m_avoidUntil > aNow;
    if (avoided && !m_limits.m_usesAvoided) {
      continue;
    }
    if (best == nullptr || avoided < bestAvoided ||
        (avoided == bestAvoided && cost < bestCost)) {
      best = &backend;
      bestCost = cost;
      bestAvoided = avoided;
    }
  }
  return best == nullptr ? nullptr : &best->m_record;
}

void BackendChooser::RecordSent(const BackendId& aId)
{
  const auto found = m_backends.find(aId);
  if (found != m_backends.end()) {
    ++found->second.m_inFlight;
  }
}

bool BackendChooser::IsFull(const Backend& aBackend) const
{
  if (!m_limits.m_maxSlotShare) {
    return false;
  }
  const double slots = *m_limits.m_maxSlotShare * aBackend.m_record.m_slots;
  return aBackend.m_inFlight >= std::max(std::floor(slots), 1.0);
}

bool BackendChooser::IsDraining(const Backend& aBackend) const
{
  return m_draining != nullptr &&
         m_draining->Contains(aBackend.m_record.Process());
}

TimePoint BackendChooser::PermitOf(const Backend& aBackend) const
{
  return m_rateLimits == nullptr
           ? TimePoint{}
           : m_rateLimits->NextPermit(aBackend.m_record.Process());
}

std::optional<TimePoint> BackendChooser::NextPermit(const ServiceName& aService,
                                                    TimePoint aNow) const
{
  std::optional<TimePoint> next;
  for (const auto& [id, backend] : m_backends) {
    const TimePoint permit = PermitOf(backend);
    if (backend.m_record.m_service == aService && !IsDraining(backend) &&
        permit > aNow && (!next || permit < *next)) {
      next = permit;
    }
  }
  return next;
}

void BackendChooser::DecrementInFlight(Backend& aBackend)
{
  aBackend.m_inFlight -= aBackend.m_inFlight > 0 ? 1 : 0;
}

void BackendChooser::RecordResponse(const BackendId& aId, Duration aLatency)
{
  const auto found = m_backends.find(aId);
  if (found == m_backends.end()) {
    return;
  }
  Backend& backend = found->second;
  DecrementInFlight(backend);
  backend.m_failures = 0;
  backend.m_avoidUntil = TimePoint{};
  const auto latency = static_cast<double>(aLatency.count());
  backend.m_latency =
    backend.m_latency > 0
      ? backend.m_latency + kLatencyWeight * (latency - backend.m_latency)
      : latency;
}

void BackendChooser::RecordCancellation(const BackendId& aId, Duration aWaited)
{
  const auto found = m_backends.find(aId);
  if (found == m_backends.end()) {
    return;
  }
  DecrementInFlight(found->second);
  const auto waited = static_cast<double>(aWaited.count());
  if (waited > found->second.m_latency) {
    found->second.m_latency = waited;
  }
}

void BackendChooser::Avoid(const BackendId& aId, Duration aTime, TimePoint aNow)
{
  const auto found = m_backends.find(aId);
  if (found != m_backends.end()) {
    DecrementInFlight(found->second);
    found->second.m_avoidUntil =
      std::max(found->second.m_avoidUntil, aNow + aTime);
  }
}

void BackendChooser::RecordFailure(const BackendId& aId, TimePoint aNow)
{
  const auto found = m_backends.find(aId);
  if (found == m_backends.end()) {
    return;
  }
  constexpr std::uint32_t kMaxDoublings = 4;
  const auto factor = 1U << std::min(found->second.m_failures, kMaxDoublings);
  ++found->second.m_failures;
  Avoid(aId, std::min(kMinFailureBackoff * factor, kMaxFailureBackoff), aNow);
}

void BackendChooser::RecordRefusal(const BackendId& aId, TimePoint aNow)
{
  Avoid(aId, kRefusalBackoff, aNow);
}

void BackendChooser::RecordMisdirection(const BackendId& aId)
{
  const auto found = m_backends.find(aId);
  if (found != m_backends.end()) {
    DecrementInFlight(found->second);
    found->second.m_misdirected = true;
  }
}

std::optional<Duration> BackendChooser::MedianLatency(
  const ServiceName& aService) const
{
  std::vector<double> latencies;
  for (const auto& [id, backend] : m_backends) {
    if (backend.m_record.m_service == aService && backend.m_latency > 0) {
      latencies.push_back(backend.m_latency);
    }
  }
  if (latencies.empty()) {
    return std::nullopt;
  }
  const auto middle =
    latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
  std::nth_element(latencies.begin(), middle, latencies.end());
  return Duration(static_cast<std::int64_t>(*middle));
}

} // namespace auburntrestle::fleet
