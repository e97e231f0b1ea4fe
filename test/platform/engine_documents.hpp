#ifndef AUBURNTRESTLE_TEST_PLATFORM_ENGINE_DOCUMENTS_HPP
#define AUBURNTRESTLE_TEST_PLATFORM_ENGINE_DOCUMENTS_HPP

#include "platform/json_fields.hpp"
#include "platform/names.hpp"

#include <string>

namespace auburntrestle::platform::test {

/** The path of the items of MakeJob. */
constexpr auto kItemPath = "/jobs/1/x";

/** @return whether the last request of a connection asks for the report of an
 * engine. Without a proper one, an engine gets no items. */
[[nodiscard]] inline bool AsksForReport(const std::string& aReceived)
{
  const auto line = aReceived.rfind(" HTTP/1.1\r\n");
  const std::string report = "GET " + std::string(names::kReportPath);
  return line != std::string::npos &&
         aReceived.substr(0, line).ends_with(report);
}

/** @return the report of an engine with version 1 of the model "m". */
[[nodiscard]] inline std::string ReportResponse()
{
  const std::string body = Json{
    { "models", { { { "name", "m" }, { "version", 1 } } } },
    { "busy", false },
    { "sequence", 0 }
  }.dump();
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

/** @return a batch job with the items "item0", "item1" and so on. */
[[nodiscard]] inline std::string MakeJob(int aItems)
{
  Json items = Json::array();
  for (int item = 0; item < aItems; ++item) {
    items.push_back({ { "id", "item" + std::to_string(item) },
                      { "path", kItemPath },
                      { "headers", { { "X-Model", "m" } } },
                      { "body", "cHJvbXB0" },
                      { "tokens", 100 },
                      { "group", "g" } });
  }
  return Json{
    { "step", 0 },
    { "model", "m" },
    { "min_version", 1 },
    { "target_groups", 1 },
    { "requests", items }
  }.dump();
}

} // namespace auburntrestle::platform::test

#endif
