#ifndef AUBURNTRESTLE_FLEET_MESSAGES_HPP
#define AUBURNTRESTLE_FLEET_MESSAGES_HPP

#include "auburntrestle/fleet/backend_record.hpp"
#include "auburntrestle/fleet/backend_statement.hpp"
#include "auburntrestle/fleet/commands.hpp"
#include "auburntrestle/fleet/job.hpp"
#include "auburntrestle/fleet/route_configuration.hpp"
#include "auburntrestle/fleet/usage.hpp"
#include "auburntrestle/protocol/frame.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace auburntrestle::fleet {

/** Messages of the replicated log. */
inline constexpr protocol::Channel kLogChannel{ 1 };
/** Leader notices for instances with a disk that are not members of the log. */
inline constexpr protocol::Channel kLeaderChannel{ 2 };
/** Proposes a Command to the leader; the reply is a CommandReply. */
inline constexpr protocol::Method kProposeMethod{ 1 };
/** Sends a Query to the leader. */
inline constexpr protocol::Method kQueryMethod{ 2 };

/** Copies a chunk of an output segment to a member; the reply is the size of
 * the member's copy of the segment in bytes. */
inline constexpr protocol::Method kOutputChunkMethod{ 3 };

/** The leader of the log and the members that may lead it next. */
struct LeaderNotice
{
  Term m_term;
  InstanceId m_leader;
  std::vector<InstanceId> m_members;
};

/** A chunk of an output segment. */
struct OutputChunk
{
  OutputSegment m_segment;
  std::uint64_t m_offset = 0;
  std::string m_bytes;
  /** The last chunk for now; the receiver makes the segment durable. */
  bool m_last = false;
};

/** Counts the changes of the backend servers in the replicated state. */
using DirectoryRevision =
  StrongType<struct DirectoryRevisionTag, std::uint64_t>;

/** Reads results of a job; the reply is a JobView. */
struct ReadJob
{
  JobId m_job;
  /** Number of results to skip. */
  std::uint64_t m_after = 0;
  /** Maximum time to wait for a result. */
  Duration m_wait{};
  /** A job of another account does not exist for the reader; absent if jobs of
   * all accounts do. */
  std::optional<AccountName> m_account = std::nullopt;
};

/** Reads the body of an item; the reply is an ItemView. */
struct ReadItem
{
  JobId m_job;
  ItemId m_item;
  /** See ReadJob::m_account. */
  std::optional<AccountName> m_account = std::nullopt;
};

/** Reads the newest configuration; the reply is a ConfigurationView. */
struct ReadConfiguration
{};

/** Reads how far a machine is retired; the reply is a RetirementView. */
struct ReadRetirement
{
  std::string m_machine;
};

/** Waits until something is newer than the given state; the reply is a
 * DirectoryView. Answered by the leader and by relays. */
struct Watch
{
  ConfigurationVersion m_configuration;
  Term m_term;
  DirectoryRevision m_directory;
  /** The reply needs only the versions, because the sender gets the contents
   * through the log. Answered by the leader only. */
  bool m_versionsOnly = false;
};

/** Asks for a permit to send a request to a backend server that stated a rate
 * limit; the reply is a PermitView. */
struct RequestPermit
{
  BackendProcess m_backend;
  RequestRate m_limit;
};

/** The usage counts of an entry instance, which replace those that the same run
 * of it sent before; the reply is a UsageView. */
struct SubmitUsage
{
  InstanceId m_instance;
  /** Tells apart the runs of the instance. */
  Incarnation m_incarnation;
  /** Increases with each submission of a run. */
  std::uint64_t m_sequence = 0;
  /** The counts of all windows that are open as far as the instance knows. */
  UsageByWindow m_counts;
};

/** Reads which software began a stream; the reply is a StreamView. */
struct ReadStream
{
  StreamId m_id;
};

using Query = std::variant<ReadJob,
                           ReadItem,
                           ReadConfiguration,
                           ReadRetirement,
                           Watch,
                           RequestPermit,
                           SubmitUsage,
                           ReadStream>;

/** The reply to a proposed command. */
struct CommandReply
{
  CommandResult m_result = CommandResult::Done;
};

/** Results of a job. */
struct JobView
{
  bool m_exists = false;
  /** Number of items of the job. */
  std::uint64_t m_total = 0;
  /** Position after the last of m_results. */
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

/** Progress of the retirement of a machine. */
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

/** A member of the log that passes routes and backend servers on to other
 * instances. */
struct Relay
{
  InstanceId m_instance;
  DataCentreId m_dataCentre;
};

/** What changed relative to a Watch. */
struct DirectoryView
{
  /** The term of the leader that confirmed this view. */
  Term m_term;
  DirectoryRevision m_directory;
  /** The configuration, if it is newer than the version of the Watch. */
  std::optional<ConfigurationView> m_configuration;
  /** All backend servers, if any changed. */
  std::optional<std::vector<BackendRecord>> m_backends;
  /** The members of the log. */
  std::vector<InstanceId> m_members;
  /** The version of the configuration of the replying instance. */
  ConfigurationVersion m_newestConfiguration = {};
  /** Age of the leader's confirmation that nothing was newer. */
  Duration m_confirmationAge = Duration::zero();
  std::vector<Relay> m_relays = {};
  /** The replying instance's estimate of true time; 0 if it has none. */
  WallTime m_wallTime = WallTime::zero();
};

/** Whether a request may be sent to a backend server. */
struct PermitView
{
  bool m_granted = false;
  /** The time until the next permit, if none was granted. */
  Duration m_retryAfter{};
};

/** How far usage has been reported. */
struct UsageView
{
  /** The counts of earlier windows are final. */
  UsageWindow m_firstOpen;
  /** The term of the leader that took over the counts. */
  Term m_term = {};
};

/** The origin of a stream, if it is known. */
struct StreamView
{
  std::optional<StreamOrigin> m_origin;
};

using ReplyBody = std::variant<CommandReply,
                               JobView,
                               ItemView,
                               ConfigurationView,
                               RetirementView,
                               DirectoryView,
                               PermitView,
                               UsageView,
                               StreamView>;

} // namespace auburntrestle::fleet

#endif
