#include "auburntrestle/consensus/types.hpp"

#include "auburntrestle/core/overloaded.hpp"

#include <algorithm>

namespace auburntrestle::consensus {

const Member* Configuration::Find(
  const MemberIdentity& aIdentity) const noexcept
{
  const Member* found = FindInstance(aIdentity.m_instance);
  return found != nullptr && found->m_identity == aIdentity ? found : nullptr;
}

const Member* Configuration::FindInstance(
  const InstanceId& aInstance) const noexcept
{
  const auto found = std::find_if(
    m_members.begin(), m_members.end(), [&](const Member& aMember) {
      return aMember.m_identity.m_instance == aInstance;
    });
  return found == m_members.end() ? nullptr : &*found;
}

bool Configuration::IsVoter(const MemberIdentity& aIdentity) const noexcept
{
  const Member* found = Find(aIdentity);
  return found != nullptr && found->m_role == MemberRole::Voter;
}

std::size_t Configuration::VoterCount() const noexcept
{
  return static_cast<std::size_t>(std::count_if(
    m_members.begin(), m_members.end(), [](const Member& aMember) {
      return aMember.m_role == MemberRole::Voter;
    }));
}

std::size_t SizeOf(const Entry& aEntry) noexcept
{
  // Approximates the strings and numbers beside the payload.
  constexpr std::size_t kOverhead = 32;
  return kOverhead +
         std::visit(Overloaded{ [](const NoOp&) -> std::size_t { return 0; },
                                [](const Command& aCommand) {
                                  return aCommand.m_bytes.size();
                                },
                                [](const Configuration& aConfiguration) {
                                  return aConfiguration.m_members.size() *
                                         kOverhead;
                                } },
                    aEntry.m_payload);
}

std::size_t SizeOf(std::span<const Entry> aEntries) noexcept
{
  std::size_t bytes = 0;
  for (const Entry& entry : aEntries) {
    bytes += SizeOf(entry);
  }
  return bytes;
}

} // namespace auburntrestle::consensus
