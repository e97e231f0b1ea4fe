#include "auburntrestle/daemon/operator_api.hpp"

#include "auburntrestle/daemon/report.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace auburntrestle::daemon {

namespace internal {

constexpr const char* kJson = "application/json";
constexpr const char* kText = "text/plain; version=0.0.4";
constexpr const char* kHtml = "text/html; charset=utf-8";

void SendText(gateway::Responder& aResponder,
              int aStatus,
              const char* aType,
              std::string aBody)
{
  gateway::HttpResponse response;
  response.m_status = aStatus;
  response.m_contentType = aType;
  response.m_body = std::move(aBody);
  aResponder.Send(std::move(response));
}

std::int64_t Milliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

nlohmann::json BackendJson(const registry::BackendView& aView)
{
  const auto& announcement = aView.m_announcement;
  nlohmann::json models = nlohmann::json::array();
  for (const auto& model : announcement.m_models) {
    models.push_back(
      { { "name", model.m_name.Get() }, { "version", model.m_version.Get() } });
  }
  nlohmann::json services = nlohmann::json::array();
  for (const auto& service : announcement.m_services) {
    services.push_back(service.Get());
  }
  nlohmann::json entry{
    { "backend", announcement.m_backend.Get() },
    { "incarnation", announcement.m_incarnation.Get() },
    { "data_centre", announcement.m_dataCentre.Get() },
    { "address", announcement.m_address },
    { "kind",
      announcement.m_kind == registry::BackendKind::Engine ? "engine"
                                                           : "service" },
    { "state",
      announcement.m_state == registry::BackendState::Serving ? "serving"
                                                              : "leaving" },
    { "models", std::move(models) },
    { "services", std::move(services) },
    { "lease_left_ms", Milliseconds(aView.m_leaseLeft) },
    { "owned", aView.m_owned },
    { "in_flight", aView.m_inFlight },
    { "limit", aView.m_limit },
    { "slowness", aView.m_slowness },
    { "failing", aView.m_failing }
  };
  if (aView.m_timePerToken) {
    entry["time_per_token_us"] = *aView.m_timePerToken;
  }
  if (aView.m_loadAge) {
    entry["load_age_ms"] = Milliseconds(*aView.m_loadAge);
  }
  return entry;
}

} // namespace internal

OperatorApi::OperatorApi(OperatorDependencies aDependencies,
                         std::function<void()> aDrain,
                         AnnounceHandler aAnnounce)
  : m_dependencies(aDependencies)
  , m_drain(std::move(aDrain))
  , m_announce(std::move(aAnnounce))
{
}

void OperatorApi::Announce(registry::Announcement aAnnouncement,
                           const std::string& aBody,
                           gateway::Responder& aResponder)
{
  m_announce(std::move(aAnnouncement), aBody);
  const auto lease = m_dependencies.m_view.Read([](const GatewayView& aView) {
    return aView.m_configuration->Backends().m_lease;
  });
  internal::SendText(
    aResponder,
    200,
    internal::kJson,
    nlohmann::json{ { "lease_ms", internal::Milliseconds(lease) } }.dump());
}

void OperatorApi::OnLoop(std::shared_ptr<gateway::Responder> aResponder,
                         std::function<void(gateway::Responder&)> aWork)
{
  m_dependencies.m_loop.Post([responder = std::move(aResponder),
                              work = std::move(aWork)] { work(*responder); });
}

bool OperatorApi::Handle(const gateway::HttpRequest& aRequest,
                         const std::shared_ptr<gateway::Responder>& aResponder)
{
  const std::string path = aRequest.m_method + " " + aRequest.m_path;
  if (path == "GET /healthz") {
    internal::SendText(*aResponder, 200, internal::kText, "ok\n");
  } else if (path == "GET /readyz") {
    SendReadiness(*aResponder);
  } else if (path == "GET /metrics") {
    internal::SendText(
      *aResponder, 200, internal::kText, m_dependencies.m_metrics.Serialize());
  } else if (path == "GET /v1/status") {
    OnLoop(aResponder, [this](auto& aResult) { SendStatus(aResult); });
  } else if (path == "GET /v1/backends") {
    OnLoop(aResponder, [this](auto& aResult) { SendBackends(aResult); });
  } else if (path == "GET /v1/report") {
    OnLoop(aResponder, [this](auto& aResult) { SendReport(aResult, false); });
  } else if (path == "GET /report") {
    OnLoop(aResponder, [this](auto& aResult) { SendReport(aResult, true); });
  } else if (path == "POST /v1/drain") {
    OnLoop(aResponder, [this](auto& aResult) {
      m_drain();
      internal::SendText(aResult, 202, internal::kJson, R"({"draining":true})");
    });
  } else {
    return HandleConfiguration(aRequest, path, aResponder);
  }
  return true;
}

bool OperatorApi::HandleConfiguration(
  const gateway::HttpRequest& aRequest,
  const std::string& aName,
  const std::shared_ptr<gateway::Responder>& aResponder)
{
  auto& api = m_dependencies.m_configuration;
  std::function<void()> work;
  if (aName == "POST /v1/config") {
    work = [&api, body = aRequest.m_body, aResponder] {
      api.Apply(body, aResponder);
    };
  } else if (aName == "GET /v1/config") {
    const auto found = aRequest.m_query.find("site");
    const std::string site =
      found == aRequest.m_query.end() ? "" : found->second;
    work = [&api, site, aResponder] { api.Show(site, aResponder); };
  } else if (aName == "GET /v1/config/history") {
    work = [&api, aResponder] { api.ShowHistory(aResponder); };
  } else if (aName == "GET /v1/config/force") {
    work = [&api, aResponder] { api.ShowForce(aResponder); };
  } else if (aName == "GET /v1/members") {
    work = [&api, aResponder] { api.ShowMembers(aResponder); };
  } else if (aName == "POST /v1/members") {
    work = [&api, body = aRequest.m_body, aResponder] {
      api.ChangeMembers(body, aResponder);
    };
  } else {
    return false;
  }
  m_dependencies.m_loop.Post(std::move(work));
  return true;
}

void OperatorApi::SendReadiness(gateway::Responder& aResponder)
{
  const bool ready = m_dependencies.m_view.Read([](const GatewayView& aView) {
    return aView.m_ready && !aView.m_draining;
  });
  internal::SendText(aResponder,
                     ready ? 200 : 503,
                     internal::kText,
                     ready ? "ready\n" : "not ready\n");
}

void OperatorApi::SendStatus(gateway::Responder& aResponder)
{
  const auto& dispatcher = m_dependencies.m_relay.Dispatcher();
  const auto& settings = m_dependencies.m_settings;
  const auto& counters = dispatcher.Counters();
  const nlohmann::json body{
    { "instance", settings.m_instance.m_id.Get() },
    { "data_centre", settings.m_instance.m_dataCentre.Get() },
    { "draining", dispatcher.IsDraining() },
    { "requests", dispatcher.RequestCount() },
    { "in_flight", dispatcher.InFlightCount() },
    { "waiting_application",
      dispatcher.WaitingCount(admission::RequestClass::Application) },
    { "waiting_training",
      dispatcher.WaitingCount(admission::RequestClass::Training) },
    { "backends", dispatcher.Registry().Size() },
    { "arrived", counters.m_arrived },
    { "finished", counters.m_finished },
    { "failed_not_run", counters.m_failedNotRun },
    { "failed_outcome_unknown", counters.m_failedUnknown },
    { "retries", counters.m_retries },
    { "resumptions", counters.m_resumptions },
    { "hedges", counters.m_hedges },
    { "moves", counters.m_moves }
  };
  internal::SendText(aResponder, 200, internal::kJson, body.dump());
}

void OperatorApi::SendBackends(gateway::Responder& aResponder)
{
  nlohmann::json list = nlohmann::json::array();
  for (const auto& view : m_dependencies.m_relay.Dispatcher().BackendViews(
         MonotonicClock::Now())) {
    list.push_back(internal::BackendJson(view));
  }
  internal::SendText(aResponder,
                     200,
                     internal::kJson,
                     nlohmann::json{ { "backends", std::move(list) } }.dump());
}

void OperatorApi::SendReport(gateway::Responder& aResponder, bool aHtml)
{
  const auto report = MakeReport(
    m_dependencies.m_metrics,
    m_dependencies.m_relay.Dispatcher().BackendViews(MonotonicClock::Now()),
    m_dependencies.m_trainers.Counters());
  if (aHtml) {
    internal::SendText(aResponder, 200, internal::kHtml, RenderHtml(report));
  } else {
    internal::SendText(aResponder, 200, internal::kJson, RenderJson(report));
  }
}

} // namespace auburntrestle::daemon
