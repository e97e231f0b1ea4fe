#include "auburntrestle/core/random.hpp"
#include "auburntrestle/observe/log.hpp"
#include "common/announcer.hpp"
#include "common/http_server.hpp"
#include "common/output.hpp"
#include "common/program.hpp"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <cmath>
#include <set>
#include <string>

DEFINE_int32(port, 0, "port on 127.0.0.1; 0 picks a free one");
DEFINE_uint64(seed, 1, "seed of the delays and failures");
DEFINE_string(announce, "", "comma-separated addresses of instances");
DEFINE_int32(announce_interval_ms, 1000, "time between announcements");
DEFINE_string(id, "service", "id of this backend server");
DEFINE_uint64(incarnation, 0, "incarnation; 0 takes it from the clock");
DEFINE_string(data_centre, "dc-1", "data centre");
DEFINE_string(service, "judge", "comma-separated names of the services");
DEFINE_int32(capacity, 16, "announced capacity");
DEFINE_bool(checks_fencing, false, "announced use of fencing numbers");
DEFINE_int32(delay_ms, 5, "fixed part of the time of a call");
DEFINE_int32(delay_tail_ms, 0, "mean of the exponential part of the time");
DEFINE_double(failure, 0.0, "probability of a 500 after the call has run");
DEFINE_double(lose_answer,
              0.0,
              "probability of a cut connection after the call has run");
DEFINE_string(fail_keys,
              "",
              "comma-separated idempotency keys whose calls always fail");
DEFINE_double(no_score, 0.0, "probability of a response without a score");
DEFINE_double(endless,
              0.0,
              "probability of a response that goes on until the caller closes");
DEFINE_bool(refuse, false, "refuse calls without running them");
DEFINE_int32(leave_linger_ms, 500, "time between SIGTERM and the end");

namespace auburntrestle::tools {

namespace {

using nlohmann::json;

/** Echoes calls and counts them by idempotency key. */
class Service
{
public:
  explicit Service(HttpServer& aServer)
    : m_server(aServer)
    , m_random(FLAGS_seed)
    , m_refuse(FLAGS_refuse)
    , m_failKeys(SplitKeys())
    , m_incarnation(FLAGS_incarnation != 0 ? FLAGS_incarnation
                                           : IncarnationFromClock())
  {
  }

  void Handle(const HttpExchangePtr& aExchange)
  {
    const auto& request = aExchange->Request();
    if (request.m_path == "/fake/calls") {
      aExchange->SendJson(200, CallCounts().dump());
    } else if (request.m_path == "/fake/refuse") {
      HandleRefuse(aExchange);
    } else if (request.m_method != "POST") {
      aExchange->SendError(
        405, "method_not_allowed", "calls are POST", "not_run");
    } else {
      HandleCall(aExchange);
    }
  }

  [[nodiscard]] std::string Announcement() const
  {
    const json body{ { "backend", FLAGS_id },
                     { "incarnation", m_incarnation },
                     { "data_centre", FLAGS_data_centre },
                     { "address", "127.0.0.1:" + std::to_string(m_port) },
                     { "kind", "service" },
                     { "models", json::array() },
                     { "services", SplitList(FLAGS_service) },
                     { "role", "" },
                     { "capacity", FLAGS_capacity },
                     { "checks_fencing", FLAGS_checks_fencing },
                     { "state", m_leaving ? "leaving" : "serving" },
                     { "load",
                       { { "running", m_running },
                         { "waiting", 0 },
                         { "tokens_per_second", 0.0 },
                         { "kv_used", 0.0 },
                         { "age_ms", 0 } } } };
    return body.dump();
  }

  void SetPort(std::uint16_t aPort) { m_port = aPort; }
  void Leave() { m_leaving = true; }
  [[nodiscard]] bool IsIdle() const noexcept { return m_running == 0; }

private:
  struct Count
  {
    std::uint64_t m_started = 0;
    std::uint64_t m_finished = 0;
  };

  [[nodiscard]] static std::set<std::string> SplitKeys()
  {
    const auto keys = SplitList(FLAGS_fail_keys);
    return { keys.begin(), keys.end() };
  }

  void HandleRefuse(const HttpExchangePtr& aExchange)
  {
    const json body = json::parse(aExchange->Request().m_body, nullptr, false);
    m_refuse = body.is_object() && body.value("on", true);
    aExchange->SendJson(200, json{ { "refuse", m_refuse } }.dump());
  }

  void HandleCall(const HttpExchangePtr& aExchange)
  {
    if (m_refuse) {
      ++m_refused;
      aExchange->SendError(
        503, "backend_refused", "the service takes no calls", "not_run");
      return;
    }
    const std::string key = aExchange->Request().Header("idempotency-key");
    ++m_counts[key].m_started;
    ++m_running;
    m_server.After(Delay(), [this, aExchange, key] {
      --m_running;
      ++m_counts[key].m_finished;
      Respond(aExchange, key);
    });
  }

  Duration Delay()
  {
    const double tail = -std::log(1.0 - m_random.Unit()) * FLAGS_delay_tail_ms;
    return Duration(
      static_cast<Duration::rep>((FLAGS_delay_ms + tail) * 1000.0));
  }

  void Respond(const HttpExchangePtr& aExchange, const std::string& aKey)
  {
    if (m_random.Chance(FLAGS_lose_answer)) {
      aExchange->Abort();
      return;
    }
    if (m_random.Chance(FLAGS_endless)) {
      aExchange->BeginStream(200, "application/json", {});
      SendEndlessly(aExchange);
      return;
    }
    if (m_failKeys.contains(aKey) || m_random.Chance(FLAGS_failure)) {
      aExchange->SendError(
        500, "failed", "the call failed after it ran", "outcome_unknown");
      return;
    }
    const auto& request = aExchange->Request();
    const json body = json::parse(request.m_body, nullptr, false);
    const bool hasText =
      body.is_object() && body.contains("text") && body["text"].is_string();
    const std::string scored =
      hasText ? body["text"].get<std::string>() : request.m_body;
    json response{ { "backend", FLAGS_id },
                   { "path", request.m_path },
                   { "key", aKey },
                   { "score", ScoreOf(scored) } };
    if (m_random.Chance(FLAGS_no_score)) {
      response.erase("score");
    }
    response["echo"] = body.is_discarded() ? json(request.m_body) : body;
    aExchange->SendJson(200, response.dump());
  }

  /** Sends chunks until the caller closes its connection. */
  void SendEndlessly(const HttpExchangePtr& aExchange)
  {
    constexpr std::size_t kChunkBytes = std::size_t{ 64 } * 1024;
    constexpr Duration kInterval = std::chrono::milliseconds(5);
    if (aExchange->IsClosed()) {
      return;
    }
    aExchange->Write(std::string(kChunkBytes, 'x'));
    m_server.After(kInterval, [this, aExchange] { SendEndlessly(aExchange); });
  }

  [[nodiscard]] json CallCounts() const
  {
    json calls = json::object();
    for (const auto& [key, count] : m_counts) {
      calls[key] = { { "started", count.m_started },
                     { "finished", count.m_finished } };
    }
    return { { "backend", FLAGS_id },
             { "calls", calls },
             { "refused", m_refused } };
  }

  HttpServer& m_server;
  RandomSource m_random;
  bool m_refuse;
  std::set<std::string> m_failKeys;
  std::uint64_t m_incarnation;
  std::uint16_t m_port = 0;
  bool m_leaving = false;
  std::uint64_t m_running = 0;
  std::uint64_t m_refused = 0;
  std::map<std::string, Count> m_counts;
};

void StopWhenIdle(HttpServer& aServer, Service& aService, TimePoint aEarliest)
{
  if (aService.IsIdle() && MonotonicClock::Now() >= aEarliest) {
    aServer.Stop();
    return;
  }
  aServer.After(std::chrono::milliseconds(10),
                [&aServer, &aService, aEarliest] {
                  StopWhenIdle(aServer, aService, aEarliest);
                });
}

int RunService()
{
  HttpServer server;
  Service service(server);
  Announcer announcer(server,
                      SplitList(FLAGS_announce),
                      std::chrono::milliseconds(FLAGS_announce_interval_ms),
                      [&service] { return service.Announcement(); });
  const auto port = server.Listen(static_cast<std::uint16_t>(FLAGS_port),
                                  [&service](const HttpExchangePtr& aExchange) {
                                    service.Handle(aExchange);
                                  });
  service.SetPort(port);
  announcer.Start();
  server.OnTerminate([&] {
    service.Leave();
    announcer.Announce();
    StopWhenIdle(server,
                 service,
                 MonotonicClock::Now() +
                   std::chrono::milliseconds(FLAGS_leave_linger_ms));
  });
  PrintReady(port);
  server.Run();
  return 0;
}

} // namespace

} // namespace auburntrestle::tools

int main(int aCount, char** aArguments)
{
  return auburntrestle::tools::RunProgram(
    aCount, aArguments, [] { return auburntrestle::tools::RunService(); });
}
