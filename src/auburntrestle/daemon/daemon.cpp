#include "auburntrestle/daemon/daemon.hpp"

#include "auburntrestle/daemon/announcement_json.hpp"
#include "auburntrestle/daemon/capacity.hpp"
#include "auburntrestle/daemon/http_api.hpp"
#include "auburntrestle/daemon/peer_methods.hpp"
#include "auburntrestle/daemon/peer_service.hpp"
#include "auburntrestle/daemon/policy_conversion.hpp"
#include "auburntrestle/daemon/weights_service.hpp"
#include "auburntrestle/gateway/server.hpp"
#include "auburntrestle/observe/log.hpp"
#include "auburntrestle/protocol/pack.hpp"
#include "auburntrestle/registry/ownership.hpp"

#include <chrono>
#include <random>
#include <utility>

namespace auburntrestle::daemon {

namespace internal {

constexpr Duration kTickInterval = std::chrono::milliseconds(10);
constexpr Duration kViewInterval = std::chrono::milliseconds(250);
constexpr Duration kWeightsTick = std::chrono::milliseconds(100);
constexpr Duration kOutOfServiceInterval = std::chrono::seconds(1);
// An instance whose lease is not renewed for this time returns the engines to
// service.
constexpr Duration kOutOfServiceLease = std::chrono::seconds(3);
constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(50);
// A batch is one command of the ledger, whose limit is 4 MiB.
constexpr ByteCount kMaxBatchBytes{ 1U << 20U };

gateway::ServerSettings ServerSettingsOf(
  const settings::InstanceSettings& aSettings)
{
  gateway::ServerSettings server;
  server.m_address = aSettings.m_listen.m_http.Host();
  server.m_port = aSettings.m_listen.m_http.Port();
  server.m_threads = aSettings.m_http.m_threads;
  server.m_maxBodyBytes = aSettings.m_http.m_maxBodyBytes.Get();
  server.m_maxHeaderBytes = aSettings.m_http.m_maxHeaderBytes.Get();
  server.m_maxConnections = aSettings.m_http.m_maxConnections;
  server.m_requestTimeout =
    std::chrono::duration_cast<std::chrono::milliseconds>(
      aSettings.m_http.m_requestTimeout);
  return server;
}

/** @return a tag that lets engines tell apart the attempts of two instances,
 * and those of two starts of one instance. */
std::string MakeInstanceTag(const InstanceId& aInstance)
{
  std::random_device device;
  return aInstance.Get() + "-" + std::to_string(device());
}

/** Wall-clock time, which grows from one start to the next. */
Incarnation MakeIncarnation()
{
  return Incarnation(static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count()));
}

routing::Dispatcher MakeDispatcher()
{
  std::random_device device;
  return routing::Dispatcher::Create(MakePolicy(settings::Configuration()),
                                     device())
    .value();
}

rollout::Coordinator MakeCoordinator()
{
  std::random_device device;
  rollout::CoordinatorOptions options;
  options.m_seed = device();
  options.m_policy.m_maxBatchBytes = kMaxBatchBytes;
  return rollout::Coordinator::Create(options).value();
}

bool HasPeers(const settings::InstanceSettings& aSettings)
{
  return aSettings.m_ledger.m_members.size() > 1 ||
         !aSettings.m_peers.m_seeds.empty();
}

tl::expected<ledger::AcceptedConfigurationStore, ledger::StoreError> OpenStore(
  const settings::InstanceSettings& aSettings)
{
  if (aSettings.m_ledger.m_dataFolder.empty()) {
    return ledger::AcceptedConfigurationStore::InMemory();
  }
  return ledger::AcceptedConfigurationStore::Open(
    aSettings.m_ledger.m_dataFolder / "configuration");
}

} // namespace internal

struct Daemon::Implementation
{
  Implementation(settings::InstanceSettings aSettings,
                 std::unique_ptr<backend::HttpClient> aClient)
    : m_settings(std::move(aSettings))
    , m_identity{ m_settings.m_instance.m_id, internal::MakeIncarnation() }
    , m_client(std::move(aClient))
    , m_relay(internal::MakeDispatcher(),
              m_loop,
              *m_client,
              m_metrics,
              internal::MakeInstanceTag(m_settings.m_instance.m_id))
    , m_edge(
        m_relay,
        m_loop,
        *m_client,
        m_settings.m_instance.m_id,
        [this](const routing::Target& aTarget) { return OffersOf(aTarget); })
    , m_view(std::make_unique<const GatewayView>())
  {
  }
  Implementation(const Implementation&) = delete;
  Implementation& operator=(const Implementation&) = delete;

  ~Implementation()
  {
    // The server's threads use all other components. The thread of the ledger
    // uses the connections, whose pending calls refer to the ledger.
    m_server.reset();
    if (m_ledger) {
      m_ledger->Stop();
    }
    m_peers.reset();
  }

  /** Opens connections and files. */
  tl::expected<void, StartError> Open(const StartOptions& aOptions)
  {
    if (internal::HasPeers(m_settings)) {
      auto peers = PeerService::Create(
        m_settings, m_loop, m_identity.m_incarnation, MakePeerListener());
      if (!peers) {
        return tl::make_unexpected(PeersUnusable{ peers.error().m_reason });
      }
      m_peers = std::move(*peers);
    }
    auto store = internal::OpenStore(m_settings);
    if (!store) {
      return tl::make_unexpected(
        DataUnusable{ store.error().m_file.string() + ": " +
                      std::string(ledger::ToString(store.error().m_kind)) +
                      " " + store.error().m_detail });
    }
    auto* transport = m_peers ? &m_peers->Transport() : nullptr;
    auto ledger = LedgerService::Create(m_settings,
                                        m_loop,
                                        transport,
                                        m_identity,
                                        aOptions.m_bootstrapLedger,
                                        MakeLedgerListener());
    if (!ledger) {
      return tl::make_unexpected(DataUnusable{ ledger.error().m_reason });
    }
    m_ledger = std::move(*ledger);
    m_coordinatorLink.SetTransport(transport);
    CreateServices(std::move(*store));
    return {};
  }

  /** Creates the components that need the ledger. */
  void CreateServices(ledger::AcceptedConfigurationStore aStore)
  {
    m_claims = std::make_unique<ClaimService>(*m_ledger, m_relay, m_identity);
    m_trainers = std::make_unique<TrainerService>(
      internal::MakeCoordinator(), m_edge, *m_claims, *m_ledger, m_loop);
    m_weights = std::make_unique<WeightsService>(
      m_loop,
      *m_client,
      *m_ledger,
      m_identity,
      [this](const std::set<BackendId>& aBackends) {
        m_plannedOutOfService = aBackends;
        BroadcastOutOfService();
      });
    m_trainers->OnVersion(
      [this](const ModelName& aModel, WeightVersion aVersion) {
        m_weights->HandleVersion(aModel, aVersion);
      });
    m_configuration = std::make_unique<ConfigurationService>(
      m_settings,
      std::move(aStore),
      *m_ledger,
      m_identity,
      m_loop,
      ConfigurationListener{ [this](auto aConfiguration, Revision aRevision) {
                              Activate(std::move(aConfiguration), aRevision);
                            },
                             [this] { MarkReady(); } });
    m_configurationApi = std::make_unique<ConfigurationApi>(
      *m_ledger, *m_configuration, [this] { return LiveInstances(); });
    m_operators = std::make_unique<OperatorApi>(
      OperatorDependencies{ m_loop,
                            m_relay,
                            *m_trainers,
                            *m_configurationApi,
                            m_view,
                            m_metrics,
                            m_settings },
      [this] { BeginDrain(); },
      [this](registry::Announcement aAnnouncement, const std::string& aBody) {
        HandleOrForwardAnnouncement(std::move(aAnnouncement), aBody);
      });
    m_api = std::make_unique<HttpApi>(ApiDependencies{ m_loop,
                                                       m_edge,
                                                       *m_claims,
                                                       *m_trainers,
                                                       m_coordinatorLink,
                                                       *m_operators,
                                                       m_view,
                                                       m_metrics });
  }

  PeerListener MakePeerListener()
  {
    PeerListener listener;
    listener.m_onMessage = [this](protocol::Channel aChannel,
                                  std::string aPayload) {
      if (aChannel == kConsensusChannel) {
        // Messages may arrive before the ledger is open.
        if (auto* ledger = m_ledgerForTransport.load()) {
          ledger->HandleMessage(aPayload);
        }
      } else {
        m_loop.Post([this, aChannel, payload = std::move(aPayload)] {
          HandleMessage(aChannel, payload);
        });
      }
    };
    listener.m_onCall = [this](protocol::Method aMethod,
                               const std::string& aPayload,
                               protocol::Reply aReply) {
      HandleCall(aMethod, aPayload, std::move(aReply));
    };
    listener.m_onChanged = [this] { HandleMembers(); };
    return listener;
  }

  void HandleMessage(protocol::Channel aChannel, const std::string& aPayload)
  {
    if (aChannel == kOutOfServiceChannel) {
      if (auto backends = protocol::Unpack<std::vector<BackendId>>(aPayload)) {
        SetOutOfService({ backends->begin(), backends->end() });
      }
      return;
    }
    auto announcement = ParseAnnouncement(aPayload);
    if (announcement && aChannel == kAnnouncementChannel) {
      HandleAnnouncement(std::move(*announcement), aPayload);
    } else if (announcement && aChannel == kEngineChannel) {
      m_weights->HandleAnnouncement(*announcement);
    }
  }

  void HandleCall(protocol::Method aMethod,
                  const std::string& aPayload,
                  protocol::Reply aReply)
  {
    auto* ledger = m_ledgerForTransport.load();
    if (ledger == nullptr) {
      aReply.Refuse("the instance is starting");
    } else if (aMethod == kProposeMethod) {
      ledger->HandleProposal(aPayload, aReply);
    } else if (aMethod == kConfigurationMethod) {
      ledger->HandleConfigurationRequest(aPayload, aReply);
    } else if (aMethod == kConfirmMethod) {
      ledger->HandleConfirmRequest(aPayload, aReply);
    } else if (aMethod == kTrainerMethod) {
      CoordinatorLink::HandleForwardedRequest(
        aPayload,
        std::move(aReply),
        [this](const gateway::HttpRequest& aRequest,
               std::shared_ptr<gateway::Responder> aResponder) {
          m_api->Handle(aRequest, std::move(aResponder));
        });
    } else {
      aReply.Refuse("unknown method");
    }
  }

  LedgerListener MakeLedgerListener()
  {
    return LedgerListener{
      [this](const Leadership& aLeadership) {
        m_coordinatorLink.SetCoordinator(aLeadership.m_leader);
        m_leader = aLeadership.m_leader;
        if (!m_currentView.m_draining) {
          m_trainers->HandleLeadership(aLeadership);
          m_weights->HandleLeadership(aLeadership.m_isLeading);
        }
      },
      [this](const ledger::AcceptedConfiguration& aAccepted) {
        m_configuration->AcceptConfiguration(aAccepted);
      }
    };
  }

  void Start()
  {
    m_ledgerForTransport.store(m_ledger.get());
    if (m_peers) {
      m_peers->Start(m_settings.m_listen.m_http.Host() + ":" +
                     std::to_string(m_server->Port()));
    }
    m_configuration->Start();
    m_loop.RunPeriodically(internal::kTickInterval, [this] {
      m_relay.Handle(routing::Tick{});
      m_trainers->Handle(rollout::Tick{});
    });
    m_loop.RunPeriodically(internal::kViewInterval,
                           [this] { HandleMembers(); });
    m_loop.RunPeriodically(internal::kWeightsTick,
                           [this] { m_weights->Tick(); });
    m_loop.RunPeriodically(internal::kOutOfServiceInterval,
                           [this] { BroadcastOutOfService(); });
    m_loop.OnSignal([this] { BeginDrain(); });
  }

  void Activate(std::shared_ptr<const settings::Configuration> aConfiguration,
                Revision aRevision)
  {
    m_relay.Handle(routing::PolicyChanged{ MakePolicy(*aConfiguration) });
    m_trainers->Configure(*aConfiguration);
    m_weights->Configure(*aConfiguration);
    m_claims->SetRetention(aConfiguration->Claims().m_retention);
    m_metrics.SetGauge("trestle_configuration_revision",
                       static_cast<double>(aRevision.Get()));
    m_currentView.m_configuration = std::move(aConfiguration);
    Publish();
  }

  void MarkReady()
  {
    m_currentView.m_ready = true;
    Publish();
  }

  [[nodiscard]] std::set<InstanceId> LiveInstances() const
  {
    std::set<InstanceId> live{ m_settings.m_instance.m_id };
    if (m_peers) {
      for (const auto& member : m_peers->Members().LiveMembers()) {
        live.insert(member.m_id);
      }
      for (const auto& [id, known] : m_peers->Members().Summaries().All()) {
        for (const auto& representative : known.m_summary.m_representatives) {
          live.insert(representative.m_id);
        }
      }
    }
    return live;
  }

  /** @return the instances of this data centre that can own backend servers. */
  [[nodiscard]] std::vector<InstanceId> Owners() const
  {
    std::vector<InstanceId> owners;
    if (!m_peers) {
      owners.push_back(m_settings.m_instance.m_id);
      return owners;
    }
    for (const auto& member : m_peers->Members().LiveMembers()) {
      if (!member.m_advertisement.m_draining) {
        owners.push_back(member.m_id);
      }
    }
    return owners;
  }

  [[nodiscard]] std::vector<InstanceOffer> OffersOf(
    const routing::Target& aTarget) const
  {
    return m_peers ? OffersFor(aTarget,
                               m_peers->Members(),
                               m_settings.m_instance.m_id,
                               m_settings.m_instance.m_dataCentre)
                   : std::vector<InstanceOffer>{};
  }

  void HandleOrForwardAnnouncement(registry::Announcement aAnnouncement,
                                   const std::string& aBody)
  {
    const auto owner = registry::OwnerOf(Owners(), aAnnouncement.m_backend);
    if (!owner || *owner == m_settings.m_instance.m_id) {
      HandleAnnouncement(std::move(aAnnouncement), aBody);
      return;
    }
    // If the owner is lost, the next announcement goes to its successor.
    std::ignore =
      m_peers->Transport().Send(*owner, kAnnouncementChannel, aBody);
    // A former owner must learn without delay when the backend server leaves.
    if (m_relay.Dispatcher().Registry().Find(aAnnouncement.m_backend) !=
        nullptr) {
      HandleAnnouncement(std::move(aAnnouncement), aBody);
    }
  }

  void HandleAnnouncement(registry::Announcement aAnnouncement,
                          const std::string& aBody)
  {
    ForwardToLeader(aAnnouncement, aBody);
    const auto& registry = m_relay.Dispatcher().Registry();
    const auto* known = registry.Find(aAnnouncement.m_backend);
    // A renewal without a change is left to the periodic update. An update
    // visits all backend servers: with 1,000 of them, one for each announcement
    // took 96% of a core.
    const bool changed =
      known == nullptr ||
      known->m_announcement.m_models != aAnnouncement.m_models ||
      known->m_announcement.m_services != aAnnouncement.m_services ||
      known->m_announcement.m_state != aAnnouncement.m_state;
    if (known == nullptr) {
      observe::LogLine(observe::LogLevel::Info, "backend_announced")
        .Add("backend", aAnnouncement.m_backend)
        .Add("incarnation", aAnnouncement.m_incarnation)
        .Add("address", aAnnouncement.m_address)
        .Add("data_centre", aAnnouncement.m_dataCentre);
    }
    m_relay.Handle(routing::BackendAnnounced{ std::move(aAnnouncement) });
    if (changed) {
      UpdateBackends();
    }
  }

  /** Forwards an announcement to the leader, which plans the weights of all
   * engines of the deployment. */
  void ForwardToLeader(const registry::Announcement& aAnnouncement,
                       const std::string& aBody)
  {
    if (m_leader == m_settings.m_instance.m_id) {
      m_weights->HandleAnnouncement(aAnnouncement);
    } else if (m_peers && m_leader &&
               aAnnouncement.m_kind == registry::BackendKind::Engine) {
      std::ignore = m_peers->Transport().Send(*m_leader, kEngineChannel, aBody);
    }
  }

  /** Sends the engines that are out of service to all instances, on the leader;
   * on other instances ends an expired lease. */
  void BroadcastOutOfService()
  {
    if (m_leader != m_settings.m_instance.m_id) {
      if (MonotonicClock::Now() >= m_outOfServiceEnd) {
        SetOutOfService({});
      }
      return;
    }
    SetOutOfService(m_plannedOutOfService);
    if (!m_peers || (m_plannedOutOfService.empty() && !m_broadcastBefore)) {
      return;
    }
    m_broadcastBefore = !m_plannedOutOfService.empty();
    const auto payload = protocol::Pack(std::vector<BackendId>(
      m_plannedOutOfService.begin(), m_plannedOutOfService.end()));
    for (const auto& instance : LiveInstances()) {
      if (instance != m_settings.m_instance.m_id) {
        std::ignore =
          m_peers->Transport().Send(instance, kOutOfServiceChannel, payload);
      }
    }
  }

  void SetOutOfService(std::set<BackendId> aBackends)
  {
    m_outOfServiceEnd = MonotonicClock::Now() + internal::kOutOfServiceLease;
    if (aBackends != m_outOfService) {
      m_outOfService = std::move(aBackends);
      UpdateBackends();
    }
  }

  void HandleMembers()
  {
    m_configuration->HandleMembers(m_peers ? &m_peers->Members() : nullptr);
    if (m_peers && !m_ledger->IsMember()) {
      const auto live = LiveInstances();
      m_ledger->SetFallbackPeers({ live.begin(), live.end() });
    }
    UpdateBackends();
  }

  /** Updates ownership, advertised capacity and view from the live backend
   * servers. */
  void UpdateBackends()
  {
    const auto& dispatcher = m_relay.Dispatcher();
    auto owned = registry::OwnedBy(
      Owners(), dispatcher.Registry().BackendIds(), m_settings.m_instance.m_id);
    for (const auto& backend : m_outOfService) {
      owned.erase(backend);
    }
    // A draining instance keeps its backend servers until its queue is empty.
    if (owned != m_owned && !m_currentView.m_draining) {
      m_owned = owned;
      m_relay.Handle(routing::OwnedBackendsChanged{ owned });
    }
    const auto capacity = OwnCapacity(dispatcher, MonotonicClock::Now());
    Advertise(capacity);
    OfferedTargets own;
    AddTargets(capacity, own);
    OfferedTargets all = own;
    if (m_peers) {
      AddOfferedTargets(m_peers->Members(), m_settings.m_instance.m_id, all);
    }
    if (all.m_models != m_currentView.m_models ||
        all.m_services != m_currentView.m_services ||
        own.m_services != m_currentView.m_ownedServices) {
      m_currentView.m_models = std::move(all.m_models);
      m_currentView.m_services = std::move(all.m_services);
      m_currentView.m_ownedServices = std::move(own.m_services);
      Publish();
    }
  }

  void Advertise(const std::vector<membership::ModelCapacity>& aCapacity)
  {
    membership::LocalStateChanged change{ m_configuration->RevisionInForce(),
                                          m_currentView.m_draining,
                                          aCapacity };
    const bool changed = change.m_revision != m_advertised.m_revision ||
                         change.m_draining != m_advertised.m_draining ||
                         change.m_capacity != m_advertised.m_capacity;
    if (m_peers && changed) {
      m_advertised = change;
      m_peers->Advertise(std::move(change));
    }
  }

  void Publish()
  {
    m_view.Publish(std::make_unique<const GatewayView>(m_currentView));
  }

  /** Refuses new requests and stops the loop when the others have ended. A
   * second signal does not end them earlier. */
  void BeginDrain()
  {
    if (m_currentView.m_draining) {
      return;
    }
    observe::LogLine(observe::LogLevel::Info, "drain_started")
      .Add("requests", m_edge.RequestCount());
    m_trainers->HandleLeadership(Leadership{});
    m_weights->HandleLeadership(false);
    m_currentView.m_draining = true;
    Publish();
    m_ledger->TransferLeadership();
    UpdateBackends();
    m_relay.Handle(routing::DrainRequested{});
    m_drainEnd = MonotonicClock::Now() + m_settings.m_drain.m_deadline;
    m_loop.RunPeriodically(internal::kDrainCheckInterval,
                           [this] { CheckDrained(); });
  }

  void CheckDrained()
  {
    const auto left =
      m_edge.RequestCount() + m_relay.Dispatcher().RequestCount();
    if (left == 0 || MonotonicClock::Now() >= m_drainEnd) {
      observe::LogLine(observe::LogLevel::Info, "drain_finished")
        .Add("requests_left", left);
      if (m_peers) {
        m_peers->Leave();
      }
      m_loop.Stop();
    }
  }

  settings::InstanceSettings m_settings;
  ledger::InstanceIdentity m_identity;
  ControlLoop m_loop;
  observe::Metrics m_metrics;
  std::unique_ptr<backend::HttpClient> m_client;
  RequestRelay m_relay;
  EdgeRelay m_edge;
  std::unique_ptr<PeerService> m_peers;
  std::unique_ptr<LedgerService> m_ledger;
  /** The ledger for use by the transport's thread; null before Start. */
  std::atomic<LedgerService*> m_ledgerForTransport{ nullptr };
  CoordinatorLink m_coordinatorLink;
  std::unique_ptr<ClaimService> m_claims;
  std::unique_ptr<TrainerService> m_trainers;
  PublishedView m_view;
  GatewayView m_currentView;
  std::unique_ptr<ConfigurationService> m_configuration;
  std::unique_ptr<ConfigurationApi> m_configurationApi;
  std::unique_ptr<OperatorApi> m_operators;
  std::unique_ptr<HttpApi> m_api;
  std::unique_ptr<WeightsService> m_weights;
  std::optional<InstanceId> m_leader;
  /** Engines that must not receive new work, and when that lease ends. */
  std::set<BackendId> m_outOfService;
  TimePoint m_outOfServiceEnd;
  /** Engines out of service by this instance's own plan while it leads. */
  std::set<BackendId> m_plannedOutOfService;
  bool m_broadcastBefore = false;
  std::set<BackendId> m_owned;
  membership::LocalStateChanged m_advertised;
  TimePoint m_drainEnd;
  std::unique_ptr<gateway::Server> m_server;
};

tl::expected<std::unique_ptr<Daemon>, StartError> Daemon::Create(
  settings::InstanceSettings aSettings,
  StartOptions aOptions)
{
  auto client = backend::HttpClient::Create();
  if (!client) {
    return tl::make_unexpected(ClientUnusable{ client.error().m_reason });
  }
  auto implementation =
    std::make_unique<Implementation>(std::move(aSettings), std::move(*client));
  auto* raw = implementation.get();
  const auto opened = raw->Open(aOptions);
  if (!opened) {
    return tl::make_unexpected(opened.error());
  }
  auto server = gateway::Server::Start(
    internal::ServerSettingsOf(raw->m_settings),
    [raw](const gateway::HttpRequest& aRequest,
          std::shared_ptr<gateway::Responder> aResponder) {
      raw->m_api->Handle(aRequest, std::move(aResponder));
    });
  if (!server) {
    return tl::make_unexpected(AddressUnusable{
      raw->m_settings.m_listen.m_http.ToString(), server.error().m_reason });
  }
  raw->m_server = std::move(*server);
  raw->Start();
  return std::unique_ptr<Daemon>(new Daemon(std::move(implementation)));
}

Daemon::Daemon(std::unique_ptr<Implementation> aImplementation)
  : m_implementation(std::move(aImplementation))
{
}

Daemon::~Daemon() = default;

std::uint16_t Daemon::HttpPort() const noexcept
{
  return m_implementation->m_server->Port();
}

void Daemon::RequestShutdown()
{
  m_implementation->m_loop.Post([this] { m_implementation->BeginDrain(); });
}

void Daemon::Run()
{
  m_implementation->m_loop.Run();
}

} // namespace auburntrestle::daemon
