#ifndef AUBURNTRESTLE_FLEET_STATE_HPP
#define AUBURNTRESTLE_FLEET_STATE_HPP

#include "auburntrestle/fleet/commands.hpp"
#include "auburntrestle/fleet/messages.hpp"
#include "auburntrestle/protocol/error.hpp"

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
 * The replicated state: equal commands in equal order give equal states on all
 * members of the log.
 */
class State
{
public:
  /** @param aTexts where outputs are stored; must outlive the state. */
  explicit State(OutputStore& aTexts);

  /**
   * Applies a command. Applying it again gives the same result and changes
   * nothing.
   *
   * @return the result, or why an output could not be stored; the state is
   *   then not to be used any more.
   */
  tl::expected<CommandResult, OutputStoreError> Apply(const Command& aCommand);

  /** @return a result with its output. */
  [[nodiscard]] tl::expected<ItemResult, OutputStoreError> Load(
    const StoredResult& aResult) const;
  /** @return the text segments in use, with the end of the part in use. */
  [[nodiscard]] std::map<OutputSegment, std::uint64_t> OutputSegments() const;

  /** @return the configuration in force; version 0 when there is none. */
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
  /** @return the newest version named for each model. */
  [[nodiscard]] const std::map<ModelName, WeightVersion>& Weights()
    const noexcept
  {
    return m_weights;
  }
  [[nodiscard]] const std::map<InstanceId, MemberRecord>& Members()
    const noexcept
  {
    return m_members;
  }
  /** @return whether the machine of an instance is being emptied. */
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
  /** @return whether an announcement would change the state. */
  [[nodiscard]] bool IsChange(const BackendRecord& aRecord) const;

  /** @return the state without outputs as MessagePack. */
  [[nodiscard]] std::string Snapshot() const;
  /** @param aBytes a snapshot; empty for the initial state. */
  [[nodiscard]] static protocol::Expected<State> Restore(
    std::string_view aBytes,
    OutputStore& aTexts);

private:
  /** Records of backend servers that have left, kept against late messages. */
  static constexpr std::size_t kMaxDeparted = 4096;

  CommandResult On(const PutConfiguration& aCommand);
  CommandResult On(const AnnounceBackend& aCommand);
  CommandResult On(const RemoveBackend& aCommand);
  CommandResult On(const PublishWeights& aCommand);
  CommandResult On(const AnnounceMember& aCommand);
  CommandResult On(const RetireMember& aCommand);
  CommandResult On(const AcceptJob& aCommand);
  tl::expected<CommandResult, OutputStoreError> On(
    const RecordResults& aCommand);
  CommandResult On(const EndJob& aCommand);
  CommandResult On(const ForgetJobs& aCommand);
  CommandResult On(const RecordProgress& aCommand);
  CommandResult On(const RecordOrder& aCommand);
  Job& AddJob(std::shared_ptr<const JobSpec> aSpec, WallTime aAcceptedAt);
  static void Close(Job& aJob);
  void MarkGone(BackendRecord& aRecord);
  [[nodiscard]] bool IsSuperseded(const BackendRecord& aRecord) const;

  OutputStore* m_texts;
  ConfigurationView m_configuration;
  std::map<BackendId, BackendRecord> m_backends;
  std::deque<BackendId> m_departed;
  DirectoryRevision m_directory;
  std::map<ModelName, WeightVersion> m_weights;
  std::map<InstanceId, MemberRecord> m_members;
  std::set<std::string> m_retiring;
  std::unordered_map<JobId, Job> m_jobs;
  std::deque<JobId> m_jobOrder;
};

} // namespace auburntrestle::fleet

#endif
