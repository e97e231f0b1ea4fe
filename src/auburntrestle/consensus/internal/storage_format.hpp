#ifndef AUBURNTRESTLE_CONSENSUS_INTERNAL_STORAGE_FORMAT_HPP
#define AUBURNTRESTLE_CONSENSUS_INTERNAL_STORAGE_FORMAT_HPP

#include "auburntrestle/consensus/storage.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace auburntrestle::consensus::internal {

// Names of the files in the folder of a FileStorage.
inline constexpr std::string_view kHardStateFile = "hard_state";
inline constexpr std::string_view kSnapshotFile = "snapshot";
inline constexpr std::string_view kLockFile = "lock";
inline constexpr std::string_view kTemporarySuffix = ".tmp";
inline constexpr std::string_view kSegmentPrefix = "log-";
inline constexpr std::size_t kSegmentDigits = 20;

inline constexpr std::uint64_t kSegmentMagic = 0x31'47'45'53'4c'54'55'41;
inline constexpr std::uint64_t kFileMagic = 0x31'45'4c'49'46'54'55'41;
/** Bytes of the magic and the segment number. */
inline constexpr std::size_t kSegmentHeaderSize = 16;
/** Bytes of the magic, the length and the checksum. */
inline constexpr std::size_t kFileHeaderSize = 24;

/** @return the number of a segment by its file name, or nothing for another
 * file. */
[[nodiscard]] std::optional<std::uint64_t> SegmentNumber(
  std::string_view aName);

/** @return the kind of a failed write. */
[[nodiscard]] StorageErrorKind WriteErrorKind(int aSystemError);

} // namespace auburntrestle::consensus::internal

#endif
