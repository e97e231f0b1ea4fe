#include "auburntrestle/rollout/trail.hpp"

#include <algorithm>

namespace auburntrestle::rollout {

void AppendTokens(Trail& aTrail, WeightVersion aVersion, TokenCount aTokens)
{
  if (aTrail.empty() || aTrail.back().m_version != aVersion) {
    aTrail.push_back(VersionSpan{ aVersion, aTokens });
    return;
  }
  TokenCount& tokens = aTrail.back().m_tokens;
  tokens = TokenCount(tokens.Get() + aTokens.Get());
}

std::optional<WeightVersion> OldestVersion(const Trail& aTrail)
{
  const auto oldest =
    std::min_element(aTrail.begin(),
                     aTrail.end(),
                     [](const VersionSpan& aLeft, const VersionSpan& aRight) {
                       return aLeft.m_version < aRight.m_version;
                     });
  if (oldest == aTrail.end()) {
    return std::nullopt;
  }
  return oldest->m_version;
}

std::uint64_t Staleness(WeightVersion aNewest, WeightVersion aOldest) noexcept
{
  return aNewest > aOldest ? aNewest.Get() - aOldest.Get() : 0;
}

} // namespace auburntrestle::rollout
