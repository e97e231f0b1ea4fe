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

/** What the dispatcher needs to know about a request. */
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
  /** Largest output; zero when the caller set none. */
  TokenCount m_maxTokens;
  /** When the caller no longer wants the answer. */
  std::optional<TimePoint> m_deadline;
  /** Requests with an equal value prefer the same backend server. It takes
   * precedence over the prefix hash. */
  std::optional<std::uint64_t> m_affinity;
  /** The oldest weight version that may produce the answer. */
  std::optional<WeightVersion> m_minVersion;
  /** Whether a partial answer can be continued on another backend server. */
  bool m_resumable = true;
  /** Tokens that the caller already has, when another instance began. */
  TokenCount m_resumeFromTokens;
};

/** Why an attempt failed. */
enum class AttemptFailure : std::uint8_t
{
  /** No connection was made, so that no byte reached the backend server. */
  ConnectFailed,
  /** The backend server said that it did not run the request. */
  Refused,
  /** The connection was lost after sending, before any answer. */
  LostBeforeResponse,
  /** The connection was lost after part of the answer. */
  LostMidStream,
  TimedOut,
  BadResponse,
  /** The answer was produced by a weight version that may not produce it. */
  WrongWeightVersion,
};

} // namespace auburntrestle::routing

#endif
