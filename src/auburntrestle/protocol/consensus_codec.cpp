#include "auburntrestle/protocol/consensus_codec.hpp"

#include "auburntrestle/protocol/pack.hpp"

namespace auburntrestle::protocol {

template<>
inline constexpr consensus::MemberRole kLastValue<consensus::MemberRole> =
  consensus::MemberRole::Voter;

void Fields(auto& aArchive, MaybeConst<consensus::MemberIdentity> auto& aValue)
{
  aArchive(aValue.m_instance, aValue.m_incarnation);
}

void Fields(auto& aArchive, MaybeConst<consensus::Member> auto& aValue)
{
  aArchive(aValue.m_identity, aValue.m_role);
}

void Fields(auto& aArchive, MaybeConst<consensus::Configuration> auto& aValue)
{
  aArchive(aValue.m_members);
}

void Fields(auto& aArchive, MaybeConst<consensus::NoOp> auto&)
{
  aArchive();
}

void Fields(Writer& aWriter, const SharedBytes& aValue)
{
  aWriter.WriteString(aValue.Get());
}

void Fields(Reader& aReader, SharedBytes& aValue)
{
  aValue = aReader.ReadString();
}

void Fields(auto& aArchive, MaybeConst<consensus::Command> auto& aValue)
{
  aArchive(aValue.m_bytes);
}

void Fields(auto& aArchive, MaybeConst<consensus::Entry> auto& aValue)
{
  aArchive(aValue.m_index, aValue.m_term, aValue.m_payload);
}

void Fields(auto& aArchive, MaybeConst<consensus::LogPosition> auto& aValue)
{
  aArchive(aValue.m_term, aValue.m_index);
}

void Fields(auto& aArchive, MaybeConst<consensus::Snapshot> auto& aValue)
{
  aArchive(aValue.m_position, aValue.m_configuration, aValue.m_state);
}

void Fields(auto& aArchive, MaybeConst<consensus::Session> auto& aValue)
{
  aArchive(aValue.m_boot,
           aValue.m_nonce,
           aValue.m_recoveredTerm,
           aValue.m_recoveredLast);
}

void Fields(auto& aArchive,
            MaybeConst<consensus::AcknowledgedState> auto& aValue)
{
  aArchive(aValue.m_member,
           aValue.m_boot,
           aValue.m_nonce,
           aValue.m_term,
           aValue.m_last);
}

void Fields(auto& aArchive, MaybeConst<consensus::VoteRequest> auto& aValue)
{
  aArchive(aValue.m_preVote,
           aValue.m_electionTerm,
           aValue.m_last,
           aValue.m_leadershipTransfer);
}

void Fields(auto& aArchive, MaybeConst<consensus::VoteResponse> auto& aValue)
{
  aArchive(aValue.m_preVote, aValue.m_electionTerm, aValue.m_granted);
}

void Fields(auto& aArchive, MaybeConst<consensus::AppendRequest> auto& aValue)
{
  aArchive(aValue.m_previous, aValue.m_entries, aValue.m_commit);
}

void Fields(auto& aArchive, MaybeConst<consensus::AppendResponse> auto& aValue)
{
  aArchive(aValue.m_accepted,
           aValue.m_match,
           aValue.m_refusedIndex,
           aValue.m_hint,
           aValue.m_hintTerm,
           aValue.m_needsSnapshot);
}

void Fields(auto& aArchive, MaybeConst<consensus::Heartbeat> auto& aValue)
{
  aArchive(aValue.m_commit, aValue.m_round, aValue.m_acknowledged);
}

void Fields(auto& aArchive,
            MaybeConst<consensus::HeartbeatResponse> auto& aValue)
{
  aArchive(aValue.m_round);
}

void Fields(auto& aArchive, MaybeConst<consensus::SnapshotRequest> auto& aValue)
{
  aArchive(aValue.m_snapshot);
}

void Fields(auto& aArchive, MaybeConst<consensus::JoinRequest> auto&)
{
  aArchive();
}

void Fields(auto& aArchive, MaybeConst<consensus::DiskLossNotice> auto& aValue)
{
  aArchive(aValue.m_acknowledged);
}

void Fields(auto& aArchive, MaybeConst<consensus::VerifyRequest> auto&)
{
  aArchive();
}

void Fields(auto& aArchive, MaybeConst<consensus::VerifyResponse> auto& aValue)
{
  aArchive(aValue.m_nonce, aValue.m_last);
}

void Fields(auto& aArchive, MaybeConst<consensus::TimeoutNow> auto&)
{
  aArchive();
}

void Fields(auto& aArchive, MaybeConst<consensus::Message> auto& aValue)
{
  aArchive(
    aValue.m_from, aValue.m_to, aValue.m_term, aValue.m_session, aValue.m_body);
}

std::string EncodeConsensus(const consensus::Message& aMessage)
{
  constexpr std::size_t kFieldBytes = 512;
  Writer writer;
  if (const auto* append =
        std::get_if<consensus::AppendRequest>(&aMessage.m_body)) {
    writer.Reserve(kFieldBytes + consensus::SizeOf(append->m_entries));
  }
  writer.Write(aMessage);
  return writer.ExtractBytes();
}

Expected<consensus::Message> DecodeConsensus(std::string_view aBytes)
{
  return Unpack<consensus::Message>(aBytes);
}

} // namespace auburntrestle::protocol
