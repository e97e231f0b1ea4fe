#include "auburntrestle/consensus/node.hpp"
#include "auburntrestle/core/overloaded.hpp"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace auburntrestle::consensus {

namespace {

template<typename Body, typename... Bodies>
constexpr bool kIsOneOf = (std::is_same_v<Body, Bodies> || ...);

/** @return whether only the leader of the message's term sends this body. */
bool IsFromLeader(const MessageBody& aBody)
{
  return std::visit(
    []<typename Body>(const Body&) {
      return kIsOneOf<Body, AppendRequest, Heartbeat, SnapshotRequest>;
    },
    aBody);
}

/** @return whether a body is handled independently of the sender's term. */
bool IsTermIndependent(const MessageBody& aBody)
{
  return std::visit(
    []<typename Body>(const Body&) {
      return kIsOneOf<Body,
                      JoinRequest,
                      DiskLossNotice,
                      VerifyRequest,
                      VerifyResponse>;
    },
    aBody);
}

} // namespace

void Node::Process(const MessageReceived& aEvent)
{
  const Message& message = aEvent.m_message;
  if (m_role == NodeRole::Stopped ||
      message.m_to.m_instance != m_identity.m_instance ||
      message.m_from.m_instance == m_identity.m_instance) {
    return;
  }
  if (message.m_to.m_incarnation > m_identity.m_incarnation &&
      m_options.m_safeguards.m_detectDiskLoss) {
    // A later incarnation has replaced this one, so this disk is an old copy.
    ResetAfterDiskLoss(message.m_to.m_incarnation);
    return;
  }
  if (message.m_to.m_incarnation != kAnyIncarnation &&
      message.m_to.m_incarnation != m_identity.m_incarnation) {
    return;
  }
  if (CheckSession(message)) {
    Dispatch(message);
  }
}

bool Node::ProvesDiskLoss(const AcknowledgedState& aAcknowledged) const
{
  if (aAcknowledged.m_member != m_identity) {
    return false;
  }
  if (aAcknowledged.m_boot == m_session.m_boot) {
    return aAcknowledged.m_nonce != m_session.m_nonce;
  }
  return aAcknowledged.m_boot > m_session.m_boot ||
         aAcknowledged.m_term > m_session.m_recoveredTerm ||
         aAcknowledged.m_last > m_session.m_recoveredLast;
}

void Node::RecordAcknowledged(const AcknowledgedState& aAcknowledged)
{
  auto [found, added] =
    m_acknowledged.try_emplace(aAcknowledged.m_member, aAcknowledged);
  if (added) {
    return;
  }
  AcknowledgedState& known = found->second;
  if (aAcknowledged.m_boot > known.m_boot) {
    known.m_boot = aAcknowledged.m_boot;
    known.m_nonce = aAcknowledged.m_nonce;
  }
  known.m_term = std::max(known.m_term, aAcknowledged.m_term);
  known.m_last = std::max(known.m_last, aAcknowledged.m_last);
}

bool Node::CheckSession(const Message& aMessage)
{
  if (!m_options.m_safeguards.m_detectDiskLoss) {
    return true;
  }
  const Session& session = aMessage.m_session;
  const auto found = m_acknowledged.find(aMessage.m_from);
  if (found != m_acknowledged.end()) {
    const AcknowledgedState& known = found->second;
    const bool sameRun =
      session.m_boot == known.m_boot && session.m_nonce == known.m_nonce;
    const bool laterRun = session.m_boot > known.m_boot &&
                          session.m_recoveredTerm >= known.m_term &&
                          session.m_recoveredLast >= known.m_last;
    if (!sameRun && !laterRun) {
      // The message is delayed, or the sender lost data of its disk. Only the
      // sender can distinguish the two.
      if (!std::holds_alternative<DiskLossNotice>(aMessage.m_body)) {
        Send(aMessage.m_from, DiskLossNotice{ known });
      }
      return false;
    }
  }
  RecordAcknowledged(AcknowledgedState{ aMessage.m_from,
                                        session.m_boot,
                                        session.m_nonce,
                                        aMessage.m_term,
                                        session.m_recoveredLast });
  return true;
}

void Node::Dispatch(const Message& aMessage)
{
  if (m_verification && !IsTermIndependent(aMessage.m_body)) {
    return;
  }
  if (IsTermIndependent(aMessage.m_body) || AcceptTerm(aMessage)) {
    std::visit([&](const auto& aBody) { On(aMessage, aBody); },
               aMessage.m_body);
  }
}

bool Node::AcceptTerm(const Message& aMessage)
{
  const bool fromLeader = IsFromLeader(aMessage.m_body);
  const auto* vote = std::get_if<VoteRequest>(&aMessage.m_body);
  if (vote != nullptr && !vote->m_leadershipTransfer && HasLease()) {
    return false;
  }
  if (!fromLeader && vote == nullptr &&
      CurrentConfiguration().Find(aMessage.m_from) == nullptr) {
    return false;
  }
  if (aMessage.m_term > m_hardState.m_term) {
    BecomeFollower(aMessage.m_term,
                   fromLeader ? std::optional(aMessage.m_from) : std::nullopt);
    return m_role != NodeRole::Stopped;
  }
  if (aMessage.m_term < m_hardState.m_term) {
    // The response has the newer term, which makes the sender step down.
    if (fromLeader) {
      Send(aMessage.m_from, AppendResponse{});
    } else if (vote != nullptr) {
      Send(aMessage.m_from,
           VoteResponse{ vote->m_preVote, vote->m_electionTerm, false });
    }
    return false;
  }
  return true;
}

void Node::Send(const MemberIdentity& aTo, MessageBody aBody)
{
  m_actions->emplace_back(SendMessage{ Message{
    m_identity, aTo, m_hardState.m_term, m_session, std::move(aBody) } });
}

void Node::On(const Message& aMessage, const DiskLossNotice& aBody)
{
  (void)aMessage;
  if (m_options.m_safeguards.m_detectDiskLoss &&
      ProvesDiskLoss(aBody.m_acknowledged)) {
    ResetAfterDiskLoss(m_identity.m_incarnation);
  }
}

void Node::On(const Message& aMessage, const VerifyRequest& /*aBody*/)
{
  Send(aMessage.m_from,
       VerifyResponse{ aMessage.m_session.m_nonce, m_log.Last() });
}

void Node::On(const Message& aMessage, const VerifyResponse& aBody)
{
  if (!m_verification || aBody.m_nonce != m_session.m_nonce ||
      !CurrentConfiguration().IsVoter(aMessage.m_from)) {
    return;
  }
  m_verification->m_responders.insert(aMessage.m_from);
  m_verification->m_term = std::max(m_verification->m_term, aMessage.m_term);
  m_verification->m_last = std::max(m_verification->m_last, aBody.m_last);
  if (m_verification->m_responders.size() >= RequiredVerifications()) {
    FinishVerification();
  }
}

std::size_t Node::RequiredVerifications() const noexcept
{
  // Any set of this many other voters intersects every majority that this
  // member was part of.
  return CurrentConfiguration().VoterCount() - Majority() +
         (Majority() > 1 ? 1 : 0);
}

void Node::SendVerifyRequests()
{
  for (const Member& member : CurrentConfiguration().m_members) {
    if (member.m_role == MemberRole::Voter && member.m_identity != m_identity) {
      Send(member.m_identity, VerifyRequest{});
    }
  }
}

void Node::FinishVerification()
{
  const Verification verified = *m_verification;
  m_verification.reset();
  m_minVotePosition = verified.m_last;
  if (verified.m_term > m_hardState.m_term ||
      (verified.m_term == m_hardState.m_term && !m_hardState.m_vote)) {
    // A vote that this member gave in that term may be lost. Voting for itself
    // prevents a second vote.
    m_hardState.m_term = verified.m_term;
    m_hardState.m_vote = m_identity;
    if (!SaveHardState()) {
      return;
    }
  }
  ResetElectionDeadline();
}

} // namespace auburntrestle::consensus
