#include "common/trainer_client.hpp"

#include "auburntrestle/observe/log.hpp"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <utility>

namespace auburntrestle::tools {

using nlohmann::json;
using observe::LogLevel;
using observe::LogLine;

namespace internal {

constexpr Duration kRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryDelay = std::chrono::seconds(2);
constexpr Duration kSleepSlice = std::chrono::milliseconds(20);

/** Sleeps in slices, so that a stop request interrupts it. */
void SleepFor(Duration aTime, const std::atomic<bool>& aStop)
{
  const auto end = MonotonicClock::Now() + aTime;
  while (!aStop && MonotonicClock::Now() < end) {
    std::this_thread::sleep_for(
      std::min(kSleepSlice, end - MonotonicClock::Now()));
  }
}

/** Replaces a file atomically, so that a kill leaves the old or the new. */
void ReplaceFile(const std::string& aPath, const std::string& aText)
{
  const std::string temporary = aPath + ".new";
  {
    std::ofstream file(temporary, std::ios::trunc);
    file << aText;
  }
  std::rename(temporary.c_str(), aPath.c_str());
}

} // namespace internal

double TrainerReport::IdleShare() const noexcept
{
  return m_total.count() == 0 ? 0.0
                              : 1.0 - static_cast<double>(m_trained.count()) /
                                        static_cast<double>(m_total.count());
}

json TrainerReport::ToJson() const
{
  json histogram = json::object();
  for (const auto& [versions, count] : m_staleness) {
    histogram[std::to_string(versions)] = count;
  }
  const double seconds = static_cast<double>(m_total.count()) / 1e6;
  const auto rate = [seconds](std::uint64_t aCount) {
    return seconds > 0.0 ? static_cast<double>(aCount) / seconds : 0.0;
  };
  return { { "steps", m_stepsDone },
           { "batches", m_batches },
           { "samples", m_samples },
           { "tokens", m_tokens },
           { "versions", m_versions },
           { "expired_batches", m_expiredBatches },
           { "failed_calls", m_failedCalls },
           { "seconds", seconds },
           { "idle_share", IdleShare() },
           { "samples_per_second", rate(m_samples) },
           { "tokens_per_second", rate(m_tokens) },
           { "staleness", histogram },
           { "violations", m_violations } };
}

TrainerClient::TrainerClient(TrainerOptions aOptions, OnBatch aOnBatch)
  : m_options(std::move(aOptions))
  , m_onBatch(std::move(aOnBatch))
  , m_verifier(m_options.m_shape)
{
}

TrainerReport TrainerClient::Run(const std::atomic<bool>& aStop)
{
  m_publishStarted = m_acknowledged = m_options.m_firstVersion - 1;
  LoadState();
  const auto start = MonotonicClock::Now();
  PublishVersion(std::max(m_acknowledged.load(), m_options.m_firstVersion),
                 aStop);
  std::atomic<bool> publisherStops{ false };
  std::thread publisher;
  if (m_options.m_publishInterval.count() > 0) {
    publisher = std::thread([this, &publisherStops] {
      internal::SleepFor(m_options.m_publishInterval, publisherStops);
      while (!publisherStops) {
        PublishVersion(m_acknowledged + 1, publisherStops);
        internal::SleepFor(m_options.m_publishInterval, publisherStops);
      }
    });
  }
  while (!ShouldStop(aStop) && !HasCompletedAllSteps()) {
    OpenSteps(aStop);
    FetchBatch(aStop);
  }
  m_report.m_total = MonotonicClock::Now() - start;
  publisherStops = true;
  if (publisher.joinable()) {
    publisher.join();
  }
  if (HasCompletedAllSteps()) {
    AcknowledgeLastBatch();
  }
  m_report.m_stepsDone = m_verifier.CompletedSteps();
  m_report.m_versions = m_acknowledged;
  m_report.m_failedCalls = m_failedCalls;
  return m_report;
}

bool TrainerClient::ShouldStop(const std::atomic<bool>& aStop) const
{
  return aStop || (m_options.m_deadline &&
                   MonotonicClock::Now() >= *m_options.m_deadline);
}

bool TrainerClient::HasCompletedAllSteps() const
{
  return m_options.m_steps > 0 &&
         m_verifier.CompletedSteps() >= m_options.m_steps;
}

HttpCall TrainerClient::MakeCall(const std::string& aMethod,
                                 const std::string& aPath,
                                 const json& aBody) const
{
  HttpCall call;
  call.m_method = aMethod;
  // CallWithRetries prepends the target.
  call.m_url = "/v1/trainers/" + m_options.m_shape.m_trainer + aPath;
  call.m_headers = { "X-Caller: " + m_options.m_shape.m_trainer };
  call.m_body = aBody.is_null() ? std::string() : aBody.dump();
  return call;
}

HttpResponse TrainerClient::CallWithRetries(const HttpCall& aCall,
                                            const std::vector<int>& aAccepted,
                                            const std::atomic<bool>& aStop)
{
  Duration delay = internal::kRetryDelay;
  while (true) {
    HttpCall call = aCall;
    const std::size_t used = m_target;
    call.m_url = m_options.m_targets[used] + aCall.m_url;
    HttpResponse response = Fetch(call);
    const bool accepted =
      response.m_failure.empty() &&
      std::find(aAccepted.begin(), aAccepted.end(), response.m_status) !=
        aAccepted.end();
    if (accepted || ShouldStop(aStop)) {
      return response;
    }
    ++m_failedCalls;
    LogLine(LogLevel::Warning, "call_failed")
      .Add("method", call.m_method)
      .Add("url", call.m_url)
      .Add("status", response.m_status)
      .Add("failure", response.m_failure)
      .Add("body", response.m_body.substr(0, 200));
    m_target = (used + 1) % m_options.m_targets.size();
    internal::SleepFor(delay, aStop);
    delay = std::min(delay * 2, internal::kMaxRetryDelay);
  }
}

void TrainerClient::OpenSteps(const std::atomic<bool>& aStop)
{
  while (!ShouldStop(aStop) &&
         m_nextStep <= m_verifier.CompletedSteps() + m_options.m_outstanding &&
         (m_options.m_steps == 0 || m_nextStep <= m_options.m_steps)) {
    json groups = json::array();
    for (std::uint64_t group = 0; group < m_options.m_shape.m_groups; ++group) {
      groups.push_back(
        { { "prompt", m_options.m_shape.PromptOf(m_nextStep, group) },
          { "samples", m_options.m_shape.m_samples } });
    }
    json body{ { "step", m_nextStep },
               { "model", m_options.m_model },
               { "max_tokens", m_options.m_shape.m_maxTokens },
               { "groups", groups } };
    if (!m_options.m_judge.empty()) {
      body["judge"] = m_options.m_judge;
    }
    // A 409 means that the step exists: an earlier response was lost.
    const auto response = CallWithRetries(
      MakeCall("POST", "/steps", body), { 200, 201, 202, 204, 409 }, aStop);
    if (response.m_status == 0 || response.m_status >= 500) {
      return;
    }
    ++m_nextStep;
    SaveState();
  }
}

void TrainerClient::FetchBatch(const std::atomic<bool>& aStop)
{
  const auto acknowledged = m_acknowledged.load();
  const auto start = MonotonicClock::Now();
  Duration poll = m_options.m_pollTime;
  if (m_options.m_deadline) {
    // A poll beyond the deadline would count as idle time of the run.
    poll = std::clamp(*m_options.m_deadline - start, Duration(0), poll);
  }
  const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(poll);
  HttpCall call = MakeCall("GET",
                           "/batches/" + std::to_string(m_cursor) +
                             "?wait_ms=" + std::to_string(wait.count()),
                           json());
  call.m_timeout = m_options.m_pollTime + std::chrono::seconds(10);
  const auto response = CallWithRetries(call, { 200, 204, 410 }, aStop);
  if (!response.m_failure.empty()) {
    return;
  }
  if (response.m_status == 200) {
    HandleBatch(response, acknowledged, MonotonicClock::Now() - start, aStop);
  } else if (response.m_status == 410) {
    DiscardBatch(aStop);
  }
}

void TrainerClient::HandleBatch(const HttpResponse& aResponse,
                                std::uint64_t aAcknowledged,
                                Duration aWaited,
                                const std::atomic<bool>& aStop)
{
  const json batch = json::parse(aResponse.m_body, nullptr, false);
  ReceivedBatch received;
  received.m_cursor = m_cursor;
  received.m_waited = aWaited;
  received.m_findings =
    m_verifier.Check(batch.is_object() ? batch : json::object(),
                     { aAcknowledged, m_publishStarted });
  auto& findings = received.m_findings;
  if (!batch.is_object() || batch.value("cursor", m_cursor) != m_cursor) {
    findings.m_violations.push_back("the batch has another cursor");
  }
  for (const auto step : findings.m_completedSteps) {
    if (step >= m_nextStep) {
      findings.m_violations.push_back("step " + std::to_string(step) +
                                      " was not opened");
    }
  }
  ++m_report.m_batches;
  m_report.m_samples += findings.m_samples;
  m_report.m_tokens += findings.m_tokens;
  for (const auto& [versions, count] : findings.m_staleness) {
    m_report.m_staleness[versions] += count;
  }
  m_report.m_violations.insert(m_report.m_violations.end(),
                               findings.m_violations.begin(),
                               findings.m_violations.end());
  m_onBatch(received);
  ++m_cursor;
  SaveState();
  Train(findings.m_samples, aStop);
  if (m_options.m_publishInterval.count() == 0) {
    for (std::size_t step = 0; step < findings.m_completedSteps.size();
         ++step) {
      PublishVersion(m_acknowledged + 1, aStop);
    }
  }
}

void TrainerClient::DiscardBatch(const std::atomic<bool>& aStop)
{
  // The cursor is saved together with the samples, so the batch at the next
  // cursor was never received.
  ++m_report.m_expiredBatches;
  const auto path = "/batches/" + std::to_string(m_cursor) + "/discard";
  const auto response = CallWithRetries(
    MakeCall("POST", path, json::object()), { 200, 202, 204, 409 }, aStop);
  if (response.IsOk() || response.m_status == 409) {
    ++m_cursor;
    SaveState();
  }
}

void TrainerClient::PublishVersion(std::uint64_t aVersion,
                                   const std::atomic<bool>& aStop)
{
  if (aVersion == 0) {
    return;
  }
  m_publishStarted = aVersion;
  SaveVersion(aVersion);
  const json body{ { "model", m_options.m_model }, { "version", aVersion } };
  // A restarted trainer publishes its last version again; 409 if it exists.
  const auto response = CallWithRetries(
    MakeCall("POST", "/versions", body), { 200, 202, 204, 409 }, aStop);
  if (response.IsOk() || response.m_status == 409) {
    m_acknowledged = aVersion;
  }
}

void TrainerClient::AcknowledgeLastBatch()
{
  HttpCall call = MakeCall(
    "GET", "/batches/" + std::to_string(m_cursor) + "?wait_ms=0", json());
  call.m_url = m_options.m_targets[m_target] + call.m_url;
  const auto response = Fetch(call);
  if (response.m_status == 200) {
    m_report.m_violations.emplace_back("a batch arrived after the last step");
  }
}

void TrainerClient::Train(std::uint64_t aSamples,
                          const std::atomic<bool>& aStop)
{
  const double share = static_cast<double>(aSamples) /
                       static_cast<double>(m_options.m_shape.SamplesPerStep());
  const auto time = Duration(static_cast<Duration::rep>(
    static_cast<double>(m_options.m_trainTime.count()) * share));
  const auto start = MonotonicClock::Now();
  internal::SleepFor(time, aStop);
  m_report.m_trained += MonotonicClock::Now() - start;
}

void TrainerClient::LoadState()
{
  std::ifstream file(m_options.m_cursorFile);
  if (m_options.m_cursorFile.empty() || !file) {
    return;
  }
  const json state = json::parse(file);
  m_cursor = state.at("cursor").get<std::uint64_t>();
  m_nextStep = state.at("next_step").get<std::uint64_t>();
  m_verifier.Restore(state.at("samples"));
  std::ifstream versionFile(m_options.m_cursorFile + ".version");
  std::uint64_t version = 0;
  if (versionFile >> version) {
    m_publishStarted = m_acknowledged = version;
  }
}

void TrainerClient::SaveState() const
{
  if (m_options.m_cursorFile.empty()) {
    return;
  }
  const json state{ { "cursor", m_cursor },
                    { "next_step", m_nextStep },
                    { "samples", m_verifier.Save() } };
  internal::ReplaceFile(m_options.m_cursorFile, state.dump());
}

void TrainerClient::SaveVersion(std::uint64_t aVersion) const
{
  if (!m_options.m_cursorFile.empty()) {
    internal::ReplaceFile(m_options.m_cursorFile + ".version",
                          std::to_string(aVersion));
  }
}

} // namespace auburntrestle::tools
