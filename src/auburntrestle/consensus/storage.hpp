#ifndef AUBURNTRESTLE_CONSENSUS_STORAGE_HPP
#define AUBURNTRESTLE_CONSENSUS_STORAGE_HPP

#include "auburntrestle/consensus/types.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace auburntrestle::consensus {

/** The kind of a storage failure. */
enum class StorageErrorKind : std::uint8_t
{
  /** No space is left on the device. */
  DiskFull,
  /** A write or another change of a file failed. */
  WriteFailed,
  /** A file or folder could not be synced. */
  SyncFailed,
  /** A file could not be read. */
  ReadFailed,
  /** A record before the last one, or a snapshot or hard state, is damaged. */
  Corrupt,
  /** Another process holds the lock of the folder. */
  Locked,
  /** An earlier operation failed; the storage accepts no further operation. */
  Failed,
};

/** @return the stable name of a kind, such as "disk_full". */
[[nodiscard]] std::string_view ToString(StorageErrorKind aKind) noexcept;

/** A failure of a storage. */
struct StorageError
{
  StorageErrorKind m_kind = StorageErrorKind::Failed;
  /** The file or folder; empty for a storage without files. */
  std::string m_file;
  /** The offset in the file in bytes, or 0 if unknown. */
  std::uint64_t m_offset = 0;
  /** The errno value, or 0. */
  int m_systemError = 0;

  friend bool operator==(const StorageError&, const StorageError&) = default;
};

/** @return a one-line description with the file and the offset. */
[[nodiscard]] std::string Describe(const StorageError& aError);

/** An incomplete last record, removed during recovery. */
struct TornRecord
{
  std::string m_file;
  /** The offset of the start of the record in bytes. */
  std::uint64_t m_offset = 0;
  /** The number of bytes removed. */
  std::uint64_t m_bytes = 0;

  friend bool operator==(const TornRecord&, const TornRecord&) = default;
};

/** The contents of a storage when it is opened. */
struct RecoveredState
{
  /** Absent if nothing was ever stored. */
  std::optional<HardState> m_hardState;
  std::optional<Snapshot> m_snapshot;
  /** The contiguous entries after the snapshot. */
  std::vector<Entry> m_entries;
  std::optional<TornRecord> m_tornRecord;
};

/** Whether the entries after a saved snapshot are kept. */
enum class LogSuffix : std::uint8_t
{
  Keep,
  Discard,
};

/**
 * Stores the hard state, log and snapshot of a member. An operation is durable
 * once it has returned success, except for Append, which needs a successful
 * Sync. After an error every operation fails.
 */
class Storage
{
public:
  Storage() = default;
  Storage(const Storage&) = delete;
  Storage& operator=(const Storage&) = delete;
  Storage(Storage&&) = delete;
  Storage& operator=(Storage&&) = delete;
  virtual ~Storage() = default;

  /** Reads the contents; called once, before any other operation. */
  [[nodiscard]] virtual tl::expected<RecoveredState, StorageError> Load() = 0;

  /** Replaces the hard state durably. */
  [[nodiscard]] virtual tl::expected<void, StorageError> SaveHardState(
    const HardState& aState) = 0;

  /**
   * Appends entries. Their first index is at most one above the last stored
   * index; stored entries from the first index on are replaced.
   */
  [[nodiscard]] virtual tl::expected<void, StorageError> Append(
    std::span<const Entry> aEntries) = 0;

  /** Makes all appended entries durable. */
  [[nodiscard]] virtual tl::expected<void, StorageError> Sync() = 0;

  /**
   * Replaces the snapshot durably, then discards entries up to its position.
   *
   * @param aSuffix whether entries after the snapshot are kept.
   */
  [[nodiscard]] virtual tl::expected<void, StorageError> SaveSnapshot(
    const Snapshot& aSnapshot,
    LogSuffix aSuffix) = 0;

  /** @return the snapshot, which must exist. */
  [[nodiscard]] virtual tl::expected<Snapshot, StorageError> ReadSnapshot() = 0;

  /** Durably removes the log and the snapshot and replaces the hard state. */
  [[nodiscard]] virtual tl::expected<void, StorageError> Reset(
    const HardState& aState) = 0;
};

} // namespace auburntrestle::consensus

#endif
