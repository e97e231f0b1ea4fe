#ifndef AUBURNTRESTLE_FLEET_MESSAGES_HPP
#define AUBURNTRESTLE_FLEET_MESSAGES_HPP

#include "auburntrestle/fleet/backend_record.hpp"
#include "auburntrestle/fleet/commands.hpp"
#include "auburntrestle/fleet/job.hpp"
#include "auburntrestle/fleet/route_configuration.hpp"
#include "auburntrestle/protocol/frame.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace auburntrestle::fleet {

/** Messages of the replicated log. */
inline constexpr protocol::Channel kLogChannel{ 1 };
/** Tells an instance with a disk that is no member of the log who leads. */
inline constexpr protocol::Channel kLeaderChannel{ 2 };
/** Proposes a Command at the leader; answered by CommandReply. */
inline constexpr protocol::Method kProposeMethod{ 1 };
/** Asks the leader a Query. */
inline constexpr protocol::Method kQueryMethod{ 2 };

/** Copies a part of a text segment to a member; answered by the number of bytes
 * that the member holds of the segment. */
inline constexpr protocol::Method kOutputChunkMethod{ 3 };

/** Who leads the log, and who may lead it next. */
struct LeaderNotice
{
  Term m_term;
  InstanceId m_leader;
  std::vector<InstanceId> m_members;
};

/** A part of a text segment. */
struct OutputChunk
{
  OutputSegment m_segment;
  std::uint64_t m_offset = 0;
  std::string m_bytes;
  /** Nothing follows for now; the segment is made durable. */
  bool m_last = false;
};

/** Counts the changes of the backend servers known to a leader. */
using DirectoryRevision =
  StrongType<struct DirectoryRevisionTag, std::uint64_t>;

/** Asks for results of a job; answered by JobView. */
struct ReadJob
{
  JobId m_job;
  std::uint64_t m_after = 0;
  /** How long the answer may be held back until there is a result. */
  Duration m_wait{};
};

/** Asks for the body of an item; answered by ItemView. */
struct ReadItem
{
  JobId m_job;
  ItemId m_item;
};

/** Asks for the newest configuration; answered by ConfigurationView. */
struct ReadConfiguration
{};

/** Asks for the state of a machine that is being emptied. */
struct ReadRetirement
{
  std::string m_machine;
};

/** Asks for what is newer than the caller holds; the answer is held back until
 * there is something. Answered by DirectoryView. */
struct Watch
{
  ConfigurationVersion m_configuration;
  Term m_term;
  DirectoryRevision m_directory;
};

using Query =
  std::variant<ReadJob, ReadItem, ReadConfiguration, ReadRetirement, Watch>;

/** What became of a proposed command. */
struct CommandReply
{
  CommandResult m_result = CommandResult::Done;
};

/** Results of a job. */
struct JobView
{
  bool m_exists = false;
  std::uint64_t m_total = 0;
  std::uint64_t m_next = 0;
  std::vector<ItemResult> m_results;
};

/** The body of an item that has no result yet. */
struct ItemView
{
  std::optional<std::string> m_body;
};

/** The newest configuration as the operator sent it, if there is one. */
struct ConfigurationView
{
  ConfigurationVersion m_version;
  std::string m_document;
};

/** How far the emptying of a machine has come. */
enum class Retirement : std::uint8_t
{
  Unknown,
  Running,
  Completed,
};

struct RetirementView
{
  Retirement m_state = Retirement::Unknown;
};

/** What changed since a Watch. */
struct DirectoryView
{
  Term m_term;
  DirectoryRevision m_directory;
  /** The configuration, if it is newer than the one held. */
  std::optional<ConfigurationView> m_configuration;
  /** All backend servers, if any changed. */
  std::optional<std::vector<BackendRecord>> m_backends;
  /** The members of the log. */
  std::vector<InstanceId> m_members;
};

using ReplyBody = std::variant<CommandReply,
                               JobView,
                               ItemView,
                               ConfigurationView,
                               RetirementView,
                               DirectoryView>;

} // namespace auburntrestle::fleet

#endif
