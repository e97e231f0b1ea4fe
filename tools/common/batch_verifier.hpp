#ifndef AUBURNTRESTLE_TOOLS_COMMON_BATCH_VERIFIER_HPP
#define AUBURNTRESTLE_TOOLS_COMMON_BATCH_VERIFIER_HPP

#include "common/output.hpp"
#include "common/prompt.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace auburntrestle::tools {

/** Parameters of the steps of a trainer; they determine every prompt. */
struct StepShape
{
  std::string m_trainer = "conselheiro";
  std::uint64_t m_groups = 4;
  std::uint64_t m_samples = 4;
  std::uint64_t m_maxTokens = 128;
  bool m_judged = false;
  /** Largest allowed difference of versions. */
  std::uint64_t m_stalenessBound = 2;
  PromptShape m_prompt;
  OutputShape m_outputShape;

  /** @return the prompt of a group. */
  [[nodiscard]] std::string PromptOf(std::uint64_t aStep,
                                     std::uint64_t aGroup) const;
  [[nodiscard]] std::uint64_t SamplesPerStep() const noexcept
  {
    return m_groups * m_samples;
  }
};

/** The trainer's weight versions while a batch was in delivery. */
struct VersionWindow
{
  /** Newest version whose publication was acknowledged before the request. */
  std::uint64_t m_acknowledged = 0;
  /** Newest version whose publication had started when the batch arrived. */
  std::uint64_t m_publishStarted = 0;
};

/** The result of checking one batch. */
struct BatchFindings
{
  std::vector<std::string> m_violations;
  std::uint64_t m_samples = 0;
  std::uint64_t m_tokens = 0;
  /** Samples by staleness in versions. */
  std::map<std::uint64_t, std::uint64_t> m_staleness;
  /** Steps that the batch completed. */
  std::vector<std::uint64_t> m_completedSteps;
};

/**
 * Checks the batches of one trainer: no sample twice, each output complete and
 * matching its prompt, each trail complete and within the staleness bound, and
 * groups never split between batches.
 */
class BatchVerifier
{
public:
  explicit BatchVerifier(StepShape aShape)
    : m_shape(std::move(aShape))
  {
  }

  /** Checks a batch and records its samples. */
  [[nodiscard]] BatchFindings Check(const nlohmann::json& aBatch,
                                    const VersionWindow& aVersions);
  /** @return the number of steps of which all samples arrived. */
  [[nodiscard]] std::uint64_t CompletedSteps() const noexcept
  {
    return m_completed;
  }
  /** @return the state that a restarted trainer needs. */
  [[nodiscard]] nlohmann::json Save() const;
  /** Restores the state that Save returned. */
  void Restore(const nlohmann::json& aSaved);

private:
  void CheckSample(const nlohmann::json& aSample,
                   const VersionWindow& aVersions,
                   BatchFindings& aFindings);
  void CheckTrail(const nlohmann::json& aSample,
                  const std::string& aName,
                  std::uint64_t aExpectedTokens,
                  const VersionWindow& aVersions,
                  BatchFindings& aFindings);

  StepShape m_shape;
  std::set<std::string> m_received;
  std::map<std::uint64_t, std::uint64_t> m_perStep;
  std::uint64_t m_completed = 0;
};

} // namespace auburntrestle::tools

#endif
