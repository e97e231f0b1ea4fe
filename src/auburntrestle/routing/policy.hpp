#ifndef AUBURNTRESTLE_ROUTING_POLICY_HPP
#define AUBURNTRESTLE_ROUTING_POLICY_HPP

#include "auburntrestle/admission/policy.hpp"
#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace auburntrestle::routing {

/** How requests are scheduled. */
enum class PolicyName : std::uint8_t
{
  /** First come first served, least reported load, no limit. */
  Baseline,
  /**
   * Class priorities, fair shares among callers, concurrency limits per server,
   * affinity and hedging.
   */
  Fair,
};

/** The operators' `[hedging]` table. */
struct HedgingPolicy
{
  bool m_enabled = true;
  /** Maximum hedges per request, 0 to 1. */
  double m_budget = 0.05;
  /** Minimum wait for a first token before a hedge. */
  Duration m_delay = std::chrono::milliseconds(200);
};

/** The operators' `[retry]` table. */
struct RetryPolicy
{
  /** Maximum attempts without progress per request, at least 1. */
  std::uint32_t m_maxAttempts = 3;
  /** Maximum retries per request, on average over all requests, 0 to 1. */
  double m_budget = 0.2;
};

/** The part of the operators' configuration that governs dispatch. */
struct Policy
{
  PolicyName m_name = PolicyName::Fair;
  admission::AdmissionPolicy m_admission;
  HedgingPolicy m_hedging;
  RetryPolicy m_retry;
  /** How long an announcement of a backend server is valid. */
  Duration m_backendLease = std::chrono::seconds(3);
  /** Callers that are not listed have the default `CallerPolicy`. */
  std::unordered_map<CallerId, admission::CallerPolicy> m_callers;
};

/** The field of a policy that is out of range. */
enum class PolicyErrorField : std::uint8_t
{
  MaxWaiting,
  TrainingFloor,
  ShortWorkShare,
  InitialLimit,
  MaxLimit,
  HedgingBudget,
  HedgingDelay,
  MaxAttempts,
  RetryBudget,
  BackendLease,
  CallerWeight,
};

/** Why a policy was not accepted. */
struct PolicyError
{
  PolicyErrorField m_field;
  /** The allowed range. */
  std::string_view m_allowed;
};

/** Checks that all values of a policy are in range. */
[[nodiscard]] tl::expected<void, PolicyError> Validate(const Policy& aPolicy);

} // namespace auburntrestle::routing

#endif
