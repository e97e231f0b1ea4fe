#include "auburntrestle/fleet/draining_backends.hpp"

#include <algorithm>

namespace auburntrestle::fleet {

bool DrainingBackends::Record(const BackendProcess& aBackend, TimePoint aNow)
{
  if (!m_statedAt.emplace(aBackend, aNow).second) {
    return false;
  }
  if (m_statedAt.size() > kMaxBackends) {
    m_statedAt.erase(
      std::min_element(m_statedAt.begin(),
                       m_statedAt.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return aLeft.second < aRight.second;
                       }));
  }
  return true;
}

} // namespace auburntrestle::fleet
