#ifndef AUBURNTRESTLE_LEDGER_ACCEPTED_CONFIGURATION_STORE_HPP
#define AUBURNTRESTLE_LEDGER_ACCEPTED_CONFIGURATION_STORE_HPP

#include "auburntrestle/ledger/accepted_configuration.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <string_view>

namespace auburntrestle::ledger {

/** The kind of a refusal or failure of the store. */
enum class StoreErrorKind : std::uint8_t
{
  /** The revision is lower than the stored one. */
  WouldGoBack,
  /** The revision is the stored one, but the content differs. */
  Conflict,
  /** The file is damaged or has an unknown format version. */
  Corrupt,
  /** A file operation failed; the file holds the old or the new revision. */
  FileFailed,
};

/** @return the stable name of a kind, such as "would_go_back". */
[[nodiscard]] std::string_view ToString(StoreErrorKind aKind) noexcept;

/** A refusal or failure of the store. */
struct StoreError
{
  StoreErrorKind m_kind = StoreErrorKind::FileFailed;
  std::filesystem::path m_file;
  /** The failed operation and the system's message, if any. */
  std::string m_detail;
};

/**
 * Stores the last configuration that this instance has accepted. The revision
 * never decreases, even across restarts if the store has a folder.
 */
class AcceptedConfigurationStore
{
public:
  /** Creates a store without files, for an instance without a disk. */
  [[nodiscard]] static AcceptedConfigurationStore InMemory()
  {
    return AcceptedConfigurationStore({});
  }

  /**
   * Opens the store in a folder; creates the folder if it does not exist.
   * @return the store with its stored configuration, or why it is unusable.
   */
  [[nodiscard]] static tl::expected<AcceptedConfigurationStore, StoreError>
  Open(const std::filesystem::path& aFolder);

  /** @return the configuration that was accepted last, if any. */
  [[nodiscard]] const std::optional<AcceptedConfiguration>& Current()
    const noexcept
  {
    return m_current;
  }

  /** @return the revision of Current(), or 0. */
  [[nodiscard]] Revision HeldRevision() const noexcept
  {
    return m_current ? m_current->m_revision : Revision();
  }

  /**
   * Replaces the configuration durably: on success the new file is synced.
   * Accepting the current configuration again succeeds without a write. After a
   * failed write or sync all further changes fail too: the system may have
   * dropped the unwritten data, so a repeated sync would prove nothing.
   */
  [[nodiscard]] tl::expected<void, StoreError> Accept(
    const AcceptedConfiguration& aConfiguration);

private:
  explicit AcceptedConfigurationStore(std::filesystem::path aFolder)
    : m_folder(std::move(aFolder))
  {
  }

  /** Empty for a store in memory. */
  std::filesystem::path m_folder;
  std::optional<AcceptedConfiguration> m_current;
  std::optional<StoreError> m_failure;
};

} // namespace auburntrestle::ledger

#endif
