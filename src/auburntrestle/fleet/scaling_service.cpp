#include "auburntrestle/fleet/scaling_service.hpp"

#include "auburntrestle/observe/log.hpp"

#include <algorithm>
#include <utility>

namespace auburntrestle::fleet {

namespace {

using observe::LogLevel;
using observe::LogLine;

constexpr Duration kCheckInterval = std::chrono::milliseconds(500);
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(250);
constexpr Duration kMaxRetryDelay = std::chrono::seconds(2);

Duration RetryDelay(std::uint32_t aFailures)
{
  constexpr std::uint32_t kMaxDoublings = 4;
  return std::min(kMinRetryDelay * (1U << std::min(aFailures, kMaxDoublings)),
                  kMaxRetryDelay);
}

} // namespace

ScalingService::ScalingService(event_loop::EventLoop& aLoop,
                               const InfrastructureProtocol& aProtocol,
                               DutyCaller& aCaller,
                               std::function<const State&()> aGetState,
                               GetDemand aGetDemand,
                               observe::Instruments& aInstruments)
  : m_loop(aLoop)
  , m_protocol(aProtocol)
  , m_caller(aCaller)
  , m_getState(std::move(aGetState))
  , m_getDemand(std::move(aGetDemand))
  , m_instruments(aInstruments)
{
}

void ScalingService::Start()
{
  ++m_epoch;
  m_services.clear();
  RunPeriodicChecks();
}

void ScalingService::Stop()
{
  ++m_epoch;
}

void ScalingService::SetRoutes(std::shared_ptr<const RouteTable> aRoutes)
{
  m_routes = std::move(aRoutes);
}

void ScalingService::RunPeriodicChecks()
{
  if (m_routes) {
    const auto demands = m_getDemand();
    for (const Service& service : m_routes->Configuration().m_services) {
      if (service.m_scaling) {
        const auto found = demands.find(service.m_name);
        Check(service,
              found == demands.end() ? ServiceDemand{} : found->second);
      }
    }
  }
  m_loop.After(kCheckInterval, [this, epoch = m_epoch] {
    if (epoch == m_epoch) {
      RunPeriodicChecks();
    }
  });
}

void ScalingService::Check(const Service& aService,
                           const ServiceDemand& aDemand)
{
  ServiceDemand demand = aDemand;
  demand.m_slotsPerServer = aService.m_engine ? aService.m_engine->m_slots : 1;
  const TimePoint now = MonotonicClock::Now();
  ScaledService& service = m_services[aService.m_name];
  service.m_policy.Observe(
    *aService.m_scaling, CountServers(aService.m_name), demand, now);
  if (service.m_calls > 0 || now < service.m_nextOrderAt) {
    return;
  }
  for (const ScalingOrder& order : service.m_policy.Decide(now)) {
    ++service.m_calls;
    Send(aService.m_name, order);
  }
}

std::map<DataCentreId, ServerCounts> ScalingService::CountServers(
  const ServiceName& aService) const
{
  std::map<DataCentreId, ServerCounts> servers;
  for (const auto& [id, record] : m_getState().Backends()) {
    if (record.m_service != aService) {
      continue;
    }
    ServerCounts& counts = servers[record.m_dataCentre];
    if (record.m_state == BackendState::Serving) {
      ++(record.m_preemptible ? counts.m_preemptible : counts.m_onDemand);
    } else if (record.m_state == BackendState::Leaving &&
               record.m_preemptible) {
      ++counts.m_leavingPreemptible;
    }
  }
  return servers;
}

void ScalingService::Send(const ServiceName& aService,
                          const ScalingOrder& aOrder)
{
  LogLine(LogLevel::Info, "servers_ordered")
    .Add("service", aService)
    .Add("data_centre", aOrder.m_dataCentre)
    .Add("servers", aOrder.m_servers)
    .Add("added", aOrder.m_added)
    .Add("reason", ToString(aOrder.m_reason));
  m_caller.Call(
    [this,
     order =
       ServerOrder{ aService, aOrder.m_dataCentre, false, aOrder.m_servers }](
      const DutyHolder& aHolder) {
      return m_protocol.m_orderRequest(order, aHolder);
    },
    [this, service = aService, order = aOrder, epoch = m_epoch](
      DutyOutcome aOutcome) {
      if (epoch == m_epoch) {
        HandleOutcome(service, order, aOutcome);
      }
    });
}

void ScalingService::HandleOutcome(const ServiceName& aService,
                                   const ScalingOrder& aOrder,
                                   DutyOutcome aOutcome)
{
  m_instruments.Count(observe::counters::kServerOrders, ToString(aOutcome));
  LogLine(LogLevel::Info, "server_order_answered")
    .Add("service", aService)
    .Add("data_centre", aOrder.m_dataCentre)
    .Add("servers", aOrder.m_servers)
    .Add("outcome", ToString(aOutcome));
  ScaledService& service = m_services[aService];
  --service.m_calls;
  const TimePoint now = MonotonicClock::Now();
  switch (aOutcome) {
    case DutyOutcome::Done:
      service.m_failures = 0;
      break;
    case DutyOutcome::Conflict:
      // Also the response to an outdated fencing token. A leader that was
      // replaced learns so from its lease record, so that the order is not
      // repeated for long.
      service.m_policy.RecordRefusal(aOrder, now);
      break;
    case DutyOutcome::RateLimited:
    case DutyOutcome::Failed:
      service.m_policy.RecordFailure(aOrder);
      service.m_nextOrderAt = now + RetryDelay(service.m_failures++);
      break;
  }
}

} // namespace auburntrestle::fleet
