#include "auburntrestle/fleet/memory_limits.hpp"

#include <sys/resource.h>
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

/** What the jobs of a busy deployment take is a small part of it. */
constexpr double kStoredJobShare = 0.25;
constexpr std::uint64_t kMaxStoredJobBytes = 256 * kMebibyte;
/** A reply is held twice or three times while it is made or read. */
constexpr double kReplyShare = 0.1;
constexpr std::uint64_t kMinReplyBytes = 4 * kMebibyte;
constexpr std::uint64_t kMaxReplyBytes = 32 * kMebibyte;

/** An ordinary connection holds 5 KiB, so that these suffice for thousands. */
constexpr double kConnectionShare = 0.2;
constexpr std::uint64_t kMinConnectionBytes = 4 * kMebibyte;
constexpr std::uint64_t kMaxConnectionBytes = 64 * kMebibyte;
/** The rest of the descriptors is for backend servers, peers and files. */
constexpr double kClientDescriptorShare = 0.6;
/** One configuration of the largest size fits. */
constexpr double kControlBodyShare = 0.2;
constexpr std::uint64_t kMaxControlBodyBytes = 34 * kMebibyte;

std::uint64_t Share(std::uint64_t aWhole, double aShare)
{
  return static_cast<std::uint64_t>(static_cast<double>(aWhole) * aShare);
}

std::size_t ShareOf(std::uint64_t aMemoryBytes, double aShare)
{
  return std::clamp(
    Share(aMemoryBytes, aShare), kMinRequestBytes, kMaxRequestBytes);
}

} // namespace

RequestLimits RequestLimitsFor(std::uint64_t aMemoryBytes) noexcept
{
  return {
    ShareOf(aMemoryBytes, kBodyShare),
    ShareOf(aMemoryBytes, kReplicatedJobShare),
    std::clamp(Share(aMemoryBytes, kStoredJobShare),
               kMinRequestBytes,
               kMaxStoredJobBytes),
    std::clamp(Share(aMemoryBytes, kReplyShare), kMinReplyBytes, kMaxReplyBytes)
  };
}

ClientLimits ClientLimitsFor(std::uint64_t aMemoryBytes,
                             std::uint64_t aDescriptors) noexcept
{
  ClientLimits limits;
  limits.m_connectionBytes = std::clamp(Share(aMemoryBytes, kConnectionShare),
                                        kMinConnectionBytes,
                                        kMaxConnectionBytes);
  limits.m_connections = Share(aDescriptors, kClientDescriptorShare);
  limits.m_controlBodyBytes = std::clamp(Share(aMemoryBytes, kControlBodyShare),
                                         kMinRequestBytes,
                                         kMaxControlBodyBytes);
  return limits;
}

std::uint64_t MaxDescriptors() noexcept
{
  rlimit limit{};
  // The minimum that POSIX guarantees.
  constexpr std::uint64_t kUnknown = 20;
  return ::getrlimit(RLIMIT_NOFILE, &limit) == 0
           ? static_cast<std::uint64_t>(limit.rlim_cur)
           : kUnknown;
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
