#include "auburntrestle/fleet/usage_recorder.hpp"

namespace auburntrestle::fleet {

UsageWindow UsageRecorder::RecordStart(const AccountName& aAccount,
                                       WallTime aNow)
{
  const UsageWindow window = WindowAt(aNow, m_length);
  if (window >= m_firstOpen) {
    ++m_counts[window][aAccount];
    m_changed = true;
  }
  while (m_counts.size() > kMaxUsageWindows) {
    m_counts.erase(m_counts.begin());
  }
  return window;
}

void UsageRecorder::RecordNotRun(const AccountName& aAccount,
                                 UsageWindow aWindow)
{
  const auto counts = m_counts.find(aWindow);
  if (counts == m_counts.end()) {
    return;
  }
  const auto count = counts->second.find(aAccount);
  if (count != counts->second.end() && count->second > 0) {
    --count->second;
    m_changed = true;
  }
}

void UsageRecorder::RecordClosed(UsageWindow aFirstOpen)
{
  m_firstOpen = std::max(m_firstOpen, aFirstOpen);
  m_counts.erase(m_counts.begin(), m_counts.lower_bound(m_firstOpen));
}

const UsageByWindow& UsageRecorder::TakeChanges()
{
  m_changed = false;
  return m_counts;
}

} // namespace auburntrestle::fleet
