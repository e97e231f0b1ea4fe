#include "auburntrestle/fleet/duty_caller.hpp"

#include "auburntrestle/observe/log.hpp"

#include <algorithm>
#include <utility>

namespace auburntrestle::fleet {

namespace {

using observe::LogLevel;
using observe::LogLine;

constexpr Duration kCallTimeout = std::chrono::seconds(2);
/** Delay of a further lease record after one that was not committed. */
constexpr Duration kRecordRetryDelay = std::chrono::milliseconds(250);
constexpr std::size_t kMaxResponseBytes = std::size_t{ 64 } * 1024;

http::ClientOptions MakeClientOptions()
{
  http::ClientOptions options;
  options.m_maxResponseBytes = kMaxResponseBytes;
  options.m_maxReceivedBytes = kMaxResponseBytes;
  // What a cancelled call has not delivered must not arrive later.
  options.m_resetsOnClose = true;
  return options;
}

} // namespace

std::string_view ToString(DutyOutcome aOutcome) noexcept
{
  switch (aOutcome) {
    case DutyOutcome::Done:
      return "done";
    case DutyOutcome::Conflict:
      return "conflict";
    case DutyOutcome::RateLimited:
      return "rate_limited";
    case DutyOutcome::Failed:
      return "failed";
  }
  return "unknown";
}

DutyCaller::DutyCaller(event_loop::EventLoop& aLoop,
                       const InfrastructureSettings& aSettings,
                       const InfrastructureProtocol& aProtocol,
                       Duration aLeaseTime,
                       std::string aMachine,
                       RecordFunction aRecord,
                       observe::Instruments& aInstruments)
  : m_loop(aLoop)
  , m_settings(aSettings)
  , m_protocol(aProtocol)
  , m_record(std::move(aRecord))
  , m_instruments(aInstruments)
  , m_client(aLoop, MakeClientOptions())
  , m_lease(aLeaseTime)
{
  m_holder.m_machine = std::move(aMachine);
}

DutyCaller::~DutyCaller()
{
  Stop();
}

void DutyCaller::Start(Fencing aFencing)
{
  ++m_epoch;
  m_holder.m_fencing = aFencing;
  m_lease.Start(BootClock::Now());
}

void DutyCaller::Stop()
{
  ++m_epoch;
  m_lease.Stop();
  m_pending.clear();
  m_renewing = false;
  m_calling = false;
  if (const auto call = std::exchange(m_call, nullptr)) {
    call->Cancel();
  }
}

void DutyCaller::RecordFencedOff()
{
  LogLine(LogLevel::Warning, "duty_fenced_off")
    .Add("fencing", m_holder.m_fencing);
  m_lease.RecordFencedOff();
}

void DutyCaller::Call(MakeRequest aRequest, Callback aCallback)
{
  m_pending.push_back({ std::move(aRequest), std::move(aCallback) });
  Advance();
}

void DutyCaller::Advance()
{
  const auto allowedFrom = m_lease.AllowedFrom();
  if (!allowedFrom || m_pending.empty() || m_calling || m_renewing) {
    return;
  }
  const BootTime now = BootClock::Now();
  if (now < *allowedFrom) {
    AdvanceAfter(*allowedFrom - now);
  } else if (const auto deadline = m_lease.CallDeadline(now)) {
    Send(*deadline);
  } else {
    RenewLease();
  }
}

void DutyCaller::AdvanceAfter(Duration aDelay)
{
  m_loop.After(aDelay, [this, epoch = m_epoch] {
    if (epoch == m_epoch) {
      Advance();
    }
  });
}

void DutyCaller::RenewLease()
{
  m_renewing = true;
  m_record(
    [this, epoch = m_epoch, proposedAt = BootClock::Now()](bool aIsCommitted) {
      if (epoch != m_epoch) {
        return;
      }
      m_renewing = false;
      if (!aIsCommitted) {
        AdvanceAfter(kRecordRetryDelay);
        return;
      }
      m_lease.RecordCommitted(proposedAt);
      if (m_lease.CallDeadline(BootClock::Now())) {
        Advance();
      } else {
        // The record took too long, as the next one may.
        AdvanceAfter(kRecordRetryDelay);
      }
    });
}

void DutyCaller::Send(BootTime aDeadline)
{
  m_calling = true;
  http::CallOptions options;
  options.m_timeout = std::min(aDeadline - BootClock::Now(), kCallTimeout);
  m_call =
    http::Fetch(m_client,
                m_settings.m_address,
                m_pending.front().m_request(m_holder),
                options,
                [this, epoch = m_epoch](const http::FetchResult& aResponse) {
                  if (epoch == m_epoch) {
                    Finish(aResponse ? m_protocol.m_readOutcome(*aResponse)
                                     : DutyOutcome::Failed);
                  }
                });
}

void DutyCaller::Finish(DutyOutcome aOutcome)
{
  m_instruments.Count(observe::counters::kDutyCalls, ToString(aOutcome));
  m_call.reset();
  const auto callback = std::move(m_pending.front().m_callback);
  m_pending.pop_front();
  // Keeps the calls below the rate that the API accepts.
  m_loop.After(
    std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1 / m_settings.m_callsPerSecond)),
    [this, epoch = m_epoch] {
      if (epoch == m_epoch) {
        m_calling = false;
        Advance();
      }
    });
  callback(aOutcome);
}

} // namespace auburntrestle::fleet
