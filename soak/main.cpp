#include "soak/fault_injector.hpp"
#include "soak/workload.hpp"

#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>

DEFINE_uint64(seed, 1, "seed of the load and of the faults");
DEFINE_int32(seconds, 20, "how long faults are injected");
DEFINE_bool(keep, false, "keep the folder of a run without violation");

namespace auburntrestle::soak {
namespace {

/** Time limit after the last fault for all accepted jobs to be done. */
constexpr Duration kSettleTime = std::chrono::seconds(30);
constexpr Duration kPollInterval = std::chrono::milliseconds(100);

/** One run: start, fault injection, settling and final checks. */
class Run
{
public:
  explicit Run(std::filesystem::path aFolder)
    : m_system(m_loop, m_checker, std::move(aFolder))
    , m_workload(m_loop, m_system, m_checker, FLAGS_seed)
    , m_faults(m_loop, m_system, FLAGS_seed + 1)
  {
  }

  /** @return whether no violation was found. */
  bool Execute()
  {
    AwaitReady();
    m_loop.Run();
    m_checker.CheckFinalState();
    Report();
    return m_checker.Violations().empty();
  }

private:
  void AwaitReady()
  {
    if (!m_workload.IsReady()) {
      m_loop.After(kPollInterval, [this] { AwaitReady(); });
      return;
    }
    m_workload.Start();
    m_faults.Start();
    m_loop.After(std::chrono::seconds(FLAGS_seconds), [this] {
      m_faults.Stop();
      AwaitIdleFaults();
    });
  }

  void AwaitIdleFaults()
  {
    if (!m_faults.IsIdle()) {
      m_loop.After(kPollInterval, [this] { AwaitIdleFaults(); });
      return;
    }
    m_system.RestartExited();
    m_workload.Stop();
    AwaitSettled(MonotonicClock::Now() + kSettleTime);
  }

  void AwaitSettled(TimePoint aDeadline)
  {
    const bool late = MonotonicClock::Now() >= aDeadline;
    if (!m_workload.IsSettled() && !late) {
      m_loop.After(kPollInterval,
                   [this, aDeadline] { AwaitSettled(aDeadline); });
      return;
    }
    if (late) {
      m_checker.RecordViolation(
        { "accepted jobs are not done after the last fault" });
    }
    m_loop.Stop();
  }

  void Report() const
  {
    const auto& counts = m_workload.Counts();
    std::cout << "soak seed=" << FLAGS_seed
              << " faults=" << m_faults.InjectedCount()
              << " requests=" << counts.m_requests
              << " pipelined=" << counts.m_pipelined
              << " answered=" << counts.m_succeeded
              << " refused=" << counts.m_refused << " jobs=" << counts.m_jobs
              << " done=" << counts.m_jobsDone
              << " configurations=" << counts.m_configurations
              << " versions=" << counts.m_versions
              << " violations=" << m_checker.Violations().size() << std::endl;
  }

  event_loop::EventLoop m_loop;
  Checker m_checker;
  System m_system;
  Workload m_workload;
  FaultInjector m_faults;
};

} // namespace
} // namespace auburntrestle::soak

int main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  const auto folder = std::filesystem::temp_directory_path() /
                      ("trestle-soak-" + std::to_string(::getpid()));
  std::filesystem::create_directories(folder);
  const bool passed = auburntrestle::soak::Run(folder).Execute();
  if (passed && !FLAGS_keep) {
    std::filesystem::remove_all(folder);
  } else {
    std::cout << "logs of the instances: " << folder.string() << std::endl;
  }
  return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}
