#include "memory_guard.hpp"

#include "step.hpp"

#include <algorithm>
#include <string>

namespace review {

namespace {

constexpr int kEnds = 3;
constexpr int kMinMachines = 2;
constexpr int kRestartMs = 300;

} // namespace

MemoryGuard::MemoryGuard(Record& aRecord, Deployment& aDeployment)
  : m_record(aRecord)
  , m_deployment(aDeployment)
  , m_ends(static_cast<std::size_t>(aDeployment.Machines()))
  , m_thread([this] { Watch(); })
{
}

MemoryGuard::~MemoryGuard()
{
  m_stopped = true;
  m_thread.join();
}

void MemoryGuard::Watch()
{
  while (!m_stopped) {
    for (int machine = 0; machine < m_deployment.Machines(); ++machine) {
      const long used = m_deployment.UsedMb(machine);
      const long memory = m_deployment.MemoryMb(machine);
      if (used > memory) {
        m_record.Add(m_deployment.NameOf(machine) + " takes " +
                     std::to_string(used) + " MB of " + std::to_string(memory) +
                     ": killed");
        ++m_ends.at(static_cast<std::size_t>(machine));
        m_deployment.Restart(machine, kRestartMs);
      }
    }
    Sleep(2);
  }
}

int MemoryGuard::Judge() const
{
  int machines = 0;
  for (int machine = 0; machine < m_deployment.Machines(); ++machine) {
    const int ends = m_ends.at(static_cast<std::size_t>(machine));
    m_record.Add("processes of " + m_deployment.NameOf(machine) +
                 " ended for lack of memory: " + std::to_string(ends));
    machines += ends >= kEnds ? 1 : 0;
  }
  const int tenth = (m_deployment.Machines() + 9) / 10;
  const bool broken = machines >= std::max(tenth, kMinMachines);
  m_record.Add(broken ? "Fault: the rule was broken" : "the rule held");
  return broken ? kBroken : kHeld;
}

} // namespace review
