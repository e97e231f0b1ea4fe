#include "auburntrestle/daemon/report.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace auburntrestle::daemon {

namespace internal {

constexpr double kSlowFactor = 1.5;

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

std::vector<std::string> NotObserved(const Report& aReport)
{
  std::vector<std::string> notes{
    "Only requests that ended at this instance since it started are counted.",
    "Waiting inside an engine is visible only as time to first token.",
    "Time on the network between a caller and this instance is not included.",
    "Quantiles are read from histogram buckets and may be up to 30% too high."
  };
  if (aReport.m_rollout.m_trainers.empty()) {
    notes.emplace_back("No trainer was served by this instance, so idle time "
                       "and staleness are unknown here.");
  }
  return notes;
}

std::string Escape(const std::string& aText)
{
  std::string escaped;
  for (const char byte : aText) {
    switch (byte) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += byte;
    }
  }
  return escaped;
}

nlohmann::json CallerJson(const observe::CallerSummary& aCaller)
{
  return { { "caller", aCaller.m_caller },
           { "class", aCaller.m_training ? "training" : "application" },
           { "requests", aCaller.m_requests },
           { "wait_p50", aCaller.m_waitP50 },
           { "wait_p99", aCaller.m_waitP99 },
           { "first_token_p50", aCaller.m_firstTokenP50 },
           { "first_token_p99", aCaller.m_firstTokenP99 },
           { "total_p50", aCaller.m_totalP50 },
           { "total_p99", aCaller.m_totalP99 },
           { "total_p999", aCaller.m_totalP999 } };
}

nlohmann::json TrainerJson(const TrainerId& aTrainer,
                           const rollout::TrainerMetrics& aMetrics)
{
  return { { "trainer", aTrainer.Get() },
           { "idle_seconds", Seconds(aMetrics.m_idle) },
           { "samples_delivered", aMetrics.m_samplesDelivered },
           { "batches_delivered", aMetrics.m_batchesDelivered },
           { "staleness_counts", aMetrics.m_staleness } };
}

std::string CallerRows(const Report& aReport)
{
  std::string rows;
  for (const auto& caller : aReport.m_callers) {
    rows += fmt::format("<tr><td>{}</td><td>{}</td><td>{}</td><td>{:.3f}</td>"
                        "<td>{:.3f}</td><td>{:.3f}</td><td>{:.3f}</td>"
                        "<td>{:.3f}</td></tr>\n",
                        Escape(caller.m_caller),
                        caller.m_training ? "training" : "application",
                        caller.m_requests,
                        caller.m_waitP50,
                        caller.m_waitP99,
                        caller.m_totalP50,
                        caller.m_totalP99,
                        caller.m_totalP999);
  }
  return rows;
}

std::string TrainerRows(const Report& aReport)
{
  std::string rows;
  for (const auto& [trainer, metrics] : aReport.m_rollout.m_trainers) {
    std::string staleness;
    for (const auto count : metrics.m_staleness) {
      staleness += (staleness.empty() ? "" : " ") + std::to_string(count);
    }
    rows +=
      fmt::format("<tr><td>{}</td><td>{:.1f}</td><td>{}</td><td>{}</td></tr>\n",
                  Escape(trainer.Get()),
                  Seconds(metrics.m_idle),
                  metrics.m_samplesDelivered,
                  staleness);
  }
  return rows;
}

std::string OutcomeRows(const Report& aReport)
{
  std::string rows;
  for (const auto& row : aReport.m_outcomes) {
    rows +=
      fmt::format("<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>\n",
                  Escape(row.m_caller),
                  Escape(row.m_code),
                  Escape(row.m_outcome),
                  row.m_count);
  }
  return rows;
}

std::string SlowRows(const Report& aReport)
{
  std::string rows;
  for (const auto& slow : aReport.m_slowBackends) {
    rows += fmt::format("<tr><td>{}</td><td>{:.1f}</td><td>{}</td></tr>\n",
                        Escape(slow.m_backend.Get()),
                        slow.m_slowness,
                        slow.m_failing ? "yes" : "no");
  }
  return rows;
}

std::string Table(const char* aTitle,
                  const char* aHeads,
                  const std::string& aRows)
{
  return fmt::format("<h2>{}</h2>\n<table><tr>{}</tr>\n{}</table>\n",
                     aTitle,
                     aHeads,
                     aRows.empty() ? "<tr><td>none</td></tr>\n" : aRows);
}

} // namespace internal

Report MakeReport(const observe::Metrics& aMetrics,
                  const std::vector<registry::BackendView>& aBackends,
                  const rollout::Metrics& aRollout)
{
  Report report;
  report.m_callers = aMetrics.Summaries();
  report.m_outcomes = aMetrics.Outcomes();
  report.m_rollout = aRollout;
  for (const auto& backend : aBackends) {
    if (backend.m_failing || backend.m_slowness >= internal::kSlowFactor) {
      report.m_slowBackends.push_back(
        SlowBackend{ backend.m_announcement.m_backend,
                     backend.m_slowness,
                     backend.m_failing });
    }
  }
  report.m_notObserved = internal::NotObserved(report);
  return report;
}

std::string RenderJson(const Report& aReport)
{
  nlohmann::json body;
  body["callers"] = nlohmann::json::array();
  for (const auto& caller : aReport.m_callers) {
    body["callers"].push_back(internal::CallerJson(caller));
  }
  body["trainers"] = nlohmann::json::array();
  for (const auto& [trainer, metrics] : aReport.m_rollout.m_trainers) {
    body["trainers"].push_back(internal::TrainerJson(trainer, metrics));
  }
  body["outcomes"] = nlohmann::json::array();
  for (const auto& row : aReport.m_outcomes) {
    body["outcomes"].push_back({ { "caller", row.m_caller },
                                 { "code", row.m_code },
                                 { "outcome", row.m_outcome },
                                 { "count", row.m_count } });
  }
  body["slow_backends"] = nlohmann::json::array();
  for (const auto& slow : aReport.m_slowBackends) {
    body["slow_backends"].push_back({ { "backend", slow.m_backend.Get() },
                                      { "slowness", slow.m_slowness },
                                      { "failing", slow.m_failing } });
  }
  body["rollout"] = {
    { "regenerated", aReport.m_rollout.m_regenerated },
    { "duplicates_dropped", aReport.m_rollout.m_duplicatesDropped },
    { "cancelled_stale", aReport.m_rollout.m_cancelledStale },
    { "dropped_stale", aReport.m_rollout.m_droppedStale },
    { "batches_expired", aReport.m_rollout.m_batchesExpired }
  };
  body["not_observed"] = aReport.m_notObserved;
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string RenderHtml(const Report& aReport)
{
  std::string notes;
  for (const auto& note : aReport.m_notObserved) {
    notes += "<li>" + internal::Escape(note) + "</li>\n";
  }
  return "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">"
         "<title>auburntrestle report</title><style>body{font-family:"
         "sans-serif;margin:2em}table{border-collapse:collapse}td,th{border:"
         "1px solid #999;padding:0.3em 0.6em;text-align:left}</style></head>"
         "<body><h1>auburntrestle report</h1>\n" +
         internal::Table(
           "Callers: waiting and latency in seconds",
           "<th>caller</th><th>class</th><th>requests</th><th>wait p50</th>"
           "<th>wait p99</th><th>total p50</th><th>total p99</th>"
           "<th>total p99.9</th>",
           internal::CallerRows(aReport)) +
         internal::Table("Trainers: idle time and staleness",
                         "<th>trainer</th><th>idle seconds</th><th>samples</th>"
                         "<th>samples by staleness 0, 1, 2, ...</th>",
                         internal::TrainerRows(aReport)) +
         internal::Table("Slow or failing backend servers",
                         "<th>backend server</th><th>slowness</th>"
                         "<th>failing</th>",
                         internal::SlowRows(aReport)) +
         internal::Table("How requests ended",
                         "<th>caller</th><th>code</th><th>outcome</th>"
                         "<th>count</th>",
                         internal::OutcomeRows(aReport)) +
         "<h2>Not observed</h2>\n<ul>" + notes + "</ul></body></html>\n";
}

} // namespace auburntrestle::daemon
