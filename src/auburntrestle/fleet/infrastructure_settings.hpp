#ifndef AUBURNTRESTLE_FLEET_INFRASTRUCTURE_SETTINGS_HPP
#define AUBURNTRESTLE_FLEET_INFRASTRUCTURE_SETTINGS_HPP

#include "auburntrestle/core/time.hpp"

#include <string>

namespace auburntrestle::fleet {

/** How the leader calls the API of the infrastructure; such calls are made by
 * one instance at a time. */
struct InfrastructureSettings
{
  /** ip:port of the API; empty if there is none. */
  std::string m_address;
  /** The number of requests of each client account is reported. */
  bool m_reportsUsage = false;
  /** Backend servers are ordered. */
  bool m_ordersServers = false;
  /** Calls per second that the API accepts from all instances together. */
  double m_callsPerSecond = 10;
  /** Length of the windows of usage reports. */
  Duration m_usageWindow = std::chrono::seconds(5);
  /** A usage report is due this long after the end of its window. */
  Duration m_usageDue = std::chrono::seconds(10);
  /** The API refuses calls with an outdated fencing token. */
  bool m_checksFencing = true;

  friend bool operator==(const InfrastructureSettings&,
                         const InfrastructureSettings&) = default;
};

} // namespace auburntrestle::fleet

#endif
