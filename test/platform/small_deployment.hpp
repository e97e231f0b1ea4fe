#ifndef AUBURNTRESTLE_TEST_PLATFORM_SMALL_DEPLOYMENT_HPP
#define AUBURNTRESTLE_TEST_PLATFORM_SMALL_DEPLOYMENT_HPP

#include "auburntrestle/http/client.hpp"
#include "auburntrestle/http/raw_peer.hpp"
#include "platform/instance_files.hpp"
#include "platform/json_fields.hpp"
#include "platform/names.hpp"
#include "platform/sampler.hpp"
#include "support/process.hpp"

#include <gtest/gtest.h>

#include <cstddef>
#include <filesystem>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace auburntrestle::platform::test {

constexpr std::size_t kMebibyte = std::size_t{ 1024 } * 1024;
/** The memory of each machine of a small deployment, and its descriptors. */
constexpr std::size_t kMemoryMebibytes = 48;
constexpr std::size_t kDescriptors = 512;
constexpr auto kHost = "app.example";

/** The machines of a deployment. */
struct MachineSize
{
  std::size_t m_memoryMebibytes = 0;
  std::size_t m_descriptors = 0;
  /** Lines for the table of limits; without, the limits follow from the memory.
   */
  std::string m_limits;
};

/** @return machines with small limits, which a small crowd reaches. */
inline MachineSize SmallMachines()
{
  return { kMemoryMebibytes,
           kDescriptors,
           "response_mb = 4\nreceived_mb = 8\nrequest_bodies_mb = 8\n"
           "replicated_jobs_mb = 8\n" };
}

/** The addresses of a small deployment. */
enum class Target : std::uint8_t
{
  Callers,
  Readiness,
  EntryMetrics,
  Control,
  StoreMetrics,
};

/** A request that is answered with 200 at once. */
struct OrdinaryRequest
{
  Target m_target{};
  std::string m_method;
  std::string m_path;
  std::string m_body;
};

/** A store and an entry instance as real processes on small machines, and a
 * fake sampler. */
class SmallDeployment
{
public:
  SmallDeployment(const SmallDeployment&) = delete;
  SmallDeployment& operator=(const SmallDeployment&) = delete;

protected:
  explicit SmallDeployment(MachineSize aSize = SmallMachines())
    : m_size(std::move(aSize))
    , m_folder(std::filesystem::temp_directory_path() /
               ("trestle-small-" + std::to_string(::getpid())))
  {
    std::filesystem::create_directories(m_folder);
    InstanceFile store;
    store.m_name = "store";
    store.m_peers = m_ports.Address();
    store.m_control = m_ports.Address();
    store.m_metrics = m_ports.Address();
    store.m_dataFolder = m_folder / "data";
    store.m_bootstrap = true;
    store.m_toleratedLosses = 0;
    Start(store, store.m_peers);
    InstanceFile entry;
    entry.m_name = "entry";
    entry.m_peers = m_ports.Address();
    entry.m_callers = m_ports.Address();
    entry.m_readiness = m_ports.Address();
    entry.m_metrics = m_ports.Address();
    Start(entry, store.m_peers);
    m_entry = entry;
    m_seed = store.m_peers;
    m_addresses = { { Target::Callers, entry.m_callers },
                    { Target::Readiness, entry.m_readiness },
                    { Target::EntryMetrics, entry.m_metrics },
                    { Target::Control, store.m_control },
                    { Target::StoreMetrics, store.m_metrics } };
  }

  ~SmallDeployment()
  {
    m_processes.clear();
    std::filesystem::remove_all(m_folder);
  }

  void Start(InstanceFile aFile, const std::string& aSeed)
  {
    aFile.m_furtherTables =
      "[limits]\nmemory_mb = " + std::to_string(m_size.m_memoryMebibytes) +
      "\ndescriptors = " + std::to_string(m_size.m_descriptors) + "\n" +
      m_size.m_limits;
    m_processes.insert_or_assign(aFile.m_name,
                                 aFile.Start(m_folder, { aSeed }));
  }

  /** Kills the entry instance and starts it again. */
  void RestartEntry()
  {
    m_processes.at(m_entry.m_name).Kill();
    Start(m_entry, m_seed);
    SendUntilServed(Target::Readiness, "GET", "/auburntrestle/ready");
  }

  /** @return a request as a caller sends it. */
  [[nodiscard]] static http::Request WithId(const std::string& aMethod,
                                            const std::string& aPath,
                                            const std::string& aBody,
                                            const std::string& aId)
  {
    http::Request request;
    request.m_method = aMethod;
    request.m_target = aPath;
    request.m_headers.Add("Host", kHost);
    request.m_headers.Add(names::kRequestId, aId);
    request.m_headers.Add(names::kTimeLeftMs, "2000");
    request.m_body = aBody;
    return request;
  }

  /** Sends a request.
   * @param aCallback receives its response, or why there is none. */
  void StartFetch(Target aTarget,
                  const http::Request& aRequest,
                  std::function<void(http::FetchResult)> aCallback)
  {
    const auto client =
      std::make_shared<http::Client>(m_loop, http::ClientOptions{});
    std::ignore = http::Fetch(
      *client,
      m_addresses.at(aTarget),
      aRequest,
      {},
      [client, callback = std::move(aCallback)](http::FetchResult aResponse) {
        callback(std::move(aResponse));
      });
  }

  /** Sends a request.
   * @param aCallback receives its status, or nothing. */
  void StartRequest(Target aTarget,
                    const http::Request& aRequest,
                    std::function<void(std::optional<int>)> aCallback)
  {
    StartFetch(aTarget,
               aRequest,
               [callback = std::move(aCallback)](http::FetchResult aResponse) {
                 callback(aResponse ? std::optional(aResponse->m_status)
                                    : std::nullopt);
               });
  }

  /** Sends an ordinary request.
   * @param aCallback receives its status, or nothing. */
  void StartRequest(Target aTarget,
                    const std::string& aMethod,
                    const std::string& aPath,
                    const std::string& aBody,
                    std::function<void(std::optional<int>)> aCallback)
  {
    StartRequest(aTarget,
                 WithId(aMethod, aPath, aBody, "r" + std::to_string(++m_sent)),
                 std::move(aCallback));
  }

  /** @return the response to a request, or why there is none. */
  http::FetchResult FetchFrom(Target aTarget, const http::Request& aRequest)
  {
    std::optional<http::FetchResult> response;
    StartFetch(aTarget, aRequest, [&](http::FetchResult aResponse) {
      response = std::move(aResponse);
    });
    RunUntil([&] { return response.has_value(); });
    return *response;
  }

  /** @return the status of a request, or nothing. */
  std::optional<int> Send(Target aTarget, const http::Request& aRequest)
  {
    std::optional<int> status;
    bool done = false;
    StartRequest(aTarget, aRequest, [&](std::optional<int> aStatus) {
      status = aStatus;
      done = true;
    });
    RunUntil([&] { return done; });
    return status;
  }

  /** @return the status of an ordinary request, or nothing. */
  std::optional<int> Send(Target aTarget,
                          const std::string& aMethod,
                          const std::string& aPath,
                          const std::string& aBody = {})
  {
    return Send(aTarget,
                WithId(aMethod, aPath, aBody, "r" + std::to_string(++m_sent)));
  }

  /** Sends a request again and again until it has a status. */
  void RunUntilStatus(int aStatus,
                      Target aTarget,
                      const http::Request& aRequest)
  {
    while (Send(aTarget, aRequest) != aStatus) {
      WaitFor(std::chrono::milliseconds(20));
    }
  }

  /** Sends a request again and again until it is answered with 200. */
  void SendUntilServed(Target aTarget,
                       const std::string& aMethod,
                       const std::string& aPath,
                       const std::string& aBody = {})
  {
    while (Send(aTarget, aMethod, aPath, aBody) != 200) {
      WaitFor(std::chrono::milliseconds(20));
    }
  }

  /** @return an ordinary request for each address. */
  [[nodiscard]] static std::vector<OrdinaryRequest> OrdinaryRequests()
  {
    return { { Target::Callers, "POST", "/plain/x", "query" },
             { Target::Readiness, "GET", "/auburntrestle/ready", "" },
             { Target::EntryMetrics, "GET", "/metrics", "" },
             { Target::Control, "GET", "/auburntrestle/config", "" },
             { Target::StoreMetrics, "GET", "/metrics", "" } };
  }

  /** Checks that the processes run, and what they use. */
  void CheckProcesses()
  {
    for (auto& [name, process] : m_processes) {
      ASSERT_TRUE(process.IsRunning()) << name;
      const std::size_t memory = process.PeakMemory();
      const std::size_t descriptors = process.OpenDescriptors();
      testing::Test::RecordProperty(name + "_peak_mib",
                                    std::to_string(memory / kMebibyte));
      testing::Test::RecordProperty(name + "_descriptors",
                                    std::to_string(descriptors));
      EXPECT_LE(memory, m_size.m_memoryMebibytes * kMebibyte) << name;
      EXPECT_LE(descriptors, m_size.m_descriptors) << name;
    }
  }

  /** Runs the loop of the test until a condition holds. */
  void RunUntil(const std::function<bool()>& aCondition)
  {
    while (!aCondition()) {
      m_loop.Context().run_one();
    }
  }

  void WaitFor(Duration aTime)
  {
    bool waited = false;
    m_loop.After(aTime, [&] { waited = true; });
    RunUntil([&] { return waited; });
  }

  /** @return a configuration with one route for short requests. */
  [[nodiscard]] static Json Configuration()
  {
    return Json::parse(R"({"version":1,"routes":[{"name":"plain",
        "host":"app.example",
        "path_prefix":"/plain/","route_type":"idempotent","timeout_ms":2000,
        "latency_target_ms":150,"priority":1,"service":"samplers",
        "max_attempts":2}],"services":[{"name":"samplers",
        "health_path":"/h","max_conns":90,"protocol":"h1","tls":false}],
        "limits":{"header_bytes":16384,"body_bytes":1000000,
        "header_ms":3000,"idle_timeout_ms":15000}})");
  }

  /** @return a configuration with a route for batch jobs as well. */
  [[nodiscard]] static Json ConfigurationWithEngines()
  {
    Json configuration = Configuration();
    configuration["routes"].push_back(
      Json::parse(R"({"name":"jobs","host":"app.example",
        "path_prefix":"/jobs/","route_type":"rollout","timeout_ms":9000,
        "latency_target_ms":400,"priority":1,"service":"engines",
        "max_attempts":3,"queue_ttl_s":40,"target_done_ms":7500,
        "single_version":false})"));
    configuration["services"].push_back(Json::parse(R"({"name":"engines",
        "health_path":"/h","max_conns":90,"protocol":"h1","tls":false,
        "engine":{"slots":4,"kv_cache_tokens":1000,
        "models":[{"name":"m"}]}})"));
    return configuration;
  }

  void SetUpService(const Json& aConfiguration = Configuration())
  {
    SendUntilServed(
      Target::Control, "PUT", "/auburntrestle/config", aConfiguration.dump());
    SendUntilServed(Target::Control,
                    "PUT",
                    "/auburntrestle/instances/i-1",
                    m_sampler.Heartbeat("samplers", "ready"));
    SendUntilServed(Target::Readiness, "GET", "/auburntrestle/ready");
    SendUntilServed(Target::Callers, "POST", "/plain/x", "query");
  }

  /** Announces a server whose weights have version 1 and that sends raw bytes.
   *
   * @param aSoftware the version of its software; empty for none.
   * @param aState "ready" or "draining".
   */
  void Announce(const std::string& aId,
                const std::string& aService,
                const http::test::RawServer& aServer,
                const std::string& aSoftware = "v1",
                const std::string& aState = "ready")
  {
    Json heartbeat{ { "service", aService },
                    { "address", aServer.Address() },
                    { "zone", "zone-a" },
                    { "slots", 4 },
                    { "state", aState },
                    { "cold_left_ms", 0 },
                    { "stage", "both" },
                    { "models",
                      { { { "name", "m" },
                          { "version", 1 },
                          { "adapters", Json::array() } } } },
                    { "sequence", ++m_announced },
                    { "born", 1000 } };
    if (!aSoftware.empty()) {
      heartbeat["version"] = aSoftware;
    }
    SendUntilServed(Target::Control,
                    "PUT",
                    "/auburntrestle/instances/" + aId,
                    heartbeat.dump());
  }

  MachineSize m_size;
  InstanceFile m_entry;
  std::string m_seed;
  event_loop::EventLoop m_loop;
  Sampler m_sampler{ m_loop, "i-1", "m" };
  PortSource m_ports;
  std::filesystem::path m_folder;
  std::map<std::string, auburntrestle::test::Process> m_processes;
  std::map<Target, std::string> m_addresses;
  int m_sent = 0;
  int m_announced = 0;
};

} // namespace auburntrestle::platform::test

#endif
