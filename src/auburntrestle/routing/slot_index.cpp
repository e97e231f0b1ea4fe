#include "auburntrestle/routing/slot_index.hpp"

namespace auburntrestle::routing::internal {

SlotIndex::Groups& SlotIndex::GroupsOf(Tier aTier) noexcept
{
  return m_groups[static_cast<std::size_t>(aTier)];
}

const SlotIndex::Groups& SlotIndex::GroupsOf(Tier aTier) const noexcept
{
  return m_groups[static_cast<std::size_t>(aTier)];
}

void SlotIndex::RemoveFromFreeList(Entry& aEntry)
{
  if (!aEntry.m_freeIndex) {
    return;
  }
  auto& free = GroupsOf(aEntry.m_tier).at(aEntry.m_version).m_free;
  const auto last = free.back();
  free[*aEntry.m_freeIndex] = last;
  m_entries.at(last).m_freeIndex = aEntry.m_freeIndex;
  free.pop_back();
  aEntry.m_freeIndex.reset();
}

void SlotIndex::Set(BackendIndex aBackend,
                    WeightVersion aVersion,
                    Tier aTier,
                    bool aHasFreeSlot)
{
  const auto found = m_entries.find(aBackend);
  if (found != m_entries.end()) {
    auto& entry = found->second;
    const bool sameGroup = entry.m_version == aVersion && entry.m_tier == aTier;
    if (sameGroup && entry.m_freeIndex.has_value() == aHasFreeSlot) {
      return;
    }
    if (!sameGroup) {
      Remove(aBackend);
    } else if (!aHasFreeSlot) {
      RemoveFromFreeList(entry);
      return;
    }
  }
  auto [entry, added] = m_entries.try_emplace(aBackend);
  auto& group = GroupsOf(aTier)[aVersion];
  if (added) {
    entry->second = Entry{ aVersion, aTier, std::nullopt };
    ++group.m_members;
  }
  if (aHasFreeSlot) {
    entry->second.m_freeIndex = group.m_free.size();
    group.m_free.push_back(aBackend);
  }
}

void SlotIndex::Remove(BackendIndex aBackend)
{
  const auto found = m_entries.find(aBackend);
  if (found == m_entries.end()) {
    return;
  }
  auto& entry = found->second;
  RemoveFromFreeList(entry);
  auto& groups = GroupsOf(entry.m_tier);
  const auto group = groups.find(entry.m_version);
  if (--group->second.m_members == 0) {
    groups.erase(group);
  }
  m_entries.erase(found);
}

std::optional<WeightVersion> SlotIndex::NewestFree(Tier aTier) const
{
  const auto& groups = GroupsOf(aTier);
  for (auto group = groups.rbegin(); group != groups.rend(); ++group) {
    if (!group->second.m_free.empty()) {
      return group->first;
    }
  }
  return std::nullopt;
}

std::optional<WeightVersion> SlotIndex::Newest(Tier aTier) const
{
  const auto& groups = GroupsOf(aTier);
  if (groups.empty()) {
    return std::nullopt;
  }
  return groups.rbegin()->first;
}

bool SlotIndex::IsFree(BackendIndex aBackend,
                       WeightVersion aMinVersion,
                       Tier aTier) const
{
  const auto found = m_entries.find(aBackend);
  return found != m_entries.end() && found->second.m_freeIndex &&
         found->second.m_tier == aTier &&
         found->second.m_version >= aMinVersion;
}

std::optional<BackendIndex> SlotIndex::Choose(
  Tier aTier,
  WeightVersion aMinVersion,
  std::optional<BackendIndex> aAvoid,
  const std::function<double(BackendIndex)>& aScore,
  RandomSource& aRandom) const
{
  const auto& groups = GroupsOf(aTier);
  const auto first = groups.lower_bound(aMinVersion);
  std::size_t total = 0;
  for (auto group = first; group != groups.end(); ++group) {
    total += group->second.m_free.size();
  }
  if (total == 0) {
    return std::nullopt;
  }
  const auto at = [&](std::size_t aIndex) {
    auto group = first;
    while (aIndex >= group->second.m_free.size()) {
      aIndex -= group->second.m_free.size();
      ++group;
    }
    return group->second.m_free[aIndex];
  };
  const std::size_t one = aRandom.Below(total);
  // The second draw is from the remaining indices, so that both differ.
  const std::size_t other =
    total == 1 ? one : (one + 1 + aRandom.Below(total - 1)) % total;
  const BackendIndex a = at(one);
  const BackendIndex b = at(other);
  if (aAvoid == a || aAvoid == b) {
    const BackendIndex avoided = *aAvoid;
    const BackendIndex rest = avoided == a ? b : a;
    return rest;
  }
  return aScore(b) < aScore(a) ? b : a;
}

} // namespace auburntrestle::routing::internal
