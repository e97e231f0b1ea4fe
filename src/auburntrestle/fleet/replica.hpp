#ifndef AUBURNTRESTLE_FLEET_REPLICA_HPP
#define AUBURNTRESTLE_FLEET_REPLICA_HPP

#include "auburntrestle/consensus/file_storage.hpp"
#include "auburntrestle/consensus/node.hpp"
#include "auburntrestle/event_loop/event_loop.hpp"
#include "auburntrestle/fleet/member_contacts.hpp"
#include "auburntrestle/fleet/membership_plan.hpp"
#include "auburntrestle/fleet/output_store.hpp"
#include "auburntrestle/fleet/snapshot_sender.hpp"
#include "auburntrestle/fleet/state.hpp"

#include <tl/expected.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace auburntrestle::fleet {

/** Settings of a replica. */
struct ReplicaOptions
{
  InstanceId m_self;
  std::string m_dataFolder;
  /** The members to which a new instance sends its join requests; with
   * m_bootstrap, the initial members of a new log. */
  std::vector<InstanceId> m_seeds;
  /** Set when the whole system starts for the first time. */
  bool m_bootstrap = false;
  MembershipPolicy m_membership;
};

/** Why a replica could not be opened. */
struct ReplicaError
{
  std::string m_reason;
};

/** Callbacks of a replica to its owner; all run on the event loop. */
struct ReplicaListener
{
  /** Sends a message to another member; the message may be lost. */
  std::function<void(const InstanceId&, std::string)> m_send;
  /** Copies a chunk of an output segment to another member. */
  SnapshotSender::ChunkSender m_sendChunk;
  /** A command has been applied. */
  std::function<void(const Command&)> m_onApplied;
  /** The state was replaced by a snapshot. */
  std::function<void()> m_onRestored;
  /** This instance became the leader with a complete state (true), or is no
   * longer the leader (false). */
  std::function<void(bool)> m_onLeadershipChanged;
};

/** Why a proposal has no result. */
enum class ProposeError : std::uint8_t
{
  /** Not run, because this instance is not the leader. */
  NotLeader,
  /** Not run, because the command is too large or too many bytes are being
   * replicated. */
  NoRoom,
  /** The command may or may not be applied later. */
  OutcomeUnknown,
};

/**
 * A member of the replicated log with its state machine, on an event loop.
 * After a storage failure it closes, and retries to open the storage until that
 * succeeds.
 */
class Replica
{
public:
  using ProposeCallback =
    std::function<void(tl::expected<CommandResult, ProposeError>)>;

  [[nodiscard]] static tl::expected<std::unique_ptr<Replica>, ReplicaError>
  Open(event_loop::EventLoop& aLoop,
       ReplicaOptions aOptions,
       ReplicaListener aListener);

  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  /** Proposes an encoded command. Fails with NotLeader unless this instance
   * leads. */
  void Propose(SharedBytes aCommand, ProposeCallback aCallback);
  /** Calls back with whether the state contains every command that was
   * acknowledged before this call. */
  void ConfirmRead(std::function<void(bool)> aCallback);
  /** Handles an encoded log message of another member. */
  void HandleMessage(const std::string& aPayload);
  /** Appends a chunk received from the leader to its output segment.
   * @return how many bytes of the segment are stored. */
  [[nodiscard]] tl::expected<std::uint64_t, OutputStoreError> AppendOutputChunk(
    const OutputChunk& aChunk);
  /** @return the members in the newest log configuration known here. */
  [[nodiscard]] std::vector<InstanceId> GetLogMembers() const;
  /** @return the announced stores that the leader found lost; to be called on
   * the leader. */
  [[nodiscard]] std::vector<InstanceId> FindLostStores() const;
  /** Sets the current members of the log. An instance that is not a member
   * sends its join requests to them. */
  void SetKnownMembers(const std::vector<InstanceId>& aMembers);
  /** Transfers leadership to another member before a shutdown. */
  void TransferLeadership();

  [[nodiscard]] const State& GetState() const noexcept { return *m_state; }
  /** @return whether this instance leads and its state is complete. */
  [[nodiscard]] bool IsLeading() const noexcept { return m_isLeading; }
  [[nodiscard]] Term GetTerm() const noexcept { return m_term; }
  /** @return the leader known to this instance, if any. */
  [[nodiscard]] std::optional<InstanceId> Leader() const { return m_leader; }
  [[nodiscard]] consensus::NodeStatus Status() const
  {
    return m_node ? m_node->Status() : consensus::NodeStatus{};
  }

private:
  Replica(event_loop::EventLoop& aLoop,
          ReplicaOptions aOptions,
          ReplicaListener aListener);
  [[nodiscard]] tl::expected<void, ReplicaError> Recover();
  [[nodiscard]] consensus::Options MakeOptions() const;

  void Push(consensus::Event aEvent);
  void Process();
  void ArmTimer();
  void Execute(std::vector<consensus::Action> aActions);
  void ApplyActions();
  void On(const consensus::SendMessage& aAction);
  void On(const consensus::ApplyEntry& aAction);
  void On(const consensus::ProposalRejected& aAction);
  void On(const consensus::ReadConfirmed& aAction);
  void On(const consensus::ReadRejected& aAction);
  void On(const consensus::InstallSnapshot& aAction);
  void On(const consensus::TakeSnapshot& aAction);
  void On(const consensus::LeadershipChanged& aAction);
  void On(const consensus::ConfigurationApplied& aAction);
  void On(const consensus::JoinRequested& aAction);
  void On(const consensus::TornRecordRemoved& aAction);
  void On(const consensus::DiskLossDetected& aAction);
  void On(const consensus::MemberStopped& aAction);
  void FinishRead(consensus::ReadId aId, bool aConfirmed);
  void PrepareLeadership(Term aTerm);
  void SetLeading(bool aIsLeading);
  void UpdateMembership();
  void OnStorageFailure(const OutputStoreError& aError);
  void SendSnapshot(const consensus::Message& aMessage,
                    const consensus::SnapshotRequest& aBody);
  [[nodiscard]] std::set<OutputSegment> SegmentsInUse() const;
  void Close();
  void Reopen();

  event_loop::EventLoop& m_loop;
  ReplicaOptions m_options;
  ReplicaListener m_listener;
  consensus::PosixFileOperations m_files;
  std::unique_ptr<consensus::FileStorage> m_storage;
  std::optional<consensus::Node> m_node;
  std::unique_ptr<OutputStore> m_outputs;
  std::optional<State> m_state;
  /** The state of the snapshot on disk has not been restored yet. */
  bool m_recovering = false;
  SnapshotSender m_snapshotSender;
  /** The output segments that the newest stored snapshot refers to. */
  std::set<OutputSegment> m_snapshotSegments;
  bool m_isLeading = false;
  Term m_term;
  std::optional<InstanceId> m_leader;
  std::vector<consensus::Event> m_events;
  /** Actions that wait for the state machine, in order. */
  std::deque<consensus::Action> m_actions;
  bool m_applyScheduled = false;
  bool m_processScheduled = false;
  std::optional<timer::TimerId> m_timer;
  TimePoint m_timerAt = TimePoint::max();
  std::uint64_t m_nextId = 1;
  std::map<consensus::ProposalId, ProposeCallback> m_proposals;
  std::map<consensus::ReadId, std::function<void(bool)>> m_reads;
  std::vector<consensus::MemberIdentity> m_joining;
  MemberContacts m_contacts;
};

} // namespace auburntrestle::fleet

#endif
