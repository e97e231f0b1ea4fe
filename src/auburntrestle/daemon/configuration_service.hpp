#ifndef AUBURNTRESTLE_DAEMON_CONFIGURATION_SERVICE_HPP
#define AUBURNTRESTLE_DAEMON_CONFIGURATION_SERVICE_HPP

#include "auburntrestle/daemon/control_loop.hpp"
#include "auburntrestle/daemon/ledger_service.hpp"
#include "auburntrestle/ledger/accepted_configuration_store.hpp"
#include "auburntrestle/ledger/restart_gate.hpp"
#include "auburntrestle/membership/membership.hpp"
#include "auburntrestle/settings/configuration.hpp"
#include "auburntrestle/settings/instance_settings.hpp"

#include <functional>
#include <memory>

namespace auburntrestle::daemon {

/** Callbacks of the configuration service; called on the control loop. */
struct ConfigurationListener
{
  /** A configuration has been activated; also called when the gate opens. */
  std::function<void(std::shared_ptr<const settings::Configuration>, Revision)>
    m_onActivated;
  /** The instance may act on its configuration and membership. */
  std::function<void()> m_onOpen;
};

/**
 * Activates accepted configurations on this instance. After a start it keeps
 * the gate closed until a confirmed read or, when no majority can be reached,
 * until this instance has the newest revision of its data centre. Used on the
 * control loop only.
 */
class ConfigurationService
{
public:
  ConfigurationService(const settings::InstanceSettings& aSettings,
                       ledger::AcceptedConfigurationStore aStore,
                       LedgerService& aLedger,
                       ledger::InstanceIdentity aIdentity,
                       ControlLoop& aLoop,
                       ConfigurationListener aListener);

  /** Starts to confirm the stored configuration and to poll for newer ones. */
  void Start();

  /** Stores a configuration of the ledger if it is newer, and activates it once
   * the gate is open. */
  void AcceptConfiguration(const ledger::AcceptedConfiguration& aAccepted);

  /** Updates the live instances and their revisions; null without peers. */
  void HandleMembers(const membership::Membership* aMembers);

  /** @return the revision in force; 0 for the embedded defaults. */
  [[nodiscard]] Revision RevisionInForce() const noexcept { return m_inForce; }
  [[nodiscard]] ledger::GateState Gate() const noexcept
  {
    return m_gate.State();
  }
  /** @return the newest stored files, if any. */
  [[nodiscard]] const std::optional<ledger::AcceptedConfiguration>& Accepted()
    const noexcept
  {
    return m_store.Current();
  }
  [[nodiscard]] const settings::Configuration& Current() const noexcept
  {
    return *m_configuration;
  }

private:
  void Confirm();
  void OpenGateIfAllowed();
  void Activate();
  void ReportRevision();

  InstanceId m_self;
  DataCentreId m_dataCentre;
  settings::SiteName m_site;
  ledger::AcceptedConfigurationStore m_store;
  LedgerService& m_ledger;
  ledger::InstanceIdentity m_identity;
  ControlLoop& m_loop;
  ConfigurationListener m_listener;
  ledger::RestartGate m_gate;
  bool m_open = false;
  Revision m_inForce;
  std::optional<Revision> m_reported;
  bool m_reporting = false;
  std::shared_ptr<const settings::Configuration> m_configuration =
    std::make_shared<settings::Configuration>();
};

} // namespace auburntrestle::daemon

#endif
