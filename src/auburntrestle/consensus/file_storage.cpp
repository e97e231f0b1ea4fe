#include "auburntrestle/consensus/file_storage.hpp"

#include "auburntrestle/consensus/internal/encoding.hpp"
#include "auburntrestle/consensus/internal/record.hpp"
#include "auburntrestle/consensus/internal/storage_format.hpp"

#include <cerrno>
#include <utility>

namespace auburntrestle::consensus {

namespace {

using internal::ChecksumOf;
using internal::Encoder;
using internal::kFileMagic;
using internal::kHardStateFile;
using internal::kLockFile;
using internal::kSnapshotFile;
using internal::kTemporarySuffix;
using internal::WriteErrorKind;

} // namespace

FileStorage::FileStorage(std::string aFolder,
                         FileOperations& aFiles,
                         FileStorageOptions aOptions)
  : m_folder(std::move(aFolder))
  , m_files(&aFiles)
  , m_options(aOptions)
{
}

FileStorage::~FileStorage()
{
  CloseSegment();
  if (m_lock >= 0) {
    m_files->Close(m_lock);
  }
}

tl::expected<std::unique_ptr<FileStorage>, StorageError> FileStorage::Open(
  std::string aFolder,
  FileOperations& aFiles,
  FileStorageOptions aOptions)
{
  std::unique_ptr<FileStorage> storage(
    new FileStorage(std::move(aFolder), aFiles, aOptions));
  if (auto made = aFiles.CreateFolder(storage->m_folder); !made) {
    return storage->Fail(
      WriteErrorKind(made.error()), storage->m_folder, made.error());
  }
  const std::string lockPath = storage->Path(kLockFile);
  const auto lock = aFiles.Lock(lockPath);
  if (!lock) {
    const StorageErrorKind kind = lock.error() == EWOULDBLOCK
                                    ? StorageErrorKind::Locked
                                    : WriteErrorKind(lock.error());
    return storage->Fail(kind, lockPath, lock.error());
  }
  storage->m_lock = *lock;
  return storage;
}

std::string FileStorage::Path(std::string_view aName) const
{
  std::string path = m_folder;
  path += '/';
  path += aName;
  return path;
}

tl::unexpected<StorageError> FileStorage::Fail(StorageErrorKind aKind,
                                               const std::string& aFile,
                                               int aSystemError,
                                               std::uint64_t aOffset)
{
  m_failed = true;
  return tl::unexpected(StorageError{ aKind, aFile, aOffset, aSystemError });
}

FileStorage::Result FileStorage::CheckUsable() const
{
  if (m_failed) {
    return tl::unexpected(
      StorageError{ StorageErrorKind::Failed, m_folder, 0, 0 });
  }
  return {};
}

FileStorage::Result FileStorage::ReplaceFile(std::string_view aName,
                                             const std::string& aContents)
{
  std::string bytes;
  Encoder encoder(bytes);
  encoder.WriteUint64(kFileMagic);
  encoder.WriteUint64(aContents.size());
  encoder.WriteUint64(ChecksumOf(aContents));
  bytes += aContents;
  const std::string path = Path(aName);
  const std::string temporary = path + std::string(kTemporarySuffix);
  const auto descriptor = m_files->OpenToAppend(temporary, true);
  if (!descriptor) {
    return Fail(
      WriteErrorKind(descriptor.error()), temporary, descriptor.error());
  }
  const auto written = m_files->Write(*descriptor, bytes);
  const auto synced =
    written ? m_files->Sync(*descriptor) : tl::expected<void, int>{};
  m_files->Close(*descriptor);
  if (!written) {
    return Fail(WriteErrorKind(written.error()), temporary, written.error());
  }
  if (!synced) {
    return Fail(StorageErrorKind::SyncFailed, temporary, synced.error());
  }
  if (auto renamed = m_files->Rename(temporary, path); !renamed) {
    return Fail(WriteErrorKind(renamed.error()), path, renamed.error());
  }
  if (auto folder = m_files->SyncFolder(m_folder); !folder) {
    return Fail(StorageErrorKind::SyncFailed, m_folder, folder.error());
  }
  return {};
}

FileStorage::Result FileStorage::SaveHardState(const HardState& aState)
{
  if (auto usable = CheckUsable(); !usable) {
    return usable;
  }
  std::string contents;
  Encoder encoder(contents);
  encoder.WriteUint64(aState.m_term.Get());
  encoder.WriteUint8(aState.m_vote ? 1 : 0);
  encoder.WriteIdentity(aState.m_vote.value_or(MemberIdentity{}));
  encoder.WriteUint64(aState.m_incarnation.Get());
  encoder.WriteUint64(aState.m_boot.Get());
  encoder.WriteUint64(m_firstValidSegment);
  return ReplaceFile(kHardStateFile, contents);
}

FileStorage::Result FileStorage::WriteSnapshot(const Snapshot& aSnapshot,
                                               std::uint64_t aFirstSegment)
{
  std::string contents;
  Encoder encoder(contents);
  encoder.WriteUint64(aFirstSegment);
  encoder.WriteUint64(aSnapshot.m_position.m_term.Get());
  encoder.WriteUint64(aSnapshot.m_position.m_index.Get());
  encoder.WriteConfiguration(aSnapshot.m_configuration);
  contents += aSnapshot.m_state;
  return ReplaceFile(kSnapshotFile, contents);
}

tl::expected<Snapshot, StorageError> FileStorage::ReadSnapshot()
{
  if (auto usable = CheckUsable(); !usable) {
    return tl::unexpected(usable.error());
  }
  auto stored = LoadSnapshotFile();
  if (!stored) {
    return tl::unexpected(stored.error());
  }
  if (!*stored) {
    return Fail(StorageErrorKind::ReadFailed, Path(kSnapshotFile), ENOENT);
  }
  return std::move((*stored)->m_snapshot);
}

FileStorage::Result FileStorage::SaveSnapshot(const Snapshot& aSnapshot,
                                              LogSuffix aSuffix)
{
  if (auto usable = CheckUsable(); !usable) {
    return usable;
  }
  std::uint64_t first = m_segmentNumber;
  if (aSuffix == LogSuffix::Discard) {
    m_pendingBytes.clear();
    m_pendingLast = LogIndex(0);
    first = m_segmentNumber + 1;
    if (auto created = CreateSegment(first); !created) {
      return created;
    }
  } else {
    for (const auto& [number, last] : m_segments) {
      if (last > aSnapshot.m_position.m_index) {
        first = number;
        break;
      }
    }
  }
  if (auto written = WriteSnapshot(aSnapshot, first); !written) {
    return written;
  }
  return RemoveSegmentsBelow(first);
}

FileStorage::Result FileStorage::Reset(const HardState& aState)
{
  if (auto usable = CheckUsable(); !usable) {
    return usable;
  }
  m_pendingBytes.clear();
  m_pendingLast = LogIndex(0);
  const std::uint64_t first = m_segmentNumber + 1;
  if (auto created = CreateSegment(first); !created) {
    return created;
  }
  // Once saved with the hard state, this makes Load ignore the old snapshot and
  // segments.
  m_firstValidSegment = first;
  if (auto saved = SaveHardState(aState); !saved) {
    return saved;
  }
  const std::string path = Path(kSnapshotFile);
  if (auto done = m_files->Remove(path); !done && done.error() != ENOENT) {
    return Fail(WriteErrorKind(done.error()), path, done.error());
  }
  return RemoveSegmentsBelow(first);
}

} // namespace auburntrestle::consensus
