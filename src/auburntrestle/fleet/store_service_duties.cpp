#include "auburntrestle/fleet/store_service.hpp"

namespace auburntrestle::fleet {

void StoreService::SetUpDuties()
{
  const auto& settings = m_options.m_infrastructure;
  if (settings.m_address.empty()) {
    return;
  }
  const auto propose = [this](const Command& aCommand,
                              std::function<void(bool)> aCallback) {
    ProposeLocally(aCommand,
                   [callback = std::move(aCallback)](
                     const tl::expected<CommandResult, LinkError>& aResult) {
                     callback(aResult.has_value());
                   });
  };
  m_duties = std::make_unique<DutyCaller>(
    m_loop,
    settings,
    m_store.m_infrastructureProtocol,
    m_store.m_leaseTime,
    m_options.m_machine,
    [this, propose](std::function<void(bool)> aCallback) {
      propose(RecordDutyLease{ m_replica->GetTerm(), m_options.m_machine },
              std::move(aCallback));
    },
    *m_options.m_instruments);
  if (settings.m_reportsUsage) {
    m_usage = std::make_unique<UsageService>(
      m_loop,
      settings,
      m_store.m_infrastructureProtocol,
      m_clock,
      *m_duties,
      [this]() -> const State& { return m_replica->GetState(); },
      propose,
      *m_options.m_instruments);
  }
  if (settings.m_ordersServers) {
    m_scaling = std::make_unique<ScalingService>(
      m_loop,
      m_store.m_infrastructureProtocol,
      *m_duties,
      [this]() -> const State& { return m_replica->GetState(); },
      [this] { return m_runner->Demand(); },
      *m_options.m_instruments);
    m_scaling->SetRoutes(m_routes);
  }
}

void StoreService::StartDuties()
{
  if (m_duties) {
    m_duties->Start(Fencing(m_replica->GetTerm().Get()));
  }
  if (m_usage) {
    m_usage->Start();
  }
  if (m_scaling) {
    m_scaling->Start();
  }
}

void StoreService::StopDuties()
{
  if (m_scaling) {
    m_scaling->Stop();
  }
  if (m_usage) {
    m_usage->Stop();
  }
  if (m_duties) {
    m_duties->Stop();
  }
}

UsageView StoreService::SubmitUsage(const fleet::SubmitUsage& aSubmission)
{
  UsageView view = m_usage ? m_usage->Submit(aSubmission) : UsageView{};
  view.m_term = m_replica->GetTerm();
  return view;
}

} // namespace auburntrestle::fleet
