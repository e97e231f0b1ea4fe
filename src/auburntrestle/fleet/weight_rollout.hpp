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

/** The state of an engine as far as the rollout uses it. */
struct EngineWeights
{
  ServiceName m_service;
  /** The loaded versions, by model. */
  std::map<ModelName, WeightVersion> m_versions;
  /** The engine is serving and its versions are known. */
  bool m_ready = false;
  /** The model of a load that is in progress or may be. */
  std::optional<ModelName> m_loading;
  /** Items that run on it. */
  std::uint32_t m_running = 0;
};

/** A load of one weight version by one engine. */
struct WeightLoad
{
  BackendId m_engine;
  ModelName m_model;
  WeightVersion m_version;

  friend bool operator==(const WeightLoad&, const WeightLoad&) = default;
};

/**
 * Decides which engines load which version, and when. Designed for trainers
 * that publish a version every few seconds, accept samples of the previous
 * version, and each request more items at once than their share of the engines
 * has slots. Therefore every engine is a home of two models and loads every
 * second version of each: each version goes to half of the model's homes. This
 * takes as many loads as one model per engine with every version loaded, and a
 * model in demand can use the slots of a model that has no work.
 */
class WeightRollout
{
public:
  /** Sets the amount of work for a model, relative to the other models. */
  void SetDemand(const ModelName& aModel, double aDemand);

  /**
   * @param aEngines all engines that are not removed.
   * @param aNewest the newest published version of each model.
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
