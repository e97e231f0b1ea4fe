#ifndef AUBURNTRESTLE_FLEET_ENTRY_SERVICE_HPP
#define AUBURNTRESTLE_FLEET_ENTRY_SERVICE_HPP

#include "auburntrestle/core/random.hpp"
#include "auburntrestle/core/steady_wall_clock.hpp"
#include "auburntrestle/event_loop/event_loop.hpp"
#include "auburntrestle/fleet/backend_chooser.hpp"
#include "auburntrestle/fleet/backend_client.hpp"
#include "auburntrestle/fleet/instance_options.hpp"
#include "auburntrestle/fleet/leader_link.hpp"
#include "auburntrestle/fleet/request_relay.hpp"
#include "auburntrestle/fleet/usage_recorder.hpp"
#include "auburntrestle/fleet/watch_scheduler.hpp"
#include "auburntrestle/protocol/peer_transport.hpp"

#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace auburntrestle::fleet {

/** The outcome of a job submission. */
enum class SubmitOutcome : std::uint8_t
{
  /** Accepted by this request or an earlier one. */
  Accepted,
  /** Not accepted, and this request will not be accepted later. */
  NotAccepted,
  /** Another account's job has the id. */
  Conflict,
  /** The job may or may not be accepted, also later. */
  Unknown,
};

/** An instance that serves callers. It stores no state of its own. */
class EntryService
{
public:
  [[nodiscard]] static tl::expected<std::unique_ptr<EntryService>, StartError>
  Start(event_loop::EventLoop& aLoop,
        InstanceOptions aOptions,
        RequestHeaders aHeaders,
        RelayOptions aRelay);

  EntryService(const EntryService&) = delete;
  EntryService& operator=(const EntryService&) = delete;
  ~EntryService();

  /** Replaces the seeds after a reload of the settings. */
  void SetSeeds(std::vector<InstanceId> aSeeds)
  {
    m_link->SetSeeds(std::move(aSeeds));
  }
  /** Sets the callback that runs after each new configuration. */
  void OnConfiguration(std::function<void(const RouteTable&)> aCallback)
  {
    m_onConfiguration = std::move(aCallback);
  }

  /** Time limit of reading results, beside the wait for new ones, or the body
   * of an item. Callers read results about twice a second, and try another
   * instance when a read takes much longer. */
  static constexpr Duration kReadTimeout = std::chrono::milliseconds(1300);
  /** Time limit of ending a job. */
  static constexpr Duration kEndJobTimeout = std::chrono::milliseconds(2000);

  /** @return the routes in force, or null while none are known. */
  [[nodiscard]] std::shared_ptr<const RouteTable> Routes() const
  {
    return m_routes;
  }
  /** @return whether the leader confirmed the routes recently, so that a route
   * that is not among them does not exist. */
  [[nodiscard]] bool HasCurrentRoutes() const;

  /** Decides whether a request is let in; see fleet::Authenticate. Routes must
   * be known. */
  [[nodiscard]] tl::expected<RequestAccount, AccessError> Authenticate(
    const Route& aRoute,
    std::string_view aKey) const;
  /** Decides whether a call about a job is let in; see
   * fleet::AuthenticateJobCall. */
  [[nodiscard]] tl::expected<RequestAccount, AccessError> AuthenticateJobCall(
    std::string_view aHost,
    std::string_view aKey) const;

  /** @return the longest time that a request of a route may take. */
  [[nodiscard]] Duration TimeLimit(const http::Request& aRequest,
                                   const Route& aRoute) const
  {
    return m_relay.TimeLimit(aRequest, aRoute);
  }
  /** Relays a request of a route to a backend server. */
  void Relay(const std::shared_ptr<http::Exchange>& aExchange,
             const Route& aRoute,
             const RequestAccount& aAccount);
  void SubmitJob(JobSpec aSpec,
                 Duration aTimeout,
                 std::function<void(SubmitOutcome)> aCallback);
  /** Calls back with the results, or nothing when the leader did not answer. */
  void ReadResults(const ReadJob& aQuery,
                   std::function<void(std::optional<JobView>)> aCallback);
  void ReadItemBody(const ReadItem& aQuery,
                    std::function<void(std::optional<ItemView>)> aCallback);
  /** Calls back with the result, or nothing when the outcome is unknown. */
  void EndJob(const fleet::EndJob& aCommand,
              std::function<void(std::optional<CommandResult>)> aCallback);

private:
  EntryService(event_loop::EventLoop& aLoop,
               InstanceOptions aOptions,
               RequestHeaders aHeaders,
               RelayOptions aRelay);
  [[nodiscard]] tl::expected<void, StartError> Open();
  /** Asks relays, or the leader, for newer routes and backend servers. */
  void SendWatches();
  void SendWatch(const WatchRequest& aRequest);
  void HandleWatchReply(const WatchRequest& aRequest,
                        const tl::expected<ReplyBody, LinkError>& aReply);
  void HandleDirectory(const DirectoryView& aView);
  /** Asks the leader for a permit; see PermitFunction. */
  void AskForPermit(const RequestPermit& aRequest,
                    std::function<void(std::optional<Duration>)> aCallback);
  /** Records the origin of a stream in the log; see StreamHooks. */
  void RecordStreamOrigin(const StreamId& aId,
                          const StreamOrigin& aOrigin,
                          std::function<void()> aCallback);
  /** Asks the leader for the origin of a stream; see StreamHooks. */
  void FindStreamOrigin(
    const StreamId& aId,
    std::function<void(std::optional<StreamOrigin>)> aCallback);
  void ApplyConfiguration(const ConfigurationView& aView);
  /** Starts to count the requests of accounts. */
  void SetUpUsage();
  void ReadTimeOfDay();
  void ScheduleUsage();
  /** Sends the usage counts to the leader. */
  void SubmitUsage();
  void CountAccess(
    const tl::expected<RequestAccount, AccessError>& aAccess) const;

  event_loop::EventLoop& m_loop;
  InstanceOptions m_options;
  RandomSource m_random;
  BackendClient m_client;
  BackendChooser m_chooser;
  RequestRelay m_relay;
  std::unique_ptr<LeaderLink> m_link;
  std::shared_ptr<const RouteTable> m_routes;
  std::function<void(const RouteTable&)> m_onConfiguration;
  Watch m_watch;
  WatchScheduler m_watches;
  std::optional<timer::TimerId> m_watchTimer;
  TimePoint m_routesConfirmedAt{};
  bool m_connected = false;
  SteadyWallClock m_clock;
  /** Absent if usage is not reported. */
  std::optional<UsageRecorder> m_usage;
  /** Tells apart the runs of this instance in usage counts. */
  Incarnation m_incarnation;
  std::uint64_t m_usageSequence = 0;
  TimePoint m_usageSentAt{};
  /** Usage counts are to be sent, or being sent. */
  bool m_usageScheduled = false;
  std::unique_ptr<protocol::PeerTransport> m_transport;
};

} // namespace auburntrestle::fleet

#endif
