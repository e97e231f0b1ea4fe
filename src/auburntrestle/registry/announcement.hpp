#ifndef AUBURNTRESTLE_REGISTRY_ANNOUNCEMENT_HPP
#define AUBURNTRESTLE_REGISTRY_ANNOUNCEMENT_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace auburntrestle::registry {

/** The kind of a backend server. */
enum class BackendKind : std::uint8_t
{
  Engine,
  Service,
};

/** Whether a backend server accepts new work, as it reports itself. */
enum class BackendState : std::uint8_t
{
  Serving,
  Leaving,
};

/** A model that an engine has loaded, and the version of its weights. */
struct ServedModel
{
  ModelName m_name;
  WeightVersion m_version;
  friend bool operator==(const ServedModel&, const ServedModel&) = default;
};

/** The load that a backend server reports about itself. */
struct LoadReport
{
  /** Requests that are being processed. */
  std::uint32_t m_running = 0;
  /** Requests that wait inside the backend server. */
  std::uint32_t m_waiting = 0;
  double m_tokensPerSecond = 0.0;
  /** Share of the KV cache in use, 0 to 1. */
  double m_kvUsed = 0.0;
  /** Time between the measurement and the arrival of the report. */
  Duration m_age{ 0 };
  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

/** The properties that a backend server announces periodically. */
struct Announcement
{
  BackendId m_backend;
  /**
   * Counts the starts of the backend server. Announcements of an older
   * incarnation are ignored.
   */
  Incarnation m_incarnation;
  DataCentreId m_dataCentre;
  /** `ip:port`, or a URL prefix. */
  std::string m_address;
  BackendKind m_kind = BackendKind::Engine;
  std::vector<ServedModel> m_models;
  std::vector<ServiceName> m_services;
  std::string m_role;
  /**
   * Maximum number of requests that it processes concurrently; zero if it is
   * not specified.
   */
  std::uint32_t m_capacity = 0;
  /** Whether it rejects orders with an old fencing number. */
  bool m_checksFencing = false;
  BackendState m_state = BackendState::Serving;
  std::optional<LoadReport> m_load;
  friend bool operator==(const Announcement&, const Announcement&) = default;
};

} // namespace auburntrestle::registry

#endif
