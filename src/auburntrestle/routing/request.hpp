#ifndef AUBURNTRESTLE_ROUTING_REQUEST_HPP
#define AUBURNTRESTLE_ROUTING_REQUEST_HPP

#include "auburntrestle/admission/policy.hpp"
#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"

#include <cstdint>
#include <optional>
#include <variant>

namespace auburntrestle::routing {

/** What a request asks for: a model of an engine, or a plain service. */
using Target = std::variant<ModelName, ServiceName>;

/** The properties of a request that the dispatcher uses. */
struct RequestSpec
{
  CallerId m_caller;
  admission::RequestClass m_class = admission::RequestClass::Application;
  Target m_target;
  /** Whether the work may run more than once. */
  bool m_idempotent = true;
  /** The key of non-idempotent work; the dispatcher does not interpret it. */
  std::optional<IdempotencyKey> m_key;
  /** Length of the prompt, or an estimate of it. */
  TokenCount m_promptLength;
  /** Equal for requests whose prompts begin with the same text. */
  std::optional<std::uint64_t> m_prefixHash;
  /** Maximum output; zero if the caller set none. */
  TokenCount m_maxTokens;
  /** Time after which the caller no longer needs the response. */
  std::optional<TimePoint> m_deadline;
  /** Requests with an equal value prefer the same backend server. It takes
   * precedence over the prefix hash. */
  std::optional<std::uint64_t> m_affinity;
  /** The oldest weight version that may produce the response. */
  std::optional<WeightVersion> m_minVersion;
  /** Whether a partial response can be continued on another backend server. */
  bool m_resumable = true;
  /**
   * Tokens that the caller has already received, if another instance began the
   * response.
   */
  TokenCount m_resumeFromTokens;
};

/** Why an attempt failed. */
enum class AttemptFailure : std::uint8_t
{
  /** No connection was made, so that no byte reached the backend server. */
  ConnectFailed,
  /** The backend server reported that it did not run the request. */
  Refused,
  /** The connection was lost after sending, before any response. */
  LostBeforeResponse,
  /** The connection was lost after part of the response. */
  LostMidStream,
  TimedOut,
  BadResponse,
  /** The response came from a weight version older than the request permits. */
  WrongWeightVersion,
};

} // namespace auburntrestle::routing

#endif
