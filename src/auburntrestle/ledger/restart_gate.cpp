#include "auburntrestle/ledger/restart_gate.hpp"

#include <algorithm>

namespace auburntrestle::ledger {

void RestartGate::RecordOwnRevision(Revision aRevision)
{
  m_own = std::max(m_own, aRevision);
  Evaluate();
}

void RestartGate::OnReadConfirmed(Revision aNewest)
{
  m_confirmed = std::max(m_confirmed.value_or(Revision()), aNewest);
  Evaluate();
}

void RestartGate::SetCutOff(bool aCutOff)
{
  m_cutOff = aCutOff;
  Evaluate();
}

void RestartGate::SetLiveInstances(std::set<InstanceId> aLive)
{
  m_live = std::move(aLive);
  m_live->erase(m_self);
  Evaluate();
}

void RestartGate::RecordPeerRevision(const InstanceId& aInstance,
                                     Revision aRevision)
{
  Revision& held = m_held[aInstance];
  held = std::max(held, aRevision);
  Evaluate();
}

std::set<InstanceId> RestartGate::SilentInstances() const
{
  std::set<InstanceId> unheard;
  if (m_live) {
    for (const InstanceId& id : *m_live) {
      if (!m_held.contains(id)) {
        unheard.insert(id);
      }
    }
  }
  return unheard;
}

Revision RestartGate::NewestHeldByLive() const
{
  Revision newest = m_own;
  if (m_live) {
    for (const auto& [id, revision] : m_held) {
      if (m_live->contains(id)) {
        newest = std::max(newest, revision);
      }
    }
  }
  return newest;
}

std::optional<Revision> RestartGate::MissingRevision() const
{
  const Revision needed =
    std::max(m_confirmed.value_or(Revision()), NewestHeldByLive());
  return needed > m_own ? std::optional(needed) : std::nullopt;
}

void RestartGate::Evaluate()
{
  if (m_confirmed && m_own >= *m_confirmed) {
    m_state = GateState::OpenConfirmed;
    return;
  }
  // Without any accepted revision there is nothing to act on when cut off.
  const bool complete = m_cutOff && m_live && SilentInstances().empty() &&
                        m_own > Revision() && m_own >= NewestHeldByLive();
  if (m_state == GateState::Closed && complete) {
    m_state = GateState::OpenCutOff;
  }
}

} // namespace auburntrestle::ledger
