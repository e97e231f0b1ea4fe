#ifndef AUBURNTRESTLE_MEMBERSHIP_TYPES_HPP
#define AUBURNTRESTLE_MEMBERSHIP_TYPES_HPP

#include "auburntrestle/core/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace auburntrestle::membership {

/**
 * State of a member as known locally. Of two updates with the same incarnation
 * the later state in this list wins.
 */
enum class MemberState : std::uint8_t
{
  Alive,
  /** Did not reply to probes; declared dead unless it refutes in time. */
  Suspect,
  Dead,
  /** Left on its own initiative. */
  Left,
};

/** Maximum number of models in an advertisement or summary. */
inline constexpr std::size_t kMaxModels = 8;

/** Free capacity for one model. */
struct ModelCapacity
{
  ModelName m_model;
  /** Requests that could start immediately. */
  std::uint32_t m_freeSlots = 0;

  friend bool operator==(const ModelCapacity&, const ModelCapacity&) = default;
};

/** State that an instance publishes to the others of its data centre. */
struct Advertisement
{
  /** ip:port for callers, trainers, backend servers and operators. */
  std::string m_httpAddress;
  /** ip:port for other instances, TCP and UDP. */
  std::string m_peerAddress;
  /** Incremented with each change within one incarnation. */
  std::uint64_t m_version = 0;
  /** Configuration revision in force. */
  Revision m_revision;
  bool m_draining = false;
  /** The kMaxModels models with the most free capacity. */
  std::vector<ModelCapacity> m_capacity;

  friend bool operator==(const Advertisement&, const Advertisement&) = default;
};

/** An update about one member, as it is gossiped. */
struct MemberUpdate
{
  InstanceId m_id;
  Incarnation m_incarnation;
  MemberState m_state = MemberState::Alive;
  /** Omitted unless the member is alive. */
  std::optional<Advertisement> m_advertisement;

  friend bool operator==(const MemberUpdate&, const MemberUpdate&) = default;
};

/** An instance that exchanges summaries for its data centre. */
struct Representative
{
  InstanceId m_id;
  std::string m_httpAddress;
  std::string m_peerAddress;

  friend bool operator==(const Representative&,
                         const Representative&) = default;
};

/** Summary of a data centre, which is sent to other data centres. */
struct Summary
{
  DataCentreId m_dataCentre;
  /** Increases with each summary, no matter which representative makes it. */
  std::uint64_t m_version = 0;
  /**
   * Random number that orders summaries which two representatives made with
   * the same version, so that every instance keeps the same one.
   */
  std::uint32_t m_tieBreak = 0;
  /** Live instances, including those that drain. */
  std::uint32_t m_liveInstances = 0;
  std::uint32_t m_drainingInstances = 0;
  /** Newest and oldest configuration revision in force on live instances. */
  Revision m_newestRevision;
  Revision m_oldestRevision;
  std::vector<ModelCapacity> m_capacity;
  std::vector<Representative> m_representatives;

  friend bool operator==(const Summary&, const Summary&) = default;
};

/** Version of a summary that an instance has. */
struct SummaryVersion
{
  DataCentreId m_dataCentre;
  std::uint64_t m_version = 0;
  std::uint32_t m_tieBreak = 0;

  friend bool operator==(const SummaryVersion&,
                         const SummaryVersion&) = default;
};

/** Version of a member's record that an instance has. */
struct MemberVersion
{
  InstanceId m_id;
  Incarnation m_incarnation;
  MemberState m_state = MemberState::Alive;
  std::uint64_t m_version = 0;

  friend bool operator==(const MemberVersion&, const MemberVersion&) = default;
};

/**
 * @return an upper bound of the encoded size in bytes, used to fit messages
 * into datagrams. The codec test compares the bounds with real encodings.
 */
[[nodiscard]] std::size_t MaxEncodedBytes(const MemberUpdate& aUpdate);
[[nodiscard]] std::size_t MaxEncodedBytes(const Summary& aSummary);
[[nodiscard]] std::size_t MaxEncodedBytes(const SummaryVersion& aVersion);
[[nodiscard]] std::size_t MaxEncodedBytes(const MemberVersion& aVersion);

/** @return the kMaxModels models with the most free slots, or all if fewer. */
[[nodiscard]] std::vector<ModelCapacity> CompactCapacity(
  std::vector<ModelCapacity> aCapacity);

} // namespace auburntrestle::membership

#endif
