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
  /** When this instance must stop, on any clock within the drift bound. */
  TimePoint m_until;
  /** Until when the lease of an earlier holder could have been in force;
   * TimePoint::min() when there was no earlier holder. */
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

/** The lease of an engine's announcement has ended. */
struct EngineRemoved
{
  BackendId m_backend;
};

enum class OrderResult : std::uint8_t
{
  Done,
  /** The engine has seen an order with a higher fencing number. */
  StaleFencing,
  /** The order failed partway. */
  SwapFailed,
  /** The engine was not reached; the order did not begin. */
  NotRun,
  /** No answer; the order may have been carried out, wholly or in part. */
  Unknown,
};

struct OrderResultReceived
{
  BackendId m_backend;
  OrderId m_order;
  OrderResult m_result = OrderResult::Unknown;
};

/** The state that an engine gave when asked for it. */
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

/** The weight store has refused a load and names the time to wait. */
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
