#include "auburntrestle/fleet/membership_plan.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace auburntrestle::fleet {

namespace {

using consensus::Member;
using consensus::MemberRole;

/** A member in contact within this time counts as reachable; one that did not
 * reply for longer may have lost its disk. */
constexpr Duration kContactTimeout = std::chrono::seconds(1);

/** Queries on the input of the plan. */
class MembershipView
{
public:
  MembershipView(const MembershipPolicy& aPolicy,
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

  [[nodiscard]] bool IsSilent(const Member& aMember, Duration aTimeout) const
  {
    if (IsSelf(aMember)) {
      return false;
    }
    const auto* progress = ProgressOf(aMember);
    return progress == nullptr || progress->m_lastContact + aTimeout < m_now;
  }

  /** @return whether a member is lost: silent for too long, or replaced by an
   * instance at another address of its machine, which ends its
   * announcement. */
  [[nodiscard]] bool IsLost(const Member& aMember, Duration aTimeout) const
  {
    const bool announced =
      m_state.Members().contains(aMember.m_identity.m_instance);
    return IsSilent(aMember, announced ? aTimeout : kContactTimeout);
  }

  [[nodiscard]] bool IsRetiring(const Member& aMember) const
  {
    return m_state.IsRetiring(aMember.m_identity.m_instance);
  }

  /** @return whether a learner is at most kMaxLag entries behind the log. */
  [[nodiscard]] bool IsCaughtUp(const Member& aMember) const
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

  /** @return whether a member replied recently, and to this leader: a member
   * that is gone does not count as silent in the first time of a leader. */
  [[nodiscard]] bool IsInContact(const Member& aMember) const
  {
    if (IsSelf(aMember)) {
      return true;
    }
    const auto* progress = ProgressOf(aMember);
    return progress != nullptr && progress->m_match > LogIndex(0) &&
           !IsSilent(aMember, kContactTimeout);
  }

  /** @return whether the voters in contact other than aLeaving form a majority
   * of all voters. */
  [[nodiscard]] bool HasMajorityWithout(const Member& aLeaving) const
  {
    std::size_t voters = 0;
    std::size_t reachable = 0;
    for (const Member& member : m_status.m_configuration.m_members) {
      if (member.m_role == MemberRole::Voter) {
        ++voters;
        const bool isReachable = member != aLeaving && IsInContact(member);
        reachable += isReachable ? 1 : 0;
      }
    }
    return reachable * 2 > voters;
  }

  /** @return whether enough voters are there without a voter that is lost or
   * retiring. Its disk may hold entries that the others lose, and fewer voters
   * tolerate fewer losses. */
  [[nodiscard]] bool IsReplaced(const Member& aVoter) const
  {
    const auto& members = m_status.m_configuration.m_members;
    const auto remaining =
      std::count_if(members.begin(), members.end(), [&](const Member& aMember) {
        const bool isInUse =
          aMember.m_role == MemberRole::Voter && IsInUse(aMember);
        // A retirement can wait until the others have replied.
        return isInUse && (!IsRetiring(aVoter) || IsInContact(aMember));
      });
    return static_cast<std::size_t>(remaining) >= m_policy.m_targetVoters;
  }

  /** @return whether a member is neither retiring nor lost, by the timeout for
   * voters. */
  [[nodiscard]] bool IsInUse(const Member& aMember) const
  {
    return !IsRetiring(aMember) &&
           !IsLost(aMember, m_policy.m_voterLossTimeout);
  }

  /** @return the number of members of a role that are in use. */
  [[nodiscard]] std::size_t CountInUse(MemberRole aRole) const
  {
    const auto& members = m_status.m_configuration.m_members;
    return static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(), [&](const Member& aMember) {
        return aMember.m_role == aRole && IsInUse(aMember);
      }));
  }

  /** @return the joining instance in the data centre with the fewest members,
   * or null if none may be added. */
  [[nodiscard]] const consensus::MemberIdentity* ChooseMemberToAdd(
    const std::vector<consensus::MemberIdentity>& aJoining) const
  {
    const std::size_t voters = CountInUse(MemberRole::Voter);
    const std::size_t missing =
      m_policy.m_targetVoters - std::min(m_policy.m_targetVoters, voters);
    if (CountInUse(MemberRole::Learner) >=
        m_policy.m_targetLearners + missing) {
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

  /** @return the learner to promote: reachable, caught up and in the data
   * centre with the fewest voters. Null if there is none. */
  [[nodiscard]] const Member* ChooseLearnerToPromote() const
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
          !IsInContact(member) || !IsCaughtUp(member)) {
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
  const MembershipView view(aPolicy, aStatus, aState, aNow);
  const auto& members = aStatus.m_configuration.m_members;
  if (const auto* joining = view.ChooseMemberToAdd(aJoining)) {
    return consensus::AddLearner{ *joining };
  }
  const std::size_t voters = view.CountInUse(MemberRole::Voter);
  if (voters < aPolicy.m_targetVoters) {
    if (const Member* learner = view.ChooseLearnerToPromote()) {
      return consensus::PromoteLearner{ learner->m_identity.m_instance };
    }
  }
  for (const Member& member : members) {
    const bool voter = member.m_role == MemberRole::Voter;
    const bool lost = view.IsLost(member,
                                  voter ? aPolicy.m_voterLossTimeout
                                        : aPolicy.m_learnerLossTimeout);
    const bool retiring = view.IsRetiring(member);
    if (view.IsSelf(member) || (!lost && !retiring)) {
      continue;
    }
    if (!voter ||
        (view.IsReplaced(member) && view.HasMajorityWithout(member))) {
      return consensus::RemoveMember{ member.m_identity.m_instance };
    }
  }
  return std::nullopt;
}

Retirement RetirementOf(const std::string& aMachine,
                        const consensus::NodeStatus& aStatus,
                        const State& aState)
{
  if (!aState.IsRetiringMachine(aMachine)) {
    return Retirement::Unknown;
  }
  const auto instances = aState.InstancesOf(aMachine);
  const bool isMember = std::any_of(
    instances.begin(), instances.end(), [&](const InstanceId& aInstance) {
      return aStatus.m_configuration.FindInstance(aInstance) != nullptr;
    });
  return isMember || !aStatus.m_isConfigurationCommitted
           ? Retirement::Running
           : Retirement::Completed;
}

std::vector<InstanceId> InstancesToNotify(const consensus::NodeStatus& aStatus,
                                          const State& aState,
                                          TimePoint aNow)
{
  std::set<InstanceId> inContact{ aStatus.m_identity.m_instance };
  for (const auto& progress : aStatus.m_progress) {
    if (progress.m_lastContact + kContactTimeout >= aNow) {
      inContact.insert(progress.m_identity.m_instance);
    }
  }
  std::vector<InstanceId> instances;
  for (const auto& [instance, record] : aState.Members()) {
    const bool isMember =
      aStatus.m_configuration.FindInstance(instance) != nullptr;
    if (!isMember || !inContact.contains(instance)) {
      instances.push_back(instance);
    }
  }
  return instances;
}

} // namespace auburntrestle::fleet
