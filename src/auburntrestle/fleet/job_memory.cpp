#include "auburntrestle/fleet/job_memory.hpp"

#include <numeric>

namespace auburntrestle::fleet {

namespace {

/** Strings up to this size need no allocation. */
constexpr std::size_t kInlineStringBytes = 15;
/** What an allocation takes beside its contents. */
constexpr std::size_t kAllocationBytes = 16;
/** An entry of the index of items, and its share of the buckets. */
constexpr std::size_t kIndexEntryBytes =
  sizeof(std::pair<const ItemId, std::size_t>) + 2 * sizeof(void*) +
  kAllocationBytes + sizeof(void*);

std::size_t HeapBytes(const std::string& aText)
{
  return aText.size() > kInlineStringBytes ? aText.size() + kAllocationBytes
                                           : 0;
}

/** @return the bytes of a body that stays in memory in the state. */
std::size_t InlineBytes(const std::string& aBody)
{
  return aBody.size() > kMaxInlineBodyBytes ? 0 : HeapBytes(aBody);
}

/** @return the bytes of an item without bodies. */
std::size_t MemoryWithoutBodies(const JobItem& aItem)
{
  std::size_t bytes = sizeof(JobItem) + HeapBytes(aItem.m_id.Get()) +
                      HeapBytes(aItem.m_path) + HeapBytes(aItem.m_group.Get());
  for (const auto& [name, value] : aItem.m_headers) {
    bytes += sizeof(std::pair<std::string, std::string>) + HeapBytes(name) +
             HeapBytes(value);
  }
  if (aItem.m_reward) {
    bytes += HeapBytes(aItem.m_reward->m_id.Get()) +
             HeapBytes(aItem.m_reward->m_host) +
             HeapBytes(aItem.m_reward->m_path);
  }
  return bytes;
}

std::size_t MemoryOfResult(const ItemId& aId)
{
  return sizeof(StoredResult) + HeapBytes(aId.Get()) + kAllocationBytes +
         sizeof(WeightVersion);
}

} // namespace

std::size_t MemoryOf(const JobItem& aItem)
{
  const std::size_t rewardBody =
    aItem.m_reward ? HeapBytes(aItem.m_reward->m_body) : 0;
  return MemoryWithoutBodies(aItem) + HeapBytes(aItem.m_body) + rewardBody;
}

std::size_t MemoryOf(const std::vector<JobItem>& aItems)
{
  return std::accumulate(aItems.begin(),
                         aItems.end(),
                         std::size_t{ 0 },
                         [](std::size_t aSum, const JobItem& aItem) {
                           return aSum + MemoryOf(aItem);
                         });
}

std::size_t MemoryInState(const JobSpec& aSpec)
{
  std::size_t bytes = sizeof(Job) + sizeof(JobSpec);
  for (const auto& item : aSpec.m_items) {
    bytes += MemoryWithoutBodies(item) + InlineBytes(item.m_body) +
             kIndexEntryBytes + HeapBytes(item.m_id.Get()) +
             MemoryOfResult(item.m_id);
    if (item.m_reward) {
      bytes += InlineBytes(item.m_reward->m_body);
    }
  }
  return bytes;
}

std::size_t MemoryOf(const std::vector<StoredResult>& aResults)
{
  std::size_t bytes = sizeof(Job);
  for (const auto& result : aResults) {
    bytes += MemoryOfResult(result.m_id);
  }
  return bytes;
}

} // namespace auburntrestle::fleet
