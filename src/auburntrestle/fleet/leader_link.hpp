#ifndef AUBURNTRESTLE_FLEET_LEADER_LINK_HPP
#define AUBURNTRESTLE_FLEET_LEADER_LINK_HPP

#include "auburntrestle/core/quota.hpp"
#include "auburntrestle/event_loop/event_loop.hpp"
#include "auburntrestle/fleet/messages.hpp"
#include "auburntrestle/protocol/peer_transport.hpp"

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace auburntrestle::fleet {

/** Why a request to the leader failed. */
enum class LinkError : std::uint8_t
{
  /** No instance ran the request, and none will. */
  NotRun,
  /** An instance may have run the request, or may run it later. */
  OutcomeUnknown,
};

/** @return the stable name of an error. */
[[nodiscard]] std::string_view ToString(LinkError aError) noexcept;

/** Access to the replica of the same process, for requests that this instance
 * can run itself as the leader. */
struct LocalLeader
{
  /** @return whether this instance is the leader. */
  std::function<bool()> m_isLeading;
  /** @return the leader known to this instance. */
  std::function<std::optional<InstanceId>()> m_getLeader;
  std::function<void(
    const Command&,
    std::function<void(tl::expected<CommandResult, LinkError>)>)>
    m_propose;
  std::function<void(const Query&,
                     std::function<void(std::optional<ReplyBody>)>)>
    m_handleQuery;
};

/**
 * Sends commands and queries to the current leader of the log, in this process
 * or another, and retries until a deadline. Commands are idempotent, so a
 * command whose outcome is unknown is proposed again.
 */
class LeaderLink
{
public:
  using CommandCallback =
    std::function<void(tl::expected<CommandResult, LinkError>)>;
  using ReplyCallback = std::function<void(tl::expected<ReplyBody, LinkError>)>;

  /**
   * @param aCandidates the seeds, and the first instances to be tried while no
   * leader is known.
   * @param aLocal the replica of this process, if it has one.
   */
  LeaderLink(event_loop::EventLoop& aLoop,
             InstanceId aSelf,
             std::vector<InstanceId> aCandidates,
             std::optional<LocalLeader> aLocal);
  LeaderLink(const LeaderLink&) = delete;
  LeaderLink& operator=(const LeaderLink&) = delete;

  /** Sets the transport, which must outlive the link. To be called before the
   * first request. */
  void SetTransport(protocol::PeerTransport* aTransport);

  /** Sets the maximum bytes of replies to reads of jobs that wait to be
   * handled. Further ones are discarded and asked for again. */
  void SetReplyLimit(std::size_t aBytes);

  void Propose(Command aCommand, Duration aTimeout, CommandCallback aCallback);
  /** @param aMaxWait how long the leader may defer its reply. */
  void SendQuery(const Query& aQuery,
                 Duration aTimeout,
                 Duration aMaxWait,
                 ReplyCallback aCallback);

  /** Sends a query to one instance, once, whether it leads or not. */
  void SendQueryTo(const InstanceId& aInstance,
                   const Query& aQuery,
                   Duration aTimeout,
                   ReplyCallback aCallback);

  /** Replaces the instances that are always candidates. */
  void SetSeeds(std::vector<InstanceId> aSeeds);
  /** Replaces the instances that are tried while no leader is known; an empty
   * list changes nothing. */
  void SetCandidates(const std::vector<InstanceId>& aCandidates);

private:
  struct Pending;
  using PendingPtr = std::shared_ptr<Pending>;

  static constexpr std::size_t kUnlimited =
    std::numeric_limits<std::size_t>::max();

  [[nodiscard]] static std::shared_ptr<Quota> MakeQuota(std::size_t aBytes)
  {
    return std::make_shared<Quota>(kUnlimited, aBytes);
  }
  void Try(const PendingPtr& aPending);
  void TryLocal(const PendingPtr& aPending);
  void TryRemote(const PendingPtr& aPending);
  void HandleReply(const PendingPtr& aPending,
                   const InstanceId& aTarget,
                   const protocol::Expected<std::string>& aReply);
  void ScheduleRetry(const PendingPtr& aPending);
  void Fail(const PendingPtr& aPending);
  [[nodiscard]] std::optional<InstanceId> SelectTarget();
  void RegisterPeer(const InstanceId& aInstance);

  event_loop::EventLoop& m_loop;
  InstanceId m_self;
  std::vector<InstanceId> m_seeds;
  std::vector<InstanceId> m_candidates;
  std::optional<LocalLeader> m_local;
  protocol::PeerTransport* m_transport = nullptr;
  std::set<InstanceId> m_registeredPeers;
  /** The instance that replied last, or that another one named as the leader.
   */
  std::optional<InstanceId> m_target;
  std::size_t m_nextCandidate = 0;
  /** Counts the replies to reads of jobs that wait to be handled. */
  std::shared_ptr<Quota> m_replies = MakeQuota(kUnlimited);
};

} // namespace auburntrestle::fleet

#endif
