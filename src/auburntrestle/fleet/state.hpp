#ifndef AUBURNTRESTLE_FLEET_STATE_HPP
#define AUBURNTRESTLE_FLEET_STATE_HPP

#include "auburntrestle/fleet/commands.hpp"
#include "auburntrestle/fleet/messages.hpp"
#include "auburntrestle/protocol/error.hpp"
#include "auburntrestle/protocol/fwd.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace auburntrestle::fleet {

/** A member of the log, as it announced itself. */
struct MemberRecord
{
  std::string m_machine;
  DataCentreId m_dataCentre;
};

/**
 * The replicated state machine: the same commands in the same order give the
 * same state on all members of the log.
 */
class State
{
public:
  /** @param aOutputs stores the outputs; must outlive the state. */
  explicit State(OutputStore& aOutputs);

  /**
   * Applies a command. Commands are idempotent: applying one again gives the
   * same result and changes nothing.
   *
   * @return the result, or why an output could not be stored; the state must
   *   not be used after that.
   */
  tl::expected<CommandResult, OutputStoreError> Apply(const Command& aCommand);

  /** @return a result together with its output. */
  [[nodiscard]] tl::expected<ItemResult, OutputStoreError> Load(
    const StoredResult& aResult) const;
  /** @return an item of a job together with its stored bodies; see ItemLoader.
   */
  [[nodiscard]] std::optional<JobItem> Load(const JobId& aJob,
                                            const JobItem& aItem) const;
  /** @return the output segments in use, each with the offset up to which it is
   * in use. */
  [[nodiscard]] std::map<OutputSegment, std::uint64_t> OutputSegments() const;

  /** @return the current configuration; version 0 if there is none. */
  [[nodiscard]] const ConfigurationView& Configuration() const noexcept
  {
    return m_configuration;
  }
  [[nodiscard]] const std::map<BackendId, BackendRecord>& Backends()
    const noexcept
  {
    return m_backends;
  }
  /** @return the number of changes of Backends. */
  [[nodiscard]] DirectoryRevision Directory() const noexcept
  {
    return m_directory;
  }
  /** @return the newest published version of each model. */
  [[nodiscard]] const std::map<ModelName, WeightVersion>& Weights()
    const noexcept
  {
    return m_weights;
  }
  /** @return the origin of a stream, or null if it is not known (any more). */
  [[nodiscard]] const StreamOrigin* FindStream(const StreamId& aId) const;
  [[nodiscard]] const UsageState& Usage() const noexcept { return m_usage; }
  [[nodiscard]] const std::map<InstanceId, MemberRecord>& Members()
    const noexcept
  {
    return m_members;
  }
  /** @return whether the machine of an instance is being retired. */
  [[nodiscard]] bool IsRetiring(const InstanceId& aInstance) const;
  [[nodiscard]] bool IsRetiringMachine(const std::string& aMachine) const;
  /** @return the instances of a machine. */
  [[nodiscard]] std::vector<InstanceId> InstancesOf(
    const std::string& aMachine) const;
  /** @return a job, or null. */
  [[nodiscard]] const Job* FindJob(const JobId& aId) const;
  /** @return the ids of all jobs in the order of acceptance. */
  [[nodiscard]] const std::deque<JobId>& JobOrder() const noexcept
  {
    return m_jobOrder;
  }
  /** @return the bytes that all jobs take in memory. */
  [[nodiscard]] std::size_t JobMemory() const noexcept { return m_jobMemory; }
  /** @return whether an announcement would change the state. */
  [[nodiscard]] bool IsChange(const BackendRecord& aRecord) const;
  [[nodiscard]] bool IsChange(const AnnounceMember& aMember) const;

  /** @return the state without the contents of the output store, as
   * MessagePack. */
  [[nodiscard]] std::string Snapshot() const;
  /** @param aBytes a snapshot; empty for the initial state. */
  [[nodiscard]] static protocol::Expected<State> Restore(
    std::string_view aBytes,
    OutputStore& aOutputs);

private:
  /** Maximum number of records of removed backend servers, which are kept to
   * reject late announcements. */
  static constexpr std::size_t kMaxRemoved = 4096;

  /** Longer than a caller tries to resume a stream. */
  static constexpr WallTime kStreamRetention = std::chrono::seconds(120);
  static constexpr std::size_t kMaxStreams = 20'000;

  CommandResult On(const PutConfiguration& aCommand);
  CommandResult On(const AnnounceBackend& aCommand);
  CommandResult On(const RemoveBackend& aCommand);
  CommandResult On(const PublishWeights& aCommand);
  CommandResult On(const AnnounceMember& aCommand);
  CommandResult On(const RetireMember& aCommand);
  /** @return the number of members that remain in use after a retirement. */
  [[nodiscard]] std::size_t CountRemaining(const RetireMember& aCommand) const;
  tl::expected<CommandResult, OutputStoreError> On(const AcceptJob& aCommand);
  tl::expected<CommandResult, OutputStoreError> On(
    const RecordResults& aCommand);
  CommandResult On(const EndJob& aCommand);
  CommandResult On(const ForgetJobs& aCommand);
  CommandResult On(const RecordProgress& aCommand);
  CommandResult On(const RecordOrder& aCommand);
  CommandResult On(const RecordDutyLease& aCommand);
  CommandResult On(const RecordUsage& aCommand);
  CommandResult On(const CompleteUsage& aCommand);
  CommandResult On(const RecordStream& aCommand);
  void AddStream(const StreamRecord& aStream);
  /** Reads the members or a job of a snapshot. */
  void ReadMembers(protocol::Reader& aReader);
  void ReadJob(protocol::Reader& aReader);
  Job& AddJob(std::shared_ptr<const JobSpec> aSpec, WallTime aAcceptedAt);
  /** @return a copy of an item whose large bodies are in the output store. */
  [[nodiscard]] tl::expected<JobItem, OutputStoreError> StoreBodies(
    const JobItem& aItem);
  /** Reads a body from the output store if it is stored. */
  [[nodiscard]] tl::expected<void, OutputStoreError> LoadBody(
    std::string& aBody,
    std::optional<OutputReference>& aStored) const;
  /** Moves a body to the output store if it is large. */
  [[nodiscard]] tl::expected<void, OutputStoreError> StoreBody(
    std::string& aBody,
    std::optional<OutputReference>& aStored);
  /** Adds a result unless the item has one.
   * @param aIsRecorded whether its output is the recorded progress. */
  [[nodiscard]] tl::expected<void, OutputStoreError>
  StoreResult(Job& aJob, const ItemResult& aResult, bool aIsRecorded);
  /** Marks a job as ended and releases all but its results. */
  void Close(Job& aJob);
  void MarkRemoved(BackendRecord& aRecord);
  /** @return whether a later process announced the same address. */
  [[nodiscard]] bool IsSuperseded(const BackendRecord& aRecord) const;

  OutputStore* m_outputs;
  ConfigurationView m_configuration;
  std::map<BackendId, BackendRecord> m_backends;
  /** Removed backend servers, oldest first. */
  std::deque<BackendId> m_removed;
  DirectoryRevision m_directory;
  std::map<ModelName, WeightVersion> m_weights;
  std::map<InstanceId, MemberRecord> m_members;
  /** Machines that are being retired. */
  std::set<std::string> m_retiring;
  std::unordered_map<JobId, Job> m_jobs;
  std::deque<JobId> m_jobOrder;
  /** What m_jobs take in memory. */
  std::size_t m_jobMemory = 0;
  UsageState m_usage;
  std::unordered_map<StreamId, StreamRecord> m_streams;
  /** The ids of m_streams, oldest first. */
  std::deque<StreamId> m_streamOrder;
};

} // namespace auburntrestle::fleet

#endif
