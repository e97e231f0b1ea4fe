#include "auburntrestle/routing/policy.hpp"

#include <algorithm>
#include <array>

namespace auburntrestle::routing {

namespace internal {

bool IsShare(double aValue)
{
  return aValue >= 0.0 && aValue <= 1.0;
}

} // namespace internal

tl::expected<void, PolicyError> Validate(const Policy& aPolicy)
{
  using internal::IsShare;
  struct Check
  {
    bool m_valid = false;
    PolicyError m_error;
  };
  const auto& admission = aPolicy.m_admission;
  const bool weightsValid = std::all_of(
    aPolicy.m_callers.begin(), aPolicy.m_callers.end(), [](const auto& aEntry) {
      return aEntry.second.m_weight > 0.0;
    });
  const std::array checks{
    Check{ admission.m_maxWaiting > 0,
           { PolicyErrorField::MaxWaiting, "at least 1" } },
    Check{ IsShare(admission.m_trainingFloor),
           { PolicyErrorField::TrainingFloor, "0 to 1" } },
    Check{ IsShare(admission.m_shortWorkShare),
           { PolicyErrorField::ShortWorkShare, "0 to 1" } },
    Check{ admission.m_initialLimit > 0,
           { PolicyErrorField::InitialLimit, "at least 1" } },
    Check{ admission.m_maxLimit > 0,
           { PolicyErrorField::MaxLimit, "at least 1" } },
    Check{ IsShare(aPolicy.m_hedging.m_budget),
           { PolicyErrorField::HedgingBudget, "0 to 1" } },
    Check{ aPolicy.m_hedging.m_delay >= Duration(0),
           { PolicyErrorField::HedgingDelay, "not negative" } },
    Check{ aPolicy.m_retry.m_maxAttempts > 0,
           { PolicyErrorField::MaxAttempts, "at least 1" } },
    Check{ IsShare(aPolicy.m_retry.m_budget),
           { PolicyErrorField::RetryBudget, "0 to 1" } },
    Check{ aPolicy.m_backendLease > Duration(0),
           { PolicyErrorField::BackendLease, "above zero" } },
    Check{ weightsValid, { PolicyErrorField::CallerWeight, "above zero" } },
  };
  for (const auto& check : checks) {
    if (!check.m_valid) {
      return tl::unexpected(check.m_error);
    }
  }
  return {};
}

} // namespace auburntrestle::routing
