#ifndef AUBURNTRESTLE_FLEET_BACKEND_RECORD_HPP
#define AUBURNTRESTLE_FLEET_BACKEND_RECORD_HPP

#include "auburntrestle/core/ids.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace auburntrestle::fleet {

/** Whether a backend server accepts new work. */
enum class BackendState : std::uint8_t
{
  Serving,
  /** Completes its work and accepts no more. */
  Leaving,
  /** Has left. The record is kept so that a late heartbeat does not restore
   * it. */
  Removed,
};

/** One process of a backend server. */
struct BackendProcess
{
  BackendId m_id;
  Incarnation m_incarnation;

  friend auto operator<=>(const BackendProcess&,
                          const BackendProcess&) = default;
};

/** The announcement of a backend server. */
struct BackendRecord
{
  BackendId m_id;
  ServiceName m_service;
  /** ip:port. */
  std::string m_address;
  DataCentreId m_dataCentre;
  std::uint32_t m_slots = 1;
  BackendState m_state = BackendState::Serving;
  /** Start of this process of the backend server; a later one supersedes it. */
  Incarnation m_incarnation;
  /** The number of the announcement within the incarnation. */
  std::uint64_t m_sequence = 0;
  /** May be taken away at short notice. Set when the process is first
   * announced; not part of HasSameRouting, so that members of both builds apply
   * the same changes. */
  bool m_preemptible = false;
  /** Set when the process is first announced, like m_preemptible. */
  SoftwareVersion m_software;

  [[nodiscard]] BackendProcess Process() const
  {
    return { m_id, m_incarnation };
  }

  /** @return whether all fields that routing depends on are equal. */
  [[nodiscard]] bool HasSameRouting(const BackendRecord& aOther) const
  {
    return m_id == aOther.m_id && m_service == aOther.m_service &&
           m_address == aOther.m_address && m_slots == aOther.m_slots &&
           m_dataCentre == aOther.m_dataCentre && m_state == aOther.m_state &&
           m_incarnation == aOther.m_incarnation;
  }
};

} // namespace auburntrestle::fleet

#endif
