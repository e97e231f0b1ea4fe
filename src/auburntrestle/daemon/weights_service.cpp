#include "auburntrestle/daemon/weights_service.hpp"

#include "auburntrestle/observe/log.hpp"

#include <nlohmann/json.hpp>

#include <memory>
#include <utility>

namespace auburntrestle::daemon {

namespace internal {

const ledger::LeaseName kWeightsLease{ "weights" };
// A new leader may send no order before the lease of the lost leader has ended,
// and trainers wait for the engines until then. The lease is renewed after a
// third of this time.
constexpr Duration kLeaseDuration = std::chrono::seconds(4);
constexpr Duration kLeaseTimeout = std::chrono::seconds(3);
constexpr Duration kLeaseRetryDelay = std::chrono::milliseconds(500);
constexpr Duration kMaxOrderDuration = std::chrono::seconds(60);
// Tolerates the loss of three announcements at the usual interval of 1 s.
constexpr Duration kEngineTimeout = std::chrono::seconds(5);

weights::PlannerSettings SettingsOf(const settings::Configuration& aSource)
{
  weights::PlannerSettings settings;
  settings.m_maxParallelLoads = aSource.Weights().m_maxParallelLoads;
  settings.m_minServing = aSource.Weights().m_minServing;
  settings.m_maxOrderDuration = kMaxOrderDuration;
  return settings;
}

weights::EngineState StateOf(const registry::Announcement& aAnnouncement)
{
  weights::EngineState state;
  state.m_backend = aAnnouncement.m_backend;
  state.m_incarnation = aAnnouncement.m_incarnation;
  for (const auto& model : aAnnouncement.m_models) {
    state.m_held[weights::WeightKey{ model.m_name, {} }] =
      weights::HeldWeights{ model.m_version, ByteCount() };
  }
  state.m_role = aAnnouncement.m_role;
  state.m_checksFencing = aAnnouncement.m_checksFencing;
  state.m_leaving = aAnnouncement.m_state == registry::BackendState::Leaving;
  state.m_running = aAnnouncement.m_load ? aAnnouncement.m_load->m_running : 0;
  return state;
}

weights::OrderResult ResultOf(const backend::CallResult& aResult)
{
  if (aResult.m_status == backend::CallStatus::ConnectFailed) {
    return weights::OrderResult::NotRun;
  }
  if (aResult.m_status != backend::CallStatus::Complete) {
    return weights::OrderResult::Unknown;
  }
  switch (aResult.m_httpStatus) {
    case 200:
      return weights::OrderResult::Done;
    case 409:
      return weights::OrderResult::StaleFencing;
    case 404:
      return weights::OrderResult::NotRun;
    default:
      return weights::OrderResult::SwapFailed;
  }
}

/** Replaces the models of an announced state by those of a state response. */
bool ReadModels(const std::string& aBody, weights::EngineState& aState)
{
  const auto body = nlohmann::json::parse(aBody, nullptr, false);
  if (!body.is_object() || !body.contains("models") ||
      !body["models"].is_array()) {
    return false;
  }
  aState.m_held.clear();
  for (const auto& model : body["models"]) {
    if (!model.is_object() || !model.contains("name") ||
        !model["name"].is_string()) {
      return false;
    }
    const auto version = model.value("version", std::uint64_t{ 0 });
    const weights::WeightKey key{ ModelName(model["name"].get<std::string>()),
                                  {} };
    aState.m_held[key] =
      weights::HeldWeights{ WeightVersion(version), ByteCount() };
  }
  return true;
}

} // namespace internal

WeightsService::WeightsService(ControlLoop& aLoop,
                               backend::HttpClient& aClient,
                               LedgerService& aLedger,
                               ledger::InstanceIdentity aIdentity,
                               ServiceHandler aOutOfService)
  : m_loop(aLoop)
  , m_client(aClient)
  , m_ledger(aLedger)
  , m_identity(std::move(aIdentity))
  , m_outOfServiceHandler(std::move(aOutOfService))
  , m_planner(
      weights::Planner::Create(internal::SettingsOf(settings::Configuration()))
        .value())
  , m_lease(ledger::DriftBound(), internal::kMaxOrderDuration)
{
}

void WeightsService::HandleLeadership(bool aLeads)
{
  if (m_isLeading == aLeads) {
    return;
  }
  m_isLeading = aLeads;
  if (!aLeads) {
    m_lease.OnLost();
    m_leaseHeld = false;
    Handle(weights::LeaseLost{});
    return;
  }
  m_ledger.Query<std::map<ModelName, WeightVersion>>(
    [](const ledger::StateMachine& aState) { return aState.Versions(); },
    [this](const std::map<ModelName, WeightVersion>& aVersions) {
      for (const auto& [model, version] : aVersions) {
        HandleVersion(model, version);
      }
    });
}

void WeightsService::Configure(const settings::Configuration& aConfiguration)
{
  Handle(weights::SettingsChanged{ internal::SettingsOf(aConfiguration) });
}

void WeightsService::HandleAnnouncement(
  const registry::Announcement& aAnnouncement)
{
  if (aAnnouncement.m_kind != registry::BackendKind::Engine) {
    return;
  }
  m_engines[aAnnouncement.m_backend] =
    Engine{ aAnnouncement.m_address, MonotonicClock::Now() };
  auto state = internal::StateOf(aAnnouncement);
  m_states[aAnnouncement.m_backend] = state;
  Handle(weights::EngineAnnounced{ std::move(state) });
}

void WeightsService::HandleVersion(const ModelName& aModel,
                                   WeightVersion aVersion)
{
  auto& goal = m_goals.m_weights[weights::WeightKey{ aModel, {} }];
  if (aVersion > goal.m_version) {
    goal.m_version = aVersion;
    Handle(weights::GoalsChanged{ m_goals });
  }
}

void WeightsService::Tick()
{
  const auto now = MonotonicClock::Now();
  if (m_leaseHeld && !m_lease.MayAct(now)) {
    m_leaseHeld = false;
    Handle(weights::LeaseLost{});
  }
  const auto renewAt = m_lease.RenewAt();
  const bool due = !m_leaseHeld || (renewAt && now >= *renewAt);
  if (m_isLeading && due && !m_leaseRequested && now >= m_nextLeaseRequest) {
    RequestLease();
  }
  RemoveSilentEngines(now);
  Handle(weights::Tick{});
}

void WeightsService::RequestLease()
{
  m_leaseRequested = true;
  m_nextLeaseRequest = MonotonicClock::Now() + internal::kLeaseRetryDelay;
  m_ledger.Propose(
    ledger::AcquireLease{
      internal::kWeightsLease, m_identity, internal::kLeaseDuration },
    internal::kLeaseTimeout,
    [this, sentAt = MonotonicClock::Now()](const LedgerResult& aResult) {
      m_leaseRequested = false;
      HandleLeaseResult(aResult, sentAt);
    });
}

void WeightsService::HandleLeaseResult(const LedgerResult& aResult,
                                       TimePoint aSentAt)
{
  if (!aResult || !m_isLeading) {
    return;
  }
  const auto& grant = std::get<ledger::LeaseGranted>(*aResult);
  const auto now = MonotonicClock::Now();
  m_lease.OnGranted(grant, internal::kLeaseDuration, aSentAt, now);
  const auto until = m_lease.StopsAt();
  if (!until || !m_lease.MayAct(now)) {
    return;
  }
  if (m_leaseHeld) {
    Handle(weights::LeaseRenewed{ grant.m_fencing, *until });
    return;
  }
  m_leaseHeld = true;
  const bool hadHolder = grant.m_previousDuration > Duration::zero();
  const auto previousEnd =
    hadHolder ? now + ledger::SafeWaitTime(grant.m_previousDuration, {})
              : TimePoint::min();
  observe::LogLine(observe::LogLevel::Info, "weights_lease_acquired")
    .Add("fencing", grant.m_fencing);
  Handle(weights::LeaseAcquired{ grant.m_fencing, *until, previousEnd });
}

void WeightsService::RemoveSilentEngines(TimePoint aNow)
{
  for (auto engine = m_engines.begin(); engine != m_engines.end();) {
    if (aNow - engine->second.m_lastContact > internal::kEngineTimeout) {
      const auto id = engine->first;
      engine = m_engines.erase(engine);
      m_states.erase(id);
      m_outOfService.erase(id);
      Handle(weights::EngineRemoved{ id });
    } else {
      ++engine;
    }
  }
}

void WeightsService::Handle(const weights::Event& aEvent)
{
  std::vector<weights::Action> actions;
  m_planner.Handle(aEvent, MonotonicClock::Now(), actions);
  for (const auto& action : actions) {
    std::visit([this](const auto& aAction) { Execute(aAction); }, action);
  }
}

void WeightsService::Execute(const weights::SetInService& aAction)
{
  const bool changed = aAction.m_inService
                         ? m_outOfService.erase(aAction.m_backend) > 0
                         : m_outOfService.insert(aAction.m_backend).second;
  if (changed) {
    m_outOfServiceHandler(m_outOfService);
  }
}

void WeightsService::Execute(const weights::SendOrder& aAction)
{
  nlohmann::json body{ { "fencing", aAction.m_fencing.Get() } };
  switch (aAction.m_kind) {
    case weights::OrderKind::LoadVersion:
      body["order"] = "load_version";
      break;
    case weights::OrderKind::LoadModel:
      body["order"] = "load_model";
      break;
    case weights::OrderKind::LoadAdapter:
      body["order"] = "load_adapter";
      break;
    case weights::OrderKind::ChangeRole:
      body["order"] = "change_role";
      body["role"] = aAction.m_role;
      break;
    case weights::OrderKind::Unload:
      // The engines' interface has no such order, and no goal requires it.
      return;
  }
  if (aAction.m_kind != weights::OrderKind::ChangeRole) {
    body["model"] = aAction.m_weights.m_model.Get();
    body["version"] = aAction.m_version.Get();
    body["adapter"] = aAction.m_weights.m_adapter;
  }
  observe::LogLine(observe::LogLevel::Info, "order_sent")
    .Add("backend", aAction.m_backend)
    .Add("version", aAction.m_version)
    .Add("fencing", aAction.m_fencing);
  Call("POST",
       aAction.m_backend,
       "v1/orders",
       body.dump(),
       [this, aAction](const backend::CallResult& aResult,
                       const std::string& aBody) {
         HandleOrderResult(aAction, aResult, aBody);
       });
}

void WeightsService::HandleOrderResult(const weights::SendOrder& aOrder,
                                       const backend::CallResult& aResult,
                                       const std::string& aBody)
{
  const auto result = internal::ResultOf(aResult);
  if (result == weights::OrderResult::SwapFailed) {
    const auto body = nlohmann::json::parse(aBody, nullptr, false);
    const auto wait =
      body.is_object() && body.contains("error") && body["error"].is_object()
        ? body["error"].value("retry_after_ms", 0)
        : 0;
    if (wait > 0) {
      Handle(weights::StoreThrottled{ std::chrono::milliseconds(wait) });
    }
    observe::LogLine(observe::LogLevel::Warning, "order_failed")
      .Add("backend", aOrder.m_backend)
      .Add("version", aOrder.m_version);
  }
  Handle(
    weights::OrderResultReceived{ aOrder.m_backend, aOrder.m_order, result });
}

void WeightsService::Execute(const weights::ReadState& aAction)
{
  Call("GET",
       aAction.m_backend,
       "v1/state",
       {},
       [this, aAction](const backend::CallResult& aResult,
                       const std::string& aBody) {
         HandleStateResponse(aAction, aResult, aBody);
       });
}

void WeightsService::HandleStateResponse(const weights::ReadState& aRead,
                                         const backend::CallResult& aResult,
                                         const std::string& aBody)
{
  const auto known = m_states.find(aRead.m_backend);
  const bool complete = aResult.m_status == backend::CallStatus::Complete &&
                        aResult.m_httpStatus == 200;
  if (known != m_states.end() && complete) {
    auto state = known->second;
    if (internal::ReadModels(aBody, state)) {
      Handle(weights::StateReadSucceeded{ aRead.m_read, std::move(state) });
      return;
    }
  }
  Handle(weights::StateReadFailed{ aRead.m_read, aRead.m_backend });
}

void WeightsService::Call(
  const std::string& aMethod,
  const BackendId& aBackend,
  const std::string& aPath,
  std::string aBody,
  std::function<void(const backend::CallResult&, const std::string&)> aDone)
{
  backend::HttpCall call;
  call.m_method = aMethod;
  const auto engine = m_engines.find(aBackend);
  const std::string address =
    engine == m_engines.end() ? "" : engine->second.m_address;
  const bool hasScheme = address.find("://") != std::string::npos;
  call.m_url = (hasScheme ? address : "http://" + address) + "/" + aPath;
  call.m_headers.emplace_back("Content-Type", "application/json");
  call.m_body = std::move(aBody);
  call.m_timeout = std::chrono::duration_cast<std::chrono::milliseconds>(
    internal::kMaxOrderDuration);
  // On a kept connection the library may send an order a second time, which
  // could then arrive after a newer one.
  call.m_newConnection = true;
  auto received = std::make_shared<std::string>();
  backend::CallHandlers handlers;
  handlers.m_onData = [received](const std::string& aData) {
    *received += aData;
  };
  handlers.m_onDone = [this, received, done = std::move(aDone)](
                        const backend::CallResult& aResult) {
    m_loop.Post([received, done, aResult] { done(aResult, *received); });
  };
  m_client.Start(std::move(call), std::move(handlers));
}

} // namespace auburntrestle::daemon
