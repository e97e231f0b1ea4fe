#ifndef AUBURNTRESTLE_TOOLS_TRESTLE_LOAD_REPORT_HPP
#define AUBURNTRESTLE_TOOLS_TRESTLE_LOAD_REPORT_HPP

#include "trestle_load/runner.hpp"

#include <nlohmann/json.hpp>

#include <iosfwd>
#include <string>

namespace auburntrestle::tools {

/** @return a load result as JSON; times are in milliseconds. */
[[nodiscard]] nlohmann::json ResultToJson(const LoadResult& aResult);

/** Writes a load result as a table. */
void PrintTable(std::ostream& aStream, const nlohmann::json& aResult);

/** @return a plot of the latency quantiles of each application. */
[[nodiscard]] std::string ResultToSvg(const nlohmann::json& aResult);

/** Writes the ratios of the second result to the first one. */
void PrintComparison(std::ostream& aStream,
                     const nlohmann::json& aFirst,
                     const nlohmann::json& aSecond);

} // namespace auburntrestle::tools

#endif
