#ifndef AUBURNTRESTLE_ROUTING_ACTION_HPP
#define AUBURNTRESTLE_ROUTING_ACTION_HPP

#include "auburntrestle/core/error.hpp"
#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"

#include <optional>
#include <string>
#include <variant>

namespace auburntrestle::routing {

/** Send the request to a backend server. */
struct StartAttempt
{
  RequestId m_id;
  AttemptNumber m_attempt;
  BackendId m_backend;
  std::string m_address;
  /** Tokens already received; the response continues after them. */
  TokenCount m_resumeFromTokens;
};

/** Stop an attempt; later events of it are dropped. */
struct CancelAttempt
{
  RequestId m_id;
  AttemptNumber m_attempt;
  BackendId m_backend;
};

/**
 * The caller receives the tokens of this attempt from now on, including those
 * of the event that led to this action.
 */
struct SelectAttempt
{
  RequestId m_id;
  AttemptNumber m_attempt;
};

/** The caller's response is complete. */
struct FinishRequest
{
  RequestId m_id;
};

/** The request failed. */
struct FailRequest
{
  RequestId m_id;
  RequestError m_error;
  /** For refusals: how long the caller should wait before it tries again. */
  std::optional<Duration> m_retryAfter;
};

using Action = std::variant<StartAttempt,
                            CancelAttempt,
                            SelectAttempt,
                            FinishRequest,
                            FailRequest>;

} // namespace auburntrestle::routing

#endif
