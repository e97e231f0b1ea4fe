#include "auburntrestle/protocol/membership_codec.hpp"

#include "auburntrestle/protocol/pack.hpp"

namespace auburntrestle::protocol {

template<>
inline constexpr membership::MemberState kLastValue<membership::MemberState> =
  membership::MemberState::Left;

void Fields(auto& aArchive, MaybeConst<membership::ModelCapacity> auto& aValue)
{
  aArchive(aValue.m_model, aValue.m_freeSlots);
}

void Fields(auto& aArchive, MaybeConst<membership::Advertisement> auto& aValue)
{
  aArchive(aValue.m_httpAddress,
           aValue.m_peerAddress,
           aValue.m_version,
           aValue.m_revision,
           aValue.m_draining,
           aValue.m_capacity);
}

void Fields(auto& aArchive, MaybeConst<membership::MemberUpdate> auto& aValue)
{
  aArchive(
    aValue.m_id, aValue.m_incarnation, aValue.m_state, aValue.m_advertisement);
}

void Fields(auto& aArchive, MaybeConst<membership::Representative> auto& aValue)
{
  aArchive(aValue.m_id, aValue.m_httpAddress, aValue.m_peerAddress);
}

void Fields(auto& aArchive, MaybeConst<membership::Summary> auto& aValue)
{
  aArchive(aValue.m_dataCentre,
           aValue.m_version,
           aValue.m_tieBreak,
           aValue.m_liveInstances,
           aValue.m_drainingInstances,
           aValue.m_newestRevision,
           aValue.m_oldestRevision,
           aValue.m_capacity,
           aValue.m_representatives);
}

void Fields(auto& aArchive, MaybeConst<membership::SummaryVersion> auto& aValue)
{
  aArchive(aValue.m_dataCentre, aValue.m_version, aValue.m_tieBreak);
}

void Fields(auto& aArchive, MaybeConst<membership::MemberVersion> auto& aValue)
{
  aArchive(aValue.m_id, aValue.m_incarnation, aValue.m_state, aValue.m_version);
}

void Fields(auto& aArchive, MaybeConst<membership::Ping> auto& aValue)
{
  aArchive(aValue.m_sequence, aValue.m_updates);
}

void Fields(auto& aArchive, MaybeConst<membership::PingRequest> auto& aValue)
{
  aArchive(aValue.m_sequence,
           aValue.m_target,
           aValue.m_targetAddress,
           aValue.m_updates);
}

void Fields(auto& aArchive, MaybeConst<membership::Ack> auto& aValue)
{
  aArchive(aValue.m_sequence, aValue.m_updates);
}

void Fields(auto& aArchive, MaybeConst<membership::Join> auto& aValue)
{
  aArchive(aValue.m_sequence, aValue.m_dataCentre, aValue.m_self);
}

void Fields(auto& aArchive, MaybeConst<membership::SyncRequest> auto& aValue)
{
  aArchive(aValue.m_sequence, aValue.m_after, aValue.m_through, aValue.m_known);
}

void Fields(auto& aArchive, MaybeConst<membership::Members> auto& aValue)
{
  aArchive(aValue.m_sequence, aValue.m_updates);
}

void Fields(auto& aArchive, MaybeConst<membership::SummaryRequest> auto& aValue)
{
  aArchive(aValue.m_sequence, aValue.m_own, aValue.m_known);
}

void Fields(auto& aArchive, MaybeConst<membership::Summaries> auto& aValue)
{
  aArchive(aValue.m_sequence, aValue.m_summaries);
}

std::string EncodeMembership(const membership::Message& aMessage)
{
  return Pack(aMessage);
}

Expected<membership::Message> DecodeMembership(std::string_view aBytes)
{
  return Unpack<membership::Message>(aBytes);
}

} // namespace auburntrestle::protocol
