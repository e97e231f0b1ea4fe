#ifndef AUBURNTRESTLE_FLEET_JOB_MEMORY_HPP
#define AUBURNTRESTLE_FLEET_JOB_MEMORY_HPP

#include "auburntrestle/fleet/job.hpp"

#include <cstddef>

/** What jobs take in memory. A short item takes many times its bytes on the
 * wire, so limits on jobs count memory. */
namespace auburntrestle::fleet {

/** @return the bytes that a decoded item takes, with its allocations. */
[[nodiscard]] std::size_t MemoryOf(const JobItem& aItem);

/** @return the bytes that decoded items take; encoded, they are shorter. */
[[nodiscard]] std::size_t MemoryOf(const std::vector<JobItem>& aItems);

/** @return the bytes that a job takes in the state: its items, their index, and
 * the entries of their results. Bodies that the state stores in files do not
 * count. */
[[nodiscard]] std::size_t MemoryInState(const JobSpec& aSpec);

/** @return the bytes that the results of an ended job take in the state. */
[[nodiscard]] std::size_t MemoryOf(const std::vector<StoredResult>& aResults);

} // namespace auburntrestle::fleet

#endif
