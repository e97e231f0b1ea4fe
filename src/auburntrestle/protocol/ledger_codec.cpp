#include "auburntrestle/protocol/ledger_codec.hpp"

#include "auburntrestle/protocol/pack.hpp"

#include <variant>

namespace auburntrestle::protocol {

template<>
inline constexpr ledger::RefusalKind kLastValue<ledger::RefusalKind> =
  ledger::RefusalKind::BatchDiscarded;
template<>
inline constexpr ledger::ClaimState kLastValue<ledger::ClaimState> =
  ledger::ClaimState::OutcomeUnknown;

void Fields(auto& aArchive, MaybeConst<ledger::Refusal> auto& aValue)
{
  aArchive(aValue.m_kind, aValue.m_current, aValue.m_detail);
}

void Fields(auto& aArchive, MaybeConst<ledger::Done> auto&)
{
  aArchive();
}

void Fields(auto& aArchive,
            MaybeConst<ledger::ConfigurationAccepted> auto& aValue)
{
  aArchive(aValue.m_revision, aValue.m_number, aValue.m_digest);
}

void Fields(auto& aArchive, MaybeConst<ledger::LeaseGranted> auto& aValue)
{
  aArchive(aValue.m_fencing, aValue.m_duration, aValue.m_previousDuration);
}

void Fields(auto& aArchive, MaybeConst<ledger::ClaimResult> auto& aValue)
{
  aArchive(aValue.m_begun, aValue.m_state, aValue.m_response);
}

void Fields(auto& aArchive, MaybeConst<ledger::StepOpened> auto& aValue)
{
  aArchive(aValue.m_step, aValue.m_openedAt);
}

void Fields(auto& aArchive, MaybeConst<ledger::VersionPublished> auto& aValue)
{
  aArchive(aValue.m_newest);
}

void Fields(auto& aArchive, MaybeConst<ledger::BatchFixed> auto& aValue)
{
  aArchive(aValue.m_cursor, aValue.m_fixedAt);
}

void Fields(auto& aArchive, MaybeConst<ledger::AcceptedFile> auto& aValue)
{
  aArchive(aValue.m_number, aValue.m_digest, aValue.m_text);
}

void Fields(auto& aArchive,
            MaybeConst<ledger::AcceptedConfiguration> auto& aValue)
{
  aArchive(aValue.m_revision, aValue.m_site, aValue.m_base, aValue.m_overlay);
}

namespace {

/** Wire form of ledger::Result; tl::expected has no encoding of its own. */
using WireResult = std::variant<ledger::ResultValue, ledger::Refusal>;

} // namespace

std::string EncodeResult(const ledger::Result& aResult)
{
  return aResult ? Pack(WireResult(*aResult))
                 : Pack(WireResult(aResult.error()));
}

Expected<ledger::Result> DecodeResult(std::string_view aBytes)
{
  auto wire = Unpack<WireResult>(aBytes);
  if (!wire) {
    return tl::unexpected(std::move(wire).error());
  }
  if (auto* value = std::get_if<ledger::ResultValue>(&*wire)) {
    return ledger::Result(std::move(*value));
  }
  return ledger::Result(
    tl::make_unexpected(std::get<ledger::Refusal>(std::move(*wire))));
}

std::string EncodeConfiguration(
  const ledger::AcceptedConfiguration& aConfiguration)
{
  return Pack(aConfiguration);
}

Expected<ledger::AcceptedConfiguration> DecodeConfiguration(
  std::string_view aBytes)
{
  return Unpack<ledger::AcceptedConfiguration>(aBytes);
}

} // namespace auburntrestle::protocol
