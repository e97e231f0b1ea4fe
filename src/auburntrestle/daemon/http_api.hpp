#ifndef AUBURNTRESTLE_DAEMON_HTTP_API_HPP
#define AUBURNTRESTLE_DAEMON_HTTP_API_HPP

#include "auburntrestle/daemon/claim_service.hpp"
#include "auburntrestle/daemon/control_loop.hpp"
#include "auburntrestle/daemon/coordinator_link.hpp"
#include "auburntrestle/daemon/edge_relay.hpp"
#include "auburntrestle/daemon/gateway_view.hpp"
#include "auburntrestle/daemon/operator_api.hpp"
#include "auburntrestle/daemon/request_relay.hpp"
#include "auburntrestle/daemon/trainer_service.hpp"
#include "auburntrestle/gateway/http.hpp"
#include "auburntrestle/observe/metrics.hpp"

#include <memory>
#include <string>
#include <vector>

namespace auburntrestle::daemon {

/** The objects that handle HTTP requests; all must outlive the interface. */
struct ApiDependencies
{
  ControlLoop& m_loop;
  EdgeRelay& m_edge;
  ClaimService& m_claims;
  TrainerService& m_trainers;
  CoordinatorLink& m_coordinatorLink;
  OperatorApi& m_operators;
  PublishedView& m_view;
  observe::Metrics& m_metrics;
};

/**
 * The HTTP interface of the daemon. Requests are parsed and checked on the
 * thread that received them and then handled on the control loop.
 */
class HttpApi
{
public:
  explicit HttpApi(ApiDependencies aDependencies);

  /** Handles a request on a thread of the HTTP server. */
  void Handle(const gateway::HttpRequest& aRequest,
              std::shared_ptr<gateway::Responder> aResponder);

private:
  using Segments = std::vector<std::string>;

  void HandleCompletion(const gateway::HttpRequest& aRequest,
                        std::shared_ptr<gateway::Responder> aResponder);
  void HandleService(const gateway::HttpRequest& aRequest,
                     const Segments& aSegments,
                     std::shared_ptr<gateway::Responder> aResponder);
  void HandleTrainer(const gateway::HttpRequest& aRequest,
                     const Segments& aSegments,
                     const std::shared_ptr<gateway::Responder>& aResponder);
  void HandleStep(const gateway::HttpRequest& aRequest,
                  TrainerId aTrainer,
                  const std::shared_ptr<gateway::Responder>& aResponder);
  void HandleBatch(const gateway::HttpRequest& aRequest,
                   const Segments& aSegments,
                   const std::shared_ptr<gateway::Responder>& aResponder);
  void HandleVersion(const gateway::HttpRequest& aRequest,
                     TrainerId aTrainer,
                     const std::shared_ptr<gateway::Responder>& aResponder);
  void HandleAnnouncement(const gateway::HttpRequest& aRequest,
                          std::shared_ptr<gateway::Responder> aResponder);
  void HandleOperator(const gateway::HttpRequest& aRequest,
                      const std::shared_ptr<gateway::Responder>& aResponder);
  void Refuse(gateway::Responder& aResponder,
              ErrorCode aCode,
              std::string_view aMessage);
  [[nodiscard]] std::optional<ErrorCode> CheckTarget(
    const routing::Target& aTarget,
    bool aForwarded) const;
  [[nodiscard]] bool RunsClaimLocally(const ServiceName& aService,
                                      bool aForwarded) const;
  [[nodiscard]] routing::RequestSpec MakeSpec(
    const gateway::HttpRequest& aRequest,
    routing::Target aTarget) const;
  void Submit(routing::RequestSpec aSpec,
              Work aWork,
              WorkHandlers aHandlers,
              bool aForwarded,
              std::shared_ptr<gateway::Responder> aResponder);
  void ForwardToCoordinator(const gateway::HttpRequest& aRequest,
                            std::shared_ptr<gateway::Responder> aResponder,
                            std::function<void()> aHandleLocally);

  ApiDependencies m_dependencies;
};

} // namespace auburntrestle::daemon

#endif
