#ifndef AUBURNTRESTLE_DAEMON_OPERATOR_API_HPP
#define AUBURNTRESTLE_DAEMON_OPERATOR_API_HPP

#include "auburntrestle/daemon/configuration_api.hpp"
#include "auburntrestle/daemon/control_loop.hpp"
#include "auburntrestle/daemon/gateway_view.hpp"
#include "auburntrestle/daemon/request_relay.hpp"
#include "auburntrestle/daemon/trainer_service.hpp"
#include "auburntrestle/gateway/http.hpp"
#include "auburntrestle/observe/metrics.hpp"
#include "auburntrestle/settings/instance_settings.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace auburntrestle::daemon {

/** The objects that handle operators' requests; all must outlive the
 * interface. */
struct OperatorDependencies
{
  ControlLoop& m_loop;
  RequestRelay& m_relay;
  TrainerService& m_trainers;
  ConfigurationApi& m_configuration;
  PublishedView& m_view;
  observe::Metrics& m_metrics;
  const settings::InstanceSettings& m_settings;
};

/** Handles requests of operators and announcements of backend servers. */
class OperatorApi
{
public:
  /** Handles an announcement or forwards it to the owner; on the control loop.
   */
  using AnnounceHandler =
    std::function<void(registry::Announcement, const std::string&)>;

  /**
   * @param aDrain starts a graceful shutdown; called on the control loop.
   * @param aAnnounce handles an announcement and its body.
   */
  OperatorApi(OperatorDependencies aDependencies,
              std::function<void()> aDrain,
              AnnounceHandler aAnnounce);

  /** Handles an announcement on the control loop. */
  void Announce(registry::Announcement aAnnouncement,
                const std::string& aBody,
                gateway::Responder& aResponder);

  /**
   * Handles an operator's request on a thread of the HTTP server.
   *
   * @return false when the path is unknown.
   */
  bool Handle(const gateway::HttpRequest& aRequest,
              const std::shared_ptr<gateway::Responder>& aResponder);

private:
  bool HandleConfiguration(
    const gateway::HttpRequest& aRequest,
    const std::string& aName,
    const std::shared_ptr<gateway::Responder>& aResponder);
  void SendStatus(gateway::Responder& aResponder);
  void SendBackends(gateway::Responder& aResponder);
  void SendReport(gateway::Responder& aResponder, bool aHtml);
  void SendReadiness(gateway::Responder& aResponder);
  void OnLoop(std::shared_ptr<gateway::Responder> aResponder,
              std::function<void(gateway::Responder&)> aWork);

  OperatorDependencies m_dependencies;
  std::function<void()> m_drain;
  AnnounceHandler m_announce;
};

} // namespace auburntrestle::daemon

#endif
