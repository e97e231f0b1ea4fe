#include "auburntrestle/fleet/entry_service.hpp"

#include "auburntrestle/fleet/peer_link.hpp"
#include "auburntrestle/observe/log.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace auburntrestle::fleet {

namespace {

using observe::LogLevel;
using observe::LogLine;

/** Maximum time for which the leader may defer the reply to a Watch, and the
 * timeout of the query with its retries. */
constexpr Duration kMaxWatchWait = std::chrono::milliseconds(300);
constexpr Duration kWatchTimeout = std::chrono::milliseconds(1500);
/** A relay that takes longer is replaced by another. */
constexpr Duration kRelayTimeout = std::chrono::milliseconds(1000);
/** Routes that were not confirmed for this long may be out of date. */
constexpr Duration kMaxRoutesAge = std::chrono::milliseconds(1500);
/** Callers wait for the first event of a stream meanwhile. */
constexpr Duration kRecordStreamTimeout = std::chrono::milliseconds(1000);
constexpr Duration kFindStreamTimeout = std::chrono::milliseconds(1000);
constexpr Duration kPermitTimeout = std::chrono::milliseconds(100);
constexpr Duration kMinPermitDelay = std::chrono::milliseconds(10);
constexpr Duration kPermitRetryDelay = std::chrono::milliseconds(200);

SubmitOutcome OutcomeOf(const tl::expected<CommandResult, LinkError>& aResult)
{
  if (!aResult) {
    return aResult.error() == LinkError::NotRun ? SubmitOutcome::NotAccepted
                                                : SubmitOutcome::Unknown;
  }
  switch (*aResult) {
    case CommandResult::NoRoom:
      return SubmitOutcome::NotAccepted;
    case CommandResult::Conflict:
      return SubmitOutcome::Conflict;
    default:
      return SubmitOutcome::Accepted;
  }
}

} // namespace

EntryService::EntryService(event_loop::EventLoop& aLoop,
                           InstanceOptions aOptions,
                           RequestHeaders aHeaders,
                           RelayOptions aRelay)
  : m_loop(aLoop)
  , m_options(std::move(aOptions))
  , m_random(std::random_device()())
  , m_client(aLoop,
             MakeClientOptions(m_options.m_responseLimits),
             aHeaders.m_requestId,
             m_options.m_readStatement,
             *m_options.m_instruments)
  , m_chooser(m_options.m_dataCentre)
  , m_relay(
      aLoop,
      m_client,
      m_chooser,
      std::move(aHeaders),
      aRelay,
      [this](const RequestPermit& aRequest, auto aCallback) {
        AskForPermit(aRequest, std::move(aCallback));
      },
      *m_options.m_instruments)
  , m_watches(m_options.m_self, m_options.m_dataCentre)
{
  m_chooser.SetStatements(m_client.Limits(), m_client.Draining());
  m_relay.SetStreamHooks(
    { [this](const StreamId& aId, const StreamOrigin& aOrigin, auto aCallback) {
       RecordStreamOrigin(aId, aOrigin, std::move(aCallback));
     },
      [this](const StreamId& aId, auto aCallback) {
        FindStreamOrigin(aId, std::move(aCallback));
      } });
}

EntryService::~EntryService()
{
  m_transport.reset();
}

tl::expected<std::unique_ptr<EntryService>, StartError> EntryService::Start(
  event_loop::EventLoop& aLoop,
  InstanceOptions aOptions,
  RequestHeaders aHeaders,
  RelayOptions aRelay)
{
  std::unique_ptr<EntryService> service(
    new EntryService(aLoop, std::move(aOptions), std::move(aHeaders), aRelay));
  if (auto opened = service->Open(); !opened) {
    return tl::make_unexpected(opened.error());
  }
  return service;
}

tl::expected<void, StartError> EntryService::Open()
{
  m_link = std::make_unique<LeaderLink>(
    m_loop, m_options.m_self, m_options.m_seeds, std::nullopt);
  m_link->SetReplyLimit(m_options.m_requestLimits.m_replyBytes);
  auto transport = StartPeerTransport(m_options, protocol::PeerHandlers{});
  if (!transport) {
    return tl::make_unexpected(transport.error());
  }
  m_transport = std::move(*transport);
  m_link->SetTransport(m_transport.get());
  if (m_options.m_infrastructure.m_reportsUsage) {
    SetUpUsage();
  }
  SendWatches();
  return {};
}

void EntryService::SendWatches()
{
  for (const auto& request : m_watches.Advance(MonotonicClock::Now())) {
    SendWatch(request);
  }
  const TimePoint next = m_watches.NextDeadline();
  if (m_watchTimer) {
    m_loop.Cancel(*std::exchange(m_watchTimer, std::nullopt));
  }
  if (next != TimePoint::max()) {
    m_watchTimer = m_loop.After(next - MonotonicClock::Now(), [this] {
      m_watchTimer.reset();
      SendWatches();
    });
  }
}

void EntryService::SendWatch(const WatchRequest& aRequest)
{
  auto handle = [this,
                 aRequest](const tl::expected<ReplyBody, LinkError>& aReply) {
    HandleWatchReply(aRequest, aReply);
  };
  if (aRequest.m_relay) {
    m_link->SendQueryTo(
      *aRequest.m_relay, m_watch, kRelayTimeout, std::move(handle));
  } else {
    m_link->SendQuery(m_watch, kWatchTimeout, kMaxWatchWait, std::move(handle));
  }
}

void EntryService::HandleWatchReply(
  const WatchRequest& aRequest,
  const tl::expected<ReplyBody, LinkError>& aReply)
{
  const auto* view = aReply ? std::get_if<DirectoryView>(&*aReply) : nullptr;
  const bool confirmed =
    view != nullptr && ConfirmsRoutes(*view, m_watch.m_term);
  const Duration unconfirmed = MonotonicClock::Now() - m_routesConfirmedAt;
  const bool connected = confirmed || unconfirmed < kMaxRoutesAge;
  if (std::exchange(m_connected, connected) != connected) {
    LogLine(LogLevel::Info, connected ? "leader_found" : "leader_lost")
      .Add("relay", aRequest.m_relay ? aRequest.m_relay->Get() : "none")
      .Add("unconfirmed_us", unconfirmed.count());
  }
  if (view != nullptr) {
    HandleDirectory(*view);
    if (aRequest.m_relay && view->m_wallTime > WallTime::zero()) {
      m_clock.RecordPeer(*aRequest.m_relay, view->m_wallTime, BootClock::Now());
    }
  }
  m_watches.HandleReply(aRequest, confirmed, MonotonicClock::Now());
  SendWatches();
}

void EntryService::HandleDirectory(const DirectoryView& aView)
{
  if (aView.m_term < m_watch.m_term) {
    // Confirmed by a former leader that has not learned of its successor.
    return;
  }
  m_routesConfirmedAt = std::max(
    m_routesConfirmedAt, MonotonicClock::Now() - aView.m_confirmationAge);
  if (m_usage && aView.m_term > m_watch.m_term) {
    m_usage->RecordNewLeader();
    ScheduleUsage();
  }
  m_watch.m_term = aView.m_term;
  if (aView.m_configuration &&
      aView.m_configuration->m_version > m_watch.m_configuration) {
    ApplyConfiguration(*aView.m_configuration);
  }
  if (aView.m_backends && aView.m_directory > m_watch.m_directory) {
    m_watch.m_directory = aView.m_directory;
    m_chooser.SetBackends(*aView.m_backends);
    m_options.m_instruments->SetGauge(
      observe::gauges::kBackends,
      static_cast<double>(aView.m_backends->size()));
    LogLine(LogLevel::Info, "directory_changed")
      .Add("revision", aView.m_directory)
      .Add("backends", aView.m_backends->size());
  }
  m_link->SetCandidates(aView.m_members);
  m_watches.SetRelays(aView.m_relays);
}

void EntryService::ApplyConfiguration(const ConfigurationView& aView)
{
  auto table = m_options.m_readConfiguration(aView.m_document);
  if (!table) {
    LogLine(LogLevel::Error, "configuration_unreadable")
      .Add("version", aView.m_version)
      .Add("fault", ToString(table.error().m_fault));
    return;
  }
  m_watch.m_configuration = aView.m_version;
  m_routes = std::make_shared<const RouteTable>(std::move(*table));
  LogLine(LogLevel::Info, "configuration_in_force")
    .Add("version", aView.m_version)
    .Add("routes", m_routes->Configuration().m_routes.size());
  m_options.m_instruments->SetGauge(observe::gauges::kConfigurationVersion,
                                    static_cast<double>(aView.m_version.Get()));
  if (m_onConfiguration) {
    m_onConfiguration(*m_routes);
  }
}

bool EntryService::HasCurrentRoutes() const
{
  return m_routes &&
         MonotonicClock::Now() - m_routesConfirmedAt < kMaxRoutesAge;
}

tl::expected<RequestAccount, AccessError> EntryService::Authenticate(
  const Route& aRoute,
  std::string_view aKey) const
{
  auto access =
    fleet::Authenticate(*m_routes, aRoute, aKey, HasCurrentRoutes());
  CountAccess(access);
  return access;
}

tl::expected<RequestAccount, AccessError> EntryService::AuthenticateJobCall(
  std::string_view aHost,
  std::string_view aKey) const
{
  auto access =
    fleet::AuthenticateJobCall(*m_routes, aHost, aKey, HasCurrentRoutes());
  CountAccess(access);
  return access;
}

void EntryService::CountAccess(
  const tl::expected<RequestAccount, AccessError>& aAccess) const
{
  if (!aAccess) {
    m_options.m_instruments->Count(observe::counters::kAccessErrors,
                                   ToString(aAccess.error()));
  }
}

void EntryService::Relay(const std::shared_ptr<http::Exchange>& aExchange,
                         const Route& aRoute,
                         const RequestAccount& aAccount)
{
  const ServiceName* service = ChooseTarget(aRoute, m_random.Unit());
  m_relay.Relay(aExchange,
                aRoute,
                m_watch.m_configuration,
                service ? *service : ServiceName(),
                aAccount);
}

void EntryService::AskForPermit(
  const RequestPermit& aRequest,
  std::function<void(std::optional<Duration>)> aCallback)
{
  m_link->SendQuery(aRequest,
                    kPermitTimeout,
                    Duration::zero(),
                    [callback = std::move(aCallback)](
                      const tl::expected<ReplyBody, LinkError>& aReply) {
                      const auto* view =
                        aReply ? std::get_if<PermitView>(&*aReply) : nullptr;
                      if (view == nullptr) {
                        // Without the leader nobody knows what the other
                        // instances send.
                        callback(kPermitRetryDelay);
                      } else if (view->m_granted) {
                        callback(std::nullopt);
                      } else {
                        callback(std::max(view->m_retryAfter, kMinPermitDelay));
                      }
                    });
}

void EntryService::RecordStreamOrigin(const StreamId& aId,
                                      const StreamOrigin& aOrigin,
                                      std::function<void()> aCallback)
{
  m_link->Propose(RecordStream{ { aId, aOrigin, WallNow() } },
                  kRecordStreamTimeout,
                  [aId, callback = std::move(aCallback)](
                    const tl::expected<CommandResult, LinkError>& aResult) {
                    if (!aResult) {
                      LogLine(LogLevel::Warning, "stream_not_recorded")
                        .Add("stream", aId)
                        .Add("reason", ToString(aResult.error()));
                    }
                    callback();
                  });
}

void EntryService::FindStreamOrigin(
  const StreamId& aId,
  std::function<void(std::optional<StreamOrigin>)> aCallback)
{
  m_link->SendQuery(ReadStream{ aId },
                    kFindStreamTimeout,
                    Duration::zero(),
                    [aId, callback = std::move(aCallback)](
                      const tl::expected<ReplyBody, LinkError>& aReply) {
                      const auto* view =
                        aReply ? std::get_if<StreamView>(&*aReply) : nullptr;
                      const auto origin =
                        view != nullptr ? view->m_origin : std::nullopt;
                      if (!origin) {
                        LogLine(LogLevel::Info, "stream_unknown")
                          .Add("stream", aId)
                          .Add("answered", view != nullptr);
                      }
                      callback(origin);
                    });
}

void EntryService::SubmitJob(JobSpec aSpec,
                             Duration aTimeout,
                             std::function<void(SubmitOutcome)> aCallback)
{
  const JobId id = aSpec.m_id;
  m_link->Propose(AcceptJob{ std::move(aSpec), WallNow() },
                  aTimeout,
                  [id, callback = std::move(aCallback)](
                    const tl::expected<CommandResult, LinkError>& aResult) {
                    const auto outcome = OutcomeOf(aResult);
                    LogLine(LogLevel::Info, "job_submitted")
                      .Add("job", id)
                      .Add("outcome", static_cast<int>(outcome));
                    callback(outcome);
                  });
}

void EntryService::ReadResults(
  const ReadJob& aQuery,
  std::function<void(std::optional<JobView>)> aCallback)
{
  m_link->SendQuery(
    aQuery,
    kReadTimeout + aQuery.m_wait,
    aQuery.m_wait,
    [callback =
       std::move(aCallback)](const tl::expected<ReplyBody, LinkError>& aReply) {
      const auto* view = aReply ? std::get_if<JobView>(&*aReply) : nullptr;
      callback(view != nullptr ? std::optional(*view) : std::nullopt);
    });
}

void EntryService::ReadItemBody(
  const ReadItem& aQuery,
  std::function<void(std::optional<ItemView>)> aCallback)
{
  m_link->SendQuery(
    aQuery,
    kReadTimeout,
    Duration::zero(),
    [callback =
       std::move(aCallback)](const tl::expected<ReplyBody, LinkError>& aReply) {
      const auto* view = aReply ? std::get_if<ItemView>(&*aReply) : nullptr;
      callback(view != nullptr ? std::optional(*view) : std::nullopt);
    });
}

void EntryService::EndJob(
  const fleet::EndJob& aCommand,
  std::function<void(std::optional<CommandResult>)> aCallback)
{
  m_link->Propose(aCommand,
                  kEndJobTimeout,
                  [callback = std::move(aCallback)](
                    const tl::expected<CommandResult, LinkError>& aResult) {
                    callback(aResult ? std::optional(*aResult) : std::nullopt);
                  });
}

} // namespace auburntrestle::fleet
