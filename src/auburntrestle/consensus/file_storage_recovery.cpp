#include "auburntrestle/consensus/file_storage.hpp"
#include "auburntrestle/consensus/internal/encoding.hpp"
#include "auburntrestle/consensus/internal/record.hpp"
#include "auburntrestle/consensus/internal/storage_format.hpp"

#include <algorithm>
#include <cerrno>
#include <utility>

namespace auburntrestle::consensus {

namespace {

using internal::ChecksumOf;
using internal::Decoder;
using internal::HasRecordAfter;
using internal::kFileHeaderSize;
using internal::kFileMagic;
using internal::kHardStateFile;
using internal::kRecordHeaderSize;
using internal::kSegmentHeaderSize;
using internal::kSegmentMagic;
using internal::kSnapshotFile;
using internal::kTemporarySuffix;
using internal::ParsedRecord;
using internal::ParseRecord;
using internal::SegmentNumber;
using internal::WriteErrorKind;

} // namespace

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

} // namespace auburntrestle::consensus
