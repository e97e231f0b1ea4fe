#include "auburntrestle/fleet/leader_notices.hpp"

#include <algorithm>
#include <utility>

namespace auburntrestle::fleet {

namespace {

/** A leader whose last notice is older may have been replaced. */
constexpr Duration kNoticeLifetime = std::chrono::seconds(3);

} // namespace

NoticeOutcome LeaderNotices::Record(LeaderNotice aNotice,
                                    Term aFollowed,
                                    TimePoint aNow)
{
  if (aNotice.m_term < std::max(m_term, aFollowed)) {
    return NoticeOutcome::Outdated;
  }
  const bool isNew = aNotice.m_leader != m_leader;
  m_term = aNotice.m_term;
  m_leader = std::move(aNotice.m_leader);
  m_receivedAt = aNow;
  return isNew ? NoticeOutcome::NewLeader : NoticeOutcome::Repeated;
}

std::optional<InstanceId> LeaderNotices::LeaderAt(TimePoint aNow) const
{
  const bool isFresh = m_receivedAt && aNow - *m_receivedAt < kNoticeLifetime;
  return isFresh ? std::optional(m_leader) : std::nullopt;
}

} // namespace auburntrestle::fleet
