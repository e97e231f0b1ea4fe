#include "auburntrestle/fleet/membership_plan.hpp"

#include <algorithm>
#include <map>

namespace auburntrestle::fleet {

namespace {

using consensus::Member;
using consensus::MemberRole;

/** What the plan looks at, gathered once. */
class View
{
public:
  View(const MembershipPolicy& aPolicy,
       const consensus::NodeStatus& aStatus,
       const State& aState,
       TimePoint aNow)
    : m_policy(aPolicy)
    , m_status(aStatus)
    , m_state(aState)
    , m_now(aNow)
  {
  }

  [[nodiscard]] bool IsSelf(const Member& aMember) const
  {
    return aMember.m_identity == m_status.m_identity;
  }

  [[nodiscard]] const consensus::MemberProgress* ProgressOf(
    const Member& aMember) const
  {
    for (const auto& progress : m_status.m_progress) {
      if (progress.m_identity == aMember.m_identity) {
        return &progress;
      }
    }
    return nullptr;
  }

  [[nodiscard]] bool IsSilent(const Member& aMember, Duration aTime) const
  {
    if (IsSelf(aMember)) {
      return false;
    }
    const auto* progress = ProgressOf(aMember);
    return progress == nullptr || progress->m_lastContact + aTime < m_now;
  }

  [[nodiscard]] bool IsRetiring(const Member& aMember) const
  {
    return m_state.IsRetiring(aMember.m_identity.m_instance);
  }

  /** @return whether a learner holds nearly all of the log. */
  [[nodiscard]] bool IsReady(const Member& aMember) const
  {
    constexpr std::uint64_t kMaxLag = 16;
    const auto* progress = ProgressOf(aMember);
    return progress != nullptr &&
           progress->m_match.Get() + kMaxLag >= m_status.m_last.m_index.Get();
  }

  [[nodiscard]] DataCentreId DataCentreOf(const InstanceId& aInstance) const
  {
    const auto found = m_state.Members().find(aInstance);
    return found == m_state.Members().end() ? DataCentreId()
                                            : found->second.m_dataCentre;
  }

  /** @return whether the voters other than one include a majority of all that
   * is in contact. */
  [[nodiscard]] bool MajorityWithout(const Member& aLeaving) const
  {
    std::size_t voters = 0;
    std::size_t live = 0;
    for (const Member& member : m_status.m_configuration.m_members) {
      if (member.m_role == MemberRole::Voter) {
        ++voters;
        const bool counts =
          member != aLeaving && !IsSilent(member, kContactTime);
        live += counts ? 1 : 0;
      }
    }
    return live * 2 > voters;
  }

  /** @return whether a member stays and was heard of lately. */
  [[nodiscard]] bool IsInUse(const Member& aMember) const
  {
    return !IsRetiring(aMember) && !IsSilent(aMember, m_policy.m_voterLossTime);
  }

  /** @return the number of members of a role that are in use. */
  [[nodiscard]] std::size_t InUse(MemberRole aRole) const
  {
    const auto& members = m_status.m_configuration.m_members;
    return static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(), [&](const Member& aMember) {
        return aMember.m_role == aRole && IsInUse(aMember);
      }));
  }

  /** @return the instance to take in next, in the data centre with the fewest
   * members, or null if none asks or none is wanted. */
  [[nodiscard]] const consensus::MemberIdentity* BestJoining(
    const std::vector<consensus::MemberIdentity>& aJoining) const
  {
    const std::size_t voters = InUse(MemberRole::Voter);
    const std::size_t missing =
      m_policy.m_voters - std::min(m_policy.m_voters, voters);
    if (InUse(MemberRole::Learner) >= m_policy.m_learners + missing) {
      return nullptr;
    }
    std::map<DataCentreId, std::size_t> members;
    for (const Member& member : m_status.m_configuration.m_members) {
      members[DataCentreOf(member.m_identity.m_instance)] +=
        IsInUse(member) ? 1 : 0;
    }
    const consensus::MemberIdentity* best = nullptr;
    for (const auto& joining : aJoining) {
      const auto& instance = joining.m_instance;
      if (m_status.m_configuration.FindInstance(instance) != nullptr ||
          m_state.IsRetiring(instance)) {
        continue;
      }
      if (best == nullptr || members[DataCentreOf(instance)] <
                               members[DataCentreOf(best->m_instance)]) {
        best = &joining;
      }
    }
    return best;
  }

  /** @return the ready learner in the data centre with the fewest voters. */
  [[nodiscard]] const Member* BestLearner() const
  {
    std::map<DataCentreId, std::size_t> voters;
    for (const Member& member : m_status.m_configuration.m_members) {
      if (member.m_role == MemberRole::Voter && IsInUse(member)) {
        ++voters[DataCentreOf(member.m_identity.m_instance)];
      }
    }
    const Member* best = nullptr;
    for (const Member& member : m_status.m_configuration.m_members) {
      if (member.m_role != MemberRole::Learner || IsRetiring(member) ||
          IsSilent(member, kContactTime) || !IsReady(member)) {
        continue;
      }
      if (best == nullptr ||
          voters[DataCentreOf(member.m_identity.m_instance)] <
            voters[DataCentreOf(best->m_identity.m_instance)]) {
        best = &member;
      }
    }
    return best;
  }

private:
  /** A member heard of within this time counts as live. */
  static constexpr Duration kContactTime = std::chrono::seconds(1);

  const MembershipPolicy& m_policy;
  const consensus::NodeStatus& m_status;
  const State& m_state;
  TimePoint m_now;
};

} // namespace

std::optional<consensus::MembershipChange> PlanMembership(
  const MembershipPolicy& aPolicy,
  const consensus::NodeStatus& aStatus,
  const State& aState,
  const std::vector<consensus::MemberIdentity>& aJoining,
  TimePoint aNow)
{
  const View view(aPolicy, aStatus, aState, aNow);
  const auto& members = aStatus.m_configuration.m_members;
  if (const auto* joining = view.BestJoining(aJoining)) {
    return consensus::AddLearner{ *joining };
  }
  const std::size_t voters = view.InUse(MemberRole::Voter);
  if (voters < aPolicy.m_voters) {
    if (const Member* learner = view.BestLearner()) {
      return consensus::PromoteLearner{ learner->m_identity.m_instance };
    }
  }
  for (const Member& member : members) {
    const bool voter = member.m_role == MemberRole::Voter;
    const bool lost = view.IsSilent(
      member, voter ? aPolicy.m_voterLossTime : aPolicy.m_learnerLossTime);
    const bool leaves = view.IsRetiring(member);
    if (view.IsSelf(member) || (!lost && !leaves)) {
      continue;
    }
    // A lost voter stays until another one has taken its place, because its
    // disk may hold what others lose.
    if (voter && lost && !leaves && voters < aPolicy.m_voters) {
      continue;
    }
    if (!voter || view.MajorityWithout(member)) {
      return consensus::RemoveMember{ member.m_identity.m_instance };
    }
  }
  return std::nullopt;
}

} // namespace auburntrestle::fleet
