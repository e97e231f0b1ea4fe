#include "auburntrestle/membership/internal/event_context.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <utility>

namespace auburntrestle::membership {

namespace internal {

// Joins per interval while no other member is known.
constexpr std::size_t kJoinFanout = 3;
// Maximum number of suspects pinged in each probe interval; bounds the traffic
// when a rack fails.
constexpr std::size_t kMaxSuspectPings = 2;
// A summary gets a new version after this many summary intervals even if only
// the free capacity changed, which changes all the time, or nothing did. The
// new version also shows the others that the data centre is reachable.
constexpr int kSummaryRefreshIntervals = 2;
// After this many probe intervals without a reply, summaries are exchanged in
// every probe interval, so that a reply from another data centre can arrive
// before the isolation timeout.
constexpr int kUrgentSummaryIntervals = 2;

bool EqualExceptCapacity(Summary aLeft, const Summary& aRight)
{
  aLeft.m_capacity = aRight.m_capacity;
  aLeft.m_version = aRight.m_version;
  aLeft.m_tieBreak = aRight.m_tieBreak;
  return aLeft == aRight;
}

} // namespace internal

void Membership::OnTick(EventContext& aContext)
{
  // Must come first: a process that was paused must not declare others dead for
  // replies that it missed itself.
  CheckIsolation(aContext);
  ExpireSuspicions(aContext);
  ContinueProbe(aContext);
  if (aContext.m_now >= m_nextProbe) {
    m_nextProbe = aContext.m_now + m_settings.m_probeInterval;
    PingSuspects(aContext);
    StartProbe(aContext);
  }
  if (aContext.m_now >= m_nextJoin) {
    SendJoins(aContext);
  }
  if (aContext.m_now >= m_nextSync) {
    m_nextSync = aContext.m_now + m_settings.m_syncInterval;
    SendSync(aContext);
  }
  if (aContext.m_now >= m_nextSummary) {
    ExchangeSummaries(aContext);
  }
  if (m_pendingCapacity.has_value() && aContext.m_now >= m_nextCapacity) {
    Advertisement advertisement = Self().m_advertisement;
    advertisement.m_capacity = std::move(*m_pendingCapacity);
    m_pendingCapacity.reset();
    m_nextCapacity = aContext.m_now + m_settings.m_capacityInterval;
    AdvertiseSelf(std::move(advertisement), Urgency::Advertisement, aContext);
  }
  RemoveExpired(aContext);
}

void Membership::CheckIsolation(EventContext& aContext)
{
  const bool silent =
    aContext.m_now - m_lastContact >= m_settings.m_isolationTimeout &&
    HasKnownPeers();
  if (silent && !m_isolated) {
    m_isolated = true;
    aContext.m_actions.emplace_back(IsolationChanged{ true });
  }
}

void Membership::ExpireSuspicions(EventContext& aContext)
{
  const Duration usual = SuspicionTimeout();
  for (const Member* member : OtherMembers(MemberState::Suspect)) {
    if (member->m_state != MemberState::Suspect) {
      continue;
    }
    const bool contact = m_lastContact > member->m_stateSince;
    const Duration limit =
      contact ? usual : m_settings.m_isolatedSuspicionTimeout;
    if (aContext.m_now - member->m_stateSince >= limit) {
      ApplyUpdate(
        { member->m_id, member->m_incarnation, MemberState::Dead, {} },
        aContext);
    }
  }
}

void Membership::ContinueProbe(EventContext& aContext)
{
  if (!m_probe.has_value()) {
    return;
  }
  const Member* target = m_members.Find(m_probe->m_target);
  if (target == nullptr || target->m_state > MemberState::Suspect) {
    m_probe.reset();
    return;
  }
  if (aContext.m_now >= m_probe->m_deadline) {
    m_probe.reset();
    if (target->m_state == MemberState::Alive) {
      ApplyUpdate(
        { target->m_id, target->m_incarnation, MemberState::Suspect, {} },
        aContext);
    }
    return;
  }
  if (aContext.m_now < m_probe->m_indirectAt || m_probe->m_indirect) {
    return;
  }
  m_probe->m_indirect = true;
  auto helpers = OtherMembers(MemberState::Alive);
  std::erase(helpers, target);
  Shuffle(helpers);
  helpers.resize(std::min(helpers.size(), m_settings.m_indirectProbes));
  for (const Member* helper : helpers) {
    aContext.Send(helper->m_advertisement.m_peerAddress,
                  helper->m_id,
                  PingRequest{ m_probe->m_sequence,
                               target->m_id,
                               target->m_advertisement.m_peerAddress,
                               Gossip(helper->m_id) });
  }
}

void Membership::PingSuspects(EventContext& aContext)
{
  // A suspect must learn of the suspicion to refute it; the refutation comes
  // with its Ack. Repeated pings tolerate the loss of a ping or Ack.
  std::size_t sent = 0;
  for (const Member* member : OtherMembers(MemberState::Suspect)) {
    if (member->m_state == MemberState::Suspect &&
        sent < internal::kMaxSuspectPings) {
      ++sent;
      aContext.Send(member->m_advertisement.m_peerAddress,
                    member->m_id,
                    Ping{ NextSequence(aContext), Gossip(member->m_id) });
    }
  }
}

void Membership::StartProbe(EventContext& aContext)
{
  const Member* target = nullptr;
  bool refilled = false;
  while (target == nullptr) {
    if (m_probeOrder.empty()) {
      if (std::exchange(refilled, true)) {
        return;
      }
      // Probing all members in a shuffled order bounds the detection time;
      // independent random choices would not.
      for (const Member* other : OtherMembers(MemberState::Suspect)) {
        m_probeOrder.push_back(other->m_id);
      }
      Shuffle(m_probeOrder);
      continue;
    }
    const Member* next = m_members.Find(m_probeOrder.back());
    m_probeOrder.pop_back();
    if (next != nullptr && next->m_state <= MemberState::Suspect) {
      target = next;
    }
  }
  m_probe = Probe{ target->m_id,
                   NextSequence(aContext),
                   aContext.m_now + m_settings.m_probeTimeout,
                   aContext.m_now + m_settings.m_probeInterval,
                   false };
  aContext.Send(target->m_advertisement.m_peerAddress,
                target->m_id,
                Ping{ m_probe->m_sequence, Gossip(target->m_id) });
}

void Membership::SendJoins(EventContext& aContext)
{
  const bool alone = OtherMembers(MemberState::Suspect).empty();
  m_nextJoin = aContext.m_now + (alone ? m_settings.m_joinInterval
                                       : m_settings.m_reconnectInterval);
  // If other members are known, only representatives send joins: each side of a
  // partition has some, and the load on seeds stays low.
  if (!alone && !IsRepresentative()) {
    return;
  }
  std::vector<std::string> addresses = m_settings.m_seeds;
  for (const auto& [id, member] : m_members.All()) {
    const std::string& address = member.m_advertisement.m_peerAddress;
    if (member.m_state == MemberState::Dead) {
      addresses.push_back(address);
    } else {
      std::erase(addresses, address);
    }
  }
  const KnownSummary* here = m_summaries.Find(m_settings.m_dataCentre);
  if (alone && here != nullptr) {
    for (const Representative& representative :
         here->m_summary.m_representatives) {
      addresses.push_back(representative.m_peerAddress);
    }
  }
  std::erase(addresses, m_settings.m_peerAddress);
  std::sort(addresses.begin(), addresses.end());
  addresses.erase(std::unique(addresses.begin(), addresses.end()),
                  addresses.end());
  Shuffle(addresses);
  addresses.resize(
    std::min(addresses.size(), alone ? internal::kJoinFanout : 1));
  for (const std::string& address : addresses) {
    SendJoin(address, aContext);
  }
}

void Membership::SendJoin(const std::string& aAddress, EventContext& aContext)
{
  aContext.Send(aAddress,
                std::nullopt,
                Join{ NextSequence(aContext),
                      m_settings.m_dataCentre,
                      MemberTable::Describe(Self()) });
}

void Membership::JoinUnknownRepresentatives(const Summary& aSummary,
                                            EventContext& aContext)
{
  // Instances that joined through seeds in other data centres may have formed
  // separate groups; they find each other through their summaries.
  for (const Representative& representative : aSummary.m_representatives) {
    if (m_members.Find(representative.m_id) == nullptr) {
      SendJoin(representative.m_peerAddress, aContext);
    }
  }
}

void Membership::SendSync(EventContext& aContext)
{
  const auto others = OtherMembers(MemberState::Alive);
  if (others.empty()) {
    return;
  }
  const Member& other = *others[m_random.Below(others.size())];
  SyncRequest request{ NextSequence(aContext), m_syncPosition, {}, {} };
  std::size_t bytes = 0;
  for (auto entry = m_members.All().upper_bound(m_syncPosition);
       entry != m_members.All().end();
       ++entry) {
    const Member& member = entry->second;
    const MemberVersion version{ member.m_id,
                                 member.m_incarnation,
                                 member.m_state,
                                 member.m_advertisement.m_version };
    bytes += MaxEncodedBytes(version);
    if (bytes > m_settings.m_maxMessageBytes && !request.m_known.empty()) {
      request.m_through = request.m_known.back().m_id;
      break;
    }
    request.m_known.push_back(version);
  }
  // Empty after the last member, so that the next sync starts over.
  m_syncPosition = request.m_through;
  aContext.Send(
    other.m_advertisement.m_peerAddress, other.m_id, std::move(request));
}

void Membership::ExchangeSummaries(EventContext& aContext)
{
  const bool urgent =
    aContext.m_now - m_lastContact >=
    internal::kUrgentSummaryIntervals * m_settings.m_probeInterval;
  m_nextSummary = aContext.m_now + (urgent ? m_settings.m_probeInterval
                                           : m_settings.m_summaryInterval);
  if (!IsRepresentative()) {
    // Half of the requests go to any member, to take load off the
    // representatives.
    const auto candidates = m_random.Chance(0.5)
                              ? LocalRepresentatives()
                              : OtherMembers(MemberState::Alive);
    if (!candidates.empty()) {
      const Member& member = *candidates[m_random.Below(candidates.size())];
      RequestSummaries(
        member.m_id, member.m_advertisement.m_peerAddress, false, aContext);
    }
    return;
  }
  RefreshOwnSummary(aContext);
  std::vector<const Summary*> otherCentres;
  for (const auto& [id, known] : m_summaries.All()) {
    if (id != m_settings.m_dataCentre &&
        !known.m_summary.m_representatives.empty()) {
      otherCentres.push_back(&known.m_summary);
    }
  }
  Shuffle(otherCentres);
  otherCentres.resize(
    std::min(otherCentres.size(), m_settings.m_summaryFanout));
  for (const Summary* summary : otherCentres) {
    const auto& representatives = summary->m_representatives;
    const Representative& representative =
      representatives[m_random.Below(representatives.size())];
    RequestSummaries(
      representative.m_id, representative.m_peerAddress, true, aContext);
  }
}

void Membership::RequestSummaries(const InstanceId& aTo,
                                  const std::string& aAddress,
                                  bool aWithOwn,
                                  EventContext& aContext)
{
  SummaryRequest request{ NextSequence(aContext), {}, {} };
  std::size_t room = m_settings.m_maxMessageBytes;
  const KnownSummary* own = m_summaries.Find(m_settings.m_dataCentre);
  if (aWithOwn && own != nullptr) {
    request.m_own.push_back(own->m_summary);
    room -= std::min(room, MaxEncodedBytes(own->m_summary));
  }
  request.m_known = m_summaries.Versions(room);
  aContext.Send(aAddress, aTo, std::move(request));
}

void Membership::RefreshOwnSummary(EventContext& aContext)
{
  Summary summary;
  summary.m_dataCentre = m_settings.m_dataCentre;
  summary.m_newestRevision = Self().m_advertisement.m_revision;
  summary.m_oldestRevision = summary.m_newestRevision;
  std::map<ModelName, std::uint32_t> free;
  for (const Member& member : LiveMembers()) {
    const Advertisement& advertisement = member.m_advertisement;
    ++summary.m_liveInstances;
    summary.m_drainingInstances += advertisement.m_draining ? 1 : 0;
    summary.m_newestRevision =
      std::max(summary.m_newestRevision, advertisement.m_revision);
    summary.m_oldestRevision =
      std::min(summary.m_oldestRevision, advertisement.m_revision);
    for (const ModelCapacity& entry : advertisement.m_capacity) {
      free[entry.m_model] += advertisement.m_draining ? 0 : entry.m_freeSlots;
    }
  }
  for (const auto& [model, slots] : free) {
    summary.m_capacity.push_back({ model, slots });
  }
  summary.m_capacity = CompactCapacity(std::move(summary.m_capacity));
  for (const Member* representative : LocalRepresentatives()) {
    summary.m_representatives.push_back(
      { representative->m_id,
        representative->m_advertisement.m_httpAddress,
        representative->m_advertisement.m_peerAddress });
  }
  const KnownSummary* known = m_summaries.Find(m_settings.m_dataCentre);
  if (known != nullptr) {
    summary.m_version = known->m_summary.m_version;
    const bool fresh =
      aContext.m_now - known->m_receivedAt <
      internal::kSummaryRefreshIntervals * m_settings.m_summaryInterval;
    if (fresh && internal::EqualExceptCapacity(summary, known->m_summary)) {
      return;
    }
  }
  ++summary.m_version;
  summary.m_tieBreak = static_cast<std::uint32_t>(
    m_random.Below(std::numeric_limits<std::uint32_t>::max()));
  MergeSummary(summary, aContext);
}

void Membership::RemoveExpired(EventContext& aContext)
{
  std::erase_if(m_pendingRequests, [&](const auto& aEntry) {
    return aEntry.second <= aContext.m_now;
  });
  std::erase_if(m_relays, [&](const auto& aEntry) {
    return aEntry.second.m_deadline <= aContext.m_now;
  });
  m_members.RemoveDeadBefore(aContext.m_now - m_settings.m_deadRetention);
}

} // namespace auburntrestle::membership
