#include "auburntrestle/ledger/accepted_configuration_store.hpp"

#include "auburntrestle/ledger/internal/state_codec.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <fstream>
#include <iterator>
#include <system_error>

namespace auburntrestle::ledger {

namespace internal {

namespace {

constexpr std::string_view kFileName = "accepted-configuration";
constexpr std::string_view kTemporaryName = "accepted-configuration.new";
/** A SHA-256 digest in hexadecimal precedes the content. */
constexpr std::size_t kChecksumSize = 64;

StoreError Failure(std::filesystem::path aFile,
                   std::string_view aOperation,
                   int aErrno)
{
  return StoreError{ StoreErrorKind::FileFailed,
                     std::move(aFile),
                     std::string(aOperation) + ": " +
                       std::generic_category().message(aErrno) };
}

/** A file descriptor that is closed when it goes out of scope. */
class Descriptor
{
public:
  explicit Descriptor(int aNumber) noexcept
    : m_number(aNumber)
  {
  }
  ~Descriptor()
  {
    if (m_number >= 0) {
      ::close(m_number);
    }
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  Descriptor(Descriptor&&) = delete;
  Descriptor& operator=(Descriptor&&) = delete;
  [[nodiscard]] int Get() const noexcept { return m_number; }
  [[nodiscard]] bool IsOpen() const noexcept { return m_number >= 0; }

private:
  int m_number;
};

tl::expected<void, StoreError> WriteSynced(const std::filesystem::path& aPath,
                                           std::string_view aBytes)
{
  constexpr mode_t kOwnerOnly = 0600;
  const Descriptor file(::open(
    aPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kOwnerOnly));
  if (!file.IsOpen()) {
    return tl::unexpected(Failure(aPath, "open", errno));
  }
  while (!aBytes.empty()) {
    const ssize_t written = ::write(file.Get(), aBytes.data(), aBytes.size());
    if (written < 0) {
      if (errno == EINTR) {
        continue;
      }
      return tl::unexpected(Failure(aPath, "write", errno));
    }
    aBytes.remove_prefix(static_cast<std::size_t>(written));
  }
  if (::fsync(file.Get()) != 0) {
    return tl::unexpected(Failure(aPath, "fsync", errno));
  }
  return {};
}

tl::expected<void, StoreError> SyncFolder(const std::filesystem::path& aFolder)
{
  const Descriptor folder(
    ::open(aFolder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!folder.IsOpen()) {
    return tl::unexpected(Failure(aFolder, "open", errno));
  }
  if (::fsync(folder.Get()) != 0) {
    return tl::unexpected(Failure(aFolder, "fsync", errno));
  }
  return {};
}

tl::expected<void, StoreError> Replace(const std::filesystem::path& aFolder,
                                       std::string_view aBytes)
{
  const std::filesystem::path temporary = aFolder / kTemporaryName;
  const std::filesystem::path target = aFolder / kFileName;
  if (auto written = WriteSynced(temporary, aBytes); !written) {
    return written;
  }
  if (::rename(temporary.c_str(), target.c_str()) != 0) {
    return tl::unexpected(Failure(target, "rename", errno));
  }
  return SyncFolder(aFolder);
}

tl::expected<AcceptedConfiguration, StoreError> ReadStored(
  const std::filesystem::path& aPath)
{
  std::ifstream stream(aPath, std::ios::binary);
  if (!stream) {
    return tl::unexpected(Failure(aPath, "open", errno));
  }
  const std::string bytes{ std::istreambuf_iterator<char>(stream), {} };
  if (stream.bad()) {
    return tl::unexpected(Failure(aPath, "read", EIO));
  }
  const std::string_view view = bytes;
  if (view.size() < kChecksumSize ||
      settings::DigestOf(view.substr(kChecksumSize)).Get() !=
        view.substr(0, kChecksumSize)) {
    return tl::unexpected(
      StoreError{ StoreErrorKind::Corrupt, aPath, "checksum mismatch" });
  }
  auto decoded = DecodeAccepted(view.substr(kChecksumSize));
  if (!decoded) {
    return tl::unexpected(StoreError{
      StoreErrorKind::Corrupt,
      aPath,
      decoded.error() == CodecError::UnknownVersion ? "unknown version"
                                                    : "malformed content" });
  }
  return std::move(*decoded);
}

} // namespace

} // namespace internal

std::string_view ToString(StoreErrorKind aKind) noexcept
{
  constexpr std::array<std::string_view, 4> kNames{
    "would_go_back", "conflict", "corrupt", "file_failed"
  };
  return kNames[static_cast<std::size_t>(aKind)];
}

tl::expected<AcceptedConfigurationStore, StoreError>
AcceptedConfigurationStore::Open(const std::filesystem::path& aFolder)
{
  std::error_code failure;
  std::filesystem::create_directories(aFolder, failure);
  if (failure) {
    return tl::unexpected(internal::Failure(aFolder, "mkdir", failure.value()));
  }
  AcceptedConfigurationStore store(aFolder);
  const std::filesystem::path path = aFolder / internal::kFileName;
  const bool present = std::filesystem::exists(path, failure);
  if (failure) {
    return tl::unexpected(internal::Failure(path, "stat", failure.value()));
  }
  if (present) {
    auto stored = internal::ReadStored(path);
    if (!stored) {
      return tl::unexpected(std::move(stored.error()));
    }
    store.m_current = std::move(*stored);
  }
  return store;
}

tl::expected<void, StoreError> AcceptedConfigurationStore::Accept(
  const AcceptedConfiguration& aConfiguration)
{
  const std::filesystem::path path =
    m_folder.empty() ? m_folder : m_folder / internal::kFileName;
  if (aConfiguration.m_revision < HeldRevision()) {
    return tl::unexpected(StoreError{
      StoreErrorKind::WouldGoBack,
      path,
      "revision " + std::to_string(HeldRevision().Get()) + " is held, " +
        std::to_string(aConfiguration.m_revision.Get()) + " was given" });
  }
  if (m_current && aConfiguration.m_revision == m_current->m_revision) {
    if (aConfiguration == *m_current) {
      return {};
    }
    return tl::unexpected(StoreError{ StoreErrorKind::Conflict,
                                      path,
                                      "revision " +
                                        std::to_string(HeldRevision().Get()) +
                                        " is held with other content" });
  }
  if (m_failure) {
    return tl::unexpected(*m_failure);
  }
  if (!m_folder.empty()) {
    const std::string content = internal::EncodeAccepted(aConfiguration);
    const std::string bytes = settings::DigestOf(content).Get() + content;
    if (auto replaced = internal::Replace(m_folder, bytes); !replaced) {
      m_failure = replaced.error();
      return replaced;
    }
  }
  m_current = aConfiguration;
  return {};
}

} // namespace auburntrestle::ledger
