#include "auburntrestle/fleet/backend_client.hpp"

#include "auburntrestle/observe/log.hpp"

#include <utility>

namespace auburntrestle::fleet {

using observe::LogLevel;
using observe::LogLine;

BackendClient::BackendClient(event_loop::EventLoop& aLoop,
                             http::ClientOptions aOptions,
                             BackendStatementReader aReadStatement,
                             observe::Instruments& aInstruments)
  : m_client(aLoop, aOptions)
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
    [this,
     process = aBackend.Process(),
     now,
     onHead = std::move(aHandlers.m_onHead)](const http::ResponseHead& aHead) {
      HandleHead(process, now, aHead);
      onHead(aHead);
    };
  return m_client.Start(
    aBackend.m_address, aRequest, aOptions, std::move(aHandlers));
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

void BackendClient::HandleHead(const BackendProcess& aBackend,
                               TimePoint aSentAt,
                               const http::ResponseHead& aHead)
{
  const auto statement = m_readStatement(aHead);
  if (!statement) {
    return;
  }
  const auto limit = statement->m_rateLimit;
  if (!m_limits.RecordStatement(
        aBackend, limit, aSentAt, MonotonicClock::Now())) {
    return;
  }
  m_instruments.Count(observe::counters::kRateLimits,
                      limit ? "stated" : "ended");
  LogLine(LogLevel::Info, "backend_limit_changed")
    .Add("backend", aBackend.m_id)
    .Add("per_second", limit ? std::to_string(limit->Get()) : "none");
}

} // namespace auburntrestle::fleet
