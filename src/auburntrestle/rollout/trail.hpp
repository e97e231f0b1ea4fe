#ifndef AUBURNTRESTLE_ROLLOUT_TRAIL_HPP
#define AUBURNTRESTLE_ROLLOUT_TRAIL_HPP

#include "auburntrestle/core/ids.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace auburntrestle::rollout {

/** Consecutive tokens that one weight version generated. */
struct VersionSpan
{
  WeightVersion m_version;
  TokenCount m_tokens;

  friend bool operator==(const VersionSpan&, const VersionSpan&) = default;
};

/** The weight versions that generated a sample, in order of generation. */
using Trail = std::vector<VersionSpan>;

/** Appends tokens to a trail; extends the last span if the version is equal. */
void AppendTokens(Trail& aTrail, WeightVersion aVersion, TokenCount aTokens);

/** @return the oldest version of a trail, or nothing if it is empty. */
[[nodiscard]] std::optional<WeightVersion> OldestVersion(const Trail& aTrail);

/**
 * @return the number of versions by which the oldest version of a trail is
 * behind the newest published version; 0 if it is ahead.
 */
[[nodiscard]] std::uint64_t Staleness(WeightVersion aNewest,
                                      WeightVersion aOldest) noexcept;

} // namespace auburntrestle::rollout

#endif
