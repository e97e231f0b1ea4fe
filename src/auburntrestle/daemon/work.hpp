#ifndef AUBURNTRESTLE_DAEMON_WORK_HPP
#define AUBURNTRESTLE_DAEMON_WORK_HPP

#include "auburntrestle/core/error.hpp"
#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"
#include "auburntrestle/daemon/attempt_stream.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace auburntrestle::daemon {

/** Text generation on an engine. */
struct CompletionWork
{
  ModelName m_model;
  std::string m_prompt;
  TokenCount m_maxTokens;
  /** Text that the caller already has; the engine continues it. */
  GeneratedText m_resume;
};

/** A call of a plain service. */
struct ServiceWork
{
  ServiceName m_service;
  std::string m_method;
  /** Path and query after the service's name, without a leading slash. */
  std::string m_path;
  std::string m_contentType;
  std::string m_body;
  std::optional<IdempotencyKey> m_key;
};

/** The work of a request. */
using Work = std::variant<CompletionWork, ServiceWork>;

/** The complete response of a plain service. */
struct ServiceResponse
{
  int m_status = 200;
  std::string m_contentType;
  std::string m_body;
};

/** Times at which a request reached its stages. */
struct RequestTimes
{
  TimePoint m_arrived;
  std::optional<TimePoint> m_firstDispatch;
  std::optional<TimePoint> m_firstToken;
};

/** New text of a request. */
struct TextProgress
{
  /** All text so far. */
  const GeneratedText& m_text;
  /** The part that had been delivered before. */
  std::size_t m_deliveredBytes = 0;
  TokenCount m_deliveredTokens;
};

/** Receives the progress of a request on the control loop. */
struct WorkHandlers
{
  /** Called with each new piece of text; may be empty. */
  std::function<void(const TextProgress&)> m_onText;
  /** Called once with the complete text and the finish reason. */
  std::function<void(const GeneratedText&, const std::string&)> m_onCompleted;
  /** Called once with the response of a plain service. */
  std::function<void(ServiceResponse)> m_onResponse;
  /** Called once when the request failed, with the delay after which the caller
   * should retry; zero for no advice. */
  std::function<void(const RequestError&, Duration)> m_onFailed;
};

} // namespace auburntrestle::daemon

#endif
