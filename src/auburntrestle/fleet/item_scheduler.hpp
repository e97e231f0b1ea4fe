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

/** The state of an engine as far as the scheduler uses it. */
struct EngineView
{
  ServiceName m_service;
  /** Items that the engine runs concurrently without queueing. */
  std::uint32_t m_slots = 1;
  /** Neither leaves nor has left. */
  bool m_serving = false;
  /** Accepts new items: it is serving and not avoided. */
  bool m_accepting = false;
  SoftwareVersion m_software = {};
  /** The model whose weights are being loaded; items of other models are not
   * affected. */
  std::optional<ModelName> m_loading;
  std::map<ModelName, WeightVersion> m_versions;
};

/** The properties of an item that decide where it can run. */
struct ItemRequirements
{
  ServiceName m_service;
  /** Absent if any model may generate the output. */
  std::optional<ModelName> m_model;
  WeightVersion m_minVersion;
  /** The version that generated the partial output, if the whole output has to
   * come from a single version. */
  std::optional<WeightVersion> m_onlyVersion;
  /** The software that generated the partial output; absent if there is none.
   */
  std::optional<SoftwareVersion> m_software = std::nullopt;
  GroupId m_group;
  /** The engine that last failed this item; used only as a last resort. */
  std::optional<BackendId> m_avoid;
};

/**
 * Places the items of batch jobs on engines. Designed for some hundred items
 * that arrive at once and generate from a few to a hundred events each. An item
 * goes to the engine with the lowest expected time per event, estimated from
 * the number of items that run there and the observed event intervals. Items
 * that share a prompt prefer the same engine if the cost is similar. No engine
 * gets more items than it has slots; the others wait here, so that they can go
 * to the first engine with a free slot.
 */
class ItemScheduler
{
public:
  /** Adds an engine or updates its state. */
  void SetEngine(const BackendId& aId, const EngineView& aView);
  /** Removes an engine. */
  void RemoveEngine(const BackendId& aId);
  /** @return the engine for an item, or nothing while no eligible engine has a
   * free slot. */
  [[nodiscard]] std::optional<BackendId> Place(
    const ItemRequirements& aRequirements) const;
  /** Records that an item started to run on an engine. */
  void RecordStart(const BackendId& aId, const GroupId& aGroup);
  /** Records that an item stopped running on an engine. */
  void RecordEnd(const BackendId& aId, const GroupId& aGroup);
  /** Records the time between two consecutive events of an item. */
  void RecordEventInterval(const BackendId& aId, Duration aGap);
  /**
   * @return the engine to which an item should migrate because aFrom, where it
   *   runs, is much slower, or nothing.
   */
  [[nodiscard]] std::optional<BackendId> MigrationTarget(
    const BackendId& aFrom,
    const ItemRequirements& aRequirements) const;
  /** @return whether an engine of a service that does not leave has this
   * software; it may accept no items at present. */
  [[nodiscard]] bool IsServing(const ServiceName& aService,
                               const SoftwareVersion& aSoftware) const;
  /** @return the slots of all engines of a service that accept items. */
  [[nodiscard]] std::size_t TotalSlots(const ServiceName& aService) const;
  /** @return the number of items that run on an engine. */
  [[nodiscard]] std::uint32_t RunningOn(const BackendId& aId) const;

private:
  struct Engine
  {
    EngineView m_view;
    std::uint32_t m_running = 0;
    /** Smoothed time between events in microseconds; 0 while unknown. */
    double m_eventInterval = 0;
    std::map<GroupId, std::uint32_t> m_groups;
  };

  [[nodiscard]] static bool IsEligible(const Engine& aEngine,
                                       const ItemRequirements& aRequirements);
  [[nodiscard]] double Cost(const Engine& aEngine,
                            const ItemRequirements& aRequirements,
                            double aMedianInterval) const;
  [[nodiscard]] double MedianEventInterval(const ServiceName& aService) const;

  std::map<BackendId, Engine> m_engines;
};

} // namespace auburntrestle::fleet

#endif
