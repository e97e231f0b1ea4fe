#ifndef AUBURNTRESTLE_MEMBERSHIP_MESSAGES_HPP
#define AUBURNTRESTLE_MEMBERSHIP_MESSAGES_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/membership/types.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace auburntrestle::membership {

/** Requests an Ack from the receiver. */
struct Ping
{
  std::uint64_t m_sequence = 0;
  std::vector<MemberUpdate> m_updates;
};

/** Requests that the receiver pings the target and forwards its Ack. */
struct PingRequest
{
  std::uint64_t m_sequence = 0;
  InstanceId m_target;
  std::string m_targetAddress;
  std::vector<MemberUpdate> m_updates;
};

/** Reply to a Ping or PingRequest. */
struct Ack
{
  std::uint64_t m_sequence = 0;
  std::vector<MemberUpdate> m_updates;
};

/**
 * Sent to an address whose instance id is unknown, at start or to find lost
 * members. Every instance replies with Summaries; an instance of the same data
 * centre also replies with Members.
 */
struct Join
{
  std::uint64_t m_sequence = 0;
  DataCentreId m_dataCentre;
  MemberUpdate m_self;
};

/**
 * Anti-entropy request for the records that are newer than the sender's. It
 * covers the ids in (after, through], without upper end if `through` is empty.
 */
struct SyncRequest
{
  std::uint64_t m_sequence = 0;
  InstanceId m_after;
  InstanceId m_through;
  std::vector<MemberVersion> m_known;
};

/** Reply to a Join or SyncRequest; also announces that the sender leaves. */
struct Members
{
  std::uint64_t m_sequence = 0;
  std::vector<MemberUpdate> m_updates;
};

/** Requests newer summaries; may include that of the sender's data centre. */
struct SummaryRequest
{
  std::uint64_t m_sequence = 0;
  std::vector<Summary> m_own;
  std::vector<SummaryVersion> m_known;
};

/** Reply to a SummaryRequest or Join. */
struct Summaries
{
  std::uint64_t m_sequence = 0;
  std::vector<Summary> m_summaries;
};

/** A message of the membership protocol; each is sent in one datagram. */
using Message = std::variant<Ping,
                             PingRequest,
                             Ack,
                             Join,
                             SyncRequest,
                             Members,
                             SummaryRequest,
                             Summaries>;

} // namespace auburntrestle::membership

#endif
