// A trainer whose batch jobs are as large as the manifest allows. The servers
// of the route are away, so nothing but the jobs themselves takes memory.

#include "../stand_in/platform.hpp"

#include <thread>

namespace {

using namespace auburntrestle::review;

constexpr auto kHost = "trainer.example";
constexpr auto kPath = "/steps/";
constexpr int kSteps = 8;
constexpr int kAttempts = 3;
constexpr std::chrono::seconds kStepInterval(4);
constexpr std::size_t kBodyLimit = 33554432;
/** Items of a job, and the bytes of the text of each item's body. */
constexpr std::size_t kItems = 64;
constexpr std::size_t kLargeText = 440000;
constexpr std::size_t kSmallText = 800;

Json MakeManifest()
{
  return Json{ { "version", 1 },
               { "routes",
                 { { { "name", "r-steps" },
                     { "host", kHost },
                     { "path_prefix", kPath },
                     { "route_type", "rollout" },
                     { "timeout_ms", 10000 },
                     { "latency_target_ms", 400 },
                     { "priority", 1 },
                     { "service", "samplers" },
                     { "max_attempts", 3 },
                     { "queue_ttl_s", 40.0 },
                     { "target_done_ms", 7500 },
                     { "single_version", false } } } },
               { "services",
                 { { { "name", "samplers" },
                     { "health_path", "/healthz" },
                     { "max_conns", 150 },
                     { "protocol", "h1" },
                     { "tls", false },
                     { "engine",
                       { { "slots", 12 },
                         { "kv_cache_tokens", 80901 },
                         { "models", { { { "name", "m0" } } } } } } } } },
               { "limits",
                 { { "header_bytes", 16384 },
                   { "body_bytes", kBodyLimit },
                   { "header_ms", 3000 },
                   { "idle_timeout_ms", 15000 } } } };
}

std::string MakeJob(int aStep, std::size_t aTextBytes)
{
  const std::string text(aTextBytes, 'q');
  Json items = Json::array();
  for (std::size_t number = 0; number < kItems; ++number) {
    const std::string id =
      "s" + std::to_string(aStep) + "i" + std::to_string(number);
    items.push_back({ { "id", id },
                      { "path", kPath + id },
                      { "headers",
                        { { "X-Model", "m0" },
                          { "X-Token-Count", "1016,14" },
                          { "X-Prompt-Prefix", "9c2e41:1000,5d07b8:16" } } },
                      { "body", text },
                      { "tokens", 1030 },
                      { "group", "g" + std::to_string(number / 8) } });
  }
  return Json{
    { "step", aStep },
    { "model", "m0" },
    { "min_version", 1 },
    { "target_groups", 8 },
    { "requests", items }
  }.dump();
}

/** Sends one call on a new channel. @return its status, 0 without an answer. */
int Call(const Address& aFront,
         const std::string& aMethod,
         const std::string& aTarget,
         const std::string& aId,
         const std::string& aBody)
{
  constexpr int kReadTimeoutMs = 5000;
  const auto connection = Connection::Open(aFront);
  if (connection == nullptr) {
    return 0;
  }
  connection->SetReadTimeout(kReadTimeoutMs);
  connection->Send(FormatRequest(aMethod,
                                 aTarget,
                                 { { "Host", kHost },
                                   { "X-Attempt-Id", aId },
                                   { "Content-Type", "application/json" } },
                                 aBody));
  Message response;
  return connection->Read(response) == ReadOutcome::Complete ? response.Status()
                                                             : 0;
}

Verdict RunCase(const CaseOptions& aOptions)
{
  constexpr int kAccepted = 202;
  Record record(aOptions.m_recordFile);
  ControlCaller control(aOptions.m_controls, record);
  if (!control.Call("PUT",
                    "/auburntrestle/config",
                    MakeManifest().dump(),
                    std::chrono::seconds(20))) {
    return record.Close(Verdict::CouldNotRun, "the manifest is not in force");
  }
  std::this_thread::sleep_for(std::chrono::seconds(4));
  std::size_t calls = 0;
  int accepted = 0;
  for (int step = 0; step < kSteps; ++step) {
    const auto next = std::chrono::steady_clock::now() + kStepInterval;
    const std::string id = "job" + std::to_string(step);
    const std::string job =
      MakeJob(step, aOptions.m_trouble ? kLargeText : kSmallText);
    int status = 0;
    for (int attempt = 0; attempt < kAttempts && status != kAccepted;
         ++attempt) {
      const auto& front = aOptions.m_fronts[calls++ % aOptions.m_fronts.size()];
      status = Call(front, "POST", kPath + id, id, job);
      record.Write(id + " of " + std::to_string(job.size()) + " bytes at " +
                   front.Text() + ": " +
                   (status == 0 ? "no answer" : std::to_string(status)));
    }
    accepted += status == kAccepted ? 1 : 0;
    // The trainer has no use for the job, since its servers are away.
    if (status == kAccepted) {
      const auto& front = aOptions.m_fronts[calls++ % aOptions.m_fronts.size()];
      const int ended =
        Call(front, "DELETE", "/auburntrestle/lots/" + id, id, "");
      record.Write("end of " + id + ": " +
                   (ended == 0 ? "no answer" : std::to_string(ended)));
    }
    std::this_thread::sleep_until(next);
  }
  record.Write(std::to_string(accepted) + " of " + std::to_string(kSteps) +
               " jobs accepted");
  return Verdict::Held;
}

} // namespace

int main(int aCount, char** aArguments)
{
  const auto verdict = RunCase(CaseOptions::Parse(aCount, aArguments));
  std::_Exit(static_cast<int>(verdict));
}
