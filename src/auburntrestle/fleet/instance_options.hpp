#ifndef AUBURNTRESTLE_FLEET_INSTANCE_OPTIONS_HPP
#define AUBURNTRESTLE_FLEET_INSTANCE_OPTIONS_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"
#include "auburntrestle/fleet/route_configuration.hpp"
#include "auburntrestle/observe/instruments.hpp"

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace auburntrestle::fleet {

/** Reads the document of an operator into a valid route table. */
using ConfigurationReader =
  std::function<tl::expected<RouteTable, ConfigurationError>(
    const std::string&)>;

/** What an instance of either role is told by its settings. */
struct InstanceOptions
{
  /** ip:port at which peers reach the instance; also its name. */
  InstanceId m_self;
  /** ip:port on which it listens for peers. */
  std::string m_peerBind;
  /** The name under which operators know the machine. */
  std::string m_machine;
  DataCentreId m_dataCentre;
  /** Peer addresses of instances that keep the log. */
  std::vector<InstanceId> m_seeds;
  std::string m_sharedKey;
  ConfigurationReader m_readConfiguration;
  std::shared_ptr<observe::Instruments> m_instruments =
    std::make_shared<observe::Instruments>();
};

/** What an instance that keeps the log is told besides. */
struct StoreOptions
{
  std::string m_dataFolder;
  /** Set when the whole system starts for the first time. */
  bool m_bootstrap = false;
  /** Machines with a disk that may be lost at the same time. */
  std::size_t m_toleratedLosses = 1;
  /** How long an ended job stays readable after its submission. */
  Duration m_jobRetention = std::chrono::seconds(120);
  /** Least time between the orders of two leaders. */
  Duration m_leaseTime = std::chrono::seconds(3);
};

/** Why an instance could not start. */
struct StartError
{
  std::string m_reason;
};

} // namespace auburntrestle::fleet

#endif
