#include "auburntrestle/core/overloaded.hpp"
#include "auburntrestle/membership/internal/event_context.hpp"

#include <algorithm>
#include <utility>

namespace auburntrestle::membership {

namespace internal {

// Maximum number of indirect probes in flight for other members.
constexpr std::size_t kMaxRelays = 256;

/**
 * Splits elements into chunks that fit into a datagram each. Without elements
 * it returns one empty chunk, since a reply must be sent in any case.
 */
template<typename Element>
std::vector<std::vector<Element>> Split(const std::vector<Element>& aElements,
                                        std::size_t aMaxBytes,
                                        std::size_t aMaxChunks)
{
  std::vector<std::vector<Element>> chunks(1);
  std::size_t bytes = 0;
  for (const Element& element : aElements) {
    const std::size_t size = MaxEncodedBytes(element);
    if (bytes + size > aMaxBytes && !chunks.back().empty()) {
      if (chunks.size() == aMaxChunks) {
        break;
      }
      chunks.emplace_back();
      bytes = 0;
    }
    bytes += size;
    chunks.back().push_back(element);
  }
  return chunks;
}

/** @return whether the local record is newer than the remote one. */
bool IsNewerThan(const Member& aMember, const MemberVersion& aRemote)
{
  if (aMember.m_incarnation != aRemote.m_incarnation) {
    return aMember.m_incarnation > aRemote.m_incarnation;
  }
  return aMember.m_state > aRemote.m_state ||
         (aMember.m_state == MemberState::Alive &&
          aMember.m_advertisement.m_version > aRemote.m_version);
}

} // namespace internal

void Membership::OnMessage(const MessageReceived& aReceived,
                           EventContext& aContext)
{
  const bool join = std::holds_alternative<Join>(aReceived.m_message);
  if (aReceived.m_from == m_settings.m_id || (!aReceived.m_directed && !join)) {
    return;
  }
  std::visit(Overloaded{
               [&](const Ping& aPing) { OnPing(aReceived, aPing, aContext); },
               [&](const PingRequest& aRequest) {
                 OnPingRequest(aReceived, aRequest, aContext);
               },
               [&](const Ack& aAck) { OnAck(aAck, aContext); },
               [&](const Join& aJoin) { OnJoin(aReceived, aJoin, aContext); },
               [&](const SyncRequest& aRequest) {
                 OnSyncRequest(aReceived, aRequest, aContext);
               },
               [&](const membership::Members& aMembers) {
                 RecordReply(aMembers.m_sequence, aContext);
                 ApplyUpdates(aMembers.m_updates, aContext);
               },
               [&](const SummaryRequest& aRequest) {
                 OnSummaryRequest(aReceived, aRequest, aContext);
               },
               [&](const membership::Summaries& aSummaries) {
                 RecordReply(aSummaries.m_sequence, aContext);
                 for (const Summary& summary : aSummaries.m_summaries) {
                   MergeSummary(summary, aContext);
                 }
               },
             },
             aReceived.m_message);
}

void Membership::OnPing(const MessageReceived& aFrom,
                        const Ping& aPing,
                        EventContext& aContext)
{
  ApplyUpdates(aPing.m_updates, aContext);
  aContext.Send(aFrom.m_source,
                aFrom.m_from,
                Ack{ aPing.m_sequence, Gossip(aFrom.m_from) });
  if (m_members.Find(aFrom.m_from) == nullptr) {
    // The join of the sender was lost; a sync fetches its advertisement.
    aContext.Send(aFrom.m_source,
                  aFrom.m_from,
                  SyncRequest{ NextSequence(aContext), {}, {}, {} });
  }
}

void Membership::OnPingRequest(const MessageReceived& aFrom,
                               const PingRequest& aRequest,
                               EventContext& aContext)
{
  ApplyUpdates(aRequest.m_updates, aContext);
  if (m_relays.size() >= internal::kMaxRelays) {
    return;
  }
  const std::uint64_t sequence = NextSequence(aContext);
  m_relays.emplace(sequence,
                   Relay{ aFrom.m_from,
                          aFrom.m_source,
                          aRequest.m_sequence,
                          aContext.m_now + m_settings.m_probeInterval });
  aContext.Send(aRequest.m_targetAddress,
                aRequest.m_target,
                Ping{ sequence, Gossip(aRequest.m_target) });
}

void Membership::OnAck(const Ack& aAck, EventContext& aContext)
{
  RecordReply(aAck.m_sequence, aContext);
  ApplyUpdates(aAck.m_updates, aContext);
  if (m_probe.has_value() && m_probe->m_sequence == aAck.m_sequence) {
    m_probe.reset();
    return;
  }
  const auto relay = m_relays.extract(aAck.m_sequence);
  if (!relay.empty()) {
    const Relay& origin = relay.mapped();
    aContext.Send(origin.m_address,
                  origin.m_requester,
                  Ack{ origin.m_sequence, Gossip(origin.m_requester) });
  }
}

void Membership::OnJoin(const MessageReceived& aFrom,
                        const Join& aJoin,
                        EventContext& aContext)
{
  if (aJoin.m_self.m_id != aFrom.m_from) {
    return;
  }
  if (aJoin.m_dataCentre == m_settings.m_dataCentre) {
    ApplyUpdate(aJoin.m_self, aContext);
    std::vector<MemberUpdate> updates;
    for (const auto& [id, member] : m_members.All()) {
      // The joining instance must receive its own record, so that it can refute
      // an update of an earlier run that declares it dead.
      if (member.m_state == MemberState::Alive || id == aFrom.m_from) {
        updates.push_back(MemberTable::Describe(member));
      }
    }
    ReplyMembers(aFrom, aJoin.m_sequence, updates, aContext);
  }
  ReplySummaries(aFrom, aJoin.m_sequence, {}, aContext);
}

void Membership::OnSyncRequest(const MessageReceived& aFrom,
                               const SyncRequest& aRequest,
                               EventContext& aContext)
{
  std::vector<MemberUpdate> updates;
  for (const auto& [id, member] : m_members.All()) {
    const bool inRange =
      id > aRequest.m_after &&
      (aRequest.m_through.Get().empty() || id <= aRequest.m_through);
    if (!inRange) {
      continue;
    }
    const auto remote = std::find_if(
      aRequest.m_known.begin(),
      aRequest.m_known.end(),
      [&id = id](const MemberVersion& aKnown) { return aKnown.m_id == id; });
    if (remote == aRequest.m_known.end() ||
        internal::IsNewerThan(member, *remote)) {
      updates.push_back(MemberTable::Describe(member));
    }
  }
  ReplyMembers(aFrom, aRequest.m_sequence, updates, aContext);
}

void Membership::OnSummaryRequest(const MessageReceived& aFrom,
                                  const SummaryRequest& aRequest,
                                  EventContext& aContext)
{
  std::vector<SummaryVersion> known = aRequest.m_known;
  for (const Summary& summary : aRequest.m_own) {
    MergeSummary(summary, aContext);
  }
  ReplySummaries(aFrom, aRequest.m_sequence, known, aContext);
}

void Membership::ReplyMembers(const MessageReceived& aFrom,
                              std::uint64_t aSequence,
                              const std::vector<MemberUpdate>& aUpdates,
                              EventContext& aContext)
{
  for (auto& chunk : internal::Split(aUpdates,
                                     m_settings.m_maxMessageBytes,
                                     m_settings.m_maxReplyDatagrams)) {
    aContext.Send(aFrom.m_source,
                  aFrom.m_from,
                  membership::Members{ aSequence, std::move(chunk) });
  }
}

void Membership::ReplySummaries(const MessageReceived& aFrom,
                                std::uint64_t aSequence,
                                const std::vector<SummaryVersion>& aKnown,
                                EventContext& aContext)
{
  auto newer = m_summaries.NewerThan(aKnown);
  // If not all fit, each reply holds another random selection.
  Shuffle(newer);
  for (auto& chunk : internal::Split(
         newer, m_settings.m_maxMessageBytes, m_settings.m_maxReplyDatagrams)) {
    aContext.Send(aFrom.m_source,
                  aFrom.m_from,
                  membership::Summaries{ aSequence, std::move(chunk) });
  }
}

std::vector<MemberUpdate> Membership::Gossip(const InstanceId& aTo)
{
  std::vector<MemberUpdate> updates;
  std::size_t bytes = 0;
  const Member* receiver = m_members.Find(aTo);
  if (receiver != nullptr && receiver->m_state != MemberState::Alive) {
    // The receiver can refute its suspicion or death only if it knows of it.
    updates.push_back(MemberTable::Describe(*receiver));
    bytes = MaxEncodedBytes(updates.back());
  }
  auto gossip =
    m_gossip.SelectForMessage(m_settings.m_maxGossipBytes - bytes,
                              OtherMembers(MemberState::Suspect).size() + 1);
  std::move(gossip.begin(), gossip.end(), std::back_inserter(updates));
  return updates;
}

void Membership::RecordReply(std::uint64_t aSequence, EventContext& aContext)
{
  if (m_pendingRequests.contains(aSequence)) {
    RecordContact(aContext);
  }
}

void Membership::RecordContact(EventContext& aContext)
{
  m_lastContact = aContext.m_now;
  if (m_isolated) {
    m_isolated = false;
    m_members.RestartSuspicions(aContext.m_now);
    aContext.m_actions.emplace_back(IsolationChanged{ false });
  }
}

} // namespace auburntrestle::membership
