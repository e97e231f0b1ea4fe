#include "auburntrestle/fleet/leader_link.hpp"

#include "auburntrestle/fleet/codec.hpp"
#include "auburntrestle/fleet/peer_link.hpp"
#include "auburntrestle/observe/log.hpp"

#include <algorithm>
#include <utility>

namespace auburntrestle::fleet {

namespace {

/** After this time without a reply another instance is tried. */
constexpr Duration kAttemptTimeout = std::chrono::milliseconds(700);
constexpr Duration kFirstRetryDelay = std::chrono::milliseconds(10);
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(100);

/** @return whether the reply to a query can be long, and the query can be
 * repeated. */
bool IsJobRead(const std::optional<Query>& aQuery)
{
  return aQuery && (std::holds_alternative<ReadJob>(*aQuery) ||
                    std::holds_alternative<ReadItem>(*aQuery));
}

/** Discards a reply for which there is no room.
 * @return what the reply holds of the quota until it is handled. */
std::shared_ptr<Reservation> TakeRoom(const std::shared_ptr<Quota>& aQuota,
                                      protocol::Expected<std::string>& aReply)
{
  if (!aReply) {
    return nullptr;
  }
  if (!aQuota->TryAcquire(aReply->size())) {
    aReply = protocol::Fail(protocol::ProtocolErrorCode::QueueFull);
    return nullptr;
  }
  return std::make_shared<Reservation>(aQuota, aReply->size());
}

} // namespace

std::string_view ToString(LinkError aError) noexcept
{
  switch (aError) {
    case LinkError::NotRun:
      return "not_run";
    case LinkError::OutcomeUnknown:
      return "outcome_unknown";
  }
  return "unknown";
}

struct LeaderLink::Pending
{
  protocol::Method m_method;
  std::string m_payload;
  std::optional<Command> m_command;
  std::optional<Query> m_query;
  TimePoint m_deadline{};
  Duration m_maxWait{};
  Duration m_retryDelay = kFirstRetryDelay;
  std::function<void(tl::expected<ReplyBody, LinkError>)> m_callback;
  bool m_mayHaveRun = false;
};

LeaderLink::LeaderLink(event_loop::EventLoop& aLoop,
                       InstanceId aSelf,
                       std::vector<InstanceId> aCandidates,
                       std::optional<LocalLeader> aLocal)
  : m_loop(aLoop)
  , m_self(std::move(aSelf))
  , m_seeds(aCandidates)
  , m_candidates(std::move(aCandidates))
  , m_local(std::move(aLocal))
{
}

void LeaderLink::SetTransport(protocol::PeerTransport* aTransport)
{
  m_transport = aTransport;
}

void LeaderLink::SetReplyLimit(std::size_t aBytes)
{
  m_replies = MakeQuota(aBytes);
}

void LeaderLink::SetSeeds(std::vector<InstanceId> aSeeds)
{
  m_seeds = std::move(aSeeds);
}

void LeaderLink::SetCandidates(const std::vector<InstanceId>& aCandidates)
{
  if (!aCandidates.empty()) {
    m_candidates = aCandidates;
  }
}

void LeaderLink::Propose(Command aCommand,
                         Duration aTimeout,
                         CommandCallback aCallback)
{
  auto pending = std::make_shared<Pending>();
  pending->m_method = kProposeMethod;
  pending->m_command = std::move(aCommand);
  pending->m_deadline = MonotonicClock::Now() + aTimeout;
  pending->m_callback = [callback = std::move(aCallback),
                         &mayHaveRun = pending->m_mayHaveRun](
                          tl::expected<ReplyBody, LinkError> aReply) {
    const auto* reply = aReply ? std::get_if<CommandReply>(&*aReply) : nullptr;
    if (!aReply) {
      callback(tl::make_unexpected(aReply.error()));
    } else if (reply == nullptr ||
               (reply->m_result == CommandResult::NoRoom && mayHaveRun)) {
      // There was no room for this attempt, but an earlier one may be applied.
      callback(tl::make_unexpected(LinkError::OutcomeUnknown));
    } else {
      callback(reply->m_result);
    }
  };
  Try(pending);
}

void LeaderLink::SendQuery(const Query& aQuery,
                           Duration aTimeout,
                           Duration aMaxWait,
                           ReplyCallback aCallback)
{
  auto pending = std::make_shared<Pending>();
  pending->m_method = kQueryMethod;
  pending->m_query = aQuery;
  pending->m_deadline = MonotonicClock::Now() + aTimeout;
  pending->m_maxWait = aMaxWait;
  pending->m_callback = std::move(aCallback);
  Try(pending);
}

void LeaderLink::SendQueryTo(const InstanceId& aInstance,
                             const Query& aQuery,
                             Duration aTimeout,
                             ReplyCallback aCallback)
{
  RegisterPeer(aInstance);
  const auto handle = [aInstance, callback = std::move(aCallback)](
                        const protocol::Expected<std::string>& aReply) {
    auto body =
      aReply ? DecodeReplyBody(*aReply) : tl::make_unexpected(aReply.error());
    if (body) {
      callback(std::move(*body));
      return;
    }
    if (aReply) {
      observe::LogLine(observe::LogLevel::Warning, "answer_unreadable")
        .Add("instance", aInstance);
    }
    callback(tl::make_unexpected(LinkError::OutcomeUnknown));
  };
  const auto sent = m_transport->Call(
    aInstance,
    kQueryMethod,
    Encode(aQuery),
    aTimeout,
    [this, handle](protocol::Expected<std::string> aReply) {
      m_loop.Post([handle, reply = std::move(aReply)] { handle(reply); });
    });
  if (!sent) {
    m_loop.Post(
      [handle, error = sent.error()] { handle(tl::make_unexpected(error)); });
  }
}

void LeaderLink::Try(const PendingPtr& aPending)
{
  if (MonotonicClock::Now() >= aPending->m_deadline) {
    Fail(aPending);
  } else if (m_local && m_local->m_isLeading()) {
    TryLocal(aPending);
  } else {
    TryRemote(aPending);
  }
}

void LeaderLink::TryLocal(const PendingPtr& aPending)
{
  if (aPending->m_command) {
    m_local->m_propose(
      *aPending->m_command,
      [this, aPending](tl::expected<CommandResult, LinkError> aResult) {
        if (aResult) {
          aPending->m_callback(ReplyBody(CommandReply{ *aResult }));
          return;
        }
        aPending->m_mayHaveRun |= aResult.error() == LinkError::OutcomeUnknown;
        ScheduleRetry(aPending);
      });
    return;
  }
  m_local->m_handleQuery(*aPending->m_query,
                         [this, aPending](std::optional<ReplyBody> aReply) {
                           if (aReply) {
                             aPending->m_callback(std::move(*aReply));
                           } else {
                             ScheduleRetry(aPending);
                           }
                         });
}

std::optional<InstanceId> LeaderLink::SelectTarget()
{
  if (m_local) {
    if (auto leader = m_local->m_getLeader(); leader && *leader != m_self) {
      return leader;
    }
  }
  if (m_target && *m_target != m_self) {
    return m_target;
  }
  // The seeds stay candidates, because all members known so far may have been
  // replaced.
  const std::size_t count = m_candidates.size() + m_seeds.size();
  for (std::size_t step = 0; step < count; ++step) {
    const std::size_t index = m_nextCandidate++ % count;
    const auto& candidate = index < m_candidates.size()
                              ? m_candidates[index]
                              : m_seeds[index - m_candidates.size()];
    if (candidate != m_self) {
      return candidate;
    }
  }
  return std::nullopt;
}

void LeaderLink::RegisterPeer(const InstanceId& aInstance)
{
  if (m_registeredPeers.insert(aInstance).second) {
    // The id of an instance is the address on which it listens for peers.
    if (!m_transport->SetPeer(aInstance, aInstance.Get())) {
      observe::LogLine(observe::LogLevel::Warning, "peer_address_bad")
        .Add("instance", aInstance);
    }
  }
}

void LeaderLink::TryRemote(const PendingPtr& aPending)
{
  const auto target = SelectTarget();
  if (!target || m_transport == nullptr) {
    ScheduleRetry(aPending);
    return;
  }
  RegisterPeer(*target);
  if (aPending->m_payload.empty()) {
    aPending->m_payload = aPending->m_command ? Encode(*aPending->m_command)
                                              : Encode(*aPending->m_query);
    if (!m_local) {
      // A job can be large, and only the encoded form is needed from here on.
      aPending->m_command.reset();
    }
  }
  const Duration left = aPending->m_deadline - MonotonicClock::Now();
  const auto sent =
    m_transport->Call(*target,
                      aPending->m_method,
                      aPending->m_payload,
                      std::min(left,
                               kAttemptTimeout + aPending->m_maxWait +
                                 TransferTime(aPending->m_payload.size())),
                      [this, aPending, target = *target, quota = m_replies](
                        protocol::Expected<std::string> aReply) {
                        auto room = IsJobRead(aPending->m_query)
                                      ? TakeRoom(quota, aReply)
                                      : nullptr;
                        m_loop.Post([this,
                                     aPending,
                                     target,
                                     reply = std::move(aReply),
                                     room = std::move(room)] {
                          HandleReply(aPending, target, reply);
                        });
                      });
  if (!sent) {
    m_target.reset();
    ScheduleRetry(aPending);
  }
}

void LeaderLink::HandleReply(const PendingPtr& aPending,
                             const InstanceId& aTarget,
                             const protocol::Expected<std::string>& aReply)
{
  if (aReply) {
    auto body = DecodeReplyBody(*aReply);
    if (body) {
      m_target = aTarget;
      aPending->m_callback(std::move(*body));
      return;
    }
    observe::LogLine(observe::LogLevel::Warning, "answer_unreadable")
      .Add("instance", aTarget);
    aPending->m_mayHaveRun = true;
    m_target.reset();
  } else if (aReply.error().m_code != protocol::ProtocolErrorCode::QueueFull) {
    aPending->m_mayHaveRun |= protocol::MayHaveRun(aReply.error().m_code);
    if (m_target == aTarget || !m_target) {
      m_target.reset();
      // An instance that is not the leader refuses with the leader it knows.
      const bool namesLeader =
        aReply.error().m_code == protocol::ProtocolErrorCode::CallRefused &&
        !aReply.error().m_detail.empty() &&
        aReply.error().m_detail != aTarget.Get();
      if (namesLeader) {
        m_target = InstanceId(aReply.error().m_detail);
      }
    }
  }
  ScheduleRetry(aPending);
}

void LeaderLink::ScheduleRetry(const PendingPtr& aPending)
{
  const TimePoint now = MonotonicClock::Now();
  if (now >= aPending->m_deadline) {
    Fail(aPending);
    return;
  }
  const Duration delay =
    std::min(aPending->m_retryDelay, aPending->m_deadline - now);
  aPending->m_retryDelay = std::min(aPending->m_retryDelay * 2, kMaxRetryDelay);
  m_loop.After(delay, [this, aPending] { Try(aPending); });
}

void LeaderLink::Fail(const PendingPtr& aPending)
{
  aPending->m_callback(tl::make_unexpected(
    aPending->m_mayHaveRun ? LinkError::OutcomeUnknown : LinkError::NotRun));
}

} // namespace auburntrestle::fleet
