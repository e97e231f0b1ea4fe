#ifndef AUBURNTRESTLE_TOOLS_COMMON_TRAINER_CLIENT_HPP
#define AUBURNTRESTLE_TOOLS_COMMON_TRAINER_CLIENT_HPP

#include "auburntrestle/core/time.hpp"
#include "common/batch_verifier.hpp"
#include "common/http_client.hpp"

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace auburntrestle::tools {

/** Behaviour of a trainer. */
struct TrainerOptions
{
  /** Addresses of instances; the next one is used when one fails. */
  std::vector<std::string> m_targets;
  std::string m_model = "model";
  StepShape m_shape;
  /** Number of steps; 0 for no end. */
  std::uint64_t m_steps = 1;
  /** Maximum number of open steps. */
  std::uint64_t m_outstanding = 1;
  /** Time to train on the samples of one step. */
  Duration m_trainTime{ 500'000 };
  /** Time between new versions; zero publishes one after each step. */
  Duration m_publishInterval{ 0 };
  std::uint64_t m_firstVersion = 1;
  /** Name of the judging service; empty for none. */
  std::string m_judge;
  /** File that stores the next cursor; empty for none. */
  std::string m_cursorFile;
  Duration m_pollTime{ 2'000'000 };
  /** When to stop with steps incomplete; none for never. */
  std::optional<TimePoint> m_deadline;
};

/** The result of a trainer's run. */
struct TrainerReport
{
  std::uint64_t m_stepsDone = 0;
  std::uint64_t m_batches = 0;
  std::uint64_t m_samples = 0;
  std::uint64_t m_tokens = 0;
  std::uint64_t m_versions = 0;
  std::uint64_t m_expiredBatches = 0;
  std::uint64_t m_failedCalls = 0;
  Duration m_total{ 0 };
  Duration m_trained{ 0 };
  std::map<std::uint64_t, std::uint64_t> m_staleness;
  std::vector<std::string> m_violations;

  /** @return the share of the time that was not spent training. */
  [[nodiscard]] double IdleShare() const noexcept;
  [[nodiscard]] nlohmann::json ToJson() const;
};

/** One received batch. */
struct ReceivedBatch
{
  std::uint64_t m_cursor = 0;
  Duration m_waited{ 0 };
  BatchFindings m_findings;
};

/** A trainer that follows the protocol and verifies each batch. */
class TrainerClient
{
public:
  using OnBatch = std::function<void(const ReceivedBatch&)>;

  TrainerClient(TrainerOptions aOptions, OnBatch aOnBatch);

  /** Runs until all steps are done, the deadline passes or aStop is set. */
  [[nodiscard]] TrainerReport Run(const std::atomic<bool>& aStop);

private:
  [[nodiscard]] bool ShouldStop(const std::atomic<bool>& aStop) const;
  [[nodiscard]] bool HasCompletedAllSteps() const;
  /**
   * Sends a call, at the next instance after each failure, until its status is
   * one of aAccepted or ShouldStop returns true.
   *
   * @return the last response.
   */
  HttpResponse CallWithRetries(const HttpCall& aCall,
                               const std::vector<int>& aAccepted,
                               const std::atomic<bool>& aStop);
  [[nodiscard]] HttpCall MakeCall(const std::string& aMethod,
                                  const std::string& aPath,
                                  const nlohmann::json& aBody) const;
  void OpenSteps(const std::atomic<bool>& aStop);
  void FetchBatch(const std::atomic<bool>& aStop);
  void HandleBatch(const HttpResponse& aResponse,
                   std::uint64_t aAcknowledged,
                   Duration aWaited,
                   const std::atomic<bool>& aStop);
  void DiscardBatch(const std::atomic<bool>& aStop);
  void PublishVersion(std::uint64_t aVersion, const std::atomic<bool>& aStop);
  void AcknowledgeLastBatch();
  void Train(std::uint64_t aSamples, const std::atomic<bool>& aStop);
  void LoadState();
  void SaveState() const;
  /** Saves the version in its own file, since another thread publishes. */
  void SaveVersion(std::uint64_t aVersion) const;

  TrainerOptions m_options;
  OnBatch m_onBatch;
  BatchVerifier m_verifier;
  TrainerReport m_report;
  std::atomic<std::size_t> m_target{ 0 };
  std::atomic<std::uint64_t> m_failedCalls{ 0 };
  std::atomic<std::uint64_t> m_publishStarted{ 0 };
  std::atomic<std::uint64_t> m_acknowledged{ 0 };
  std::uint64_t m_cursor = 1;
  std::uint64_t m_nextStep = 1;
};

} // namespace auburntrestle::tools

#endif
