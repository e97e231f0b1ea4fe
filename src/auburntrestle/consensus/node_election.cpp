#include "auburntrestle/consensus/node.hpp"

#include <algorithm>
#include <utility>

namespace auburntrestle::consensus {

void Node::ResetElectionDeadline()
{
  const auto spread =
    static_cast<std::uint64_t>(m_options.m_electionTimeout.count());
  m_electionDeadline =
    m_now + m_options.m_electionTimeout +
    Duration(static_cast<Duration::rep>(m_random.Below(spread)));
}

bool Node::HasLease() const noexcept
{
  if (!m_options.m_safeguards.m_checkQuorum) {
    return false;
  }
  if (m_role == NodeRole::Leader) {
    return true;
  }
  return m_leader && m_now < m_leaderContact + m_options.m_electionTimeout;
}

bool Node::SaveHardState()
{
  return CheckStorage(m_storage->SaveHardState(m_hardState));
}

void Node::SetLeader(std::optional<MemberIdentity> aLeader)
{
  m_leader = std::move(aLeader);
  LeadershipChanged changed{ m_hardState.m_term,
                             LeaderInstance(),
                             m_role == NodeRole::Leader };
  if (changed.m_term != m_reportedLeadership.m_term ||
      changed.m_leader != m_reportedLeadership.m_leader ||
      changed.m_isLeader != m_reportedLeadership.m_isLeader) {
    m_reportedLeadership = changed;
    m_actions->emplace_back(std::move(changed));
  }
}

void Node::StartElection(bool aPreVote, bool aTransfer)
{
  ResetElectionDeadline();
  VoteRequest request{
    aPreVote, m_hardState.m_term.Next(), m_log.Last(), aTransfer
  };
  if (aPreVote) {
    m_role = NodeRole::PreCandidate;
  } else {
    m_role = NodeRole::Candidate;
    m_hardState.m_term = m_hardState.m_term.Next();
    m_hardState.m_vote = m_identity;
    if (!SaveHardState()) {
      return;
    }
  }
  SetLeader(std::nullopt);
  m_votes = { m_identity };
  for (const Member& member : CurrentConfiguration().m_members) {
    if (member.m_identity != m_identity && CountsTowardsMajority(member)) {
      Send(member.m_identity, request);
    }
  }
  CountVotes();
}

void Node::CountVotes()
{
  const auto granted = static_cast<std::size_t>(
    std::count_if(CurrentConfiguration().m_members.begin(),
                  CurrentConfiguration().m_members.end(),
                  [&](const Member& aMember) {
                    return CountsTowardsMajority(aMember) &&
                           m_votes.contains(aMember.m_identity);
                  }));
  if (granted < Majority()) {
    return;
  }
  if (m_role == NodeRole::PreCandidate) {
    StartElection(false, false);
  } else {
    BecomeLeader();
  }
}

void Node::On(const Message& aMessage, const VoteRequest& aBody)
{
  const Member* known =
    CurrentConfiguration().FindInstance(aMessage.m_from.m_instance);
  const bool replaced = known != nullptr && known->m_identity.m_incarnation >
                                              aMessage.m_from.m_incarnation;
  const bool eligible =
    m_role != NodeRole::Joining && !replaced &&
    aBody.m_last >= std::max(m_log.Last(), m_minVotePosition);
  bool granted = false;
  if (aBody.m_preVote) {
    granted = eligible && aBody.m_electionTerm > m_hardState.m_term;
  } else {
    granted =
      eligible && aBody.m_electionTerm == m_hardState.m_term &&
      (!m_hardState.m_vote || *m_hardState.m_vote == aMessage.m_from) &&
      (m_role == NodeRole::Follower || m_role == NodeRole::PreCandidate);
    if (granted) {
      m_hardState.m_vote = aMessage.m_from;
      if (!SaveHardState()) {
        return;
      }
      ResetElectionDeadline();
    }
  }
  Send(aMessage.m_from,
       VoteResponse{ aBody.m_preVote, aBody.m_electionTerm, granted });
}

void Node::On(const Message& aMessage, const VoteResponse& aBody)
{
  const bool expected = (m_role == NodeRole::PreCandidate && aBody.m_preVote &&
                         aBody.m_electionTerm == m_hardState.m_term.Next()) ||
                        (m_role == NodeRole::Candidate && !aBody.m_preVote &&
                         aBody.m_electionTerm == m_hardState.m_term);
  if (expected && aBody.m_granted) {
    m_votes.insert(aMessage.m_from);
    CountVotes();
  }
}

void Node::On(const Message& /*aMessage*/, const TimeoutNow& /*aBody*/)
{
  if (m_role != NodeRole::Leader && IsVoter() &&
      m_log.Last() >= m_minVotePosition) {
    StartElection(false, true);
  }
}

void Node::BecomeLeader()
{
  m_role = NodeRole::Leader;
  m_progress.clear();
  m_round = 0;
  m_uncommittedBytes = 0;
  for (LogIndex index = m_commit.Next(); index <= m_log.Last().m_index;
       index = index.Next()) {
    m_uncommittedBytes += SizeOf(*m_log.At(index));
  }
  UpdateTrackedMembers();
  m_quorumDeadline = m_now + m_options.m_electionTimeout;
  m_heartbeatDeadline = m_now + m_options.m_heartbeatInterval;
  m_heartbeatDue = true;
  SetLeader(m_identity);
  AppendAsLeader(NoOp{});
}

void Node::BecomeFollower(Term aTerm, std::optional<MemberIdentity> aLeader)
{
  ClearLeaderState();
  if (m_role != NodeRole::Joining && m_role != NodeRole::Stopped) {
    m_role = NodeRole::Follower;
  }
  if (aTerm > m_hardState.m_term) {
    m_hardState.m_term = aTerm;
    m_hardState.m_vote.reset();
    if (!SaveHardState()) {
      return;
    }
  }
  ResetElectionDeadline();
  SetLeader(std::move(aLeader));
}

void Node::FollowLeader(const Message& aMessage)
{
  if (m_role == NodeRole::Candidate || m_role == NodeRole::PreCandidate ||
      m_leader != aMessage.m_from) {
    BecomeFollower(m_hardState.m_term, aMessage.m_from);
  }
  m_leaderContact = m_now;
  ResetElectionDeadline();
}

void Node::ClearLeaderState()
{
  for (const auto& [index, id] : std::exchange(m_proposals, {})) {
    Reject(id, RejectionReason::LeadershipLost);
  }
  for (const ReadId id : std::exchange(m_queuedReads, {})) {
    m_actions->emplace_back(ReadRejected{ id, std::nullopt });
  }
  for (const PendingRead& read : std::exchange(m_roundReads, {})) {
    m_actions->emplace_back(ReadRejected{ read.m_id, std::nullopt });
  }
  m_progress.clear();
  m_transferTarget.reset();
  m_heartbeatDue = false;
}

void Node::CheckQuorum()
{
  if (m_now < m_quorumDeadline) {
    return;
  }
  m_quorumDeadline = m_now + m_options.m_electionTimeout;
  if (!m_options.m_safeguards.m_checkQuorum) {
    return;
  }
  const auto active = static_cast<std::size_t>(std::count_if(
    CurrentConfiguration().m_members.begin(),
    CurrentConfiguration().m_members.end(),
    [&](const Member& aMember) {
      if (!CountsTowardsMajority(aMember)) {
        return false;
      }
      const auto found = m_progress.find(aMember.m_identity);
      return aMember.m_identity == m_identity ||
             (found != m_progress.end() &&
              found->second.m_lastContact + m_options.m_electionTimeout >=
                m_now);
    }));
  if (active < Majority()) {
    BecomeFollower(m_hardState.m_term, std::nullopt);
  }
}

void Node::Process(const TransferLeadership& /*aEvent*/)
{
  if (m_role != NodeRole::Leader) {
    return;
  }
  const MemberIdentity* target = nullptr;
  LogIndex highestMatch;
  for (const Member& member : CurrentConfiguration().m_members) {
    const auto found = m_progress.find(member.m_identity);
    if (member.m_role == MemberRole::Voter && found != m_progress.end() &&
        (target == nullptr || found->second.m_match > highestMatch)) {
      target = &member.m_identity;
      highestMatch = found->second.m_match;
    }
  }
  if (target == nullptr) {
    return;
  }
  m_transferTarget = *target;
  m_transferDeadline = m_now + m_options.m_electionTimeout;
  if (highestMatch == m_log.Last().m_index) {
    Send(*target, TimeoutNow{});
  }
}

} // namespace auburntrestle::consensus
