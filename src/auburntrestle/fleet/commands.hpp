#ifndef AUBURNTRESTLE_FLEET_COMMANDS_HPP
#define AUBURNTRESTLE_FLEET_COMMANDS_HPP

#include "auburntrestle/fleet/backend_record.hpp"
#include "auburntrestle/fleet/job.hpp"
#include "auburntrestle/fleet/route_configuration.hpp"
#include "auburntrestle/fleet/stream_origin.hpp"
#include "auburntrestle/fleet/usage.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace auburntrestle::fleet {

/** Replaces the route configuration by a validated one if its version is
 * higher. */
struct PutConfiguration
{
  ConfigurationVersion m_version;
  /** The configuration as the operator sent it. */
  std::string m_document;
};

/** Registers a backend server or changes its state. */
struct AnnounceBackend
{
  BackendRecord m_record;
};

/** Records that an incarnation of a backend server is removed. */
struct RemoveBackend
{
  BackendId m_id;
  /** The incarnation to remove, or 0 for any. */
  Incarnation m_incarnation;
};

/** Publishes a new version of a model's weights. */
struct PublishWeights
{
  ModelName m_model;
  WeightVersion m_version;
};

/** Registers a member of the log with its machine name. */
struct AnnounceMember
{
  InstanceId m_instance;
  std::string m_machine;
  DataCentreId m_dataCentre;
};

/** Retires a machine: its instance leaves the log. */
struct RetireMember
{
  std::string m_machine;
  /** The minimum number of members that must remain. */
  std::uint32_t m_minRemaining = 0;
  /** Announced instances that the leader found lost, and which therefore do not
   * remain; set by the leader. */
  std::vector<InstanceId> m_lost = {};
};

/** Accepts a batch job; a known id is ignored. */
struct AcceptJob
{
  JobSpec m_spec;
  WallTime m_acceptedAt{};
};

/** The results of one job. */
struct JobResults
{
  JobId m_job;
  std::vector<ItemResult> m_results;
  /** The items among m_results whose output is empty here because it is the
   * complete output that RecordProgress recorded before. */
  std::vector<ItemId> m_recordedOutputs = {};
};

/** Appends results; items that already have a result are skipped. */
struct RecordResults
{
  std::vector<JobResults> m_jobs;
};

/** Further output of an item that is still running. */
struct ItemProgress
{
  ItemId m_id;
  /** The last event of the previous record; absent if the output starts here,
   * for the first time or again. */
  std::optional<std::uint64_t> m_after;
  std::uint64_t m_lastEvent = 0;
  /** The output after m_after. */
  std::string m_output;
  /** The weight versions of the output from its start, ascending. */
  std::vector<WeightVersion> m_versions;
  /** m_lastEvent is the last event of the output. */
  bool m_complete = false;
  /** See PartialOutput. */
  SoftwareVersion m_software = {};
};

/** Records partial outputs of long items and complete outputs that wait for
 * their score, so that the next leader can resume them. */
struct RecordProgress
{
  JobId m_job;
  std::vector<ItemProgress> m_items;
};

/** Recorded before an order is sent to an engine, so that the next leader knows
 * how long to wait before its own first order. */
struct RecordOrder
{
  BackendId m_engine;
  ModelName m_model;
  WeightVersion m_version;
};

/** Ends a job; its unfinished items are cancelled. */
struct EndJob
{
  JobId m_job;
  /** A job of another account does not exist for the sender; absent if jobs of
   * all accounts do. */
  std::optional<AccountName> m_account = std::nullopt;
};

/** Recorded before a holder calls the API of the infrastructure, so that the
 * next one knows how long to wait before its own first call. */
struct RecordDutyLease
{
  Term m_term;
  /** The machine of the holder. */
  std::string m_holder;
};

/** Closes a window of usage reports with its final counts. A window that is
 * closed already keeps its counts. */
struct RecordUsage
{
  UsageWindow m_window;
  UsageCounts m_counts;
};

/** Records that a window was reported, or that it is not to be reported. */
struct CompleteUsage
{
  UsageWindow m_window;
};

/** Removes ended jobs after their retention time. */
struct ForgetJobs
{
  std::vector<JobId> m_jobs;
};

/** Records which software began a stream, before its first event is passed on;
 * a known id is ignored. */
struct RecordStream
{
  StreamRecord m_stream;
};

using Command = std::variant<PutConfiguration,
                             AnnounceBackend,
                             RemoveBackend,
                             PublishWeights,
                             AnnounceMember,
                             RetireMember,
                             AcceptJob,
                             RecordResults,
                             EndJob,
                             ForgetJobs,
                             RecordProgress,
                             RecordOrder,
                             RecordDutyLease,
                             RecordUsage,
                             CompleteUsage,
                             RecordStream>;

/** The result of applying a command. */
enum class CommandResult : std::uint8_t
{
  /** Applied now or before. */
  Done,
  /** The job, machine or service does not exist. */
  NotFound,
  /** Too few members would remain. */
  TooFewRemain,
  /** Contradicts the recorded state, such as a job with the id of another
   * account's job. */
  Conflict,
  /** Not applied, and never will be: the command is too large, or too many
   * bytes are being replicated. */
  NoRoom,
};

/** @return the stable name of a result, such as "not_found". */
[[nodiscard]] std::string_view ToString(CommandResult aResult) noexcept;

} // namespace auburntrestle::fleet

#endif
