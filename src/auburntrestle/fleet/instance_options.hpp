#ifndef AUBURNTRESTLE_FLEET_INSTANCE_OPTIONS_HPP
#define AUBURNTRESTLE_FLEET_INSTANCE_OPTIONS_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"
#include "auburntrestle/fleet/backend_statement.hpp"
#include "auburntrestle/fleet/infrastructure_protocol.hpp"
#include "auburntrestle/fleet/infrastructure_settings.hpp"
#include "auburntrestle/fleet/memory_limits.hpp"
#include "auburntrestle/fleet/route_configuration.hpp"
#include "auburntrestle/http/client.hpp"
#include "auburntrestle/observe/instruments.hpp"

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace auburntrestle::fleet {

/** Parses an operator's configuration document into a valid route table. */
using ConfigurationReader =
  std::function<tl::expected<RouteTable, ConfigurationError>(
    const std::string&)>;

/** Options of an instance of either role. */
struct InstanceOptions
{
  /** ip:port at which peers reach the instance; also its id. */
  InstanceId m_self;
  /** ip:port on which it listens for peers. */
  std::string m_peerBindAddress;
  /** The name of the machine in requests of operators. */
  std::string m_machine;
  DataCentreId m_dataCentre;
  /** Peer addresses of instances that store the log. */
  std::vector<InstanceId> m_seeds;
  std::string m_sharedKey;
  ConfigurationReader m_readConfiguration;
  BackendStatementReader m_readStatement;
  ResponseLimits m_responseLimits = ResponseLimitsFor(MachineMemory());
  RequestLimits m_requestLimits = RequestLimitsFor(MachineMemory());
  InfrastructureSettings m_infrastructure = {};
  std::shared_ptr<observe::Instruments> m_instruments =
    std::make_shared<observe::Instruments>();
};

/** Further options of an instance that stores the log. */
struct StoreOptions
{
  std::string m_dataFolder;
  /** Set when the whole system starts for the first time. */
  bool m_bootstrap = false;
  /** Machines with a disk that may be lost at the same time. */
  std::size_t m_toleratedLosses = 1;
  /** An ended job stays readable for at least this long after its submission.
   */
  Duration m_jobRetention = std::chrono::seconds(120);
  /** Minimum time between the orders, or the calls to the infrastructure, of
   * two successive leaders. */
  Duration m_leaseTime = std::chrono::seconds(3);
  InfrastructureProtocol m_infrastructureProtocol = {};
  /** See JobRunner::SetRanksJobs. */
  bool m_ranksJobs = false;
};

/** Why an instance could not start. */
struct StartError
{
  std::string m_reason;
};

/** @return the options of the client for backend servers. */
[[nodiscard]] inline http::ClientOptions MakeClientOptions(
  const ResponseLimits& aLimits)
{
  http::ClientOptions options;
  options.m_maxResponseBytes = aLimits.m_responseBytes;
  options.m_maxReceivedBytes = aLimits.m_receivedBytes;
  return options;
}

} // namespace auburntrestle::fleet

#endif
