#include "auburntrestle/fleet/instance_settings.hpp"

#include "auburntrestle/observe/log.hpp"
#include "auburntrestle/settings/socket_address.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <string_view>
#include <utility>

namespace auburntrestle::fleet {

namespace {

/** A report for each shorter window would cost more than it tells. */
constexpr Duration kMinUsageWindow = std::chrono::seconds(1);

/** Reads values by key from a TOML document and collects all faults. */
class DocumentReader
{
public:
  explicit DocumentReader(const toml::table& aDocument)
    : m_document(aDocument)
  {
  }

  void AddFault(std::string_view aKey, std::string aProblem)
  {
    m_faults.push_back({ std::string(aKey), std::move(aProblem) });
  }

  template<typename Value>
  [[nodiscard]] std::optional<Value> Get(std::string_view aKey, bool aRequired)
  {
    const auto node = m_document.at_path(aKey);
    if (!node) {
      if (aRequired) {
        AddFault(aKey, "missing");
      }
      return std::nullopt;
    }
    auto value = node.value_exact<Value>();
    if (!value) {
      AddFault(aKey, "wrong type");
    }
    return value;
  }

  [[nodiscard]] std::string String(std::string_view aKey, bool aRequired)
  {
    return Get<std::string>(aKey, aRequired).value_or("");
  }

  [[nodiscard]] std::string Address(std::string_view aKey, bool aRequired)
  {
    auto text = String(aKey, aRequired);
    if (!text.empty() && !settings::SocketAddress::Parse(text)) {
      AddFault(aKey, "not ip:port");
    }
    return text;
  }

  void Milliseconds(std::string_view aKey, Duration& aValue)
  {
    constexpr std::int64_t kMax = 86'400'000;
    if (const auto number = Get<std::int64_t>(aKey, false)) {
      if (*number < 0 || *number > kMax) {
        AddFault(aKey, "allowed 0 to 86400000");
      } else {
        aValue = std::chrono::milliseconds(*number);
      }
    }
  }

  void Mebibytes(std::string_view aKey, std::size_t& aBytes)
  {
    constexpr std::int64_t kMax = 4096;
    constexpr std::size_t kMebibyte = std::size_t{ 1024 } * 1024;
    if (const auto number = Get<std::int64_t>(aKey, false)) {
      if (*number < 1 || *number > kMax) {
        AddFault(aKey, "allowed 1 to 4096");
      } else {
        aBytes = static_cast<std::size_t>(*number) * kMebibyte;
      }
    }
  }

  /** Reads a number of things, at least 16. */
  void Count(std::string_view aKey, std::size_t& aValue)
  {
    constexpr std::int64_t kMin = 16;
    if (const auto number = Get<std::int64_t>(aKey, false)) {
      if (*number < kMin) {
        AddFault(aKey, "at least 16");
      } else {
        aValue = static_cast<std::size_t>(*number);
      }
    }
  }

  void Seconds(std::string_view aKey, Duration& aValue)
  {
    constexpr double kMax = 86400;
    const auto node = m_document.at_path(aKey);
    if (!node) {
      return;
    }
    const auto seconds = node.value<double>();
    if (!seconds || *seconds < 0 || *seconds > kMax) {
      AddFault(aKey, "allowed 0 to 86400");
    } else {
      aValue = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(*seconds));
    }
  }

  /** Reads an array of addresses. @param aPort replaces their ports if given.
   */
  [[nodiscard]] std::vector<std::string> Addresses(
    std::string_view aKey,
    std::optional<std::int64_t> aPort)
  {
    std::vector<std::string> addresses;
    const auto* array = m_document.at_path(aKey).as_array();
    if (array == nullptr) {
      AddFault(aKey, "missing or no array");
      return addresses;
    }
    for (const auto& node : *array) {
      const auto text = node.value_exact<std::string>();
      const auto address = settings::SocketAddress::Parse(text.value_or(""));
      if (!address) {
        AddFault(aKey, "an entry is not ip:port");
      } else if (aPort) {
        addresses.push_back(address->Host() + ":" + std::to_string(*aPort));
      } else {
        addresses.push_back(*text);
      }
    }
    return addresses;
  }

  /** Reads a number above zero. */
  void Positive(std::string_view aKey, double& aValue)
  {
    const auto node = m_document.at_path(aKey);
    if (!node) {
      return;
    }
    const auto number = node.value<double>();
    if (!number || !(*number > 0) || !std::isfinite(*number)) {
      AddFault(aKey, "not a number above 0");
    } else {
      aValue = *number;
    }
  }

  /** Reads an array of strings, which may be missing. */
  [[nodiscard]] std::vector<std::string> Strings(std::string_view aKey)
  {
    std::vector<std::string> texts;
    const auto node = m_document.at_path(aKey);
    if (!node) {
      return texts;
    }
    const auto* array = node.as_array();
    if (array == nullptr) {
      AddFault(aKey, "no array");
      return texts;
    }
    for (const auto& entry : *array) {
      if (const auto text = entry.value_exact<std::string>()) {
        texts.push_back(*text);
      } else {
        AddFault(aKey, "an entry is no string");
      }
    }
    return texts;
  }

  [[nodiscard]] std::vector<SettingsFault> ExtractFaults()
  {
    return std::move(m_faults);
  }

private:
  const toml::table& m_document;
  std::vector<SettingsFault> m_faults;
};

/** Reads the limits, whose defaults follow from the machine. */
void ReadLimits(DocumentReader& aReader, FleetSettings& aSettings)
{
  std::size_t memory = MachineMemory();
  aReader.Mebibytes("limits.memory_mb", memory);
  std::size_t descriptors = MaxDescriptors();
  aReader.Count("limits.descriptors", descriptors);
  descriptors = std::min<std::size_t>(descriptors, MaxDescriptors());
  aSettings.m_responseLimits = ResponseLimitsFor(memory);
  aSettings.m_requestLimits = RequestLimitsFor(memory);
  aSettings.m_clientLimits = ClientLimitsFor(memory, descriptors);
  ResponseLimits& responses = aSettings.m_responseLimits;
  aReader.Mebibytes("limits.response_mb", responses.m_responseBytes);
  aReader.Mebibytes("limits.received_mb", responses.m_receivedBytes);
  if (responses.m_receivedBytes < responses.m_responseBytes) {
    aReader.AddFault("limits.received_mb", "less than limits.response_mb");
  }
  RequestLimits& requests = aSettings.m_requestLimits;
  aReader.Mebibytes("limits.request_bodies_mb", requests.m_bodyBytes);
  aReader.Mebibytes("limits.replicated_jobs_mb", requests.m_replicatedJobBytes);
  aReader.Mebibytes("limits.stored_jobs_mb", requests.m_storedJobBytes);
  aReader.Mebibytes("limits.replies_mb", requests.m_replyBytes);
  ClientLimits& clients = aSettings.m_clientLimits;
  aReader.Mebibytes("limits.connections_mb", clients.m_connectionBytes);
  aReader.Count("limits.client_connections", clients.m_connections);
  aReader.Mebibytes("limits.control_bodies_mb", clients.m_controlBodyBytes);
}

void ReadDuties(DocumentReader& aReader, InfrastructureSettings& aSettings)
{
  constexpr auto kKey = "infrastructure.duties";
  for (const auto& duty : aReader.Strings(kKey)) {
    if (duty == "usage_report") {
      aSettings.m_reportsUsage = true;
    } else if (duty == "autoscale") {
      aSettings.m_ordersServers = true;
    } else {
      aReader.AddFault(kKey, "allowed usage_report and autoscale");
    }
  }
}

void ReadInfrastructure(DocumentReader& aReader,
                        InfrastructureSettings& aSettings)
{
  aSettings.m_address = aReader.Address("infrastructure.address", false);
  if (aSettings.m_address.empty()) {
    return;
  }
  ReadDuties(aReader, aSettings);
  aReader.Positive("infrastructure.calls_per_second",
                   aSettings.m_callsPerSecond);
  aReader.Seconds("infrastructure.usage_window_seconds",
                  aSettings.m_usageWindow);
  if (aSettings.m_usageWindow < kMinUsageWindow) {
    aReader.AddFault("infrastructure.usage_window_seconds",
                     "allowed 1 to 86400");
  }
  aReader.Seconds("infrastructure.usage_due_seconds", aSettings.m_usageDue);
  aSettings.m_checksFencing =
    aReader.Get<bool>("infrastructure.checks_fencing", false)
      .value_or(aSettings.m_checksFencing);
}

void ReadEntry(DocumentReader& aReader, FleetSettings& aSettings)
{
  aSettings.m_callerAddress = aReader.Address("listen.callers", true);
  aSettings.m_readinessAddress = aReader.Address("listen.readiness", true);
}

void ReadStore(DocumentReader& aReader, FleetSettings& aSettings)
{
  aSettings.m_controlAddress = aReader.Address("listen.control", true);
  aSettings.m_dataFolder = aReader.String("log.data_folder", true);
  aSettings.m_bootstrap =
    aReader.Get<bool>("log.bootstrap", false).value_or(false);
  aSettings.m_ranksJobs =
    aReader.Get<bool>("jobs.ranked", false).value_or(false);
  constexpr std::int64_t kMaxLosses = 3;
  const auto losses =
    aReader.Get<std::int64_t>("log.tolerated_losses", false).value_or(1);
  if (losses < 0 || losses > kMaxLosses) {
    aReader.AddFault("log.tolerated_losses", "allowed 0 to 3");
  } else {
    aSettings.m_toleratedLosses = static_cast<std::size_t>(losses);
  }
}

} // namespace

tl::expected<FleetSettings, std::vector<SettingsFault>> ReadFleetSettings(
  const std::string& aText)
{
  toml::table document;
  try {
    document = toml::parse(aText);
  } catch (const toml::parse_error& error) {
    return tl::make_unexpected(std::vector<SettingsFault>{
      { "",
        "line " + std::to_string(error.source().begin.line) + ": " +
          std::string(error.description()) } });
  }
  DocumentReader reader(document);
  FleetSettings settings;
  const auto role = reader.String("instance.role", true);
  if (role == "store") {
    settings.m_role = InstanceRole::Store;
  } else if (role != "entry") {
    reader.AddFault("instance.role", "allowed \"entry\" or \"store\"");
  }
  if (const auto level = reader.Get<std::string>("logging.level", false)) {
    if (observe::ParseLogLevel(*level)) {
      settings.m_logLevel = *observe::ParseLogLevel(*level);
    } else {
      reader.AddFault("logging.level", "allowed debug, info, warning or error");
    }
  }
  settings.m_machine = reader.String("instance.machine", true);
  settings.m_dataCentre =
    DataCentreId(reader.String("instance.data_centre", true));
  settings.m_peerAddress = reader.Address("listen.peers", true);
  settings.m_peerBindAddress = reader.Address("listen.peers_bind", false);
  if (settings.m_peerBindAddress.empty()) {
    settings.m_peerBindAddress = settings.m_peerAddress;
  }
  settings.m_metricsAddress = reader.Address("listen.metrics", false);
  settings.m_seeds = reader.Addresses(
    "peers.seeds", reader.Get<std::int64_t>("peers.port", false));
  settings.m_sharedKey = reader.String("peers.shared_key", true);
  reader.Milliseconds("timing.lease_ms", settings.m_leaseTime);
  reader.Seconds("timing.shutdown_seconds", settings.m_shutdownTime);
  reader.Seconds("timing.job_retention_seconds", settings.m_jobRetention);
  ReadLimits(reader, settings);
  ReadInfrastructure(reader, settings.m_infrastructure);
  if (settings.m_role == InstanceRole::Store) {
    ReadStore(reader, settings);
  } else {
    ReadEntry(reader, settings);
  }
  auto faults = reader.ExtractFaults();
  if (!faults.empty()) {
    return tl::make_unexpected(std::move(faults));
  }
  return settings;
}

SettingsChange CompareSettings(const FleetSettings& aInForce,
                               const FleetSettings& aChanged)
{
  SettingsChange change;
  const auto compare = [&](std::vector<std::string>& aKeys,
                           const char* aKey,
                           const auto& aMember) {
    if (aInForce.*aMember != aChanged.*aMember) {
      aKeys.emplace_back(aKey);
    }
  };
  compare(change.m_applied, "logging.level", &FleetSettings::m_logLevel);
  compare(change.m_applied, "peers.seeds", &FleetSettings::m_seeds);
  auto& restart = change.m_needRestart;
  compare(restart, "instance.role", &FleetSettings::m_role);
  compare(restart, "instance.machine", &FleetSettings::m_machine);
  compare(restart, "instance.data_centre", &FleetSettings::m_dataCentre);
  compare(restart, "listen.callers", &FleetSettings::m_callerAddress);
  compare(restart, "listen.readiness", &FleetSettings::m_readinessAddress);
  compare(restart, "listen.control", &FleetSettings::m_controlAddress);
  compare(restart, "listen.metrics", &FleetSettings::m_metricsAddress);
  compare(restart, "listen.peers", &FleetSettings::m_peerAddress);
  compare(restart, "listen.peers_bind", &FleetSettings::m_peerBindAddress);
  compare(restart, "peers.shared_key", &FleetSettings::m_sharedKey);
  compare(restart, "log.data_folder", &FleetSettings::m_dataFolder);
  compare(restart, "log.tolerated_losses", &FleetSettings::m_toleratedLosses);
  compare(restart, "timing.lease_ms", &FleetSettings::m_leaseTime);
  compare(restart, "timing.shutdown_seconds", &FleetSettings::m_shutdownTime);
  compare(
    restart, "timing.job_retention_seconds", &FleetSettings::m_jobRetention);
  compare(restart, "jobs.ranked", &FleetSettings::m_ranksJobs);
  compare(restart, "infrastructure", &FleetSettings::m_infrastructure);
  const bool sameLimits =
    aInForce.m_responseLimits == aChanged.m_responseLimits &&
    aInForce.m_requestLimits == aChanged.m_requestLimits &&
    aInForce.m_clientLimits == aChanged.m_clientLimits;
  if (!sameLimits) {
    restart.emplace_back("limits");
  }
  return change;
}

} // namespace auburntrestle::fleet
