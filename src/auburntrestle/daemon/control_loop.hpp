#ifndef AUBURNTRESTLE_DAEMON_CONTROL_LOOP_HPP
#define AUBURNTRESTLE_DAEMON_CONTROL_LOOP_HPP

#include "auburntrestle/core/time.hpp"

#include <functional>
#include <memory>

namespace auburntrestle::daemon {

/**
 * An event loop whose thread owns all decision state. Other threads post tasks
 * to it; tasks run one at a time in the order of posting.
 */
class ControlLoop
{
public:
  ControlLoop();
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;
  ~ControlLoop();

  /** Runs a task on the loop; may be called from any thread. */
  void Post(std::function<void()> aTask);

  /**
   * Runs a task periodically; must be called before Run or on the loop.
   *
   * @param aInterval delay from the end of one run to the start of the next.
   */
  void RunPeriodically(Duration aInterval, std::function<void()> aTask);

  /** Runs a task once after a delay; must be called before Run or on the
   * loop. */
  void RunAfter(Duration aDelay, std::function<void()> aTask);

  /** Sets the function that the loop calls for each SIGTERM or SIGINT. */
  void OnSignal(std::function<void()> aTask);

  /** Runs the loop on the calling thread until Stop is called. */
  void Run();

  /** Makes Run return; may be called from any thread. */
  void Stop();

private:
  struct Implementation;

  std::unique_ptr<Implementation> m_implementation;
};

} // namespace auburntrestle::daemon

#endif
