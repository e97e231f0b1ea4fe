#include "auburntrestle/observe/log.hpp"
#include "fake_engine/engine.hpp"

#include <array>

namespace auburntrestle::tools {

using nlohmann::json;
using observe::LogLevel;
using observe::LogLine;

void Engine::HandleOrder(const HttpExchangePtr& aExchange)
{
  const json order = json::parse(aExchange->Request().m_body, nullptr, false);
  constexpr std::array<std::string_view, 4> kOrders{
    "load_version", "load_adapter", "load_model", "change_role"
  };
  const std::string name =
    order.is_object() ? order.value("order", "") : std::string();
  if (std::find(kOrders.begin(), kOrders.end(), name) == kOrders.end()) {
    aExchange->SendError(400, "bad_request", "unknown order", "not_run");
    return;
  }
  // Orders run one at a time, in order of arrival.
  m_orderQueue.emplace_back(aExchange, order);
  if (!m_orderRunning) {
    StartNextOrder();
  }
}

void Engine::StartNextOrder()
{
  if (m_orderQueue.empty()) {
    return;
  }
  auto [exchange, order] = std::move(m_orderQueue.front());
  m_orderQueue.pop_front();
  m_orderRunning = true;
  RunOrder(exchange, order);
}

void Engine::RunOrder(const HttpExchangePtr& aExchange, const json& aOrder)
{
  const auto fencing = aOrder.value("fencing", std::uint64_t{ 0 });
  if (m_options.m_checksFencing && fencing < m_highestFencing) {
    FinishOrder(aExchange, aOrder, "stale_fencing");
    return;
  }
  m_highestFencing = std::max(m_highestFencing, fencing);
  const std::string name = aOrder.at("order").get<std::string>();
  const std::string model = aOrder.value("model", "");
  if (name == "load_version" && !m_versions.contains(model)) {
    FinishOrder(aExchange, aOrder, "unknown_model");
    return;
  }
  if (name == "change_role") {
    ApplyOrder(aOrder);
    FinishOrder(aExchange, aOrder, "done");
    return;
  }
  if (m_options.m_weightStore.empty() || name == "load_adapter") {
    Swap(aExchange, aOrder);
  } else {
    Download(aExchange, aOrder);
  }
}

void Engine::Download(const HttpExchangePtr& aExchange, const json& aOrder)
{
  HttpCall call;
  call.m_url = m_options.m_weightStore + "/v1/weights/" +
               aOrder.value("model", "") + "/" +
               std::to_string(aOrder.value("version", std::uint64_t{ 0 }));
  call.m_timeout = std::chrono::minutes(5);
  const auto done = [this, aExchange, aOrder](const HttpResponse& aResponse) {
    m_server.Post([this,
                   aExchange,
                   aOrder,
                   ok = aResponse.IsOk(),
                   retryAfterMs = aResponse.m_retryAfterSeconds * 1000] {
      if (ok) {
        Swap(aExchange, aOrder);
      } else {
        // No weights were replaced, so the engine keeps its old version.
        FinishOrder(aExchange, aOrder, "swap_failed", retryAfterMs);
      }
    });
  };
  m_client.Start(call, done, [](std::string_view) {});
}

void Engine::Swap(const HttpExchangePtr& aExchange, const json& aOrder)
{
  const bool fails = m_random.Chance(m_options.m_swapFailureProbability);
  const Duration time = fails ? m_options.m_swapTime / 2 : m_options.m_swapTime;
  if (m_options.m_swapPauses) {
    m_model.Pause(time, MonotonicClock::Now());
  }
  m_server.After(time, [this, aExchange, aOrder, fails] {
    if (fails) {
      m_versions[aOrder.value("model", "")] = 0;
      FinishOrder(aExchange, aOrder, "swap_failed");
      return;
    }
    ApplyOrder(aOrder);
    FinishOrder(aExchange, aOrder, "done");
  });
}

void Engine::ApplyOrder(const json& aOrder)
{
  const std::string name = aOrder.at("order").get<std::string>();
  const std::string model = aOrder.value("model", "");
  if (name == "change_role") {
    m_role = aOrder.value("role", m_role);
  } else if (name == "load_adapter") {
    m_adapters[model] = aOrder.value("adapter", "");
  } else {
    m_versions[model] = aOrder.value("version", std::uint64_t{ 0 });
  }
}

void Engine::FinishOrder(const HttpExchangePtr& aExchange,
                         const json& aOrder,
                         const std::string& aResult,
                         std::uint64_t aRetryAfterMs)
{
  LogLine(LogLevel::Info, "order")
    .Add("order", aOrder.value("order", ""))
    .Add("model", aOrder.value("model", ""))
    .Add("version", aOrder.value("version", std::uint64_t{ 0 }))
    .Add("fencing", aOrder.value("fencing", std::uint64_t{ 0 }))
    .Add("result", aResult);
  json entry = aOrder;
  entry["result"] = aResult;
  m_orders.push_back(std::move(entry));
  if (m_orders.size() > m_options.m_logLimit) {
    m_orders.pop_front();
  }
  m_orderRunning = false;
  if (aResult == "done") {
    aExchange->SendJson(200, State().dump());
  } else if (aResult == "stale_fencing") {
    aExchange->SendError(409,
                         aResult,
                         "an order with a higher fencing number came before",
                         "not_run");
  } else if (aResult == "unknown_model") {
    aExchange->SendError(404, aResult, "the model is not loaded", "not_run");
  } else {
    const json body{ { "error",
                       { { "code", aResult },
                         { "message", "the weights were not loaded" },
                         { "outcome", "outcome_unknown" },
                         { "retry_after_ms", aRetryAfterMs } } } };
    aExchange->SendJson(500, body.dump());
  }
  StartNextOrder();
}

} // namespace auburntrestle::tools
