#ifndef AUBURNTRESTLE_DAEMON_POLICY_CONVERSION_HPP
#define AUBURNTRESTLE_DAEMON_POLICY_CONVERSION_HPP

#include "auburntrestle/routing/policy.hpp"
#include "auburntrestle/settings/configuration.hpp"

namespace auburntrestle::daemon {

/** @return the dispatch policy that an operators' configuration describes. */
[[nodiscard]] routing::Policy MakePolicy(
  const settings::Configuration& aConfiguration);

} // namespace auburntrestle::daemon

#endif
