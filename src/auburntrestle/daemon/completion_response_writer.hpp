#ifndef AUBURNTRESTLE_DAEMON_COMPLETION_RESPONSE_WRITER_HPP
#define AUBURNTRESTLE_DAEMON_COMPLETION_RESPONSE_WRITER_HPP

#include "auburntrestle/core/error.hpp"
#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"
#include "auburntrestle/daemon/work.hpp"
#include "auburntrestle/gateway/http.hpp"

#include <memory>
#include <string>

namespace auburntrestle::daemon {

/** Writes the response to one completion request, at once or as a stream. */
class CompletionResponseWriter
{
public:
  CompletionResponseWriter(std::shared_ptr<gateway::Responder> aResponder,
                           ModelName aModel,
                           bool aStream,
                           std::string aResponseId);

  /** Sends new text, one event for each token, if the response is a stream. */
  void OnText(const TextProgress& aProgress);
  /** Ends the response; a stream ends with the [DONE] marker. */
  void OnCompleted(const GeneratedText& aText, const std::string& aReason);
  /**
   * Reports a failure. A stream that has begun ends with an error event and
   * without the [DONE] marker, so that the caller can tell that it is
   * incomplete.
   */
  void OnFailed(const RequestError& aError, Duration aRetryAfter);

private:
  void EnsureStarted();

  std::shared_ptr<gateway::Responder> m_responder;
  ModelName m_model;
  bool m_stream;
  bool m_started = false;
  std::string m_responseId;
};

} // namespace auburntrestle::daemon

#endif
