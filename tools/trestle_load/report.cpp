#include "trestle_load/report.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <ostream>
#include <sstream>
#include <string_view>

namespace auburntrestle::tools {

using nlohmann::json;

namespace internal {

struct NamedQuantile
{
  std::string_view m_name;
  double m_share;
};

constexpr std::array<NamedQuantile, 4> kQuantiles{
  { { "p50", 0.5 }, { "p90", 0.9 }, { "p99", 0.99 }, { "p99.9", 0.999 } }
};

double ToMilliseconds(Duration aTime)
{
  return static_cast<double>(aTime.count()) / 1000.0;
}

json HistogramToJson(const LatencyHistogram& aHistogram)
{
  json result{ { "count", aHistogram.Count() },
               { "mean", ToMilliseconds(aHistogram.Mean()) },
               { "max", ToMilliseconds(aHistogram.Max()) } };
  for (const auto& [name, share] : kQuantiles) {
    result[std::string(name)] = ToMilliseconds(aHistogram.Quantile(share));
  }
  return result;
}

json SizeToJson(const SizeResult& aSize)
{
  return { { "answered", aSize.m_completed },
           { "failed", aSize.m_failed },
           { "tokens", aSize.m_tokens },
           { "first_token", HistogramToJson(aSize.m_firstToken) },
           { "total", HistogramToJson(aSize.m_total) } };
}

json AllSizesToJson(const ApplicationResult& aResult)
{
  SizeResult all = aResult.m_shortWork;
  all.m_completed += aResult.m_longWork.m_completed;
  all.m_failed += aResult.m_longWork.m_failed;
  all.m_tokens += aResult.m_longWork.m_tokens;
  all.m_firstToken.Merge(aResult.m_longWork.m_firstToken);
  all.m_total.Merge(aResult.m_longWork.m_total);
  return SizeToJson(all);
}

void PrintRow(std::ostream& aStream,
              const std::string& aCaller,
              const std::string& aSize,
              const std::string& aMeasure,
              const json& aHistogram)
{
  aStream << std::left << std::setw(14) << aCaller << std::setw(7) << aSize
          << std::setw(13) << aMeasure << std::right << std::setw(8)
          << aHistogram.at("count").get<std::uint64_t>() << std::fixed
          << std::setprecision(1);
  for (const auto& [name, share] : kQuantiles) {
    aStream << std::setw(11) << aHistogram.at(std::string(name)).get<double>();
  }
  aStream << std::setw(11) << aHistogram.at("max").get<double>() << '\n';
}

void PrintApplication(std::ostream& aStream, const json& aApplication)
{
  const auto name = aApplication.at("name").get<std::string>();
  for (const std::string size : { "short", "long" }) {
    for (const std::string measure : { "first_token", "total" }) {
      PrintRow(aStream,
               name,
               size,
               measure,
               aApplication.at("sizes").at(size).at(measure));
    }
  }
}

void PrintTrainer(std::ostream& aStream, const json& aTrainer)
{
  aStream << std::setprecision(3)
          << "trainer name=" << aTrainer.at("name").get<std::string>()
          << " steps=" << aTrainer.at("steps")
          << " samples=" << aTrainer.at("samples")
          << " idle_share=" << aTrainer.at("idle_share").get<double>()
          << " samples_per_second="
          << aTrainer.at("samples_per_second").get<double>()
          << " tokens_per_second="
          << aTrainer.at("tokens_per_second").get<double>()
          << " expired_batches=" << aTrainer.at("expired_batches")
          << " failed_calls=" << aTrainer.at("failed_calls");
  for (const auto& [versions, count] : aTrainer.at("staleness").items()) {
    aStream << " staleness_" << versions << "=" << count;
  }
  aStream << " violations=" << aTrainer.at("violations").size() << '\n';
}

/** @return the entry with a name, or null when there is none. */
json FindNamed(const json& aList, const std::string& aName)
{
  const auto found =
    std::find_if(aList.begin(), aList.end(), [&aName](const json& aEntry) {
      return aEntry.at("name") == aName;
    });
  return found == aList.end() ? json() : *found;
}

void PrintRatio(std::ostream& aStream,
                const std::string& aWhat,
                double aFirst,
                double aSecond)
{
  aStream << std::left << std::setw(44) << aWhat << std::right << std::fixed
          << std::setprecision(3) << std::setw(14) << aFirst << std::setw(14)
          << aSecond << std::setw(10);
  if (aFirst > 0.0) {
    aStream << aSecond / aFirst << '\n';
  } else {
    aStream << "-" << '\n';
  }
}

void CompareApplication(std::ostream& aStream,
                        const json& aFirst,
                        const json& aSecond)
{
  const auto name = aFirst.at("name").get<std::string>();
  for (const std::string size : { "short", "long", "all" }) {
    const json& first = aFirst.at("sizes").at(size);
    const json& second = aSecond.at("sizes").at(size);
    for (const std::string measure : { "first_token", "total" }) {
      for (const auto& [quantile, share] : kQuantiles) {
        const std::string key(quantile);
        PrintRatio(aStream,
                   fmt::format("{} {} {} {} ms", name, size, measure, key),
                   first.at(measure).at(key).get<double>(),
                   second.at(measure).at(key).get<double>());
      }
    }
    PrintRatio(aStream,
               fmt::format("{} {} failed", name, size),
               first.at("failed").get<double>(),
               second.at("failed").get<double>());
  }
}

constexpr double kPlotLeft = 70.0;
constexpr double kPlotTop = 40.0;
constexpr double kPlotWidth = 520.0;
constexpr double kPlotHeight = 280.0;

/** The logarithmic value axis of one plot. */
struct LogAxis
{
  double m_low = 1.0;
  double m_high = 10.0;

  [[nodiscard]] double Y(double aValue) const
  {
    const double value = std::clamp(aValue, m_low, m_high);
    const double share = std::log(value / m_low) / std::log(m_high / m_low);
    return kPlotTop + kPlotHeight * (1.0 - share);
  }
};

LogAxis AxisFor(const json& aApplication)
{
  double low = 1e12;
  double high = 1.0;
  for (const std::string size : { "short", "long" }) {
    for (const std::string measure : { "first_token", "total" }) {
      const json& histogram = aApplication.at("sizes").at(size).at(measure);
      for (const auto& [name, share] : kQuantiles) {
        const double value = histogram.at(std::string(name)).get<double>();
        if (value > 0.0) {
          low = std::min(low, value);
          high = std::max(high, value);
        }
      }
    }
  }
  low = std::pow(10.0, std::floor(std::log10(std::min(low, high))));
  return { low,
           std::max(low * 10.0, std::pow(10.0, std::ceil(std::log10(high)))) };
}

void DrawAxes(std::ostream& aStream,
              const LogAxis& aAxis,
              const std::string& aTitle)
{
  aStream << "<text x='" << kPlotLeft << "' y='22' font-size='15'>" << aTitle
          << ": latency from intended start</text>\n";
  for (double value = aAxis.m_low; value <= aAxis.m_high * 1.001;
       value *= 10.0) {
    const double y = aAxis.Y(value);
    aStream << "<line x1='" << kPlotLeft << "' y1='" << y << "' x2='"
            << kPlotLeft + kPlotWidth << "' y2='" << y
            << "' stroke='#ccc'/><text x='" << kPlotLeft - 6 << "' y='" << y + 4
            << "' text-anchor='end'>" << value << " ms</text>\n";
  }
  for (std::size_t index = 0; index < kQuantiles.size(); ++index) {
    const double x = kPlotLeft + kPlotWidth * static_cast<double>(index) /
                                   (kQuantiles.size() - 1.0);
    aStream << "<text x='" << x << "' y='" << kPlotTop + kPlotHeight + 18
            << "' text-anchor='middle'>" << kQuantiles.at(index).m_name
            << "</text>\n";
  }
}

void DrawLine(std::ostream& aStream,
              const LogAxis& aAxis,
              const json& aHistogram,
              const std::string& aLabel,
              const std::string& aColour,
              double aLegendY)
{
  if (aHistogram.at("count") == 0) {
    return;
  }
  aStream << "<polyline fill='none' stroke-width='2' stroke='" << aColour
          << "' points='";
  for (std::size_t index = 0; index < kQuantiles.size(); ++index) {
    const std::string name(kQuantiles.at(index).m_name);
    aStream << kPlotLeft + kPlotWidth * static_cast<double>(index) /
                             (kQuantiles.size() - 1.0)
            << "," << aAxis.Y(aHistogram.at(name).get<double>()) << " ";
  }
  aStream << "'/>\n<text x='" << kPlotLeft + kPlotWidth + 12 << "' y='"
          << aLegendY << "' fill='" << aColour << "'>" << aLabel << "</text>\n";
}

void DrawApplication(std::ostream& aStream, const json& aApplication)
{
  const LogAxis axis = AxisFor(aApplication);
  DrawAxes(aStream, axis, aApplication.at("name").get<std::string>());
  struct Line
  {
    std::string m_size;
    std::string m_measure;
    std::string m_colour;
  };
  const std::array<Line, 4> lines{ { { "short", "first_token", "#1f77b4" },
                                     { "short", "total", "#2ca02c" },
                                     { "long", "first_token", "#ff7f0e" },
                                     { "long", "total", "#d62728" } } };
  double legend = kPlotTop + 12;
  for (const auto& line : lines) {
    DrawLine(aStream,
             axis,
             aApplication.at("sizes").at(line.m_size).at(line.m_measure),
             line.m_size + " " + line.m_measure,
             line.m_colour,
             legend);
    legend += 20;
  }
}

} // namespace internal

json ResultToJson(const LoadResult& aResult)
{
  json applications = json::array();
  for (const auto& application : aResult.m_applications) {
    applications.push_back(
      { { "name", application.m_name },
        { "sizes",
          { { "short", internal::SizeToJson(application.m_shortWork) },
            { "long", internal::SizeToJson(application.m_longWork) },
            { "all", internal::AllSizesToJson(application) } } },
        { "errors", application.m_errors },
        { "violations", application.m_violations } });
  }
  json trainers = json::array();
  for (const auto& trainer : aResult.m_trainers) {
    json entry = trainer.m_report.ToJson();
    entry["name"] = trainer.m_name;
    trainers.push_back(std::move(entry));
  }
  return { { "scenario", aResult.m_scenario },
           { "seed", aResult.m_seed },
           { "duration_ms", aResult.m_length.count() / 1000 },
           { "slow_downs", aResult.m_slowDowns },
           { "start_lag", internal::HistogramToJson(aResult.m_startLag) },
           { "applications", applications },
           { "trainers", trainers },
           { "violations", aResult.Violations() } };
}

void PrintTable(std::ostream& aStream, const json& aResult)
{
  aStream << "load scenario=" << aResult.at("scenario").get<std::string>()
          << " seed=" << aResult.at("seed")
          << " duration_ms=" << aResult.at("duration_ms")
          << " slow_downs=" << aResult.at("slow_downs") << " start_lag_p99_ms="
          << aResult.at("start_lag").at("p99").get<double>()
          << " violations=" << aResult.at("violations") << '\n';
  aStream << std::left << std::setw(14) << "caller" << std::setw(7) << "size"
          << std::setw(13) << "measure_ms" << std::right << std::setw(8)
          << "count";
  for (const auto& [name, share] : internal::kQuantiles) {
    aStream << std::setw(11) << name;
  }
  aStream << std::setw(11) << "max" << '\n';
  for (const json& application : aResult.at("applications")) {
    internal::PrintApplication(aStream, application);
  }
  for (const json& application : aResult.at("applications")) {
    for (const auto& [error, count] : application.at("errors").items()) {
      aStream << "errors caller=" << application.at("name").get<std::string>()
              << " error=" << error << " count=" << count << '\n';
    }
    for (const json& violation : application.at("violations")) {
      aStream << "violation caller="
              << application.at("name").get<std::string>()
              << " text=" << violation << '\n';
    }
  }
  for (const json& trainer : aResult.at("trainers")) {
    internal::PrintTrainer(aStream, trainer);
    for (const json& violation : trainer.at("violations")) {
      aStream << "violation caller=" << trainer.at("name").get<std::string>()
              << " text=" << violation << '\n';
    }
  }
  aStream.flush();
}

std::string ResultToSvg(const json& aResult)
{
  constexpr double kWidth = 760.0;
  constexpr double kHeight = 350.0;
  const auto& applications = aResult.at("applications");
  std::ostringstream svg;
  svg << "<svg xmlns='http://www.w3.org/2000/svg' width='" << kWidth
      << "' height='" << kHeight * static_cast<double>(applications.size())
      << "' font-family='sans-serif' font-size='12'>\n"
      << "<rect width='100%' height='100%' fill='white'/>\n";
  double offset = 0.0;
  for (const json& application : applications) {
    svg << "<g transform='translate(0," << offset << ")'>\n";
    internal::DrawApplication(svg, application);
    svg << "</g>\n";
    offset += kHeight;
  }
  svg << "</svg>\n";
  return svg.str();
}

void PrintComparison(std::ostream& aStream,
                     const json& aFirst,
                     const json& aSecond)
{
  aStream << std::left << std::setw(44) << "measure" << std::right
          << std::setw(14) << "first" << std::setw(14) << "second"
          << std::setw(10) << "ratio" << '\n';
  for (const json& first : aFirst.at("applications")) {
    const json second = internal::FindNamed(
      aSecond.at("applications"), first.at("name").get<std::string>());
    if (!second.is_null()) {
      internal::CompareApplication(aStream, first, second);
    }
  }
  for (const json& first : aFirst.at("trainers")) {
    const auto name = first.at("name").get<std::string>();
    const json second = internal::FindNamed(aSecond.at("trainers"), name);
    if (second.is_null()) {
      continue;
    }
    for (const std::string key :
         { "idle_share", "samples_per_second", "tokens_per_second" }) {
      internal::PrintRatio(aStream,
                           fmt::format("{} {}", name, key),
                           first.at(key).get<double>(),
                           second.at(key).get<double>());
    }
  }
  aStream.flush();
}

} // namespace auburntrestle::tools
