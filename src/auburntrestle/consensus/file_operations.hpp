#ifndef AUBURNTRESTLE_CONSENSUS_FILE_OPERATIONS_HPP
#define AUBURNTRESTLE_CONSENSUS_FILE_OPERATIONS_HPP

#include <tl/expected.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace auburntrestle::consensus {

/**
 * The file operations of FileStorage; tests replace them to inject failures.
 * Every error is an errno value.
 */
class FileOperations
{
public:
  FileOperations() = default;
  FileOperations(const FileOperations&) = delete;
  FileOperations& operator=(const FileOperations&) = delete;
  FileOperations(FileOperations&&) = delete;
  FileOperations& operator=(FileOperations&&) = delete;
  virtual ~FileOperations() = default;

  /** Creates a folder and its parents where they do not exist. */
  [[nodiscard]] virtual tl::expected<void, int> CreateFolder(
    const std::string& aPath) = 0;
  /** @return the names of the regular files in a folder, sorted. */
  [[nodiscard]] virtual tl::expected<std::vector<std::string>, int> List(
    const std::string& aFolder) = 0;
  /** @return the complete contents of a file. */
  [[nodiscard]] virtual tl::expected<std::string, int> ReadAll(
    const std::string& aPath) = 0;
  /** @return up to aBytes from an offset of a file; fewer at the end. */
  [[nodiscard]] virtual tl::expected<std::string, int> ReadAt(
    const std::string& aPath,
    std::uint64_t aOffset,
    std::size_t aBytes) = 0;
  /**
   * Opens a file for appending.
   * @param aCreate whether to create the file or truncate an existing one.
   * @return its descriptor.
   */
  [[nodiscard]] virtual tl::expected<int, int> OpenToAppend(
    const std::string& aPath,
    bool aCreate) = 0;
  /** Writes all bytes; after an error some of them may have been written. */
  [[nodiscard]] virtual tl::expected<void, int> Write(
    int aDescriptor,
    std::span<const char> aBytes) = 0;
  /** Makes the contents of a file durable. */
  [[nodiscard]] virtual tl::expected<void, int> Sync(int aDescriptor) = 0;
  virtual void Close(int aDescriptor) noexcept = 0;
  /** Makes the directory entries of a folder durable. */
  [[nodiscard]] virtual tl::expected<void, int> SyncFolder(
    const std::string& aFolder) = 0;
  [[nodiscard]] virtual tl::expected<void, int> Rename(
    const std::string& aFrom,
    const std::string& aTo) = 0;
  [[nodiscard]] virtual tl::expected<void, int> Remove(
    const std::string& aPath) = 0;
  /** Truncates a file to a number of bytes and syncs it. */
  [[nodiscard]] virtual tl::expected<void, int> Truncate(
    const std::string& aPath,
    std::uint64_t aBytes) = 0;
  /** Locks a file exclusively until Close. @return its descriptor. */
  [[nodiscard]] virtual tl::expected<int, int> Lock(
    const std::string& aPath) = 0;
};

/** The file operations of the operating system. */
class PosixFileOperations final : public FileOperations
{
public:
  [[nodiscard]] tl::expected<void, int> CreateFolder(
    const std::string& aPath) override;
  [[nodiscard]] tl::expected<std::vector<std::string>, int> List(
    const std::string& aFolder) override;
  [[nodiscard]] tl::expected<std::string, int> ReadAll(
    const std::string& aPath) override;
  [[nodiscard]] tl::expected<std::string, int> ReadAt(
    const std::string& aPath,
    std::uint64_t aOffset,
    std::size_t aBytes) override;
  [[nodiscard]] tl::expected<int, int> OpenToAppend(const std::string& aPath,
                                                    bool aCreate) override;
  [[nodiscard]] tl::expected<void, int> Write(
    int aDescriptor,
    std::span<const char> aBytes) override;
  [[nodiscard]] tl::expected<void, int> Sync(int aDescriptor) override;
  void Close(int aDescriptor) noexcept override;
  [[nodiscard]] tl::expected<void, int> SyncFolder(
    const std::string& aFolder) override;
  [[nodiscard]] tl::expected<void, int> Rename(const std::string& aFrom,
                                               const std::string& aTo) override;
  [[nodiscard]] tl::expected<void, int> Remove(
    const std::string& aPath) override;
  [[nodiscard]] tl::expected<void, int> Truncate(const std::string& aPath,
                                                 std::uint64_t aBytes) override;
  [[nodiscard]] tl::expected<int, int> Lock(const std::string& aPath) override;
};

} // namespace auburntrestle::consensus

#endif
