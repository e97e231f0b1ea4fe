#ifndef AUBURNTRESTLE_ROUTING_AFFINITY_MAP_HPP
#define AUBURNTRESTLE_ROUTING_AFFINITY_MAP_HPP

#include "auburntrestle/routing/slot_index.hpp"

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <utility>

namespace auburntrestle::routing::internal {

/**
 * The backend server that last processed each prefix, for the prefixes used
 * most recently. Engines cache a limited number of prefixes, so that older
 * entries would rarely be useful.
 */
class AffinityMap
{
public:
  /** @return the server that last processed a prefix, if it is known. */
  [[nodiscard]] std::optional<BackendIndex> Find(std::uint64_t aKey) const
  {
    const auto found = m_entries.find(aKey);
    if (found == m_entries.end()) {
      return std::nullopt;
    }
    return found->second->second;
  }

  /** Records the server that processes a prefix. */
  void Record(std::uint64_t aKey, BackendIndex aBackend)
  {
    const auto found = m_entries.find(aKey);
    if (found != m_entries.end()) {
      found->second->second = aBackend;
      m_byRecency.splice(m_byRecency.begin(), m_byRecency, found->second);
      return;
    }
    if (m_entries.size() >= kMaxEntries) {
      m_entries.erase(m_byRecency.back().first);
      m_byRecency.pop_back();
    }
    m_byRecency.emplace_front(aKey, aBackend);
    m_entries.emplace(aKey, m_byRecency.begin());
  }

private:
  static constexpr std::size_t kMaxEntries = 8192;

  std::list<std::pair<std::uint64_t, BackendIndex>> m_byRecency;
  std::unordered_map<std::uint64_t, decltype(m_byRecency)::iterator> m_entries;
};

} // namespace auburntrestle::routing::internal

#endif
