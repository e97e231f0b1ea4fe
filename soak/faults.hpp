#ifndef AUBURNTRESTLE_SOAK_FAULTS_HPP
#define AUBURNTRESTLE_SOAK_FAULTS_HPP

#include "soak/system.hpp"

#include <functional>
#include <string>
#include <vector>

namespace auburntrestle::soak {

/** Injects faults from outside the processes, in series that overlap. */
class Faults
{
public:
  Faults(event_loop::EventLoop& aLoop, System& aSystem, std::uint64_t aSeed);

  /** Begins to inject. */
  void Start();
  /** Injects nothing more; the faults in force end by themselves. */
  void Stop() { m_stopped = true; }
  [[nodiscard]] bool IsCalm() const { return m_inForce == 0; }
  [[nodiscard]] std::size_t Injected() const { return m_injected; }

private:
  void InjectNext();
  void BreakLink();
  void Kill(std::size_t aInstance);
  void Pause(std::size_t aInstance);
  void Terminate(std::size_t aInstance);
  void LoseDisk();
  void ReplaceSampler();
  /** Says what is done, and ends it after a drawn time. */
  void Begin(const std::string& aWhat, std::function<void()> aEnd);

  event_loop::EventLoop& m_loop;
  System& m_system;
  RandomSource m_random;
  bool m_stopped = false;
  std::size_t m_inForce = 0;
  std::size_t m_injected = 0;
  /** Instances that are stopped or paused. */
  std::set<std::size_t> m_down;
  /** Until then a lost disk may not be whole again. */
  TimePoint m_diskLossAt{};
  TimePoint m_startedAt = MonotonicClock::Now();
};

} // namespace auburntrestle::soak

#endif
