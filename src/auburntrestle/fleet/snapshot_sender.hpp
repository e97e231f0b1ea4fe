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
 * Copies the text segments of a snapshot to a member that lacks them, in small
 * parts, and sends the snapshot itself last. Parts that the member holds from
 * an earlier try are left out.
 */
class SnapshotSender
{
public:
  /** Calls a member; the callback gets how many bytes it holds. */
  using CallPart =
    std::function<void(const InstanceId&,
                       const OutputChunk&,
                       std::function<void(protocol::Expected<std::uint64_t>)>)>;
  /** Sends the snapshot. */
  using SendSnapshot = std::function<void(const InstanceId&, std::string)>;

  SnapshotSender(CallPart aCall, SendSnapshot aSend);

  /**
   * Begins to copy, unless a copy to this member makes progress or as many as
   * allowed are in progress.
   *
   * @param aSegments the segments in use, with the end of the part in use.
   * @param aMessage the encoded message that carries the snapshot.
   * @param aTexts must outlive the copy; see Stop.
   */
  void Start(const InstanceId& aTo,
             const std::map<OutputSegment, std::uint64_t>& aSegments,
             std::string aMessage,
             OutputStore& aTexts,
             TimePoint aNow);
  /** Ends all copies. */
  void Stop();
  /** @return the segments that copies in progress need. */
  [[nodiscard]] std::set<OutputSegment> Segments() const;

private:
  /** A copy without progress for this long is given up. */
  static constexpr Duration kStallTime = std::chrono::seconds(2);
  /** Copies at once; each holds a whole state in memory. */
  static constexpr std::size_t kMaxTransfers = 2;
  static constexpr std::size_t kPartBytes = std::size_t{ 256 } * 1024;

  struct Transfer
  {
    InstanceId m_to;
    std::vector<std::pair<OutputSegment, std::uint64_t>> m_segments;
    std::size_t m_next = 0;
    std::string m_message;
    OutputStore* m_texts = nullptr;
    TimePoint m_progressAt{};
    bool m_stopped = false;
  };
  using TransferPtr = std::shared_ptr<Transfer>;

  void SendPart(const TransferPtr& aTransfer, const OutputChunk& aPart);
  void GoOn(const TransferPtr& aTransfer, std::uint64_t aHeld);

  CallPart m_call;
  SendSnapshot m_send;
  std::map<InstanceId, TransferPtr> m_transfers;
};

} // namespace auburntrestle::fleet

#endif
