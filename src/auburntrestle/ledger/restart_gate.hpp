#ifndef AUBURNTRESTLE_LEDGER_RESTART_GATE_HPP
#define AUBURNTRESTLE_LEDGER_RESTART_GATE_HPP

#include "auburntrestle/core/ids.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace auburntrestle::ledger {

/** The stored state that an instance may use since its start. */
enum class GateState : std::uint8_t
{
  /** None. */
  Closed,
  /** Configuration and membership, in a data centre that is cut off. */
  OpenCutOff,
  /** All. */
  OpenConfirmed,
};

/**
 * Decides when a restarted instance may use its stored state. The gate opens
 * after a confirmed read, once the instance has the revision that was read. In
 * a data centre that is cut off from the majority it opens once the instance
 * has the newest revision of all live instances there.
 */
class RestartGate
{
public:
  /** @param aSelf this instance, whose own reports are not required. */
  explicit RestartGate(InstanceId aSelf)
    : m_self(std::move(aSelf))
  {
  }

  /** Records a revision that this instance has stored or received. */
  void RecordOwnRevision(Revision aRevision);

  /** Handles a confirmed read, which returned the newest revision. */
  void OnReadConfirmed(Revision aNewest);

  /** Sets whether confirmed reads fail because no majority is reachable. */
  void SetCutOff(bool aCutOff);

  /**
   * Sets the live instances of the data centre, once membership has converged.
   * Before the first call no instance is known to be alive or dead.
   */
  void SetLiveInstances(std::set<InstanceId> aLive);

  /** Records the revision that an instance of the data centre reported. */
  void RecordPeerRevision(const InstanceId& aInstance, Revision aRevision);

  /** @return which stored state may be used; the gate never closes again. */
  [[nodiscard]] GateState State() const noexcept { return m_state; }
  [[nodiscard]] bool MayUseConfiguration() const noexcept
  {
    return m_state != GateState::Closed;
  }
  [[nodiscard]] bool MayUseClaims() const noexcept
  {
    return m_state == GateState::OpenConfirmed;
  }

  /** @return the revision that must be fetched before the gate can open. */
  [[nodiscard]] std::optional<Revision> MissingRevision() const;

  /** @return the live instances that have not reported a revision. */
  [[nodiscard]] std::set<InstanceId> SilentInstances() const;

private:
  void Evaluate();
  [[nodiscard]] Revision NewestLiveRevision() const;

  InstanceId m_self;
  GateState m_state = GateState::Closed;
  Revision m_ownRevision;
  std::optional<Revision> m_confirmedRevision;
  bool m_cutOff = false;
  std::optional<std::set<InstanceId>> m_live;
  std::map<InstanceId, Revision> m_peerRevisions;
};

} // namespace auburntrestle::ledger

#endif
