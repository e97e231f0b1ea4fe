#ifndef AUBURNTRESTLE_DAEMON_INTERNAL_LEDGER_IMPLEMENTATION_HPP
#define AUBURNTRESTLE_DAEMON_INTERNAL_LEDGER_IMPLEMENTATION_HPP

#include "auburntrestle/consensus/file_storage.hpp"
#include "auburntrestle/daemon/internal/configuration_query.hpp"
#include "auburntrestle/daemon/ledger_service.hpp"
#include "auburntrestle/ledger/proposal_clock.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace auburntrestle::daemon {

/** The member of the ledger, or the client of its members, on a thread of its
 * own. All methods but Start, Stop and Post run on that thread. */
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
                 LedgerListener aListener);
  Implementation(const Implementation&) = delete;
  Implementation& operator=(const Implementation&) = delete;

  ~Implementation() { Stop(); }

  void Stop();

  tl::expected<void, LedgerOpenError> Open(
    const settings::InstanceSettings& aSettings,
    bool aBootstrap);

  void Start();

  void Post(std::function<void()> aWork) { m_loop.Post(std::move(aWork)); }

  [[nodiscard]] bool IsMember() const noexcept { return m_node.has_value(); }
  [[nodiscard]] const ledger::StateMachine& State() const { return m_state; }

  void Propose(ledger::Command aCommand, Duration aTimeout, Callback aCallback);

  void Confirm(Duration aTimeout, ConfigurationCallback aCallback);

  void HandleMessage(const std::string& aPayload);

  void HandleProposal(const std::string& aPayload,
                      const protocol::Reply& aReply);

  void HandleConfigurationRequest(const std::string& aPayload,
                                  const protocol::Reply& aReply);

  void HandleConfirmRequest(const std::string& aPayload,
                            const protocol::Reply& aReply);

  void Poll(Revision aHeld);

  void SetFallbackPeers(std::vector<InstanceId> aPeers);

  void Status(std::function<void(consensus::NodeStatus)> aCallback);

  void ChangeMembership(
    consensus::MembershipChange aChange,
    std::function<void(tl::expected<void, consensus::RejectionReason>)>
      aCallback);

  void AddMember(
    const InstanceId& aInstance,
    const std::string& aAddress,
    std::function<void(tl::expected<void, consensus::RejectionReason>)>
      aCallback);

  void TransferLeadership();

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

  [[nodiscard]] bool CanPropose() const;

  void TryCommand(const Pending& aPending);

  void FailExpired(const Pending& aPending);

  void ScheduleRetry(const Pending& aPending);

  void ProposeLocally(const Pending& aPending);

  /** @return the leader when it is known, else the next member, round robin. */
  std::optional<InstanceId> SelectTarget();

  void Forward(const Pending& aPending);

  void HandleForwardReply(const Pending& aPending,
                          const InstanceId& aTarget,
                          const protocol::Expected<std::string>& aReply);

  void Complete(const Pending& aPending, const ledger::Result& aResult);

  using ReadCallback = std::function<void(bool)>;

  void Read(ReadCallback aCallback);

  void TryConfirm(TimePoint aDeadline, const ConfigurationCallback& aCallback);

  void ConfirmRemotely(const ConfigurationCallback& aCallback,
                       const std::function<void()>& aRetry);

  void AdvanceTime();

  /** Queues an event; events queued together share one sync of the storage. */
  void Push(consensus::Event aEvent);

  void Process();

  void Execute(const std::vector<consensus::Action>& aActions);

  void On(const consensus::SendMessage& aAction);

  void On(const consensus::ApplyEntry& aAction);

  void On(const consensus::ProposalRejected& aAction);

  void On(const consensus::ReadConfirmed& aAction);

  void On(const consensus::ReadRejected& aAction);

  void FinishRead(consensus::ReadId aId, bool aConfirmed);

  void On(const consensus::InstallSnapshot& aAction);

  void On(const consensus::TakeSnapshot& aAction);

  void On(const consensus::LeadershipChanged& aAction);

  /** Reports leadership once the leader's first read is confirmed: until then
   * the state may lack committed entries. */
  void PrepareLeadership(Term aTerm);

  void AnnounceLeadership();

  void AnnounceConfiguration();

  /** Replies with the leader, and with the configuration if it is newer. */
  void ReplyToPoll(const internal::ConfigurationQuery& aQuery,
                   const protocol::Reply& aReply);

  void HandlePollReply(const protocol::Expected<std::string>& aReply);

  void HandleConfiguration(const std::string& aBytes);

  void On(const consensus::ConfigurationApplied& aAction);

  void On(const consensus::JoinRequested& aAction);

  void On(const consensus::TornRecordRemoved& aAction);

  void On(const consensus::DiskLossDetected& aAction);

  void On(const consensus::MemberStopped& aAction);

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

} // namespace auburntrestle::daemon

#endif
