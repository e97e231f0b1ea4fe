#include "soak/checker.hpp"

#include "platform/sampler.hpp"

#include <iostream>

namespace auburntrestle::soak {

using platform::Json;
using platform::test::Sampler;

void Checker::RecordViolation(std::initializer_list<std::string_view> aParts)
{
  std::string text;
  for (const auto part : aParts) {
    text += part;
  }
  std::cout << "VIOLATION " << text << std::endl;
  m_violations.push_back(std::move(text));
}

void Checker::CheckResponse(const std::string& aRequest,
                            int aStatus,
                            const std::string& aBody,
                            const std::string& aSignature)
{
  constexpr int kOk = 200;
  constexpr int kTooMany = 429;
  constexpr int kUnavailable = 503;
  if (aStatus == kOk && (aBody != Sampler::PlainAnswer(aRequest) ||
                         aSignature != Sampler::Signature(aRequest))) {
    RecordViolation(
      { "request ", aRequest, " got the answer of another: ", aBody });
  }
  if (aStatus == kTooMany || aStatus == kUnavailable) {
    m_refused.insert(aRequest);
  }
}

void Checker::CheckJobResults(const std::string& aId,
                              AcceptedJob& aJob,
                              std::size_t aAfter,
                              const Json& aView)
{
  if (aView["total"] != aJob.m_items.size()) {
    RecordViolation({ "job ", aId, " has a wrong total" });
  }
  std::size_t position = aAfter;
  for (const auto& result : aView["results"]) {
    if (position < aJob.m_results.size()) {
      if (aJob.m_results[position] != result) {
        RecordViolation(
          { "job ", aId, " changed position ", std::to_string(position) });
      }
    } else {
      CheckResult(aId, aJob, result);
      aJob.m_results.push_back(result);
    }
    ++position;
  }
  if (aView["next"] != position) {
    RecordViolation({ "job ", aId, " names a wrong next position" });
  }
}

void Checker::CheckResult(const std::string& aId,
                          const AcceptedJob& aJob,
                          const Json& aResult)
{
  const std::string item = aResult["id"];
  if (!aJob.m_items.contains(item)) {
    RecordViolation({ "job ", aId, " lists item ", item, " of another job" });
  }
  for (const auto& other : aJob.m_results) {
    if (other["id"] == item) {
      RecordViolation({ "job ", aId, " lists item ", item, " twice" });
    }
  }
  if (aResult["state"] != "completed") {
    return;
  }
  const std::string output = aResult["output"];
  std::set<std::uint64_t> versions;
  if (!Sampler::IsWholeText(item, output, versions)) {
    RecordViolation({ "item ", item, " has a wrong text: ", output });
  }
  const std::set<std::uint64_t> named(aResult["versions"].begin(),
                                      aResult["versions"].end());
  if (named != versions) {
    RecordViolation({ "item ", item, " names other versions than made it" });
  }
  if (!named.empty() && *named.begin() < aJob.m_minVersion) {
    RecordViolation({ "item ", item, " is older than its job allows" });
  }
}

void Checker::RecordMissingJob(const std::string& aId)
{
  RecordViolation({ "job ", aId, " was accepted and is not found" });
}

void Checker::RecordAcknowledgedConfiguration(std::uint64_t aVersion)
{
  m_configuration = std::max(m_configuration, aVersion);
}

void Checker::CheckReadConfiguration(std::uint64_t aVersion,
                                     std::uint64_t aFloor)
{
  if (aVersion < aFloor) {
    RecordViolation({ "configuration ",
                      std::to_string(aVersion),
                      " was read after ",
                      std::to_string(aFloor),
                      " was acknowledged" });
  }
}

void Checker::RecordOrder(const std::string& aEngine,
                          const std::string& aHolder,
                          std::uint64_t aFencing)
{
  const auto [holder, isNew] = m_holders.emplace(aFencing, aHolder);
  if (!isNew && holder->second != aHolder) {
    RecordViolation(
      { "fencing number ", std::to_string(aFencing), " has two holders" });
  }
  auto& highest = m_fencing[aEngine];
  highest = std::max(highest, aFencing);
}

void Checker::CheckFinalState()
{
  for (const auto& request : m_refused) {
    if (m_runs.contains(request)) {
      RecordViolation(
        { "request ", request, " was refused as not run, and ran" });
    }
  }
  for (const auto& request : m_sentOnce) {
    const auto runs = m_runs.find(request);
    if (runs != m_runs.end() && runs->second > 1) {
      RecordViolation({ "request ", request, " ran more than once" });
    }
  }
}

} // namespace auburntrestle::soak
