#include "auburntrestle/fleet/watch_scheduler.hpp"

#include <utility>

namespace auburntrestle::fleet {

namespace {

constexpr Duration kRetryDelay = std::chrono::milliseconds(50);
/** A relay defers its reply for 300 ms at most. */
constexpr Duration kMaxRelayTime = std::chrono::milliseconds(500);

/** A relay whose last confirmation by the leader is older is replaced by
 * another. */
constexpr Duration kMaxConfirmationAge = std::chrono::milliseconds(1000);

} // namespace

bool ConfirmsRoutes(const DirectoryView& aView, Term aNewestTerm) noexcept
{
  return aView.m_term >= aNewestTerm &&
         aView.m_confirmationAge < kMaxConfirmationAge;
}

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

void WatchScheduler::AbandonSlow(TimePoint aNow)
{
  if (!m_current || !m_current->m_request.m_relay ||
      aNow < m_current->m_sentAt + kMaxRelayTime) {
    return;
  }
  m_selector.RecordFailure(*m_current->m_request.m_relay, aNow);
  m_current.reset();
  m_nextAt = aNow;
}

std::vector<WatchRequest> WatchScheduler::Advance(TimePoint aNow)
{
  AbandonSlow(aNow);
  std::vector<WatchRequest> requests;
  if (!m_current && aNow >= m_nextAt) {
    m_current = MakeRequest(m_selector.Select(aNow), aNow);
    requests.push_back(m_current->m_request);
  }
  if (auto relay = m_probe ? std::nullopt : m_selector.SelectProbe(aNow)) {
    m_probe = MakeRequest(std::move(relay), aNow);
    requests.push_back(m_probe->m_request);
  }
  return requests;
}

TimePoint WatchScheduler::NextDeadline() const noexcept
{
  if (!m_current) {
    return m_nextAt;
  }
  return m_current->m_request.m_relay ? m_current->m_sentAt + kMaxRelayTime
                                      : TimePoint::max();
}

void WatchScheduler::HandleReply(const WatchRequest& aRequest,
                                 bool aConfirmed,
                                 TimePoint aNow)
{
  const auto isReplyTo = [&](const std::optional<Outstanding>& aOutstanding) {
    return aOutstanding &&
           aOutstanding->m_request.m_number == aRequest.m_number;
  };
  const bool toCurrent = isReplyTo(m_current);
  const bool toProbe = isReplyTo(m_probe);
  if (aRequest.m_relay && aConfirmed) {
    m_selector.RecordSuccess(*aRequest.m_relay);
  } else if (aRequest.m_relay && (toCurrent || toProbe)) {
    m_selector.RecordFailure(*aRequest.m_relay, aNow);
  }
  if (toCurrent) {
    m_current.reset();
    m_nextAt = aConfirmed ? aNow : aNow + kRetryDelay;
  }
  if (toProbe) {
    m_probe.reset();
  }
}

} // namespace auburntrestle::fleet
