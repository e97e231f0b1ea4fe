#include "auburntrestle/fleet/internal/job_items.hpp"
#include "auburntrestle/fleet/job_runner.hpp"

namespace auburntrestle::fleet {

namespace {

constexpr Duration kCheckInterval = std::chrono::milliseconds(200);
/** A run without an event for this long is aborted and resumed on another
 * engine. */
constexpr Duration kStallTimeout = std::chrono::milliseconds(1500);
/** The same while the engine loads weights, which pauses its runs. */
constexpr Duration kLoadingStallTimeout = std::chrono::milliseconds(4000);
/** Minimum age of a run before it may migrate off a slow engine. */
constexpr Duration kMinMigrationAge = std::chrono::milliseconds(500);

} // namespace

void JobRunner::RunPeriodicChecks()
{
  const TimePoint now = MonotonicClock::Now();
  std::size_t running = 0;
  std::size_t waiting = 0;
  const auto jobs = m_order;
  for (const auto& job : jobs) {
    ProposeProgress(*job);
    waiting += job->m_waiting.size();
    const auto items = job->m_items;
    for (const auto& item : items) {
      if (item->m_engine && item->m_job) {
        ++running;
        CheckRun(item, now);
      }
    }
  }
  ExpireItems();
  m_instruments.SetGauge(observe::gauges::kRunningItems,
                         static_cast<double>(running));
  m_instruments.SetGauge(observe::gauges::kWaitingItems,
                         static_cast<double>(waiting));
  if (!m_order.empty()) {
    Dispatch();
  }
  m_loop.After(kCheckInterval, [this, epoch = m_epoch] {
    if (epoch == m_epoch) {
      RunPeriodicChecks();
    }
  });
}

void JobRunner::CheckRun(const ItemPtr& aItem, TimePoint aNow)
{
  const BackendId engine = *aItem->m_engine;
  if (!m_engines.Exists(engine)) {
    AbortRun(aItem, "engine_gone");
    return;
  }
  if (m_engines.RecordOf(engine)->m_software != aItem->m_software) {
    // The engine has restarted with other software, and it is not known which
    // events it generated since.
    DiscardOutput(*aItem);
    AbortRun(aItem, "engine_updated");
    return;
  }
  const bool loading = m_engines.IsLoading(engine);
  const Duration limit = loading ? kLoadingStallTimeout : kStallTimeout;
  if (aNow - aItem->m_lastEventAt > limit) {
    m_engines.RecordFailure(engine);
    AbortRun(aItem, "stalled");
    return;
  }
  if (loading || aNow - aItem->m_startedAt < kMinMigrationAge) {
    return;
  }
  const JobSpec& spec = *aItem->m_job->m_spec;
  const Route* route =
    m_routes->Match(spec.m_host, spec.m_items[aItem->m_index].m_path);
  if (route == nullptr || route->m_targets.size() != 1) {
    return;
  }
  ItemRequirements requirements = RequirementsOf(*aItem);
  requirements.m_service = route->m_targets.front().m_service;
  if (m_engines.Scheduler().MigrationTarget(engine, requirements)) {
    AbortRun(aItem, "engine_slow");
  }
}

void JobRunner::ExpireItems()
{
  const WallTime now = WallNow();
  for (const auto& job : m_order) {
    if (!m_routes) {
      return;
    }
    const Route* route =
      m_routes->Match(job->m_spec->m_host, job->m_spec->m_path);
    if (route == nullptr || now <= job->m_acceptedAt + route->m_itemLifetime) {
      continue;
    }
    for (const auto& item : job->m_items) {
      if (!item->m_done) {
        EndRun(*item);
        Finish(item, ItemState::Lost);
      }
    }
  }
}

} // namespace auburntrestle::fleet
