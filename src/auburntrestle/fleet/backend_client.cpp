#include "auburntrestle/fleet/backend_client.hpp"

#include "auburntrestle/observe/log.hpp"

#include <utility>

namespace auburntrestle::fleet {

using observe::LogLevel;
using observe::LogLine;

BackendClient::BackendClient(event_loop::EventLoop& aLoop,
                             http::ClientOptions aOptions,
                             std::string aRequestIdField,
                             BackendStatementReader aReadStatement,
                             observe::Instruments& aInstruments)
  : m_client(aLoop, aOptions)
  , m_requestIdField(std::move(aRequestIdField))
  , m_readStatement(std::move(aReadStatement))
  , m_instruments(aInstruments)
{
}

std::shared_ptr<http::Call> BackendClient::Start(
  const BackendRecord& aBackend,
  const http::Request& aRequest,
  const http::CallOptions& aOptions,
  http::CallHandlers aHandlers)
{
  const TimePoint now = MonotonicClock::Now();
  m_limits.RecordSent(aBackend.Process(), now);
  aHandlers.m_onHead =
    [this, aBackend, now, onHead = std::move(aHandlers.m_onHead)](
      const http::ResponseHead& aHead) {
      HandleHead(aBackend, now, aHead);
      onHead(aHead);
    };
  const std::string id(aRequest.m_headers.Find(m_requestIdField).value_or(""));
  aHandlers.m_onForeignHead =
    [this, aBackend, id](const http::ResponseHead& aHead) {
      HandleForeignHead(aBackend, id, aHead);
    };
  http::CallOptions options = aOptions;
  options.m_correlation = http::Correlation{ m_requestIdField, id };
  return m_client.Start(
    aBackend.m_address, aRequest, options, std::move(aHandlers));
}

std::shared_ptr<http::Call> BackendClient::Fetch(
  const BackendRecord& aBackend,
  const http::Request& aRequest,
  const http::CallOptions& aOptions,
  std::function<void(http::FetchResult)> aCallback)
{
  return Start(
    aBackend, aRequest, aOptions, http::CollectResponse(std::move(aCallback)));
}

void BackendClient::CloseIdle(const std::string& aAddress)
{
  m_client.CloseIdle(aAddress);
}

void BackendClient::HandleHead(const BackendRecord& aBackend,
                               TimePoint aSentAt,
                               const http::ResponseHead& aHead)
{
  const auto statement = m_readStatement(aHead);
  if (!statement) {
    return;
  }
  if (statement->m_isDraining) {
    RecordDraining(aBackend);
  }
  if (!statement->m_hasUnreadableLimit) {
    RecordLimit(aBackend.Process(), statement->m_rateLimit, aSentAt);
  }
}

void BackendClient::HandleForeignHead(const BackendRecord& aBackend,
                                      std::string_view aRequestId,
                                      const http::ResponseHead& aHead)
{
  m_instruments.Count(observe::counters::kBackendFailures, "foreign_response");
  LogLine(LogLevel::Info, "foreign_response")
    .Add("backend", aBackend.m_id)
    .Add("request", aRequestId)
    .Add("response_to", aHead.m_headers.Find(m_requestIdField).value_or(""))
    .Add("status", aHead.m_status);
}

void BackendClient::RecordDraining(const BackendRecord& aBackend)
{
  if (!m_draining.Record(aBackend.Process(), MonotonicClock::Now())) {
    return;
  }
  m_client.CloseIdle(aBackend.m_address);
  m_instruments.Count(observe::counters::kDrainingBackends, "response");
  LogLine(LogLevel::Info, "backend_draining")
    .Add("backend", aBackend.m_id)
    .Add("incarnation", aBackend.m_incarnation)
    .Add("source", "response");
}

void BackendClient::RecordLimit(const BackendProcess& aBackend,
                                std::optional<RequestRate> aLimit,
                                TimePoint aSentAt)
{
  if (!m_limits.RecordStatement(
        aBackend, aLimit, aSentAt, MonotonicClock::Now())) {
    return;
  }
  m_instruments.Count(observe::counters::kRateLimits,
                      aLimit ? "stated" : "ended");
  LogLine(LogLevel::Info, "backend_limit_changed")
    .Add("backend", aBackend.m_id)
    .Add("per_second", aLimit ? std::to_string(aLimit->Get()) : "none");
}

} // namespace auburntrestle::fleet
