#include "auburntrestle/rollout/coordinator.hpp"

#include "auburntrestle/rollout/internal/state_machine.hpp"

namespace auburntrestle::rollout {

tl::expected<void, PolicyError> CheckPolicy(const Policy& aPolicy) noexcept
{
  const struct
  {
    bool m_valid;
    std::string_view m_member;
  } checks[] = {
    { aPolicy.m_maxGenerating > 0, "maxGenerating" },
    { aPolicy.m_stragglerFactor > 1.0, "reliefFactor" },
    { aPolicy.m_stragglerBudget >= 0.0 && aPolicy.m_stragglerBudget <= 1.0,
      "reliefBudget" },
    { aPolicy.m_stragglerScanInterval.count() > 0, "reliefScanInterval" },
    { aPolicy.m_stragglerMinimumAge.count() >= 0, "reliefMinimumAge" },
    { aPolicy.m_maxDeferralIntervals > 0.0, "holdBackIntervals" },
    { aPolicy.m_retryDelay.count() > 0, "retryDelay" },
    { aPolicy.m_maxRetryDelay >= aPolicy.m_retryDelay, "maxRetryDelay" },
    { aPolicy.m_maxJudgeCalls > 0, "maxJudgeCalls" },
    { aPolicy.m_judgeTimeout.count() > 0, "judgeTimeout" },
    { aPolicy.m_maxParallelJudgeCalls > 0, "maxParallelJudgements" },
    { aPolicy.m_maxBatchBytes.Get() > 0, "maxBatchBytes" },
    { aPolicy.m_maxStepBytes.Get() > 0, "maxStepBytes" },
    { aPolicy.m_maxStepSamples > 0, "maxStepSamples" },
    { aPolicy.m_maxUndeliveredBytes.Get() > 0, "maxHeldBytes" },
  };
  for (const auto& check : checks) {
    if (!check.m_valid) {
      return tl::unexpected(PolicyError{ check.m_member });
    }
  }
  return {};
}

tl::expected<Coordinator, PolicyError> Coordinator::Create(
  CoordinatorOptions aOptions)
{
  if (const auto valid = CheckPolicy(aOptions.m_policy); !valid) {
    return tl::unexpected(valid.error());
  }
  return Coordinator(std::make_unique<internal::StateMachine>(aOptions.m_policy,
                                                              aOptions.m_seed));
}

Coordinator::Coordinator(
  std::unique_ptr<internal::StateMachine> aMachine) noexcept
  : m_machine(std::move(aMachine))
{
}

Coordinator::Coordinator(Coordinator&&) noexcept = default;
Coordinator& Coordinator::operator=(Coordinator&&) noexcept = default;
Coordinator::~Coordinator() = default;

void Coordinator::Handle(const Event& aEvent,
                         TimePoint aNow,
                         std::vector<Action>& aActions)
{
  m_machine->Handle(aEvent, aNow, aActions);
}

const Metrics& Coordinator::GetMetrics() const noexcept
{
  return m_machine->GetMetrics();
}

} // namespace auburntrestle::rollout
