#ifndef AUBURNTRESTLE_DAEMON_WEIGHTS_SERVICE_HPP
#define AUBURNTRESTLE_DAEMON_WEIGHTS_SERVICE_HPP

#include "auburntrestle/backend/http_client.hpp"
#include "auburntrestle/daemon/control_loop.hpp"
#include "auburntrestle/daemon/ledger_service.hpp"
#include "auburntrestle/ledger/lease_holder.hpp"
#include "auburntrestle/registry/announcement.hpp"
#include "auburntrestle/settings/configuration.hpp"
#include "auburntrestle/weights/planner.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace auburntrestle::daemon {

/**
 * Loads published weight versions into the engines. Active on the ledger leader
 * while it holds a lease of the ledger; every order contains the fencing number
 * of the lease. Used on the control loop only.
 */
class WeightsService
{
public:
  /** Receives the engines that must not get new work. */
  using ServiceHandler = std::function<void(const std::set<BackendId>&)>;

  WeightsService(ControlLoop& aLoop,
                 backend::HttpClient& aClient,
                 LedgerService& aLedger,
                 ledger::InstanceIdentity aIdentity,
                 ServiceHandler aOutOfService);

  /** Starts or stops when this instance's leadership changes. */
  void HandleLeadership(bool aLeads);
  /** Applies the limits of a new configuration. */
  void Configure(const settings::Configuration& aConfiguration);
  /** Handles the announcement of any engine of the deployment. */
  void HandleAnnouncement(const registry::Announcement& aAnnouncement);
  /** Handles the newest published version of a model. */
  void HandleVersion(const ModelName& aModel, WeightVersion aVersion);
  /** Renews the lease, removes silent engines and runs the planner's timers;
   * called every 100 ms. */
  void Tick();

private:
  struct Engine
  {
    std::string m_address;
    TimePoint m_lastContact;
  };

  void Handle(const weights::Event& aEvent);
  void Execute(const weights::SendOrder& aAction);
  void Execute(const weights::ReadState& aAction);
  void Execute(const weights::SetInService& aAction);
  void RequestLease();
  void HandleLeaseResult(const LedgerResult& aResult, TimePoint aSentAt);
  void RemoveSilentEngines(TimePoint aNow);
  void HandleOrderResult(const weights::SendOrder& aOrder,
                         const backend::CallResult& aResult,
                         const std::string& aBody);
  void HandleStateResponse(const weights::ReadState& aRead,
                           const backend::CallResult& aResult,
                           const std::string& aBody);
  void Call(
    const std::string& aMethod,
    const BackendId& aBackend,
    const std::string& aPath,
    std::string aBody,
    std::function<void(const backend::CallResult&, const std::string&)> aDone);

  ControlLoop& m_loop;
  backend::HttpClient& m_client;
  LedgerService& m_ledger;
  ledger::InstanceIdentity m_identity;
  ServiceHandler m_outOfServiceHandler;
  weights::Planner m_planner;
  ledger::LeaseHolder m_lease;
  bool m_isLeading = false;
  bool m_leaseRequested = false;
  bool m_leaseHeld = false;
  TimePoint m_nextLeaseRequest;
  weights::Goals m_goals;
  std::map<BackendId, Engine> m_engines;
  std::map<BackendId, weights::EngineState> m_states;
  std::set<BackendId> m_outOfService;
};

} // namespace auburntrestle::daemon

#endif
