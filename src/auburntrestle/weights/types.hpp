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

/** Names an order, unique within one planner. */
using OrderId = StrongType<struct OrderIdTag, std::uint64_t>;
/** Names a read of an engine's state, unique within one planner. */
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

/** An engine as it describes itself. */
struct EngineState
{
  BackendId m_backend;
  Incarnation m_incarnation;
  ByteCount m_capacity;
  std::map<WeightKey, HeldWeights> m_held;
  std::string m_role;
  bool m_checksFencing = false;
  bool m_leaving = false;
  /** The engine receives no new work, for whatever reason. */
  bool m_draining = false;
  /** An order is still being carried out. */
  bool m_busy = false;
  /** Requests in progress. */
  std::uint64_t m_running = 0;

  friend bool operator==(const EngineState&, const EngineState&) = default;
};

/** The version that every holder of some weights is to have. */
struct WeightGoal
{
  WeightVersion m_version;
  /** Size of the weights; needed where they are not loaded yet. */
  ByteCount m_bytes;

  friend bool operator==(const WeightGoal&, const WeightGoal&) = default;
};

/** What the engines are to hold and to do. */
struct Goals
{
  std::map<WeightKey, WeightGoal> m_weights;
  /** The weights that an engine is to hold. An engine that is not listed keeps
   * what it holds, at the goal versions. */
  std::map<BackendId, std::set<WeightKey>> m_placement;
  /** An engine that is not listed keeps its role. */
  std::map<BackendId, std::string> m_roles;

  friend bool operator==(const Goals&, const Goals&) = default;
};

/** How a new version reaches the engines. */
enum class RolloutPlan : std::uint8_t
{
  /** Within the limits on loads, rate and serving engines. */
  Waves,
  /** Orders every engine at once; the baseline for comparisons. */
  AllAtOnce,
};

/** How memory is counted while weights move between engines. */
enum class MemoryRule : std::uint8_t
{
  /** Weights that an engine has yet to release count as long as it holds
   * them. */
  CountBothPlaces,
  /** Only what the engine holds in the end counts. */
  CountFinalState,
};

/** The limits of a planner. */
struct PlannerSettings
{
  RolloutPlan m_plan = RolloutPlan::Waves;
  MemoryRule m_memory = MemoryRule::CountBothPlaces;
  /** Loads in progress at once. */
  std::size_t m_maxParallelLoads = 4;
  /** Serving engines of a model that are never taken out of service. */
  std::size_t m_minServing = 1;
  /** Rate at which the weight store gives out bytes; 0 when unlimited. */
  ByteCount m_storeBytesPerSecond{ 0 };
  /** Time after which an order without an answer counts as failed. */
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
  /** Answers to orders or reads that are no longer awaited. */
  std::uint64_t m_staleAnswers = 0;
  std::uint64_t m_statesRead = 0;
  /** Loads put off because the engine has too little memory. */
  std::uint64_t m_memoryRefusals = 0;
};

} // namespace auburntrestle::weights

#endif
