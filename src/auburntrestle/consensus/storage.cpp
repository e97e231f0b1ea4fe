#include "auburntrestle/consensus/storage.hpp"

#include <system_error>

namespace auburntrestle::consensus {

std::string_view ToString(StorageErrorKind aKind) noexcept
{
  switch (aKind) {
    case StorageErrorKind::DiskFull:
      return "disk_full";
    case StorageErrorKind::WriteFailed:
      return "write_failed";
    case StorageErrorKind::SyncFailed:
      return "sync_failed";
    case StorageErrorKind::ReadFailed:
      return "read_failed";
    case StorageErrorKind::Corrupt:
      return "corrupt";
    case StorageErrorKind::Locked:
      return "locked";
    case StorageErrorKind::Failed:
      return "failed";
  }
  return "unknown";
}

std::string Describe(const StorageError& aError)
{
  std::string text(ToString(aError.m_kind));
  if (!aError.m_file.empty()) {
    text += " file=" + aError.m_file;
    text += " offset=" + std::to_string(aError.m_offset);
  }
  if (aError.m_systemError != 0) {
    text += " error=\"";
    text += std::generic_category().message(aError.m_systemError);
    text += '"';
  }
  return text;
}

} // namespace auburntrestle::consensus
