#ifndef AUBURNTRESTLE_WEIGHTS_ACTIONS_HPP
#define AUBURNTRESTLE_WEIGHTS_ACTIONS_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/weights/types.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace auburntrestle::weights {

enum class OrderKind : std::uint8_t
{
  LoadVersion,
  LoadModel,
  LoadAdapter,
  ChangeRole,
  /**
   * Sent only when the placement goal no longer includes weights that an engine
   * holds.
   */
  Unload,
};

/** Sends an order to an engine. */
struct SendOrder
{
  BackendId m_backend;
  OrderId m_order;
  OrderKind m_kind = OrderKind::LoadVersion;
  /** Unset for ChangeRole. */
  WeightKey m_weights;
  WeightVersion m_version;
  /** Set for ChangeRole. */
  std::string m_role;
  Fencing m_fencing;
};

/** Reads an engine's state. */
struct ReadState
{
  BackendId m_backend;
  ReadId m_read;
};

/**
 * Sets whether routing may send new work to an engine. Engines are in service
 * until the first such action.
 */
struct SetInService
{
  BackendId m_backend;
  bool m_inService = true;
};

using Action = std::variant<SendOrder, ReadState, SetInService>;

} // namespace auburntrestle::weights

#endif
