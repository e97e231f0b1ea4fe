#include "auburntrestle/fleet/snapshot_sender.hpp"

#include "auburntrestle/observe/log.hpp"

#include <algorithm>
#include <utility>

namespace auburntrestle::fleet {

SnapshotSender::SnapshotSender(ChunkSender aSendChunk,
                               SnapshotMessageSender aSendSnapshot)
  : m_sendChunk(std::move(aSendChunk))
  , m_sendSnapshot(std::move(aSendSnapshot))
{
}

bool SnapshotSender::CanStart(const InstanceId& aTo, TimePoint aNow) const
{
  const auto found = m_transfers.find(aTo);
  return found == m_transfers.end()
           ? m_transfers.size() < kMaxTransfers
           : aNow - found->second->m_lastProgressAt >= kStallTimeout;
}

void SnapshotSender::Start(
  const InstanceId& aTo,
  const std::map<OutputSegment, std::uint64_t>& aSegments,
  std::string aMessage,
  OutputStore& aOutputs,
  TimePoint aNow)
{
  if (!CanStart(aTo, aNow)) {
    return;
  }
  auto& active = m_transfers[aTo];
  if (active) {
    active->m_cancelled = true;
  }
  active = std::make_shared<Transfer>();
  active->m_to = aTo;
  active->m_segments.assign(aSegments.begin(), aSegments.end());
  active->m_message = std::move(aMessage);
  active->m_outputs = &aOutputs;
  active->m_lastProgressAt = aNow;
  observe::LogLine(observe::LogLevel::Info, "snapshot_transfer_started")
    .Add("to", aTo)
    .Add("segments", active->m_segments.size())
    .Add("state_bytes", active->m_message.size());
  const TransferPtr transfer = active;
  if (transfer->m_segments.empty()) {
    ContinueTransfer(transfer, 0);
  } else {
    // An empty chunk queries how many bytes the member already stores.
    SendChunk(transfer,
              OutputChunk{ transfer->m_segments.front().first, 0, {}, false });
  }
}

void SnapshotSender::SendChunk(const TransferPtr& aTransfer,
                               const OutputChunk& aChunk)
{
  m_sendChunk(
    aTransfer->m_to,
    aChunk,
    [this, aTransfer](const protocol::Expected<std::uint64_t>& aHeldBytes) {
      if (aTransfer->m_cancelled) {
        return;
      }
      if (aHeldBytes) {
        ContinueTransfer(aTransfer, *aHeldBytes);
        return;
      }
      observe::LogLine(observe::LogLevel::Warning, "snapshot_transfer_failed")
        .Add("to", aTransfer->m_to)
        .Add("reason", protocol::ToString(aHeldBytes.error().m_code));
      m_transfers.erase(aTransfer->m_to);
    });
}

void SnapshotSender::ContinueTransfer(const TransferPtr& aTransfer,
                                      std::uint64_t aHeldBytes)
{
  aTransfer->m_lastProgressAt = MonotonicClock::Now();
  auto& next = aTransfer->m_nextSegment;
  const auto& segments = aTransfer->m_segments;
  if (next < segments.size() && aHeldBytes >= segments[next].second) {
    ++next;
    if (next < segments.size()) {
      SendChunk(aTransfer, OutputChunk{ segments[next].first, 0, {}, false });
      return;
    }
  }
  if (next >= segments.size()) {
    m_sendSnapshot(aTransfer->m_to, std::move(aTransfer->m_message));
    m_transfers.erase(aTransfer->m_to);
    return;
  }
  const auto [segment, end] = segments[next];
  const std::size_t size =
    std::min<std::uint64_t>(kChunkBytes, end - aHeldBytes);
  auto bytes = aTransfer->m_outputs->ReadChunk(segment, aHeldBytes, size);
  if (!bytes || bytes->size() != size) {
    observe::LogLine(observe::LogLevel::Error, "text_segment_unreadable")
      .Add("segment", segment)
      .Add("offset", aHeldBytes)
      .Add("end", end)
      .Add("bytes", bytes ? bytes->size() : 0)
      .Add("error", bytes ? 0 : bytes.error().m_systemError);
    m_transfers.erase(aTransfer->m_to);
    return;
  }
  SendChunk(
    aTransfer,
    OutputChunk{
      segment, aHeldBytes, std::move(*bytes), aHeldBytes + size == end });
}

void SnapshotSender::CancelAll()
{
  for (const auto& [to, transfer] : m_transfers) {
    transfer->m_cancelled = true;
  }
  m_transfers.clear();
}

std::set<OutputSegment> SnapshotSender::SegmentsInTransfer() const
{
  std::set<OutputSegment> segments;
  for (const auto& [to, transfer] : m_transfers) {
    for (const auto& [segment, end] : transfer->m_segments) {
      segments.insert(segment);
    }
  }
  return segments;
}

} // namespace auburntrestle::fleet
