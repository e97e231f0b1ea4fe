#ifndef AUBURNTRESTLE_LEDGER_RESTART_GATE_HPP
#define AUBURNTRESTLE_LEDGER_RESTART_GATE_HPP

#include "auburntrestle/core/ids.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace auburntrestle::ledger {

/** What an instance may act on since its start. */
enum class GateState : std::uint8_t
{
  /** Nothing that it remembers. */
  Closed,
  /** Configuration and membership, inside a data centre that is cut off. */
  OpenCutOff,
  /** Everything. */
  OpenConfirmed,
};

/**
 * Decides when a restarted instance may act on what it remembers. It opens
 * after a confirmed read whose revision the instance has, or, in a data centre
 * that is cut off, once it has the newest revision that any live instance there
 * holds.
 */
class RestartGate
{
public:
  /** @param aSelf this instance; its own reports are not waited for. */
  explicit RestartGate(InstanceId aSelf)
    : m_self(std::move(aSelf))
  {
  }

  /** The instance has a revision: stored, or received from another one. */
  void RecordOwnRevision(Revision aRevision);

  /** A confirmed read succeeded and gave the newest revision. */
  void OnReadConfirmed(Revision aNewest);

  /** A confirmed read failed because no majority is reachable. */
  void SetCutOff(bool aCutOff);

  /**
   * Membership has settled, and these instances of the data centre are alive.
   * Before the first call nobody is known to be alive or dead.
   */
  void SetLiveInstances(std::set<InstanceId> aLive);

  /** An instance of the data centre said which revision it holds. */
  void RecordPeerRevision(const InstanceId& aInstance, Revision aRevision);

  /** @return what the instance may act on; it never closes again. */
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

  /** @return live instances that have not said what they hold. */
  [[nodiscard]] std::set<InstanceId> SilentInstances() const;

private:
  void Evaluate();
  [[nodiscard]] Revision NewestHeldByLive() const;

  InstanceId m_self;
  GateState m_state = GateState::Closed;
  Revision m_own;
  std::optional<Revision> m_confirmed;
  bool m_cutOff = false;
  std::optional<std::set<InstanceId>> m_live;
  std::map<InstanceId, Revision> m_held;
};

} // namespace auburntrestle::ledger

#endif
