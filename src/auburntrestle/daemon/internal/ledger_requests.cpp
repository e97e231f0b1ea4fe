#include "auburntrestle/daemon/internal/ledger_implementation.hpp"
#include "auburntrestle/daemon/peer_methods.hpp"
#include "auburntrestle/ledger/codec.hpp"
#include "auburntrestle/protocol/ledger_codec.hpp"
#include "auburntrestle/protocol/pack.hpp"

#include <algorithm>
#include <utility>

namespace auburntrestle::daemon {

namespace {

constexpr Duration kRetryDelay = std::chrono::milliseconds(50);
// Short enough to try another member when this one is down.
constexpr Duration kCallTimeout = std::chrono::seconds(2);

} // namespace

void LedgerService::Implementation::Propose(ledger::Command aCommand,
                                            Duration aTimeout,
                                            Callback aCallback)
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

void LedgerService::Implementation::Confirm(Duration aTimeout,
                                            ConfigurationCallback aCallback)
{
  const TimePoint deadline = MonotonicClock::Now() + aTimeout;
  Post([this, deadline, callback = std::move(aCallback)] {
    TryConfirm(deadline, callback);
  });
}

void LedgerService::Implementation::HandleProposal(
  const std::string& aPayload,
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

void LedgerService::Implementation::HandleConfigurationRequest(
  const std::string& aPayload,
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

void LedgerService::Implementation::HandleConfirmRequest(
  const std::string& aPayload,
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

void LedgerService::Implementation::Poll(Revision aHeld)
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
      kCallTimeout,
      [this](protocol::Expected<std::string> aReply) {
        Post([this, reply = std::move(aReply)] { HandlePollReply(reply); });
      });
  });
}

void LedgerService::Implementation::SetFallbackPeers(
  std::vector<InstanceId> aPeers)
{
  Post([this, peers = std::move(aPeers)]() mutable {
    std::erase(peers, m_self);
    m_fallbackPeers = std::move(peers);
  });
}

bool LedgerService::Implementation::CanPropose() const
{
  return m_node && m_node->IsLeader() && m_clock;
}

void LedgerService::Implementation::TryCommand(const Pending& aPending)
{
  if (MonotonicClock::Now() >= aPending->m_deadline) {
    FailExpired(aPending);
  } else if (CanPropose()) {
    ProposeLocally(aPending);
  } else {
    Forward(aPending);
  }
}

void LedgerService::Implementation::FailExpired(const Pending& aPending)
{
  if (aPending->m_maybeCommitted) {
    aPending->m_callback(
      tl::make_unexpected(LedgerFailure(LedgerOutcomeUnknown{})));
  } else {
    aPending->m_callback(
      tl::make_unexpected(LedgerFailure(LedgerUnavailable{})));
  }
}

void LedgerService::Implementation::ScheduleRetry(const Pending& aPending)
{
  m_loop.RunAfter(kRetryDelay, [this, aPending] { TryCommand(aPending); });
}

void LedgerService::Implementation::ProposeLocally(const Pending& aPending)
{
  const consensus::ProposalId id(m_nextProposal++);
  m_proposals.emplace(id, aPending);
  Push(consensus::Propose{
    id,
    ledger::Encode(ledger::Proposal{ m_clock->Stamp(MonotonicClock::Now()),
                                     aPending->m_command }) });
}

std::optional<InstanceId> LedgerService::Implementation::SelectTarget()
{
  if (m_node) {
    return m_leadership.m_leader != m_self ? m_leadership.m_leader
                                           : std::nullopt;
  }
  if (m_lastTarget) {
    return m_lastTarget;
  }
  const auto& known = m_otherMembers.empty() ? m_fallbackPeers : m_otherMembers;
  return known.empty() ? std::nullopt
                       : std::optional(known[m_nextTarget++ % known.size()]);
}

void LedgerService::Implementation::Forward(const Pending& aPending)
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
    std::min(left, kCallTimeout),
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

void LedgerService::Implementation::HandleForwardReply(
  const Pending& aPending,
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

void LedgerService::Implementation::Complete(const Pending& aPending,
                                             const ledger::Result& aResult)
{
  if (aPending->m_forwardedReply) {
    aPending->m_forwardedReply->Send(protocol::EncodeResult(aResult));
  } else if (aResult) {
    aPending->m_callback(*aResult);
  } else {
    aPending->m_callback(tl::make_unexpected(LedgerFailure(aResult.error())));
  }
}

void LedgerService::Implementation::TryConfirm(
  TimePoint aDeadline,
  const ConfigurationCallback& aCallback)
{
  if (MonotonicClock::Now() >= aDeadline) {
    m_mainLoop.Post([aCallback] { aCallback(std::nullopt); });
    return;
  }
  const auto retry = [this, aDeadline, aCallback] {
    m_loop.RunAfter(kRetryDelay, [this, aDeadline, aCallback] {
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

void LedgerService::Implementation::ConfirmRemotely(
  const ConfigurationCallback& aCallback,
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
    kCallTimeout,
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

void LedgerService::Implementation::ReplyToPoll(
  const internal::ConfigurationQuery& aQuery,
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

void LedgerService::Implementation::HandlePollReply(
  const protocol::Expected<std::string>& aReply)
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

void LedgerService::Implementation::HandleConfiguration(
  const std::string& aBytes)
{
  auto found = protocol::DecodeConfiguration(aBytes);
  if (found) {
    m_mainLoop.Post([this, found = std::move(*found)] {
      m_listener.m_onConfiguration(found);
    });
  }
}

} // namespace auburntrestle::daemon
