#ifndef AUBURNTRESTLE_FLEET_DUTY_CALLER_HPP
#define AUBURNTRESTLE_FLEET_DUTY_CALLER_HPP

#include "auburntrestle/event_loop/event_loop.hpp"
#include "auburntrestle/fleet/duty_lease.hpp"
#include "auburntrestle/fleet/infrastructure_protocol.hpp"
#include "auburntrestle/fleet/infrastructure_settings.hpp"
#include "auburntrestle/http/client.hpp"
#include "auburntrestle/observe/instruments.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace auburntrestle::fleet {

/**
 * Makes the calls of singleton duties while this instance holds them: one at a
 * time, each under a lease record of the log. A call is made once; its sender
 * decides whether to repeat it.
 */
class DutyCaller
{
public:
  /** Records the lease in the log. The callback receives whether it is
   * committed, which also confirms that this instance still leads. */
  using RecordFunction = std::function<void(std::function<void(bool)>)>;
  using MakeRequest = std::function<http::Request(const DutyHolder&)>;
  using Callback = std::function<void(DutyOutcome)>;

  DutyCaller(event_loop::EventLoop& aLoop,
             const InfrastructureSettings& aSettings,
             const InfrastructureProtocol& aProtocol,
             Duration aLeaseTime,
             std::string aMachine,
             RecordFunction aRecord,
             observe::Instruments& aInstruments);
  DutyCaller(const DutyCaller&) = delete;
  DutyCaller& operator=(const DutyCaller&) = delete;
  ~DutyCaller();

  /** Records that a lease record of any holder was applied. */
  void RecordLeaseApplied() { m_lease.RecordApplied(BootClock::Now()); }
  /** Starts a leadership epoch with a fencing token. */
  void Start(Fencing aFencing);
  /** Ends the leadership epoch: cancels calls without calling back. */
  void Stop();
  /** Makes no further calls in this epoch. */
  void RecordFencedOff();

  /** Queues a call. Calls back unless the epoch ends before. */
  void Call(MakeRequest aRequest, Callback aCallback);

private:
  struct Pending
  {
    MakeRequest m_request;
    Callback m_callback;
  };

  /** Makes the next call, or takes the step that has to precede it. */
  void Advance();
  void RenewLease();
  void Send(BootTime aDeadline);
  void Finish(DutyOutcome aOutcome);
  /** Runs Advance after a delay unless the epoch ends before. */
  void AdvanceAfter(Duration aDelay);

  event_loop::EventLoop& m_loop;
  const InfrastructureSettings& m_settings;
  const InfrastructureProtocol& m_protocol;
  RecordFunction m_record;
  observe::Instruments& m_instruments;
  http::Client m_client;
  DutyLease m_lease;
  DutyHolder m_holder;
  std::deque<Pending> m_pending;
  std::shared_ptr<http::Call> m_call;
  /** Leadership epoch; callbacks of an earlier one are ignored. */
  std::uint64_t m_epoch = 0;
  bool m_renewing = false;
  bool m_calling = false;
};

} // namespace auburntrestle::fleet

#endif
