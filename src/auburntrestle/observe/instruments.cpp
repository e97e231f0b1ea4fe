#include "auburntrestle/observe/instruments.hpp"

#include "auburntrestle/observe/log.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <set>

namespace auburntrestle::observe {

namespace {

constexpr std::size_t kMaxLabelsPerFamily = 64;
constexpr auto kLabelName = "kind";

const prometheus::Histogram::BucketBoundaries& DurationBuckets()
{
  static const prometheus::Histogram::BucketBoundaries kBoundaries{
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.15,
    0.25,  0.5,    1.0,   2.5,  5.0,   10.0, 30.0
  };
  return kBoundaries;
}

} // namespace

struct Instruments::Implementation
{
  prometheus::Registry m_registry;
  /** Label values in use, by family. */
  std::map<std::string, std::set<std::string>, std::less<>> m_labels;
  /** Log counts that the counters already include. */
  LogCounts m_exportedLogCounts;

  /** @return the label, or "other" when the family has too many labels. */
  std::string LimitLabel(std::string_view aFamily, std::string_view aLabel)
  {
    auto& known = m_labels[std::string(aFamily)];
    std::string label(aLabel);
    if (!known.contains(label) && known.size() >= kMaxLabelsPerFamily) {
      return "other";
    }
    known.insert(label);
    return label;
  }

  prometheus::Counter& GetCounter(std::string_view aFamily,
                                  std::string_view aLabel)
  {
    return prometheus::BuildCounter()
      .Name(std::string(aFamily))
      .Register(m_registry)
      .Add({ { kLabelName, LimitLabel(aFamily, aLabel) } });
  }
};

Instruments::Instruments()
  : m_implementation(std::make_unique<Implementation>())
{
}

Instruments::~Instruments() = default;

void Instruments::Count(std::string_view aFamily, std::string_view aLabel)
{
  m_implementation->GetCounter(aFamily, aLabel).Increment();
}

void Instruments::ObserveDuration(std::string_view aFamily,
                                  std::string_view aLabel,
                                  Duration aDuration)
{
  prometheus::BuildHistogram()
    .Name(std::string(aFamily))
    .Register(m_implementation->m_registry)
    .Add({ { kLabelName, m_implementation->LimitLabel(aFamily, aLabel) } },
         DurationBuckets())
    .Observe(std::chrono::duration<double>(aDuration).count());
}

void Instruments::SetGauge(std::string_view aGauge, double aValue)
{
  prometheus::BuildGauge()
    .Name(std::string(aGauge))
    .Register(m_implementation->m_registry)
    .Add({})
    .Set(aValue);
}

std::string Instruments::Serialize()
{
  const LogCounts current = GetLogCounts();
  auto& exported = m_implementation->m_exportedLogCounts;
  m_implementation->GetCounter(counters::kLogLines, "written")
    .Increment(static_cast<double>(current.m_written - exported.m_written));
  m_implementation->GetCounter(counters::kLogLines, "dropped")
    .Increment(static_cast<double>(current.m_dropped - exported.m_dropped));
  exported = current;
  return prometheus::TextSerializer().Serialize(
    m_implementation->m_registry.Collect());
}

} // namespace auburntrestle::observe
