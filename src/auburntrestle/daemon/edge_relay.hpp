#ifndef AUBURNTRESTLE_DAEMON_EDGE_RELAY_HPP
#define AUBURNTRESTLE_DAEMON_EDGE_RELAY_HPP

#include "auburntrestle/backend/http_client.hpp"
#include "auburntrestle/core/random.hpp"
#include "auburntrestle/daemon/control_loop.hpp"
#include "auburntrestle/daemon/instance_choice.hpp"
#include "auburntrestle/daemon/request_relay.hpp"
#include "auburntrestle/daemon/work.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace auburntrestle::daemon {

/** Header of a forwarded request with the forwarding instance. */
constexpr const char* kForwardedHeader = "X-Forwarded-Instance";
/** Header with the class of a forwarded request. */
constexpr const char* kClassHeader = "X-Request-Class";
/** Header with the minimum weight version of a forwarded request. */
constexpr const char* kMinVersionHeader = "X-Min-Version";

/**
 * Dispatches the requests that arrive at this instance: each runs here or is
 * forwarded to another instance that owns suitable backend servers. When that
 * instance is lost, another one continues the text. Used on the control loop
 * only.
 */
class EdgeRelay
{
public:
  /** @param aListOffers lists what other instances offer; called for each
   * choice. */
  EdgeRelay(RequestRelay& aLocalRelay,
            ControlLoop& aLoop,
            backend::HttpClient& aClient,
            InstanceId aSelf,
            std::function<std::vector<InstanceOffer>(const routing::Target&)>
              aListOffers);
  EdgeRelay(const EdgeRelay&) = delete;
  EdgeRelay& operator=(const EdgeRelay&) = delete;
  ~EdgeRelay();

  /**
   * Submits a request. Exactly one final handler is called, unless the request
   * is cancelled.
   * @param aLocalOnly never forwards the request; set for a request that
   * another instance forwarded.
   */
  RequestId Submit(routing::RequestSpec aSpec,
                   Work aWork,
                   WorkHandlers aHandlers,
                   bool aLocalOnly);

  /** Cancels a request whose caller has disconnected. */
  void Cancel(RequestId aRequest);

  /** @return the number of requests that have not ended. */
  [[nodiscard]] std::size_t RequestCount() const noexcept
  {
    return m_requests.size();
  }

private:
  struct RequestState;

  void Dispatch(RequestId aRequest);
  void SubmitLocally(RequestId aRequest, RequestState& aState);
  void Forward(RequestId aRequest,
               RequestState& aState,
               const InstanceOffer& aOffer);
  [[nodiscard]] backend::HttpCall MakeCall(const RequestState& aState,
                                           const InstanceOffer& aOffer) const;
  void OnData(RequestId aRequest,
              std::uint32_t aAttempt,
              const std::string& aData);
  void OnDone(RequestId aRequest,
              std::uint32_t aAttempt,
              const backend::CallResult& aResult);
  void HandleText(RequestState& aState, const std::string& aData);
  void Deliver(RequestState& aState, const GeneratedText& aText);
  void FinishForwarded(RequestId aRequest,
                       RequestState& aState,
                       const backend::CallResult& aResult);
  void RetryOnOtherInstance(RequestId aRequest,
                            const RequestError& aError,
                            Duration aRetryAfter);
  void Fail(RequestId aRequest,
            const RequestError& aError,
            Duration aRetryAfter);
  [[nodiscard]] RequestState* Find(RequestId aRequest, std::uint32_t aAttempt);
  [[nodiscard]] std::unique_ptr<RequestState> Extract(RequestId aRequest);

  RequestRelay& m_localRelay;
  ControlLoop& m_loop;
  backend::HttpClient& m_client;
  InstanceId m_self;
  std::function<std::vector<InstanceOffer>(const routing::Target&)>
    m_listOffers;
  RandomSource m_random;
  std::uint64_t m_nextRequest = 1;
  std::unordered_map<RequestId, std::unique_ptr<RequestState>> m_requests;
  /** Number of unfinished requests that were forwarded to each instance. */
  std::map<InstanceId, std::uint32_t> m_outstanding;
};

} // namespace auburntrestle::daemon

#endif
