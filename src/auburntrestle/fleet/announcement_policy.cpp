#include "auburntrestle/fleet/announcement_policy.hpp"

namespace auburntrestle::fleet {

namespace {

/** @return whether both records are of one process of a backend server, at the
 * same address and of the same service. */
bool IsSameServer(const BackendRecord& aLeft, const BackendRecord& aRight)
{
  return aLeft.Process() == aRight.Process() &&
         aLeft.m_service == aRight.m_service &&
         aLeft.m_address == aRight.m_address;
}

} // namespace

bool AcceptsAnnouncement(const BackendRecord& aRecord,
                         const std::map<BackendId, BackendRecord>& aBackends,
                         const RouteTable* aRoutes)
{
  if (aRoutes != nullptr && aRoutes->FindService(aRecord.m_service)) {
    return true;
  }
  const auto found = aBackends.find(aRecord.m_id);
  return found != aBackends.end() && IsSameServer(found->second, aRecord);
}

} // namespace auburntrestle::fleet
