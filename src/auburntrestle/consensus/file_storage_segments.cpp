#include "auburntrestle/consensus/file_storage.hpp"
#include "auburntrestle/consensus/internal/encoding.hpp"
#include "auburntrestle/consensus/internal/record.hpp"
#include "auburntrestle/consensus/internal/storage_format.hpp"

#include <algorithm>
#include <utility>

namespace auburntrestle::consensus {

namespace {

using internal::Encoder;
using internal::kRecordHeaderSize;
using internal::kSegmentDigits;
using internal::kSegmentMagic;
using internal::kSegmentPrefix;
using internal::kTemporarySuffix;
using internal::WriteErrorKind;

} // namespace

std::string FileStorage::SegmentPath(std::uint64_t aNumber) const
{
  const std::string digits = std::to_string(aNumber);
  std::string name(kSegmentPrefix);
  name.append(kSegmentDigits - digits.size(), '0');
  name += digits;
  return Path(name);
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

} // namespace auburntrestle::consensus
