#ifndef AUBURNTRESTLE_TEST_PLATFORM_SMALL_DEPLOYMENT_HPP
#define AUBURNTRESTLE_TEST_PLATFORM_SMALL_DEPLOYMENT_HPP

#include "auburntrestle/http/client.hpp"
#include "platform/instance_files.hpp"
#include "platform/json_fields.hpp"
#include "platform/names.hpp"
#include "platform/sampler.hpp"
#include "support/process.hpp"

#include <cstddef>
#include <filesystem>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace auburntrestle::platform::test {

constexpr std::size_t kMebibyte = std::size_t{ 1024 } * 1024;
/** The memory of each machine of a small deployment, and its descriptors. */
constexpr std::size_t kMemoryMebibytes = 48;
constexpr std::size_t kDescriptors = 512;
constexpr auto kHost = "app.example";

/** The addresses of a small deployment. */
enum class Target : std::uint8_t
{
  Callers,
  Readiness,
  EntryMetrics,
  Control,
  StoreMetrics,
};

/** A store and an entry instance as real processes on small machines, and a
 * fake sampler. */
class SmallDeployment
{
public:
  SmallDeployment(const SmallDeployment&) = delete;
  SmallDeployment& operator=(const SmallDeployment&) = delete;

protected:
  SmallDeployment()
    : m_folder(std::filesystem::temp_directory_path() /
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
      "[limits]\nmemory_mb = " + std::to_string(kMemoryMebibytes) +
      "\ndescriptors = " + std::to_string(kDescriptors) +
      "\nresponse_mb = 4\nreceived_mb = 8\nrequest_bodies_mb = 8\n"
      "replicated_jobs_mb = 8\n";
    m_processes.insert_or_assign(aFile.m_name,
                                 aFile.Start(m_folder, { aSeed }));
  }

  /** Sends an ordinary request.
   * @param aCallback receives its status, or nothing. */
  void StartRequest(Target aTarget,
                    const std::string& aMethod,
                    const std::string& aPath,
                    const std::string& aBody,
                    std::function<void(std::optional<int>)> aCallback)
  {
    http::Request request;
    request.m_method = aMethod;
    request.m_target = aPath;
    request.m_headers.Add("Host", kHost);
    request.m_headers.Add(names::kRequestId, "r" + std::to_string(++m_sent));
    request.m_headers.Add(names::kTimeLeftMs, "2000");
    request.m_body = aBody;
    const auto client =
      std::make_shared<http::Client>(m_loop, http::ClientOptions{});
    std::ignore = http::Fetch(
      *client,
      m_addresses.at(aTarget),
      request,
      {},
      [client, callback = std::move(aCallback)](http::FetchResult aResponse) {
        callback(aResponse ? std::optional(aResponse->m_status) : std::nullopt);
      });
  }

  /** @return the status of an ordinary request, or nothing. */
  std::optional<int> Send(Target aTarget,
                          const std::string& aMethod,
                          const std::string& aPath,
                          const std::string& aBody = {})
  {
    std::optional<int> status;
    bool done = false;
    StartRequest(
      aTarget, aMethod, aPath, aBody, [&](std::optional<int> aStatus) {
        status = aStatus;
        done = true;
      });
    RunUntil([&] { return done; });
    return status;
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

  event_loop::EventLoop m_loop;
  Sampler m_sampler{ m_loop, "i-1", "m" };
  PortSource m_ports;
  std::filesystem::path m_folder;
  std::map<std::string, auburntrestle::test::Process> m_processes;
  std::map<Target, std::string> m_addresses;
  int m_sent = 0;
};

} // namespace auburntrestle::platform::test

#endif
