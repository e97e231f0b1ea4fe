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
 * Brings published weight versions to the engines. Runs on the ledger leader
 * under a lease of the ledger, whose fencing number every order carries. Used
 * on the control loop only.
 */
class WeightsService
{
public:
  /** Is told which engines must not receive new work. */
  using ServiceHandler = std::function<void(const std::set<BackendId>&)>;

  WeightsService(ControlLoop& aLoop,
                 backend::HttpClient& aClient,
                 LedgerService& aLedger,
                 ledger::InstanceIdentity aLife,
                 ServiceHandler aOutOfService);

  /** Begins or ends when this instance's leadership changes. */
  void TakeLeadership(bool aLeads);
  /** Takes the limits of a new configuration. */
  void Configure(const settings::Configuration& aConfiguration);
  /** Takes the announcement of any engine of the deployment. */
  void TakeEngine(const registry::Announcement& aAnnouncement);
  /** Takes the newest published version of a model. */
  void TakeVersion(const ModelName& aModel, WeightVersion aVersion);
  /** Renews the lease and repeats what is due; every 100 ms. */
  void Tick();

private:
  struct Engine
  {
    std::string m_address;
    TimePoint m_heard;
  };

  void Handle(const weights::Event& aEvent);
  void Carry(const weights::SendOrder& aAction);
  void Carry(const weights::ReadState& aAction);
  void Carry(const weights::SetInService& aAction);
  void RequestLease();
  void TakeLease(const LedgerResult& aResult, TimePoint aSentAt);
  void ForgetSilentEngines(TimePoint aNow);
  void TakeOrderAnswer(const weights::SendOrder& aOrder,
                       const backend::CallResult& aResult,
                       const std::string& aBody);
  void TakeStateAnswer(const weights::ReadState& aRead,
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
  ledger::InstanceIdentity m_life;
  ServiceHandler m_outOfServiceHandler;
  weights::Planner m_planner;
  ledger::LeaseHolder m_lease;
  bool m_leads = false;
  bool m_leaseAsked = false;
  bool m_leaseHeld = false;
  TimePoint m_nextLease;
  weights::Goals m_goals;
  std::map<BackendId, Engine> m_engines;
  std::map<BackendId, weights::EngineState> m_states;
  std::set<BackendId> m_outOfService;
};

} // namespace auburntrestle::daemon

#endif
