#ifndef AUBURNTRESTLE_FLEET_INFRASTRUCTURE_PROTOCOL_HPP
#define AUBURNTRESTLE_FLEET_INFRASTRUCTURE_PROTOCOL_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/fleet/usage.hpp"
#include "auburntrestle/http/message.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace auburntrestle::fleet {

/** The instance that makes a call. */
struct DutyHolder
{
  std::string m_machine;
  Fencing m_fencing;
};

/** The report of a window. */
struct UsageReport
{
  UsageWindow m_window;
  UsageCounts m_counts;
};

/** Sets the number of a service's servers of one kind in a data centre. */
struct ServerOrder
{
  ServiceName m_service;
  DataCentreId m_dataCentre;
  /** The servers may be taken away at short notice, and are cheaper. */
  bool m_preemptible = false;
  std::uint32_t m_servers = 0;
};

/** How a call to the API of the infrastructure ended. */
enum class DutyOutcome : std::uint8_t
{
  Done,
  /** A higher fencing token was seen, or what was ordered is not available. */
  Conflict,
  /** Too many calls in this second. */
  RateLimited,
  /** No response, or an error; the call may be carried out later. */
  Failed,
};

/** @return the stable name of an outcome, such as "done". */
[[nodiscard]] std::string_view ToString(DutyOutcome aOutcome) noexcept;

/** The calls of the infrastructure's API. */
struct InfrastructureProtocol
{
  std::function<http::Request(const UsageReport&, const DutyHolder&)>
    m_usageRequest;
  std::function<http::Request(const ServerOrder&, const DutyHolder&)>
    m_orderRequest;
  std::function<DutyOutcome(const http::Response&)> m_readOutcome;
};

} // namespace auburntrestle::fleet

#endif
