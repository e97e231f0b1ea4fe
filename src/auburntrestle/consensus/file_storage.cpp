#include "auburntrestle/consensus/file_storage.hpp"

#include "auburntrestle/consensus/internal/encoding.hpp"
#include "auburntrestle/consensus/internal/record.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <utility>

namespace auburntrestle::consensus {

namespace {

using internal::ChecksumOf;
using internal::Decoder;
using internal::Encoder;
using internal::HasRecordAfter;
using internal::kRecordHeaderSize;
using internal::ParsedRecord;
using internal::ParseRecord;

constexpr std::string_view kHardStateFile = "hard_state";
constexpr std::string_view kSnapshotFile = "snapshot";
constexpr std::string_view kLockFile = "lock";
constexpr std::string_view kTemporarySuffix = ".tmp";
constexpr std::string_view kSegmentPrefix = "log-";
constexpr std::size_t kSegmentDigits = 20;

constexpr std::uint64_t kSegmentMagic = 0x31'47'45'53'4c'54'55'41;
constexpr std::uint64_t kFileMagic = 0x31'45'4c'49'46'54'55'41;
/** Magic and segment number. */
constexpr std::size_t kSegmentHeaderSize = 16;
/** Magic, length and checksum. */
constexpr std::size_t kFileHeaderSize = 24;

std::optional<std::uint64_t> SegmentNumber(std::string_view aName)
{
  if (!aName.starts_with(kSegmentPrefix) ||
      aName.size() != kSegmentPrefix.size() + kSegmentDigits) {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(
    aName.data() + kSegmentPrefix.size(), aName.data() + aName.size(), number);
  if (error != std::errc{} || end != aName.data() + aName.size()) {
    return std::nullopt;
  }
  return number;
}

StorageErrorKind WriteErrorKind(int aSystemError)
{
  return aSystemError == ENOSPC || aSystemError == EDQUOT
           ? StorageErrorKind::DiskFull
           : StorageErrorKind::WriteFailed;
}

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

std::string FileStorage::SegmentPath(std::uint64_t aNumber) const
{
  const std::string digits = std::to_string(aNumber);
  std::string name(kSegmentPrefix);
  name.append(kSegmentDigits - digits.size(), '0');
  name += digits;
  return Path(name);
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

tl::expected<std::optional<std::string>, StorageError>
FileStorage::ReadVerified(std::string_view aName)
{
  const std::string path = Path(aName);
  auto contents = m_files->ReadAll(path);
  if (!contents && contents.error() == ENOENT) {
    return std::nullopt;
  }
  if (!contents) {
    return Fail(StorageErrorKind::ReadFailed, path, contents.error());
  }
  Decoder decoder(*contents);
  const std::uint64_t magic = decoder.ReadUint64();
  const std::uint64_t length = decoder.ReadUint64();
  const std::uint64_t checksum = decoder.ReadUint64();
  if (!decoder.Ok() || magic != kFileMagic ||
      contents->size() != kFileHeaderSize + length) {
    return Fail(StorageErrorKind::Corrupt, path, 0);
  }
  contents->erase(0, kFileHeaderSize);
  if (ChecksumOf(*contents) != checksum) {
    return Fail(StorageErrorKind::Corrupt, path, 0, kFileHeaderSize);
  }
  return std::optional(std::move(*contents));
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

tl::expected<std::optional<HardState>, StorageError>
FileStorage::LoadHardStateFile()
{
  auto contents = ReadVerified(kHardStateFile);
  if (!contents) {
    return tl::unexpected(contents.error());
  }
  if (!*contents) {
    return std::nullopt;
  }
  Decoder decoder(**contents);
  HardState state;
  state.m_term = Term(decoder.ReadUint64());
  const bool voted = decoder.ReadUint8() != 0;
  MemberIdentity vote = decoder.ReadIdentity();
  if (voted) {
    state.m_vote = std::move(vote);
  }
  state.m_incarnation = Incarnation(decoder.ReadUint64());
  state.m_boot = BootCount(decoder.ReadUint64());
  m_firstValidSegment = decoder.ReadUint64();
  if (!decoder.Ok()) {
    return Fail(
      StorageErrorKind::Corrupt, Path(kHardStateFile), 0, kFileHeaderSize);
  }
  return std::optional(std::move(state));
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

tl::expected<std::optional<FileStorage::StoredSnapshot>, StorageError>
FileStorage::LoadSnapshotFile()
{
  auto contents = ReadVerified(kSnapshotFile);
  if (!contents) {
    return tl::unexpected(contents.error());
  }
  if (!*contents) {
    return std::nullopt;
  }
  Decoder decoder(**contents);
  StoredSnapshot stored;
  stored.m_firstSegment = decoder.ReadUint64();
  stored.m_snapshot.m_position.m_term = Term(decoder.ReadUint64());
  stored.m_snapshot.m_position.m_index = LogIndex(decoder.ReadUint64());
  stored.m_snapshot.m_configuration = decoder.ReadConfiguration();
  if (!decoder.Ok()) {
    return Fail(
      StorageErrorKind::Corrupt, Path(kSnapshotFile), 0, kFileHeaderSize);
  }
  stored.m_snapshot.m_state = decoder.ReadRest();
  if (stored.m_firstSegment < m_firstValidSegment) {
    // Left by an interrupted reset.
    return std::nullopt;
  }
  return std::optional(std::move(stored));
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

tl::expected<RecoveredState, StorageError> FileStorage::Load()
{
  RecoveredState recovered;
  auto hardState = LoadHardStateFile();
  if (!hardState) {
    return tl::unexpected(hardState.error());
  }
  recovered.m_hardState = std::move(*hardState);
  auto snapshot = LoadSnapshotFile();
  if (!snapshot) {
    return tl::unexpected(snapshot.error());
  }
  std::uint64_t first = std::max<std::uint64_t>(m_firstValidSegment, 1);
  if (*snapshot) {
    first = std::max(first, (*snapshot)->m_firstSegment);
    recovered.m_snapshot = std::move((*snapshot)->m_snapshot);
  }
  const auto names = m_files->List(m_folder);
  if (!names) {
    return Fail(StorageErrorKind::ReadFailed, m_folder, names.error());
  }
  for (const std::string& name : *names) {
    if (name.ends_with(kTemporarySuffix)) {
      // Left by an interrupted replacement of a file.
      if (auto done = m_files->Remove(Path(name)); !done) {
        return Fail(WriteErrorKind(done.error()), Path(name), done.error());
      }
    }
    if (const auto number = SegmentNumber(name)) {
      m_segments.emplace(*number, LogIndex(0));
    }
  }
  if (auto removed = RemoveSegmentsBelow(first); !removed) {
    return tl::unexpected(removed.error());
  }
  for (const auto& [number, last] : Segments(m_segments)) {
    const bool isLast = number == m_segments.rbegin()->first;
    if (auto loaded = LoadSegment(number, isLast, recovered); !loaded) {
      return tl::unexpected(loaded.error());
    }
  }
  auto opened = m_segments.empty() ? CreateSegment(first)
                                   : OpenSegment(m_segments.rbegin()->first);
  if (!opened) {
    return tl::unexpected(opened.error());
  }
  return recovered;
}

FileStorage::Result FileStorage::LoadSegment(std::uint64_t aNumber,
                                             bool aIsLast,
                                             RecoveredState& aRecovered)
{
  const std::string path = SegmentPath(aNumber);
  const auto contents = m_files->ReadAll(path);
  if (!contents) {
    return Fail(StorageErrorKind::ReadFailed, path, contents.error());
  }
  Decoder header(*contents);
  if (header.ReadUint64() != kSegmentMagic || header.ReadUint64() != aNumber) {
    return Fail(StorageErrorKind::Corrupt, path, 0);
  }
  std::uint64_t offset = kSegmentHeaderSize;
  while (offset < contents->size()) {
    const ParsedRecord record = ParseRecord(*contents, aNumber, offset);
    if (!record.m_payloadValid) {
      // Each record is synced before the next one is written, so only the last
      // record can be torn.
      const std::uint64_t end =
        offset + kRecordHeaderSize + record.m_payload.size();
      const bool torn = aIsLast &&
                        (!record.m_complete || end == contents->size()) &&
                        !HasRecordAfter(*contents, aNumber, offset);
      return torn
               ? TruncateTornRecord(path, offset, contents->size(), aRecovered)
               : Fail(StorageErrorKind::Corrupt, path, 0, offset);
    }
    if (auto loaded =
          LoadRecord(path, offset, record.m_payload, aNumber, aRecovered);
        !loaded) {
      return loaded;
    }
    offset += kRecordHeaderSize + record.m_payload.size();
  }
  return {};
}

FileStorage::Result FileStorage::LoadRecord(const std::string& aPath,
                                            std::uint64_t aOffset,
                                            std::string_view aPayload,
                                            std::uint64_t aNumber,
                                            RecoveredState& aRecovered)
{
  const LogIndex base = aRecovered.m_snapshot
                          ? aRecovered.m_snapshot->m_position.m_index
                          : LogIndex(0);
  std::vector<Entry>& entries = aRecovered.m_entries;
  Decoder decoder(aPayload);
  while (!decoder.AtEnd()) {
    Entry entry = decoder.ReadEntry();
    if (!decoder.Ok()) {
      return Fail(StorageErrorKind::Corrupt, aPath, 0, aOffset);
    }
    LogIndex& last = m_segments[aNumber];
    last = std::max(last, entry.m_index);
    while (!entries.empty() && entries.back().m_index >= entry.m_index) {
      entries.pop_back();
    }
    if (entry.m_index <= base) {
      continue;
    }
    const LogIndex previous = entries.empty() ? base : entries.back().m_index;
    if (entry.m_index != previous.Next()) {
      return Fail(StorageErrorKind::Corrupt, aPath, 0, aOffset);
    }
    entries.push_back(std::move(entry));
  }
  return {};
}

FileStorage::Result FileStorage::TruncateTornRecord(const std::string& aPath,
                                                    std::uint64_t aOffset,
                                                    std::uint64_t aSize,
                                                    RecoveredState& aRecovered)
{
  if (auto cut = m_files->Truncate(aPath, aOffset); !cut) {
    return Fail(WriteErrorKind(cut.error()), aPath, cut.error(), aOffset);
  }
  aRecovered.m_tornRecord = TornRecord{ aPath, aOffset, aSize - aOffset };
  return {};
}

FileStorage::Result FileStorage::CreateSegment(std::uint64_t aNumber)
{
  CloseSegment();
  std::string header;
  Encoder encoder(header);
  encoder.WriteUint64(kSegmentMagic);
  encoder.WriteUint64(aNumber);
  const std::string path = SegmentPath(aNumber);
  const std::string temporary = path + std::string(kTemporarySuffix);
  const auto descriptor = m_files->OpenToAppend(temporary, true);
  if (!descriptor) {
    return Fail(
      WriteErrorKind(descriptor.error()), temporary, descriptor.error());
  }
  m_segment = *descriptor;
  if (auto written = m_files->Write(m_segment, header); !written) {
    return Fail(WriteErrorKind(written.error()), temporary, written.error());
  }
  if (auto synced = m_files->Sync(m_segment); !synced) {
    return Fail(StorageErrorKind::SyncFailed, temporary, synced.error());
  }
  if (auto renamed = m_files->Rename(temporary, path); !renamed) {
    return Fail(WriteErrorKind(renamed.error()), path, renamed.error());
  }
  if (auto folder = m_files->SyncFolder(m_folder); !folder) {
    return Fail(StorageErrorKind::SyncFailed, m_folder, folder.error());
  }
  m_segmentNumber = aNumber;
  m_segmentSize = header.size();
  m_segments.emplace(aNumber, LogIndex(0));
  return {};
}

FileStorage::Result FileStorage::OpenSegment(std::uint64_t aNumber)
{
  const std::string path = SegmentPath(aNumber);
  const auto contents = m_files->ReadAll(path);
  if (!contents) {
    return Fail(StorageErrorKind::ReadFailed, path, contents.error());
  }
  const auto descriptor = m_files->OpenToAppend(path, false);
  if (!descriptor) {
    return Fail(WriteErrorKind(descriptor.error()), path, descriptor.error());
  }
  m_segment = *descriptor;
  m_segmentNumber = aNumber;
  m_segmentSize = contents->size();
  return {};
}

void FileStorage::CloseSegment() noexcept
{
  if (m_segment >= 0) {
    m_files->Close(m_segment);
    m_segment = -1;
  }
}

FileStorage::Result FileStorage::RemoveSegmentsBelow(std::uint64_t aNumber)
{
  bool removed = false;
  while (!m_segments.empty() && m_segments.begin()->first < aNumber) {
    const std::string path = SegmentPath(m_segments.begin()->first);
    if (auto done = m_files->Remove(path); !done) {
      return Fail(WriteErrorKind(done.error()), path, done.error());
    }
    m_segments.erase(m_segments.begin());
    removed = true;
  }
  if (removed) {
    if (auto folder = m_files->SyncFolder(m_folder); !folder) {
      return Fail(StorageErrorKind::SyncFailed, m_folder, folder.error());
    }
  }
  return {};
}

FileStorage::Result FileStorage::Append(std::span<const Entry> aEntries)
{
  if (auto usable = CheckUsable(); !usable) {
    return usable;
  }
  if (m_pendingBytes.empty()) {
    m_pendingBytes.assign(kRecordHeaderSize, '\0');
  }
  const std::size_t bytes = m_pendingBytes.size() + SizeOf(aEntries);
  if (bytes > m_pendingBytes.capacity()) {
    m_pendingBytes.reserve(std::max(bytes, 2 * m_pendingBytes.capacity()));
  }
  Encoder encoder(m_pendingBytes);
  for (const Entry& entry : aEntries) {
    encoder.WriteEntry(entry);
    m_pendingLast = std::max(m_pendingLast, entry.m_index);
  }
  return {};
}

FileStorage::Result FileStorage::Sync()
{
  if (auto usable = CheckUsable(); !usable) {
    return usable;
  }
  if (m_pendingBytes.empty()) {
    return {};
  }
  if (m_segmentSize > m_options.m_segmentBytes) {
    if (auto created = CreateSegment(m_segmentNumber + 1); !created) {
      return created;
    }
  }
  return WriteRecord();
}

FileStorage::Result FileStorage::WriteRecord()
{
  const auto payload =
    std::string_view(m_pendingBytes).substr(kRecordHeaderSize);
  const std::string header =
    internal::RecordHeader(payload, m_segmentNumber, m_segmentSize);
  // Written over the space left for it, because a record can be large.
  const std::string record =
    std::exchange(m_pendingBytes, {}).replace(0, kRecordHeaderSize, header);
  const std::string path = SegmentPath(m_segmentNumber);
  if (auto written = m_files->Write(m_segment, record); !written) {
    return Fail(
      WriteErrorKind(written.error()), path, written.error(), m_segmentSize);
  }
  if (auto synced = m_files->Sync(m_segment); !synced) {
    return Fail(
      StorageErrorKind::SyncFailed, path, synced.error(), m_segmentSize);
  }
  m_segmentSize += record.size();
  LogIndex& last = m_segments[m_segmentNumber];
  last = std::max(last, m_pendingLast);
  m_pendingLast = LogIndex(0);
  return {};
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
