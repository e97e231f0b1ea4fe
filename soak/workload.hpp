#ifndef AUBURNTRESTLE_SOAK_WORKLOAD_HPP
#define AUBURNTRESTLE_SOAK_WORKLOAD_HPP

#include "auburntrestle/http/client.hpp"
#include "soak/system.hpp"

#include <functional>
#include <string>
#include <vector>

namespace auburntrestle::soak {

/** How much was done, for the closing report. */
struct WorkloadCounts
{
  std::size_t m_requests = 0;
  std::size_t m_answered = 0;
  std::size_t m_refused = 0;
  std::size_t m_jobs = 0;
  std::size_t m_jobsDone = 0;
  std::size_t m_configurations = 0;
  std::size_t m_versions = 0;
};

/**
 * Callers, trainers, operators and the heartbeats of samplers. Each repeats
 * what got no clear answer, at another instance, as the platform's clients do.
 */
class Workload
{
public:
  Workload(event_loop::EventLoop& aLoop,
           System& aSystem,
           Checker& aChecker,
           std::uint64_t aSeed);

  /** Begins all loops; the first configuration has to be accepted before. */
  void Start();
  /** Starts nothing new any more; what was accepted is still followed. */
  void Stop() { m_stopped = true; }
  /** @return whether every accepted job has all results. */
  [[nodiscard]] bool IsSettled() const { return m_openJobs == 0; }
  [[nodiscard]] bool IsReady() const { return m_checker.Configuration() > 0; }
  [[nodiscard]] const WorkloadCounts& Counts() const { return m_counts; }

private:
  using Callback = std::function<void(const http::FetchResult&)>;
  struct RunningJob;
  using JobPtr = std::shared_ptr<RunningJob>;

  void Send(const std::string& aAddress,
            const std::string& aMethod,
            const std::string& aTarget,
            const std::string& aBody,
            const std::string& aId,
            Callback aCallback);
  /** Runs work again and again, after a delay around the one given. */
  void Every(Duration aDelay, const std::function<void()>& aWork);
  [[nodiscard]] const std::string& Any(
    const std::vector<std::string>& aAddresses);

  void SendShortRequest();
  void SubmitJob();
  void SendJob(const JobPtr& aJob);
  void ReadJob(const JobPtr& aJob);
  void EndJob(const JobPtr& aJob);
  void ReadOldJob();
  void PutConfiguration(std::uint64_t aVersion);
  void ReadConfiguration();
  void PublishVersion();
  void SendHeartbeats();

  event_loop::EventLoop& m_loop;
  System& m_system;
  Checker& m_checker;
  RandomSource m_random;
  http::Client m_client;
  bool m_stopped = false;
  bool m_publishing = false;
  std::uint64_t m_nextRequest = 0;
  std::uint64_t m_nextJob = 0;
  std::uint64_t m_newestVersion = 1;
  std::uint64_t m_nextConfiguration = 1;
  std::size_t m_openJobs = 0;
  std::vector<JobPtr> m_endedJobs;
  WorkloadCounts m_counts;
};

} // namespace auburntrestle::soak

#endif
