#ifndef AUBURNTRESTLE_FLEET_CLIENT_RESOURCES_HPP
#define AUBURNTRESTLE_FLEET_CLIENT_RESOURCES_HPP

#include "auburntrestle/fleet/memory_limits.hpp"
#include "auburntrestle/http/server_resources.hpp"
#include "auburntrestle/observe/instruments.hpp"

#include <memory>

namespace auburntrestle::fleet {

/** @return the resources that all servers of an instance share, which count and
 * log the clients that give way. */
[[nodiscard]] std::shared_ptr<http::ServerResources> MakeServerResources(
  const ClientLimits& aLimits,
  const std::shared_ptr<observe::Instruments>& aInstruments);

} // namespace auburntrestle::fleet

#endif
