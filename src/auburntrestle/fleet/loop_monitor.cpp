#include "auburntrestle/fleet/loop_monitor.hpp"

#include "auburntrestle/observe/log.hpp"

#include <sys/resource.h>

#include <utility>

namespace auburntrestle::fleet {

namespace {

using observe::LogLevel;
using observe::LogLine;

/** A loop that is later keeps its callers waiting for a noticeable time. */
constexpr Duration kMaxLag = std::chrono::milliseconds(500);
constexpr Duration kCheckInterval = std::chrono::seconds(1);
/** Checks of the thread without a turn of the loop after which it is stuck. */
constexpr int kMaxMissedTurns = 5;

/** @return how often the calling thread has waited for something; 0 if the
 * system does not say. */
std::uint64_t CountWaits()
{
  rusage usage{};
  const bool known = ::getrusage(RUSAGE_THREAD, &usage) == 0;
  return known ? static_cast<std::uint64_t>(usage.ru_nvcsw) : 0;
}

} // namespace

std::optional<LoopOverload> OverloadDetector::Check(
  TimePoint aDue,
  TimePoint aNow,
  const LoopActivity& aActivity)
{
  const LoopActivity before = std::exchange(m_before, aActivity);
  const Duration lag = aNow - aDue;
  const bool waited =
    aActivity.m_waits == 0 || aActivity.m_waits != before.m_waits;
  if (lag <= kMaxLag && waited) {
    return std::nullopt;
  }
  const auto& counts = aActivity.m_counts;
  return LoopOverload{ lag,
                       { { counts.m_posted - before.m_counts.m_posted,
                           counts.m_expired - before.m_counts.m_expired },
                         aActivity.m_waits - before.m_waits } };
}

bool StallDetector::Check(std::uint64_t aTurns)
{
  const bool turned = std::exchange(m_turns, aTurns) != aTurns;
  m_missed = turned ? 0 : m_missed + 1;
  return m_missed == kMaxMissedTurns;
}

LoopMonitor::LoopMonitor(event_loop::EventLoop& aLoop)
  : m_loop(aLoop)
{
}

tl::expected<std::unique_ptr<LoopMonitor>, std::error_code> LoopMonitor::Start(
  event_loop::EventLoop& aLoop)
{
  std::unique_ptr<LoopMonitor> monitor(new LoopMonitor(aLoop));
  try {
    monitor->m_thread = std::thread([self = monitor.get()] { self->Watch(); });
  } catch (const std::system_error& error) {
    return tl::make_unexpected(error.code());
  }
  monitor->ScheduleCheck();
  return monitor;
}

LoopMonitor::~LoopMonitor()
{
  if (m_timer) {
    m_loop.Cancel(*m_timer);
  }
  {
    const std::lock_guard lock(m_mutex);
    m_stopped = true;
  }
  m_stopChanged.notify_one();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void LoopMonitor::ScheduleCheck()
{
  const TimePoint due = MonotonicClock::Now() + kCheckInterval;
  m_timer = m_loop.After(kCheckInterval, [this, due] {
    m_timer.reset();
    Check(due);
    ScheduleCheck();
  });
}

void LoopMonitor::Check(TimePoint aDue)
{
  ++m_turns;
  const auto overload = m_overload.Check(
    aDue, MonotonicClock::Now(), { m_loop.GetCounts(), CountWaits() });
  if (overload) {
    LogLine(LogLevel::Warning, "event_loop_overloaded")
      .Add("lag_us", overload->m_lag.count())
      .Add("waits", overload->m_activity.m_waits)
      .Add("posted", overload->m_activity.m_counts.m_posted)
      .Add("timers", overload->m_activity.m_counts.m_expired);
  }
}

void LoopMonitor::Watch()
{
  StallDetector stall;
  std::unique_lock lock(m_mutex);
  while (!m_stopChanged.wait_for(
    lock, kCheckInterval, [this] { return m_stopped; })) {
    if (stall.Check(m_turns)) {
      LogLine(LogLevel::Error, "event_loop_stuck").Add("turns", m_turns.load());
    }
  }
}

} // namespace auburntrestle::fleet
