#include "auburntrestle/operator_client/explain.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <system_error>
#include <utility>

namespace auburntrestle::operator_client {

namespace {

/** Keys whose value may be the id. */
constexpr std::array<std::string_view, 5> kIdKeys{ "request",
                                                   "job",
                                                   "item",
                                                   "reward",
                                                   "backend" };

/** Removes one value, quoted or not, from the front of a line.
 * @return the unquoted value. */
std::string ExtractValue(std::string_view& aRest)
{
  std::string value;
  if (!aRest.starts_with('"')) {
    const auto end = std::min(aRest.find(' '), aRest.size());
    value = aRest.substr(0, end);
    aRest.remove_prefix(end);
    return value;
  }
  aRest.remove_prefix(1);
  while (!aRest.empty() && aRest.front() != '"') {
    if (aRest.front() == '\\' && aRest.size() > 1) {
      aRest.remove_prefix(1);
    }
    value += aRest.front();
    aRest.remove_prefix(1);
  }
  aRest.remove_prefix(std::min<std::size_t>(1, aRest.size()));
  return value;
}

bool HasId(const LogRecord& aRecord, const std::string& aId)
{
  return std::any_of(
    kIdKeys.begin(), kIdKeys.end(), [&](std::string_view aKey) {
      return aRecord.Field(std::string(aKey)) == aId;
    });
}

/** @return whether a line of an item is relevant to its job. */
bool IsFailure(const LogRecord& aRecord)
{
  return aRecord.m_event == "item_run_broken" ||
         aRecord.m_event == "item_attempt_failed" ||
         aRecord.m_event == "item_without_route" ||
         aRecord.m_event == "reward_attempt_failed" ||
         aRecord.m_event == "reward_unsuccessful" ||
         aRecord.m_event == "reward_without_route" ||
         aRecord.Field("lost") == "1";
}

bool IsRelevant(const LogRecord& aRecord, const std::string& aId)
{
  if (!HasId(aRecord, aId)) {
    return false;
  }
  const bool itemOfJob =
    aRecord.Field("job") == aId && !aRecord.Field("item").empty();
  return !itemOfJob || IsFailure(aRecord);
}

std::string Describe(const LogRecord& aRecord)
{
  const auto field = [&](const char* aKey) {
    return std::string(aRecord.Field(aKey));
  };
  const std::string& event = aRecord.m_event;
  if (event == "request_answered") {
    return "answered with " + field("status") + " after " + field("tried") +
           " backend servers";
  }
  if (event == "request_refused" && field("status") == "504") {
    return "the time limit passed while a backend server worked on it";
  }
  if (event == "request_refused" && field("tried") == "0") {
    return "no backend server of its service was usable under configuration " +
           field("configuration");
  }
  if (event == "request_refused") {
    return "all " + field("tried") +
           " backend servers that it was sent to refused or failed";
  }
  if (event == "no_route") {
    return "no route of configuration " + field("configuration") +
           " matches its host and path";
  }
  if (event == "caller_left") {
    return "the caller closed its connection before the response";
  }
  if (event == "backend_failed") {
    return "backend server " + field("backend") + ": " + field("failure");
  }
  if (event == "backend_refused") {
    return "backend server " + field("backend") + " refused it with " +
           field("status");
  }
  if (event == "item_run_broken") {
    return "the run on engine " + field("engine") +
           " ended: " + field("reason");
  }
  if (event == "item_attempt_failed") {
    return "an engine failed it with " + field("status") + ", attempt " +
           field("attempts");
  }
  if (event == "reward_unsuccessful") {
    return "its reward call to backend server " + field("backend") +
           " ended: " + field("reason");
  }
  if (event == "reward_attempt_failed") {
    return "the reward model failed its reward call with " + field("status") +
           ", attempt " + field("failures");
  }
  if (event == "reward_without_route") {
    return "no route matches its reward call";
  }
  if (event == "item_finished") {
    return field("lost") == "1" ? "given up" : "completed";
  }
  if (event == "job_submitted") {
    return "outcome of its submission: " + field("outcome");
  }
  if (event == "job_ended") {
    return "ended by its trainer with " + field("results") + " results";
  }
  return event;
}

/** @return how decisive an event is for the outcome; the highest value is the
 * cause. */
int GetRank(const LogRecord& aRecord)
{
  static const std::map<std::string, int, std::less<>> kRanks{
    { "request_refused", 3 },
    { "no_route", 3 },
    { "caller_left", 3 },
    { "request_answered", 3 },
    { "item_finished", 3 },
    { "item_attempt_failed", 2 },
    { "item_run_broken", 2 },
    { "backend_failed", 2 },
    { "backend_refused", 2 },
    { "reward_unsuccessful", 2 },
    { "reward_attempt_failed", 2 },
    { "reward_without_route", 2 },
    { "job_ended", 1 },
    { "job_submitted", 1 }
  };
  const auto found = kRanks.find(aRecord.m_event);
  return found == kRanks.end() ? 0 : found->second;
}

/** @return a description of the decisive event and, if it is another event, of
 * the last failure. */
std::string DetermineCause(const std::vector<LogRecord>& aRecords)
{
  const LogRecord* decisive = nullptr;
  const LogRecord* lastFailure = nullptr;
  for (const auto& record : aRecords) {
    if (decisive == nullptr || GetRank(record) >= GetRank(*decisive)) {
      decisive = &record;
    }
    if (GetRank(record) == 2) {
      lastFailure = &record;
    }
  }
  if (decisive == nullptr) {
    return {};
  }
  std::string cause = Describe(*decisive);
  if (lastFailure != nullptr && lastFailure != decisive) {
    cause += "; before that, " + Describe(*lastFailure);
  }
  return cause;
}

/** Appends the relevant records of a log file. */
void ReadLogFile(const std::filesystem::path& aPath,
                 const std::string& aId,
                 std::vector<LogRecord>& aRecords)
{
  std::ifstream file(aPath);
  std::string line;
  while (std::getline(file, line)) {
    // Cheap check first: most lines concern other requests.
    if (line.find(aId) == std::string::npos) {
      continue;
    }
    auto record = ParseLogLine(line, aPath.stem().string());
    if (record && IsRelevant(*record, aId)) {
      aRecords.push_back(std::move(*record));
    }
  }
}

} // namespace

std::string_view LogRecord::Field(const std::string& aKey) const
{
  const auto found = m_fields.find(aKey);
  return found == m_fields.end() ? std::string_view() : found->second;
}

std::optional<LogRecord> ParseLogLine(std::string_view aLine,
                                      const std::string& aInstance)
{
  const auto start = aLine.find("time=");
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  aLine.remove_prefix(start);
  LogRecord record;
  record.m_instance = aInstance;
  while (!aLine.empty()) {
    const auto equals = aLine.find('=');
    if (equals == std::string_view::npos) {
      break;
    }
    std::string key(aLine.substr(0, equals));
    aLine.remove_prefix(equals + 1);
    std::string value = ExtractValue(aLine);
    aLine.remove_prefix(std::min<std::size_t>(1, aLine.size()));
    record.m_fields.insert_or_assign(std::move(key), std::move(value));
  }
  record.m_time = record.Field("time");
  record.m_event = record.Field("event");
  return record.m_event.empty() ? std::nullopt : std::optional(record);
}

tl::expected<Explanation, ExplainError> Explain(
  const std::string& aId,
  const std::filesystem::path& aFolder)
{
  std::error_code error;
  std::vector<std::filesystem::path> files;
  for (std::filesystem::directory_iterator entry(aFolder, error), end;
       !error && entry != end;
       entry.increment(error)) {
    if (entry->is_regular_file(error)) {
      files.push_back(entry->path());
    }
  }
  if (error) {
    return tl::make_unexpected(
      ExplainError{ aFolder.string() + ": " + error.message() });
  }
  std::sort(files.begin(), files.end());
  Explanation explanation;
  for (const auto& file : files) {
    ReadLogFile(file, aId, explanation.m_records);
  }
  if (explanation.m_records.empty()) {
    return tl::make_unexpected(
      ExplainError{ "no line names " + aId + " in " + aFolder.string() });
  }
  std::stable_sort(explanation.m_records.begin(),
                   explanation.m_records.end(),
                   [](const LogRecord& aLeft, const LogRecord& aRight) {
                     return aLeft.m_time < aRight.m_time;
                   });
  explanation.m_cause = DetermineCause(explanation.m_records);
  return explanation;
}

std::string RenderExplanation(const Explanation& aExplanation)
{
  std::string text;
  for (const auto& record : aExplanation.m_records) {
    text += record.m_time + "  " + record.m_instance + "  " + record.m_event;
    for (const auto& [key, value] : record.m_fields) {
      if (key != "time" && key != "event" && key != "level") {
        text.append(" ").append(key).append("=").append(value);
      }
    }
    text += "\n";
  }
  return text + "cause: " + aExplanation.m_cause + "\n";
}

std::string ExplanationAsJson(const Explanation& aExplanation)
{
  nlohmann::json records = nlohmann::json::array();
  for (const auto& record : aExplanation.m_records) {
    nlohmann::json fields(record.m_fields);
    fields["instance"] = record.m_instance;
    records.push_back(std::move(fields));
  }
  return nlohmann::json{
    { "records", std::move(records) }, { "cause", aExplanation.m_cause }
  }.dump();
}

} // namespace auburntrestle::operator_client
