#include "auburntrestle/consensus/node.hpp"

#include <algorithm>
#include <utility>

namespace auburntrestle::consensus {

std::optional<RejectionReason> Node::MembershipChangeRejection() const
{
  if (m_role == NodeRole::Stopped) {
    return RejectionReason::Stopped;
  }
  if (m_role != NodeRole::Leader) {
    return RejectionReason::NotLeader;
  }
  if (m_transferTarget) {
    return RejectionReason::TransferringLeadership;
  }
  // Until a leader has committed an entry of its term, it may not know of a
  // change that a previous leader committed.
  if (m_configurations.back().m_index > m_commit || !HasCommittedInTerm()) {
    return RejectionReason::MembershipChangeInProgress;
  }
  return std::nullopt;
}

void Node::Process(const ChangeMembership& aEvent)
{
  if (const auto reason = MembershipChangeRejection()) {
    Reject(aEvent.m_id, *reason);
    return;
  }
  auto changed =
    std::visit([&](const auto& aChange) { return ConfigurationAfter(aChange); },
               aEvent.m_change);
  if (!changed) {
    Reject(aEvent.m_id, changed.error());
    return;
  }
  m_proposals.emplace(m_log.Last().m_index.Next(), aEvent.m_id);
  AppendAsLeader(std::move(*changed));
}

tl::expected<Configuration, RejectionReason> Node::ConfigurationAfter(
  const AddLearner& aChange) const
{
  Configuration changed = CurrentConfiguration();
  const Member* known = changed.FindInstance(aChange.m_member.m_instance);
  if (aChange.m_member.m_incarnation == kAnyIncarnation ||
      aChange.m_member.m_instance == m_identity.m_instance ||
      (known != nullptr &&
       known->m_identity.m_incarnation >= aChange.m_member.m_incarnation)) {
    return tl::unexpected(RejectionReason::InvalidChange);
  }
  std::erase_if(changed.m_members, [&](const Member& aMember) {
    return aMember.m_identity.m_instance == aChange.m_member.m_instance;
  });
  changed.m_members.push_back(Member{ aChange.m_member, MemberRole::Learner });
  if (changed.VoterCount() == 0) {
    return tl::unexpected(RejectionReason::InvalidChange);
  }
  return changed;
}

tl::expected<Configuration, RejectionReason> Node::ConfigurationAfter(
  const PromoteLearner& aChange) const
{
  Configuration changed = CurrentConfiguration();
  const auto found =
    std::find_if(changed.m_members.begin(),
                 changed.m_members.end(),
                 [&](const Member& aMember) {
                   return aMember.m_identity.m_instance == aChange.m_instance;
                 });
  if (found == changed.m_members.end() || found->m_role == MemberRole::Voter) {
    return tl::unexpected(RejectionReason::InvalidChange);
  }
  if (!IsCaughtUp(found->m_identity)) {
    return tl::unexpected(RejectionReason::LearnerBehind);
  }
  found->m_role = MemberRole::Voter;
  return changed;
}

tl::expected<Configuration, RejectionReason> Node::ConfigurationAfter(
  const RemoveMember& aChange) const
{
  Configuration changed = CurrentConfiguration();
  const std::size_t removed =
    std::erase_if(changed.m_members, [&](const Member& aMember) {
      return aMember.m_identity.m_instance == aChange.m_instance;
    });
  if (removed == 0 || changed.VoterCount() == 0) {
    return tl::unexpected(RejectionReason::InvalidChange);
  }
  return changed;
}

bool Node::IsCaughtUp(const MemberIdentity& aMember) const
{
  const auto found = m_progress.find(aMember);
  return found != m_progress.end() && found->second.m_match >= m_commit &&
         found->second.m_match.Get() + m_options.m_maxPromotionLag >=
           m_log.Last().m_index.Get() &&
         found->second.m_lastContact + m_options.m_electionTimeout >= m_now;
}

void Node::PromoteCaughtUpLearner()
{
  if (!m_options.m_autoPromote || MembershipChangeRejection()) {
    return;
  }
  for (const Member& member : CurrentConfiguration().m_members) {
    if (member.m_role == MemberRole::Learner && IsCaughtUp(member.m_identity)) {
      if (auto changed = ConfigurationAfter(
            PromoteLearner{ member.m_identity.m_instance })) {
        AppendAsLeader(std::move(*changed));
      }
      return;
    }
  }
}

void Node::On(const Message& aMessage, const JoinRequest& /*aBody*/)
{
  if (m_role != NodeRole::Leader ||
      CurrentConfiguration().Find(aMessage.m_from) != nullptr) {
    return;
  }
  if (CurrentConfiguration().FindInstance(aMessage.m_from.m_instance) ==
      nullptr) {
    m_actions->emplace_back(JoinRequested{ aMessage.m_from });
    return;
  }
  if (!m_options.m_autoRejoin || MembershipChangeRejection()) {
    return;
  }
  if (auto changed = ConfigurationAfter(AddLearner{ aMessage.m_from })) {
    AppendAsLeader(std::move(*changed));
  }
}

void Node::ApplyConfiguration(LogIndex aIndex,
                              const Configuration& aConfiguration,
                              std::optional<ProposalId> aProposal)
{
  m_actions->emplace_back(
    ConfigurationApplied{ aIndex, aConfiguration, aProposal });
  // A replaced incarnation is rejected by its number, without this record.
  std::erase_if(m_acknowledged, [&](const auto& aItem) {
    const Member* known = aConfiguration.FindInstance(aItem.first.m_instance);
    return known != nullptr &&
           known->m_identity.m_incarnation > aItem.first.m_incarnation;
  });
  // A restarted member applies the log again, with old configurations; only the
  // newest one shows whether it is a member.
  const bool newest = aIndex == m_configurations.back().m_index;
  if (m_role == NodeRole::Leader && newest &&
      aConfiguration.Find(m_identity) == nullptr) {
    SendHeartbeats();
    Stop(StopReason::Removed, std::nullopt);
  }
}

} // namespace auburntrestle::consensus
