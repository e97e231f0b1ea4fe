#ifndef AUBURNTRESTLE_DAEMON_REQUEST_RELAY_HPP
#define AUBURNTRESTLE_DAEMON_REQUEST_RELAY_HPP

#include "auburntrestle/backend/http_client.hpp"
#include "auburntrestle/daemon/control_loop.hpp"
#include "auburntrestle/daemon/work.hpp"
#include "auburntrestle/routing/dispatcher.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace auburntrestle::observe {
class Metrics;
}

namespace auburntrestle::daemon {

/**
 * Executes the dispatcher's decisions: sends attempts to backend servers, reads
 * their responses and passes them to the handlers of the request. Used on the
 * control loop only.
 */
class RequestRelay
{
public:
  /** All references must outlive the relay. */
  RequestRelay(routing::Dispatcher aDispatcher,
               ControlLoop& aLoop,
               backend::HttpClient& aClient,
               observe::Metrics& aMetrics,
               std::string aInstanceTag);
  RequestRelay(const RequestRelay&) = delete;
  RequestRelay& operator=(const RequestRelay&) = delete;
  ~RequestRelay();

  /**
   * Submits a request. Unless it is cancelled, exactly one of the final
   * handlers is called, possibly before this function returns.
   */
  RequestId Submit(routing::RequestSpec aSpec,
                   Work aWork,
                   WorkHandlers aHandlers);

  /** Cancels a request whose caller has disconnected; no handler is called. */
  void Cancel(RequestId aRequest);

  /** Passes an event to the dispatcher and executes its decisions. */
  void Handle(const routing::Event& aEvent);

  /** @return the dispatcher, for status queries. */
  [[nodiscard]] const routing::Dispatcher& Dispatcher() const noexcept
  {
    return m_dispatcher;
  }

private:
  struct Attempt;
  struct RequestState;

  void ExecutePendingActions();
  void Execute(const routing::StartAttempt& aAction);
  void Execute(const routing::CancelAttempt& aAction);
  void Execute(const routing::SelectAttempt& aAction);
  void Execute(const routing::FinishRequest& aAction);
  void Execute(const routing::FailRequest& aAction);

  [[nodiscard]] backend::HttpCall MakeCall(
    const RequestState& aState,
    const Attempt& aAttempt,
    const routing::StartAttempt& aAction) const;
  [[nodiscard]] backend::CallHandlers MakeHandlers(RequestId aRequest,
                                                   AttemptNumber aAttempt);
  [[nodiscard]] Attempt* FindAttempt(RequestId aRequest,
                                     AttemptNumber aAttempt);
  void OnHeaders(RequestId aRequest, AttemptNumber aAttempt, int aStatus);
  void OnData(RequestId aRequest,
              AttemptNumber aAttempt,
              const std::string& aData);
  void OnDone(RequestId aRequest,
              AttemptNumber aAttempt,
              const backend::CallResult& aResult);
  void HandleTokens(RequestId aRequest,
                    AttemptNumber aAttempt,
                    std::string_view aData);
  void Deliver(RequestId aRequest,
               RequestState& aState,
               const Attempt& aAttempt);
  void FailAttempt(RequestId aRequest,
                   AttemptNumber aAttempt,
                   routing::AttemptFailure aFailure);
  void RecordMetrics(const RequestState& aState,
                     std::string_view aCode,
                     std::string_view aOutcome);

  routing::Dispatcher m_dispatcher;
  ControlLoop& m_loop;
  backend::HttpClient& m_client;
  observe::Metrics& m_metrics;
  std::string m_instanceTag;
  std::uint64_t m_nextRequest = 1;
  std::unordered_map<RequestId, std::unique_ptr<RequestState>> m_requests;
  std::vector<routing::Action> m_actions;
  bool m_executing = false;
};

} // namespace auburntrestle::daemon

#endif
