#ifndef AUBURNTRESTLE_FLEET_ANNOUNCEMENT_POLICY_HPP
#define AUBURNTRESTLE_FLEET_ANNOUNCEMENT_POLICY_HPP

#include "auburntrestle/fleet/backend_record.hpp"
#include "auburntrestle/fleet/route_configuration.hpp"

#include <map>

namespace auburntrestle::fleet {

/**
 * Decides whether the leader records an announcement.
 *
 * An announcement of a service that the configuration does not name comes from
 * another writer or is ahead of the configuration. It is not recorded, because
 * a record supersedes earlier processes of its id and at its address. A process
 * whose service was removed from the configuration after it was recorded may
 * still announce its state.
 *
 * @param aRoutes the configuration in force; null if there is none.
 */
[[nodiscard]] bool AcceptsAnnouncement(
  const BackendRecord& aRecord,
  const std::map<BackendId, BackendRecord>& aBackends,
  const RouteTable* aRoutes);

} // namespace auburntrestle::fleet

#endif
