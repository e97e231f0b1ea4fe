#ifndef AUBURNTRESTLE_FLEET_ITEM_SCHEDULER_HPP
#define AUBURNTRESTLE_FLEET_ITEM_SCHEDULER_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"
#include "auburntrestle/fleet/job.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace auburntrestle::fleet {

/** What the scheduler knows of an engine. */
struct EngineView
{
  ServiceName m_service;
  /** Items that run at once without slowing each other by waiting. */
  std::uint32_t m_slots = 1;
  /** Takes new items: serving and not avoided. */
  bool m_usable = false;
  /** The model whose weights it loads; items of others are not affected. */
  std::optional<ModelName> m_loading;
  std::map<ModelName, WeightVersion> m_versions;
};

/** What the scheduler needs to place an item. */
struct ItemRequirements
{
  ServiceName m_service;
  /** Absent when any model may generate it. */
  std::optional<ModelName> m_model;
  WeightVersion m_minVersion;
  /** The version that generated the text so far, if only one may. */
  std::optional<WeightVersion> m_onlyVersion;
  GroupId m_group;
  /** An engine that failed this item last; used only if there is no other. */
  std::optional<BackendId> m_avoid;
};

/**
 * Places the items of batch jobs on engines. Answers a load of some hundred
 * items that arrive at once and take from a few to a hundred events: each goes
 * to the engine that is expected to generate its tokens fastest, from the
 * number of items that already run there and the pace observed; items of one
 * prompt stay together while that costs little. No engine gets more items than
 * it has slots, so the rest stays free to go wherever room appears.
 */
class ItemScheduler
{
public:
  /** Sets what is known of an engine. */
  void SetEngine(const BackendId& aId, const EngineView& aView);
  /** Forgets an engine. */
  void RemoveEngine(const BackendId& aId);
  /** @return the engine for an item, or nothing while there is no room. */
  [[nodiscard]] std::optional<BackendId> Place(
    const ItemRequirements& aNeed) const;
  /** Records that an item runs on an engine. */
  void Started(const BackendId& aId, const GroupId& aGroup);
  /** Records that an item runs no more on an engine. */
  void Ended(const BackendId& aId, const GroupId& aGroup);
  /** Records the time between two events of an item. */
  void SawEvent(const BackendId& aId, Duration aGap);
  /**
   * @return an engine to which an item that runs on aFrom should move because
   *   aFrom is much slower, or nothing.
   */
  [[nodiscard]] std::optional<BackendId> Relief(
    const BackendId& aFrom,
    const ItemRequirements& aNeed) const;
  /** @return the number of items that run on an engine. */
  [[nodiscard]] std::uint32_t RunningOn(const BackendId& aId) const;
  /** @return the smoothed time between events of an engine. */
  [[nodiscard]] Duration PaceOf(const BackendId& aId) const;

private:
  struct Engine
  {
    EngineView m_view;
    std::uint32_t m_running = 0;
    /** Smoothed time between events in microseconds; 0 while unknown. */
    double m_pace = 0;
    std::map<GroupId, std::uint32_t> m_groups;
  };

  [[nodiscard]] static bool Fits(const Engine& aEngine,
                                 const ItemRequirements& aNeed);
  [[nodiscard]] double Cost(const Engine& aEngine,
                            const ItemRequirements& aNeed,
                            double aTypicalPace) const;
  [[nodiscard]] double TypicalPace(const ServiceName& aService) const;

  std::map<BackendId, Engine> m_engines;
};

} // namespace auburntrestle::fleet

#endif
