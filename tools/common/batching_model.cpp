#include "common/batching_model.hpp"

#include <algorithm>

namespace auburntrestle::tools {

void BatchingModel::Submit(const Sequence& aSequence, TimePoint aNow)
{
  m_waiting.push_back(aSequence);
  FillSlots(aNow);
}

bool BatchingModel::Cancel(SequenceNumber aNumber, TimePoint aNow)
{
  if (m_running.erase(aNumber) > 0) {
    FillSlots(aNow);
    return true;
  }
  return std::erase_if(m_waiting, [aNumber](const Sequence& aSequence) {
           return aSequence.m_number == aNumber;
         }) > 0;
}

void BatchingModel::Pause(Duration aDuration, TimePoint aNow)
{
  m_pausedUntil = std::max(m_pausedUntil, aNow + aDuration);
  for (auto& [number, active] : m_running) {
    active.m_due += aDuration;
  }
}

std::vector<ProducedToken> BatchingModel::Advance(TimePoint aNow)
{
  std::vector<ProducedToken> result;
  while (true) {
    const auto next =
      std::min_element(m_running.begin(),
                       m_running.end(),
                       [](const auto& aOne, const auto& aTwo) {
                         return aOne.second.m_due < aTwo.second.m_due;
                       });
    if (next == m_running.end() || next->second.m_due > aNow) {
      return result;
    }
    Active& active = next->second;
    const TimePoint due = active.m_due;
    const bool last = active.m_nextIndex + 1 >= active.m_sequence.m_length;
    result.push_back({ next->first, active.m_nextIndex, last });
    ++active.m_nextIndex;
    active.m_due += TimePerToken();
    if (last) {
      m_running.erase(next);
      FillSlots(due);
    }
  }
}

std::optional<TimePoint> BatchingModel::NextDue() const
{
  std::optional<TimePoint> result;
  for (const auto& [number, active] : m_running) {
    if (!result || active.m_due < *result) {
      result = active.m_due;
    }
  }
  return result;
}

Duration BatchingModel::TimePerToken() const
{
  const auto running = m_running.size();
  const std::size_t above =
    running > m_timing.m_knee ? running - m_timing.m_knee : 0;
  const double growth =
    1.0 + m_timing.m_slopeAboveKnee * static_cast<double>(above);
  return Scale(static_cast<double>(m_timing.m_timePerToken.count()) * growth);
}

void BatchingModel::FillSlots(TimePoint aNow)
{
  while (!m_waiting.empty() && m_running.size() < m_timing.m_slots) {
    const Sequence sequence = m_waiting.front();
    m_waiting.pop_front();
    const double prefill =
      static_cast<double>(m_timing.m_firstTokenBase.count()) +
      static_cast<double>(m_timing.m_perPromptToken.count()) *
        static_cast<double>(sequence.m_promptTokens);
    const TimePoint start = std::max(aNow, m_pausedUntil);
    m_running[sequence.m_number] =
      Active{ sequence, sequence.m_firstIndex, start + Scale(prefill) };
  }
}

Duration BatchingModel::Scale(double aMicroseconds) const
{
  return Duration(static_cast<Duration::rep>(aMicroseconds * m_slowFactor));
}

} // namespace auburntrestle::tools
