#ifndef AUBURNTRESTLE_OBSERVE_METRICS_HPP
#define AUBURNTRESTLE_OBSERVE_METRICS_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburntrestle::observe {

/** Timings and outcome of one finished request. */
struct RequestRecord
{
  std::string m_caller;
  bool m_training = false;
  /** "ok" or the stable name of an error code. */
  std::string_view m_code;
  /** "finished", "cancelled", "not_run" or "outcome_unknown". */
  std::string_view m_outcome;
  /** From arrival to the first dispatch. */
  Duration m_wait{};
  std::optional<Duration> m_firstToken;
  Duration m_total{};
  TokenCount m_tokens;
};

/** Quantiles of one caller in seconds, estimated from its histograms. */
struct CallerSummary
{
  std::string m_caller;
  bool m_training = false;
  std::uint64_t m_requests = 0;
  double m_waitP50 = 0.0;
  double m_waitP99 = 0.0;
  double m_firstTokenP50 = 0.0;
  double m_firstTokenP99 = 0.0;
  double m_totalP50 = 0.0;
  double m_totalP99 = 0.0;
  double m_totalP999 = 0.0;
};

/** Number of requests of one caller with the same code and outcome. */
struct OutcomeCount
{
  std::string m_caller;
  std::string m_code;
  std::string m_outcome;
  std::uint64_t m_count = 0;
};

/** Histograms and counters per caller; thread-safe. */
class Metrics
{
public:
  Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;
  ~Metrics();

  /** Records a finished request. */
  void Record(const RequestRecord& aRecord);
  /**
   * Counts a failed attempt.
   * @param aFailure the stable name of the failure.
   */
  void CountAttemptFailure(std::string_view aFailure);
  /**
   * Counts a request refused by the HTTP server.
   * @param aCode the stable name of the error code.
   */
  void CountRefusal(std::string_view aCode);
  /** Sets a gauge without labels. */
  void SetGauge(const std::string& aName, double aValue);
  /** Sets a gauge with the trainer as its label. */
  void SetTrainerGauge(const std::string& aName,
                       const std::string& aTrainer,
                       double aValue);

  /** @return all metrics in the Prometheus text format. */
  [[nodiscard]] std::string Serialize() const;
  /** @return one summary per caller and class. */
  [[nodiscard]] std::vector<CallerSummary> Summaries() const;
  /** @return the request counts by caller, code and outcome. */
  [[nodiscard]] std::vector<OutcomeCount> Outcomes() const;

private:
  struct Implementation;

  std::unique_ptr<Implementation> m_implementation;
};

} // namespace auburntrestle::observe

#endif
