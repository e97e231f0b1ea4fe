#include "auburntrestle/fleet/output_store.hpp"

#include "auburntrestle/observe/log.hpp"

#include <array>
#include <cerrno>
#include <charconv>
#include <optional>
#include <system_error>
#include <utility>

namespace auburntrestle::fleet {

namespace {

constexpr std::string_view kPrefix = "text-";
constexpr int kHex = 16;
/** Pending bytes are written to the file when there are at least this many. */
constexpr std::size_t kWriteBytes = std::size_t{ 64 } * 1024;

std::optional<OutputSegment> ParseName(std::string_view aName)
{
  if (!aName.starts_with(kPrefix)) {
    return std::nullopt;
  }
  aName.remove_prefix(kPrefix.size());
  std::uint64_t number = 0;
  const auto* end = aName.data() + aName.size();
  const auto result = std::from_chars(aName.data(), end, number, kHex);
  return result.ec == std::errc() && result.ptr == end
           ? std::optional(OutputSegment(number))
           : std::nullopt;
}

} // namespace

OutputStore::OutputStore(std::string aFolder,
                         consensus::FileOperations& aFiles,
                         std::uint32_t aNonce)
  : m_folder(std::move(aFolder))
  , m_files(&aFiles)
  , m_nonce(aNonce)
{
}

OutputStore::~OutputStore()
{
  CloseSegment();
}

tl::expected<std::unique_ptr<OutputStore>, OutputStoreError> OutputStore::Open(
  std::string aFolder,
  consensus::FileOperations& aFiles,
  std::uint32_t aNonce)
{
  std::unique_ptr<OutputStore> store(
    new OutputStore(std::move(aFolder), aFiles, aNonce));
  if (const auto made = aFiles.CreateFolder(store->m_folder); !made) {
    return tl::make_unexpected(
      OutputStoreError{ store->m_folder, made.error() });
  }
  return store;
}

std::string OutputStore::PathOf(OutputSegment aSegment) const
{
  std::array<char, kHex + 1> digits{};
  const auto end = std::to_chars(
    digits.data(), digits.data() + digits.size(), aSegment.Get(), kHex);
  return m_folder + "/" + std::string(kPrefix) +
         std::string(digits.data(), end.ptr);
}

tl::expected<void, OutputStoreError> OutputStore::BeginSegment()
{
  constexpr unsigned kNonceShift = 32;
  if (auto synced = Sync(); !synced) {
    return synced;
  }
  CloseSegment();
  m_segment =
    OutputSegment((std::uint64_t{ m_nonce } << kNonceShift) | ++m_count);
  m_size = 0;
  const auto opened = m_files->OpenToAppend(PathOf(m_segment), true);
  if (!opened) {
    return tl::make_unexpected(
      OutputStoreError{ PathOf(m_segment), opened.error() });
  }
  m_descriptor = *opened;
  observe::LogLine(observe::LogLevel::Info, "text_segment_begun")
    .Add("file", PathOf(m_segment));
  return {};
}

void OutputStore::CloseSegment()
{
  if (m_descriptor >= 0) {
    m_files->Close(std::exchange(m_descriptor, -1));
  }
}

tl::expected<OutputReference, OutputStoreError> OutputStore::Append(
  std::string_view aOutput)
{
  if (m_descriptor < 0 || m_size >= kSegmentBytes ||
      std::exchange(m_segmentEnded, false)) {
    if (auto begun = BeginSegment(); !begun) {
      return tl::make_unexpected(begun.error());
    }
  }
  const OutputReference reference{ m_segment, m_size, aOutput.size() };
  m_pending.append(aOutput);
  m_size += aOutput.size();
  m_unsynced = true;
  if (m_pending.size() >= kWriteBytes) {
    const auto written =
      m_files->Write(m_descriptor, std::exchange(m_pending, {}));
    if (!written) {
      return tl::make_unexpected(
        OutputStoreError{ PathOf(m_segment), written.error() });
    }
  }
  return reference;
}

tl::expected<void, OutputStoreError> OutputStore::Sync()
{
  if (m_descriptor < 0 || !std::exchange(m_unsynced, false)) {
    return {};
  }
  auto done = m_files->Write(m_descriptor, std::exchange(m_pending, {}));
  if (done) {
    done = m_files->Sync(m_descriptor);
  }
  if (done) {
    done = m_files->SyncFolder(m_folder);
  }
  if (!done) {
    return tl::make_unexpected(
      OutputStoreError{ PathOf(m_segment), done.error() });
  }
  return {};
}

tl::expected<std::string, OutputStoreError> OutputStore::Read(
  const OutputReference& aReference)
{
  const std::uint64_t end = aReference.m_offset + aReference.m_bytes;
  const std::uint64_t written = m_size - m_pending.size();
  if (aReference.m_segment == m_segment && aReference.m_offset >= written &&
      end <= m_size) {
    return m_pending.substr(aReference.m_offset - written, aReference.m_bytes);
  }
  auto bytes =
    ReadChunk(aReference.m_segment, aReference.m_offset, aReference.m_bytes);
  if (bytes && bytes->size() != aReference.m_bytes) {
    return tl::make_unexpected(
      OutputStoreError{ PathOf(aReference.m_segment), 0 });
  }
  return bytes;
}

tl::expected<std::string, OutputStoreError> OutputStore::ReadChunk(
  OutputSegment aSegment,
  std::uint64_t aOffset,
  std::size_t aBytes)
{
  auto bytes = m_files->ReadAt(PathOf(aSegment), aOffset, aBytes);
  if (!bytes) {
    return tl::make_unexpected(
      OutputStoreError{ PathOf(aSegment), bytes.error() });
  }
  return std::move(*bytes);
}

tl::expected<std::uint64_t, OutputStoreError> OutputStore::AppendChunk(
  OutputSegment aSegment,
  std::uint64_t aOffset,
  std::string_view aBytes,
  bool aLast)
{
  const std::string path = PathOf(aSegment);
  const auto fail = [&](int aError) {
    return tl::make_unexpected(OutputStoreError{ path, aError });
  };
  auto copy = m_incoming.find(aSegment);
  const bool known = copy != m_incoming.end();
  const auto contents =
    known ? tl::expected<std::string, int>() : m_files->ReadAll(path);
  if (!contents && contents.error() != ENOENT) {
    return fail(contents.error());
  }
  // Opening with the create flag would truncate an existing file.
  const auto opened = m_files->OpenToAppend(path, !known && !contents);
  if (!opened) {
    return fail(opened.error());
  }
  if (!known) {
    copy = m_incoming.emplace(aSegment, contents ? contents->size() : 0).first;
  }
  auto& size = copy->second;
  tl::expected<void, int> done;
  if (size == aOffset && !aBytes.empty()) {
    done = m_files->Write(*opened, aBytes);
    size += aBytes.size();
  }
  if (done && aLast) {
    done = m_files->Sync(*opened);
  }
  m_files->Close(*opened);
  if (done && aLast) {
    done = m_files->SyncFolder(m_folder);
  }
  if (!done) {
    // The number of bytes written is unknown.
    m_incoming.erase(aSegment);
    return fail(done.error());
  }
  return size;
}

tl::expected<void, OutputStoreError> OutputStore::Trim(
  const std::map<OutputSegment, std::uint64_t>& aSegments)
{
  for (const auto& [segment, end] : aSegments) {
    if (const auto cut = m_files->Truncate(PathOf(segment), end); !cut) {
      return tl::make_unexpected(
        OutputStoreError{ PathOf(segment), cut.error() });
    }
  }
  return {};
}

void OutputStore::KeepOnly(const std::set<OutputSegment>& aSegments)
{
  const auto names = m_files->List(m_folder);
  if (!names) {
    return;
  }
  for (const auto& name : *names) {
    const auto segment = ParseName(name);
    if (segment && aSegments.contains(*segment)) {
      m_incoming.erase(*segment);
    } else if (segment && *segment != m_segment &&
               !m_incoming.contains(*segment)) {
      observe::LogLine(observe::LogLevel::Info, "text_segment_removed")
        .Add("file", name);
      // If removing fails, the next call tries again.
      std::ignore = m_files->Remove(m_folder + "/" + name);
    }
  }
}

} // namespace auburntrestle::fleet
