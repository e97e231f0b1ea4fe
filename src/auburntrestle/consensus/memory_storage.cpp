#include "auburntrestle/consensus/memory_storage.hpp"

#include <algorithm>
#include <utility>

namespace auburntrestle::consensus {

namespace {

void EraseFrom(std::vector<Entry>& aEntries, LogIndex aIndex)
{
  std::erase_if(aEntries,
                [&](const Entry& aEntry) { return aEntry.m_index >= aIndex; });
}

void EraseUpTo(std::vector<Entry>& aEntries, LogIndex aIndex)
{
  std::erase_if(aEntries,
                [&](const Entry& aEntry) { return aEntry.m_index <= aIndex; });
}

} // namespace

MemoryStorage::MemoryStorage(Contents aContents)
  : m_synced(std::move(aContents))
{
}

void MemoryStorage::FailAfter(std::size_t aOperations, StorageError aError)
{
  m_operationsUntilFailure = aOperations;
  m_error = std::move(aError);
}

tl::expected<void, StorageError> MemoryStorage::CountOperation()
{
  if (m_operationsUntilFailure) {
    if (*m_operationsUntilFailure == 0) {
      return tl::unexpected(m_error);
    }
    --*m_operationsUntilFailure;
  }
  return {};
}

tl::expected<RecoveredState, StorageError> MemoryStorage::Load()
{
  m_appended.clear();
  return RecoveredState{
    m_synced.m_hardState, m_synced.m_snapshot, m_synced.m_entries, std::nullopt
  };
}

tl::expected<void, StorageError> MemoryStorage::SaveHardState(
  const HardState& aState)
{
  return CountOperation().map([&] { m_synced.m_hardState = aState; });
}

tl::expected<void, StorageError> MemoryStorage::Append(
  std::span<const Entry> aEntries)
{
  return CountOperation().map([&] {
    m_appended.insert(m_appended.end(), aEntries.begin(), aEntries.end());
  });
}

tl::expected<void, StorageError> MemoryStorage::Sync()
{
  return CountOperation().map([&] {
    ++m_syncCount;
    for (Entry& entry : m_appended) {
      EraseFrom(m_synced.m_entries, entry.m_index);
      m_synced.m_entries.push_back(std::move(entry));
    }
    m_appended.clear();
  });
}

tl::expected<void, StorageError> MemoryStorage::SaveSnapshot(
  const Snapshot& aSnapshot,
  LogSuffix aSuffix)
{
  return CountOperation().map([&] {
    m_synced.m_snapshot = aSnapshot;
    if (aSuffix == LogSuffix::Discard) {
      m_synced.m_entries.clear();
      m_appended.clear();
    }
    EraseUpTo(m_synced.m_entries, aSnapshot.m_position.m_index);
    EraseUpTo(m_appended, aSnapshot.m_position.m_index);
  });
}

tl::expected<Snapshot, StorageError> MemoryStorage::ReadSnapshot()
{
  return CountOperation().map(
    [&] { return m_synced.m_snapshot.value_or(Snapshot{}); });
}

tl::expected<void, StorageError> MemoryStorage::Reset(const HardState& aState)
{
  return CountOperation().map([&] {
    m_synced = Contents{ aState, std::nullopt, {} };
    m_appended.clear();
  });
}

} // namespace auburntrestle::consensus
