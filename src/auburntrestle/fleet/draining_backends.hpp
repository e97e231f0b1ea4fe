#ifndef AUBURNTRESTLE_FLEET_DRAINING_BACKENDS_HPP
#define AUBURNTRESTLE_FLEET_DRAINING_BACKENDS_HPP

#include "auburntrestle/core/time.hpp"
#include "auburntrestle/fleet/backend_record.hpp"

#include <cstddef>
#include <map>

namespace auburntrestle::fleet {

/**
 * The backend servers that stated in a response to this instance that they are
 * leaving. Such a statement holds until the server restarts: neither a later
 * response without it nor an announcement ends it, as both may be older.
 */
class DrainingBackends
{
public:
  /** Records a statement. @return whether the backend server was not draining
   * before. */
  bool Record(const BackendProcess& aBackend, TimePoint aNow);

  /** @return whether a backend server must get no new request. */
  [[nodiscard]] bool Contains(const BackendProcess& aBackend) const
  {
    return m_statedAt.contains(aBackend);
  }
  [[nodiscard]] std::size_t Size() const noexcept { return m_statedAt.size(); }

  /** Servers above this number are removed, the oldest first; far more than
   * leave in the time for which one keeps its address. */
  static constexpr std::size_t kMaxBackends = 4096;

private:
  std::map<BackendProcess, TimePoint> m_statedAt;
};

} // namespace auburntrestle::fleet

#endif
