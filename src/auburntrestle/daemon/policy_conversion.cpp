#include "auburntrestle/daemon/policy_conversion.hpp"

namespace auburntrestle::daemon {

namespace internal {

admission::AdmissionPolicy Convert(const settings::AdmissionSection& aSection)
{
  admission::AdmissionPolicy policy;
  policy.m_maxWaiting = aSection.m_maxWaiting;
  policy.m_trainingFloor = aSection.m_trainingFloor;
  policy.m_shortWorkShare = aSection.m_shortWorkShare;
  policy.m_shortWorkTokens = aSection.m_shortWorkTokens;
  policy.m_initialLimit = aSection.m_initialLimit;
  policy.m_maxLimit = aSection.m_maxLimit;
  return policy;
}

} // namespace internal

routing::Policy MakePolicy(const settings::Configuration& aConfiguration)
{
  routing::Policy policy;
  policy.m_name =
    aConfiguration.Policy().m_name == settings::PolicyName::Baseline
      ? routing::PolicyName::Baseline
      : routing::PolicyName::Fair;
  policy.m_admission = internal::Convert(aConfiguration.Admission());
  policy.m_hedging.m_enabled = aConfiguration.Hedging().m_enabled;
  policy.m_hedging.m_budget = aConfiguration.Hedging().m_budget;
  policy.m_hedging.m_delay = aConfiguration.Hedging().m_delay;
  policy.m_retry.m_maxAttempts = aConfiguration.Retry().m_maxAttempts;
  policy.m_retry.m_budget = aConfiguration.Retry().m_budget;
  policy.m_backendLease = aConfiguration.Backends().m_lease;
  for (const auto& [caller, section] : aConfiguration.Callers()) {
    policy.m_callers[caller] =
      admission::CallerPolicy{ section.m_weight, section.m_maxWaiting };
  }
  for (const auto& [trainer, section] : aConfiguration.Trainers()) {
    const CallerId caller(trainer.Get());
    if (!policy.m_callers.contains(caller)) {
      policy.m_callers[caller].m_weight = section.m_weight;
    }
  }
  return policy;
}

} // namespace auburntrestle::daemon
