#include "auburntrestle/routing/pool.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace auburntrestle::routing::internal {

namespace {

constexpr double kQuantile = 0.95;
constexpr double kQuantileStep = 0.05;
constexpr std::uint32_t kMinQuantileSamples = 8;
constexpr std::size_t kMinMembersForMedian = 3;

} // namespace

void QuantileEstimate::Record(double aSample) noexcept
{
  ++m_samples;
  if (m_samples <= kMinQuantileSamples) {
    // The maximum of the first samples is the initial estimate.
    m_value = std::max(m_value, aSample);
    return;
  }
  // Steps up and down balance when a share of kQuantile of the samples lies
  // below the estimate.
  const double step = kQuantileStep * std::max(m_value, 1.0);
  m_value += aSample > m_value ? step * kQuantile / (1.0 - kQuantile) / 4.0
                               : -step / 4.0;
}

std::optional<double> QuantileEstimate::Value() const noexcept
{
  if (m_samples < kMinQuantileSamples) {
    return std::nullopt;
  }
  return m_value;
}

Pool::Pool(Target aTarget)
  : m_target(std::move(aTarget))
{
}

bool Pool::IsService() const noexcept
{
  return std::holds_alternative<ServiceName>(m_target);
}

bool Pool::CanStartLong(double aShortShare) const noexcept
{
  const auto limit = m_totals.m_limit;
  if (limit <= 1 || aShortShare <= 0.0) {
    return true;
  }
  const auto wanted = static_cast<std::uint64_t>(
    std::ceil(aShortShare * static_cast<double>(limit)));
  const auto reserved = std::min(wanted, limit - 1);
  return m_totals.m_longInFlight < limit - reserved;
}

bool Pool::IsTrainingDue(double aFloor) const noexcept
{
  if (aFloor <= 0.0 || m_queue.Size(admission::RequestClass::Training) == 0) {
    return false;
  }
  const double slots = aFloor * static_cast<double>(m_totals.m_limit);
  if (slots < 1.0) {
    return m_trainingCredit >= 1.0;
  }
  return static_cast<double>(m_totals.m_trainingInFlight) + 1.0 <= slots;
}

admission::Eligibility Pool::EligibilityOf(admission::RequestClass aClass,
                                           double aShortShare) const
{
  auto version = m_slots.NewestFree(Tier::Normal);
  if (const auto slow = m_slots.NewestFree(Tier::Slow)) {
    // If a server of normal speed has the version, application work waits for
    // it rather than run on a slow server.
    const auto normal = m_slots.Newest(Tier::Normal);
    if (aClass == admission::RequestClass::Training || !normal ||
        *normal < *slow) {
      version = std::max(version, slow);
    }
  }
  admission::Eligibility eligibility;
  eligibility.m_class = aClass;
  eligibility.m_shortVersion = version;
  if (CanStartLong(aShortShare)) {
    eligibility.m_longVersion = version;
  }
  return eligibility;
}

std::optional<double> Pool::ReferenceTimePerToken() const noexcept
{
  if (m_members.size() < kMinMembersForMedian && m_peerTimePerToken) {
    return m_peerTimePerToken;
  }
  return m_typicalTimePerToken;
}

} // namespace auburntrestle::routing::internal
