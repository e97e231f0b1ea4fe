#ifndef AUBURNTRESTLE_FLEET_INSTANCE_SETTINGS_HPP
#define AUBURNTRESTLE_FLEET_INSTANCE_SETTINGS_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"
#include "auburntrestle/fleet/infrastructure_settings.hpp"
#include "auburntrestle/fleet/memory_limits.hpp"
#include "auburntrestle/observe/log.hpp"

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace auburntrestle::fleet {

/** The role of an instance of a fleet. */
enum class InstanceRole : std::uint8_t
{
  /** Serves callers. */
  Entry,
  /** Stores the log, serves operators and backend servers, and runs jobs. */
  Store,
};

/** The settings of an instance, from a TOML file. */
struct FleetSettings
{
  InstanceRole m_role = InstanceRole::Entry;
  std::string m_machine;
  DataCentreId m_dataCentre;
  /** ip:port for callers; entry only. */
  std::string m_callerAddress;
  /** ip:port for readiness probes; entry only. */
  std::string m_readinessAddress;
  /** ip:port for operators and backend servers; store only. */
  std::string m_controlAddress;
  /** ip:port on which metrics are served; empty for none. */
  std::string m_metricsAddress;
  /** ip:port for other instances. */
  std::string m_peerAddress;
  /** ip:port on which the instance listens for peers; differs from
   * m_peerAddress behind a forwarding address. */
  std::string m_peerBindAddress;
  /** Peer addresses of instances that store the log. */
  std::vector<std::string> m_seeds;
  std::string m_sharedKey;
  std::string m_dataFolder;
  bool m_bootstrap = false;
  std::size_t m_toleratedLosses = 1;
  /** Log lines below this level are dropped. */
  observe::LogLevel m_logLevel = observe::LogLevel::Info;
  Duration m_leaseTime = std::chrono::seconds(3);
  Duration m_shutdownTime = std::chrono::seconds(8);
  Duration m_jobRetention = std::chrono::seconds(120);
  /** Jobs of client accounts are ranked; store only. */
  bool m_ranksJobs = false;
  /** Limits on responses of backend servers. */
  ResponseLimits m_responseLimits = ResponseLimitsFor(MachineMemory());
  /** Limits on large requests of callers. */
  RequestLimits m_requestLimits = RequestLimitsFor(MachineMemory());
  /** Limits on the connections of clients. */
  ClientLimits m_clientLimits =
    ClientLimitsFor(MachineMemory(), MaxDescriptors());
  /** The API of the infrastructure. */
  InfrastructureSettings m_infrastructure;
};

/** One fault of a settings file. */
struct SettingsFault
{
  /** The dotted key, or empty for the file. */
  std::string m_key;
  std::string m_problem;
};

/** @return the settings, or all faults found. */
[[nodiscard]] tl::expected<FleetSettings, std::vector<SettingsFault>>
ReadFleetSettings(const std::string& aText);

/** The differences between the settings in force and a changed file. */
struct SettingsChange
{
  /** Dotted keys that are applied while the instance runs. */
  std::vector<std::string> m_applied;
  /** Dotted keys that need a restart. */
  std::vector<std::string> m_needRestart;
};

/** @return the differences, without log.bootstrap, which has an effect at the
 * start only. */
[[nodiscard]] SettingsChange CompareSettings(const FleetSettings& aInForce,
                                             const FleetSettings& aChanged);

} // namespace auburntrestle::fleet

#endif
