#ifndef AUBURNTRESTLE_FLEET_REPLICA_HPP
#define AUBURNTRESTLE_FLEET_REPLICA_HPP

#include "auburntrestle/consensus/file_storage.hpp"
#include "auburntrestle/consensus/node.hpp"
#include "auburntrestle/event_loop/event_loop.hpp"
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

/** How a replica is set up. */
struct ReplicaOptions
{
  InstanceId m_self;
  std::string m_dataFolder;
  /** The members asked to be taken in; founders of a new log. */
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

/** What a replica tells its owner, on the loop. */
struct ReplicaListener
{
  /** Sends a message to another member; it may be lost. */
  std::function<void(const InstanceId&, std::string)> m_send;
  /** Copies a part of a text segment to another member. */
  SnapshotSender::CallPart m_callPart;
  /** A command has been applied. */
  std::function<void(const Command&)> m_onApplied;
  /** The state was replaced by a snapshot. */
  std::function<void()> m_onRestored;
  /** This instance began or ceased to lead with a complete state. */
  std::function<void(bool)> m_onLeading;
};

/** Why a proposal gave no result. */
enum class ProposeError : std::uint8_t
{
  /** Not run: this instance does not lead. */
  NotLeader,
  /** The command may or may not be applied later. */
  OutcomeUnknown,
};

/**
 * A member of the replicated log with its state machine, on an event loop. When
 * its storage fails it takes no part until the storage can be opened again.
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

  /** Proposes a command; works on the leader only. */
  void Propose(const Command& aCommand, ProposeCallback aCallback);
  /** Calls back with whether the state contains all that was acknowledged
   * before this call. */
  void ConfirmRead(std::function<void(bool)> aCallback);
  /** Takes a message of another member. */
  void TakeMessage(const std::string& aPayload);
  /** Takes a part of a text segment. @return how much of it is held. */
  [[nodiscard]] tl::expected<std::uint64_t, OutputStoreError> TakeTextPart(
    const OutputChunk& aPart);
  /** @return the members of the log as far as this instance knows. */
  [[nodiscard]] std::vector<InstanceId> LogMembers() const;
  /** Tells the log who its members are, so that an instance that is none of
   * them can ask them to be taken in. */
  void NameMembers(const std::vector<InstanceId>& aMembers);
  /** Hands leadership over before a shutdown. */
  void TransferLeadership();

  [[nodiscard]] const State& GetState() const noexcept { return *m_state; }
  /** @return whether this instance leads and its state is complete. */
  [[nodiscard]] bool Leads() const noexcept { return m_leads; }
  [[nodiscard]] Term GetTerm() const noexcept { return m_term; }
  /** @return the leader as far as is known. */
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
  void Carry(std::vector<consensus::Action> aActions);
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
  void SetLeads(bool aLeads);
  void PlanMembers();
  void StorageFailed(const OutputStoreError& aError);
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
  std::unique_ptr<OutputStore> m_texts;
  std::optional<State> m_state;
  /** The snapshot on the disk has not been restored yet. */
  bool m_recovering = false;
  SnapshotSender m_sender;
  /** The segments that the newest stored snapshot needs. */
  std::set<OutputSegment> m_snapshotSegments;
  bool m_leads = false;
  Term m_term;
  std::optional<InstanceId> m_leader;
  std::vector<consensus::Event> m_events;
  /** Actions for the state machine, in order. */
  std::deque<consensus::Action> m_actions;
  bool m_applyScheduled = false;
  bool m_scheduled = false;
  std::optional<timer::TimerId> m_timer;
  TimePoint m_timerAt = TimePoint::max();
  std::uint64_t m_nextId = 1;
  std::map<consensus::ProposalId, ProposeCallback> m_proposals;
  std::map<consensus::ReadId, std::function<void(bool)>> m_reads;
  std::vector<consensus::MemberIdentity> m_joining;
};

} // namespace auburntrestle::fleet

#endif
