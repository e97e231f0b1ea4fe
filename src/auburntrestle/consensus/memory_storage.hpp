#ifndef AUBURNTRESTLE_CONSENSUS_MEMORY_STORAGE_HPP
#define AUBURNTRESTLE_CONSENSUS_MEMORY_STORAGE_HPP

#include "auburntrestle/consensus/storage.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace auburntrestle::consensus {

/**
 * A storage in memory. It keeps synced and only appended entries apart, so that
 * a test can discard the latter, as a crash would.
 */
class MemoryStorage final : public Storage
{
public:
  /** The contents of the storage. */
  struct Contents
  {
    std::optional<HardState> m_hardState;
    std::optional<Snapshot> m_snapshot;
    std::vector<Entry> m_entries;
  };

  MemoryStorage() = default;
  /** @param aContents the initial contents, all of them synced. */
  explicit MemoryStorage(Contents aContents);

  [[nodiscard]] tl::expected<RecoveredState, StorageError> Load() override;
  [[nodiscard]] tl::expected<void, StorageError> SaveHardState(
    const HardState& aState) override;
  [[nodiscard]] tl::expected<void, StorageError> Append(
    std::span<const Entry> aEntries) override;
  [[nodiscard]] tl::expected<void, StorageError> Sync() override;
  [[nodiscard]] tl::expected<void, StorageError> SaveSnapshot(
    const Snapshot& aSnapshot,
    LogSuffix aSuffix) override;
  [[nodiscard]] tl::expected<Snapshot, StorageError> ReadSnapshot() override;
  [[nodiscard]] tl::expected<void, StorageError> Reset(
    const HardState& aState) override;

  /** @return the contents that survive a crash. */
  [[nodiscard]] const Contents& SyncedContents() const noexcept
  {
    return m_synced;
  }

  /** @return the number of Sync calls so far. */
  [[nodiscard]] std::size_t SyncCount() const noexcept { return m_syncCount; }

  /** Makes every operation fail after the next `aOperations` operations. */
  void FailAfter(std::size_t aOperations, StorageError aError);

private:
  [[nodiscard]] tl::expected<void, StorageError> CountOperation();

  Contents m_synced;
  std::vector<Entry> m_appended;
  std::size_t m_syncCount = 0;
  std::optional<std::size_t> m_operationsUntilFailure;
  StorageError m_error;
};

} // namespace auburntrestle::consensus

#endif
