#include "auburntrestle/consensus/events.hpp"

namespace auburntrestle::consensus {

std::string_view ToString(RejectionReason aReason) noexcept
{
  switch (aReason) {
    case RejectionReason::NotLeader:
      return "not_leader";
    case RejectionReason::MembershipChangeInProgress:
      return "membership_change_in_progress";
    case RejectionReason::InvalidChange:
      return "invalid_change";
    case RejectionReason::LearnerBehind:
      return "learner_behind";
    case RejectionReason::Overloaded:
      return "overloaded";
    case RejectionReason::TooLarge:
      return "too_large";
    case RejectionReason::TransferringLeadership:
      return "transferring_leadership";
    case RejectionReason::Stopped:
      return "stopped";
    case RejectionReason::NotJoining:
      return "not_joining";
    case RejectionReason::LeadershipLost:
      return "leadership_lost";
  }
  return "unknown";
}

} // namespace auburntrestle::consensus
