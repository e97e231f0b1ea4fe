#include "auburntrestle/fleet/watch_scheduler.hpp"

#include <utility>

namespace auburntrestle::fleet {

namespace {

constexpr Duration kRetryDelay = std::chrono::milliseconds(50);

} // namespace

WatchScheduler::WatchScheduler(InstanceId aSelf, DataCentreId aHome)
  : m_selector(std::move(aSelf), std::move(aHome))
{
}

void WatchScheduler::SetRelays(std::vector<Relay> aRelays)
{
  m_selector.SetRelays(std::move(aRelays));
}

WatchScheduler::Outstanding WatchScheduler::MakeRequest(
  std::optional<InstanceId> aRelay,
  TimePoint aNow)
{
  m_lastNumber = m_lastNumber.Next();
  return { { m_lastNumber, std::move(aRelay) }, aNow };
}

std::vector<WatchRequest> WatchScheduler::Advance(TimePoint aNow)
{
  std::vector<WatchRequest> requests;
  if (!m_current && aNow >= m_nextAt) {
    m_current = MakeRequest(m_selector.Select(aNow), aNow);
    requests.push_back(m_current->m_request);
  }
  return requests;
}

TimePoint WatchScheduler::NextDeadline() const noexcept
{
  return m_current ? TimePoint::max() : m_nextAt;
}

void WatchScheduler::HandleReply(const WatchRequest& aRequest,
                                 bool aConfirmed,
                                 TimePoint aNow)
{
  if (aRequest.m_relay && aConfirmed) {
    m_selector.RecordSuccess(*aRequest.m_relay);
  } else if (aRequest.m_relay) {
    m_selector.RecordFailure(*aRequest.m_relay, aNow);
  }
  if (m_current && m_current->m_request.m_number == aRequest.m_number) {
    m_current.reset();
    m_nextAt = aConfirmed ? aNow : aNow + kRetryDelay;
  }
}

} // namespace auburntrestle::fleet
