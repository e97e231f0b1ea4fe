#ifndef AUBURNTRESTLE_FLEET_LOOP_MONITOR_HPP
#define AUBURNTRESTLE_FLEET_LOOP_MONITOR_HPP

#include "auburntrestle/core/time.hpp"
#include "auburntrestle/event_loop/event_loop.hpp"

#include <tl/expected.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <system_error>
#include <thread>

namespace auburntrestle::fleet {

/** What the thread of an event loop has done since its start. */
struct LoopActivity
{
  event_loop::LoopCounts m_counts;
  /** How often the thread has waited for something; 0 if the system does not
   * say. */
  std::uint64_t m_waits = 0;
};

/** What an event loop did between two checks. */
struct LoopOverload
{
  /** By how much the second check came too late. */
  Duration m_lag{};
  LoopActivity m_activity;
};

/** Detects an event loop that comes too late to its checks or has not waited
 * for anything since the one before. */
class OverloadDetector
{
public:
  /**
   * Records a check.
   *
   * @param aDue when the check should have come.
   * @param aActivity what the loop has done since its start.
   * @return what the loop did since the check before, if it is overloaded.
   */
  [[nodiscard]] std::optional<LoopOverload>
  Check(TimePoint aDue, TimePoint aNow, const LoopActivity& aActivity);

private:
  LoopActivity m_before;
};

/** Detects an event loop that makes no turn any more. A process that was
 * suspended is not stuck: its loop runs as soon as it continues. */
class StallDetector
{
public:
  /** Records a check. @param aTurns the turns of the loop since its start.
   * @return whether the loop is stuck; once for each time. */
  [[nodiscard]] bool Check(std::uint64_t aTurns);

private:
  std::uint64_t m_turns = 0;
  int m_missed = 0;
};

/**
 * Logs when an event loop is overloaded (`event_loop_overloaded`) or makes no
 * turn any more (`event_loop_stuck`). An overloaded loop that ran many
 * callbacks has too much work or a callback that causes itself to run again;
 * one that ran few has a slow callback; one that is stuck has a callback that
 * does not return.
 */
class LoopMonitor
{
public:
  /** Starts to monitor a loop, which outlives the monitor. */
  [[nodiscard]] static tl::expected<std::unique_ptr<LoopMonitor>,
                                    std::error_code>
  Start(event_loop::EventLoop& aLoop);

  ~LoopMonitor();
  LoopMonitor(const LoopMonitor&) = delete;
  LoopMonitor& operator=(const LoopMonitor&) = delete;

private:
  explicit LoopMonitor(event_loop::EventLoop& aLoop);

  void ScheduleCheck();
  void Check(TimePoint aDue);
  /** Runs on a thread of its own, since the loop may be stuck. */
  void Watch();

  event_loop::EventLoop& m_loop;
  std::optional<timer::TimerId> m_timer;
  OverloadDetector m_overload;
  /** Checks that the loop has run. */
  std::atomic<std::uint64_t> m_turns = 0;
  std::mutex m_mutex;
  std::condition_variable m_stopChanged;
  bool m_stopped = false;
  std::thread m_thread;
};

} // namespace auburntrestle::fleet

#endif
