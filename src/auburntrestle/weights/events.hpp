#ifndef AUBURNTRESTLE_WEIGHTS_EVENTS_HPP
#define AUBURNTRESTLE_WEIGHTS_EVENTS_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"
#include "auburntrestle/weights/types.hpp"

#include <cstdint>
#include <variant>

namespace auburntrestle::weights {

/** This instance holds the lease on the engines' orders. */
struct LeaseAcquired
{
  Fencing m_fencing;
  /**
   * Time at which this instance must stop sending orders; valid for any clock
   * within the drift bound.
   */
  TimePoint m_until;
  /**
   * Latest time at which the lease of an earlier holder could have been in
   * force; TimePoint::min() if there was no earlier holder.
   */
  TimePoint m_previousEnd;
};

/** The lease has been extended. */
struct LeaseRenewed
{
  Fencing m_fencing;
  TimePoint m_until;
};

/** The lease has ended. */
struct LeaseLost
{};

struct GoalsChanged
{
  Goals m_goals;
};

struct SettingsChanged
{
  PlannerSettings m_settings;
};

/** An engine has announced itself. */
struct EngineAnnounced
{
  EngineState m_state;
};

/** The lease of an engine's announcement has expired. */
struct EngineRemoved
{
  BackendId m_backend;
};

enum class OrderResult : std::uint8_t
{
  Done,
  /** The engine has received an order with a higher fencing number. */
  StaleFencing,
  /** The order failed partway. */
  SwapFailed,
  /** The engine was not reached or did not start the order. */
  NotRun,
  /** No response; the order may have been executed, partly or completely. */
  Unknown,
};

struct OrderResultReceived
{
  BackendId m_backend;
  OrderId m_order;
  OrderResult m_result = OrderResult::Unknown;
};

/** The state that was read from an engine. */
struct StateReadSucceeded
{
  ReadId m_read;
  EngineState m_state;
};

struct StateReadFailed
{
  ReadId m_read;
  BackendId m_backend;
};

/** The weight store has refused a load and requires a delay. */
struct StoreThrottled
{
  Duration m_retryAfter;
};

/** Time has passed; sent at least every 100 ms. */
struct Tick
{};

using Event = std::variant<LeaseAcquired,
                           LeaseRenewed,
                           LeaseLost,
                           GoalsChanged,
                           SettingsChanged,
                           EngineAnnounced,
                           EngineRemoved,
                           OrderResultReceived,
                           StateReadSucceeded,
                           StateReadFailed,
                           StoreThrottled,
                           Tick>;

} // namespace auburntrestle::weights

#endif
