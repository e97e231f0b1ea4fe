#include "common/batch_verifier.hpp"

#include <algorithm>

namespace auburntrestle::tools {

using nlohmann::json;

std::string StepShape::PromptOf(std::uint64_t aStep, std::uint64_t aGroup) const
{
  return MakePrompt(m_prompt, m_trainer, aStep * m_groups + aGroup);
}

BatchFindings BatchVerifier::Check(const json& aBatch,
                                   const VersionWindow& aVersions)
{
  BatchFindings findings;
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::uint64_t> groups;
  try {
    for (const json& sample : aBatch.at("samples")) {
      ++groups[{ sample.at("step").get<std::uint64_t>(),
                 sample.at("group").get<std::uint64_t>() }];
      CheckSample(sample, aVersions, findings);
    }
  } catch (const json::exception& failure) {
    findings.m_violations.push_back(std::string("malformed batch: ") +
                                    failure.what());
  }
  for (const auto& [group, count] : groups) {
    if (count != m_shape.m_samples) {
      findings.m_violations.push_back("group " + std::to_string(group.second) +
                                      " of step " +
                                      std::to_string(group.first) + " has " +
                                      std::to_string(count) + " samples");
    }
  }
  return findings;
}

void BatchVerifier::CheckSample(const json& aSample,
                                const VersionWindow& aVersions,
                                BatchFindings& aFindings)
{
  const auto step = aSample.at("step").get<std::uint64_t>();
  const auto group = aSample.at("group").get<std::uint64_t>();
  const auto index = aSample.at("index").get<std::uint64_t>();
  const std::string name = std::to_string(step) + "/" + std::to_string(group) +
                           "/" + std::to_string(index);
  const auto addViolation = [&](const std::string& aWhat) {
    aFindings.m_violations.push_back("sample " + name + ": " + aWhat);
  };
  ++aFindings.m_samples;
  if (group >= m_shape.m_groups || index >= m_shape.m_samples) {
    addViolation("was not requested");
    return;
  }
  if (!m_received.insert(name).second) {
    addViolation("was delivered twice");
    return;
  }
  if (++m_perStep[step] == m_shape.SamplesPerStep()) {
    ++m_completed;
    m_perStep.erase(step);
    aFindings.m_completedSteps.push_back(step);
  }
  const std::string prompt = m_shape.PromptOf(step, group);
  if (aSample.at("prompt") != prompt) {
    addViolation("has the prompt of another group");
  }
  const auto length =
    OutputLength(prompt, m_shape.m_maxTokens, m_shape.m_outputShape);
  aFindings.m_tokens += length;
  if (aSample.at("text") !=
      ExpectedOutput(prompt, m_shape.m_maxTokens, m_shape.m_outputShape)) {
    addViolation("the answer is not whole or not its own");
  }
  if (m_shape.m_judged &&
      (!aSample.contains("score") || !aSample["score"].is_number())) {
    addViolation("has no score");
  }
  CheckTrail(aSample, name, length, aVersions, aFindings);
}

void BatchVerifier::CheckTrail(const json& aSample,
                               const std::string& aName,
                               std::uint64_t aExpectedTokens,
                               const VersionWindow& aVersions,
                               BatchFindings& aFindings)
{
  const auto addViolation = [&](const std::string& aWhat) {
    aFindings.m_violations.push_back("sample " + aName + ": " + aWhat);
  };
  std::uint64_t tokens = 0;
  std::uint64_t oldest = ~std::uint64_t{ 0 };
  for (const json& segment : aSample.at("trail")) {
    const auto version = segment.at("version").get<std::uint64_t>();
    tokens += segment.at("tokens").get<std::uint64_t>();
    oldest = std::min(oldest, version);
    if (version == 0 || version > aVersions.m_publishStarted) {
      addViolation("its trail names version " + std::to_string(version));
    }
  }
  if (tokens != aExpectedTokens) {
    addViolation("its trail covers " + std::to_string(tokens) + " of " +
                 std::to_string(aExpectedTokens) + " tokens");
  }
  const auto staleness =
    aVersions.m_acknowledged > oldest ? aVersions.m_acknowledged - oldest : 0;
  ++aFindings.m_staleness[staleness];
  if (staleness > m_shape.m_stalenessBound) {
    addViolation("its staleness is " + std::to_string(staleness));
  }
}

json BatchVerifier::Save() const
{
  json perStep = json::array();
  for (const auto& [step, count] : m_perStep) {
    perStep.push_back({ step, count });
  }
  return { { "received", m_received },
           { "per_step", perStep },
           { "completed", m_completed } };
}

void BatchVerifier::Restore(const json& aSaved)
{
  m_received = aSaved.at("received").get<std::set<std::string>>();
  m_perStep.clear();
  for (const json& entry : aSaved.at("per_step")) {
    m_perStep[entry.at(0).get<std::uint64_t>()] =
      entry.at(1).get<std::uint64_t>();
  }
  m_completed = aSaved.at("completed").get<std::uint64_t>();
}

} // namespace auburntrestle::tools
