#ifndef AUBURNTRESTLE_DAEMON_INTERNAL_CONFIGURATION_QUERY_HPP
#define AUBURNTRESTLE_DAEMON_INTERNAL_CONFIGURATION_QUERY_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/settings/configuration.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace auburntrestle::daemon::internal {

/** A request for the configuration of a site. */
struct ConfigurationQuery
{
  settings::SiteName m_site;
  Revision m_held;
};

/** @return the encoded query. */
[[nodiscard]] std::string EncodeQuery(const ConfigurationQuery& aQuery);
/** @return the query, or nothing if it is unreadable. */
[[nodiscard]] std::optional<ConfigurationQuery> DecodeQuery(
  std::string_view aBytes);

} // namespace auburntrestle::daemon::internal

#endif
