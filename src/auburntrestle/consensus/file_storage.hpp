#ifndef AUBURNTRESTLE_CONSENSUS_FILE_STORAGE_HPP
#define AUBURNTRESTLE_CONSENSUS_FILE_STORAGE_HPP

#include "auburntrestle/consensus/file_operations.hpp"
#include "auburntrestle/consensus/storage.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace auburntrestle::consensus {

/** Limits of a FileStorage. */
struct FileStorageOptions
{
  /** A new segment is created once a segment exceeds this size in bytes. */
  std::size_t m_segmentBytes = std::size_t{ 8 } * 1024 * 1024;
};

/**
 * A storage in one folder with numbered log segments, the hard state and the
 * newest snapshot as files. The format is described in
 * docs/modules/consensus.md.
 */
class FileStorage final : public Storage
{
public:
  /**
   * Opens and locks a folder; creates it if it does not exist.
   *
   * @param aFolder the folder of one member.
   * @param aFiles the file operations; must outlive the storage.
   */
  [[nodiscard]] static tl::expected<std::unique_ptr<FileStorage>, StorageError>
  Open(std::string aFolder,
       FileOperations& aFiles,
       FileStorageOptions aOptions = {});

  ~FileStorage() override;
  FileStorage(const FileStorage&) = delete;
  FileStorage& operator=(const FileStorage&) = delete;
  FileStorage(FileStorage&&) = delete;
  FileStorage& operator=(FileStorage&&) = delete;

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

private:
  using Result = tl::expected<void, StorageError>;
  /** The highest index of the entries of each segment, by segment number. */
  using Segments = std::map<std::uint64_t, LogIndex>;

  struct StoredSnapshot
  {
    Snapshot m_snapshot;
    /** Segments with a lower number are not part of the log. */
    std::uint64_t m_firstSegment = 0;
  };

  FileStorage(std::string aFolder,
              FileOperations& aFiles,
              FileStorageOptions aOptions);

  [[nodiscard]] std::string Path(std::string_view aName) const;
  [[nodiscard]] std::string SegmentPath(std::uint64_t aNumber) const;
  [[nodiscard]] tl::unexpected<StorageError> Fail(StorageErrorKind aKind,
                                                  const std::string& aFile,
                                                  int aSystemError,
                                                  std::uint64_t aOffset = 0);
  [[nodiscard]] Result CheckUsable() const;

  [[nodiscard]] tl::expected<std::optional<std::string>, StorageError>
  ReadVerified(std::string_view aName);
  [[nodiscard]] tl::expected<std::optional<HardState>, StorageError>
  LoadHardStateFile();
  [[nodiscard]] tl::expected<std::optional<StoredSnapshot>, StorageError>
  LoadSnapshotFile();
  [[nodiscard]] Result LoadSegment(std::uint64_t aNumber,
                                   bool aIsLast,
                                   RecoveredState& aRecovered);
  [[nodiscard]] Result LoadRecord(const std::string& aPath,
                                  std::uint64_t aOffset,
                                  std::string_view aPayload,
                                  std::uint64_t aNumber,
                                  RecoveredState& aRecovered);
  [[nodiscard]] Result TruncateTornRecord(const std::string& aPath,
                                          std::uint64_t aOffset,
                                          std::uint64_t aSize,
                                          RecoveredState& aRecovered);
  [[nodiscard]] Result ReplaceFile(std::string_view aName,
                                   const std::string& aContents);
  [[nodiscard]] Result WriteSnapshot(const Snapshot& aSnapshot,
                                     std::uint64_t aFirstSegment);
  [[nodiscard]] Result WriteRecord();
  [[nodiscard]] Result CreateSegment(std::uint64_t aNumber);
  [[nodiscard]] Result OpenSegment(std::uint64_t aNumber);
  [[nodiscard]] Result RemoveSegmentsBelow(std::uint64_t aNumber);
  void CloseSegment() noexcept;

  std::string m_folder;
  FileOperations* m_files;
  FileStorageOptions m_options;
  int m_lock = -1;
  int m_segment = -1;
  std::uint64_t m_segmentNumber = 0;
  std::uint64_t m_segmentSize = 0;
  /** Segments with a lower number, and snapshots that refer to such a segment,
   * are from before the last reset and are ignored. */
  std::uint64_t m_firstValidSegment = 0;
  Segments m_segments;
  /** Encoded entries that the next Sync writes as one record, after space for
   * its header; empty if there are none. */
  std::string m_pendingBytes;
  LogIndex m_pendingLast;
  bool m_failed = false;
};

} // namespace auburntrestle::consensus

#endif
