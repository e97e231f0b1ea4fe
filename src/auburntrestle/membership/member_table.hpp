#ifndef AUBURNTRESTLE_MEMBERSHIP_MEMBER_TABLE_HPP
#define AUBURNTRESTLE_MEMBERSHIP_MEMBER_TABLE_HPP

#include "auburntrestle/core/time.hpp"
#include "auburntrestle/membership/types.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace auburntrestle::membership {

/** Local record of an instance of the same data centre. */
struct Member
{
  InstanceId m_id;
  Incarnation m_incarnation;
  MemberState m_state = MemberState::Alive;
  Advertisement m_advertisement;
  /** Start of the state, by the local clock. */
  TimePoint m_stateSince;
};

/** Which part of a record an update changed. */
enum class MergeResult : std::uint8_t
{
  Nothing,
  Advertisement,
  State,
};

/**
 * The members of one data centre. Merging is independent of the order of the
 * updates: the higher incarnation wins, then the later state, then the higher
 * advertisement version.
 */
class MemberTable
{
public:
  /** Merges an update; ignored for an unknown member if it has no
   * advertisement. */
  MergeResult Merge(const MemberUpdate& aUpdate, TimePoint aNow);

  /** @return the member, or nullptr. */
  [[nodiscard]] const Member* Find(const InstanceId& aId) const;

  /** Restarts the suspicion timeout of every suspect. */
  void RestartSuspicions(TimePoint aNow);

  /** Removes members that died or left before a time. */
  void RemoveDeadBefore(TimePoint aTime);

  /** @return the members by id. */
  [[nodiscard]] const std::map<InstanceId, Member>& All() const noexcept
  {
    return m_members;
  }

  /** @return an update with the local record of a member. */
  [[nodiscard]] static MemberUpdate Describe(const Member& aMember);

private:
  std::map<InstanceId, Member> m_members;
};

} // namespace auburntrestle::membership

#endif
