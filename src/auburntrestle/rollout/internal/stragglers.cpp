#include "auburntrestle/rollout/internal/state_machine.hpp"

#include <algorithm>
#include <utility>

namespace auburntrestle::rollout::internal {

void StateMachine::MitigateStragglers(Trainer& aTrainer)
{
  if (m_policy.m_stragglerMitigation == StragglerMitigation::Off ||
      !aTrainer.m_estimate.HasTokenTimes() ||
      m_now < aTrainer.m_nextStragglerScan) {
    return;
  }
  aTrainer.m_nextStragglerScan = m_now + m_policy.m_stragglerScanInterval;
  std::size_t inProgress = 0;
  for (const SampleKey& key : aTrainer.m_generating) {
    const auto& attempts = At(aTrainer, key).m_sample->m_attempts;
    inProgress += std::any_of(attempts.begin(),
                              attempts.end(),
                              [](const Attempt& aAttempt) {
                                return aAttempt.m_isMitigation;
                              })
                    ? 1
                    : 0;
  }
  const auto allowed =
    std::max<std::size_t>(1,
                          static_cast<std::size_t>(
                            m_policy.m_stragglerBudget *
                            static_cast<double>(aTrainer.m_generating.size())));
  std::size_t budget = allowed > inProgress ? allowed - inProgress : 0;
  const std::vector<SampleKey> keys(aTrainer.m_generating.begin(),
                                    aTrainer.m_generating.end());
  for (auto first = keys.begin(); first != keys.end() && budget > 0;) {
    const auto last = std::find_if(first, keys.end(), [&](const auto& aKey) {
      return aKey.m_step != first->m_step || aKey.m_group != first->m_group;
    });
    MitigateGroup(aTrainer, { first, last }, budget);
    first = last;
  }
}

void StateMachine::MitigateGroup(Trainer& aTrainer,
                                 const std::vector<SampleKey>& aKeys,
                                 std::size_t& aBudget)
{
  // A group completes with its last sample, so only slow samples that are
  // predicted to finish after all others delay it.
  Duration others{};
  std::vector<std::pair<Duration, SampleKey>> slow;
  for (const SampleKey& key : aKeys) {
    const SampleRef found = At(aTrainer, key);
    Duration remaining{};
    if (found.m_sample->m_attempts.size() == 1 &&
        IsSlow(aTrainer,
               *found.m_step,
               found.m_sample->m_attempts.front(),
               remaining)) {
      slow.emplace_back(remaining, key);
    } else {
      others = std::max(others, remaining);
    }
  }
  for (const auto& [remaining, key] : slow) {
    SampleRef found = At(aTrainer, key);
    if (aBudget == 0 || remaining <= others ||
        found.m_sample->m_mitigations >= m_policy.m_maxMitigations) {
      continue;
    }
    --aBudget;
    MitigateSample(found);
  }
}

bool StateMachine::IsSlow(const Trainer& aTrainer,
                          const Step& aStep,
                          const Attempt& aAttempt,
                          Duration& aRemaining) const
{
  const GenerationEstimate& estimate = aTrainer.m_estimate;
  const auto produced = static_cast<double>(aAttempt.m_output.m_tokens.Get());
  const double tokensLeft = std::min(
    std::max(estimate.MeanTokens() - produced, estimate.MeanTokens() / 4),
    static_cast<double>(aStep.m_spec.m_maxTokens.Get()) - produced);
  const auto usualRemaining =
    static_cast<double>(estimate.TimePerToken().count()) * tokensLeft;
  const auto firstToken =
    static_cast<double>(estimate.TimeToFirstToken().count());
  const double freshTotal = firstToken + usualRemaining;
  const auto age = static_cast<double>((m_now - aAttempt.m_started).count());
  double remaining = std::max(age, firstToken) + usualRemaining;
  if (aAttempt.m_firstToken) {
    const double ownTokens =
      produced - static_cast<double>(aAttempt.m_resumedTokens.Get());
    const auto elapsed =
      static_cast<double>((m_now - *aAttempt.m_firstToken).count());
    remaining = elapsed / std::max(ownTokens, 1.0) * tokensLeft;
  }
  aRemaining = Duration(static_cast<Duration::rep>(remaining));
  // An attempt that no engine has accepted is queued in the dispatcher; a
  // second attempt would be queued behind it.
  return aAttempt.m_accepted &&
         m_now - aAttempt.m_started >= m_policy.m_stragglerMinimumAge &&
         tokensLeft > 0 && remaining > m_policy.m_stragglerFactor * freshTotal;
}

void StateMachine::MitigateSample(SampleRef& aSample)
{
  ++aSample.m_sample->m_mitigations;
  ++m_metrics.m_mitigations;
  std::optional<Output> from;
  const AttemptNumber slow = aSample.m_sample->m_attempts.front().m_number;
  if (const Output& output = aSample.m_sample->m_attempts.front().m_output;
      !output.m_trail.empty()) {
    from = output;
  }
  StartAttempt(aSample, std::move(from), true);
  if (m_policy.m_stragglerMitigation == StragglerMitigation::Move) {
    DropAttempt(aSample, slow, true);
  }
}

} // namespace auburntrestle::rollout::internal
