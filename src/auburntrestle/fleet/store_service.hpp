#ifndef AUBURNTRESTLE_FLEET_STORE_SERVICE_HPP
#define AUBURNTRESTLE_FLEET_STORE_SERVICE_HPP

#include "auburntrestle/event_loop/event_loop.hpp"
#include "auburntrestle/fleet/engine_pool.hpp"
#include "auburntrestle/fleet/instance_options.hpp"
#include "auburntrestle/fleet/job_runner.hpp"
#include "auburntrestle/fleet/leader_link.hpp"
#include "auburntrestle/fleet/query_server.hpp"
#include "auburntrestle/fleet/replica.hpp"
#include "auburntrestle/http/client.hpp"
#include "auburntrestle/protocol/peer_transport.hpp"

#include <tl/expected.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace auburntrestle::fleet {

/** How the service answers a request of an operator or backend server. */
enum class ControlOutcome : std::uint8_t
{
  Done,
  /** The document is invalid. */
  Invalid,
  NotFound,
  /** Too few members would remain. */
  TooFewRemain,
  /** Not known to be done; may be asked again. */
  Unavailable,
};

/**
 * An instance that keeps the log: answers operators and backend servers, and
 * runs batch jobs while it leads.
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

  /** Takes an operator's configuration into force. */
  void PutConfiguration(const std::string& aDocument,
                        OutcomeCallback aCallback);
  /** Calls back with the newest configuration, or nothing when this instance
   * cannot be sure which one that is. */
  void GetConfiguration(
    std::function<void(std::optional<ConfigurationView>)> aCallback);
  /** Takes the announcement of a backend server. */
  void Announce(const BackendRecord& aRecord, OutcomeCallback aCallback);
  /** A backend server has left. */
  void Remove(const BackendId& aId, OutcomeCallback aCallback);
  /** A trainer names a version. */
  void PublishWeights(const ModelName& aModel,
                      WeightVersion aVersion,
                      OutcomeCallback aCallback);
  /** Begins to empty a machine. */
  void Retire(const std::string& aMachine, OutcomeCallback aCallback);
  /** Calls back with how far a machine is emptied, or nothing when unsure. */
  void GetRetirement(const std::string& aMachine,
                     std::function<void(std::optional<Retirement>)> aCallback);

  /** Hands over what this instance leads; the process may exit soon after. */
  void PrepareShutdown();
  /** Takes other seeds from changed settings. */
  void SetSeeds(std::vector<InstanceId> aSeeds);
  [[nodiscard]] bool Leads() const noexcept { return m_replica->Leads(); }

private:
  StoreService(event_loop::EventLoop& aLoop,
               InstanceOptions aOptions,
               StoreOptions aStore,
               EngineProtocol aProtocol);
  [[nodiscard]] tl::expected<void, StartError> Open();
  [[nodiscard]] LocalLeader MakeLocalLeader();
  [[nodiscard]] protocol::PeerHandlers MakePeerHandlers();
  void AnnounceMyself();
  /** Tells instances with a disk that are no members who leads. */
  void NotifyOthers();
  void TakeNotice(const std::string& aPayload);
  /** @return the leader as far as is known here. */
  [[nodiscard]] std::optional<InstanceId> KnownLeader() const;

  // The leader's side.
  void ProposeHere(
    const Command& aCommand,
    std::function<void(tl::expected<CommandResult, LinkError>)> aCallback);
  void TakeCall(protocol::Method aMethod,
                const std::string& aPayload,
                const protocol::Reply& aReply);
  void SendTextPart(
    const InstanceId& aTo,
    const OutputChunk& aPart,
    std::function<void(protocol::Expected<std::uint64_t>)> aCallback);
  void TakeTextPart(const std::string& aPayload, const protocol::Reply& aReply);

  // The state.
  void OnApplied(const Command& aCommand);
  void OnRestored();
  void OnLeading(bool aLeads);
  void ReadRoutes();
  void ForgetOldJobs();

  event_loop::EventLoop& m_loop;
  InstanceOptions m_options;
  StoreOptions m_store;
  EngineProtocol m_protocol;
  std::unique_ptr<Replica> m_replica;
  std::unique_ptr<QueryServer> m_queries;
  std::unique_ptr<LeaderLink> m_link;
  std::unique_ptr<http::Client> m_client;
  std::unique_ptr<EnginePool> m_engines;
  std::unique_ptr<JobRunner> m_runner;
  std::shared_ptr<const RouteTable> m_routes;
  /** The newest notice of a leader to this instance, and when it came. */
  LeaderNotice m_notice;
  TimePoint m_noticedAt{};
  /** When an order to an engine was last applied here. */
  std::optional<TimePoint> m_lastOrder;
  /** Destroyed first, because its thread calls into the rest. */
  std::unique_ptr<protocol::PeerTransport> m_transport;
};

} // namespace auburntrestle::fleet

#endif
