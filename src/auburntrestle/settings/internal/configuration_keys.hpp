#ifndef AUBURNTRESTLE_SETTINGS_INTERNAL_CONFIGURATION_KEYS_HPP
#define AUBURNTRESTLE_SETTINGS_INTERNAL_CONFIGURATION_KEYS_HPP

#include "auburntrestle/settings/configuration.hpp"
#include "auburntrestle/settings/internal/key_traits.hpp"

#include <array>

namespace auburntrestle::settings::internal {

inline constexpr std::array kPolicyNames{ PolicyName::Fair,
                                          PolicyName::Baseline };
inline constexpr std::array kCallerClasses{ CallerClass::Application,
                                            CallerClass::Training };
inline constexpr RealRange kShareRange{ 0.0, 1.0 };
inline constexpr RealRange kWeightRange{ 0.01, 1000.0 };
/** Integers up to 2^53 - 1 are exact in JSON parsers that use doubles. */
inline constexpr IntegerRange kNumberRange{ 1, (std::int64_t{ 1 } << 53) - 1 };

/** Passes each key of a section to a visitor. These overloads are the only
 * list of keys: reading, listing and documentation all use them. */
template<typename Visitor>
void VisitKeys(Visitor& aVisitor, PolicySection& aSection)
{
  aVisitor.Enumeration(
    KeyMetadata{ "name",
                 "",
                 "Scheduling policy; `baseline` is first come first "
                 "served without limits." },
    aSection.m_name,
    kPolicyNames);
}

template<typename Visitor>
void VisitKeys(Visitor& aVisitor, AdmissionSection& aSection)
{
  aVisitor.Integer(
    KeyMetadata{ "max_waiting",
                 "requests",
                 "Requests that may wait in all queues of an instance." },
    aSection.m_maxWaiting,
    IntegerRange{ 1, 1'000'000 });
  aVisitor.Real(
    KeyMetadata{ "training_floor",
                 "share",
                 "Share of slots that training work gets at least." },
    aSection.m_trainingFloor,
    kShareRange);
  aVisitor.Real(KeyMetadata{ "short_work_share",
                             "share",
                             "Share of slots kept for short work." },
                aSection.m_shortWorkShare,
                kShareRange);
  aVisitor.Integer(
    KeyMetadata{ "short_work_tokens",
                 "tokens",
                 "Expected cost up to which work counts as short." },
    aSection.m_shortWorkTokens,
    IntegerRange{ 1, 1'000'000 });
  aVisitor.Integer(KeyMetadata{ "initial_limit",
                                "requests",
                                "Requests in flight to a backend server before "
                                "anything is known of it." },
                   aSection.m_initialLimit,
                   IntegerRange{ 1, 4096 });
  aVisitor.Integer(
    KeyMetadata{ "max_limit",
                 "requests",
                 "Upper bound of requests in flight to a backend server." },
    aSection.m_maxLimit,
    IntegerRange{ 1, 4096 });
}

template<typename Visitor>
void VisitKeys(Visitor& aVisitor, HedgingSection& aSection)
{
  aVisitor.Boolean(
    KeyMetadata{
      "enabled", "", "Whether idempotent application requests may be hedged." },
    aSection.m_enabled);
  aVisitor.Real(
    KeyMetadata{ "budget", "share", "Hedged requests as a share of requests." },
    aSection.m_budget,
    kShareRange);
  aVisitor.Milliseconds(
    KeyMetadata{
      "delay_ms", "ms", "Shortest wait for an answer before a hedge is sent." },
    aSection.m_delay,
    IntegerRange{ 1, 60'000 });
}

template<typename Visitor>
void VisitKeys(Visitor& aVisitor, RetrySection& aSection)
{
  aVisitor.Integer(KeyMetadata{ "max_attempts",
                                "attempts",
                                "Attempts of a request, the first included." },
                   aSection.m_maxAttempts,
                   IntegerRange{ 1, 10 });
  aVisitor.Real(
    KeyMetadata{ "budget", "share", "Retries as a share of requests." },
    aSection.m_budget,
    kShareRange);
}

template<typename Visitor>
void VisitKeys(Visitor& aVisitor, BackendsSection& aSection)
{
  aVisitor.Milliseconds(
    KeyMetadata{ "lease_ms",
                 "ms",
                 "Time after its last announcement for which a "
                 "backend server counts as present." },
    aSection.m_lease,
    IntegerRange{ 100, 60'000 });
}

template<typename Visitor>
void VisitKeys(Visitor& aVisitor, CallerSection& aSection)
{
  aVisitor.Enumeration(
    KeyMetadata{ "class", "", "Class of the caller's work." },
    aSection.m_class,
    kCallerClasses);
  aVisitor.Real(
    KeyMetadata{ "weight",
                 "",
                 "Share of capacity relative to other callers of the class." },
    aSection.m_weight,
    kWeightRange);
  aVisitor.Integer(
    KeyMetadata{ "max_waiting",
                 "requests",
                 "Requests of the caller that may wait on an instance." },
    aSection.m_maxWaiting,
    IntegerRange{ 1, 1'000'000 });
  aVisitor.Milliseconds(KeyMetadata{ "deadline_ms",
                                     "ms",
                                     "Deadline of a request that names none." },
                        aSection.m_deadline,
                        IntegerRange{ 1, 3'600'000 });
}

template<typename Visitor>
void VisitKeys(Visitor& aVisitor, TrainerSection& aSection)
{
  aVisitor.Name(
    KeyMetadata{
      "model",
      "",
      "Model that the trainer trains; required in the base or the overlay." },
    aSection.m_model,
    NameRule::Required);
  aVisitor.Real(
    KeyMetadata{
      "weight", "", "Share of capacity relative to other training callers." },
    aSection.m_weight,
    kWeightRange);
  aVisitor.Integer(KeyMetadata{ "staleness_bound",
                                "versions",
                                "Largest allowed age of a delivered sample." },
                   aSection.m_stalenessBound,
                   IntegerRange{ 0, 1000 });
  aVisitor.Integer(KeyMetadata{ "max_outstanding_steps",
                                "steps",
                                "Steps that may be open at a time." },
                   aSection.m_maxOutstandingSteps,
                   IntegerRange{ 1, 64 });
  aVisitor.Integer(
    KeyMetadata{ "batch_groups", "groups", "Groups in a batch." },
    aSection.m_batchGroups,
    IntegerRange{ 1, 4096 });
  aVisitor.Name(
    KeyMetadata{ "judge", "", "Service that scores samples; empty for none." },
    aSection.m_judge,
    NameRule::EmptyAllowed);
  aVisitor.Boolean(
    KeyMetadata{ "judge_repeatable",
                 "",
                 "Whether a judge call may be repeated; otherwise it "
                 "is made under a claim." },
    aSection.m_judgeRepeatable);
}

template<typename Visitor>
void VisitKeys(Visitor& aVisitor, WeightsSection& aSection)
{
  aVisitor.AddressWithHostName(
    KeyMetadata{
      "store", "host:port", "Address of the weight store; empty for none." },
    aSection.m_store);
  aVisitor.Integer(KeyMetadata{ "max_parallel_loads",
                                "engines",
                                "Engines that load a version at a time." },
                   aSection.m_maxParallelLoads,
                   IntegerRange{ 1, 4096 });
  aVisitor.Integer(
    KeyMetadata{ "min_serving",
                 "engines",
                 "Engines of a model that stay in service during a rollout." },
    aSection.m_minServing,
    IntegerRange{ 0, 4096 });
}

template<typename Visitor>
void VisitKeys(Visitor& aVisitor, ClaimsSection& aSection)
{
  aVisitor.Milliseconds(
    KeyMetadata{ "retention_ms",
                 "ms",
                 "Time for which the answer of a finished claim is kept." },
    aSection.m_retention,
    IntegerRange{ 1000, 604'800'000 });
}

} // namespace auburntrestle::settings::internal

#endif
