#include "auburntrestle/fleet/directory_confirmation.hpp"

namespace auburntrestle::fleet {

void DirectoryConfirmation::RecordReply(TimePoint aAskedAt,
                                        Term aTerm,
                                        DirectoryVersions aNewest)
{
  if (aTerm < m_term) {
    return;
  }
  m_term = aTerm;
  m_unreached = LeaderState{ aAskedAt, aNewest };
}

std::optional<TimePoint> DirectoryConfirmation::ConfirmedAt(
  const DirectoryVersions& aOwn)
{
  if (m_unreached && aOwn.Covers(m_unreached->m_newest)) {
    m_confirmedAt = m_unreached->m_askedAt;
    m_unreached.reset();
  }
  return m_confirmedAt;
}

} // namespace auburntrestle::fleet
