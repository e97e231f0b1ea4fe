#ifndef AUBURNTRESTLE_MEMBERSHIP_INTERNAL_EVENT_CONTEXT_HPP
#define AUBURNTRESTLE_MEMBERSHIP_INTERNAL_EVENT_CONTEXT_HPP

#include "auburntrestle/membership/membership.hpp"

#include <utility>

namespace auburntrestle::membership {

/** Time of the event being handled, and the list of its actions. */
struct Membership::EventContext
{
  TimePoint m_now;
  std::vector<Action>& m_actions;

  void Send(std::string aAddress,
            std::optional<InstanceId> aTo,
            Message aMessage)
  {
    m_actions.emplace_back(
      SendMessage{ std::move(aAddress), std::move(aTo), std::move(aMessage) });
  }
};

template<typename Element>
void Membership::Shuffle(std::vector<Element>& aElements)
{
  for (std::size_t left = aElements.size(); left > 1; --left) {
    std::swap(aElements[left - 1], aElements[m_random.Below(left)]);
  }
}

} // namespace auburntrestle::membership

#endif
