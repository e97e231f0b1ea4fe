#include "auburntrestle/fleet/codec.hpp"
#include "auburntrestle/fleet/store_service.hpp"

#include <algorithm>
#include <utility>

namespace auburntrestle::fleet {

namespace {

constexpr Duration kConfirmTimeout = std::chrono::milliseconds(1500);
/** Maximum time for which the leader may defer its reply. */
constexpr Duration kMaxConfirmWait = std::chrono::milliseconds(300);
constexpr Duration kConfirmRetryDelay = std::chrono::milliseconds(100);
/** A relay that the leader did not confirm for this long refuses Watches, so
 * that instances turn to another one. */
constexpr Duration kMaxConfirmationAge = std::chrono::milliseconds(800);

} // namespace

DirectoryVersions StoreService::OwnVersions() const
{
  const State& state = m_replica->GetState();
  return { state.Configuration().m_version, state.Directory() };
}

void StoreService::ConfirmDirectory()
{
  const auto members = m_replica->GetLogMembers();
  const bool isMember =
    std::find(members.begin(), members.end(), m_options.m_self) !=
    members.end();
  if (m_replica->IsLeading() || !isMember) {
    m_loop.After(kConfirmRetryDelay, [this] { ConfirmDirectory(); });
    return;
  }
  const auto own = OwnVersions();
  const Watch query{ own.m_configuration, Term(), own.m_directory, true };
  m_link->SendQuery(
    query,
    kConfirmTimeout,
    kMaxConfirmWait,
    [this, askedAt = MonotonicClock::Now()](
      const tl::expected<ReplyBody, LinkError>& aReply) {
      const auto* view =
        aReply ? std::get_if<DirectoryView>(&*aReply) : nullptr;
      if (view != nullptr && view->m_term >= m_replica->GetTerm()) {
        m_confirmation.RecordReply(
          askedAt,
          view->m_term,
          { view->m_newestConfiguration, view->m_directory });
        RecordPeerTime(*view);
      }
      // A state that is behind is asked about again after it had time to apply
      // what it lacks.
      const bool reached =
        view != nullptr && OwnVersions().Covers({ view->m_newestConfiguration,
                                                  view->m_directory });
      if (reached) {
        ConfirmDirectory();
      } else {
        m_loop.After(kConfirmRetryDelay, [this] { ConfirmDirectory(); });
      }
    });
}

std::optional<Duration> StoreService::ConfirmationAge()
{
  const auto confirmedAt = m_confirmation.ConfirmedAt(OwnVersions());
  return confirmedAt ? std::optional(MonotonicClock::Now() - *confirmedAt)
                     : std::nullopt;
}

void StoreService::RecordPeerTime(const DirectoryView& aView)
{
  const auto leader = m_replica->Leader();
  if (leader && aView.m_wallTime > WallTime::zero()) {
    m_clock.RecordPeer(*leader, aView.m_wallTime, BootClock::Now());
  }
}

DirectorySource StoreService::GetDirectorySource()
{
  DirectorySource source;
  source.m_wallTime = m_clock.At(BootClock::Now());
  const bool leads = m_replica->IsLeading();
  source.m_term = leads ? m_replica->GetTerm() : m_confirmation.LeaderTerm();
  source.m_confirmationAge =
    leads ? Duration::zero() : ConfirmationAge().value_or(Duration::max());
  const auto leader = KnownLeader();
  const auto& announced = m_replica->GetState().Members();
  for (const auto& member : m_replica->GetLogMembers()) {
    const auto found = announced.find(member);
    const bool isLeader = leads ? member == m_options.m_self : member == leader;
    if (!isLeader && found != announced.end()) {
      source.m_relays.push_back({ member, found->second.m_dataCentre });
    }
  }
  return source;
}

bool StoreService::TryRelay(const std::string& aPayload,
                            const protocol::Reply& aReply)
{
  const auto age = ConfirmationAge();
  if (!age || *age > kMaxConfirmationAge) {
    return false;
  }
  const auto query = DecodeQuery(aPayload);
  const auto* watch = query ? std::get_if<Watch>(&*query) : nullptr;
  if (watch == nullptr || watch->m_versionsOnly) {
    return false;
  }
  m_queries->Handle(*query, [aReply](const std::optional<ReplyBody>& aBody) {
    if (aBody) {
      aReply.Send(Encode(*aBody));
    } else {
      aReply.Refuse({});
    }
  });
  return true;
}

} // namespace auburntrestle::fleet
