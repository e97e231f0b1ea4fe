#include "soak/workload.hpp"

#include <algorithm>
#include <tuple>

namespace auburntrestle::soak {

namespace {

using platform::Json;
namespace names = platform::names;

constexpr auto kHost = "app.example";
constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kNotFound = 404;
constexpr Duration kCallTimeout = std::chrono::milliseconds(1500);
constexpr Duration kRequestInterval = std::chrono::milliseconds(15);
constexpr Duration kPipelineInterval = std::chrono::milliseconds(200);
constexpr std::uint64_t kMaxPipelined = 5;
constexpr std::uint64_t kMaxPipelinedBytes = std::uint64_t{ 300 } * 1024;
constexpr std::uint64_t kMaxReadDelayMs = 20;
constexpr Duration kJobInterval = std::chrono::milliseconds(300);
constexpr Duration kReadInterval = std::chrono::milliseconds(100);
constexpr Duration kRetryDelay = std::chrono::milliseconds(60);
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(500);
constexpr Duration kConfigurationInterval = std::chrono::milliseconds(700);
constexpr Duration kPublishInterval = std::chrono::milliseconds(1500);
constexpr std::uint64_t kMaxItems = 10;

Json Route(const char* aName, const char* aPrefix, const char* aKind)
{
  return { { "name", aName },          { "host", kHost },
           { "path_prefix", aPrefix }, { "route_type", aKind },
           { "timeout_ms", 1200 },     { "latency_target_ms", 150 },
           { "priority", 1 },          { "service", "samplers" },
           { "max_attempts", 3 },      { "queue_ttl_s", 600 },
           { "target_done_ms", 7500 }, { "single_version", false } };
}

std::string ConfigurationOf(std::uint64_t aVersion)
{
  return Json{
    { "version", aVersion },
    { "routes",
      { Route("plain", "/plain/", "idempotent"),
        Route("once", "/once/", "non_idempotent"),
        Route("jobs", "/jobs/", "rollout") } },
    { "services",
      { { { "name", "samplers" },
          { "health_path", "/h" },
          { "max_conns", 90 },
          { "protocol", "h1" },
          { "tls", false },
          { "engine",
            { { "slots", 4 },
              { "kv_cache_tokens", 1000 },
              { "models", { { { "name", kModel } } } } } } } } },
    { "limits",
      { { "header_bytes", 16384 },
        { "body_bytes", 1000000 },
        { "header_ms", 3000 },
        { "idle_timeout_ms", 15000 } } }
  }.dump();
}

bool HasStatus(const http::FetchResult& aResponse, int aStatus)
{
  return aResponse && aResponse->m_status == aStatus;
}

} // namespace

struct Workload::RunningJob
{
  std::string m_id;
  std::string m_body;
  AcceptedJob m_accepted;
};

Workload::Workload(event_loop::EventLoop& aLoop,
                   System& aSystem,
                   Checker& aChecker,
                   std::uint64_t aSeed)
  : m_loop(aLoop)
  , m_system(aSystem)
  , m_checker(aChecker)
  , m_random(aSeed)
  , m_client(aLoop, {})
{
  PutConfiguration(m_nextConfiguration++);
  Every(kHeartbeatInterval, [this] { SendHeartbeats(); });
}

void Workload::Start()
{
  Every(kRequestInterval, [this] { SendShortRequest(); });
  Every(kPipelineInterval, [this] { SendPipelined(); });
  Every(kJobInterval, [this] { SubmitJob(); });
  Every(kReadInterval, [this] { ReadEndedJob(); });
  Every(kConfigurationInterval, [this] {
    if (!m_stopped) {
      m_nextConfiguration += 1 + m_random.Below(3);
      PutConfiguration(m_nextConfiguration);
    }
  });
  Every(kReadInterval, [this] { ReadConfiguration(); });
  Every(kPublishInterval, [this] {
    if (!m_stopped && !std::exchange(m_publishing, true)) {
      PublishVersion();
    }
  });
}

void Workload::Send(const std::string& aAddress,
                    const std::string& aMethod,
                    const std::string& aTarget,
                    const std::string& aBody,
                    const std::string& aId,
                    Callback aCallback)
{
  http::Request request;
  request.m_method = aMethod;
  request.m_target = aTarget;
  request.m_headers.Add("Host", kHost);
  if (!aId.empty()) {
    request.m_headers.Add(names::kRequestId, aId);
  }
  request.m_body = aBody;
  http::CallOptions options;
  options.m_timeout = kCallTimeout;
  std::ignore =
    http::Fetch(m_client, aAddress, request, options, std::move(aCallback));
}

void Workload::Every(Duration aDelay, const std::function<void()>& aWork)
{
  const auto half = static_cast<std::uint64_t>(aDelay.count() / 2);
  m_loop.After(Duration(half + m_random.Below(2 * half)),
               [this, aDelay, aWork] {
                 aWork();
                 Every(aDelay, aWork);
               });
}

const std::string& Workload::PickAddress(
  const std::vector<std::string>& aAddresses)
{
  return aAddresses[m_random.Below(aAddresses.size())];
}

void Workload::SendShortRequest()
{
  if (m_stopped) {
    return;
  }
  const auto id = "q" + std::to_string(++m_nextRequest);
  const bool once = m_random.Below(2) == 0;
  if (once) {
    m_checker.RecordSentOnce(id);
  }
  ++m_counts.m_requests;
  Send(PickAddress(m_system.CallerAddresses()),
       "POST",
       once ? "/once/x" : "/plain/x",
       id,
       id,
       [this, id](const http::FetchResult& aResponse) {
         if (!aResponse) {
           return;
         }
         const auto signature = aResponse->m_headers.Find(names::kSignature);
         m_checker.CheckResponse(id,
                                 aResponse->m_status,
                                 aResponse->m_body,
                                 std::string(signature.value_or("")));
         const bool answered = aResponse->m_status == kOk;
         ++(answered ? m_counts.m_succeeded : m_counts.m_refused);
       });
}

void Workload::SendPipelined()
{
  if (m_stopped) {
    return;
  }
  std::vector<PipelinedRequest> requests;
  const auto count = 2 + m_random.Below(kMaxPipelined - 1);
  std::size_t bytes = 0;
  for (std::uint64_t number = 0; number < count; ++number) {
    const auto id = "p" + std::to_string(++m_nextRequest);
    const std::string padding(m_random.Below(kMaxPipelinedBytes), 'p');
    requests.push_back({ id, "/plain/x", id + padding });
    bytes += padding.size();
  }
  PipeliningOptions options;
  options.m_host = kHost;
  options.m_readDelay =
    std::chrono::milliseconds(m_random.Below(kMaxReadDelayMs));
  // About half of them close before the last answer.
  options.m_maxBytes = 1 + m_random.Below(2 * bytes + 1);
  const auto client = std::make_shared<PipeliningClient>(
    m_loop,
    options,
    std::move(requests),
    [this](const PipelinedRequest& aRequest, const http::Response& aResponse) {
      CheckPipelined(aRequest, aResponse);
    },
    [this](const std::string& aDetail) {
      m_checker.RecordViolation({ "pipelining client: ", aDetail });
    });
  client->Start(PickAddress(m_system.CallerAddresses()));
}

void Workload::CheckPipelined(const PipelinedRequest& aRequest,
                              const http::Response& aResponse)
{
  ++m_counts.m_pipelined;
  const auto signature = aResponse.m_headers.Find(names::kSignature);
  if (aResponse.m_status == kOk &&
      aResponse.m_body !=
        platform::test::Sampler::PlainResponse(aRequest.m_body)) {
    m_checker.RecordViolation(
      { "request ", aRequest.m_id, " got another body" });
    return;
  }
  m_checker.CheckResponse(aRequest.m_id,
                          aResponse.m_status,
                          platform::test::Sampler::PlainResponse(aRequest.m_id),
                          std::string(signature.value_or("")));
}

void Workload::SubmitJob()
{
  if (m_stopped) {
    return;
  }
  auto job = std::make_shared<RunningJob>();
  job->m_id = "job" + std::to_string(++m_nextJob);
  job->m_accepted.m_minVersion = m_newestVersion > 1 ? m_newestVersion - 1 : 1;
  Json items = Json::array();
  const auto count = 1 + m_random.Below(kMaxItems);
  for (std::uint64_t item = 0; item < count; ++item) {
    const auto id = job->m_id + "-" + std::to_string(item);
    job->m_accepted.m_items.insert(id);
    items.push_back({ { "id", id },
                      { "path", "/jobs/x" },
                      { "headers", { { "X-Model", kModel } } },
                      { "body", "cHJvbXB0" },
                      { "tokens", 100 },
                      { "group", "g" + std::to_string(item / 2) } });
  }
  job->m_body = Json{
    { "step", m_nextJob },
    { "model", kModel },
    { "min_version", job->m_accepted.m_minVersion },
    { "target_groups", 1 },
    { "requests", items }
  }.dump();
  SendJob(job);
}

void Workload::SendJob(const JobPtr& aJob)
{
  Send(PickAddress(m_system.CallerAddresses()),
       "POST",
       "/jobs/a",
       aJob->m_body,
       aJob->m_id,
       [this, aJob](const http::FetchResult& aResponse) {
         if (HasStatus(aResponse, kAccepted)) {
           ++m_counts.m_jobs;
           ++m_openJobs;
           ReadJob(aJob);
         } else {
           m_loop.After(kRetryDelay, [this, aJob] { SendJob(aJob); });
         }
       });
}

void Workload::ReadJob(const JobPtr& aJob)
{
  AcceptedJob& accepted = aJob->m_accepted;
  if (accepted.m_results.size() == accepted.m_items.size()) {
    --m_openJobs;
    ++m_counts.m_jobsDone;
    EndJob(aJob);
    return;
  }
  const auto after = m_random.Below(accepted.m_results.size() + 1);
  Send(PickAddress(m_system.CallerAddresses()),
       "GET",
       std::string(names::kJobPrefix) + aJob->m_id +
         "?after=" + std::to_string(after),
       {},
       {},
       [this, aJob, after](const http::FetchResult& aResponse) {
         if (HasStatus(aResponse, kOk)) {
           m_checker.CheckJobResults(aJob->m_id,
                                     aJob->m_accepted,
                                     after,
                                     Json::parse(aResponse->m_body));
         } else if (HasStatus(aResponse, kNotFound)) {
           m_checker.RecordMissingJob(aJob->m_id);
         }
         m_loop.After(kRetryDelay, [this, aJob] { ReadJob(aJob); });
       });
}

void Workload::EndJob(const JobPtr& aJob)
{
  Send(PickAddress(m_system.CallerAddresses()),
       "DELETE",
       std::string(names::kJobPrefix) + aJob->m_id,
       {},
       {},
       [this, aJob](const http::FetchResult& aResponse) {
         if (HasStatus(aResponse, kOk)) {
           m_endedJobs.push_back(aJob);
         } else {
           m_loop.After(kRetryDelay, [this, aJob] { EndJob(aJob); });
         }
       });
}

void Workload::ReadEndedJob()
{
  if (m_endedJobs.empty()) {
    return;
  }
  const JobPtr job = m_endedJobs[m_random.Below(m_endedJobs.size())];
  Send(PickAddress(m_system.CallerAddresses()),
       "GET",
       std::string(names::kJobPrefix) + job->m_id + "?after=0",
       {},
       {},
       [this, job](const http::FetchResult& aResponse) {
         if (HasStatus(aResponse, kOk)) {
           const auto view = Json::parse(aResponse->m_body);
           m_checker.CheckJobResults(job->m_id, job->m_accepted, 0, view);
           if (view["results"].size() < job->m_accepted.m_items.size()) {
             m_checker.RecordViolation({ "job ", job->m_id, " lost results" });
           }
         } else if (HasStatus(aResponse, kNotFound)) {
           m_checker.RecordMissingJob(job->m_id);
         }
       });
}

void Workload::PutConfiguration(std::uint64_t aVersion)
{
  Send(PickAddress(m_system.ControlAddresses()),
       "PUT",
       std::string(names::kConfigurationPath),
       ConfigurationOf(aVersion),
       {},
       [this, aVersion](const http::FetchResult& aResponse) {
         if (HasStatus(aResponse, kOk)) {
           ++m_counts.m_configurations;
           m_checker.RecordAcknowledgedConfiguration(aVersion);
         } else {
           m_loop.After(kRetryDelay,
                        [this, aVersion] { PutConfiguration(aVersion); });
         }
       });
}

void Workload::ReadConfiguration()
{
  Send(PickAddress(m_system.ControlAddresses()),
       "GET",
       std::string(names::kConfigurationPath),
       {},
       {},
       [this, floor = m_checker.AcknowledgedConfiguration()](
         const http::FetchResult& aResponse) {
         if (HasStatus(aResponse, kOk)) {
           m_checker.CheckReadConfiguration(
             Json::parse(aResponse->m_body)["version"], floor);
         }
       });
}

void Workload::PublishVersion()
{
  const auto version = m_newestVersion + 1;
  Send(PickAddress(m_system.ControlAddresses()),
       "POST",
       std::string(names::kPublishPath),
       Json{ { "model", kModel }, { "version", version } }.dump(),
       {},
       [this, version](const http::FetchResult& aResponse) {
         if (HasStatus(aResponse, kOk)) {
           m_newestVersion = version;
           ++m_counts.m_versions;
           m_publishing = false;
         } else {
           m_loop.After(kRetryDelay, [this] { PublishVersion(); });
         }
       });
}

void Workload::SendHeartbeats()
{
  for (std::size_t number = 0; number < kSamplers; ++number) {
    auto& sampler = m_system.SamplerAt(number);
    Send(PickAddress(m_system.ControlAddresses()),
         "PUT",
         std::string(names::kBackendPrefix) + sampler.Id(),
         sampler.Heartbeat("samplers", "ready"),
         {},
         [](const http::FetchResult&) {});
  }
}

} // namespace auburntrestle::soak
