#ifndef AUBURNTRESTLE_DAEMON_COORDINATOR_LINK_HPP
#define AUBURNTRESTLE_DAEMON_COORDINATOR_LINK_HPP

#include "auburntrestle/daemon/control_loop.hpp"
#include "auburntrestle/gateway/http.hpp"
#include "auburntrestle/protocol/peer_transport.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace auburntrestle::daemon {

/**
 * Forwards trainers' requests to the instance that runs the coordinator and
 * handles those that other instances have forwarded.
 */
class CoordinatorLink
{
public:
  CoordinatorLink() = default;

  /** Sets the connections; null without peers. */
  void SetTransport(protocol::PeerTransport* aTransport)
  {
    m_transport = aTransport;
  }
  /** Sets the instance that runs the coordinator; empty when unknown. */
  void SetCoordinator(std::optional<InstanceId> aCoordinator)
  {
    m_coordinator = std::move(aCoordinator);
  }

  /** Forwards a request. Refuses it when no coordinator is known or when it has
   * been forwarded before. */
  void Forward(const gateway::HttpRequest& aRequest,
               const std::shared_ptr<gateway::Responder>& aResponder);

  /** Passes a forwarded request to a handler, whose response becomes the reply
   * to the call. */
  static void HandleForwardedRequest(const std::string& aPayload,
                                     protocol::Reply aReply,
                                     const gateway::Handler& aHandler);

private:
  protocol::PeerTransport* m_transport = nullptr;
  std::optional<InstanceId> m_coordinator;
};

} // namespace auburntrestle::daemon

#endif
