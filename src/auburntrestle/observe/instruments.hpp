#ifndef AUBURNTRESTLE_OBSERVE_INSTRUMENTS_HPP
#define AUBURNTRESTLE_OBSERVE_INSTRUMENTS_HPP

#include "auburntrestle/core/time.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace auburntrestle::observe {

/** Names of the counter families; docs/OPERATIONS.md documents them. */
namespace counters {
inline constexpr std::string_view kResponses = "trestle_responses_total";
inline constexpr std::string_view kAccessErrors = "trestle_access_errors_total";
inline constexpr std::string_view kClientsShed = "trestle_clients_shed_total";
inline constexpr std::string_view kDutyCalls = "trestle_duty_calls_total";
inline constexpr std::string_view kUsageWindows = "trestle_usage_windows_total";
inline constexpr std::string_view kServerOrders = "trestle_server_orders_total";
inline constexpr std::string_view kBackendFailures =
  "trestle_backend_failures_total";
inline constexpr std::string_view kRateLimits = "trestle_rate_limits_total";
inline constexpr std::string_view kDrainingBackends =
  "trestle_draining_backends_total";
inline constexpr std::string_view kPermits = "trestle_permits_total";
inline constexpr std::string_view kHedges = "trestle_hedges_total";
inline constexpr std::string_view kItems = "trestle_items_total";
inline constexpr std::string_view kRewards = "trestle_rewards_total";
inline constexpr std::string_view kBrokenRuns = "trestle_broken_runs_total";
inline constexpr std::string_view kOrders = "trestle_orders_total";
inline constexpr std::string_view kProposals = "trestle_proposals_total";
inline constexpr std::string_view kLeaderships = "trestle_leaderships_total";
inline constexpr std::string_view kLogLines = "trestle_log_lines_total";
} // namespace counters

/** Names of the histogram families; all observations are in seconds. */
namespace histograms {
inline constexpr std::string_view kResponseTime = "trestle_response_seconds";
inline constexpr std::string_view kCommitTime = "trestle_commit_seconds";
inline constexpr std::string_view kItemTime = "trestle_item_seconds";
inline constexpr std::string_view kRewardTime = "trestle_reward_seconds";
} // namespace histograms

/** Names of the gauges. */
namespace gauges {
inline constexpr std::string_view kConfigurationVersion =
  "trestle_configuration_version";
inline constexpr std::string_view kBackends = "trestle_backends";
inline constexpr std::string_view kIsLeader = "trestle_leads";
inline constexpr std::string_view kRunningItems = "trestle_running_items";
inline constexpr std::string_view kWaitingItems = "trestle_waiting_items";
} // namespace gauges

/**
 * Counters, histograms and gauges of one instance, in Prometheus format.
 * Counters and histograms have one label, "kind". The number of distinct label
 * values per family is limited; any further value is recorded as "other".
 */
class Instruments
{
public:
  Instruments();
  Instruments(const Instruments&) = delete;
  Instruments& operator=(const Instruments&) = delete;
  ~Instruments();

  /** Increments a counter by one. */
  void Count(std::string_view aFamily, std::string_view aLabel);
  /** Adds an observation to a histogram. */
  void ObserveDuration(std::string_view aFamily,
                       std::string_view aLabel,
                       Duration aDuration);
  void SetGauge(std::string_view aGauge, double aValue);

  /** @return all metrics in the Prometheus text format. */
  [[nodiscard]] std::string Serialize();

private:
  struct Implementation;

  std::unique_ptr<Implementation> m_implementation;
};

} // namespace auburntrestle::observe

#endif
