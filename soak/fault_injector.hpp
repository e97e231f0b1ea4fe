#ifndef AUBURNTRESTLE_SOAK_FAULT_INJECTOR_HPP
#define AUBURNTRESTLE_SOAK_FAULT_INJECTOR_HPP

#include "soak/system.hpp"

#include <functional>
#include <string>
#include <vector>

namespace auburntrestle::soak {

/** Injects random, overlapping faults from outside the processes. */
class FaultInjector
{
public:
  FaultInjector(event_loop::EventLoop& aLoop,
                System& aSystem,
                std::uint64_t aSeed);

  /** Starts injecting faults at random intervals. */
  void Start();
  /** Injects no further faults; active ones end after their time. */
  void Stop() { m_stopped = true; }
  /** @return whether no fault is active. */
  [[nodiscard]] bool IsIdle() const { return m_activeFaults == 0; }
  [[nodiscard]] std::size_t InjectedCount() const { return m_injected; }

private:
  void InjectNext();
  void BreakLink();
  void Kill(std::size_t aInstance);
  void Pause(std::size_t aInstance);
  void Terminate(std::size_t aInstance);
  void LoseDisk();
  void ReplaceSampler();
  /** Logs a fault and calls aEnd after a random time. */
  void BeginFault(const std::string& aWhat, std::function<void()> aEnd);

  event_loop::EventLoop& m_loop;
  System& m_system;
  RandomSource m_random;
  bool m_stopped = false;
  std::size_t m_activeFaults = 0;
  std::size_t m_injected = 0;
  /** Instances that are stopped or paused. */
  std::set<std::size_t> m_down;
  /** When a disk was lost last. */
  TimePoint m_diskLossAt{};
  TimePoint m_startedAt = MonotonicClock::Now();
};

} // namespace auburntrestle::soak

#endif
