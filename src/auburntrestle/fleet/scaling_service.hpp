#ifndef AUBURNTRESTLE_FLEET_SCALING_SERVICE_HPP
#define AUBURNTRESTLE_FLEET_SCALING_SERVICE_HPP

#include "auburntrestle/event_loop/event_loop.hpp"
#include "auburntrestle/fleet/duty_caller.hpp"
#include "auburntrestle/fleet/scaling_policy.hpp"
#include "auburntrestle/fleet/state.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace auburntrestle::fleet {

/** The duty of autoscaling at the leader: orders the servers that the policy of
 * each service asks for. */
class ScalingService
{
public:
  using GetDemand = std::function<std::map<ServiceName, ServiceDemand>()>;

  ScalingService(event_loop::EventLoop& aLoop,
                 const InfrastructureProtocol& aProtocol,
                 DutyCaller& aCaller,
                 std::function<const State&()> aGetState,
                 GetDemand aGetDemand,
                 observe::Instruments& aInstruments);

  /** Starts a leadership epoch; the servers in the directory are the baseline.
   */
  void Start();
  void Stop();
  /** @param aRoutes the configuration in force, or null. */
  void SetRoutes(std::shared_ptr<const RouteTable> aRoutes);

private:
  struct ScaledService
  {
    ScalingPolicy m_policy;
    std::size_t m_calls = 0;
    std::uint32_t m_failures = 0;
    /** No order is sent before this time. */
    TimePoint m_nextOrderAt{};
  };

  void RunPeriodicChecks();
  void Check(const Service& aService, const ServiceDemand& aDemand);
  [[nodiscard]] std::map<DataCentreId, ServerCounts> CountServers(
    const ServiceName& aService) const;
  void Send(const ServiceName& aService, const ScalingOrder& aOrder);
  void HandleOutcome(const ServiceName& aService,
                     const ScalingOrder& aOrder,
                     DutyOutcome aOutcome);

  event_loop::EventLoop& m_loop;
  const InfrastructureProtocol& m_protocol;
  DutyCaller& m_caller;
  std::function<const State&()> m_getState;
  GetDemand m_getDemand;
  observe::Instruments& m_instruments;
  std::shared_ptr<const RouteTable> m_routes;
  std::map<ServiceName, ScaledService> m_services;
  /** Leadership epoch; callbacks of an earlier one are ignored. */
  std::uint64_t m_epoch = 0;
};

} // namespace auburntrestle::fleet

#endif
