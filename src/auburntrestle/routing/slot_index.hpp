#ifndef AUBURNTRESTLE_ROUTING_SLOT_INDEX_HPP
#define AUBURNTRESTLE_ROUTING_SLOT_INDEX_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/random.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace auburntrestle::routing::internal {

/** The index of a backend server in the dispatcher's table. */
using BackendIndex = std::uint32_t;

/** Whether a backend server is preferred. */
enum class Tier : std::uint8_t
{
  Normal,
  Slow,
};

/**
 * The backend servers of one target by weight version and tier, with the subset
 * that has a free slot. Updates and choices take constant time in the number of
 * backend servers; they are linear in the number of versions, of which there
 * are a few at a time.
 */
class SlotIndex
{
public:
  /** Adds or updates a server that may receive work. */
  void Set(BackendIndex aBackend,
           WeightVersion aVersion,
           Tier aTier,
           bool aHasFreeSlot);

  /** Removes a server that may not receive work. */
  void Remove(BackendIndex aBackend);

  /** @return the newest version with a free slot in a tier. */
  [[nodiscard]] std::optional<WeightVersion> NewestFree(Tier aTier) const;

  /** @return the newest version in a tier, with or without a free slot. */
  [[nodiscard]] std::optional<WeightVersion> Newest(Tier aTier) const;

  /**
   * @return whether a server has a free slot, the given tier and at least the
   * given version.
   */
  [[nodiscard]] bool IsFree(BackendIndex aBackend,
                            WeightVersion aMinVersion,
                            Tier aTier) const;

  /**
   * Chooses the better of two random servers with a free slot (power of two
   * choices).
   * @param aAvoid not chosen, unless it is the only one.
   * @param aScore rates a server; smaller is better.
   */
  [[nodiscard]] std::optional<BackendIndex> Choose(
    Tier aTier,
    WeightVersion aMinVersion,
    std::optional<BackendIndex> aAvoid,
    const std::function<double(BackendIndex)>& aScore,
    RandomSource& aRandom) const;

  /** @return the number of servers that may receive work. */
  [[nodiscard]] std::size_t Size() const noexcept { return m_entries.size(); }

private:
  struct Group
  {
    std::size_t m_members = 0;
    std::vector<BackendIndex> m_free;
  };
  struct Entry
  {
    WeightVersion m_version;
    Tier m_tier = Tier::Normal;
    /** Index in the group's free list, if it has a free slot. */
    std::optional<std::size_t> m_freeIndex;
  };
  using Groups = std::map<WeightVersion, Group>;

  Groups& GroupsOf(Tier aTier) noexcept;
  [[nodiscard]] const Groups& GroupsOf(Tier aTier) const noexcept;
  void RemoveFromFreeList(Entry& aEntry);

  std::array<Groups, 2> m_groups;
  std::unordered_map<BackendIndex, Entry> m_entries;
};

} // namespace auburntrestle::routing::internal

#endif
