#ifndef AUBURNTRESTLE_FLEET_OUTPUT_CACHE_HPP
#define AUBURNTRESTLE_FLEET_OUTPUT_CACHE_HPP

#include "auburntrestle/core/time.hpp"
#include "auburntrestle/fleet/job.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

namespace auburntrestle::fleet {

/** The output of an item whose job ended before its group was complete. */
struct CachedOutput
{
  PartialOutput m_progress;
  /** Present if the reward call of the item had succeeded. */
  std::optional<Score> m_score = std::nullopt;
};

/**
 * Caches the outputs of incomplete groups of ended jobs. A trainer that did not
 * wait for a group requests it again in its next job under the same item ids.
 * That affects the items with the longest outputs most often, which would take
 * longest to generate again.
 */
class OutputCache
{
public:
  /** Adds the output of an item, unless a body of the item is stored. */
  void Add(const JobItem& aItem, CachedOutput aOutput, TimePoint aNow);

  /**
   * Removes the output of an item and returns it if it belongs to the same
   * request and satisfies the conditions on its versions. Its score is returned
   * only if it belongs to the same reward call.
   *
   * @param aMinVersion the minimum weight version of all events.
   * @param aSingleVersion whether all events must have the same weight version.
   */
  [[nodiscard]] std::optional<CachedOutput> Extract(const JobItem& aItem,
                                                    WeightVersion aMinVersion,
                                                    bool aSingleVersion,
                                                    TimePoint aNow);

  /** Removes all outputs. */
  void Clear();
  [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }

private:
  static constexpr std::size_t kMaxOutputs = 2000;
  static constexpr Duration kMaxAge = std::chrono::seconds(60);

  struct Entry
  {
    std::string m_path;
    std::string m_body;
    std::optional<RewardCall> m_reward;
    CachedOutput m_cached;
    TimePoint m_addedAt{};
  };

  void RemoveExpired(TimePoint aNow);

  std::unordered_map<ItemId, Entry> m_entries;
  /** In the order of addition; may name outputs that have been extracted. */
  std::deque<ItemId> m_order;
};

} // namespace auburntrestle::fleet

#endif
