#ifndef AUBURNTRESTLE_REGISTRY_OWNERSHIP_HPP
#define AUBURNTRESTLE_REGISTRY_OWNERSHIP_HPP

#include "auburntrestle/core/ids.hpp"

#include <optional>
#include <set>
#include <span>

namespace auburntrestle::registry {

/**
 * Selects the owner of a backend server by rendezvous hashing. The result
 * depends only on the set of instances, not on their order, and is the same in
 * every process.
 *
 * @param aInstances the live entry instances of the data centre.
 * @param aBackend the backend server.
 * @return the owner, or nothing when there are no instances.
 */
[[nodiscard]] std::optional<InstanceId> OwnerOf(
  std::span<const InstanceId> aInstances,
  const BackendId& aBackend);

/**
 * @param aInstances the live entry instances of the data centre.
 * @param aBackends the backend servers of the data centre.
 * @param aSelf the instance in question.
 * @return the backend servers that `aSelf` owns.
 */
[[nodiscard]] std::set<BackendId> OwnedBy(
  std::span<const InstanceId> aInstances,
  std::span<const BackendId> aBackends,
  const InstanceId& aSelf);

} // namespace auburntrestle::registry

#endif
