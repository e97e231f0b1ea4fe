#ifndef AUBURNTRESTLE_CONSENSUS_INTERNAL_RECORD_HPP
#define AUBURNTRESTLE_CONSENSUS_INTERNAL_RECORD_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/** The records of a segment of the log: a header with checksums, and a payload
 * of entries. */
namespace auburntrestle::consensus::internal {

/** Magic, payload length, header checksum and payload checksum. */
inline constexpr std::size_t kRecordHeaderSize = 20;

/** The payload of a record and the result of its checks. */
struct ParsedRecord
{
  bool m_headerValid = false;
  bool m_complete = false;
  bool m_payloadValid = false;
  std::string_view m_payload;
};

/** @return the checksum of a payload or file. */
[[nodiscard]] std::uint64_t ChecksumOf(std::string_view aBytes);

/** @return the header of a record at an offset of a segment. */
[[nodiscard]] std::string RecordHeader(std::string_view aPayload,
                                       std::uint64_t aSegment,
                                       std::uint64_t aOffset);

/** Parses the record at an offset of a segment's contents. */
[[nodiscard]] ParsedRecord ParseRecord(std::string_view aContents,
                                       std::uint64_t aSegment,
                                       std::uint64_t aOffset);

/** @return whether a complete, valid record starts after an offset. */
[[nodiscard]] bool HasRecordAfter(std::string_view aContents,
                                  std::uint64_t aSegment,
                                  std::uint64_t aOffset);

} // namespace auburntrestle::consensus::internal

#endif
