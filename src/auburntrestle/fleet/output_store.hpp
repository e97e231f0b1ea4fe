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

/** Identifies a file of outputs; unique among all instances. */
using OutputSegment = StrongType<struct OutputSegmentTag, std::uint64_t>;

/** The location of an output in the store. */
struct OutputReference
{
  OutputSegment m_segment;
  std::uint64_t m_offset = 0;
  std::uint64_t m_bytes = 0;

  friend bool operator==(const OutputReference&,
                         const OutputReference&) = default;
};

/** Why an output could not be stored or read. */
struct OutputStoreError
{
  std::string m_file;
  /** The value of errno, or 0 if the file is too short. */
  int m_systemError = 0;
};

/**
 * Stores the outputs of results and the large bodies of items in files, so that
 * they occupy no memory and are not part of the snapshots of the log. Segments
 * are append-only and are copied to other members unchanged. Appended data is
 * durable after the next successful Sync; until then the entries of the log can
 * restore it.
 */
class OutputStore
{
public:
  /**
   * Opens a folder, which is created if missing. The first Append begins a new
   * segment.
   *
   * @param aNonce a random number for each start; makes segment ids unique.
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

  /** @return the location of the appended output. */
  [[nodiscard]] tl::expected<OutputReference, OutputStoreError> Append(
    std::string_view aOutput);
  [[nodiscard]] tl::expected<std::string, OutputStoreError> Read(
    const OutputReference& aReference);
  /** Makes the next Append begin a new segment. Data that is needed for
   * different times belongs in different segments, because a segment is removed
   * as a whole. */
  void EndSegment() noexcept { m_segmentEnded = m_size > 0; }
  /** Makes all appended data durable. */
  [[nodiscard]] tl::expected<void, OutputStoreError> Sync();

  /** Removes all segments except aSegments, the current one and those that are
   * being copied from another member. */
  void KeepOnly(const std::set<OutputSegment>& aSegments);

  /**
   * Truncates the segments of an earlier process to the part that was durable:
   * the bytes after it may be from a torn write. Must be called before the
   * first Append.
   *
   * @param aSegments the segments of the snapshot, with the offset up to which
   *   each is in use.
   */
  [[nodiscard]] tl::expected<void, OutputStoreError> Trim(
    const std::map<OutputSegment, std::uint64_t>& aSegments);

  /** @return up to aBytes bytes of a segment from an offset. */
  [[nodiscard]] tl::expected<std::string, OutputStoreError>
  ReadChunk(OutputSegment aSegment, std::uint64_t aOffset, std::size_t aBytes);
  /**
   * Appends a chunk of a segment of another member. A chunk that does not start
   * at the end of the local copy is ignored.
   *
   * @param aLast whether to make the segment durable.
   * @return the size of the local copy in bytes.
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
  /** Appended bytes that are not written to the file yet. */
  std::string m_pending;
  bool m_unsynced = false;
  bool m_segmentEnded = false;
  /** Sizes of segments that are being copied from another member. */
  std::map<OutputSegment, std::uint64_t> m_incoming;
};

} // namespace auburntrestle::fleet

#endif
