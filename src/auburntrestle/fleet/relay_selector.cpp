#include "auburntrestle/fleet/relay_selector.hpp"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>

namespace auburntrestle::fleet {

namespace {

constexpr Duration kMinBackoff = std::chrono::milliseconds(500);
constexpr Duration kMaxBackoff = std::chrono::seconds(8);

} // namespace

RelaySelector::RelaySelector(InstanceId aSelf, DataCentreId aHome)
  : m_self(std::move(aSelf))
  , m_home(std::move(aHome))
{
}

void RelaySelector::SetRelays(std::vector<Relay> aRelays)
{
  m_relays = std::move(aRelays);
  std::erase_if(m_backoffs, [this](const auto& aItem) {
    return std::none_of(
      m_relays.begin(), m_relays.end(), [&aItem](const Relay& aRelay) {
        return aRelay.m_instance == aItem.first;
      });
  });
}

std::uint64_t RelaySelector::RankOf(const Relay& aRelay) const
{
  const std::string pair = m_self.Get() + " " + aRelay.m_instance.Get();
  return XXH64(pair.data(), pair.size(), 0);
}

std::optional<InstanceId> RelaySelector::Select(TimePoint aNow) const
{
  const Relay* best = nullptr;
  std::pair<bool, std::uint64_t> bestRank;
  for (const Relay& relay : m_relays) {
    const auto backoff = m_backoffs.find(relay.m_instance);
    if (relay.m_instance == m_self ||
        (backoff != m_backoffs.end() && backoff->second.m_avoidUntil > aNow)) {
      continue;
    }
    const std::pair rank(relay.m_dataCentre == m_home, RankOf(relay));
    if (best == nullptr || rank > bestRank) {
      best = &relay;
      bestRank = rank;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->m_instance);
}

void RelaySelector::RecordFailure(const InstanceId& aRelay, TimePoint aNow)
{
  Backoff& backoff = m_backoffs[aRelay];
  constexpr std::uint32_t kMaxDoublings = 4;
  const auto factor = 1U << std::min(backoff.m_failures, kMaxDoublings);
  ++backoff.m_failures;
  backoff.m_avoidUntil = aNow + std::min(kMinBackoff * factor, kMaxBackoff);
}

void RelaySelector::RecordSuccess(const InstanceId& aRelay)
{
  m_backoffs.erase(aRelay);
}

} // namespace auburntrestle::fleet
