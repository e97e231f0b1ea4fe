#include "auburntrestle/ledger/internal/lease_table.hpp"

#include "auburntrestle/ledger/internal/check.hpp"
#include "auburntrestle/ledger/internal/configuration_table.hpp"

#include <algorithm>

namespace auburntrestle::ledger::internal {

namespace {

bool IsValidDuration(Duration aDuration, const Limits& aLimits)
{
  return aDuration > Duration::zero() &&
         aDuration <= aLimits.m_maxLeaseDuration;
}

LeaseGranted MakeGrant(const LeaseState& aLease)
{
  return LeaseGranted{ aLease.m_fencing,
                       aLease.m_duration,
                       aLease.m_previousDuration };
}

void Extend(LeaseState& aLease, Duration aDuration, LedgerTime aNow)
{
  aLease.m_duration = std::max(aLease.m_duration, aDuration);
  aLease.m_endsAt = std::max(aLease.m_endsAt, After(aNow, aDuration));
}

/** Erases leases that ended long ago if the table is full. */
bool MakeRoomForLease(State& aState, const Limits& aLimits)
{
  auto& leases = aState.m_leases.m_leases;
  if (leases.size() >= aLimits.m_leases) {
    std::erase_if(leases, [&](const auto& aEntry) {
      return After(aEntry.second.m_endsAt, aLimits.m_leaseRetention) <=
             aState.m_now;
    });
  }
  return leases.size() < aLimits.m_leases;
}

/** @return the lease if the sender holds it now, or null. */
LeaseState* FindHeld(const LeaseName& aName,
                     const InstanceIdentity& aHolder,
                     Fencing aFencing,
                     State& aState)
{
  const auto found = aState.m_leases.m_leases.find(aName);
  if (found == aState.m_leases.m_leases.end() ||
      !IsHeld(found->second, aState.m_now) ||
      found->second.m_holder != aHolder ||
      found->second.m_fencing != aFencing) {
    return nullptr;
  }
  return &found->second;
}

} // namespace

bool IsHeld(const LeaseState& aLease, LedgerTime aNow) noexcept
{
  return !aLease.m_released && aNow < aLease.m_endsAt;
}

Result Apply(const AcquireLease& aCommand, State& aState, const Limits& aLimits)
{
  if (!IsValidName(aCommand.m_lease.Get(), aLimits) ||
      !IsValidDuration(aCommand.m_duration, aLimits)) {
    return Refuse(RefusalKind::InvalidArgument);
  }
  const auto recorded = RecordInstance(aCommand.m_holder, aState, aLimits);
  if (!recorded) {
    return tl::unexpected(recorded.error());
  }
  auto& leases = aState.m_leases.m_leases;
  const auto found = leases.find(aCommand.m_lease);
  if (found == leases.end() && !MakeRoomForLease(aState, aLimits)) {
    return Refuse(RefusalKind::LimitReached, aLimits.m_leases);
  }
  LeaseState& lease = leases[aCommand.m_lease];
  if (IsHeld(lease, aState.m_now)) {
    if (lease.m_holder != aCommand.m_holder) {
      return Refuse(RefusalKind::LeaseHeld,
                    lease.m_fencing.Get(),
                    lease.m_holder.m_instance.Get());
    }
    Extend(lease, aCommand.m_duration, aState.m_now);
    return MakeGrant(lease);
  }
  aState.m_leases.m_lastFencing = aState.m_leases.m_lastFencing.Next();
  lease = LeaseState{ aCommand.m_holder,
                      aState.m_leases.m_lastFencing,
                      aCommand.m_duration,
                      lease.m_duration,
                      After(aState.m_now, aCommand.m_duration),
                      false };
  return MakeGrant(lease);
}

Result Apply(const RenewLease& aCommand, State& aState, const Limits& aLimits)
{
  if (!IsValidDuration(aCommand.m_duration, aLimits)) {
    return Refuse(RefusalKind::InvalidArgument);
  }
  LeaseState* lease =
    FindHeld(aCommand.m_lease, aCommand.m_holder, aCommand.m_fencing, aState);
  if (lease == nullptr) {
    return Refuse(RefusalKind::LeaseLost);
  }
  Extend(*lease, aCommand.m_duration, aState.m_now);
  return MakeGrant(*lease);
}

Result Apply(const ReleaseLease& aCommand, State& aState, const Limits&)
{
  LeaseState* lease =
    FindHeld(aCommand.m_lease, aCommand.m_holder, aCommand.m_fencing, aState);
  if (lease != nullptr) {
    lease->m_released = true;
    return Done{};
  }
  // A resent release finds the lease released with the same fencing number.
  const auto found = aState.m_leases.m_leases.find(aCommand.m_lease);
  const bool resent = found != aState.m_leases.m_leases.end() &&
                      found->second.m_released &&
                      found->second.m_holder == aCommand.m_holder &&
                      found->second.m_fencing == aCommand.m_fencing;
  if (resent) {
    return Done{};
  }
  return Refuse(RefusalKind::LeaseLost);
}

} // namespace auburntrestle::ledger::internal
