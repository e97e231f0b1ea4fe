#ifndef AUBURNTRESTLE_FLEET_BACKEND_STATEMENT_HPP
#define AUBURNTRESTLE_FLEET_BACKEND_STATEMENT_HPP

#include "auburntrestle/core/strong_type.hpp"
#include "auburntrestle/http/client.hpp"

#include <functional>
#include <optional>

namespace auburntrestle::fleet {

/** Requests per second. */
using RequestRate = StrongType<struct RequestRateTag, double>;

/** What a backend server states about itself in the head of a response. */
struct BackendStatement
{
  /** The server is leaving and must soon get no new requests. */
  bool m_isDraining = false;
  /** The server states a rate limit that cannot be read; the one that it stated
   * before remains. */
  bool m_hasUnreadableLimit = false;
  /** The rate that it accepts from all instances together; absent if it states
   * no limit. */
  std::optional<RequestRate> m_rateLimit;
};

/** Reads the statement of a backend server, or nothing if another process
 * responded. */
using BackendStatementReader =
  std::function<std::optional<BackendStatement>(const http::ResponseHead&)>;

} // namespace auburntrestle::fleet

#endif
