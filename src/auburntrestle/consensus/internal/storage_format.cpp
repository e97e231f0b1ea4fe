#include "auburntrestle/consensus/internal/storage_format.hpp"

#include <cerrno>
#include <charconv>

namespace auburntrestle::consensus::internal {

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

} // namespace auburntrestle::consensus::internal
