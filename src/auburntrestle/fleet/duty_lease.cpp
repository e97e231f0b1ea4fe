#include "auburntrestle/fleet/duty_lease.hpp"

#include <algorithm>

namespace auburntrestle::fleet {

namespace {

/** Parts of the lease after a record in which calls start, and run. The rest
 * covers what the calls take on the network. */
constexpr int kStartPart = 3;
constexpr int kRunPart = 2;

} // namespace

void DutyLease::Start(BootTime aNow)
{
  m_isFencedOff = false;
  m_proposedAt.reset();
  m_allowedFrom =
    m_lastApplied ? std::max(aNow, *m_lastApplied + m_leaseTime) : aNow;
}

void DutyLease::Stop()
{
  m_allowedFrom.reset();
  m_proposedAt.reset();
}

void DutyLease::RecordCommitted(BootTime aProposedAt)
{
  m_proposedAt = aProposedAt;
}

std::optional<BootTime> DutyLease::AllowedFrom() const
{
  return m_isFencedOff ? std::nullopt : m_allowedFrom;
}

std::optional<BootTime> DutyLease::CallDeadline(BootTime aNow) const
{
  if (!AllowedFrom() || !m_proposedAt || aNow < *m_allowedFrom ||
      aNow > *m_proposedAt + m_leaseTime / kStartPart) {
    return std::nullopt;
  }
  return *m_proposedAt + m_leaseTime / kRunPart;
}

} // namespace auburntrestle::fleet
