#include "auburntrestle/membership/membership.hpp"

#include "auburntrestle/core/overloaded.hpp"
#include "auburntrestle/membership/internal/event_context.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace auburntrestle::membership {

namespace internal {

// Sequence numbers start at a random 31-bit value: replies replayed from an
// earlier run match no request, and the encoding stays short.
constexpr std::uint64_t kSequenceRange = std::uint64_t{ 1 } << 31;
// Time after which a reply to a request is no longer accepted as contact.
constexpr Duration kRequestLifetime = std::chrono::seconds(5);
// Members that are notified when this instance leaves; gossip informs the rest.
constexpr std::size_t kLeaveFanout = 8;

} // namespace internal

Membership::Membership(MembershipSettings aSettings,
                       std::uint64_t aSeed,
                       TimePoint aNow)
  : m_settings(std::move(aSettings))
  , m_random(aSeed)
  , m_sequence(m_random.Below(internal::kSequenceRange))
  , m_lastContact(aNow)
  , m_nextJoin(aNow)
  , m_nextCapacity(aNow)
{
  // Random phases, so that instances that start together do not send their
  // messages at the same time.
  const auto within = [&](Duration aInterval) {
    return aNow + Duration(static_cast<std::int64_t>(m_random.Below(
                    static_cast<std::uint64_t>(aInterval.count()))));
  };
  m_nextProbe = within(m_settings.m_probeInterval);
  m_nextSync = within(m_settings.m_syncInterval);
  m_nextSummary = within(m_settings.m_summaryInterval);
  const Advertisement advertisement{
    m_settings.m_httpAddress, m_settings.m_peerAddress, 1, Revision(), false, {}
  };
  const MemberUpdate self{
    m_settings.m_id, m_settings.m_incarnation, MemberState::Alive, advertisement
  };
  m_members.Merge(self, aNow);
  m_gossip.Add(self, Urgency::State);
}

void Membership::Handle(const Event& aEvent,
                        TimePoint aNow,
                        std::vector<Action>& aActions)
{
  if (m_left) {
    return;
  }
  EventContext context{ aNow, aActions };
  std::visit(
    Overloaded{
      [&](const MessageReceived& aReceived) { OnMessage(aReceived, context); },
      [&](const Tick&) { OnTick(context); },
      [&](const LocalStateChanged& aChange) {
        OnLocalStateChanged(aChange, context);
      },
      [&](const LeaveRequested&) { OnLeave(context); },
    },
    aEvent);
}

TimePoint Membership::NextDeadline() const
{
  if (m_left) {
    return TimePoint::max();
  }
  TimePoint next =
    std::min({ m_nextProbe, m_nextJoin, m_nextSync, m_nextSummary });
  if (m_probe.has_value()) {
    next = std::min(
      next, m_probe->m_indirect ? m_probe->m_deadline : m_probe->m_indirectAt);
  }
  if (m_pendingCapacity.has_value()) {
    next = std::min(next, m_nextCapacity);
  }
  return next;
}

std::vector<Member> Membership::LiveMembers() const
{
  std::vector<Member> live;
  for (const auto& [id, member] : m_members.All()) {
    if (member.m_state <= MemberState::Suspect) {
      live.push_back(member);
    }
  }
  return live;
}

bool Membership::IsReachable(const DataCentreId& aDataCentre,
                             TimePoint aNow) const
{
  const KnownSummary* known = m_summaries.Find(aDataCentre);
  return known != nullptr &&
         aNow - known->m_receivedAt < m_settings.m_summaryExpiry;
}

bool Membership::IsRepresentative() const
{
  const auto representatives = LocalRepresentatives();
  return std::any_of(
    representatives.begin(),
    representatives.end(),
    [this](const Member* aMember) { return aMember->m_id == m_settings.m_id; });
}

void Membership::OnLocalStateChanged(const LocalStateChanged& aChange,
                                     EventContext& aContext)
{
  Advertisement advertisement = Self().m_advertisement;
  auto capacity = CompactCapacity(aChange.m_capacity);
  m_pendingCapacity.reset();
  if (capacity != advertisement.m_capacity) {
    if (aContext.m_now >= m_nextCapacity) {
      advertisement.m_capacity = std::move(capacity);
      m_nextCapacity = aContext.m_now + m_settings.m_capacityInterval;
    } else {
      m_pendingCapacity = std::move(capacity);
    }
  }
  const bool drainChanged = advertisement.m_draining != aChange.m_draining;
  advertisement.m_draining = aChange.m_draining;
  advertisement.m_revision = aChange.m_revision;
  if (advertisement != Self().m_advertisement) {
    AdvertiseSelf(std::move(advertisement),
                  drainChanged ? Urgency::State : Urgency::Advertisement,
                  aContext);
  }
}

void Membership::OnLeave(EventContext& aContext)
{
  m_left = true;
  const MemberUpdate self{
    m_settings.m_id, Self().m_incarnation, MemberState::Left, {}
  };
  m_members.Merge(self, aContext.m_now);
  auto others = OtherMembers(MemberState::Suspect);
  Shuffle(others);
  if (others.size() > internal::kLeaveFanout) {
    others.resize(internal::kLeaveFanout);
  }
  for (const Member* other : others) {
    aContext.Send(other->m_advertisement.m_peerAddress,
                  other->m_id,
                  membership::Members{ 0, { self } });
  }
}

void Membership::AdvertiseSelf(Advertisement aAdvertisement,
                               Urgency aUrgency,
                               EventContext& aContext)
{
  aAdvertisement.m_version = Self().m_advertisement.m_version + 1;
  MemberUpdate update{ m_settings.m_id,
                       Self().m_incarnation,
                       MemberState::Alive,
                       std::move(aAdvertisement) };
  m_members.Merge(update, aContext.m_now);
  m_gossip.Add(std::move(update), aUrgency);
}

void Membership::ApplyUpdates(const std::vector<MemberUpdate>& aUpdates,
                              EventContext& aContext)
{
  for (const MemberUpdate& update : aUpdates) {
    ApplyUpdate(update, aContext);
  }
}

void Membership::ApplyUpdate(const MemberUpdate& aUpdate,
                             EventContext& aContext)
{
  if (aUpdate.m_id == m_settings.m_id) {
    ApplyUpdateAboutSelf(aUpdate, aContext);
    return;
  }
  const MergeResult result = m_members.Merge(aUpdate, aContext.m_now);
  if (result == MergeResult::Nothing) {
    return;
  }
  const Member& member = *m_members.Find(aUpdate.m_id);
  const bool state = result == MergeResult::State;
  m_gossip.Add(MemberTable::Describe(member),
               state ? Urgency::State : Urgency::Advertisement);
  if (state) {
    ReportState(member, aContext);
  } else {
    aContext.m_actions.emplace_back(MemberChanged{ member.m_id });
  }
}

void Membership::ApplyUpdateAboutSelf(const MemberUpdate& aUpdate,
                                      EventContext& aContext)
{
  const Member& self = Self();
  if (aUpdate.m_incarnation < self.m_incarnation) {
    return;
  }
  // An earlier run may have used the same incarnation or a higher one.
  const bool foreign =
    aUpdate.m_state == MemberState::Alive &&
    (aUpdate.m_incarnation > self.m_incarnation ||
     (aUpdate.m_advertisement.has_value() &&
      aUpdate.m_advertisement->m_version > self.m_advertisement.m_version));
  if (aUpdate.m_state == MemberState::Alive && !foreign) {
    return;
  }
  MemberUpdate refutation{ m_settings.m_id,
                           aUpdate.m_incarnation.Next(),
                           MemberState::Alive,
                           self.m_advertisement };
  ++refutation.m_advertisement->m_version;
  m_members.Merge(refutation, aContext.m_now);
  m_gossip.Add(std::move(refutation), Urgency::State);
}

void Membership::MergeSummary(const Summary& aSummary, EventContext& aContext)
{
  if (!m_summaries.Merge(aSummary, aContext.m_now)) {
    return;
  }
  if (aSummary.m_dataCentre == m_settings.m_dataCentre) {
    JoinUnknownRepresentatives(aSummary, aContext);
  } else {
    aContext.m_actions.emplace_back(DataCentreChanged{ aSummary.m_dataCentre });
  }
}

void Membership::ReportState(const Member& aMember, EventContext& aContext)
{
  switch (aMember.m_state) {
    case MemberState::Alive:
      aContext.m_actions.emplace_back(
        MemberAlive{ aMember.m_id, aMember.m_incarnation });
      break;
    case MemberState::Suspect:
      aContext.m_actions.emplace_back(MemberSuspect{ aMember.m_id });
      break;
    case MemberState::Dead:
      aContext.m_actions.emplace_back(MemberDead{ aMember.m_id });
      break;
    case MemberState::Left:
      aContext.m_actions.emplace_back(MemberLeft{ aMember.m_id });
      break;
  }
}

std::uint64_t Membership::NextSequence(EventContext& aContext)
{
  m_pendingRequests.emplace(++m_sequence,
                            aContext.m_now + internal::kRequestLifetime);
  return m_sequence;
}

std::vector<const Member*> Membership::OtherMembers(MemberState aMaxState) const
{
  std::vector<const Member*> others;
  for (const auto& [id, member] : m_members.All()) {
    if (id != m_settings.m_id && member.m_state <= aMaxState) {
      others.push_back(&member);
    }
  }
  return others;
}

std::vector<const Member*> Membership::LocalRepresentatives() const
{
  std::vector<const Member*> representatives;
  for (const auto& [id, member] : m_members.All()) {
    if (member.m_state == MemberState::Alive &&
        representatives.size() < m_settings.m_representatives) {
      representatives.push_back(&member);
    }
  }
  return representatives;
}

Duration Membership::SuspicionTimeout() const
{
  const auto members =
    static_cast<double>(OtherMembers(MemberState::Suspect).size() + 1);
  const double intervals =
    m_settings.m_suspicionFactor * std::max(1.0, std::log10(members + 1.0));
  return std::chrono::duration_cast<Duration>(intervals *
                                              m_settings.m_probeInterval);
}

bool Membership::HasKnownPeers() const
{
  const bool seeds = std::any_of(m_settings.m_seeds.begin(),
                                 m_settings.m_seeds.end(),
                                 [this](const std::string& aSeed) {
                                   return aSeed != m_settings.m_peerAddress;
                                 });
  return seeds || !OtherMembers(MemberState::Dead).empty();
}

const Member& Membership::Self() const
{
  return *m_members.Find(m_settings.m_id);
}

} // namespace auburntrestle::membership
