#include "auburntrestle/daemon/ledger_service.hpp"

#include "auburntrestle/consensus/file_storage.hpp"
#include "auburntrestle/core/overloaded.hpp"
#include "auburntrestle/daemon/peer_methods.hpp"
#include "auburntrestle/ledger/codec.hpp"
#include "auburntrestle/ledger/proposal_clock.hpp"
#include "auburntrestle/observe/log.hpp"
#include "auburntrestle/protocol/consensus_codec.hpp"
#include "auburntrestle/protocol/ledger_codec.hpp"
#include "auburntrestle/protocol/pack.hpp"

#include <algorithm>
#include <chrono>
#include <map>
#include <random>
#include <thread>
#include <utility>
#include <vector>

namespace auburntrestle::daemon {

namespace internal {

constexpr Duration kTickInterval = std::chrono::milliseconds(10);
constexpr Duration kRetryDelay = std::chrono::milliseconds(50);
// Short enough to try another member when this one is down.
constexpr Duration kCallTimeout = std::chrono::seconds(2);
// Leases and claims expire by the ledger's clock, which only commands advance.
constexpr Duration kAdvanceInterval = std::chrono::seconds(1);

/** A request for the configuration of a site. */
struct ConfigurationQuery
{
  settings::SiteName m_site;
  Revision m_held;
};

std::string EncodeQuery(const ConfigurationQuery& aQuery)
{
  protocol::Writer writer;
  writer(aQuery.m_site, aQuery.m_held);
  return writer.ExtractBytes();
}

std::optional<ConfigurationQuery> DecodeQuery(std::string_view aBytes)
{
  protocol::Reader reader(aBytes);
  ConfigurationQuery query;
  reader(query.m_site, query.m_held);
  return reader.Result() ? std::optional(query) : std::nullopt;
}

std::uint64_t RandomNumber()
{
  std::random_device device;
  return (std::uint64_t{ device() } << 32U) | device();
}

Incarnation WallClockIncarnation()
{
  return Incarnation(static_cast<std::uint64_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count()));
}

consensus::Options MakeOptions(const settings::InstanceSettings& aSettings,
                               bool aBootstrap)
{
  consensus::Options options;
  options.m_self = aSettings.m_instance.m_id;
  for (const auto& member : aSettings.m_ledger.m_members) {
    options.m_initialMembers.push_back(member.m_id);
  }
  // A ledger of one member is lost with its disk, so a start on an empty folder
  // is always treated as the first one.
  options.m_bootstrap = aBootstrap || options.m_initialMembers.size() == 1;
  options.m_newIncarnation = WallClockIncarnation();
  // At 50 ms an idle leader with two followers sends and receives 15.7 KB/s,
  // which exceeds the control traffic budget of 13 KB/s.
  options.m_heartbeatInterval = std::chrono::milliseconds(100);
  options.m_electionTimeout = std::chrono::milliseconds(500);
  options.m_seed = RandomNumber();
  options.m_sessionNonce = RandomNumber();
  return options;
}

} // namespace internal

class LedgerService::Implementation
{
public:
  using Callback = std::function<void(LedgerResult)>;
  using ConfigurationCallback =
    std::function<void(std::optional<ledger::AcceptedConfiguration>)>;

  Implementation(const settings::InstanceSettings& aSettings,
                 ControlLoop& aMainLoop,
                 protocol::PeerTransport* aTransport,
                 ledger::InstanceIdentity aIdentity,
                 LedgerListener aListener)
    : m_self(aSettings.m_instance.m_id)
    , m_site(aSettings.m_instance.m_site)
    , m_mainLoop(aMainLoop)
    , m_transport(aTransport)
    , m_identity(std::move(aIdentity))
    , m_listener(std::move(aListener))
  {
    for (const auto& member : aSettings.m_ledger.m_members) {
      if (member.m_id != m_self) {
        m_otherMembers.push_back(member.m_id);
      }
    }
  }
  Implementation(const Implementation&) = delete;
  Implementation& operator=(const Implementation&) = delete;

  ~Implementation() { Stop(); }

  void Stop()
  {
    m_loop.Stop();
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }

  tl::expected<void, LedgerOpenError> Open(
    const settings::InstanceSettings& aSettings,
    bool aBootstrap)
  {
    auto storage = consensus::FileStorage::Open(
      (aSettings.m_ledger.m_dataFolder / "ledger").string(), m_files);
    if (!storage) {
      return tl::make_unexpected(
        LedgerOpenError{ consensus::Describe(storage.error()) });
    }
    m_storage = std::move(*storage);
    std::vector<consensus::Action> actions;
    auto node =
      consensus::Node::Create(internal::MakeOptions(aSettings, aBootstrap),
                              *m_storage,
                              MonotonicClock::Now(),
                              actions);
    if (!node) {
      return tl::make_unexpected(
        LedgerOpenError{ consensus::Describe(node.error()) });
    }
    m_node.emplace(std::move(*node));
    Execute(actions);
    return {};
  }

  void Start()
  {
    if (m_node) {
      m_loop.RunPeriodically(internal::kTickInterval, [this] {
        if (MonotonicClock::Now() >= m_node->NextTimeout()) {
          Push(consensus::Tick{});
        }
      });
      m_loop.RunPeriodically(internal::kAdvanceInterval,
                             [this] { AdvanceTime(); });
    }
    m_thread = std::thread([this] { m_loop.Run(); });
  }

  void Post(std::function<void()> aWork) { m_loop.Post(std::move(aWork)); }

  [[nodiscard]] bool IsMember() const noexcept { return m_node.has_value(); }
  [[nodiscard]] const ledger::StateMachine& State() const { return m_state; }

  void Propose(ledger::Command aCommand, Duration aTimeout, Callback aCallback)
  {
    auto pending = std::make_shared<PendingCommand>();
    pending->m_command = std::move(aCommand);
    pending->m_deadline = MonotonicClock::Now() + aTimeout;
    pending->m_callback =
      [this, callback = std::move(aCallback)](LedgerResult aResult) {
        m_mainLoop.Post([callback, result = std::move(aResult)]() mutable {
          callback(std::move(result));
        });
      };
    Post([this, pending] { TryCommand(pending); });
  }

  void Confirm(Duration aTimeout, ConfigurationCallback aCallback)
  {
    const TimePoint deadline = MonotonicClock::Now() + aTimeout;
    Post([this, deadline, callback = std::move(aCallback)] {
      TryConfirm(deadline, callback);
    });
  }

  void HandleMessage(const std::string& aPayload)
  {
    auto message = protocol::DecodeConsensus(aPayload);
    if (message) {
      Post([this, message = std::move(*message)]() mutable {
        if (m_node) {
          Push(consensus::MessageReceived{ std::move(message) });
        }
      });
    }
  }

  void HandleProposal(const std::string& aPayload,
                      const protocol::Reply& aReply)
  {
    auto proposal = ledger::Decode(aPayload);
    if (!proposal) {
      aReply.Refuse("the command cannot be decoded");
      return;
    }
    Post([this, command = std::move(proposal->m_command), aReply]() mutable {
      if (!CanPropose()) {
        aReply.Refuse("not the leader");
        return;
      }
      auto pending = std::make_shared<PendingCommand>();
      pending->m_command = std::move(command);
      pending->m_forwardedReply = aReply;
      ProposeLocally(pending);
    });
  }

  void HandleConfigurationRequest(const std::string& aPayload,
                                  const protocol::Reply& aReply)
  {
    const auto query = internal::DecodeQuery(aPayload);
    Post([this, query, aReply] {
      if (!query || !m_node) {
        aReply.Refuse("not a ledger member");
      } else {
        ReplyToPoll(*query, aReply);
      }
    });
  }

  void HandleConfirmRequest(const std::string& aPayload,
                            const protocol::Reply& aReply)
  {
    const auto query = internal::DecodeQuery(aPayload);
    Post([this, query, aReply] {
      if (!query || !m_node || !m_node->IsLeader()) {
        aReply.Refuse("not the leader");
        return;
      }
      Read([this, query, aReply](bool aConfirmed) {
        if (aConfirmed) {
          aReply.Send(protocol::EncodeConfiguration(
            m_state.ConfigurationOf(query->m_site)));
        } else {
          aReply.Refuse("leadership was lost");
        }
      });
    });
  }

  void Poll(Revision aHeld)
  {
    Post([this, aHeld] {
      const auto target = SelectTarget();
      if (m_node || !m_transport || !target) {
        return;
      }
      std::ignore = m_transport->Call(
        *target,
        kConfigurationMethod,
        internal::EncodeQuery({ m_site, aHeld }),
        internal::kCallTimeout,
        [this](protocol::Expected<std::string> aReply) {
          Post([this, reply = std::move(aReply)] { HandlePollReply(reply); });
        });
    });
  }

  void SetFallbackPeers(std::vector<InstanceId> aPeers)
  {
    Post([this, peers = std::move(aPeers)]() mutable {
      std::erase(peers, m_self);
      m_fallbackPeers = std::move(peers);
    });
  }

  void Status(std::function<void(consensus::NodeStatus)> aCallback)
  {
    Post([this, callback = std::move(aCallback)] {
      auto status = m_node ? m_node->Status() : consensus::NodeStatus{};
      if (!m_node) {
        status.m_leader = m_lastTarget;
      }
      m_mainLoop.Post(
        [callback, status = std::move(status)] { callback(status); });
    });
  }

  void ChangeMembership(
    consensus::MembershipChange aChange,
    std::function<void(tl::expected<void, consensus::RejectionReason>)>
      aCallback)
  {
    Post([this, change = std::move(aChange), callback = std::move(aCallback)] {
      if (!m_node) {
        m_mainLoop.Post([callback] {
          callback(tl::make_unexpected(consensus::RejectionReason::NotLeader));
        });
        return;
      }
      const consensus::ProposalId id(m_nextProposal++);
      m_changes.emplace(id, callback);
      Push(consensus::ChangeMembership{ id, change });
    });
  }

  void AddMember(
    const InstanceId& aInstance,
    const std::string& aAddress,
    std::function<void(tl::expected<void, consensus::RejectionReason>)>
      aCallback)
  {
    Post([this,
          instance = aInstance,
          address = aAddress,
          callback = std::move(aCallback)] {
      const auto joining = m_joining.find(instance);
      if (joining == m_joining.end()) {
        const bool isLeader = m_node && m_node->IsLeader();
        m_mainLoop.Post([callback, isLeader] {
          callback(tl::make_unexpected(
            isLeader ? consensus::RejectionReason::NotJoining
                     : consensus::RejectionReason::NotLeader));
        });
        return;
      }
      if (m_transport != nullptr) {
        std::ignore = m_transport->SetPeer(instance, address);
      }
      ChangeMembership(consensus::AddLearner{ consensus::MemberIdentity{
                         instance, joining->second } },
                       callback);
    });
  }

  void TransferLeadership()
  {
    Post([this] {
      if (m_node) {
        Push(consensus::TransferLeadership{});
      }
    });
  }

private:
  struct PendingCommand
  {
    ledger::Command m_command;
    TimePoint m_deadline{};
    /** Set for a command of this instance. */
    Callback m_callback;
    /** Set for a command that another instance forwarded. */
    std::optional<protocol::Reply> m_forwardedReply;
    /** An earlier attempt may have been committed. */
    bool m_maybeCommitted = false;
  };
  using Pending = std::shared_ptr<PendingCommand>;

  [[nodiscard]] bool CanPropose() const
  {
    return m_node && m_node->IsLeader() && m_clock;
  }

  void TryCommand(const Pending& aPending)
  {
    if (MonotonicClock::Now() >= aPending->m_deadline) {
      FailExpired(aPending);
    } else if (CanPropose()) {
      ProposeLocally(aPending);
    } else {
      Forward(aPending);
    }
  }

  void FailExpired(const Pending& aPending)
  {
    if (aPending->m_maybeCommitted) {
      aPending->m_callback(
        tl::make_unexpected(LedgerFailure(LedgerOutcomeUnknown{})));
    } else {
      aPending->m_callback(
        tl::make_unexpected(LedgerFailure(LedgerUnavailable{})));
    }
  }

  void ScheduleRetry(const Pending& aPending)
  {
    m_loop.RunAfter(internal::kRetryDelay,
                    [this, aPending] { TryCommand(aPending); });
  }

  void ProposeLocally(const Pending& aPending)
  {
    const consensus::ProposalId id(m_nextProposal++);
    m_proposals.emplace(id, aPending);
    Push(consensus::Propose{
      id,
      ledger::Encode(ledger::Proposal{ m_clock->Stamp(MonotonicClock::Now()),
                                       aPending->m_command }) });
  }

  /** @return the leader when it is known, else the next member, round robin. */
  std::optional<InstanceId> SelectTarget()
  {
    if (m_node) {
      return m_leadership.m_leader != m_self ? m_leadership.m_leader
                                             : std::nullopt;
    }
    if (m_lastTarget) {
      return m_lastTarget;
    }
    const auto& known =
      m_otherMembers.empty() ? m_fallbackPeers : m_otherMembers;
    return known.empty() ? std::nullopt
                         : std::optional(known[m_nextTarget++ % known.size()]);
  }

  void Forward(const Pending& aPending)
  {
    const auto target = SelectTarget();
    if (!m_transport || !target) {
      ScheduleRetry(aPending);
      return;
    }
    const auto left = aPending->m_deadline - MonotonicClock::Now();
    const auto sent = m_transport->Call(
      *target,
      kProposeMethod,
      ledger::Encode(
        ledger::Proposal{ ledger::LedgerTime(), aPending->m_command }),
      std::min(left, internal::kCallTimeout),
      [this, aPending, target](protocol::Expected<std::string> aReply) {
        Post([this, aPending, target, reply = std::move(aReply)] {
          HandleForwardReply(aPending, *target, reply);
        });
      });
    if (!sent) {
      m_lastTarget.reset();
      ScheduleRetry(aPending);
    }
  }

  void HandleForwardReply(const Pending& aPending,
                          const InstanceId& aTarget,
                          const protocol::Expected<std::string>& aReply)
  {
    if (aReply) {
      auto result = protocol::DecodeResult(*aReply);
      if (result) {
        m_lastTarget = aTarget;
        Complete(aPending, *result);
        return;
      }
    }
    m_lastTarget.reset();
    if (aReply || protocol::MayHaveRun(aReply.error().m_code)) {
      aPending->m_maybeCommitted = true;
    }
    ScheduleRetry(aPending);
  }

  void Complete(const Pending& aPending, const ledger::Result& aResult)
  {
    if (aPending->m_forwardedReply) {
      aPending->m_forwardedReply->Send(protocol::EncodeResult(aResult));
    } else if (aResult) {
      aPending->m_callback(*aResult);
    } else {
      aPending->m_callback(tl::make_unexpected(LedgerFailure(aResult.error())));
    }
  }

  using ReadCallback = std::function<void(bool)>;

  void Read(ReadCallback aCallback)
  {
    const consensus::ReadId id(m_nextRead++);
    m_reads.emplace(id, std::move(aCallback));
    Push(consensus::ReadRequest{ id });
  }

  void TryConfirm(TimePoint aDeadline, const ConfigurationCallback& aCallback)
  {
    if (MonotonicClock::Now() >= aDeadline) {
      m_mainLoop.Post([aCallback] { aCallback(std::nullopt); });
      return;
    }
    const auto retry = [this, aDeadline, aCallback] {
      m_loop.RunAfter(internal::kRetryDelay, [this, aDeadline, aCallback] {
        TryConfirm(aDeadline, aCallback);
      });
    };
    if (m_node && m_node->IsLeader()) {
      Read([this, aCallback, retry](bool aConfirmed) {
        if (!aConfirmed) {
          retry();
          return;
        }
        m_mainLoop.Post([aCallback, found = m_state.ConfigurationOf(m_site)] {
          aCallback(found);
        });
      });
      return;
    }
    ConfirmRemotely(aCallback, retry);
  }

  void ConfirmRemotely(const ConfigurationCallback& aCallback,
                       const std::function<void()>& aRetry)
  {
    const auto target = SelectTarget();
    if (!m_transport || !target) {
      aRetry();
      return;
    }
    const auto sent = m_transport->Call(
      *target,
      kConfirmMethod,
      internal::EncodeQuery({ m_site, Revision() }),
      internal::kCallTimeout,
      [this, aCallback, aRetry](protocol::Expected<std::string> aReply) {
        Post([this, aCallback, aRetry, reply = std::move(aReply)] {
          const auto found = reply ? protocol::DecodeConfiguration(*reply)
                                   : tl::make_unexpected(reply.error());
          if (found) {
            m_mainLoop.Post([aCallback, found = *found] { aCallback(found); });
          } else {
            m_lastTarget.reset();
            aRetry();
          }
        });
      });
    if (!sent) {
      aRetry();
    }
  }

  void AdvanceTime()
  {
    const auto size = m_state.Size();
    if (CanPropose() && size.m_claims + size.m_leases > 0) {
      auto pending = std::make_shared<PendingCommand>();
      pending->m_command = ledger::AdvanceTime{};
      pending->m_deadline = MonotonicClock::Now();
      pending->m_callback = [](const LedgerResult&) {};
      ProposeLocally(pending);
    }
  }

  /** Queues an event; events queued together share one sync of the storage. */
  void Push(consensus::Event aEvent)
  {
    m_events.push_back(std::move(aEvent));
    if (!m_scheduled) {
      m_scheduled = true;
      Post([this] { Process(); });
    }
  }

  void Process()
  {
    m_scheduled = false;
    const auto events = std::exchange(m_events, {});
    std::vector<consensus::Action> actions;
    m_node->Handle(events, MonotonicClock::Now(), actions);
    Execute(actions);
  }

  void Execute(const std::vector<consensus::Action>& aActions)
  {
    for (const auto& action : aActions) {
      std::visit([this](const auto& aAction) { On(aAction); }, action);
    }
  }

  void On(const consensus::SendMessage& aAction)
  {
    if (m_transport) {
      std::ignore =
        m_transport->Send(aAction.m_message.m_to.m_instance,
                          kConsensusChannel,
                          protocol::EncodeConsensus(aAction.m_message));
    }
  }

  void On(const consensus::ApplyEntry& aAction)
  {
    const auto result =
      m_state.Apply(aAction.m_index, aAction.m_term, aAction.m_command.Get());
    AnnounceConfiguration();
    if (!aAction.m_proposal) {
      return;
    }
    const auto found = m_proposals.find(*aAction.m_proposal);
    if (found != m_proposals.end()) {
      const auto pending = std::move(found->second);
      m_proposals.erase(found);
      Complete(pending, result);
    }
  }

  void On(const consensus::ProposalRejected& aAction)
  {
    const auto change = m_changes.find(aAction.m_id);
    if (change != m_changes.end()) {
      m_mainLoop.Post([callback = change->second, reason = aAction.m_reason] {
        callback(tl::make_unexpected(reason));
      });
      m_changes.erase(change);
      return;
    }
    const auto found = m_proposals.find(aAction.m_id);
    if (found == m_proposals.end()) {
      return;
    }
    const auto pending = std::move(found->second);
    m_proposals.erase(found);
    const bool notRun = consensus::IsNotRun(aAction.m_reason);
    if (pending->m_forwardedReply) {
      const std::string reason(consensus::ToString(aAction.m_reason));
      if (notRun) {
        pending->m_forwardedReply->Refuse(reason);
      } else {
        pending->m_forwardedReply->Fail(reason);
      }
      return;
    }
    pending->m_maybeCommitted = pending->m_maybeCommitted || !notRun;
    ScheduleRetry(pending);
  }

  void On(const consensus::ReadConfirmed& aAction)
  {
    FinishRead(aAction.m_id, true);
  }

  void On(const consensus::ReadRejected& aAction)
  {
    FinishRead(aAction.m_id, false);
  }

  void FinishRead(consensus::ReadId aId, bool aConfirmed)
  {
    const auto found = m_reads.find(aId);
    if (found != m_reads.end()) {
      const auto callback = std::move(found->second);
      m_reads.erase(found);
      callback(aConfirmed);
    }
  }

  void On(const consensus::InstallSnapshot& aAction)
  {
    auto restored = ledger::StateMachine::Restore(aAction.m_state);
    if (!restored) {
      observe::LogLine(observe::LogLevel::Error, "ledger_snapshot_unreadable")
        .Add("index", aAction.m_position.m_index);
      return;
    }
    m_state = std::move(*restored);
    AnnounceConfiguration();
  }

  void On(const consensus::TakeSnapshot& aAction)
  {
    Push(consensus::SnapshotTaken{ aAction.m_index, m_state.Snapshot() });
  }

  void On(const consensus::LeadershipChanged& aAction)
  {
    observe::LogLine(observe::LogLevel::Info, "ledger_leadership")
      .Add("term", aAction.m_term)
      .Add("leader", aAction.m_leader ? aAction.m_leader->Get() : "none")
      .Add("is_leader", aAction.m_isLeader);
    m_clock.reset();
    m_leadership = Leadership{ aAction.m_term, aAction.m_leader, false };
    AnnounceLeadership();
    if (aAction.m_isLeader) {
      PrepareLeadership(aAction.m_term);
    }
  }

  /** Reports leadership once the leader's first read is confirmed: until then
   * the state may lack committed entries. */
  void PrepareLeadership(Term aTerm)
  {
    Read([this, aTerm](bool aConfirmed) {
      if (!m_node->IsLeader() || m_leadership.m_term != aTerm) {
        return;
      }
      if (!aConfirmed) {
        m_loop.RunAfter(internal::kRetryDelay,
                        [this, aTerm] { PrepareLeadership(aTerm); });
        return;
      }
      m_clock.emplace(m_state.Now(), MonotonicClock::Now());
      m_leadership.m_isLeading = true;
      AnnounceLeadership();
    });
  }

  void AnnounceLeadership()
  {
    m_mainLoop.Post([this, leadership = m_leadership] {
      m_listener.m_onLeadership(leadership);
    });
  }

  void AnnounceConfiguration()
  {
    if (m_state.NewestRevision() > m_announcedRevision) {
      m_announcedRevision = m_state.NewestRevision();
      m_mainLoop.Post([this, found = m_state.ConfigurationOf(m_site)] {
        m_listener.m_onConfiguration(found);
      });
    }
  }

  /** Replies with the leader, and with the configuration if it is newer. */
  void ReplyToPoll(const internal::ConfigurationQuery& aQuery,
                   const protocol::Reply& aReply)
  {
    protocol::Writer writer;
    const bool newer = m_state.NewestRevision() > aQuery.m_held;
    writer(m_leadership.m_leader,
           newer ? protocol::EncodeConfiguration(
                     m_state.ConfigurationOf(aQuery.m_site))
                 : std::string());
    aReply.Send(writer.ExtractBytes());
  }

  void HandlePollReply(const protocol::Expected<std::string>& aReply)
  {
    if (!aReply) {
      m_lastTarget.reset();
      return;
    }
    protocol::Reader reader(*aReply);
    std::optional<InstanceId> leader;
    std::string configuration;
    reader(leader, configuration);
    if (!reader.Result()) {
      return;
    }
    if (leader && leader != m_leadership.m_leader) {
      m_leadership.m_leader = leader;
      m_lastTarget = leader;
      AnnounceLeadership();
    }
    if (!configuration.empty()) {
      HandleConfiguration(configuration);
    }
  }

  void HandleConfiguration(const std::string& aBytes)
  {
    auto found = protocol::DecodeConfiguration(aBytes);
    if (found) {
      m_mainLoop.Post([this, found = std::move(*found)] {
        m_listener.m_onConfiguration(found);
      });
    }
  }

  void On(const consensus::ConfigurationApplied& aAction)
  {
    observe::LogLine(observe::LogLevel::Info, "ledger_members_changed")
      .Add("index", aAction.m_index)
      .Add("members", aAction.m_configuration.m_members.size())
      .Add("voters", aAction.m_configuration.VoterCount());
    if (!aAction.m_proposal) {
      return;
    }
    const auto found = m_changes.find(*aAction.m_proposal);
    if (found != m_changes.end()) {
      m_mainLoop.Post([callback = found->second] { callback({}); });
      m_changes.erase(found);
    }
  }

  void On(const consensus::JoinRequested& aAction)
  {
    observe::LogLine(observe::LogLevel::Info, "ledger_join_requested")
      .Add("member", aAction.m_member.m_instance)
      .Add("incarnation", aAction.m_member.m_incarnation);
    m_joining.insert_or_assign(aAction.m_member.m_instance,
                               aAction.m_member.m_incarnation);
  }

  void On(const consensus::TornRecordRemoved& aAction)
  {
    observe::LogLine(observe::LogLevel::Warning, "ledger_torn_record_removed")
      .Add("file", aAction.m_record.m_file)
      .Add("offset", aAction.m_record.m_offset)
      .Add("bytes", aAction.m_record.m_bytes);
  }

  void On(const consensus::DiskLossDetected& aAction)
  {
    observe::LogLine(observe::LogLevel::Error, "ledger_disk_loss")
      .Add("previous_incarnation", aAction.m_previous.m_incarnation)
      .Add("incarnation", aAction.m_current.m_incarnation);
  }

  void On(const consensus::MemberStopped& aAction)
  {
    observe::LogLine(observe::LogLevel::Error, "ledger_member_stopped")
      .Add("removed", aAction.m_reason == consensus::StopReason::Removed)
      .Add("reason",
           aAction.m_error ? consensus::Describe(*aAction.m_error) : "none");
  }

  InstanceId m_self;
  settings::SiteName m_site;
  ControlLoop& m_mainLoop;
  protocol::PeerTransport* m_transport;
  ledger::InstanceIdentity m_identity;
  LedgerListener m_listener;
  std::vector<InstanceId> m_otherMembers;
  std::vector<InstanceId> m_fallbackPeers;

  ControlLoop m_loop;
  consensus::PosixFileOperations m_files;
  std::unique_ptr<consensus::FileStorage> m_storage;
  std::optional<consensus::Node> m_node;
  ledger::StateMachine m_state;
  std::optional<ledger::ProposalClock> m_clock;
  Leadership m_leadership;
  Revision m_announcedRevision;
  std::vector<consensus::Event> m_events;
  bool m_scheduled = false;
  std::uint64_t m_nextProposal = 1;
  std::uint64_t m_nextRead = 1;
  std::map<consensus::ProposalId, Pending> m_proposals;
  std::map<consensus::ReadId, ReadCallback> m_reads;
  std::map<consensus::ProposalId,
           std::function<void(tl::expected<void, consensus::RejectionReason>)>>
    m_changes;
  /** Incarnations of the instances that have asked to join. */
  std::map<InstanceId, Incarnation> m_joining;
  /** The member that replied last; used by non-members only. */
  std::optional<InstanceId> m_lastTarget;
  std::size_t m_nextTarget = 0;
  std::thread m_thread;
};

tl::expected<std::unique_ptr<LedgerService>, LedgerOpenError>
LedgerService::Create(const settings::InstanceSettings& aSettings,
                      ControlLoop& aLoop,
                      protocol::PeerTransport* aTransport,
                      ledger::InstanceIdentity aIdentity,
                      bool aBootstrap,
                      LedgerListener aListener)
{
  auto implementation = std::make_unique<Implementation>(
    aSettings, aLoop, aTransport, std::move(aIdentity), std::move(aListener));
  if (aSettings.IsLedgerMember()) {
    const auto opened = implementation->Open(aSettings, aBootstrap);
    if (!opened) {
      return tl::make_unexpected(opened.error());
    }
  }
  implementation->Start();
  return std::unique_ptr<LedgerService>(
    new LedgerService(aLoop, std::move(implementation)));
}

LedgerService::LedgerService(ControlLoop& aLoop,
                             std::unique_ptr<Implementation> aImplementation)
  : m_loop(aLoop)
  , m_implementation(std::move(aImplementation))
{
}

LedgerService::~LedgerService() = default;

void LedgerService::Propose(ledger::Command aCommand,
                            Duration aTimeout,
                            std::function<void(LedgerResult)> aCallback)
{
  m_implementation->Propose(
    std::move(aCommand), aTimeout, std::move(aCallback));
}

void LedgerService::OnLedger(
  std::function<void(const ledger::StateMachine&)> aWork)
{
  m_implementation->Post(
    [this, work = std::move(aWork)] { work(m_implementation->State()); });
}

void LedgerService::Status(std::function<void(consensus::NodeStatus)> aCallback)
{
  m_implementation->Status(std::move(aCallback));
}

void LedgerService::ChangeMembership(
  consensus::MembershipChange aChange,
  std::function<void(tl::expected<void, consensus::RejectionReason>)> aCallback)
{
  m_implementation->ChangeMembership(std::move(aChange), std::move(aCallback));
}

void LedgerService::AddMember(
  const InstanceId& aInstance,
  const std::string& aAddress,
  std::function<void(tl::expected<void, consensus::RejectionReason>)> aCallback)
{
  m_implementation->AddMember(aInstance, aAddress, std::move(aCallback));
}

void LedgerService::HandleMessage(const std::string& aPayload)
{
  m_implementation->HandleMessage(aPayload);
}

void LedgerService::HandleProposal(const std::string& aPayload,
                                   const protocol::Reply& aReply)
{
  m_implementation->HandleProposal(aPayload, aReply);
}

void LedgerService::HandleConfigurationRequest(const std::string& aPayload,
                                               const protocol::Reply& aReply)
{
  m_implementation->HandleConfigurationRequest(aPayload, aReply);
}

void LedgerService::HandleConfirmRequest(const std::string& aPayload,
                                         const protocol::Reply& aReply)
{
  m_implementation->HandleConfirmRequest(aPayload, aReply);
}

void LedgerService::ConfirmConfiguration(
  Duration aTimeout,
  std::function<void(std::optional<ledger::AcceptedConfiguration>)> aCallback)
{
  m_implementation->Confirm(aTimeout, std::move(aCallback));
}

void LedgerService::SetFallbackPeers(std::vector<InstanceId> aPeers)
{
  m_implementation->SetFallbackPeers(std::move(aPeers));
}

bool LedgerService::IsMember() const noexcept
{
  return m_implementation->IsMember();
}

void LedgerService::PollConfiguration(Revision aHeld)
{
  m_implementation->Poll(aHeld);
}

void LedgerService::Stop()
{
  m_implementation->Stop();
}

void LedgerService::TransferLeadership()
{
  m_implementation->TransferLeadership();
}

} // namespace auburntrestle::daemon
