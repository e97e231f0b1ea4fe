#ifndef AUBURNTRESTLE_FLEET_WEIGHT_ROLLOUT_HPP
#define AUBURNTRESTLE_FLEET_WEIGHT_ROLLOUT_HPP

#include "auburntrestle/core/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace auburntrestle::fleet {

/** What the rollout needs to know of an engine. */
struct EngineWeights
{
  ServiceName m_service;
  /** The versions held, by model. */
  std::map<ModelName, WeightVersion> m_versions;
  /** Serving, and its versions have been read. */
  bool m_ready = false;
  /** The model of a load that is in progress or may be. */
  std::optional<ModelName> m_loading;
  /** Items that run on it. */
  std::uint32_t m_running = 0;
};

/** One engine that is to load a version. */
struct WeightLoad
{
  BackendId m_engine;
  ModelName m_model;
  WeightVersion m_version;

  friend bool operator==(const WeightLoad&, const WeightLoad&) = default;
};

/**
 * Decides which engines load which version, and when. Answers trainers that
 * name a version every few seconds, accept samples of the version before, and
 * each ask for more items at once than their share of the engines has slots:
 * an engine is a home of two models, and loads every second version of each,
 * half of the homes at each version. That takes as many loads as bringing every
 * version to the engines of one model each, and lets a model that is asked for
 * use the slots of another one that is not.
 */
class WeightRollout
{
public:
  /** Sets the share of work that needs a model; any unit. */
  void SetDemand(const ModelName& aModel, double aDemand);

  /**
   * @param aEngines all engines that are not gone.
   * @param aNewest the newest version named for each model.
   * @return the loads to start now, most urgent first.
   */
  [[nodiscard]] std::vector<WeightLoad> Plan(
    const std::map<BackendId, EngineWeights>& aEngines,
    const std::map<ModelName, WeightVersion>& aNewest);

  /** @return whether an engine is kept up to date for a model. */
  [[nodiscard]] bool IsHome(const BackendId& aEngine,
                            const ModelName& aModel) const;

private:
  using Engines = std::map<BackendId, EngineWeights>;
  using Versions = std::map<ModelName, WeightVersion>;

  void AssignHomes(const ServiceName& aService, const Engines& aEngines);
  void PlanService(const ServiceName& aService,
                   const Engines& aEngines,
                   const Versions& aNewest,
                   std::vector<WeightLoad>& aLoads) const;

  std::map<ModelName, double> m_demand;
  std::map<BackendId, std::set<ModelName>> m_homes;
};

} // namespace auburntrestle::fleet

#endif
