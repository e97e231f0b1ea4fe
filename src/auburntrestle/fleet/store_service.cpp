#include "auburntrestle/fleet/store_service.hpp"

#include "auburntrestle/core/overloaded.hpp"
#include "auburntrestle/fleet/codec.hpp"
#include "auburntrestle/fleet/peer_link.hpp"
#include "auburntrestle/observe/log.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace auburntrestle::fleet {

namespace {

using observe::LogLevel;
using observe::LogLine;

/** Below the second after which callers of the control interface try another
 * instance. */
constexpr Duration kAnnounceTimeout = std::chrono::milliseconds(900);
constexpr Duration kOutputChunkTimeout = std::chrono::milliseconds(1500);
constexpr Duration kAnnounceInterval = std::chrono::seconds(1);
constexpr Duration kForgetInterval = std::chrono::seconds(10);

} // namespace

StoreService::StoreService(event_loop::EventLoop& aLoop,
                           InstanceOptions aOptions,
                           StoreOptions aStore,
                           EngineProtocol aProtocol)
  : m_loop(aLoop)
  , m_options(std::move(aOptions))
  , m_store(std::move(aStore))
  , m_protocol(std::move(aProtocol))
{
}

StoreService::~StoreService()
{
  m_transport.reset();
}

tl::expected<std::unique_ptr<StoreService>, StartError> StoreService::Start(
  event_loop::EventLoop& aLoop,
  InstanceOptions aOptions,
  StoreOptions aStore,
  EngineProtocol aProtocol)
{
  std::unique_ptr<StoreService> service(new StoreService(
    aLoop, std::move(aOptions), std::move(aStore), std::move(aProtocol)));
  if (auto opened = service->Open(); !opened) {
    return tl::make_unexpected(opened.error());
  }
  return service;
}

tl::expected<void, StartError> StoreService::Open()
{
  ReplicaOptions replica;
  replica.m_self = m_options.m_self;
  replica.m_dataFolder = m_store.m_dataFolder;
  replica.m_seeds = m_options.m_seeds;
  replica.m_bootstrap = m_store.m_bootstrap;
  replica.m_membership.m_targetVoters = 2 * m_store.m_toleratedLosses + 1;
  replica.m_membership.m_targetLearners = m_store.m_toleratedLosses + 1;
  auto opened = Replica::Open(
    m_loop,
    std::move(replica),
    ReplicaListener{
      [this](const InstanceId& aTo, std::string aPayload) {
        if (m_transport) {
          // The id of a member is its peer address. Errors are ignored,
          // because messages may be lost.
          std::ignore = m_transport->SetPeer(aTo, aTo.Get());
          std::ignore =
            m_transport->Send(aTo, kLogChannel, std::move(aPayload));
        }
      },
      [this](const InstanceId& aTo,
             const OutputChunk& aChunk,
             std::function<void(protocol::Expected<std::uint64_t>)> aCallback) {
        SendOutputChunk(aTo, aChunk, std::move(aCallback));
      },
      [this](const Command& aCommand) { OnApplied(aCommand); },
      [this] { OnRestored(); },
      [this](bool aIsLeading) { OnLeadershipChanged(aIsLeading); } });
  if (!opened) {
    return tl::make_unexpected(StartError{ opened.error().m_reason });
  }
  m_replica = std::move(*opened);
  m_queries = std::make_unique<QueryServer>(
    m_loop,
    *m_replica,
    [this] { return GetDirectorySource(); },
    [this](const RequestPermit& aRequest) { return GrantPermit(aRequest); },
    [this](const fleet::SubmitUsage& aSubmission) {
      return SubmitUsage(aSubmission);
    },
    [this] {
      return m_transport->QueuedReplyBytes() <=
             m_options.m_requestLimits.m_replyBytes;
    });
  m_client = std::make_unique<BackendClient>(
    m_loop,
    MakeClientOptions(m_options.m_responseLimits),
    m_protocol.m_requestIdField,
    m_options.m_readStatement,
    *m_options.m_instruments);
  m_engines = std::make_unique<EnginePool>(
    m_loop,
    *m_client,
    m_protocol,
    EnginePoolOptions{ m_options.m_self, m_store.m_leaseTime },
    [this](const WeightLoad& aLoad, std::function<void(bool)> aCallback) {
      ProposeLocally(
        RecordOrder{ aLoad.m_engine, aLoad.m_model, aLoad.m_version },
        [callback = std::move(aCallback)](
          const tl::expected<CommandResult, LinkError>& aResult) {
          callback(aResult.has_value());
        });
    },
    *m_options.m_instruments);
  const ItemLoader loadItem = [this](const JobId& aJob, const JobItem& aItem) {
    return m_replica->GetState().Load(aJob, aItem);
  };
  RewardCallerOptions rewards;
  rewards.m_home = m_options.m_dataCentre;
  rewards.m_loadItem = loadItem;
  m_rewards = std::make_unique<RewardCaller>(m_loop,
                                             *m_client,
                                             m_protocol,
                                             std::move(rewards),
                                             *m_options.m_instruments,
                                             std::random_device()());
  m_runner = std::make_unique<JobRunner>(
    m_loop,
    *m_client,
    m_protocol,
    *m_engines,
    *m_rewards,
    [this](const Command& aCommand, std::function<void(bool)> aCallback) {
      ProposeLocally(aCommand,
                     [callback = std::move(aCallback)](
                       const tl::expected<CommandResult, LinkError>& aResult) {
                       callback(aResult.has_value());
                     });
    },
    loadItem,
    *m_options.m_instruments,
    std::random_device()());
  m_runner->SetRanksJobs(m_store.m_ranksJobs);
  m_engines->SetChangeCallback([this] { m_runner->Dispatch(); });
  SetUpDuties();
  m_link = std::make_unique<LeaderLink>(
    m_loop, m_options.m_self, m_options.m_seeds, MakeLocalLeader());
  auto transport = StartPeerTransport(m_options, MakePeerHandlers());
  if (!transport) {
    return tl::make_unexpected(transport.error());
  }
  m_transport = std::move(*transport);
  m_link->SetTransport(m_transport.get());
  AnnounceSelf();
  ConfirmDirectory();
  m_loop.After(kForgetInterval, [this] { ForgetExpiredJobs(); });
  return {};
}

LocalLeader StoreService::MakeLocalLeader()
{
  return LocalLeader{ [this] { return m_replica->IsLeading(); },
                      [this] { return KnownLeader(); },
                      [this](const Command& aCommand, auto aCallback) {
                        ProposeLocally(aCommand, std::move(aCallback));
                      },
                      [this](const Query& aQuery, auto aCallback) {
                        m_queries->Handle(aQuery, std::move(aCallback));
                      } };
}

protocol::PeerHandlers StoreService::MakePeerHandlers()
{
  protocol::PeerHandlers handlers;
  handlers.m_onMessage = [this](const InstanceId&,
                                protocol::Channel aChannel,
                                std::string aPayload) {
    if (aChannel == kLogChannel) {
      m_loop.Post([this, payload = std::move(aPayload)] {
        m_replica->HandleMessage(payload);
      });
    } else if (aChannel == kLeaderChannel) {
      m_loop.Post(
        [this, payload = std::move(aPayload)] { HandleLeaderNotice(payload); });
    }
  };
  handlers.m_onCall = [this](const InstanceId&,
                             protocol::Method aMethod,
                             std::string aPayload,
                             const protocol::Reply& aReply) {
    m_loop.Post(
      [this, aMethod, payload = std::move(aPayload), aReply]() mutable {
        HandleCall(aMethod, std::move(payload), aReply);
      });
  };
  return handlers;
}

void StoreService::AnnounceSelf()
{
  m_clock.RecordOwn(WallNow(), BootClock::Now());
  const auto& members = m_replica->GetState().Members();
  const auto found = members.find(m_options.m_self);
  if (found == members.end() ||
      found->second.m_machine != m_options.m_machine) {
    m_link->Propose(AnnounceMember{ m_options.m_self,
                                    m_options.m_machine,
                                    m_options.m_dataCentre },
                    kAnnounceTimeout,
                    [](const tl::expected<CommandResult, LinkError>&) {});
  }
  NotifyInstances();
  m_loop.After(kAnnounceInterval, [this] { AnnounceSelf(); });
}

void StoreService::NotifyInstances()
{
  if (!m_replica->IsLeading()) {
    return;
  }
  const auto notice = Encode(LeaderNotice{
    m_replica->GetTerm(), m_options.m_self, m_replica->GetLogMembers() });
  for (const auto& instance : InstancesToNotify(
         m_replica->Status(), m_replica->GetState(), MonotonicClock::Now())) {
    std::ignore = m_transport->SetPeer(instance, instance.Get());
    // A lost notice is superseded by the next one.
    std::ignore = m_transport->Send(instance, kLeaderChannel, notice);
  }
}

void StoreService::HandleLeaderNotice(const std::string& aPayload)
{
  const auto notice = DecodeLeaderNotice(aPayload);
  if (!notice) {
    LogLine(LogLevel::Warning, "leader_notice_unreadable")
      .Add("bytes", aPayload.size());
    return;
  }
  const Term followed = m_replica->Leader() ? m_replica->GetTerm() : Term();
  const auto outcome =
    m_notices.Record(*notice, followed, MonotonicClock::Now());
  if (outcome == NoticeOutcome::Outdated) {
    return;
  }
  if (outcome == NoticeOutcome::NewLeader) {
    LogLine(LogLevel::Info, "leader_named")
      .Add("leader", notice->m_leader)
      .Add("term", notice->m_term);
  }
  m_link->SetCandidates(notice->m_members);
  m_replica->SetKnownMembers(notice->m_members);
}

PermitView StoreService::GrantPermit(const RequestPermit& aRequest)
{
  const auto wait = m_client->Limits().Grant(
    aRequest.m_backend, aRequest.m_limit, MonotonicClock::Now());
  m_options.m_instruments->Count(observe::counters::kPermits,
                                 wait ? "refused" : "granted");
  return { !wait, wait.value_or(Duration::zero()) };
}

std::optional<InstanceId> StoreService::KnownLeader() const
{
  if (auto leader = m_replica->Leader()) {
    return leader;
  }
  const auto named = m_notices.LeaderAt(MonotonicClock::Now());
  return named != m_options.m_self ? named : std::nullopt;
}

void StoreService::RefuseCall(const protocol::Reply& aReply) const
{
  const auto leader = KnownLeader();
  aReply.Refuse(leader ? leader->Get() : std::string());
}

void StoreService::HandleCall(protocol::Method aMethod,
                              std::string aPayload,
                              const protocol::Reply& aReply)
{
  if (aMethod == kOutputChunkMethod) {
    HandleOutputChunk(aPayload, aReply);
    return;
  }
  if (!m_replica->IsLeading()) {
    if (aMethod != kQueryMethod || !TryRelay(aPayload, aReply)) {
      RefuseCall(aReply);
    }
    return;
  }
  if (aMethod == kProposeMethod) {
    HandlePropose(std::move(aPayload), aReply);
    return;
  }
  const auto query = DecodeQuery(aPayload);
  if (!query) {
    LogLine(LogLevel::Warning, "query_unreadable")
      .Add("bytes", aPayload.size());
    aReply.Fail("unreadable");
    return;
  }
  m_queries->Handle(*query,
                    [this, aReply](const std::optional<ReplyBody>& aBody) {
                      if (aBody) {
                        aReply.Send(Encode(*aBody));
                      } else {
                        RefuseCall(aReply);
                      }
                    });
}

void StoreService::SendOutputChunk(
  const InstanceId& aTo,
  const OutputChunk& aChunk,
  std::function<void(protocol::Expected<std::uint64_t>)> aCallback)
{
  std::ignore = m_transport->SetPeer(aTo, aTo.Get());
  const auto sent = m_transport->Call(
    aTo,
    kOutputChunkMethod,
    Encode(aChunk),
    kOutputChunkTimeout,
    [this, callback = aCallback](protocol::Expected<std::string> aReply) {
      m_loop.Post([callback, reply = std::move(aReply)] {
        if (reply) {
          callback(DecodeSize(*reply));
        } else {
          callback(tl::make_unexpected(reply.error()));
        }
      });
    });
  if (!sent) {
    m_loop.Post([callback = std::move(aCallback), error = sent.error()] {
      callback(tl::make_unexpected(error));
    });
  }
}

void StoreService::HandleOutputChunk(const std::string& aPayload,
                                     const protocol::Reply& aReply)
{
  const auto chunk = DecodeOutputChunk(aPayload);
  const auto held = chunk ? m_replica->AppendOutputChunk(*chunk)
                          : tl::expected<std::uint64_t, OutputStoreError>(
                              tl::make_unexpected(OutputStoreError{}));
  if (held) {
    aReply.Send(EncodeSize(*held));
    return;
  }
  LogLine(LogLevel::Warning, "text_part_refused")
    .Add("file", held.error().m_file)
    .Add("error", held.error().m_systemError);
  aReply.Fail("text store");
}

void StoreService::OnApplied(const Command& aCommand)
{
  std::visit(
    Overloaded{
      [this](const fleet::PutConfiguration&) {
        UpdateRoutes();
        m_queries->OnStateChanged();
      },
      [this](const AnnounceBackend& aAnnounced) {
        const auto& record = aAnnounced.m_record;
        LogLine(LogLevel::Info, "backend_announced")
          .Add("backend", record.m_id)
          .Add("service", record.m_service)
          .Add("address", record.m_address)
          .Add("state", static_cast<int>(record.m_state))
          .Add("incarnation", record.m_incarnation)
          .Add("software", record.m_software);
        UpdateBackends();
        m_queries->OnStateChanged();
      },
      [this](const RemoveBackend& aRemoved) {
        LogLine(LogLevel::Info, "backend_removed")
          .Add("backend", aRemoved.m_id);
        UpdateBackends();
        m_queries->OnStateChanged();
      },
      [this](const fleet::PublishWeights& aPublished) {
        LogLine(LogLevel::Info, "weights_published")
          .Add("model", aPublished.m_model)
          .Add("version", aPublished.m_version);
        if (m_replica->IsLeading()) {
          m_engines->SetNewest(m_replica->GetState().Weights());
        }
      },
      [](const AnnounceMember& aMember) {
        LogLine(LogLevel::Info, "member_announced")
          .Add("instance", aMember.m_instance)
          .Add("machine", aMember.m_machine);
      },
      [](const RetireMember& aMember) {
        LogLine(LogLevel::Info, "member_retiring")
          .Add("machine", aMember.m_machine);
      },
      [this](const AcceptJob& aAccepted) {
        LogLine(LogLevel::Info, "job_accepted")
          .Add("job", aAccepted.m_spec.m_id)
          .Add("items", aAccepted.m_spec.m_items.size())
          .Add("min_version", aAccepted.m_spec.m_minVersion);
        const Job* job = m_replica->GetState().FindJob(aAccepted.m_spec.m_id);
        const bool isOwn = job->m_account == aAccepted.m_spec.m_account;
        if (m_replica->IsLeading() && isOwn) {
          m_runner->Add(*job);
        }
      },
      [this](const RecordResults&) { m_queries->OnStateChanged(); },
      [this](const EndJob& aEnded) {
        const Job* job = m_replica->GetState().FindJob(aEnded.m_job);
        if (job != nullptr && !job->m_ended) {
          // Another account's request, which has no effect.
          return;
        }
        LogLine(LogLevel::Info, "job_ended")
          .Add("job", aEnded.m_job)
          .Add("results", job == nullptr ? 0 : job->m_results.size());
        m_runner->Cancel(aEnded.m_job);
        m_queries->OnStateChanged();
      },
      [](const RecordProgress&) {},
      [this](const RecordOrder&) { m_lastOrderAt = MonotonicClock::Now(); },
      [this](const RecordDutyLease&) {
        if (m_duties) {
          m_duties->RecordLeaseApplied();
        }
      },
      [](const RecordUsage&) {},
      [](const CompleteUsage&) {},
      [](const RecordStream&) {},
      [](const ForgetJobs& aForgotten) {
        LogLine(LogLevel::Info, "jobs_forgotten")
          .Add("jobs", aForgotten.m_jobs.size());
      } },
    aCommand);
}

void StoreService::OnRestored()
{
  LogLine(LogLevel::Info, "state_restored")
    .Add("jobs", m_replica->GetState().JobOrder().size());
  if (m_duties) {
    // The snapshot may cover a lease record that was not applied here.
    m_duties->RecordLeaseApplied();
  }
  UpdateRoutes();
}

void StoreService::UpdateRoutes()
{
  const auto& stored = m_replica->GetState().Configuration();
  if (stored.m_version == ConfigurationVersion() ||
      (m_routes && m_routes->Configuration().m_version == stored.m_version)) {
    return;
  }
  auto table = m_options.m_readConfiguration(stored.m_document);
  if (!table) {
    LogLine(LogLevel::Error, "configuration_unreadable")
      .Add("version", stored.m_version)
      .Add("fault", ToString(table.error().m_fault));
    return;
  }
  LogLine(LogLevel::Info, "configuration_in_force")
    .Add("version", stored.m_version)
    .Add("routes", table->Configuration().m_routes.size());
  m_options.m_instruments->SetGauge(
    observe::gauges::kConfigurationVersion,
    static_cast<double>(stored.m_version.Get()));
  m_routes = std::make_shared<const RouteTable>(std::move(*table));
  if (m_usage) {
    m_usage->SetHasAccounts(!m_routes->Accounts().IsEmpty());
  }
  if (m_scaling) {
    m_scaling->SetRoutes(m_routes);
  }
  if (m_replica->IsLeading()) {
    UpdateBackends();
    m_runner->SetRoutes(m_routes);
  }
}

void StoreService::UpdateBackends()
{
  if (!m_replica->IsLeading() || !m_routes) {
    return;
  }
  const auto& backends = m_replica->GetState().Backends();
  m_engines->SetDirectory(backends, *m_routes);
  m_rewards->SetBackends(backends);
}

void StoreService::OnLeadershipChanged(bool aIsLeading)
{
  m_options.m_instruments->Count(observe::counters::kLeaderships,
                                 aIsLeading ? "won" : "lost");
  m_options.m_instruments->SetGauge(observe::gauges::kIsLeader,
                                    aIsLeading ? 1 : 0);
  if (!aIsLeading) {
    m_runner->Stop();
    m_engines->Stop();
    StopDuties();
    m_queries->RefuseDeferred();
    return;
  }
  // Stores outside the log pass calls on to the former leader until they know.
  NotifyInstances();
  const State& state = m_replica->GetState();
  m_engines->Start(Fencing(m_replica->GetTerm().Get()), m_lastOrderAt);
  m_engines->SetNewest(state.Weights());
  m_runner->Start(state, m_routes);
  UpdateBackends();
  StartDuties();
}

void StoreService::ForgetExpiredJobs()
{
  if (m_replica->IsLeading()) {
    const WallTime now = WallNow();
    fleet::ForgetJobs command;
    for (const auto& id : m_replica->GetState().JobOrder()) {
      const Job* job = m_replica->GetState().FindJob(id);
      if (job->m_ended &&
          now > job->m_acceptedAt + 2 * m_store.m_jobRetention) {
        command.m_jobs.push_back(id);
      }
    }
    if (!command.m_jobs.empty()) {
      ProposeLocally(command,
                     [](const tl::expected<CommandResult, LinkError>&) {});
    }
  }
  m_loop.After(kForgetInterval, [this] { ForgetExpiredJobs(); });
}

void StoreService::SetSeeds(std::vector<InstanceId> aSeeds)
{
  m_link->SetSeeds(std::move(aSeeds));
}

void StoreService::PrepareShutdown()
{
  m_replica->TransferLeadership();
}

} // namespace auburntrestle::fleet
