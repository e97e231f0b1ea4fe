#ifndef AUBURNTRESTLE_FLEET_ROUTE_CONFIGURATION_HPP
#define AUBURNTRESTLE_FLEET_ROUTE_CONFIGURATION_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"
#include "auburntrestle/fleet/client_account.hpp"

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace auburntrestle::fleet {

/** The version of a route configuration; the highest one is in force. */
using ConfigurationVersion =
  StrongType<struct ConfigurationVersionTag, std::uint64_t>;

/** How requests of a route may be run and answered. */
enum class RouteKind : std::uint8_t
{
  /** A request may run more than once, so it may be retried and hedged. */
  Idempotent,
  /** A request runs at most once. */
  NonIdempotent,
  /** A response is a stream of events. */
  Streaming,
  /** Requests submit batch jobs. */
  BatchJob,
};

/** A service and its weight among the targets of a route. */
struct RouteTarget
{
  ServiceName m_service;
  std::uint32_t m_weight = 1;
};

/** How the requests of one host and path prefix are handled. */
struct Route
{
  std::string m_name;
  std::string m_host;
  /** Begins and ends with a slash. */
  std::string m_pathPrefix;
  RouteKind m_kind = RouteKind::NonIdempotent;
  /** The maximum time until a request is answered. */
  Duration m_timeout{};
  /** The target response time; a later response is worth less to the caller. */
  Duration m_latencyObjective{};
  /** Rank among routes; 0 is the highest. */
  std::uint32_t m_priority = 0;
  std::vector<RouteTarget> m_targets;
  /** The maximum number of backend servers to which one request is sent. */
  std::uint32_t m_maxAttempts = 1;
  /** A stream may be continued on another backend server. */
  bool m_resumable = false;
  /** Batch jobs: results are due this long after the submission. */
  Duration m_completionObjective{};
  /** Batch jobs: an item may be abandoned this long after the submission. */
  Duration m_itemLifetime{};
  /** Batch jobs: one weight version must generate all events of an item. */
  bool m_singleVersion = false;
  /** Requests need no API key, also if there are client accounts. */
  bool m_public = false;
};

/** The capacity and models of an engine of a service. */
struct EngineSpec
{
  /** Requests that run concurrently. */
  std::uint32_t m_slots = 1;
  /** Size of the cache for prompts and generated tokens, in tokens. */
  std::uint64_t m_cacheTokens = 0;
  std::vector<ModelName> m_models;
};

/** How the number of a service's backend servers may be changed. */
struct ScalingLimits
{
  /** Limits for each data centre, on-demand and preemptible servers together.
   */
  std::uint32_t m_minServers = 0;
  std::uint32_t m_maxServers = 0;
  /** Time from an order until a new server serves. */
  Duration m_bootTime{};
  /** Price of a preemptible server relative to an on-demand one; absent if
   * there are none. */
  std::optional<double> m_preemptiblePrice;
  /** Price of a server's second by data centre; servers run only there. */
  std::map<DataCentreId, double> m_prices;
};

/** A group of interchangeable backend servers. */
struct Service
{
  ServiceName m_name;
  /** Connections that a backend server accepts from all instances together. */
  std::uint32_t m_maxConnections = 0;
  /** Present for services of model engines. */
  std::optional<EngineSpec> m_engine;
  /** Present if servers may be ordered. */
  std::optional<ScalingLimits> m_scaling;
};

/** Limits on the requests and connections of callers. */
struct CallerLimits
{
  std::size_t m_headerBytes = std::size_t{ 16 } * 1024;
  std::size_t m_bodyBytes = std::size_t{ 32 } * 1024 * 1024;
  Duration m_headerTimeout = std::chrono::seconds(3);
  Duration m_idleTimeout = std::chrono::seconds(15);
};

/** All routes and services, as specified by an operator. */
struct RouteConfiguration
{
  ConfigurationVersion m_version;
  std::vector<Route> m_routes;
  std::vector<Service> m_services;
  CallerLimits m_limits;
  /** If there are any, requests of routes that are not public need a key. */
  std::vector<ClientAccount> m_accounts;
};

/** Why a route configuration is invalid. */
enum class ConfigurationFault : std::uint8_t
{
  Unreadable,
  UnknownService,
  DuplicateRoute,
  NoWeight,
  NoTimeout,
  DuplicateKey,
};

/** @return the stable name of a fault, such as "unknown_service". */
[[nodiscard]] std::string_view ToString(ConfigurationFault aFault) noexcept;

/** An invalid route configuration. */
struct ConfigurationError
{
  ConfigurationFault m_fault = ConfigurationFault::Unreadable;
  /** The name of the route, the names of two accounts that share a key, or the
   * reason for Unreadable. */
  std::string m_detail;
};

/** A valid route configuration, indexed for lookups. */
class RouteTable
{
public:
  /** @return the table, or the first fault found. */
  [[nodiscard]] static tl::expected<RouteTable, ConfigurationError> Create(
    RouteConfiguration aConfiguration);

  /** @return the route of a host with the longest prefix of a path, or null. */
  [[nodiscard]] const Route* Match(std::string_view aHost,
                                   std::string_view aPath) const;
  /** @return the service of a name, or null. */
  [[nodiscard]] const Service* FindService(const ServiceName& aName) const;
  /** @return whether a route to the service requires that one weight version
   * generates all events of an item. */
  [[nodiscard]] bool RequiresSingleVersion(const ServiceName& aService) const;
  [[nodiscard]] const AccountTable& Accounts() const noexcept
  {
    return m_accounts;
  }
  /** @return whether a host has a route for batch jobs that needs no key. */
  [[nodiscard]] bool HasPublicJobs(std::string_view aHost) const;
  /** @return the rank of a request: that of its account, or else that of its
   * route; 0 is the highest. */
  [[nodiscard]] std::uint32_t EffectivePriority(
    const Route& aRoute,
    const AccountName& aAccount) const;
  [[nodiscard]] const RouteConfiguration& Configuration() const noexcept
  {
    return m_configuration;
  }

private:
  explicit RouteTable(RouteConfiguration aConfiguration);

  RouteConfiguration m_configuration;
  /** Indices of the routes of a host, longest path prefix first. */
  std::unordered_map<std::string, std::vector<std::size_t>> m_byHost;
  std::map<ServiceName, std::size_t> m_services;
  AccountTable m_accounts;
};

/**
 * Chooses a target of a route by weight.
 *
 * @param aDraw a number drawn uniformly from [0, 1).
 * @return the service, or null when the route has no target.
 */
[[nodiscard]] const ServiceName* ChooseTarget(const Route& aRoute,
                                              double aDraw) noexcept;

} // namespace auburntrestle::fleet

#endif
