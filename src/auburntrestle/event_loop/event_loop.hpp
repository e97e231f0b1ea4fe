#ifndef AUBURNTRESTLE_EVENT_LOOP_EVENT_LOOP_HPP
#define AUBURNTRESTLE_EVENT_LOOP_EVENT_LOOP_HPP

#include "auburntrestle/core/time.hpp"
#include "auburntrestle/timer/timer_service.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <unordered_map>

namespace auburntrestle::event_loop {

/** What a loop has run since its start, apart from sockets. */
struct LoopCounts
{
  std::uint64_t m_posted = 0;
  /** Timers that expired. */
  std::uint64_t m_expired = 0;
};

/**
 * Runs sockets, timers and posted callbacks on one thread. All timers share one
 * system timer that is armed for the earliest deadline, so an idle loop never
 * wakes up.
 */
class EventLoop
{
public:
  using Callback = std::function<void()>;

  EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /** @return the context for sockets of this loop. */
  [[nodiscard]] asio::io_context& Context() noexcept { return m_context; }

  /** Queues a callback to run on the loop; callable from any thread. */
  void Post(Callback aCallback);

  /** Runs a callback once after a delay; on the loop only. @return its id. */
  timer::TimerId After(Duration aDelay, Callback aCallback);

  /** @return whether the timer had not yet expired; on the loop only. */
  bool Cancel(timer::TimerId aId);

  /** @return what the loop has run; on the loop only. */
  [[nodiscard]] LoopCounts GetCounts() const noexcept
  {
    return { m_posted.load(std::memory_order_relaxed), m_expired };
  }

  /** Calls a function on the loop for each arrival of these signals. */
  void OnSignals(std::initializer_list<int> aSignals,
                 std::function<void(int)> aCallback);

  /** Runs on the calling thread until Stop. */
  void Run();

  /** Ends Run; callable from any thread. */
  void Stop();

private:
  void ArmSystemTimer();
  void RunExpired();
  void WaitForSignal();

  asio::io_context m_context{ 1 };
  asio::executor_work_guard<asio::io_context::executor_type> m_guard;
  asio::steady_timer m_systemTimer;
  asio::signal_set m_signals;
  std::function<void(int)> m_onSignal;
  timer::TimerService m_timers;
  std::unordered_map<timer::TimerId, Callback> m_callbacks;
  /** Time for which the system timer is armed, or max if it is not. */
  TimePoint m_armedFor = TimePoint::max();
  std::atomic<std::uint64_t> m_posted = 0;
  std::uint64_t m_expired = 0;
};

} // namespace auburntrestle::event_loop

#endif
