#ifndef AUBURNTRESTLE_FLEET_SNAPSHOT_SENDER_HPP
#define AUBURNTRESTLE_FLEET_SNAPSHOT_SENDER_HPP

#include "auburntrestle/core/time.hpp"
#include "auburntrestle/fleet/messages.hpp"
#include "auburntrestle/fleet/output_store.hpp"
#include "auburntrestle/protocol/error.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace auburntrestle::fleet {

/**
 * Copies the output segments of a snapshot to a member in small chunks, then
 * sends the snapshot itself. Chunks that the member stored in an earlier
 * attempt are skipped.
 */
class SnapshotSender
{
public:
  /** Sends a chunk to a member; the callback gets the number of bytes of the
   * segment that the member stores, or the failure of the call. */
  using ChunkSender =
    std::function<void(const InstanceId&,
                       const OutputChunk&,
                       std::function<void(protocol::Expected<std::uint64_t>)>)>;
  /** Sends the message with the snapshot to a member. */
  using SnapshotMessageSender =
    std::function<void(const InstanceId&, std::string)>;

  /** Concurrent transfers; each holds a complete encoded state in memory. */
  static constexpr std::size_t kMaxTransfers = 2;

  SnapshotSender(ChunkSender aSendChunk, SnapshotMessageSender aSendSnapshot);

  /** @return false while a transfer to this member makes progress, or while the
   * maximum number of transfers runs. */
  [[nodiscard]] bool CanStart(const InstanceId& aTo, TimePoint aNow) const;
  /**
   * Starts a transfer to a member. Does nothing unless CanStart.
   *
   * @param aSegments the segments in use, each with the number of its bytes in
   * use.
   * @param aMessage the encoded message that contains the snapshot.
   * @param aOutputs must outlive the transfer; see CancelAll.
   */
  void Start(const InstanceId& aTo,
             const std::map<OutputSegment, std::uint64_t>& aSegments,
             std::string aMessage,
             OutputStore& aOutputs,
             TimePoint aNow);
  /** Cancels all transfers. */
  void CancelAll();
  /** @return the segments that the transfers in progress read. */
  [[nodiscard]] std::set<OutputSegment> SegmentsInTransfer() const;

private:
  /** A transfer without progress for this long may be replaced by a new one. */
  static constexpr Duration kStallTimeout = std::chrono::seconds(2);
  static constexpr std::size_t kChunkBytes = std::size_t{ 256 } * 1024;

  struct Transfer
  {
    InstanceId m_to;
    std::vector<std::pair<OutputSegment, std::uint64_t>> m_segments;
    std::size_t m_nextSegment = 0;
    std::string m_message;
    OutputStore* m_outputs = nullptr;
    TimePoint m_lastProgressAt{};
    bool m_cancelled = false;
  };
  using TransferPtr = std::shared_ptr<Transfer>;

  void SendChunk(const TransferPtr& aTransfer, const OutputChunk& aChunk);
  void ContinueTransfer(const TransferPtr& aTransfer, std::uint64_t aHeldBytes);

  ChunkSender m_sendChunk;
  SnapshotMessageSender m_sendSnapshot;
  std::map<InstanceId, TransferPtr> m_transfers;
};

} // namespace auburntrestle::fleet

#endif
