#include "auburntrestle/http/client.hpp"
#include "auburntrestle/http/server.hpp"
#include "platform/instance_files.hpp"
#include "platform/json_fields.hpp"
#include "platform/names.hpp"
#include "platform/sampler.hpp"
#include "support/process.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace auburntrestle::platform::test {
namespace {

using auburntrestle::test::Process;

/** A call that the API of the infrastructure received. */
struct ApiCall
{
  std::string m_path;
  std::string m_holder;
  std::string m_token;
  Json m_body;
};

/** A store and an entry instance as real processes, and a fake API. */
class DutiesTest : public testing::Test
{
protected:
  DutiesTest()
    : m_folder(std::filesystem::temp_directory_path() /
               ("trestle-duties-" + std::to_string(::getpid())))
  {
    std::filesystem::create_directories(m_folder);
    m_store.m_name = "store";
    m_store.m_peers = m_ports.Address();
    m_store.m_control = m_ports.Address();
    m_store.m_dataFolder = m_folder / "data";
    m_store.m_bootstrap = true;
    m_store.m_toleratedLosses = 0;
    m_entry.m_name = "entry";
    m_entry.m_peers = m_ports.Address();
    m_entry.m_callers = m_ports.Address();
    m_entry.m_readiness = m_ports.Address();
    for (auto* file : { &m_store, &m_entry }) {
      file->m_furtherTables =
        "[infrastructure]\naddress = \"127.0.0.1:" +
        std::to_string(m_api->Port()) +
        "\"\nduties = [\"usage_report\", \"autoscale\"]\n"
        "usage_window_seconds = 1\nusage_due_seconds = 2\n";
    }
    StartStore();
    m_processes.insert_or_assign("entry",
                                 m_entry.Start(m_folder, { m_store.m_peers }));
  }

  ~DutiesTest() override
  {
    m_processes.clear();
    std::filesystem::remove_all(m_folder);
  }

  void StartStore()
  {
    m_processes.insert_or_assign("store",
                                 m_store.Start(m_folder, { m_store.m_peers }));
    m_store.m_bootstrap = false;
  }

  void HandleCall(const std::shared_ptr<http::Exchange>& aExchange)
  {
    const auto& request = aExchange->GetRequest();
    const auto field = [&](const char* aName) {
      return std::string(request.m_headers.Find(aName).value_or(""));
    };
    m_calls.push_back({ request.m_target,
                        field(names::kDutyHolder),
                        field(names::kFencingToken),
                        Json::parse(request.m_body, nullptr, false) });
    http::Response response;
    response.m_status = m_apiStatus;
    aExchange->Respond(response);
  }

  /** Sends a request again and again until it is answered with 200. */
  void SendUntilServed(const std::string& aAddress,
                       const std::string& aMethod,
                       const std::string& aPath,
                       const std::string& aBody)
  {
    while (true) {
      http::Request request;
      request.m_method = aMethod;
      request.m_target = aPath;
      request.m_headers.Add("Host", "app.example");
      request.m_headers.Add(names::kApiKey, "key-a");
      request.m_headers.Add(names::kRequestId, "r" + std::to_string(++m_sent));
      request.m_body = aBody;
      std::optional<http::FetchResult> response;
      std::ignore = http::Fetch(
        m_client, aAddress, request, {}, [&](http::FetchResult aResponse) {
          response = std::move(aResponse);
        });
      Wait([&] { return response.has_value(); });
      if (*response && (*response)->m_status == 200) {
        return;
      }
      bool waited = false;
      m_loop.After(std::chrono::milliseconds(20), [&] { waited = true; });
      Wait([&] { return waited; });
    }
  }

  template<typename Condition>
  void Wait(Condition aCondition)
  {
    while (!aCondition()) {
      m_loop.Context().run_one();
    }
  }

  void SetUpService()
  {
    SendUntilServed(
      m_store.m_control,
      "PUT",
      "/auburntrestle/config",
      R"({"version":1,"routes":[{"name":"plain","host":"app.example",
        "path_prefix":"/plain/","route_type":"idempotent","timeout_ms":2000,
        "latency_target_ms":150,"priority":1,"service":"samplers",
        "max_attempts":2}],"services":[{"name":"samplers",
        "health_path":"/h","max_conns":90,"protocol":"h1","tls":false,
        "scaling":{"min":2,"max":4,"boot_timeout_s":1.0,"spot_price":0.2,
        "zone_prices":{"zone-a":1.0}}}],
        "tenants":[{"name":"a","api_keys":["key-a"]}],
        "limits":{"header_bytes":16384,"body_bytes":1000000,
        "header_ms":3000,"idle_timeout_ms":15000}})");
    SendUntilServed(m_store.m_control,
                    "PUT",
                    "/auburntrestle/instances/i-1",
                    m_sampler.Heartbeat("samplers", "ready"));
  }

  /** @return the counts that were reported of account a. */
  [[nodiscard]] std::uint64_t Reported() const
  {
    std::map<std::uint64_t, std::uint64_t> byWindow;
    for (const auto& call : m_calls) {
      if (call.m_path == names::kUsagePath) {
        byWindow[call.m_body["window"]] = call.m_body["counts"].value("a", 0);
      }
    }
    std::uint64_t sum = 0;
    for (const auto& [window, count] : byWindow) {
      sum += count;
    }
    return sum;
  }

  event_loop::EventLoop m_loop;
  http::Client m_client{ m_loop, {} };
  std::vector<ApiCall> m_calls;
  int m_apiStatus = 200;
  std::unique_ptr<http::Server> m_api =
    std::move(http::Server::Listen(
                m_loop,
                "127.0.0.1:0",
                [this](const std::shared_ptr<http::Exchange>& aExchange) {
                  HandleCall(aExchange);
                })
                .value());
  Sampler m_sampler{ m_loop, "i-1", "m" };
  PortSource m_ports;
  std::filesystem::path m_folder;
  InstanceFile m_store;
  InstanceFile m_entry;
  std::map<std::string, Process> m_processes;
  int m_sent = 0;
};

// Guards against requests of an account that are not reported, or reported with
// other counts after the leader was killed and the API failed.
TEST_F(DutiesTest, ReportsEachRequestOnce)
{
  SetUpService();
  // The window in which the accounts came into force is not reported.
  Wait([&] { return !m_calls.empty(); });
  constexpr std::uint64_t kRequests = 5;
  for (std::uint64_t request = 0; request < kRequests; ++request) {
    SendUntilServed(m_entry.m_callers, "POST", "/plain/x", "q");
  }
  const auto served = m_sampler.ExecutedRequests().size();
  // Windows are final in the log before the API takes them.
  m_apiStatus = 503;
  const auto before = m_calls.size();
  Wait([&] { return m_calls.size() > before + 1; });
  m_processes.at("store").Kill();
  m_apiStatus = 200;
  StartStore();
  Wait([&] { return Reported() >= served; });
  std::map<std::uint64_t, std::set<std::string>> reports;
  for (const auto& call : m_calls) {
    EXPECT_EQ(call.m_holder, "store");
    EXPECT_FALSE(call.m_token.empty());
    if (call.m_path == names::kUsagePath) {
      reports[call.m_body["window"]].insert(call.m_body["counts"].dump());
    }
  }
  for (const auto& [window, counts] : reports) {
    EXPECT_EQ(counts.size(), 1U) << window;
  }
  EXPECT_EQ(Reported(), served);
}

// Guards against a service that stays below its minimum of servers.
TEST_F(DutiesTest, OrdersServersUpToTheMinimum)
{
  SetUpService();
  const auto order = [&]() -> const ApiCall* {
    for (const auto& call : m_calls) {
      if (call.m_path == names::kScalePath) {
        return &call;
      }
    }
    return nullptr;
  };
  Wait([&] { return order() != nullptr; });
  const Json expected{ { "service", "samplers" },
                       { "zone", "zone-a" },
                       { "target_groups", 2 } };
  EXPECT_EQ(order()->m_body, expected);
}

} // namespace
} // namespace auburntrestle::platform::test
