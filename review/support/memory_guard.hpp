#ifndef REVIEW_SUPPORT_MEMORY_GUARD_HPP
#define REVIEW_SUPPORT_MEMORY_GUARD_HPP

#include "deployment.hpp"

#include <atomic>
#include <thread>
#include <vector>

namespace review {

/** Does what the platform does: ends a process that takes more memory than its
 * machine has, and starts it again after a short delay. */
class MemoryGuard
{
public:
  MemoryGuard(Record& aRecord, Deployment& aDeployment);
  MemoryGuard(const MemoryGuard&) = delete;
  MemoryGuard& operator=(const MemoryGuard&) = delete;
  ~MemoryGuard();

  /** Records how often processes ended and judges the rule: "on a tenth of the
   * machines in use (two at least) [...] processes end by themselves three
   * times in the day with no disturbance there (memory over the limit counts)".
   *
   * @return kHeld or kBroken. */
  [[nodiscard]] int Judge() const;

private:
  void Watch();

  Record& m_record;
  Deployment& m_deployment;
  std::vector<std::atomic<int>> m_ends;
  std::atomic<bool> m_stopped{ false };
  std::thread m_thread;
};

} // namespace review

#endif
