#ifndef AUBURNTRESTLE_FLEET_MEMORY_LIMITS_HPP
#define AUBURNTRESTLE_FLEET_MEMORY_LIMITS_HPP

#include <cstddef>
#include <cstdint>

namespace auburntrestle::fleet {

/** Limits on what responses of backend servers may occupy in memory. */
struct ResponseLimits
{
  /** Maximum bytes of one response. */
  std::size_t m_responseBytes = 0;
  /** Maximum bytes of all responses in progress together. */
  std::size_t m_receivedBytes = 0;

  friend bool operator==(const ResponseLimits&,
                         const ResponseLimits&) = default;
};

/** Limits on what large requests of callers may occupy in memory. */
struct RequestLimits
{
  /** Maximum bytes of all large request bodies that an entry instance receives
   * or processes at a time. */
  std::size_t m_bodyBytes = 0;
  /** Maximum encoded bytes of the jobs that a leader replicates at a time. */
  std::size_t m_replicatedJobBytes = 0;
  /** Maximum bytes that all jobs take in the memory of a store. */
  std::size_t m_storedJobBytes = 0;
  /** Maximum bytes of replies to reads of jobs: at a leader, of those that wait
   * to be sent; at an entry instance, of those that wait to be handled. */
  std::size_t m_replyBytes = 0;

  friend bool operator==(const RequestLimits&, const RequestLimits&) = default;
};

/** Limits on what all clients of an instance may use together. */
struct ClientLimits
{
  /** Bytes held for connections, without large bodies. */
  std::size_t m_connectionBytes = 0;
  std::size_t m_connections = 0;
  /** Maximum bytes of all large bodies at the control address of a store. */
  std::size_t m_controlBodyBytes = 0;

  friend bool operator==(const ClientLimits&, const ClientLimits&) = default;
};

/** @return the descriptors that this process may open. */
[[nodiscard]] std::uint64_t MaxDescriptors() noexcept;

/** @return the memory of this machine in bytes, or 0 if it is unknown. */
[[nodiscard]] std::uint64_t MachineMemory() noexcept;

/** @return the limits for a machine with this much memory; for unknown memory
 * (0) the smallest ones. */
[[nodiscard]] ResponseLimits ResponseLimitsFor(
  std::uint64_t aMemoryBytes) noexcept;
[[nodiscard]] RequestLimits RequestLimitsFor(
  std::uint64_t aMemoryBytes) noexcept;
[[nodiscard]] ClientLimits ClientLimitsFor(std::uint64_t aMemoryBytes,
                                           std::uint64_t aDescriptors) noexcept;

} // namespace auburntrestle::fleet

#endif
