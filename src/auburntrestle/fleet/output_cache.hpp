#ifndef AUBURNTRESTLE_FLEET_OUTPUT_CACHE_HPP
#define AUBURNTRESTLE_FLEET_OUTPUT_CACHE_HPP

#include "auburntrestle/core/time.hpp"
#include "auburntrestle/fleet/job.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

namespace auburntrestle::fleet {

/** A text of an item whose job ended before its group was complete. */
struct CachedOutput
{
  PartialOutput m_text;
  /** The text is whole. */
  bool m_finished = false;
};

/**
 * Keeps the texts of incomplete groups of ended jobs. A trainer that did not
 * wait for a group asks for it again in its next job under the same item ids;
 * the longest items are the ones most often asked for again.
 */
class OutputCache
{
public:
  /** Keeps the text of an item. */
  void Keep(const JobItem& aItem, CachedOutput aText, TimePoint aNow);

  /**
   * Takes the text of an item out, if there is one for the same request.
   *
   * @param aMinVersion texts with an older version do not fit.
   * @param aSingleVersion texts with several versions do not fit.
   */
  [[nodiscard]] std::optional<CachedOutput> Take(const JobItem& aItem,
                                                 WeightVersion aMinVersion,
                                                 bool aSingleVersion,
                                                 TimePoint aNow);

  /** Forgets all texts. */
  void Clear();
  [[nodiscard]] std::size_t size() const noexcept { return m_texts.size(); }

private:
  static constexpr std::size_t kMaxTexts = 2000;
  static constexpr Duration kMaxAge = std::chrono::seconds(60);

  struct Kept
  {
    std::string m_path;
    std::string m_body;
    CachedOutput m_text;
    TimePoint m_keptAt{};
  };

  void DropOld(TimePoint aNow);

  std::unordered_map<ItemId, Kept> m_texts;
  /** In the order in which they were kept; may name texts taken since. */
  std::deque<ItemId> m_order;
};

} // namespace auburntrestle::fleet

#endif
