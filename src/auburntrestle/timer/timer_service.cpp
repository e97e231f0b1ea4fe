#include "auburntrestle/timer/timer_service.hpp"

namespace auburntrestle::timer {

std::string_view ToString(TimerError /*aError*/) noexcept
{
  return "bad_interval";
}

TimerId TimerService::ScheduleAt(TimePoint aAt)
{
  return Add(aAt, Duration::zero());
}

tl::expected<TimerId, TimerError> TimerService::ScheduleEvery(
  TimePoint aFirst,
  Duration aInterval)
{
  if (aInterval <= Duration::zero()) {
    return tl::unexpected(TimerError::BadInterval);
  }
  return Add(aFirst, aInterval);
}

TimerId TimerService::Add(TimePoint aAt, Duration aInterval)
{
  m_lastId = m_lastId.Next();
  m_timers.emplace(m_lastId, Timer{ aAt, aInterval });
  m_byDeadline.emplace(aAt, m_lastId);
  return m_lastId;
}

bool TimerService::Cancel(TimerId aId)
{
  const auto found = m_timers.find(aId);
  if (found == m_timers.end()) {
    return false;
  }
  m_byDeadline.erase({ found->second.m_at, aId });
  m_timers.erase(found);
  return true;
}

std::vector<Expiry> TimerService::Advance(TimePoint aNow)
{
  std::vector<Expiry> expiries;
  while (!m_byDeadline.empty() && m_byDeadline.begin()->first <= aNow) {
    const auto [at, id] = *m_byDeadline.begin();
    m_byDeadline.erase(m_byDeadline.begin());
    const auto found = m_timers.find(id);
    Timer& timer = found->second;
    if (timer.m_interval == Duration::zero()) {
      expiries.push_back({ id, at, 0 });
      m_timers.erase(found);
      continue;
    }
    const auto missed = (aNow - at) / timer.m_interval;
    expiries.push_back({ id, at, static_cast<std::uint64_t>(missed) });
    timer.m_at = at + (missed + 1) * timer.m_interval;
    m_byDeadline.emplace(timer.m_at, id);
  }
  return expiries;
}

std::optional<TimePoint> TimerService::NextDeadline() const
{
  if (m_byDeadline.empty()) {
    return std::nullopt;
  }
  return m_byDeadline.begin()->first;
}

} // namespace auburntrestle::timer
