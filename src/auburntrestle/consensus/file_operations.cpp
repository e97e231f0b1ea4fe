#include "auburntrestle/consensus/file_operations.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <system_error>

namespace auburntrestle::consensus {

namespace {

tl::expected<void, int> ResultOf(int aReturned)
{
  if (aReturned < 0) {
    return tl::unexpected(errno);
  }
  return {};
}

tl::expected<int, int> Open(const std::string& aPath, int aFlags)
{
  const int descriptor = ::open(aPath.c_str(), aFlags | O_CLOEXEC, 0644);
  if (descriptor < 0) {
    return tl::unexpected(errno);
  }
  return descriptor;
}

} // namespace

tl::expected<void, int> PosixFileOperations::CreateFolder(
  const std::string& aPath)
{
  std::error_code error;
  const std::filesystem::path folder(aPath);
  if (std::filesystem::is_directory(folder, error)) {
    return {};
  }
  const std::filesystem::path parent = folder.parent_path();
  if (!parent.empty()) {
    if (auto made = CreateFolder(parent.string()); !made) {
      return made;
    }
  }
  std::filesystem::create_directory(folder, error);
  if (error) {
    return tl::unexpected(error.value());
  }
  return SyncFolder(parent.empty() ? "." : parent.string());
}

tl::expected<std::vector<std::string>, int> PosixFileOperations::List(
  const std::string& aFolder)
{
  std::error_code error;
  std::vector<std::string> names;
  for (std::filesystem::directory_iterator entry(aFolder, error), end;
       !error && entry != end;
       entry.increment(error)) {
    if (entry->is_regular_file(error)) {
      names.push_back(entry->path().filename().string());
    }
  }
  if (error) {
    return tl::unexpected(error.value());
  }
  std::sort(names.begin(), names.end());
  return names;
}

tl::expected<std::string, int> PosixFileOperations::ReadAll(
  const std::string& aPath)
{
  const auto descriptor = Open(aPath, O_RDONLY);
  if (!descriptor) {
    return tl::unexpected(descriptor.error());
  }
  std::string contents;
  constexpr std::size_t kChunk = std::size_t{ 256 } * 1024;
  for (;;) {
    const std::size_t size = contents.size();
    contents.resize(size + kChunk);
    const ssize_t count = ::read(*descriptor, contents.data() + size, kChunk);
    if (count < 0 && errno == EINTR) {
      contents.resize(size);
      continue;
    }
    if (count < 0) {
      const int error = errno;
      ::close(*descriptor);
      return tl::unexpected(error);
    }
    contents.resize(size + static_cast<std::size_t>(count));
    if (count == 0) {
      ::close(*descriptor);
      return contents;
    }
  }
}

tl::expected<std::string, int> PosixFileOperations::ReadAt(
  const std::string& aPath,
  std::uint64_t aOffset,
  std::size_t aBytes)
{
  const auto descriptor = Open(aPath, O_RDONLY);
  if (!descriptor) {
    return tl::unexpected(descriptor.error());
  }
  std::string bytes(aBytes, '\0');
  std::size_t total = 0;
  int error = 0;
  while (total < aBytes) {
    const auto count = ::pread(*descriptor,
                               bytes.data() + total,
                               aBytes - total,
                               static_cast<off_t>(aOffset + total));
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      error = count < 0 ? errno : 0;
      break;
    }
    total += static_cast<std::size_t>(count);
  }
  ::close(*descriptor);
  if (error != 0) {
    return tl::unexpected(error);
  }
  bytes.resize(total);
  return bytes;
}

tl::expected<int, int> PosixFileOperations::OpenToAppend(
  const std::string& aPath,
  bool aCreate)
{
  return Open(aPath, O_WRONLY | O_APPEND | (aCreate ? O_CREAT | O_TRUNC : 0));
}

tl::expected<void, int> PosixFileOperations::Write(int aDescriptor,
                                                   std::span<const char> aBytes)
{
  while (!aBytes.empty()) {
    const ssize_t count = ::write(aDescriptor, aBytes.data(), aBytes.size());
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count < 0) {
      return tl::unexpected(errno);
    }
    aBytes = aBytes.subspan(static_cast<std::size_t>(count));
  }
  return {};
}

tl::expected<void, int> PosixFileOperations::Sync(int aDescriptor)
{
  return ResultOf(::fsync(aDescriptor));
}

void PosixFileOperations::Close(int aDescriptor) noexcept
{
  ::close(aDescriptor);
}

tl::expected<void, int> PosixFileOperations::SyncFolder(
  const std::string& aFolder)
{
  const auto descriptor = Open(aFolder, O_RDONLY | O_DIRECTORY);
  if (!descriptor) {
    return tl::unexpected(descriptor.error());
  }
  const auto synced = ResultOf(::fsync(*descriptor));
  ::close(*descriptor);
  return synced;
}

tl::expected<void, int> PosixFileOperations::Rename(const std::string& aFrom,
                                                    const std::string& aTo)
{
  return ResultOf(::rename(aFrom.c_str(), aTo.c_str()));
}

tl::expected<void, int> PosixFileOperations::Remove(const std::string& aPath)
{
  return ResultOf(::unlink(aPath.c_str()));
}

tl::expected<void, int> PosixFileOperations::Truncate(const std::string& aPath,
                                                      std::uint64_t aBytes)
{
  const auto descriptor = Open(aPath, O_WRONLY);
  if (!descriptor) {
    return tl::unexpected(descriptor.error());
  }
  auto done = ResultOf(::ftruncate(*descriptor, static_cast<off_t>(aBytes)));
  if (done) {
    done = ResultOf(::fsync(*descriptor));
  }
  ::close(*descriptor);
  return done;
}

tl::expected<int, int> PosixFileOperations::Lock(const std::string& aPath)
{
  const auto descriptor = Open(aPath, O_RDWR | O_CREAT);
  if (!descriptor) {
    return tl::unexpected(descriptor.error());
  }
  if (::flock(*descriptor, LOCK_EX | LOCK_NB) != 0) {
    const int error = errno;
    ::close(*descriptor);
    return tl::unexpected(error);
  }
  return *descriptor;
}

} // namespace auburntrestle::consensus
