#include "auburntrestle/rollout/simulation.hpp"

#include <algorithm>
#include <sstream>

namespace auburntrestle::rollout::test {
namespace {

/** @return the trail of a sample according to the engines, or nothing if a
 * token is unknown or was generated for another sample. */
std::optional<Trail> GroundTruthTrail(const GroundTruth& aGroundTruth,
                                      const BatchSample& aSample)
{
  Trail trail;
  std::istringstream text(aSample.m_text);
  std::string token;
  while (text >> token) {
    const auto found = aGroundTruth.m_tokens.find(token);
    if (found == aGroundTruth.m_tokens.end() ||
        found->second.m_sample != aSample.m_id) {
      return std::nullopt;
    }
    const WeightVersion version = found->second.m_version;
    if (trail.empty() || trail.back().m_version != version) {
      trail.push_back({ version, TokenCount(0) });
    }
    trail.back().m_tokens = trail.back().m_tokens.Next();
  }
  return trail;
}

std::uint64_t NewestAt(const GroundTruth& aGroundTruth,
                       std::size_t aTrainer,
                       TimePoint aTime)
{
  std::uint64_t newest = 0;
  const auto found = aGroundTruth.m_published.find(aTrainer);
  if (found != aGroundTruth.m_published.end()) {
    for (const auto& [time, version] : found->second) {
      newest = time <= aTime ? std::max(newest, version.Get()) : newest;
    }
  }
  return newest;
}

void CheckSample(const GroundTruth& aGroundTruth,
                 const ReceivedBatch& aBatch,
                 const BatchSample& aSample,
                 Findings& aFindings)
{
  ++aFindings.m_checkedSamples;
  const auto trail = GroundTruthTrail(aGroundTruth, aSample);
  if (!trail || trail->empty() || *trail != aSample.m_trail) {
    ++aFindings.m_wrongVersions;
    return;
  }
  std::uint64_t oldest = trail->front().m_version.Get();
  for (const VersionSpan& span : *trail) {
    oldest = std::min(oldest, span.m_version.Get());
  }
  const std::uint64_t newest =
    NewestAt(aGroundTruth, aBatch.m_trainer, aBatch.m_sent);
  if (newest > oldest + aGroundTruth.m_bounds.at(aBatch.m_trainer)) {
    ++aFindings.m_overBound;
  }
}

} // namespace

Findings Check(const GroundTruth& aGroundTruth)
{
  Findings findings;
  std::map<SampleId, std::size_t> received;
  for (const ReceivedBatch& receivedBatch : aGroundTruth.m_receivedBatches) {
    const auto batch = DecodeBatch(receivedBatch.m_body);
    if (!batch) {
      ++findings.m_splitGroups;
      continue;
    }
    std::map<std::pair<StepNumber, GroupIndex>, std::set<SampleIndex>> groups;
    for (const BatchSample& sample : batch->m_samples) {
      ++received[sample.m_id];
      groups[{ sample.m_id.m_step, sample.m_id.m_group }].insert(
        sample.m_id.m_index);
      CheckSample(aGroundTruth, receivedBatch, sample, findings);
    }
    for (const auto& [group, indexes] : groups) {
      const StepSpec& spec =
        aGroundTruth.m_steps.at({ receivedBatch.m_trainer, group.first });
      findings.m_splitGroups +=
        indexes.size() != spec.m_groups.at(group.second.Get()).m_samples ? 1
                                                                         : 0;
    }
  }
  for (const auto& [id, count] : received) {
    findings.m_duplicates += count - 1;
  }
  std::size_t expected = 0;
  for (const auto& [key, spec] : aGroundTruth.m_steps) {
    for (const GroupSpec& group : spec.m_groups) {
      expected += group.m_samples;
    }
  }
  findings.m_missingSamples = expected - std::min(expected, received.size());
  for (const auto& [call, runs] : aGroundTruth.m_judgeRuns) {
    findings.m_repeatedJudgements += runs > 1 ? 1 : 0;
  }
  return findings;
}

} // namespace auburntrestle::rollout::test
