#ifndef AUBURNTRESTLE_DAEMON_CONFIGURATION_API_HPP
#define AUBURNTRESTLE_DAEMON_CONFIGURATION_API_HPP

#include "auburntrestle/daemon/configuration_service.hpp"
#include "auburntrestle/daemon/ledger_service.hpp"
#include "auburntrestle/gateway/http.hpp"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace auburntrestle::daemon {

/**
 * The operators' requests on configuration and ledger members. Used on the
 * control loop only.
 */
class ConfigurationApi
{
public:
  using ResponderPointer = std::shared_ptr<gateway::Responder>;

  /** @param aLive returns the live instances. */
  ConfigurationApi(LedgerService& aLedger,
                   ConfigurationService& aService,
                   std::function<std::set<InstanceId>()> aLive);

  void Apply(const std::string& aBody, ResponderPointer aResponder);
  void Show(const std::string& aSite, const ResponderPointer& aResponder);
  void ShowHistory(ResponderPointer aResponder);
  void ShowForce(ResponderPointer aResponder);
  void ShowMembers(ResponderPointer aResponder);
  void ChangeMembers(const std::string& aBody, ResponderPointer aResponder);
  void ShowChange(const tl::expected<void, consensus::RejectionReason>& aResult,
                  const ResponderPointer& aResponder);

private:
  LedgerService& m_ledger;
  ConfigurationService& m_service;
  std::function<std::set<InstanceId>()> m_live;
};

} // namespace auburntrestle::daemon

#endif
