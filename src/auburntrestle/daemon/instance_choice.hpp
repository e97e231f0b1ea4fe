#ifndef AUBURNTRESTLE_DAEMON_INSTANCE_CHOICE_HPP
#define AUBURNTRESTLE_DAEMON_INSTANCE_CHOICE_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/random.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace auburntrestle::daemon {

/** The capacity that an instance advertises for one model or service. */
struct InstanceOffer
{
  InstanceId m_instance;
  /** ip:port of its HTTP interface. */
  std::string m_address;
  std::uint32_t m_freeSlots = 0;
  bool m_sameDataCentre = true;
};

/** Input of ChooseInstance. */
struct ChoiceInput
{
  /** This instance owns a backend server for the target. */
  bool m_servesLocally = false;
  std::uint32_t m_localFreeSlots = 0;
  /** Requests that wait for a slot on this instance. */
  std::size_t m_localWaiting = 0;
  /** Other instances, except those that have been tried already. */
  std::span<const InstanceOffer> m_others;
};

/**
 * Chooses the instance that runs a request, in this order: this instance if it
 * has free slots; the one with more free slots of two random instances that
 * have any, first in this data centre and then in others; the queue of this
 * instance; any instance that serves the target.
 *
 * @return an index of m_others, or nothing for this instance.
 */
[[nodiscard]] std::optional<std::size_t> ChooseInstance(
  const ChoiceInput& aInput,
  RandomSource& aRandom);

} // namespace auburntrestle::daemon

#endif
