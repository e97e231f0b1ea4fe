#ifndef AUBURNTRESTLE_DAEMON_GATEWAY_VIEW_HPP
#define AUBURNTRESTLE_DAEMON_GATEWAY_VIEW_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/gateway/published.hpp"
#include "auburntrestle/settings/configuration.hpp"

#include <memory>
#include <set>

namespace auburntrestle::daemon {

/** The state by which HTTP threads refuse requests early. */
struct GatewayView
{
  /** False until this instance may act on its configuration. */
  bool m_ready = false;
  bool m_draining = false;
  /** The configuration in force; never null. */
  std::shared_ptr<const settings::Configuration> m_configuration =
    std::make_shared<settings::Configuration>();
  /** Models and services that live backend servers of any instance offer. */
  std::set<ModelName> m_models;
  std::set<ServiceName> m_services;
  /** Services of which this instance owns a backend server. */
  std::set<ServiceName> m_ownedServices;
};

/** The view shared with the HTTP threads. */
using PublishedView = gateway::Published<GatewayView>;

} // namespace auburntrestle::daemon

#endif
