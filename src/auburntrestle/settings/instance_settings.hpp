#ifndef AUBURNTRESTLE_SETTINGS_INSTANCE_SETTINGS_HPP
#define AUBURNTRESTLE_SETTINGS_INSTANCE_SETTINGS_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"
#include "auburntrestle/settings/site_name.hpp"
#include "auburntrestle/settings/socket_address.hpp"
#include "auburntrestle/settings/validation_error.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace auburntrestle::settings {

/** The minimum severity of log lines. */
enum class LogLevel : std::uint8_t
{
  Debug,
  Info,
  Warning,
  Error,
};

/** @return the value used in the settings file, such as "info". */
[[nodiscard]] std::string_view ToString(LogLevel aLevel) noexcept;

/** Identity of the instance. */
struct InstanceSection
{
  InstanceId m_id{ "local" };
  DataCentreId m_dataCentre{ "local" };
  SiteName m_site{ "local" };
};

/** Listening addresses. */
struct ListenSection
{
  SocketAddress m_http = *SocketAddress::Parse("127.0.0.1:8080");
  SocketAddress m_peer = *SocketAddress::Parse("127.0.0.1:8081");
};

/** Limits of the HTTP server. */
struct HttpSection
{
  std::uint32_t m_threads = 4;
  ByteCount m_maxBodyBytes{ 16U << 20U };
  ByteCount m_maxHeaderBytes{ 32U << 10U };
  std::uint32_t m_maxConnections = 4096;
  Duration m_requestTimeout = std::chrono::seconds(30);
};

/** An initial voting member of the ledger. */
struct LedgerMember
{
  InstanceId m_id;
  /** The member's peer address. */
  SocketAddress m_address;
  DataCentreId m_dataCentre;
};

/** The ledger, which is a replicated log. */
struct LedgerSection
{
  /** Empty if the instance has no disk. */
  std::filesystem::path m_dataFolder{ "trestle-data" };
  std::vector<LedgerMember> m_members;
};

/** Discovery and authentication of other instances. */
struct PeersSection
{
  std::vector<SocketAddress> m_seeds;
  /** Empty only for an instance without peers. */
  std::filesystem::path m_sharedKeyFile;
};

/** Logging. */
struct LogSection
{
  LogLevel m_level = LogLevel::Info;
};

/** Graceful shutdown. */
struct DrainSection
{
  Duration m_deadline = std::chrono::minutes(10);
};

/** The settings of one instance. The defaults listen on loopback only. */
struct InstanceSettings
{
  InstanceSection m_instance;
  ListenSection m_listen;
  HttpSection m_http;
  LedgerSection m_ledger;
  PeersSection m_peers;
  LogSection m_log;
  DrainSection m_drain;

  /** @return whether this instance is a member of the ledger. */
  [[nodiscard]] bool IsLedgerMember() const;

  /**
   * @return the settings of an instance without peers, which is the only member
   * of its own ledger.
   */
  [[nodiscard]] static InstanceSettings Standalone();

  /**
   * Parses and validates settings. With neither `ledger.members` nor
   * `peers.seeds` the instance is the only member of its own ledger; with seeds
   * but without members it has the entry role only.
   * @param aText the TOML text.
   * @param aFile the file name for error messages.
   * @return the settings, or all errors.
   */
  [[nodiscard]] static tl::expected<InstanceSettings, ValidationErrors>
  FromText(std::string_view aText, std::string_view aFile);

  /** Like FromText, for a file; returns an error if it is unreadable. */
  [[nodiscard]] static tl::expected<InstanceSettings, ValidationErrors>
  FromFile(const std::filesystem::path& aPath);
};

} // namespace auburntrestle::settings

#endif
