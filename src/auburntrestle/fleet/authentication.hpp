#ifndef AUBURNTRESTLE_FLEET_AUTHENTICATION_HPP
#define AUBURNTRESTLE_FLEET_AUTHENTICATION_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/fleet/route_configuration.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace auburntrestle::fleet {

/** Why a request is not let in. */
enum class AccessError : std::uint8_t
{
  /** No account holds the key, by a current configuration. */
  Unauthenticated,
  /** No account holds the key, but a newer configuration may have it. */
  Unconfirmed,
};

/** @return the stable name of an error, such as "unauthenticated". */
[[nodiscard]] std::string_view ToString(AccessError aError) noexcept;

/** The account of a request that is let in: nothing if the configuration has no
 * accounts, an empty name if the request needs no account and has none. */
using RequestAccount = std::optional<AccountName>;

/**
 * Decides whether a request of a route is let in.
 *
 * @param aKey the API key; empty if the request has none or several.
 * @param aIsCurrent whether the configuration was confirmed recently.
 */
[[nodiscard]] tl::expected<RequestAccount, AccessError> Authenticate(
  const RouteTable& aRoutes,
  const Route& aRoute,
  std::string_view aKey,
  bool aIsCurrent);

/** Decides whether a call about a batch job is let in. Such a call names a job
 * and a host but no route, so that one without a known key is let in only where
 * jobs can be submitted without a key. */
[[nodiscard]] tl::expected<RequestAccount, AccessError> AuthenticateJobCall(
  const RouteTable& aRoutes,
  std::string_view aHost,
  std::string_view aKey,
  bool aIsCurrent);

} // namespace auburntrestle::fleet

#endif
