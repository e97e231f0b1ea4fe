#include "auburntrestle/observe/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <mutex>
#include <sstream>

namespace auburntrestle::observe {

namespace internal {

constexpr double kFirstBucketSeconds = 0.0005;
// Limits the relative error of quantiles estimated from the buckets.
constexpr double kBucketFactor = 1.3;
constexpr std::size_t kBucketCount = 56;
// Callers choose their own names, so the number of callers with histograms of
// their own is limited.
constexpr std::size_t kMaxCallers = 1000;
constexpr const char* kOtherCaller = "other";

prometheus::Histogram::BucketBoundaries DurationBuckets()
{
  prometheus::Histogram::BucketBoundaries buckets;
  double bound = kFirstBucketSeconds;
  for (std::size_t index = 0; index < kBucketCount; ++index) {
    buckets.push_back(bound);
    bound *= kBucketFactor;
  }
  return buckets;
}

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/** @return the upper bound of the bucket that contains the quantile; the last
 * finite bound for the overflow bucket; 0 if there are no samples. */
double Quantile(const prometheus::Histogram& aHistogram, double aQuantile)
{
  const auto histogram = aHistogram.Collect().histogram;
  const double rank = aQuantile * static_cast<double>(histogram.sample_count);
  double lastFinite = 0.0;
  for (const auto& bucket : histogram.bucket) {
    if (std::isfinite(bucket.upper_bound)) {
      lastFinite = bucket.upper_bound;
    }
    if (histogram.sample_count > 0 &&
        static_cast<double>(bucket.cumulative_count) >= rank) {
      break;
    }
  }
  return histogram.sample_count == 0 ? 0.0 : lastFinite;
}

struct CallerMetrics
{
  prometheus::Histogram* m_wait = nullptr;
  prometheus::Histogram* m_firstToken = nullptr;
  prometheus::Histogram* m_total = nullptr;
  prometheus::Counter* m_tokens = nullptr;
};

/** The caller, and whether its class is training. */
using CallerKey = std::pair<std::string, bool>;

} // namespace internal

struct Metrics::Implementation
{
  prometheus::Registry m_registry;
  prometheus::Family<prometheus::Histogram>& m_wait =
    prometheus::BuildHistogram()
      .Name("trestle_wait_seconds")
      .Help("Time from arrival to the first dispatch")
      .Register(m_registry);
  prometheus::Family<prometheus::Histogram>& m_firstToken =
    prometheus::BuildHistogram()
      .Name("trestle_first_token_seconds")
      .Help("Time from arrival to the first token")
      .Register(m_registry);
  prometheus::Family<prometheus::Histogram>& m_total =
    prometheus::BuildHistogram()
      .Name("trestle_request_seconds")
      .Help("Time from arrival to the end of the answer")
      .Register(m_registry);
  prometheus::Family<prometheus::Counter>& m_tokens =
    prometheus::BuildCounter()
      .Name("trestle_tokens_total")
      .Help("Tokens delivered")
      .Register(m_registry);
  prometheus::Family<prometheus::Counter>& m_requests =
    prometheus::BuildCounter()
      .Name("trestle_requests_total")
      .Help("Requests that ended, by code and outcome")
      .Register(m_registry);
  prometheus::Family<prometheus::Counter>& m_failures =
    prometheus::BuildCounter()
      .Name("trestle_attempt_failures_total")
      .Help("Attempts that failed")
      .Register(m_registry);
  prometheus::Family<prometheus::Counter>& m_refusals =
    prometheus::BuildCounter()
      .Name("trestle_http_refusals_total")
      .Help("Requests refused by the HTTP server")
      .Register(m_registry);
  mutable std::mutex m_mutex;
  std::map<internal::CallerKey, internal::CallerMetrics> m_callers;
  std::map<std::string, prometheus::Family<prometheus::Gauge>*> m_gauges;

  internal::CallerKey GetKey(const RequestRecord& aRecord) const
  {
    internal::CallerKey key{ aRecord.m_caller, aRecord.m_training };
    if (!m_callers.contains(key) && m_callers.size() >= internal::kMaxCallers) {
      key.first = internal::kOtherCaller;
    }
    return key;
  }

  internal::CallerMetrics& GetOrAddMetrics(const internal::CallerKey& aKey)
  {
    auto& metrics = m_callers[aKey];
    if (metrics.m_wait == nullptr) {
      const prometheus::Labels labels{
        { "caller", aKey.first },
        { "class", aKey.second ? "training" : "application" }
      };
      metrics.m_wait = &m_wait.Add(labels, internal::DurationBuckets());
      metrics.m_firstToken =
        &m_firstToken.Add(labels, internal::DurationBuckets());
      metrics.m_total = &m_total.Add(labels, internal::DurationBuckets());
      metrics.m_tokens = &m_tokens.Add(labels);
    }
    return metrics;
  }

  prometheus::Family<prometheus::Gauge>& GetOrAddGaugeFamily(
    const std::string& aName)
  {
    auto& family = m_gauges[aName];
    if (family == nullptr) {
      family = &prometheus::BuildGauge().Name(aName).Register(m_registry);
    }
    return *family;
  }
};

Metrics::Metrics()
  : m_implementation(std::make_unique<Implementation>())
{
}

Metrics::~Metrics() = default;

void Metrics::Record(const RequestRecord& aRecord)
{
  auto& self = *m_implementation;
  const std::lock_guard lock(self.m_mutex);
  const auto key = self.GetKey(aRecord);
  auto& metrics = self.GetOrAddMetrics(key);
  metrics.m_wait->Observe(internal::Seconds(aRecord.m_wait));
  if (aRecord.m_firstToken) {
    metrics.m_firstToken->Observe(internal::Seconds(*aRecord.m_firstToken));
  }
  if (aRecord.m_outcome == "finished") {
    metrics.m_total->Observe(internal::Seconds(aRecord.m_total));
  }
  metrics.m_tokens->Increment(static_cast<double>(aRecord.m_tokens.Get()));
  self.m_requests
    .Add({ { "caller", key.first },
           { "code", std::string(aRecord.m_code) },
           { "outcome", std::string(aRecord.m_outcome) } })
    .Increment();
}

void Metrics::CountAttemptFailure(std::string_view aFailure)
{
  m_implementation->m_failures.Add({ { "failure", std::string(aFailure) } })
    .Increment();
}

void Metrics::CountRefusal(std::string_view aCode)
{
  m_implementation->m_refusals.Add({ { "code", std::string(aCode) } })
    .Increment();
}

void Metrics::SetGauge(const std::string& aName, double aValue)
{
  const std::lock_guard lock(m_implementation->m_mutex);
  m_implementation->GetOrAddGaugeFamily(aName).Add({}).Set(aValue);
}

void Metrics::SetTrainerGauge(const std::string& aName,
                              const std::string& aTrainer,
                              double aValue)
{
  const std::lock_guard lock(m_implementation->m_mutex);
  m_implementation->GetOrAddGaugeFamily(aName)
    .Add({ { "trainer", aTrainer } })
    .Set(aValue);
}

std::string Metrics::Serialize() const
{
  std::ostringstream text;
  prometheus::TextSerializer().Serialize(
    text, m_implementation->m_registry.Collect());
  return text.str();
}

std::vector<CallerSummary> Metrics::Summaries() const
{
  const std::lock_guard lock(m_implementation->m_mutex);
  std::vector<CallerSummary> summaries;
  for (const auto& [key, metrics] : m_implementation->m_callers) {
    CallerSummary summary;
    summary.m_caller = key.first;
    summary.m_training = key.second;
    summary.m_requests = metrics.m_wait->Collect().histogram.sample_count;
    summary.m_waitP50 = internal::Quantile(*metrics.m_wait, 0.5);
    summary.m_waitP99 = internal::Quantile(*metrics.m_wait, 0.99);
    summary.m_firstTokenP50 = internal::Quantile(*metrics.m_firstToken, 0.5);
    summary.m_firstTokenP99 = internal::Quantile(*metrics.m_firstToken, 0.99);
    summary.m_totalP50 = internal::Quantile(*metrics.m_total, 0.5);
    summary.m_totalP99 = internal::Quantile(*metrics.m_total, 0.99);
    summary.m_totalP999 = internal::Quantile(*metrics.m_total, 0.999);
    summaries.push_back(std::move(summary));
  }
  return summaries;
}

std::vector<OutcomeCount> Metrics::Outcomes() const
{
  std::vector<OutcomeCount> counts;
  for (const auto& family : m_implementation->m_requests.Collect()) {
    for (const auto& metric : family.metric) {
      OutcomeCount count;
      count.m_count = static_cast<std::uint64_t>(metric.counter.value);
      for (const auto& label : metric.label) {
        if (label.name == "caller") {
          count.m_caller = label.value;
        } else if (label.name == "code") {
          count.m_code = label.value;
        } else {
          count.m_outcome = label.value;
        }
      }
      counts.push_back(std::move(count));
    }
  }
  return counts;
}

} // namespace auburntrestle::observe
