#ifndef AUBURNTRESTLE_FLEET_USAGE_SERVICE_HPP
#define AUBURNTRESTLE_FLEET_USAGE_SERVICE_HPP

#include "auburntrestle/core/steady_wall_clock.hpp"
#include "auburntrestle/event_loop/event_loop.hpp"
#include "auburntrestle/fleet/duty_caller.hpp"
#include "auburntrestle/fleet/state.hpp"
#include "auburntrestle/fleet/usage_reporter.hpp"

#include <cstdint>
#include <functional>
#include <optional>

namespace auburntrestle::fleet {

/** The duty of usage reports at the leader: closes windows in the log and
 * reports what the log has, until the API has accepted it. */
class UsageService
{
public:
  /** Proposes a command; the callback receives whether it was applied. */
  using ProposeFunction =
    std::function<void(const Command&, std::function<void(bool)>)>;

  UsageService(event_loop::EventLoop& aLoop,
               const InfrastructureSettings& aSettings,
               const InfrastructureProtocol& aProtocol,
               const SteadyWallClock& aClock,
               DutyCaller& aCaller,
               std::function<const State&()> aGetState,
               ProposeFunction aPropose,
               observe::Instruments& aInstruments);

  /** Starts a leadership epoch. */
  void Start();
  void Stop();
  /** @param aHasAccounts whether the configuration has client accounts; usage
   * is reported only then. */
  void SetHasAccounts(bool aHasAccounts) { m_hasAccounts = aHasAccounts; }
  /** Takes over the counts of an entry instance. */
  UsageView Submit(const SubmitUsage& aSubmission);

private:
  void RunPeriodicChecks();
  void CloseWindows();
  void Propose(const Command& aCommand);
  void SendReport();
  void HandleOutcome(UsageWindow aWindow, DutyOutcome aOutcome);

  event_loop::EventLoop& m_loop;
  const InfrastructureSettings& m_settings;
  const InfrastructureProtocol& m_protocol;
  const SteadyWallClock& m_clock;
  DutyCaller& m_caller;
  std::function<const State&()> m_getState;
  ProposeFunction m_propose;
  observe::Instruments& m_instruments;
  UsageReporter m_reporter;
  bool m_hasAccounts = false;
  bool m_proposing = false;
  bool m_reporting = false;
  /** No report is sent before this time. */
  TimePoint m_nextReportAt{};
  std::uint32_t m_failures = 0;
  /** Leadership epoch; callbacks of an earlier one are ignored. */
  std::uint64_t m_epoch = 0;
};

} // namespace auburntrestle::fleet

#endif
