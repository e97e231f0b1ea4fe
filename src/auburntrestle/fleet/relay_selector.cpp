#include "auburntrestle/fleet/relay_selector.hpp"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <tuple>
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
  std::erase_if(m_records, [this](const auto& aItem) {
    return std::none_of(
      m_relays.begin(), m_relays.end(), [&aItem](const Relay& aRelay) {
        return aRelay.m_instance == aItem.first;
      });
  });
}

RelaySelector::Place RelaySelector::PlaceOf(const Relay& aRelay) const
{
  const std::string pair = m_self.Get() + " " + aRelay.m_instance.Get();
  return { aRelay.m_dataCentre == m_home, XXH64(pair.data(), pair.size(), 0) };
}

RelaySelector::Record RelaySelector::RecordOf(const Relay& aRelay) const
{
  const auto found = m_records.find(aRelay.m_instance);
  return found == m_records.end() ? Record{} : found->second;
}

bool RelaySelector::IsUsable(const Relay& aRelay, TimePoint aNow) const
{
  return aRelay.m_instance != m_self && RecordOf(aRelay).m_avoidUntil <= aNow;
}

const Relay* RelaySelector::Best(TimePoint aNow) const
{
  const auto preference = [this](const Relay& aRelay) {
    const Record record = RecordOf(aRelay);
    return std::tuple(record.m_lastSucceeded,
                      -static_cast<std::int64_t>(record.m_failures),
                      PlaceOf(aRelay));
  };
  const Relay* best = nullptr;
  for (const Relay& relay : m_relays) {
    if (IsUsable(relay, aNow) &&
        (best == nullptr || preference(relay) > preference(*best))) {
      best = &relay;
    }
  }
  return best;
}

std::optional<InstanceId> RelaySelector::Select(TimePoint aNow) const
{
  const Relay* best = Best(aNow);
  return best == nullptr ? std::nullopt : std::optional(best->m_instance);
}

std::optional<InstanceId> RelaySelector::SelectProbe(TimePoint aNow) const
{
  const Relay* selected = Best(aNow);
  const Relay* probe = selected;
  for (const Relay& relay : m_relays) {
    if (IsUsable(relay, aNow) && PlaceOf(relay) > PlaceOf(*probe)) {
      probe = &relay;
    }
  }
  return probe == selected ? std::nullopt : std::optional(probe->m_instance);
}

void RelaySelector::RecordFailure(const InstanceId& aRelay, TimePoint aNow)
{
  Record& record = m_records[aRelay];
  constexpr std::uint32_t kMaxDoublings = 4;
  const auto factor = 1U << std::min(record.m_failures, kMaxDoublings);
  ++record.m_failures;
  record.m_lastSucceeded = false;
  record.m_avoidUntil = aNow + std::min(kMinBackoff * factor, kMaxBackoff);
}

void RelaySelector::RecordSuccess(const InstanceId& aRelay)
{
  m_records[aRelay] = Record{ true, 0, {} };
}

} // namespace auburntrestle::fleet
