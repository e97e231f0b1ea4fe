#ifndef AUBURNTRESTLE_CONSENSUS_TYPES_HPP
#define AUBURNTRESTLE_CONSENSUS_TYPES_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/shared_bytes.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace auburntrestle::consensus {

/** Identifies a proposal or membership change of the local caller. */
using ProposalId = StrongType<struct ProposalIdTag, std::uint64_t>;
/** Identifies a linearizable read of the local caller. */
using ReadId = StrongType<struct ReadIdTag, std::uint64_t>;
/** The number of starts of a member on the same disk. */
using BootCount = StrongType<struct BootCountTag, std::uint64_t>;

/** The incarnation of every initial member. */
inline constexpr Incarnation kInitialIncarnation{ 1 };
/** As the receiver of a message: any incarnation of the instance. */
inline constexpr Incarnation kAnyIncarnation{ 0 };

/**
 * Identifies a member of the replicated log: an instance and its disk. A member
 * that lost its disk rejoins with a higher incarnation, so that votes and
 * acknowledgements of the lost disk are never counted for the new one.
 */
struct MemberIdentity
{
  InstanceId m_instance;
  Incarnation m_incarnation;

  // clang-tidy mistakes the 0 in rewritten comparisons for a null pointer.
  // NOLINTBEGIN(modernize-use-nullptr)
  friend auto operator<=>(const MemberIdentity&,
                          const MemberIdentity&) = default;
  // NOLINTEND(modernize-use-nullptr)
  friend bool operator==(const MemberIdentity&,
                         const MemberIdentity&) = default;
};

/** Whether a member counts towards a quorum. */
enum class MemberRole : std::uint8_t
{
  /** Receives the log; does not vote or count towards a quorum. */
  Learner,
  /** Votes and counts towards a quorum. */
  Voter,
};

/** One member of a configuration. */
struct Member
{
  MemberIdentity m_identity;
  MemberRole m_role = MemberRole::Learner;

  friend bool operator==(const Member&, const Member&) = default;
};

/** The members of the replicated log; at most one for each instance. */
struct Configuration
{
  std::vector<Member> m_members;

  /** @return the member with this identity, or null. */
  [[nodiscard]] const Member* Find(
    const MemberIdentity& aIdentity) const noexcept;
  /** @return the member of this instance, or null. */
  [[nodiscard]] const Member* FindInstance(
    const InstanceId& aInstance) const noexcept;
  /** @return whether this identity is a voter. */
  [[nodiscard]] bool IsVoter(const MemberIdentity& aIdentity) const noexcept;
  /** @return the number of voters. */
  [[nodiscard]] std::size_t VoterCount() const noexcept;

  friend bool operator==(const Configuration&, const Configuration&) = default;
};

/** The empty entry that a leader appends at the start of its term. */
struct NoOp
{
  friend bool operator==(const NoOp&, const NoOp&) = default;
};

/** A command for the state machine; the log does not interpret its bytes. */
struct Command
{
  SharedBytes m_bytes;

  friend bool operator==(const Command&, const Command&) = default;
};

/** The content of an entry. A Configuration takes effect once appended. */
using EntryPayload = std::variant<NoOp, Command, Configuration>;

/** One entry of the log. */
struct Entry
{
  LogIndex m_index;
  Term m_term;
  EntryPayload m_payload;

  friend bool operator==(const Entry&, const Entry&) = default;
};

/** @return the approximate size of an entry in memory and in a message. */
[[nodiscard]] std::size_t SizeOf(const Entry& aEntry) noexcept;
/** @return the sum of the sizes of entries. */
[[nodiscard]] std::size_t SizeOf(std::span<const Entry> aEntries) noexcept;

/**
 * The position of an entry. Positions are ordered by term and then by index,
 * which is the order in which logs are compared in an election.
 */
struct LogPosition
{
  Term m_term;
  LogIndex m_index;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const LogPosition&, const LogPosition&) = default;
  friend bool operator==(const LogPosition&, const LogPosition&) = default;
};

/** The state of the state machine after the entry at `m_position`. */
struct Snapshot
{
  LogPosition m_position;
  /** The configuration in effect at `m_position`. */
  Configuration m_configuration;
  /** The state as encoded by the state machine. */
  std::string m_state;

  friend bool operator==(const Snapshot&, const Snapshot&) = default;
};

/**
 * The state that a member persists before it replies to a message that depends
 * on it.
 */
struct HardState
{
  Term m_term;
  std::optional<MemberIdentity> m_vote;
  /** The incarnation of the member that owns this disk. */
  Incarnation m_incarnation;
  /** Incremented at each start. */
  BootCount m_boot;

  friend bool operator==(const HardState&, const HardState&) = default;
};

} // namespace auburntrestle::consensus

#endif
