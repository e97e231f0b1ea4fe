#ifndef AUBURNTRESTLE_ROUTING_LOAD_INDEX_HPP
#define AUBURNTRESTLE_ROUTING_LOAD_INDEX_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/routing/slot_index.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>

namespace auburntrestle::routing::internal {

/**
 * The backend servers of one target by weight version and reported load, for
 * the baseline policy. Servers of equal load are chosen in rotation. Updates
 * are logarithmic in the number of servers.
 */
class LoadIndex
{
public:
  /** Adds or updates a server that may receive work. */
  void Set(BackendIndex aBackend, WeightVersion aVersion, std::uint64_t aLoad);

  /** Removes a server that may not receive work. */
  void Remove(BackendIndex aBackend);

  /** @return the newest version of any server. */
  [[nodiscard]] std::optional<WeightVersion> Newest() const;

  /** @return the least loaded server with at least the given version. */
  [[nodiscard]] std::optional<BackendIndex> LeastLoaded(
    WeightVersion aMinVersion) const;

private:
  // Load, sequence number of the last update, server.
  using Key = std::tuple<std::uint64_t, std::uint64_t, BackendIndex>;

  std::map<WeightVersion, std::set<Key>> m_byVersion;
  std::unordered_map<BackendIndex, std::pair<WeightVersion, Key>> m_keys;
  std::uint64_t m_sequence = 0;
};

} // namespace auburntrestle::routing::internal

#endif
