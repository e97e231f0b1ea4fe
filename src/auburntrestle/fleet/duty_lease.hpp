#ifndef AUBURNTRESTLE_FLEET_DUTY_LEASE_HPP
#define AUBURNTRESTLE_FLEET_DUTY_LEASE_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"

#include <optional>

namespace auburntrestle::fleet {

/**
 * Decides when the leader may call the API of the infrastructure, so that the
 * calls of two leaders never overlap, also if the API does not check fencing
 * tokens. A holder records its lease in the log before it calls. It starts
 * calls only in the first third of the lease after the record, and cancels them
 * after half of it. The next leader waits for the whole lease from the last
 * record that it has seen. Times include suspensions of the machine: a holder
 * that was suspended after its record must not call when it wakes.
 */
class DutyLease
{
public:
  /** @param aLeaseTime minimum time between the calls of two holders. */
  explicit DutyLease(Duration aLeaseTime)
    : m_leaseTime(aLeaseTime)
  {
  }

  /** Records that a lease record of any holder was applied. */
  void RecordApplied(BootTime aNow) { m_lastApplied = aNow; }
  /** Starts to hold the duties. */
  void Start(BootTime aNow);
  /** Ends to hold the duties. */
  void Stop();
  /** Records that the API has seen a higher fencing token: this holder makes no
   * further calls. */
  void RecordFencedOff() { m_isFencedOff = true; }
  /** Records that the lease record that was proposed at a time is committed. */
  void RecordCommitted(BootTime aProposedAt);

  /** @return from when the first record may be proposed; nothing if this
   * instance holds no duties. */
  [[nodiscard]] std::optional<BootTime> AllowedFrom() const;
  /** @return until when a call that starts now may run; nothing if it must not
   * start, because the last record is too old. */
  [[nodiscard]] std::optional<BootTime> CallDeadline(BootTime aNow) const;

private:
  Duration m_leaseTime;
  std::optional<BootTime> m_lastApplied;
  std::optional<BootTime> m_allowedFrom;
  std::optional<BootTime> m_proposedAt;
  bool m_isFencedOff = false;
};

} // namespace auburntrestle::fleet

#endif
