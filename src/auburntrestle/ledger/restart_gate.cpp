#include "auburntrestle/ledger/restart_gate.hpp"

#include <algorithm>

namespace auburntrestle::ledger {

void RestartGate::RecordOwnRevision(Revision aRevision)
{
  m_ownRevision = std::max(m_ownRevision, aRevision);
  Evaluate();
}

void RestartGate::OnReadConfirmed(Revision aNewest)
{
  m_confirmedRevision =
    std::max(m_confirmedRevision.value_or(Revision()), aNewest);
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
  Revision& held = m_peerRevisions[aInstance];
  held = std::max(held, aRevision);
  Evaluate();
}

std::set<InstanceId> RestartGate::SilentInstances() const
{
  std::set<InstanceId> silent;
  if (m_live) {
    for (const InstanceId& id : *m_live) {
      if (!m_peerRevisions.contains(id)) {
        silent.insert(id);
      }
    }
  }
  return silent;
}

Revision RestartGate::NewestLiveRevision() const
{
  Revision newest = m_ownRevision;
  if (m_live) {
    for (const auto& [id, revision] : m_peerRevisions) {
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
    std::max(m_confirmedRevision.value_or(Revision()), NewestLiveRevision());
  return needed > m_ownRevision ? std::optional(needed) : std::nullopt;
}

void RestartGate::Evaluate()
{
  if (m_confirmedRevision && m_ownRevision >= *m_confirmedRevision) {
    m_state = GateState::OpenConfirmed;
    return;
  }
  // Without an accepted revision there is no configuration to use when cut off.
  const bool complete = m_cutOff && m_live && SilentInstances().empty() &&
                        m_ownRevision > Revision() &&
                        m_ownRevision >= NewestLiveRevision();
  if (m_state == GateState::Closed && complete) {
    m_state = GateState::OpenCutOff;
  }
}

} // namespace auburntrestle::ledger
