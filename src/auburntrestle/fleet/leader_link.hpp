#ifndef AUBURNTRESTLE_FLEET_LEADER_LINK_HPP
#define AUBURNTRESTLE_FLEET_LEADER_LINK_HPP

#include "auburntrestle/event_loop/event_loop.hpp"
#include "auburntrestle/fleet/messages.hpp"
#include "auburntrestle/protocol/peer_transport.hpp"

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace auburntrestle::fleet {

/** Why a request to the leader gave no answer. */
enum class LinkError : std::uint8_t
{
  /** No instance has run it, and none will. */
  NotRun,
  /** An instance may have run it, or may run it later. */
  OutcomeUnknown,
};

/** The leader's side of a LeaderLink within the same process. */
struct LocalLeader
{
  /** @return whether this instance leads. */
  std::function<bool()> m_leads;
  /** @return the leader that this instance knows of. */
  std::function<std::optional<InstanceId>()> m_leader;
  std::function<void(
    const Command&,
    std::function<void(tl::expected<CommandResult, LinkError>)>)>
    m_propose;
  std::function<void(const Query&,
                     std::function<void(std::optional<ReplyBody>)>)>
    m_ask;
};

/**
 * Brings commands and queries to the leader of the log, wherever it is, and
 * tries again until a time limit. Commands are idempotent, so one whose
 * outcome is unknown is proposed again.
 */
class LeaderLink
{
public:
  using CommandCallback =
    std::function<void(tl::expected<CommandResult, LinkError>)>;
  using AnswerCallback =
    std::function<void(tl::expected<ReplyBody, LinkError>)>;

  /**
   * @param aCandidates instances to ask for the leader at first.
   * @param aLocal the leader's side of this process, if it has one.
   */
  LeaderLink(event_loop::EventLoop& aLoop,
             InstanceId aSelf,
             std::vector<InstanceId> aCandidates,
             std::optional<LocalLeader> aLocal);
  LeaderLink(const LeaderLink&) = delete;
  LeaderLink& operator=(const LeaderLink&) = delete;

  /** Sets the connections; must outlive the link and be set before use. */
  void SetTransport(protocol::PeerTransport* aTransport);

  void Propose(const Command& aCommand,
               Duration aTimeout,
               CommandCallback aCallback);
  /** @param aHold how long the leader may hold the answer back. */
  void Ask(const Query& aQuery,
           Duration aTimeout,
           Duration aHold,
           AnswerCallback aCallback);

  /** Replaces the instances that stay candidates whoever else is known. */
  void SetSeeds(std::vector<InstanceId> aSeeds);
  /** Replaces the instances that are asked when no leader is known. */
  void SetCandidates(const std::vector<InstanceId>& aCandidates);

private:
  struct Pending;
  using PendingPtr = std::shared_ptr<Pending>;

  void Try(const PendingPtr& aPending);
  void TryLocal(const PendingPtr& aPending);
  void TryRemote(const PendingPtr& aPending);
  void TakeAnswer(const PendingPtr& aPending,
                  const InstanceId& aTarget,
                  const protocol::Expected<std::string>& aAnswer);
  void TryLater(const PendingPtr& aPending);
  void GiveUp(const PendingPtr& aPending);
  [[nodiscard]] std::optional<InstanceId> Target();
  void MakeKnown(const InstanceId& aInstance);

  event_loop::EventLoop& m_loop;
  InstanceId m_self;
  std::vector<InstanceId> m_seeds;
  std::vector<InstanceId> m_candidates;
  std::optional<LocalLeader> m_local;
  protocol::PeerTransport* m_transport = nullptr;
  std::set<InstanceId> m_known;
  /** The instance that answered last, or that another one named. */
  std::optional<InstanceId> m_target;
  std::size_t m_turn = 0;
};

} // namespace auburntrestle::fleet

#endif
