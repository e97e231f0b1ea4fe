#include "auburntrestle/daemon/instance_choice.hpp"

namespace auburntrestle::daemon {

namespace internal {

std::vector<std::size_t> Candidates(std::span<const InstanceOffer> aOffers,
                                    bool aSameDataCentre,
                                    bool aFreeOnly)
{
  std::vector<std::size_t> found;
  for (std::size_t index = 0; index < aOffers.size(); ++index) {
    const auto& offer = aOffers[index];
    if (offer.m_sameDataCentre == aSameDataCentre &&
        (!aFreeOnly || offer.m_freeSlots > 0)) {
      found.push_back(index);
    }
  }
  return found;
}

std::size_t BetterOfTwo(std::span<const InstanceOffer> aOffers,
                        const std::vector<std::size_t>& aCandidates,
                        RandomSource& aRandom)
{
  const auto first = aCandidates[aRandom.Below(aCandidates.size())];
  const auto second = aCandidates[aRandom.Below(aCandidates.size())];
  return aOffers[second].m_freeSlots > aOffers[first].m_freeSlots ? second
                                                                  : first;
}

} // namespace internal

std::optional<std::size_t> ChooseInstance(const ChoiceInput& aInput,
                                          RandomSource& aRandom)
{
  if (aInput.m_servesLocally &&
      aInput.m_localFreeSlots > aInput.m_localWaiting) {
    return std::nullopt;
  }
  for (const bool same : { true, false }) {
    const auto free = internal::Candidates(aInput.m_others, same, true);
    if (!free.empty()) {
      return internal::BetterOfTwo(aInput.m_others, free, aRandom);
    }
  }
  if (aInput.m_servesLocally) {
    return std::nullopt;
  }
  for (const bool same : { true, false }) {
    const auto any = internal::Candidates(aInput.m_others, same, false);
    if (!any.empty()) {
      return any[aRandom.Below(any.size())];
    }
  }
  return std::nullopt;
}

} // namespace auburntrestle::daemon
