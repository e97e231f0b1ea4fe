#include "auburntrestle/rollout/internal/state_machine.hpp"

#include <algorithm>
#include <utility>

namespace auburntrestle::rollout::internal {
void StateMachine::RelieveStragglers(Trainer& aTrainer)
{
  if (m_policy.m_relief == StragglerRelief::Off ||
      !aTrainer.m_estimate.PaceKnown() || m_now < aTrainer.m_nextReliefScan) {
    return;
  }
  aTrainer.m_nextReliefScan = m_now + m_policy.m_reliefScanInterval;
  std::size_t inProgress = 0;
  for (const SampleKey& key : aTrainer.m_generating) {
    const auto& attempts = At(aTrainer, key).m_sample->m_attempts;
    inProgress +=
      std::any_of(attempts.begin(),
                  attempts.end(),
                  [](const Attempt& aAttempt) { return aAttempt.m_relief; })
        ? 1
        : 0;
  }
  const auto allowed =
    std::max<std::size_t>(1,
                          static_cast<std::size_t>(
                            m_policy.m_reliefBudget *
                            static_cast<double>(aTrainer.m_generating.size())));
  std::size_t budget = allowed > inProgress ? allowed - inProgress : 0;
  const std::vector<SampleKey> keys(aTrainer.m_generating.begin(),
                                    aTrainer.m_generating.end());
  for (auto first = keys.begin(); first != keys.end() && budget > 0;) {
    const auto last = std::find_if(first, keys.end(), [&](const auto& aKey) {
      return aKey.m_step != first->m_step || aKey.m_group != first->m_group;
    });
    RelieveGroup(aTrainer, { first, last }, budget);
    first = last;
  }
}

void StateMachine::RelieveGroup(Trainer& aTrainer,
                                const std::vector<SampleKey>& aKeys,
                                std::size_t& aBudget)
{
  // The group finishes with its last sample; only slow samples that are
  // predicted to finish after every other one delay it.
  Duration others{};
  std::vector<std::pair<Duration, SampleKey>> slow;
  for (const SampleKey& key : aKeys) {
    const Found found = At(aTrainer, key);
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
    Found found = At(aTrainer, key);
    if (aBudget == 0 || remaining <= others ||
        found.m_sample->m_reliefs >= m_policy.m_maxReliefs) {
      continue;
    }
    --aBudget;
    Relieve(found);
  }
}

bool StateMachine::IsSlow(const Trainer& aTrainer,
                          const Step& aStep,
                          const Attempt& aAttempt,
                          Duration& aRemaining) const
{
  const GenerationEstimate& estimate = aTrainer.m_estimate;
  const auto produced = static_cast<double>(aAttempt.m_output.m_tokens.Get());
  const double left = std::min(
    std::max(estimate.MeanTokens() - produced, estimate.MeanTokens() / 4),
    static_cast<double>(aStep.m_spec.m_maxTokens.Get()) - produced);
  const auto usual = static_cast<double>(estimate.PerToken().count()) * left;
  const auto startup = static_cast<double>(estimate.Startup().count());
  const double fresh = startup + usual;
  const auto age = static_cast<double>((m_now - aAttempt.m_started).count());
  double remaining = std::max(age, startup) + usual;
  if (aAttempt.m_firstToken) {
    const double own =
      produced - static_cast<double>(aAttempt.m_resumedTokens.Get());
    const auto spent =
      static_cast<double>((m_now - *aAttempt.m_firstToken).count());
    remaining = spent / std::max(own, 1.0) * left;
  }
  aRemaining = Duration(static_cast<Duration::rep>(remaining));
  // An attempt that no engine has accepted waits in the dispatcher's queue,
  // where a second one would wait behind it.
  return aAttempt.m_accepted &&
         m_now - aAttempt.m_started >= m_policy.m_reliefMinimumAge &&
         left > 0 && remaining > m_policy.m_reliefFactor * fresh;
}

void StateMachine::Relieve(Found& aFound)
{
  ++aFound.m_sample->m_reliefs;
  ++m_metrics.m_reliefs;
  std::optional<Generated> from;
  const AttemptNumber slow = aFound.m_sample->m_attempts.front().m_number;
  if (const Generated& output = aFound.m_sample->m_attempts.front().m_output;
      !output.m_trail.empty()) {
    from = output;
  }
  StartAttempt(aFound, std::move(from), true);
  if (m_policy.m_relief == StragglerRelief::Move) {
    DropAttempt(aFound, slow, true);
  }
}

} // namespace auburntrestle::rollout::internal
