#include "auburntrestle/ledger/lease_holder.hpp"

#include <algorithm>

namespace auburntrestle::ledger {

namespace internal {

constexpr std::int64_t kMillion = 1'000'000;

} // namespace internal

Duration SafeLeaseTime(Duration aLease, DriftBound aDrift) noexcept
{
  // The local clock may be slow while the leader's clock is fast.
  return Duration(
    aLease.count() / (internal::kMillion + aDrift.m_partsPerMillion) *
      (internal::kMillion - aDrift.m_partsPerMillion) +
    aLease.count() % (internal::kMillion + aDrift.m_partsPerMillion) *
      (internal::kMillion - aDrift.m_partsPerMillion) /
      (internal::kMillion + aDrift.m_partsPerMillion));
}

Duration SafeWaitTime(Duration aSpan, DriftBound aDrift) noexcept
{
  // The local clock may be fast while the other clock is slow; rounds up.
  const std::int64_t slow = internal::kMillion - aDrift.m_partsPerMillion;
  const std::int64_t fast = internal::kMillion + aDrift.m_partsPerMillion;
  return Duration(aSpan.count() / slow * fast +
                  (aSpan.count() % slow * fast + slow - 1) / slow);
}

void LeaseHolder::OnGranted(const LeaseGranted& aGrant,
                            Duration aRequested,
                            TimePoint aSentAt,
                            TimePoint aNow)
{
  if (m_fencing && aGrant.m_fencing < *m_fencing) {
    return;
  }
  const Duration safe = SafeLeaseTime(aRequested, m_drift);
  const TimePoint stopsAt = aSentAt + safe;
  if (m_fencing != aGrant.m_fencing) {
    m_fencing = aGrant.m_fencing;
    m_stopsAt = stopsAt;
    m_renewAt = aSentAt + safe / 3;
    const bool hasPredecessor = aGrant.m_previousDuration > Duration::zero();
    m_unfencedFrom =
      hasPredecessor
        ? aNow +
            SafeWaitTime(aGrant.m_previousDuration + m_maxOrderTime, m_drift)
        : aNow;
    return;
  }
  // Results may arrive out of order; an older one must not shorten the lease.
  m_stopsAt = std::max(m_stopsAt, stopsAt);
  m_renewAt = std::max(m_renewAt, aSentAt + safe / 3);
}

bool LeaseHolder::MayAct(TimePoint aNow) const noexcept
{
  return m_fencing.has_value() && aNow < m_stopsAt;
}

bool LeaseHolder::MayActUnfenced(TimePoint aNow) const noexcept
{
  return MayAct(aNow) && aNow >= m_unfencedFrom;
}

std::optional<Fencing> LeaseHolder::FencingNumber(TimePoint aNow) const noexcept
{
  return MayAct(aNow) ? m_fencing : std::nullopt;
}

std::optional<TimePoint> LeaseHolder::StopsAt() const noexcept
{
  return m_fencing ? std::optional(m_stopsAt) : std::nullopt;
}

std::optional<TimePoint> LeaseHolder::RenewAt() const noexcept
{
  return m_fencing ? std::optional(m_renewAt) : std::nullopt;
}

std::optional<TimePoint> LeaseHolder::UnfencedFrom() const noexcept
{
  return m_fencing ? std::optional(m_unfencedFrom) : std::nullopt;
}

} // namespace auburntrestle::ledger
