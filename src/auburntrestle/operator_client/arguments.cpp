#include "auburntrestle/operator_client/arguments.hpp"

#include "auburntrestle/settings/socket_address.hpp"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace auburntrestle::operator_client {

namespace internal {

using Strings = std::vector<std::string>;
using ParsedCommand = tl::expected<Command, UsageError>;

constexpr std::int64_t kMaxTimeoutMs = 24LL * 3600 * 1000;

tl::unexpected<UsageError> MakeUsageError(std::string aMessage)
{
  return tl::make_unexpected(UsageError{ std::move(aMessage) });
}

Strings SplitList(const std::string& aText)
{
  Strings items;
  std::size_t begin = 0;
  while (begin <= aText.size()) {
    const std::size_t end = std::min(aText.find(',', begin), aText.size());
    items.push_back(aText.substr(begin, end - begin));
    begin = end + 1;
  }
  return items;
}

tl::expected<Strings, UsageError> ParseTargets(const std::string& aText)
{
  constexpr std::string_view kScheme = "http://";
  Strings targets;
  for (std::string target : SplitList(aText)) {
    if (!target.empty() && target.back() == '/') {
      target.pop_back();
    }
    const bool hasScheme = target.compare(0, kScheme.size(), kScheme) == 0;
    const auto address = settings::SocketAddress::ParseWithHostName(
      hasScheme ? target.substr(kScheme.size()) : std::string());
    if (!address || address->Port() == 0) {
      return MakeUsageError("--target: given \"" + target +
                            "\", allowed http://ip:port, comma-separated");
    }
    targets.push_back(std::move(target));
  }
  return targets;
}

std::optional<UsageError> CheckDuration(const char* aFlag, std::int64_t aValue)
{
  if (aValue >= 1 && aValue <= kMaxTimeoutMs) {
    return std::nullopt;
  }
  return UsageError{ std::string(aFlag) + ": given " + std::to_string(aValue) +
                     ", allowed 1 to " + std::to_string(kMaxTimeoutMs) };
}

ParsedCommand ParseValidate(const Strings& aOperands, const Flags& aFlags)
{
  if (aOperands.empty()) {
    return MakeUsageError("validate: a folder or files are missing");
  }
  ValidateCommand command;
  command.m_paths.assign(aOperands.begin(), aOperands.end());
  if (!aFlags.m_sites.empty()) {
    for (auto& site : SplitList(aFlags.m_sites)) {
      if (site.empty()) {
        return MakeUsageError(
          "--sites: given an empty name, allowed names of sites, "
          "comma-separated");
      }
      command.m_sites.emplace_back(std::move(site));
    }
  }
  return command;
}

ParsedCommand ParseApply(const Strings& aOperands, const Flags& aFlags)
{
  if (aOperands.size() != 1) {
    return MakeUsageError("apply: exactly one file is required");
  }
  return ApplyCommand{ aOperands.front(),
                       aFlags.m_wait,
                       std::chrono::milliseconds(aFlags.m_timeoutMs) };
}

ParsedCommand ParseConfig(const Strings& aOperands, const Flags&)
{
  const std::string action = aOperands.empty() ? "" : aOperands.front();
  if (action == "show" && aOperands.size() <= 2) {
    ShowConfigurationCommand command;
    if (aOperands.size() == 2) {
      command.m_site = settings::SiteName(aOperands.back());
    }
    return command;
  }
  if (action == "history" && aOperands.size() == 1) {
    return ShowHistoryCommand{};
  }
  return MakeUsageError("config: allowed are `config show [SITE]` and "
                        "`config history`");
}

ParsedCommand ParseMemberChange(const Strings& aOperands)
{
  constexpr std::array kChanges{ MemberChange::Add,
                                 MemberChange::Promote,
                                 MemberChange::Remove };
  const auto* change =
    std::find_if(kChanges.begin(), kChanges.end(), [&](MemberChange aChange) {
      return ToString(aChange) == aOperands.front();
    });
  const std::size_t expected =
    change != kChanges.end() && *change == MemberChange::Add ? 3 : 2;
  if (change == kChanges.end() || aOperands.size() != expected ||
      aOperands[1].empty()) {
    return MakeUsageError(
      "members: allowed are `members`, `members add INSTANCE "
      "ADDRESS`, `members promote INSTANCE` and `members remove "
      "INSTANCE`");
  }
  ChangeMembersCommand command{ *change, InstanceId(aOperands[1]), "" };
  if (*change == MemberChange::Add) {
    const auto address = settings::SocketAddress::Parse(aOperands[2]);
    if (!address || address->Port() == 0) {
      return MakeUsageError("members add: given address \"" + aOperands[2] +
                            "\", allowed ip:port");
    }
    command.m_address = address->ToString();
  }
  return command;
}

ParsedCommand ParseMembers(const Strings& aOperands, const Flags&)
{
  return aOperands.empty() ? ParsedCommand(ShowMembersCommand{})
                           : ParseMemberChange(aOperands);
}

template<typename Alternative>
ParsedCommand ParseWithoutOperands(const Strings& aOperands, const Flags&)
{
  if (!aOperands.empty()) {
    return MakeUsageError("unexpected operand \"" + aOperands.front() + "\"");
  }
  return Alternative{};
}

ParsedCommand ParseExplain(const Strings& aOperands, const Flags& /*aFlags*/)
{
  constexpr std::size_t kOperandCount = 2;
  if (aOperands.size() != kOperandCount) {
    return MakeUsageError("explain: an id and a folder of logs are required");
  }
  return ExplainCommand{ aOperands[0], aOperands[1] };
}

struct CommandParser
{
  std::string_view m_name;
  ParsedCommand (*m_parse)(const Strings&, const Flags&);
};

constexpr std::array kCommands{
  CommandParser{ "validate", &ParseValidate },
  CommandParser{ "apply", &ParseApply },
  CommandParser{ "config", &ParseConfig },
  CommandParser{ "status", &ParseWithoutOperands<ShowStatusCommand> },
  CommandParser{ "backends", &ParseWithoutOperands<ShowBackendsCommand> },
  CommandParser{ "report", &ParseWithoutOperands<ShowReportCommand> },
  CommandParser{ "drain", &ParseWithoutOperands<DrainCommand> },
  CommandParser{ "members", &ParseMembers },
  CommandParser{ "explain", &ParseExplain },
};

ParsedCommand ParseCommand(const Strings& aArguments, const Flags& aFlags)
{
  if (aArguments.empty()) {
    return MakeUsageError("a command is missing");
  }
  const auto* parser = std::find_if(
    kCommands.begin(), kCommands.end(), [&](const CommandParser& aParser) {
      return aParser.m_name == aArguments.front();
    });
  if (parser == kCommands.end()) {
    return MakeUsageError("unknown command \"" + aArguments.front() + "\"");
  }
  return parser->m_parse(Strings(aArguments.begin() + 1, aArguments.end()),
                         aFlags);
}

/** Rejects flags that the command would silently ignore. */
std::optional<UsageError> CheckFlags(const Invocation& aInvocation,
                                     const Flags& aFlags)
{
  const Command& command = aInvocation.m_command;
  if (aFlags.m_wait && !std::holds_alternative<ApplyCommand>(command)) {
    return UsageError{ "--wait belongs to apply" };
  }
  if (!aFlags.m_sites.empty() &&
      !std::holds_alternative<ValidateCommand>(command)) {
    return UsageError{ "--sites belongs to validate" };
  }
  // With several targets, a fallback to the next one would drain an instance
  // that the operator did not intend to drain.
  if (std::holds_alternative<DrainCommand>(command) &&
      aInvocation.m_targets.size() != 1) {
    return UsageError{ "drain: exactly one --target is required" };
  }
  if (auto error = CheckDuration("--timeout_ms", aFlags.m_timeoutMs)) {
    return error;
  }
  return CheckDuration("--request_timeout_ms", aFlags.m_requestTimeoutMs);
}

} // namespace internal

std::string_view ToString(MemberChange aChange) noexcept
{
  switch (aChange) {
    case MemberChange::Promote:
      return "promote";
    case MemberChange::Remove:
      return "remove";
    case MemberChange::Add:
      break;
  }
  return "add";
}

tl::expected<Invocation, UsageError> ParseArguments(
  const std::vector<std::string>& aArguments,
  const Flags& aFlags)
{
  auto command = internal::ParseCommand(aArguments, aFlags);
  if (!command) {
    return tl::make_unexpected(std::move(command.error()));
  }
  auto targets = internal::ParseTargets(aFlags.m_target);
  if (!targets) {
    return tl::make_unexpected(std::move(targets.error()));
  }
  Invocation invocation{ std::move(*command),
                         std::move(*targets),
                         aFlags.m_json,
                         std::chrono::milliseconds(aFlags.m_requestTimeoutMs) };
  if (auto error = internal::CheckFlags(invocation, aFlags)) {
    return tl::make_unexpected(std::move(*error));
  }
  return invocation;
}

std::string UsageText()
{
  return "usage: trestlectl [flags] COMMAND\n"
         "\n"
         "commands:\n"
         "  validate FOLDER|FILES            check configuration files\n"
         "  apply FILE                       send base.toml or SITE.toml\n"
         "  config show [SITE]               configuration in force\n"
         "  config history                   accepted edits\n"
         "  status                           state of the instance\n"
         "  backends                         backend servers\n"
         "  report                           waiting, latency, idle time\n"
         "  drain                            shut the instance down "
         "gracefully\n"
         "  members                          members of the ledger\n"
         "  members add INSTANCE ADDRESS     add a learner\n"
         "  members promote INSTANCE         make a learner a voter\n"
         "  members remove INSTANCE          remove a member\n"
         "  explain ID FOLDER                what the logs in a folder tell "
         "of\n"
         "                                   a request, job or item\n"
         "\n"
         "flags:\n"
         "  --target=LIST            http://ip:port, comma-separated, tried "
         "in\n"
         "                           order (http://127.0.0.1:8080)\n"
         "  --json                   raw JSON on standard output\n"
         "  --request_timeout_ms=N   limit of one request (10000)\n"
         "  --wait                   apply: wait until in force everywhere\n"
         "  --timeout_ms=N           apply --wait: limit of the wait (30000)\n"
         "  --sites=LIST             validate: sites that need an overlay\n"
         "\n"
         "exit codes: 0 success, 1 request failed, 2 invalid input or usage,\n"
         "3 no instance reachable, 4 conflict, 5 wait timed out\n";
}

} // namespace auburntrestle::operator_client
