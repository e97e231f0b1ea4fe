#ifndef AUBURNTRESTLE_WEIGHTS_TYPES_HPP
#define AUBURNTRESTLE_WEIGHTS_TYPES_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace auburntrestle::weights {

/** Identifies an order; unique within one planner. */
using OrderId = StrongType<struct OrderIdTag, std::uint64_t>;
/** Identifies a read of an engine's state; unique within one planner. */
using ReadId = StrongType<struct ReadIdTag, std::uint64_t>;

/** Weights that an engine can hold: a model, or an adapter of a model. */
struct WeightKey
{
  ModelName m_model;
  /** Empty for the model itself. */
  std::string m_adapter;

  friend auto operator<=>(const WeightKey&, const WeightKey&) = default;
  friend bool operator==(const WeightKey&, const WeightKey&) = default;
};

/** Weights as an engine holds them. */
struct HeldWeights
{
  WeightVersion m_version;
  ByteCount m_bytes;

  friend bool operator==(const HeldWeights&, const HeldWeights&) = default;
};

/** The state of an engine, as it reports it. */
struct EngineState
{
  BackendId m_backend;
  Incarnation m_incarnation;
  ByteCount m_capacity;
  std::map<WeightKey, HeldWeights> m_held;
  std::string m_role;
  bool m_checksFencing = false;
  bool m_leaving = false;
  /** The engine receives no new work, for any reason. */
  bool m_draining = false;
  /** An order is still being executed. */
  bool m_busy = false;
  /** Requests in progress. */
  std::uint64_t m_running = 0;

  friend bool operator==(const EngineState&, const EngineState&) = default;
};

/** The version that all engines with certain weights should have. */
struct WeightGoal
{
  WeightVersion m_version;
  /** Size of the weights; required if they are not loaded yet. */
  ByteCount m_bytes;

  friend bool operator==(const WeightGoal&, const WeightGoal&) = default;
};

/** The target state of the engines. */
struct Goals
{
  std::map<WeightKey, WeightGoal> m_weights;
  /**
   * The weights that an engine should hold. An engine that is not listed keeps
   * its weights, at the goal versions.
   */
  std::map<BackendId, std::set<WeightKey>> m_placement;
  /** An engine that is not listed keeps its role. */
  std::map<BackendId, std::string> m_roles;

  friend bool operator==(const Goals&, const Goals&) = default;
};

/** How a new version is rolled out to the engines. */
enum class RolloutPlan : std::uint8_t
{
  /** Within the limits on loads, rate and serving engines. */
  Waves,
  /** To all engines at once; the baseline for comparisons. */
  AllAtOnce,
};

/** How memory is counted while weights move between engines. */
enum class MemoryRule : std::uint8_t
{
  /**
   * Weights that an engine still has to unload count as long as it holds them.
   */
  CountBothPlaces,
  /** Only the weights that the engine holds in the final placement count. */
  CountFinalState,
};

/** The limits of a planner. */
struct PlannerSettings
{
  RolloutPlan m_plan = RolloutPlan::Waves;
  MemoryRule m_memory = MemoryRule::CountBothPlaces;
  /** Maximum number of loads in progress. */
  std::size_t m_maxParallelLoads = 4;
  /** Minimum number of engines that serve a model during a rollout. */
  std::size_t m_minServing = 1;
  /** Rate at which the weight store delivers bytes; 0 if unlimited. */
  ByteCount m_storeBytesPerSecond{ 0 };
  /**
   * Maximum duration of an order; without a response an order counts as failed
   * after this time.
   */
  Duration m_maxOrderDuration = std::chrono::seconds(60);
  /** Time between two attempts to read a state or to repeat an order. */
  Duration m_retryDelay = std::chrono::seconds(1);

  friend bool operator==(const PlannerSettings&,
                         const PlannerSettings&) = default;
};

/** Counters of a planner since its creation. */
struct PlannerMetrics
{
  std::uint64_t m_ordersSent = 0;
  std::uint64_t m_ordersDone = 0;
  std::uint64_t m_ordersFailed = 0;
  /** Responses to orders or reads that are no longer expected. */
  std::uint64_t m_staleResponses = 0;
  std::uint64_t m_statesRead = 0;
  /** Loads delayed because the engine has too little memory. */
  std::uint64_t m_memoryDelays = 0;
};

} // namespace auburntrestle::weights

#endif
