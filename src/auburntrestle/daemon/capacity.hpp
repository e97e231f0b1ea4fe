#ifndef AUBURNTRESTLE_DAEMON_CAPACITY_HPP
#define AUBURNTRESTLE_DAEMON_CAPACITY_HPP

#include "auburntrestle/core/time.hpp"
#include "auburntrestle/daemon/instance_choice.hpp"
#include "auburntrestle/membership/membership.hpp"
#include "auburntrestle/routing/dispatcher.hpp"

#include <set>
#include <vector>

namespace auburntrestle::daemon {

/** The models and services that instances of the deployment serve. */
struct OfferedTargets
{
  std::set<ModelName> m_models;
  std::set<ServiceName> m_services;
};

/** @return the name under which a target's capacity is advertised. */
[[nodiscard]] ModelName CapacityName(const routing::Target& aTarget);

/** @return the free slots of owned backend servers for each target that they
 * serve; zero when all are in use. */
[[nodiscard]] std::vector<membership::ModelCapacity> OwnCapacity(
  const routing::Dispatcher& aDispatcher,
  TimePoint aNow);

/** @return the capacity that other instances advertise for a target. */
[[nodiscard]] std::vector<InstanceOffer> OffersFor(
  const routing::Target& aTarget,
  const membership::Membership& aMembers,
  const InstanceId& aSelf,
  const DataCentreId& aDataCentre);

/** Adds the targets that other instances advertise. */
void AddOfferedTargets(const membership::Membership& aMembers,
                       const InstanceId& aSelf,
                       OfferedTargets& aTargets);

/** Adds the targets of advertised capacity. */
void AddTargets(const std::vector<membership::ModelCapacity>& aCapacity,
                OfferedTargets& aTargets);

} // namespace auburntrestle::daemon

#endif
