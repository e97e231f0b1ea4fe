#ifndef AUBURNTRESTLE_SOAK_WORKLOAD_HPP
#define AUBURNTRESTLE_SOAK_WORKLOAD_HPP

#include "auburntrestle/http/client.hpp"
#include "soak/pipelining_client.hpp"
#include "soak/system.hpp"

#include <functional>
#include <string>
#include <vector>

namespace auburntrestle::soak {

/** Counts for the final report. */
struct WorkloadCounts
{
  std::size_t m_requests = 0;
  /** Answers to requests that were sent ahead on one connection. */
  std::size_t m_pipelined = 0;
  std::size_t m_succeeded = 0;
  std::size_t m_refused = 0;
  std::size_t m_jobs = 0;
  std::size_t m_jobsDone = 0;
  std::size_t m_configurations = 0;
  std::size_t m_versions = 0;
};

/**
 * Simulates callers, trainers, operators and the heartbeats of samplers.
 * Submissions, publications and configuration changes without a success
 * response are retried at another instance, as the platform's clients do.
 */
class Workload
{
public:
  Workload(event_loop::EventLoop& aLoop,
           System& aSystem,
           Checker& aChecker,
           std::uint64_t aSeed);

  /** Starts the periodic work; call it once IsReady returns true. */
  void Start();
  /** Starts no new work; accepted jobs are still read to their end. */
  void Stop() { m_stopped = true; }
  /** @return whether every accepted job has all results. */
  [[nodiscard]] bool IsSettled() const { return m_openJobs == 0; }
  /** @return whether the first configuration was acknowledged. */
  [[nodiscard]] bool IsReady() const
  {
    return m_checker.AcknowledgedConfiguration() > 0;
  }
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
  /** Runs work repeatedly, after random delays with the given mean. */
  void Every(Duration aDelay, const std::function<void()>& aWork);
  [[nodiscard]] const std::string& PickAddress(
    const std::vector<std::string>& aAddresses);

  void SendShortRequest();
  /** Sends several requests at once, reads slowly and may close halfway. */
  void SendPipelined();
  void CheckPipelined(const PipelinedRequest& aRequest,
                      const http::Response& aResponse);
  void SubmitJob();
  void SendJob(const JobPtr& aJob);
  void ReadJob(const JobPtr& aJob);
  void EndJob(const JobPtr& aJob);
  void ReadEndedJob();
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
