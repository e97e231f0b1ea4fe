#include "auburntrestle/operator_client/render.hpp"

#include "auburntrestle/operator_client/table.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace auburntrestle::operator_client {

namespace internal {

/** Title of a column and name of its JSON field. */
struct Column
{
  const char* m_title;
  const char* m_field;
};

using Columns = std::vector<Column>;

tl::unexpected<RenderError> MissingField(const std::string& aField)
{
  return tl::make_unexpected(
    RenderError{ "the answer has no valid \"" + aField + "\"" });
}

/** @return a list such as "policy-a:7 policy-b". */
std::string ListText(const nlohmann::json& aList);

std::string ValueText(const nlohmann::json& aValue)
{
  if (aValue.is_null()) {
    return "-";
  }
  if (aValue.is_string()) {
    return aValue.get<std::string>();
  }
  if (aValue.is_boolean()) {
    return aValue.get<bool>() ? "yes" : "no";
  }
  if (aValue.is_number_float()) {
    return fmt::format("{:.3f}", aValue.get<double>());
  }
  if (aValue.is_array()) {
    return ListText(aValue);
  }
  if (aValue.contains("name") && aValue.contains("version")) {
    return ValueText(aValue["name"]) + ":" + ValueText(aValue["version"]);
  }
  return aValue.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string ListText(const nlohmann::json& aList)
{
  std::string text;
  for (const auto& value : aList) {
    text += (text.empty() ? "" : " ") + ValueText(value);
  }
  return text.empty() ? "-" : text;
}

/** @return the text of a field, or "-" if it is absent: some fields are
 * optional, and an older instance does not have the newer ones. */
std::string CellText(const nlohmann::json& aObject, const char* aField)
{
  const auto found = aObject.find(aField);
  return found == aObject.end() ? "-" : ValueText(*found);
}

std::string FieldLines(const nlohmann::json& aObject,
                       const std::vector<const char*>& aFields)
{
  Table table({});
  for (const char* field : aFields) {
    table.AddRow({ field, CellText(aObject, field) });
  }
  return table.Render();
}

RenderResult ListTable(const nlohmann::json& aResponse,
                       const char* aList,
                       const Columns& aColumns)
{
  const auto list = aResponse.find(aList);
  if (list == aResponse.end() || !list->is_array()) {
    return MissingField(aList);
  }
  std::vector<std::string> titles;
  for (const Column& column : aColumns) {
    titles.emplace_back(column.m_title);
  }
  Table table(std::move(titles));
  for (const auto& entry : *list) {
    if (!entry.is_object()) {
      return MissingField(aList);
    }
    std::vector<std::string> cells;
    for (const Column& column : aColumns) {
      cells.push_back(CellText(entry, column.m_field));
    }
    table.AddRow(std::move(cells));
  }
  return table.Render();
}

/** @return the history, with "(base)" as the site of edits to the base. */
nlohmann::json LabelBaseEdits(nlohmann::json aResponse)
{
  const auto edits = aResponse.find("edits");
  if (edits != aResponse.end() && edits->is_array()) {
    for (auto& edit : *edits) {
      if (edit.is_object() && edit.contains("site") &&
          edit["site"].is_string() &&
          edit["site"].get_ref<const std::string&>().empty()) {
        edit["site"] = "(base)";
      }
    }
  }
  return aResponse;
}

/** A table of the report and the JSON list that it shows. */
struct Section
{
  const char* m_title;
  const char* m_list;
  Columns m_columns;
};

std::vector<Section> ReportSections()
{
  return {
    { "Callers: waiting and latency in seconds",
      "callers",
      { { "CALLER", "caller" },
        { "CLASS", "class" },
        { "REQUESTS", "requests" },
        { "WAIT P50", "wait_p50" },
        { "WAIT P99", "wait_p99" },
        { "FIRST P50", "first_token_p50" },
        { "FIRST P99", "first_token_p99" },
        { "TOTAL P50", "total_p50" },
        { "TOTAL P99", "total_p99" },
        { "TOTAL P99.9", "total_p999" } } },
    { "Trainers: idle time and samples by staleness 0, 1, 2, ...",
      "trainers",
      { { "TRAINER", "trainer" },
        { "IDLE SECONDS", "idle_seconds" },
        { "SAMPLES", "samples_delivered" },
        { "BATCHES", "batches_delivered" },
        { "STALENESS", "staleness_counts" } } },
    { "Slow or failing backend servers",
      "slow_backends",
      { { "BACKEND", "backend" },
        { "SLOWNESS", "slowness" },
        { "FAILING", "failing" } } },
    { "How requests ended",
      "outcomes",
      { { "CALLER", "caller" },
        { "CODE", "code" },
        { "OUTCOME", "outcome" },
        { "COUNT", "count" } } },
  };
}

const Columns& MemberColumns()
{
  static const Columns kColumns{ { "INSTANCE", "instance" },
                                 { "INCARNATION", "incarnation" },
                                 { "ROLE", "role" },
                                 { "MATCH", "match" },
                                 { "LAST CONTACT MS", "last_contact_ms" } };
  return kColumns;
}

/** @return the row of a base or overlay, or none if the field is not an
 * object. */
std::optional<std::vector<std::string>> FileRow(const nlohmann::json& aResponse,
                                                const char* aField)
{
  const auto file = aResponse.find(aField);
  if (file == aResponse.end() || file->is_null()) {
    return std::vector<std::string>{ aField, "none" };
  }
  if (!file->is_object()) {
    return std::nullopt;
  }
  return std::vector<std::string>{ aField,
                                   "number " + CellText(*file, "number") +
                                     ", digest " + CellText(*file, "digest") };
}

/** @return the text with its line breaks, but without other control
 * characters. */
std::string PrintableLines(const std::string& aText)
{
  std::string lines;
  std::size_t begin = 0;
  while (begin < aText.size()) {
    const std::size_t end = std::min(aText.find('\n', begin), aText.size());
    lines += PrintableText(aText.substr(begin, end - begin)) + "\n";
    begin = end + 1;
  }
  return lines;
}

} // namespace internal

RenderResult RenderAccepted(const nlohmann::json& aResponse)
{
  const auto revision = aResponse.find("revision");
  if (revision == aResponse.end() || !revision->is_number_unsigned()) {
    return internal::MissingField("revision");
  }
  return internal::FieldLines(aResponse, { "revision", "number", "digest" });
}

RenderResult RenderConfiguration(const nlohmann::json& aResponse)
{
  const auto effective = aResponse.find("effective");
  if (effective == aResponse.end() || !effective->is_string()) {
    return internal::MissingField("effective");
  }
  Table table({});
  table.AddRow({ "site", internal::CellText(aResponse, "site") });
  table.AddRow({ "revision", internal::CellText(aResponse, "revision") });
  for (const char* field : { "base", "overlay" }) {
    auto row = internal::FileRow(aResponse, field);
    if (!row) {
      return internal::MissingField(field);
    }
    table.AddRow(std::move(*row));
  }
  return table.Render() +
         internal::PrintableLines(effective->get<std::string>());
}

RenderResult RenderHistory(const nlohmann::json& aResponse)
{
  return internal::ListTable(internal::LabelBaseEdits(aResponse),
                             "edits",
                             { { "REVISION", "revision" },
                               { "SITE", "site" },
                               { "NUMBER", "number" },
                               { "DIGEST", "digest" },
                               { "EDIT", "edit" } });
}

RenderResult RenderStatus(const nlohmann::json& aResponse)
{
  if (!aResponse.contains("instance")) {
    return internal::MissingField("instance");
  }
  Table table({});
  for (const auto& [name, value] : aResponse.items()) {
    table.AddRow({ name, internal::ValueText(value) });
  }
  return table.Render();
}

RenderResult RenderBackends(const nlohmann::json& aResponse)
{
  return internal::ListTable(aResponse,
                             "backends",
                             { { "BACKEND", "backend" },
                               { "KIND", "kind" },
                               { "DATA CENTRE", "data_centre" },
                               { "ADDRESS", "address" },
                               { "STATE", "state" },
                               { "MODELS", "models" },
                               { "SERVICES", "services" },
                               { "OWNED", "owned" },
                               { "IN FLIGHT", "in_flight" },
                               { "LIMIT", "limit" },
                               { "SLOWNESS", "slowness" },
                               { "FAILING", "failing" },
                               { "LEASE MS", "lease_left_ms" } });
}

RenderResult RenderReport(const nlohmann::json& aResponse)
{
  std::string text;
  for (const auto& section : internal::ReportSections()) {
    auto table =
      internal::ListTable(aResponse, section.m_list, section.m_columns);
    if (!table) {
      return table;
    }
    text += std::string(section.m_title) + "\n" + *table + "\n";
  }
  const auto rollout = aResponse.find("rollout");
  if (rollout != aResponse.end() && rollout->is_object()) {
    Table table({});
    for (const auto& [name, value] : rollout->items()) {
      table.AddRow({ name, internal::ValueText(value) });
    }
    text += "Samples and batches\n" + table.Render() + "\n";
  }
  const auto notes = aResponse.find("not_observed");
  if (notes != aResponse.end() && notes->is_array()) {
    text += "Not observed\n";
    for (const auto& note : *notes) {
      text += "- " + PrintableText(internal::ValueText(note)) + "\n";
    }
  }
  return text;
}

RenderResult RenderDrain(const nlohmann::json& aResponse)
{
  if (!aResponse.contains("draining")) {
    return internal::MissingField("draining");
  }
  return internal::FieldLines(aResponse, { "draining" });
}

RenderResult RenderMembers(const nlohmann::json& aResponse)
{
  auto table =
    internal::ListTable(aResponse, "members", internal::MemberColumns());
  if (!table) {
    return table;
  }
  return internal::FieldLines(aResponse,
                              { "leader", "term", "commit", "applied" }) +
         "\n" + *table;
}

RenderResult RenderMemberChange(const nlohmann::json& aResponse)
{
  return internal::ListTable(aResponse, "members", internal::MemberColumns());
}

} // namespace auburntrestle::operator_client
