#include "auburntrestle/ledger/internal/claim_table.hpp"

#include "auburntrestle/ledger/internal/check.hpp"
#include "auburntrestle/ledger/internal/configuration_table.hpp"

#include <algorithm>

namespace auburntrestle::ledger::internal {

namespace {

/** @return the claim if the sender owns it, or a refusal. */
tl::expected<Claim*, Refusal> FindOwned(const ClaimKey& aKey,
                                        const ClaimOwner& aOwner,
                                        State& aState)
{
  const auto found = aState.m_claims.find(aKey);
  if (found == aState.m_claims.end()) {
    return Refuse(RefusalKind::UnknownClaim);
  }
  if (found->second.m_owner != aOwner) {
    return Refuse(RefusalKind::NotClaimOwner,
                  0,
                  found->second.m_owner.m_identity.m_instance.Get());
  }
  return &found->second;
}

} // namespace

void ClaimTable::Rebuild(const State& aState)
{
  *this = ClaimTable();
  for (const auto& [key, claim] : aState.m_claims) {
    m_responseBytes += claim.m_response.size();
    if (claim.m_state == ClaimState::Running) {
      m_running.emplace(claim.m_owner.m_identity, key);
    } else {
      m_expiry.emplace(claim.m_expiresAt, key);
    }
  }
}

Result ClaimTable::Apply(const BeginClaim& aCommand,
                         State& aState,
                         const Limits& aLimits)
{
  const ClaimKey& key = aCommand.m_key;
  if (!IsValidName(key.m_caller.Get(), aLimits) ||
      !IsValidName(key.m_key.Get(), aLimits) ||
      !IsValidName(aCommand.m_request.Get(), aLimits) ||
      aCommand.m_retention <= Duration::zero() ||
      aCommand.m_retention > aLimits.m_maxRetention) {
    return Refuse(RefusalKind::InvalidArgument);
  }
  const auto recorded =
    RecordInstance(aCommand.m_owner.m_identity, aState, aLimits);
  if (!recorded) {
    return tl::unexpected(recorded.error());
  }
  EndPreviousIncarnations(aCommand.m_owner.m_identity, aState);
  const auto found = aState.m_claims.find(key);
  if (found != aState.m_claims.end()) {
    const Claim& claim = found->second;
    if (claim.m_request != aCommand.m_request) {
      return Refuse(RefusalKind::KeyReused, 0, claim.m_request.Get());
    }
    const bool sameProposal =
      claim.m_state == ClaimState::Running && claim.m_owner == aCommand.m_owner;
    return ClaimResult{ sameProposal, claim.m_state, claim.m_response };
  }
  if (aState.m_claims.size() >= aLimits.m_claims) {
    return Refuse(RefusalKind::LimitReached, aLimits.m_claims);
  }
  if (m_responseBytes >= aLimits.m_claimTotalBytes) {
    return Refuse(RefusalKind::StoreFull, aLimits.m_claimTotalBytes);
  }
  Claim claim;
  claim.m_owner = aCommand.m_owner;
  claim.m_request = aCommand.m_request;
  claim.m_retention = aCommand.m_retention;
  aState.m_claims.emplace(key, std::move(claim));
  m_running.emplace(aCommand.m_owner.m_identity, key);
  return ClaimResult{ true, ClaimState::Running, {} };
}

void ClaimTable::EndClaim(const ClaimKey& aKey,
                          Claim& aClaim,
                          ClaimState aNewState,
                          LedgerTime aNow)
{
  if (aClaim.m_state == ClaimState::Running) {
    m_running.erase({ aClaim.m_owner.m_identity, aKey });
  } else {
    m_expiry.erase({ aClaim.m_expiresAt, aKey });
  }
  aClaim.m_state = aNewState;
  aClaim.m_expiresAt = After(aNow, aClaim.m_retention);
  m_expiry.emplace(aClaim.m_expiresAt, aKey);
}

Result ClaimTable::Apply(const FinishClaim& aCommand,
                         State& aState,
                         const Limits& aLimits)
{
  const auto owned = FindOwned(aCommand.m_key, aCommand.m_owner, aState);
  if (!owned) {
    return tl::unexpected(owned.error());
  }
  Claim& claim = **owned;
  if (claim.m_state == ClaimState::Finished) {
    if (claim.m_response != aCommand.m_response) {
      return Refuse(RefusalKind::AnswerConflict);
    }
    return Done{};
  }
  if (aCommand.m_response.size() > aLimits.m_claimResponseBytes) {
    return Refuse(RefusalKind::PayloadTooLarge, aLimits.m_claimResponseBytes);
  }
  if (m_responseBytes + aCommand.m_response.size() >
      aLimits.m_claimTotalBytes) {
    return Refuse(RefusalKind::StoreFull, aLimits.m_claimTotalBytes);
  }
  // A claim whose outcome became unknown because its owner was believed dead
  // may still be finished by that owner: its response is the actual outcome.
  EndClaim(aCommand.m_key, claim, ClaimState::Finished, aState.m_now);
  claim.m_response = aCommand.m_response;
  m_responseBytes += claim.m_response.size();
  return Done{};
}

Result ClaimTable::Apply(const MarkClaimUnknown& aCommand,
                         State& aState,
                         const Limits&)
{
  const auto owned = FindOwned(aCommand.m_key, aCommand.m_owner, aState);
  if (!owned) {
    return tl::unexpected(owned.error());
  }
  Claim& claim = **owned;
  if (claim.m_state == ClaimState::Finished) {
    return Refuse(RefusalKind::ClaimNotRunning);
  }
  if (claim.m_state == ClaimState::Running) {
    EndClaim(aCommand.m_key, claim, ClaimState::OutcomeUnknown, aState.m_now);
  }
  return Done{};
}

Result ClaimTable::Apply(const AbandonClaim& aCommand,
                         State& aState,
                         const Limits&)
{
  const auto owned = FindOwned(aCommand.m_key, aCommand.m_owner, aState);
  if (!owned) {
    return tl::unexpected(owned.error());
  }
  if ((*owned)->m_state != ClaimState::Running) {
    return Refuse(RefusalKind::ClaimNotRunning);
  }
  m_running.erase({ aCommand.m_owner.m_identity, aCommand.m_key });
  aState.m_claims.erase(aCommand.m_key);
  return Done{};
}

void ClaimTable::EndPreviousIncarnations(const InstanceIdentity& aIdentity,
                                         State& aState)
{
  auto next = m_running.lower_bound(
    { InstanceIdentity{ aIdentity.m_instance, Incarnation(0) }, ClaimKey() });
  while (next != m_running.end() &&
         next->first.m_instance == aIdentity.m_instance &&
         next->first.m_incarnation < aIdentity.m_incarnation) {
    const ClaimKey key = next->second;
    ++next;
    EndClaim(
      key, aState.m_claims.at(key), ClaimState::OutcomeUnknown, aState.m_now);
  }
}

Result ClaimTable::Apply(const InstanceDied& aCommand,
                         State& aState,
                         const Limits& aLimits)
{
  const InstanceIdentity& identity = aCommand.m_identity;
  if (!IsValidName(identity.m_instance.Get(), aLimits)) {
    return Refuse(RefusalKind::InvalidArgument);
  }
  // Record an unknown instance too; otherwise its delayed first claim would be
  // accepted and never end.
  const auto known = aState.m_instances.find(identity.m_instance);
  InstanceState* instance =
    known == aState.m_instances.end() ? nullptr : &known->second;
  if (instance == nullptr) {
    const auto recorded = RecordInstance(identity, aState, aLimits);
    if (!recorded) {
      return tl::unexpected(recorded.error());
    }
    instance = *recorded;
  }
  instance->m_firstAlive =
    std::max(instance->m_firstAlive, identity.m_incarnation.Next());
  EndPreviousIncarnations(
    InstanceIdentity{ identity.m_instance, identity.m_incarnation.Next() },
    aState);
  return Done{};
}

void ClaimTable::Expire(State& aState)
{
  while (!m_expiry.empty() && m_expiry.begin()->first <= aState.m_now) {
    const auto found = aState.m_claims.find(m_expiry.begin()->second);
    m_responseBytes -= found->second.m_response.size();
    aState.m_claims.erase(found);
    m_expiry.erase(m_expiry.begin());
  }
}

} // namespace auburntrestle::ledger::internal
