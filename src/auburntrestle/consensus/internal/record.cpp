#include "auburntrestle/consensus/internal/record.hpp"

#include "auburntrestle/consensus/internal/encoding.hpp"

#include <xxhash.h>

namespace auburntrestle::consensus::internal {

namespace {

constexpr std::uint32_t kRecordMagic = 0x31'43'45'52;

/** Includes the offset, so that a copy of a record at another offset is not
 * accepted as valid. */
std::uint32_t HeaderChecksum(std::uint32_t aLength,
                             std::uint64_t aSegment,
                             std::uint64_t aOffset)
{
  std::string bytes;
  Encoder encoder(bytes);
  encoder.WriteUint32(kRecordMagic);
  encoder.WriteUint32(aLength);
  encoder.WriteUint64(aSegment);
  encoder.WriteUint64(aOffset);
  return XXH32(bytes.data(), bytes.size(), 0);
}

} // namespace

std::uint64_t ChecksumOf(std::string_view aBytes)
{
  return XXH3_64bits(aBytes.data(), aBytes.size());
}

std::string RecordHeader(std::string_view aPayload,
                         std::uint64_t aSegment,
                         std::uint64_t aOffset)
{
  const auto length = static_cast<std::uint32_t>(aPayload.size());
  std::string header;
  Encoder encoder(header);
  encoder.WriteUint32(kRecordMagic);
  encoder.WriteUint32(length);
  encoder.WriteUint32(HeaderChecksum(length, aSegment, aOffset));
  encoder.WriteUint64(ChecksumOf(aPayload));
  return header;
}

ParsedRecord ParseRecord(std::string_view aContents,
                         std::uint64_t aSegment,
                         std::uint64_t aOffset)
{
  ParsedRecord view;
  if (aContents.size() - aOffset < kRecordHeaderSize) {
    return view;
  }
  Decoder decoder(aContents.substr(aOffset, kRecordHeaderSize));
  const std::uint32_t magic = decoder.ReadUint32();
  const std::uint32_t length = decoder.ReadUint32();
  const std::uint32_t headerChecksum = decoder.ReadUint32();
  const std::uint64_t payloadChecksum = decoder.ReadUint64();
  view.m_headerValid =
    magic == kRecordMagic &&
    headerChecksum == HeaderChecksum(length, aSegment, aOffset);
  const std::uint64_t begin = aOffset + kRecordHeaderSize;
  view.m_complete = view.m_headerValid && aContents.size() - begin >= length;
  if (view.m_complete) {
    view.m_payload = aContents.substr(begin, length);
    view.m_payloadValid = ChecksumOf(view.m_payload) == payloadChecksum;
  }
  return view;
}

bool HasRecordAfter(std::string_view aContents,
                    std::uint64_t aSegment,
                    std::uint64_t aOffset)
{
  std::string magic;
  Encoder(magic).WriteUint32(kRecordMagic);
  for (std::size_t at = aContents.find(magic, aOffset + 1);
       at != std::string_view::npos;
       at = aContents.find(magic, at + 1)) {
    if (ParseRecord(aContents, aSegment, at).m_payloadValid) {
      return true;
    }
  }
  return false;
}

} // namespace auburntrestle::consensus::internal
