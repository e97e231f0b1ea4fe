#ifndef AUBURNTRESTLE_DAEMON_REPORT_HPP
#define AUBURNTRESTLE_DAEMON_REPORT_HPP

#include "auburntrestle/observe/metrics.hpp"
#include "auburntrestle/registry/registry.hpp"
#include "auburntrestle/rollout/metrics.hpp"

#include <string>
#include <vector>

namespace auburntrestle::daemon {

/** A backend server that is slower than its peers or fails. */
struct SlowBackend
{
  BackendId m_backend;
  /** Time per token relative to its peers; 1 is normal. */
  double m_slowness = 1.0;
  bool m_failing = false;
};

/** Callers, outcomes, slow backend servers and rollout; read by the application
 * and the training department. */
struct Report
{
  std::vector<observe::CallerSummary> m_callers;
  std::vector<observe::OutcomeCount> m_outcomes;
  std::vector<SlowBackend> m_slowBackends;
  rollout::Metrics m_rollout;
  /** Sentences on what this report does not cover. */
  std::vector<std::string> m_notObserved;
};

/** Creates a report of the current state. */
[[nodiscard]] Report MakeReport(
  const observe::Metrics& aMetrics,
  const std::vector<registry::BackendView>& aBackends,
  const rollout::Metrics& aRollout);

/** @return the report as JSON; times are in seconds. */
[[nodiscard]] std::string RenderJson(const Report& aReport);

/** @return the report as a page of HTML. */
[[nodiscard]] std::string RenderHtml(const Report& aReport);

} // namespace auburntrestle::daemon

#endif
