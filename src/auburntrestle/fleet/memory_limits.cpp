#include "auburntrestle/fleet/memory_limits.hpp"

#include <unistd.h>

#include <algorithm>

namespace auburntrestle::fleet {

namespace {

constexpr std::uint64_t kMebibyte = std::uint64_t{ 1024 } * 1024;
constexpr std::uint64_t kMinResponseBytes = 4 * kMebibyte;
constexpr std::uint64_t kMaxResponseBytes = 32 * kMebibyte;
constexpr std::uint64_t kMinReceivedBytes = 16 * kMebibyte;
constexpr std::uint64_t kMaxReceivedBytes = 256 * kMebibyte;
/** Shares of the memory. Responses in progress are held once or twice. */
constexpr std::uint64_t kResponseDivisor = 16;
constexpr std::uint64_t kReceivedDivisor = 5;

constexpr std::uint64_t kMinRequestBytes = 8 * kMebibyte;
constexpr std::uint64_t kMaxRequestBytes = 64 * kMebibyte;
/** A job is held about two and a half times while it is submitted, as text,
 * decoded and encoded. */
constexpr double kBodyShare = 0.3;
/** The leader holds a job about four times while it is replicated: as an entry,
 * and in the messages to other members. */
constexpr double kReplicatedJobShare = 0.165;

std::size_t ShareOf(std::uint64_t aMemoryBytes, double aShare)
{
  const auto bytes =
    static_cast<std::uint64_t>(static_cast<double>(aMemoryBytes) * aShare);
  return std::clamp(bytes, kMinRequestBytes, kMaxRequestBytes);
}

} // namespace

RequestLimits RequestLimitsFor(std::uint64_t aMemoryBytes) noexcept
{
  return { ShareOf(aMemoryBytes, kBodyShare),
           ShareOf(aMemoryBytes, kReplicatedJobShare) };
}

std::uint64_t MachineMemory() noexcept
{
  const long pages = ::sysconf(_SC_PHYS_PAGES);
  const long pageBytes = ::sysconf(_SC_PAGESIZE);
  return pages > 0 && pageBytes > 0 ? static_cast<std::uint64_t>(pages) *
                                        static_cast<std::uint64_t>(pageBytes)
                                    : 0;
}

ResponseLimits ResponseLimitsFor(std::uint64_t aMemoryBytes) noexcept
{
  return { std::clamp(aMemoryBytes / kResponseDivisor,
                      kMinResponseBytes,
                      kMaxResponseBytes),
           std::clamp(aMemoryBytes / kReceivedDivisor,
                      kMinReceivedBytes,
                      kMaxReceivedBytes) };
}

} // namespace auburntrestle::fleet
