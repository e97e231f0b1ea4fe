#ifndef AUBURNTRESTLE_MEMBERSHIP_MEMBERSHIP_HPP
#define AUBURNTRESTLE_MEMBERSHIP_MEMBERSHIP_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/random.hpp"
#include "auburntrestle/core/time.hpp"
#include "auburntrestle/membership/gossip_queue.hpp"
#include "auburntrestle/membership/member_table.hpp"
#include "auburntrestle/membership/messages.hpp"
#include "auburntrestle/membership/summary_table.hpp"
#include "auburntrestle/membership/types.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace auburntrestle::membership {

/** Identity of an instance and parameters of the protocol. */
struct MembershipSettings
{
  InstanceId m_id;
  DataCentreId m_dataCentre;
  /** Must increase with each start of the instance. */
  Incarnation m_incarnation;
  std::string m_httpAddress;
  std::string m_peerAddress;
  /** Peer addresses of instances of any data centre. */
  std::vector<std::string> m_seeds;

  /** Protocol period: one member is probed in each. */
  Duration m_probeInterval = std::chrono::seconds(1);
  /** Time without Ack after which indirect probes are sent. */
  Duration m_probeTimeout = std::chrono::milliseconds(300);
  /** Members that receive a PingRequest for an indirect probe. */
  std::size_t m_indirectProbes = 3;
  /**
   * The suspicion timeout is this factor times max(1, log10(n + 1)) probe
   * intervals. It must be long enough for the suspect to learn of the suspicion
   * and to refute it.
   */
  double m_suspicionFactor = 3.0;
  /** Time without any reply after which the instance is isolated. */
  Duration m_isolationTimeout = std::chrono::seconds(5);
  /**
   * Suspicion timeout when no reply from any instance has arrived since the
   * suspicion began: this instance may be cut off while the others are alive.
   * It is finite because the survivor of two instances has to take over.
   */
  Duration m_isolatedSuspicionTimeout = std::chrono::seconds(30);
  /** Interval of joins while no other member is known. */
  Duration m_joinInterval = std::chrono::seconds(1);
  /** Interval of joins to a seed or a dead member, to heal a partition. */
  Duration m_reconnectInterval = std::chrono::seconds(10);
  /** Interval of anti-entropy syncs with a random member. */
  Duration m_syncInterval = std::chrono::seconds(10);
  /** Interval of the exchange of summaries. */
  Duration m_summaryInterval = std::chrono::seconds(5);
  /** Time without a newer summary after which a data centre is unreachable. */
  Duration m_summaryExpiry = std::chrono::seconds(30);
  /** Maximum number of representatives of a data centre. */
  std::size_t m_representatives = 3;
  /** Other data centres that a representative contacts in each interval. */
  std::size_t m_summaryFanout = 2;
  /** Minimum time between two advertisements of free capacity. */
  Duration m_capacityInterval = std::chrono::seconds(10);
  /** Time for which members are kept that are dead or have left. */
  Duration m_deadRetention = std::chrono::hours(2);
  /** Maximum size in bytes of the updates or summaries in a message. */
  std::size_t m_maxMessageBytes = 1200;
  /** Maximum size in bytes of the gossip on a probe or ack. */
  std::size_t m_maxGossipBytes = 600;
  /** Maximum number of datagrams in reply to one request. */
  std::size_t m_maxReplyDatagrams = 8;
};

/** A datagram arrived from an authenticated sender. */
struct MessageReceived
{
  InstanceId m_from;
  /** Source address, to which replies are sent. */
  std::string m_source;
  /** Whether the datagram names this instance as its receiver. */
  bool m_directed = true;
  Message m_message;
};

/** NextDeadline() has been reached. */
struct Tick
{};

/** The state that this instance advertises has changed. */
struct LocalStateChanged
{
  Revision m_revision;
  bool m_draining = false;
  std::vector<ModelCapacity> m_capacity;
};

/** This instance leaves; it sends nothing after the resulting actions. */
struct LeaveRequested
{};

/** An input of Membership. */
using Event =
  std::variant<MessageReceived, Tick, LocalStateChanged, LeaveRequested>;

/** Send a message in a datagram. */
struct SendMessage
{
  std::string m_address;
  /** Empty if only the address is known. */
  std::optional<InstanceId> m_to;
  Message m_message;
};

/** A member is new, or alive again. */
struct MemberAlive
{
  InstanceId m_id;
  Incarnation m_incarnation;
};

/** A member did not reply; it still counts as live. */
struct MemberSuspect
{
  InstanceId m_id;
};

/** A member is declared dead. */
struct MemberDead
{
  InstanceId m_id;
};

/** A member left on its own initiative. */
struct MemberLeft
{
  InstanceId m_id;
};

/** The advertisement or incarnation of a member changed. */
struct MemberChanged
{
  InstanceId m_id;
};

/** This instance lost contact with all others, or regained it. */
struct IsolationChanged
{
  bool m_isolated = false;
};

/** A newer summary of another data centre arrived. */
struct DataCentreChanged
{
  DataCentreId m_dataCentre;
};

/** An output of Membership: a message to send or a change to report. */
using Action = std::variant<SendMessage,
                            MemberAlive,
                            MemberSuspect,
                            MemberDead,
                            MemberLeft,
                            MemberChanged,
                            IsolationChanged,
                            DataCentreChanged>;

/**
 * Gossip membership in the manner of SWIM: tracks the members of the own data
 * centre by probes and gossip, and the other data centres by summaries. Has no
 * I/O: it turns events into actions and owns no socket, thread or clock.
 */
class Membership
{
public:
  /** @param aSeed seed of the random choices; equal seeds give equal runs. */
  Membership(MembershipSettings aSettings, std::uint64_t aSeed, TimePoint aNow);

  /** Handles an event and appends the resulting actions. */
  void Handle(const Event& aEvent,
              TimePoint aNow,
              std::vector<Action>& aActions);

  /** @return the time at which the next Tick is due. */
  [[nodiscard]] TimePoint NextDeadline() const;

  /**
   * @return the live members of this data centre by id, including suspects and
   * this instance.
   */
  [[nodiscard]] std::vector<Member> LiveMembers() const;

  /** @return all members, including those that are dead or left. */
  [[nodiscard]] const MemberTable& Members() const noexcept
  {
    return m_members;
  }

  /** @return the newest summaries, including that of this data centre. */
  [[nodiscard]] const SummaryTable& Summaries() const noexcept
  {
    return m_summaries;
  }

  /** @return whether a newer summary arrived within the summary expiry. */
  [[nodiscard]] bool IsReachable(const DataCentreId& aDataCentre,
                                 TimePoint aNow) const;

  /** @return whether no reply arrived within the isolation timeout, as of the
   * last Tick. */
  [[nodiscard]] bool IsIsolated() const noexcept { return m_isolated; }

  /** @return whether this instance represents its data centre. */
  [[nodiscard]] bool IsRepresentative() const;

private:
  struct Probe
  {
    InstanceId m_target;
    std::uint64_t m_sequence = 0;
    TimePoint m_indirectAt;
    TimePoint m_deadline;
    bool m_indirect = false;
  };

  /** An indirect probe on behalf of another member. */
  struct Relay
  {
    InstanceId m_requester;
    std::string m_address;
    std::uint64_t m_sequence = 0;
    TimePoint m_deadline;
  };

  struct EventContext;

  void OnMessage(const MessageReceived& aReceived, EventContext& aContext);
  void OnPing(const MessageReceived& aFrom,
              const Ping& aPing,
              EventContext& aContext);
  void OnPingRequest(const MessageReceived& aFrom,
                     const PingRequest& aRequest,
                     EventContext& aContext);
  void OnAck(const Ack& aAck, EventContext& aContext);
  void OnJoin(const MessageReceived& aFrom,
              const Join& aJoin,
              EventContext& aContext);
  void OnSyncRequest(const MessageReceived& aFrom,
                     const SyncRequest& aRequest,
                     EventContext& aContext);
  void OnSummaryRequest(const MessageReceived& aFrom,
                        const SummaryRequest& aRequest,
                        EventContext& aContext);
  void OnTick(EventContext& aContext);
  void OnLocalStateChanged(const LocalStateChanged& aChange,
                           EventContext& aContext);
  void OnLeave(EventContext& aContext);

  void ApplyUpdates(const std::vector<MemberUpdate>& aUpdates,
                    EventContext& aContext);
  void ApplyUpdate(const MemberUpdate& aUpdate, EventContext& aContext);
  void ApplyUpdateAboutSelf(const MemberUpdate& aUpdate,
                            EventContext& aContext);
  void MergeSummary(const Summary& aSummary, EventContext& aContext);
  void ReportState(const Member& aMember, EventContext& aContext);
  void RecordReply(std::uint64_t aSequence, EventContext& aContext);
  void RecordContact(EventContext& aContext);

  void CheckIsolation(EventContext& aContext);
  void ExpireSuspicions(EventContext& aContext);
  void ContinueProbe(EventContext& aContext);
  void StartProbe(EventContext& aContext);
  void PingSuspects(EventContext& aContext);
  void SendJoins(EventContext& aContext);
  void SendJoin(const std::string& aAddress, EventContext& aContext);
  void JoinUnknownRepresentatives(const Summary& aSummary,
                                  EventContext& aContext);
  void SendSync(EventContext& aContext);
  void ExchangeSummaries(EventContext& aContext);
  void RequestSummaries(const InstanceId& aTo,
                        const std::string& aAddress,
                        bool aWithOwn,
                        EventContext& aContext);
  void RefreshOwnSummary(EventContext& aContext);
  void RemoveExpired(EventContext& aContext);

  void AdvertiseSelf(Advertisement aAdvertisement,
                     Urgency aUrgency,
                     EventContext& aContext);
  void ReplyMembers(const MessageReceived& aFrom,
                    std::uint64_t aSequence,
                    const std::vector<MemberUpdate>& aUpdates,
                    EventContext& aContext);
  void ReplySummaries(const MessageReceived& aFrom,
                      std::uint64_t aSequence,
                      const std::vector<SummaryVersion>& aKnown,
                      EventContext& aContext);
  [[nodiscard]] std::vector<MemberUpdate> Gossip(const InstanceId& aTo);
  [[nodiscard]] std::uint64_t NextSequence(EventContext& aContext);
  [[nodiscard]] std::vector<const Member*> OtherMembers(
    MemberState aMaxState) const;
  [[nodiscard]] std::vector<const Member*> LocalRepresentatives() const;
  [[nodiscard]] Duration SuspicionTimeout() const;
  [[nodiscard]] bool HasKnownPeers() const;
  [[nodiscard]] const Member& Self() const;

  template<typename Element>
  void Shuffle(std::vector<Element>& aElements);

  MembershipSettings m_settings;
  RandomSource m_random;
  MemberTable m_members;
  SummaryTable m_summaries;
  GossipQueue m_gossip;
  /** Requests whose replies prove contact, with their expiry. */
  std::map<std::uint64_t, TimePoint> m_pendingRequests;
  std::uint64_t m_sequence;
  std::optional<Probe> m_probe;
  std::vector<InstanceId> m_probeOrder;
  std::map<std::uint64_t, Relay> m_relays;
  /** Last id covered by the previous sync; empty to start over. */
  InstanceId m_syncPosition;
  TimePoint m_lastContact;
  TimePoint m_nextProbe;
  TimePoint m_nextJoin;
  TimePoint m_nextSync;
  TimePoint m_nextSummary;
  TimePoint m_nextCapacity;
  std::optional<std::vector<ModelCapacity>> m_pendingCapacity;
  bool m_isolated = false;
  bool m_left = false;
};

} // namespace auburntrestle::membership

#endif
