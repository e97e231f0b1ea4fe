#include "fake_engine/engine.hpp"

#include "auburntrestle/observe/log.hpp"

#include <algorithm>

namespace auburntrestle::tools {

using nlohmann::json;
using observe::LogLevel;
using observe::LogLine;

namespace internal {

constexpr Duration kSnapshotInterval = std::chrono::milliseconds(50);
constexpr Duration kRateWindow = std::chrono::seconds(1);

json ParseBody(const HttpExchangePtr& aExchange)
{
  auto body = json::parse(aExchange->Request().m_body, nullptr, false);
  return body.is_object() ? body : json();
}

std::int64_t ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

std::int64_t NowMs()
{
  return ToMilliseconds(MonotonicClock::Now().time_since_epoch());
}

void RejectBadBody(const HttpExchangePtr& aExchange)
{
  aExchange->SendError(
    400, "bad_request", "the body is not a valid JSON object", "not_run");
}

json TrailToJson(
  const std::vector<std::pair<std::uint64_t, std::uint64_t>>& aTrail)
{
  json result = json::array();
  for (const auto& [version, tokens] : aTrail) {
    result.push_back({ { "version", version }, { "tokens", tokens } });
  }
  return result;
}

} // namespace internal

Engine::Engine(HttpServer& aServer, EngineOptions aOptions)
  : m_server(aServer)
  , m_options(std::move(aOptions))
  , m_random(m_options.m_seed)
  , m_model(m_options.m_timing)
  , m_cache(m_options.m_prefixCacheTokens)
  , m_versions(m_options.m_models.begin(), m_options.m_models.end())
  , m_role(m_options.m_role)
{
}

void Engine::Start(std::uint16_t aPort)
{
  m_port = aPort;
  RecordLoadSnapshot();
  m_server.Every(internal::kSnapshotInterval, [this] { RecordLoadSnapshot(); });
}

void Engine::Handle(const HttpExchangePtr& aExchange)
{
  using Route = void (Engine::*)(const HttpExchangePtr&);
  static const std::map<std::string, Route> kRoutes{
    { "POST /v1/completions", &Engine::HandleCompletion },
    { "POST /v1/cancel", &Engine::HandleCancel },
    { "POST /v1/kv/export", &Engine::HandleKvExport },
    { "POST /v1/kv/import", &Engine::HandleKvImport },
    { "GET /v1/cache_events", &Engine::HandleCacheEvents },
    { "POST /v1/orders", &Engine::HandleOrder },
    { "POST /fake/slow", &Engine::HandleSlowDown },
  };
  const auto& request = aExchange->Request();
  const auto found = kRoutes.find(request.m_method + " " + request.m_path);
  if (found != kRoutes.end()) {
    try {
      (this->*found->second)(aExchange);
    } catch (const json::exception& failure) {
      aExchange->SendError(400, "bad_request", failure.what(), "not_run");
    }
  } else if (request.m_path == "/v1/load") {
    aExchange->SendJson(200, LaggedLoad().dump());
  } else if (request.m_path == "/v1/state") {
    aExchange->SendJson(200, State().dump());
  } else if (request.m_path == "/fake/runs") {
    aExchange->SendJson(200, Runs().dump());
  } else {
    aExchange->SendError(404, "not_found", "no such path", "not_run");
  }
}

std::string Engine::Announcement() const
{
  const json body{ { "backend", m_options.m_id },
                   { "incarnation", m_options.m_incarnation },
                   { "data_centre", m_options.m_dataCentre },
                   { "address", "127.0.0.1:" + std::to_string(m_port) },
                   { "kind", "engine" },
                   { "models", Models() },
                   { "services", json::array() },
                   { "role", m_role },
                   { "capacity", m_options.m_timing.m_slots },
                   { "checks_fencing", m_options.m_checksFencing },
                   { "state", m_leaving ? "leaving" : "serving" },
                   { "load", LaggedLoad() } };
  return body.dump();
}

void Engine::Leave()
{
  m_leaving = true;
  m_leavingSince = MonotonicClock::Now();
}

// Completions.

void Engine::HandleCompletion(const HttpExchangePtr& aExchange)
{
  const json body = internal::ParseBody(aExchange);
  if (!body.is_object() || !body.contains("prompt")) {
    internal::RejectBadBody(aExchange);
    return;
  }
  const std::string model = body.value("model", "");
  if (!m_versions.contains(model)) {
    aExchange->SendError(
      404, "unknown_model", "model " + model + " is not loaded", "not_run");
    return;
  }
  if (m_leaving) {
    LogLine(LogLevel::Warning, "request_while_leaving")
      .Add("request_id", body.value("request_id", ""))
      .Add("after_ms",
           internal::ToMilliseconds(MonotonicClock::Now() - m_leavingSince));
  }
  StartRun(aExchange, body);
}

void Engine::StartRun(const HttpExchangePtr& aExchange, const json& aBody)
{
  auto run = std::make_shared<Run>();
  run->m_requestId =
    aBody.value("request_id", "local-" + std::to_string(m_nextNumber));
  run->m_model = aBody.at("model").get<std::string>();
  run->m_prompt = aBody.at("prompt").get<std::string>();
  run->m_maxTokens = aBody.value("max_tokens", std::uint64_t{ 16 });
  run->m_whileLeaving = m_leaving;
  run->m_receivedMs = internal::NowMs();
  Stream stream;
  stream.m_isStreaming = aBody.value("stream", false);
  if (aBody.contains("resume") && aBody["resume"].is_object()) {
    run->m_firstIndex = aBody["resume"].value("tokens", std::uint64_t{ 0 });
    std::string expected;
    for (std::uint64_t index = 0; index < run->m_firstIndex; ++index) {
      expected += OutputToken(run->m_prompt, index);
    }
    run->m_resumeTextMatches = aBody["resume"].value("text", "") == expected;
  }
  const auto length =
    OutputLength(run->m_prompt, run->m_maxTokens, m_options.m_outputShape);
  const Sequence sequence{
    m_nextNumber, PrefillTokens(*run, aBody), run->m_firstIndex, length
  };
  ++m_nextNumber;
  stream.m_reachedMaxTokens = length >= run->m_maxTokens;
  stream.m_exchange = aExchange;
  stream.m_run = run;
  m_runs.push_back(run);
  if (m_runs.size() > m_options.m_logLimit) {
    m_runs.pop_front();
  }
  if (stream.m_isStreaming) {
    aExchange->BeginStream(200, "text/event-stream", {});
  }
  if (run->m_firstIndex >= length) {
    // The lost output was complete; only the end of the stream was missing.
    run->m_outcome = "finished";
    if (stream.m_isStreaming) {
      aExchange->Write("data: [DONE]\n\n");
      aExchange->End();
    } else {
      SendCompletion(stream, m_versions[run->m_model]);
    }
    return;
  }
  const auto number = sequence.m_number;
  m_numberByRequestId[run->m_requestId] = number;
  m_streams.emplace(number, std::move(stream));
  aExchange->OnClosed(
    [this, number] { AbortRun(number, "connection_closed"); });
  m_model.Submit(sequence, MonotonicClock::Now());
  ScheduleWake();
}

std::uint64_t Engine::PrefillTokens(Run& aRun, const json& aBody)
{
  std::uint64_t tokens = PromptTokens(aRun.m_prompt);
  std::vector<CacheEvent> events;
  aRun.m_cachedTokens = m_cache.LookUpAndStore(aRun.m_prompt, events);
  RecordCacheEvents(events);
  tokens = tokens - std::min(tokens, aRun.m_cachedTokens) + aRun.m_firstIndex;
  if (aBody.contains("kv_handle") && aBody["kv_handle"].is_string()) {
    const auto found = m_kv.find(aBody["kv_handle"].get<std::string>());
    if (found != m_kv.end() && found->second.m_prompt == aRun.m_prompt) {
      aRun.m_kvHit = true;
      tokens = aRun.m_firstIndex > found->second.m_tokens
                 ? aRun.m_firstIndex - found->second.m_tokens
                 : 0;
    }
  }
  return tokens;
}

void Engine::HandleCancel(const HttpExchangePtr& aExchange)
{
  const json body = internal::ParseBody(aExchange);
  const auto found = m_numberByRequestId.find(body.value("request_id", ""));
  const bool known = found != m_numberByRequestId.end();
  if (known) {
    const auto number = found->second;
    const auto exchange = m_streams.at(number).m_exchange;
    const bool events = m_streams.at(number).m_isStreaming;
    AbortRun(number, "cancelled");
    if (events) {
      exchange->End();
    } else {
      exchange->SendError(
        499, "cancelled", "the request was cancelled", "outcome_unknown");
    }
  }
  aExchange->SendJson(200, json{ { "cancelled", known } }.dump());
}

void Engine::AbortRun(SequenceNumber aNumber, const std::string& aOutcome)
{
  const auto found = m_streams.find(aNumber);
  if (found == m_streams.end()) {
    return;
  }
  m_model.Cancel(aNumber, MonotonicClock::Now());
  found->second.m_run->m_outcome = aOutcome;
  m_runningTokens -= found->second.m_produced;
  ReleaseRequestId(aNumber, found->second.m_run->m_requestId);
  m_streams.erase(found);
  ScheduleWake();
}

void Engine::ReleaseRequestId(SequenceNumber aNumber,
                              const std::string& aRequestId)
{
  // The id may belong to a later request by now.
  const auto found = m_numberByRequestId.find(aRequestId);
  if (found != m_numberByRequestId.end() && found->second == aNumber) {
    m_numberByRequestId.erase(found);
  }
}

// Tokens.

void Engine::DeliverDueTokens()
{
  for (const auto& token : m_model.Advance(MonotonicClock::Now())) {
    Deliver(token);
  }
  ScheduleWake();
}

void Engine::ScheduleWake()
{
  const auto due = m_model.NextDue();
  if (!due || (m_wakeScheduled && m_wakeAt <= *due)) {
    return;
  }
  m_wakeScheduled = true;
  m_wakeAt = *due;
  const auto delay = std::max(Duration(0), *due - MonotonicClock::Now());
  m_server.After(delay, [this, at = *due] {
    if (m_wakeScheduled && m_wakeAt == at) {
      m_wakeScheduled = false;
      DeliverDueTokens();
    }
  });
}

void Engine::Deliver(const ProducedToken& aToken)
{
  const auto found = m_streams.find(aToken.m_number);
  if (found == m_streams.end()) {
    return;
  }
  Stream& stream = found->second;
  Run& run = *stream.m_run;
  const auto version = m_versions[run.m_model];
  if (run.m_trail.empty() || run.m_trail.back().first != version) {
    run.m_trail.emplace_back(version, 0);
  }
  ++run.m_trail.back().second;
  ++stream.m_produced;
  ++m_runningTokens;
  ++m_tokensProduced;
  const auto text = OutputToken(run.m_prompt, aToken.m_index);
  if (stream.m_isStreaming) {
    WriteEvent(stream, text, aToken, version);
  } else {
    stream.m_text += text;
  }
  if (!aToken.m_last) {
    return;
  }
  run.m_outcome = "finished";
  if (stream.m_isStreaming) {
    stream.m_exchange->Write("data: [DONE]\n\n");
    stream.m_exchange->End();
  } else {
    SendCompletion(stream, version);
  }
  m_runningTokens -= stream.m_produced;
  ReleaseRequestId(aToken.m_number, run.m_requestId);
  m_streams.erase(found);
}

void Engine::WriteEvent(Stream& aStream,
                        const std::string& aText,
                        const ProducedToken& aToken,
                        std::uint64_t aVersion)
{
  json reason;
  if (aToken.m_last) {
    reason = aStream.m_reachedMaxTokens ? "length" : "stop";
  }
  const json event{ { "id", aStream.m_run->m_requestId },
                    { "choices",
                      json::array({ { { "index", 0 },
                                      { "text", aText },
                                      { "finish_reason", reason } } }) },
                    { "weight_version", aVersion },
                    { "token_index", aToken.m_index } };
  aStream.m_exchange->Write("data: " + event.dump() + "\n\n");
}

void Engine::SendCompletion(Stream& aStream, std::uint64_t aVersion)
{
  const json response{
    { "id", aStream.m_run->m_requestId },
    { "choices",
      json::array({ { { "index", 0 },
                      { "text", aStream.m_text },
                      { "finish_reason",
                        aStream.m_reachedMaxTokens ? "length" : "stop" } } }) },
    { "weight_version", aVersion },
    { "trail", internal::TrailToJson(aStream.m_run->m_trail) },
    { "usage",
      { { "prompt_tokens", PromptTokens(aStream.m_run->m_prompt) },
        { "completion_tokens", aStream.m_produced } } }
  };
  aStream.m_exchange->SendJson(200, response.dump());
}

// KV cache.

void Engine::HandleKvExport(const HttpExchangePtr& aExchange)
{
  const json body = internal::ParseBody(aExchange);
  const auto found = m_numberByRequestId.find(body.value("request_id", ""));
  if (found == m_numberByRequestId.end()) {
    aExchange->SendError(
      404, "not_found", "the request is not in progress", "not_run");
    return;
  }
  const Stream& stream = m_streams.at(found->second);
  const auto tokens = stream.m_run->m_firstIndex + stream.m_produced;
  const json response{ { "kv_handle",
                         m_options.m_id + "/" + stream.m_run->m_requestId },
                       { "tokens", tokens },
                       { "data", stream.m_run->m_prompt } };
  aExchange->SendJson(200, response.dump());
}

void Engine::HandleKvImport(const HttpExchangePtr& aExchange)
{
  const json body = internal::ParseBody(aExchange);
  if (!body.is_object() || !body.contains("kv_handle")) {
    internal::RejectBadBody(aExchange);
    return;
  }
  m_kv[body.at("kv_handle").get<std::string>()] =
    KvEntry{ body.value("data", ""), body.value("tokens", std::uint64_t{ 0 }) };
  aExchange->SendJson(200, "{}");
}

void Engine::RecordCacheEvents(const std::vector<CacheEvent>& aEvents)
{
  const auto now = MonotonicClock::Now();
  for (const auto& event : aEvents) {
    const auto sequence = m_nextCacheEvent++;
    if (m_random.Chance(m_options.m_cacheEventLossProbability)) {
      continue;
    }
    m_cacheEvents.push_back({ sequence, now, event });
    if (m_cacheEvents.size() > m_options.m_logLimit) {
      m_cacheEvents.pop_front();
    }
  }
}

void Engine::HandleCacheEvents(const HttpExchangePtr& aExchange)
{
  const auto after = aExchange->Request().QueryNumber("after", 0);
  const auto visible = MonotonicClock::Now() - m_options.m_cacheEventLag;
  json events = json::array();
  std::uint64_t last = after;
  for (const auto& entry : m_cacheEvents) {
    if (entry.m_time > visible) {
      break;
    }
    if (entry.m_sequence <= after) {
      continue;
    }
    last = entry.m_sequence;
    events.push_back(
      { { "sequence", entry.m_sequence },
        { "event", entry.m_event.m_stored ? "stored" : "evicted" },
        { "prefix_hash", entry.m_event.m_prefixHash },
        { "tokens", entry.m_event.m_tokens } });
  }
  aExchange->SendJson(200,
                      json{ { "events", events }, { "last", last } }.dump());
}

// Load and state.

void Engine::RecordLoadSnapshot()
{
  const auto now = MonotonicClock::Now();
  m_tokenCounts.emplace_back(now, m_tokensProduced);
  while (m_tokenCounts.front().first < now - internal::kRateWindow) {
    m_tokenCounts.pop_front();
  }
  const auto span = now - m_tokenCounts.front().first;
  const double seconds = static_cast<double>(span.count()) / 1e6;
  const auto produced = m_tokensProduced - m_tokenCounts.front().second;
  LoadSnapshot snapshot;
  snapshot.m_time = now;
  snapshot.m_running = m_model.RunningCount();
  snapshot.m_waiting = m_model.WaitingCount();
  snapshot.m_tokensPerSecond =
    seconds > 0.0 ? static_cast<double>(produced) / seconds : 0.0;
  snapshot.m_kvUsed =
    std::min(1.0,
             static_cast<double>(m_runningTokens + m_cache.Size()) /
               static_cast<double>(m_options.m_kvTokens));
  m_snapshots.push_back(snapshot);
  // The first entry is the newest snapshot that is at least m_loadLag old.
  while (m_snapshots.size() > 1 &&
         m_snapshots[1].m_time <= now - m_options.m_loadLag) {
    m_snapshots.pop_front();
  }
}

json Engine::LaggedLoad() const
{
  const LoadSnapshot& snapshot = m_snapshots.front();
  return { { "running", snapshot.m_running },
           { "waiting", snapshot.m_waiting },
           { "tokens_per_second", snapshot.m_tokensPerSecond },
           { "kv_used", snapshot.m_kvUsed },
           { "age_ms",
             internal::ToMilliseconds(MonotonicClock::Now() -
                                      snapshot.m_time) } };
}

json Engine::Models() const
{
  json result = json::array();
  for (const auto& [name, version] : m_versions) {
    result.push_back({ { "name", name }, { "version", version } });
  }
  return result;
}

json Engine::State() const
{
  return { { "backend", m_options.m_id },
           { "incarnation", m_options.m_incarnation },
           { "models", Models() },
           { "adapters", m_adapters },
           { "role", m_role },
           { "state", m_leaving ? "leaving" : "serving" },
           { "highest_fencing", m_highestFencing },
           { "order_in_progress", m_orderRunning } };
}

json Engine::Runs() const
{
  json runs = json::array();
  for (const auto& run : m_runs) {
    runs.push_back({ { "request_id", run->m_requestId },
                     { "model", run->m_model },
                     { "prompt", run->m_prompt },
                     { "max_tokens", run->m_maxTokens },
                     { "first_index", run->m_firstIndex },
                     { "cached_tokens", run->m_cachedTokens },
                     { "resume_text_matches", run->m_resumeTextMatches },
                     { "kv_hit", run->m_kvHit },
                     { "while_leaving", run->m_whileLeaving },
                     { "trail", internal::TrailToJson(run->m_trail) },
                     { "outcome", run->m_outcome },
                     { "received_ms", run->m_receivedMs } });
  }
  return { { "backend", m_options.m_id },
           { "incarnation", m_options.m_incarnation },
           { "runs", runs },
           { "orders", m_orders } };
}

// Slow-downs.

void Engine::SlowDown(double aFactor, Duration aDuration)
{
  const auto generation = ++m_slowGeneration;
  m_model.SetSlowFactor(aFactor);
  LogLine(LogLevel::Info, "slowed")
    .Add("factor", aFactor)
    .Add("duration_ms", internal::ToMilliseconds(aDuration));
  m_server.After(aDuration, [this, generation] {
    if (generation == m_slowGeneration) {
      m_model.SetSlowFactor(1.0);
      LogLine(LogLevel::Info, "normal_speed");
    }
  });
}

void Engine::HandleSlowDown(const HttpExchangePtr& aExchange)
{
  const json body = internal::ParseBody(aExchange);
  const double factor = body.value("factor", 1.0);
  const auto milliseconds = body.value("duration_ms", std::int64_t{ 1000 });
  if (factor <= 0.0 || milliseconds < 0) {
    internal::RejectBadBody(aExchange);
    return;
  }
  SlowDown(factor, std::chrono::milliseconds(milliseconds));
  aExchange->SendJson(200, "{}");
}

} // namespace auburntrestle::tools
