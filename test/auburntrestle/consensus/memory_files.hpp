#ifndef AUBURNTRESTLE_TEST_CONSENSUS_MEMORY_FILES_HPP
#define AUBURNTRESTLE_TEST_CONSENSUS_MEMORY_FILES_HPP

#include "auburntrestle/consensus/file_operations.hpp"
#include "auburntrestle/core/random.hpp"

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace auburntrestle::consensus::test {

/** A device in memory that loses unsynced data on a crash. */
class MemoryFiles final : public FileOperations
{
public:
  /** The contents of each file by name. */
  using Image = std::map<std::string, std::string>;

  /** The kind of operations that an injected failure affects. */
  enum class Target
  {
    Write,
    Sync,
    Rename,
  };

  /** @return the contents that would survive a crash now. */
  [[nodiscard]] Image DurableImage() const;
  /** Replaces the contents of the device, all of it durable. */
  void Restore(const Image& aImage);
  /** Discards unsynced data. With a random source, a random prefix of the
   * unsynced bytes of each file is kept, as in a torn write. */
  void Crash(RandomSource* aTear);
  /** Makes operations of a kind fail after a number of successes. */
  void FailAfter(Target aTarget, std::size_t aSuccesses, int aError);
  void StopFailing() { m_failure.reset(); }

  [[nodiscard]] tl::expected<void, int> CreateFolder(
    const std::string& aPath) override;
  [[nodiscard]] tl::expected<std::vector<std::string>, int> List(
    const std::string& aFolder) override;
  [[nodiscard]] tl::expected<std::string, int> ReadAt(
    const std::string& aPath,
    std::uint64_t aOffset,
    std::size_t aBytes) override;
  [[nodiscard]] tl::expected<std::string, int> ReadAll(
    const std::string& aPath) override;
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

private:
  struct File
  {
    std::string m_contents;
    std::string m_synced;
  };
  struct Failure
  {
    Target m_target;
    std::size_t m_successes;
    int m_error;
  };
  using Names = std::map<std::string, std::shared_ptr<File>>;

  [[nodiscard]] std::optional<int> InjectedError(Target aTarget);

  Names m_names;
  Names m_durableNames;
  std::map<int, std::shared_ptr<File>> m_open;
  int m_nextDescriptor = 1;
  std::optional<Failure> m_failure;
};

} // namespace auburntrestle::consensus::test

#endif
