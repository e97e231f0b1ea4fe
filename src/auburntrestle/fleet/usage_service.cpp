#include "auburntrestle/fleet/usage_service.hpp"

#include "auburntrestle/observe/log.hpp"

#include <algorithm>
#include <utility>

namespace auburntrestle::fleet {

namespace {

using observe::LogLevel;
using observe::LogLine;

constexpr Duration kCheckInterval = std::chrono::milliseconds(250);
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(250);
constexpr Duration kMaxRetryDelay = std::chrono::seconds(2);

Duration RetryDelay(std::uint32_t aFailures)
{
  constexpr std::uint32_t kMaxDoublings = 4;
  return std::min(kMinRetryDelay * (1U << std::min(aFailures, kMaxDoublings)),
                  kMaxRetryDelay);
}

} // namespace

UsageService::UsageService(event_loop::EventLoop& aLoop,
                           const InfrastructureSettings& aSettings,
                           const InfrastructureProtocol& aProtocol,
                           const SteadyWallClock& aClock,
                           DutyCaller& aCaller,
                           std::function<const State&()> aGetState,
                           ProposeFunction aPropose,
                           observe::Instruments& aInstruments)
  : m_loop(aLoop)
  , m_settings(aSettings)
  , m_protocol(aProtocol)
  , m_clock(aClock)
  , m_caller(aCaller)
  , m_getState(std::move(aGetState))
  , m_propose(std::move(aPropose))
  , m_instruments(aInstruments)
  , m_reporter(aSettings.m_usageWindow, aSettings.m_usageDue)
{
}

void UsageService::Start()
{
  ++m_epoch;
  m_proposing = false;
  m_reporting = false;
  m_failures = 0;
  m_nextReportAt = TimePoint();
  m_reporter.Start(MonotonicClock::Now());
  RunPeriodicChecks();
}

void UsageService::Stop()
{
  ++m_epoch;
}

UsageView UsageService::Submit(const SubmitUsage& aSubmission)
{
  m_reporter.RecordSubmission(aSubmission);
  return UsageView{ m_getState().Usage().m_firstOpen };
}

void UsageService::RunPeriodicChecks()
{
  if (m_hasAccounts) {
    CloseWindows();
    SendReport();
  }
  m_loop.After(kCheckInterval, [this, epoch = m_epoch] {
    if (epoch == m_epoch) {
      RunPeriodicChecks();
    }
  });
}

void UsageService::CloseWindows()
{
  if (m_proposing) {
    return;
  }
  const UsageWindow firstOpen = m_getState().Usage().m_firstOpen;
  const WallTime now = m_clock.At(BootClock::Now());
  if (firstOpen == UsageWindow()) {
    // The present window began before the accounts were in force.
    Propose(CompleteUsage{ WindowAt(now, m_settings.m_usageWindow) });
    return;
  }
  m_reporter.RecordClosed(firstOpen);
  const auto window =
    m_reporter.NextToClose(firstOpen, now, MonotonicClock::Now());
  if (!window) {
    return;
  }
  const auto counts = m_reporter.CountsOf(*window);
  LogLine(LogLevel::Info, "usage_window_closed")
    .Add("window", *window)
    .Add("accounts", counts.size());
  Propose(RecordUsage{ *window, counts });
}

void UsageService::Propose(const Command& aCommand)
{
  m_proposing = true;
  m_propose(aCommand, [this, epoch = m_epoch](bool /*aIsApplied*/) {
    // What was not applied is proposed again by a later check.
    if (epoch == m_epoch) {
      m_proposing = false;
    }
  });
}

void UsageService::SendReport()
{
  const auto& unreported = m_getState().Usage().m_unreported;
  if (m_reporting || unreported.empty() ||
      MonotonicClock::Now() < m_nextReportAt) {
    return;
  }
  m_reporting = true;
  const auto& [window, counts] = *unreported.begin();
  m_caller.Call(
    [this, report = UsageReport{ window, counts }](const DutyHolder& aHolder) {
      return m_protocol.m_usageRequest(report, aHolder);
    },
    [this, window = window, epoch = m_epoch](DutyOutcome aOutcome) {
      if (epoch == m_epoch) {
        HandleOutcome(window, aOutcome);
      }
    });
}

void UsageService::HandleOutcome(UsageWindow aWindow, DutyOutcome aOutcome)
{
  m_reporting = false;
  m_instruments.Count(observe::counters::kUsageWindows, ToString(aOutcome));
  LogLine(LogLevel::Info, "usage_reported")
    .Add("window", aWindow)
    .Add("outcome", ToString(aOutcome));
  if (aOutcome == DutyOutcome::Done) {
    m_failures = 0;
    // By then the completion is applied.
    m_nextReportAt = MonotonicClock::Now() + kMinRetryDelay;
    Propose(CompleteUsage{ aWindow });
    return;
  }
  if (aOutcome == DutyOutcome::Conflict && m_settings.m_checksFencing) {
    m_caller.RecordFencedOff();
  }
  m_nextReportAt = MonotonicClock::Now() + RetryDelay(m_failures++);
}

} // namespace auburntrestle::fleet
