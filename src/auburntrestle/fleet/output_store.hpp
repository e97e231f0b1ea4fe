#ifndef AUBURNTRESTLE_FLEET_OUTPUT_STORE_HPP
#define AUBURNTRESTLE_FLEET_OUTPUT_STORE_HPP

#include "auburntrestle/consensus/file_operations.hpp"
#include "auburntrestle/core/strong_type.hpp"

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace auburntrestle::fleet {

/** A file of texts; the number is unique among all instances. */
using OutputSegment = StrongType<struct OutputSegmentTag, std::uint64_t>;

/** Where a text is stored. */
struct OutputReference
{
  OutputSegment m_segment;
  std::uint64_t m_offset = 0;
  std::uint64_t m_bytes = 0;
};

/** Why a text could not be stored or read. */
struct OutputStoreError
{
  std::string m_file;
  /** The system's error number, or 0 when bytes are missing. */
  int m_systemError = 0;
};

/**
 * Keeps the texts of results in files, so that they take no memory and are not
 * part of the snapshots of the log. Segments are only appended to, and copied
 * to other members byte by byte. What was appended is durable once Sync has
 * succeeded; until then the log holds it.
 */
class OutputStore
{
public:
  /**
   * Opens a folder and begins a new segment.
   *
   * @param aNonce drawn at random at each start, to make segments unique.
   * @param aFiles the file operations; must outlive the store.
   */
  [[nodiscard]] static tl::expected<std::unique_ptr<OutputStore>,
                                    OutputStoreError>
  Open(std::string aFolder,
       consensus::FileOperations& aFiles,
       std::uint32_t aNonce);

  OutputStore(const OutputStore&) = delete;
  OutputStore& operator=(const OutputStore&) = delete;
  ~OutputStore();

  [[nodiscard]] tl::expected<OutputReference, OutputStoreError> Append(
    std::string_view aText);
  [[nodiscard]] tl::expected<std::string, OutputStoreError> Read(
    const OutputReference& aReference);
  /** Makes all that was appended durable. */
  [[nodiscard]] tl::expected<void, OutputStoreError> Sync();

  /** Removes the segments that are not named, but for the present one and those
   * that are being copied from another member. */
  void KeepOnly(const std::set<OutputSegment>& aSegments);

  /**
   * Cuts the segments of an earlier process to the part that was durable, since
   * what follows may be torn. To be called before anything is appended.
   *
   * @param aSegments the segments of the snapshot, with the end of the part in
   *   use.
   */
  [[nodiscard]] tl::expected<void, OutputStoreError> Trim(
    const std::map<OutputSegment, std::uint64_t>& aSegments);

  /** @return up to aBytes of a segment from an offset. */
  [[nodiscard]] tl::expected<std::string, OutputStoreError>
  ReadChunk(OutputSegment aSegment, std::uint64_t aOffset, std::size_t aBytes);
  /**
   * Appends a part of a segment of another member if it follows what is held.
   *
   * @param aLast makes the segment durable.
   * @return how many bytes of the segment are held.
   */
  [[nodiscard]] tl::expected<std::uint64_t, OutputStoreError> AppendChunk(
    OutputSegment aSegment,
    std::uint64_t aOffset,
    std::string_view aBytes,
    bool aLast);

private:
  static constexpr std::uint64_t kSegmentBytes =
    std::uint64_t{ 4 } * 1024 * 1024;

  OutputStore(std::string aFolder,
              consensus::FileOperations& aFiles,
              std::uint32_t aNonce);
  [[nodiscard]] std::string PathOf(OutputSegment aSegment) const;
  [[nodiscard]] tl::expected<void, OutputStoreError> BeginSegment();
  void CloseSegment();

  std::string m_folder;
  consensus::FileOperations* m_files;
  std::uint32_t m_nonce;
  std::uint32_t m_count = 0;
  OutputSegment m_segment;
  std::uint64_t m_size = 0;
  int m_descriptor = -1;
  /** Bytes that wait to be written at once. */
  std::string m_pending;
  bool m_unsynced = false;
  /** Sizes of segments that are being copied from another member. */
  std::map<OutputSegment, std::uint64_t> m_incoming;
};

} // namespace auburntrestle::fleet

#endif
