#ifndef AUBURNTRESTLE_TEST_PLATFORM_SAMPLER_HPP
#define AUBURNTRESTLE_TEST_PLATFORM_SAMPLER_HPP

#include "auburntrestle/http/server.hpp"
#include "platform/json_fields.hpp"
#include "platform/names.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace auburntrestle::platform::test {

/** Options of a Sampler. */
struct SamplerOptions
{
  std::string m_address = "127.0.0.1:0";
  /** The address in heartbeats, if it differs from m_address. */
  std::string m_announcedAddress;
  int m_startVersion = 1;
  std::uint64_t m_incarnation = 1000;
  /** The delay of a response to a request that is run. */
  Duration m_runTime{};
  std::function<void(const std::string&)> m_onRun;
  /** Decides on a request outside batch jobs: @return its status, 200 for a
   * proper response. Absent for 200. */
  std::function<int(const std::string&)> m_plainStatus;
  /** Decides on an item of a batch job: @return its status, 200 for its events.
   * Absent for 200. */
  std::function<int(const std::string&)> m_itemStatus;
  /** Decides whether the weights change after the first event of an item. */
  std::function<bool(const std::string&)> m_changesWeights;
  std::function<void(const Json&)> m_onOrder;
  /** The rate limit that all responses state; absent for none. */
  std::optional<double> m_rateLimit;
  /** The body of a response to a request outside batch jobs; absent for one
   * that names the request's. */
  std::optional<std::string> m_plainResponse = std::nullopt;
  /** Whether all responses state that the sampler leaves. */
  bool m_isLeaving = false;
};

/** A fake sampler that implements the platform's protocol. */
class Sampler
{
public:
  Sampler(event_loop::EventLoop& aLoop,
          std::string aId,
          std::string aModel,
          SamplerOptions aOptions = {})
    : m_loop(aLoop)
    , m_id(std::move(aId))
    , m_model(std::move(aModel))
    , m_options(std::move(aOptions))
    , m_version(m_options.m_startVersion)
    , m_server(
        std::move(http::Server::Listen(
                    aLoop,
                    m_options.m_address,
                    [this](const std::shared_ptr<http::Exchange>& aExchange) {
                      HandleExchange(aExchange);
                    })
                    .value()))
  {
  }

  /** @return the body of the response to a request outside batch jobs. */
  [[nodiscard]] static std::string PlainResponse(const std::string& aBody)
  {
    return "answer to " + aBody;
  }

  [[nodiscard]] static std::string Signature(const std::string& aId)
  {
    return "stamp-" + aId;
  }

  /** @return whether an output contains all events of an item, in order.
   * @param aVersions receives the weight versions that generated them. */
  [[nodiscard]] static bool IsCompleteOutput(const std::string& aItem,
                                             const std::string& aOutput,
                                             std::set<std::uint64_t>& aVersions)
  {
    std::istringstream lines(aOutput);
    std::string line;
    int event = 0;
    while (std::getline(lines, line)) {
      const auto prefix = EventPrefix(aItem, ++event);
      if (!line.starts_with(prefix)) {
        return false;
      }
      aVersions.insert(std::stoull(line.substr(prefix.size())));
    }
    return event == kEvents;
  }

  [[nodiscard]] const std::string& Id() const { return m_id; }
  [[nodiscard]] int Version() const { return m_version; }
  [[nodiscard]] const std::vector<std::string>& ExecutedRequests() const
  {
    return m_executed;
  }
  /** @return the header fields of a request that was run. */
  [[nodiscard]] const http::Headers& HeadersOf(const std::string& aId) const
  {
    return m_headers.at(aId);
  }
  /** @return the bodies of the items that were run, by their id. */
  [[nodiscard]] const std::map<std::string, std::string>& Bodies() const
  {
    return m_bodies;
  }
  [[nodiscard]] const std::vector<Json>& Orders() const { return m_orders; }
  /** @return when requests of any kind arrived. */
  [[nodiscard]] const std::vector<TimePoint>& Arrivals() const
  {
    return m_arrivals;
  }
  void SetRateLimit(std::optional<double> aLimit)
  {
    m_options.m_rateLimit = aLimit;
  }

  void SetRunTime(Duration aTime) { m_options.m_runTime = aTime; }
  /** Sets the body of all responses to requests outside batch jobs. */
  void SetPlainResponse(std::string aBody)
  {
    m_options.m_plainResponse = std::move(aBody);
  }
  void SetLeaving(bool aIsLeaving) { m_options.m_isLeaving = aIsLeaving; }
  /** Acts as another process at the same address. */
  void Restart() { ++m_options.m_incarnation; }

  /** @return the body of a heartbeat. */
  [[nodiscard]] std::string Heartbeat(const std::string& aService,
                                      const std::string& aState)
  {
    return Json{
      { "service", aService },
      { "address",
        m_options.m_announcedAddress.empty()
          ? "127.0.0.1:" + std::to_string(m_server->Port())
          : m_options.m_announcedAddress },
      { "zone", "zone-a" },
      { "version", "v1" },
      { "slots", 4 },
      { "state", aState },
      { "cold_left_ms", 0 },
      { "sequence", ++m_sequence },
      { "born", m_options.m_incarnation }
    }.dump();
  }

private:
  static constexpr int kEvents = 3;

  [[nodiscard]] static std::string EventPrefix(const std::string& aItem,
                                               int aEvent)
  {
    return aItem + "-" + std::to_string(aEvent) + "-v";
  }

  void HandleExchange(const std::shared_ptr<http::Exchange>& aExchange)
  {
    m_arrivals.push_back(MonotonicClock::Now());
    auto response = MakeResponse(aExchange->GetRequest());
    if (m_options.m_rateLimit) {
      response.m_headers.Add(names::kRateLimit,
                             std::to_string(*m_options.m_rateLimit));
    }
    if (m_options.m_isLeaving) {
      response.m_headers.Add(names::kLeaving, "1");
    }
    const bool ran = response.m_headers.Find(names::kSignature).has_value();
    if (!ran || m_options.m_runTime == Duration::zero()) {
      aExchange->Respond(response);
      return;
    }
    m_loop.After(m_options.m_runTime,
                 [aExchange, response] { aExchange->Respond(response); });
  }

  [[nodiscard]] http::Response MakeResponse(const http::Request& aRequest)
  {
    http::Response response;
    const auto expected = aRequest.m_headers.Find(names::kExpectedBackend);
    if (expected && *expected != m_id) {
      response.m_status = 421;
      return response;
    }
    if (aRequest.Path() == names::kReportPath) {
      response.m_body = Json{
        { "models", { { { "name", m_model }, { "version", m_version } } } },
        { "busy", false },
        { "sequence", m_orders.size() }
      }.dump();
      return response;
    }
    if (aRequest.Path() == names::kOrderPath) {
      m_orders.push_back(Json::parse(aRequest.m_body));
      if (m_options.m_onOrder) {
        m_options.m_onOrder(m_orders.back());
      }
      m_version = m_orders.back()["version"];
      response.m_status = 202;
      return response;
    }
    Run(aRequest, response);
    return response;
  }

  void Run(const http::Request& aRequest, http::Response& aResponse)
  {
    const std::string id(
      aRequest.m_headers.Find(names::kRequestId).value_or(""));
    m_executed.push_back(id);
    m_headers.insert_or_assign(id, aRequest.m_headers);
    if (m_options.m_onRun) {
      m_options.m_onRun(id);
    }
    aResponse.m_headers.Add(names::kRequestId, id);
    aResponse.m_headers.Add(names::kSignature, Signature(id));
    if (!aRequest.Path().starts_with("/jobs/")) {
      aResponse.m_status =
        m_options.m_plainStatus ? m_options.m_plainStatus(id) : 200;
      aResponse.m_body =
        m_options.m_plainResponse.value_or(PlainResponse(aRequest.m_body));
      return;
    }
    m_bodies[id] = aRequest.m_body;
    aResponse.m_status =
      m_options.m_itemStatus ? m_options.m_itemStatus(id) : 200;
    if (aResponse.m_status != 200) {
      // Looks like the event that is due.
      aResponse.m_body = "id: 2\ndata: error\n\n";
      return;
    }
    aResponse.m_headers.Add("Content-Type", "text/event-stream");
    aResponse.m_headers.Add(names::kWeightVersion, std::to_string(m_version));
    const bool changes =
      m_options.m_changesWeights && m_options.m_changesWeights(id);
    const auto last = aRequest.m_headers.Find(names::kLastEvent);
    for (int event = last ? std::stoi(std::string(*last)) + 1 : 1;
         event <= kEvents;
         ++event) {
      int version = m_version;
      if (changes && event > 1) {
        ++version;
        aResponse.m_body += std::string(names::kWeightVersionField) + ": " +
                            std::to_string(version) + "\n";
      }
      aResponse.m_body += "id: " + std::to_string(event) +
                          "\ndata: " + EventPrefix(id, event) +
                          std::to_string(version) + "\n\n";
    }
  }

  event_loop::EventLoop& m_loop;
  std::string m_id;
  std::string m_model;
  SamplerOptions m_options;
  int m_version = 1;
  int m_sequence = 0;
  std::vector<std::string> m_executed;
  std::map<std::string, http::Headers> m_headers;
  std::map<std::string, std::string> m_bodies;
  std::vector<Json> m_orders;
  std::vector<TimePoint> m_arrivals;
  std::unique_ptr<http::Server> m_server;
};

} // namespace auburntrestle::platform::test

#endif
