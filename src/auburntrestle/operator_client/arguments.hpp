#ifndef AUBURNTRESTLE_OPERATOR_CLIENT_ARGUMENTS_HPP
#define AUBURNTRESTLE_OPERATOR_CLIENT_ARGUMENTS_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/settings/site_name.hpp"

#include <tl/expected.hpp>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace auburntrestle::operator_client {

/** Values of the command line flags. */
struct Flags
{
  std::string m_target = "http://127.0.0.1:8080";
  bool m_json = false;
  bool m_wait = false;
  std::int64_t m_timeoutMs = 30000;
  std::int64_t m_requestTimeoutMs = 10000;
  std::string m_sites;
};

/** `validate FOLDER|FILES` */
struct ValidateCommand
{
  std::vector<std::filesystem::path> m_paths;
  /** Sites that must have an overlay; if empty, existing overlays suffice. */
  std::vector<settings::SiteName> m_sites;
};

/** `apply FILE` */
struct ApplyCommand
{
  std::filesystem::path m_file;
  /** Whether to wait until the edit is in force on all live instances. */
  bool m_wait = false;
  std::chrono::milliseconds m_timeout{ 30000 };
};

/** `config show [SITE]` */
struct ShowConfigurationCommand
{
  /** Empty for the site of the responding instance. */
  settings::SiteName m_site;
};

/** `config history` */
struct ShowHistoryCommand
{};

/** `status` */
struct ShowStatusCommand
{};

/** `backends` */
struct ShowBackendsCommand
{};

/** `report` */
struct ShowReportCommand
{};

/** `drain` */
struct DrainCommand
{};

/** `members` */
struct ShowMembersCommand
{};

/** Kind of a membership change. */
enum class MemberChange : std::uint8_t
{
  Add,
  Promote,
  Remove,
};

/** @return "add", "promote" or "remove". */
[[nodiscard]] std::string_view ToString(MemberChange aChange) noexcept;

/** `members add|promote|remove INSTANCE [ADDRESS]` */
struct ChangeMembersCommand
{
  MemberChange m_change = MemberChange::Add;
  InstanceId m_instance;
  /** Peer address of an added member; empty for other changes. */
  std::string m_address;
};

/** `explain ID FOLDER` */
struct ExplainCommand
{
  /** Id of a request, job, item or backend server. */
  std::string m_id;
  /** Folder with one log file per instance. */
  std::filesystem::path m_folder;
};

using Command = std::variant<ValidateCommand,
                             ApplyCommand,
                             ShowConfigurationCommand,
                             ShowHistoryCommand,
                             ShowStatusCommand,
                             ShowBackendsCommand,
                             ShowReportCommand,
                             DrainCommand,
                             ShowMembersCommand,
                             ChangeMembersCommand,
                             ExplainCommand>;

/** A parsed and valid command line. */
struct Invocation
{
  Command m_command;
  /** Base URLs such as "http://127.0.0.1:8080", in the order of use. */
  std::vector<std::string> m_targets;
  bool m_json = false;
  std::chrono::milliseconds m_requestTimeout{ 10000 };
};

/** Reason for which a command line is invalid, as a message to the operator. */
struct UsageError
{
  std::string m_message;
};

/**
 * Parses a command line without its flags.
 * @param aArguments the command and its operands.
 * @param aFlags the values of the flags.
 * @return the invocation, or the first error.
 */
[[nodiscard]] tl::expected<Invocation, UsageError> ParseArguments(
  const std::vector<std::string>& aArguments,
  const Flags& aFlags);

/** @return the help text: commands, flags and exit codes. */
[[nodiscard]] std::string UsageText();

} // namespace auburntrestle::operator_client

#endif
