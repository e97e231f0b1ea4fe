#ifndef AUBURNTRESTLE_FLEET_STORE_SERVICE_HPP
#define AUBURNTRESTLE_FLEET_STORE_SERVICE_HPP

#include "auburntrestle/core/steady_wall_clock.hpp"
#include "auburntrestle/event_loop/event_loop.hpp"
#include "auburntrestle/fleet/backend_client.hpp"
#include "auburntrestle/fleet/directory_confirmation.hpp"
#include "auburntrestle/fleet/engine_pool.hpp"
#include "auburntrestle/fleet/instance_options.hpp"
#include "auburntrestle/fleet/job_runner.hpp"
#include "auburntrestle/fleet/leader_link.hpp"
#include "auburntrestle/fleet/leader_notices.hpp"
#include "auburntrestle/fleet/query_server.hpp"
#include "auburntrestle/fleet/replica.hpp"
#include "auburntrestle/fleet/scaling_service.hpp"
#include "auburntrestle/fleet/usage_service.hpp"
#include "auburntrestle/protocol/peer_transport.hpp"

#include <tl/expected.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburntrestle::fleet {

/** The result of a request of an operator or backend server. */
enum class ControlOutcome : std::uint8_t
{
  Done,
  /** The document is invalid. */
  Invalid,
  NotFound,
  /** Too few members would remain. */
  TooFewRemain,
  /** The outcome is unknown or the leader is unreachable; may be retried. */
  Unavailable,
};

/** A job that a command submits. */
struct SubmittedJob
{
  JobId m_id;
  /** What it will take in the memory of the state. */
  std::size_t m_memory = 0;
};

/**
 * An instance that stores the log. Serves operators and backend servers, and
 * runs batch jobs while it is the leader.
 */
class StoreService
{
public:
  using OutcomeCallback = std::function<void(ControlOutcome)>;

  [[nodiscard]] static tl::expected<std::unique_ptr<StoreService>, StartError>
  Start(event_loop::EventLoop& aLoop,
        InstanceOptions aOptions,
        StoreOptions aStore,
        EngineProtocol aProtocol);

  StoreService(const StoreService&) = delete;
  StoreService& operator=(const StoreService&) = delete;
  ~StoreService();

  /** Validates an operator's configuration and puts it into force. */
  void PutConfiguration(const std::string& aDocument,
                        OutcomeCallback aCallback);
  /** Calls back with the newest configuration, or nothing when the leader could
   * not confirm it. */
  void GetConfiguration(
    std::function<void(std::optional<ConfigurationView>)> aCallback);
  /** Registers a backend server or updates its record. */
  void Announce(const BackendRecord& aRecord, OutcomeCallback aCallback);
  /** Removes a backend server that has shut down. */
  void Remove(const BackendId& aId, OutcomeCallback aCallback);
  /** Publishes a new version of a model's weights. */
  void PublishWeights(const ModelName& aModel,
                      WeightVersion aVersion,
                      OutcomeCallback aCallback);
  /** Starts to remove the members of a machine from the log. */
  void Retire(const std::string& aMachine, OutcomeCallback aCallback);
  /** Calls back with the state of a retirement, or nothing when the leader
   * could not confirm it. */
  void GetRetirement(const std::string& aMachine,
                     std::function<void(std::optional<Retirement>)> aCallback);

  /** Transfers leadership, so that the process can exit soon after. */
  void PrepareShutdown();
  /** Replaces the seeds after a reload of the settings. */
  void SetSeeds(std::vector<InstanceId> aSeeds);
  [[nodiscard]] bool IsLeading() const noexcept
  {
    return m_replica->IsLeading();
  }

private:
  using ProposalCallback =
    std::function<void(const tl::expected<CommandResult, LinkError>&)>;

  StoreService(event_loop::EventLoop& aLoop,
               InstanceOptions aOptions,
               StoreOptions aStore,
               EngineProtocol aProtocol);
  [[nodiscard]] tl::expected<void, StartError> Open();
  [[nodiscard]] LocalLeader MakeLocalLeader();
  [[nodiscard]] protocol::PeerHandlers MakePeerHandlers();
  void AnnounceSelf();
  /** Sends a notice of the leader to the stores that may not know it. */
  void NotifyInstances();
  void HandleLeaderNotice(const std::string& aPayload);
  /** @return the leader known to the replica, or named by a recent notice. */
  [[nodiscard]] std::optional<InstanceId> KnownLeader() const;

  /** Sets up the duties that the settings name. */
  void SetUpDuties();
  void StartDuties();
  void StopDuties();
  /** Takes over the usage counts of an entry instance; to be called on the
   * leader. */
  [[nodiscard]] UsageView SubmitUsage(const fleet::SubmitUsage& aSubmission);

  /** Decides on another instance's request to a backend server with a rate
   * limit; to be called on the leader. */
  [[nodiscard]] PermitView GrantPermit(const RequestPermit& aRequest);

  /** Proposes the command of a control call, and logs a failure.
   * @param aCall the kind of call, for the log; must be a literal. */
  void ProposeControl(const Command& aCommand,
                      std::string_view aCall,
                      OutcomeCallback aCallback);

  // Proposals and calls of peers.
  /** @return the result of a command that needs no log entry, or nothing; to be
   * called on the leader. */
  [[nodiscard]] std::optional<CommandResult> ResultWithoutEntry(
    const Command& aCommand) const;
  /** @return whether a command announces what the state has already, or submits
   * a job that it has, which needs no log entry. Instances that are not members
   * of the log announce themselves, and forward every heartbeat, again and
   * again. */
  [[nodiscard]] bool IsRepeated(const Command& aCommand) const;
  void ProposeLocally(const Command& aCommand, ProposalCallback aCallback);
  /** @return a retirement with the stores that this leader found lost. */
  [[nodiscard]] Command AddLostStores(RetireMember aCommand) const;
  /** Proposes an encoded command. A job for which there is no room has the
   * result NoRoom, so that nobody sends it again at once.
   * @param aJob the job that the command submits, if it does. */
  void ProposeEncoded(SharedBytes aCommand,
                      std::optional<SubmittedJob> aJob,
                      ProposalCallback aCallback);
  /** Adds a job to those being replicated.
   * @return false if there is no room for it. */
  [[nodiscard]] bool TryStartReplication(const SubmittedJob& aJob,
                                         std::size_t aBytes);
  /** Ends the replication of a job with its outcome. */
  void FinishReplication(const SubmittedJob& aJob,
                         std::size_t aBytes,
                         const tl::expected<CommandResult, LinkError>& aResult);
  void HandleCall(protocol::Method aMethod,
                  std::string aPayload,
                  const protocol::Reply& aReply);
  void HandlePropose(std::string aPayload, const protocol::Reply& aReply);
  /** Refuses a call and names the leader. */
  void RefuseCall(const protocol::Reply& aReply) const;
  void SendOutputChunk(
    const InstanceId& aTo,
    const OutputChunk& aChunk,
    std::function<void(protocol::Expected<std::uint64_t>)> aCallback);
  void HandleOutputChunk(const std::string& aPayload,
                         const protocol::Reply& aReply);

  // Watches.
  /** Asks the leader whether the state of this member is up to date. */
  void ConfirmDirectory();
  /** Records the leader's estimate of true time. */
  void RecordPeerTime(const DirectoryView& aView);
  [[nodiscard]] DirectoryVersions OwnVersions() const;
  /** @return the age of the leader's last confirmation, if there was one. */
  [[nodiscard]] std::optional<Duration> ConfirmationAge();
  [[nodiscard]] DirectorySource GetDirectorySource();
  /** Answers a Watch as a relay. @return whether this instance can. */
  [[nodiscard]] bool TryRelay(const std::string& aPayload,
                              const protocol::Reply& aReply);

  // Changes of the state.
  void OnApplied(const Command& aCommand);
  void OnRestored();
  void OnLeadershipChanged(bool aIsLeading);
  void UpdateRoutes();
  /** Passes the backend servers on to what runs jobs while this instance
   * leads. */
  void UpdateBackends();
  void ForgetExpiredJobs();

  event_loop::EventLoop& m_loop;
  InstanceOptions m_options;
  StoreOptions m_store;
  EngineProtocol m_protocol;
  std::unique_ptr<Replica> m_replica;
  std::unique_ptr<QueryServer> m_queries;
  std::unique_ptr<LeaderLink> m_link;
  std::unique_ptr<BackendClient> m_client;
  std::unique_ptr<EnginePool> m_engines;
  std::unique_ptr<RewardCaller> m_rewards;
  std::unique_ptr<JobRunner> m_runner;
  SteadyWallClock m_clock;
  /** Null if there is no API of the infrastructure. */
  std::unique_ptr<DutyCaller> m_duties;
  /** Null if usage is not reported. */
  std::unique_ptr<UsageService> m_usage;
  /** Null if no servers are ordered. */
  std::unique_ptr<ScalingService> m_scaling;
  std::shared_ptr<const RouteTable> m_routes;
  LeaderNotices m_notices;
  DirectoryConfirmation m_confirmation;
  /** When the last record of an order to an engine was applied here. */
  std::optional<TimePoint> m_lastOrderAt;
  /** The jobs that are being replicated, with the callbacks of submissions that
   * came meanwhile. */
  std::map<JobId, std::vector<ProposalCallback>> m_replicatedJobs;
  /** The encoded bytes of these jobs. */
  std::size_t m_replicatedJobBytes = 0;
  /** What these jobs will take in the memory of the state. */
  std::size_t m_replicatedJobMemory = 0;
  /** Destroyed first, because its thread calls into the other members. */
  std::unique_ptr<protocol::PeerTransport> m_transport;
};

} // namespace auburntrestle::fleet

#endif
