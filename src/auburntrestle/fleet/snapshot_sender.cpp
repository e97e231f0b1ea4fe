#include "auburntrestle/fleet/snapshot_sender.hpp"

#include "auburntrestle/observe/log.hpp"

#include <algorithm>
#include <utility>

namespace auburntrestle::fleet {

SnapshotSender::SnapshotSender(CallPart aCall, SendSnapshot aSend)
  : m_call(std::move(aCall))
  , m_send(std::move(aSend))
{
}

void SnapshotSender::Start(
  const InstanceId& aTo,
  const std::map<OutputSegment, std::uint64_t>& aSegments,
  std::string aMessage,
  OutputStore& aTexts,
  TimePoint aNow)
{
  auto& active = m_transfers[aTo];
  if (active && aNow - active->m_progressAt < kStallTime) {
    return;
  }
  if (active) {
    active->m_stopped = true;
  } else if (m_transfers.size() > kMaxTransfers) {
    // The log asks again for a member that still lacks a snapshot.
    m_transfers.erase(aTo);
    return;
  }
  active = std::make_shared<Transfer>();
  active->m_to = aTo;
  active->m_segments.assign(aSegments.begin(), aSegments.end());
  active->m_message = std::move(aMessage);
  active->m_texts = &aTexts;
  active->m_progressAt = aNow;
  observe::LogLine(observe::LogLevel::Info, "snapshot_transfer_started")
    .Add("to", aTo)
    .Add("segments", active->m_segments.size())
    .Add("state_bytes", active->m_message.size());
  const TransferPtr transfer = active;
  if (transfer->m_segments.empty()) {
    GoOn(transfer, 0);
  } else {
    // An empty part asks how much the member holds.
    SendPart(transfer,
             OutputChunk{ transfer->m_segments.front().first, 0, {}, false });
  }
}

void SnapshotSender::SendPart(const TransferPtr& aTransfer,
                              const OutputChunk& aPart)
{
  m_call(aTransfer->m_to,
         aPart,
         [this, aTransfer](const protocol::Expected<std::uint64_t>& aHeld) {
           if (aTransfer->m_stopped) {
             return;
           }
           if (aHeld) {
             GoOn(aTransfer, *aHeld);
             return;
           }
           observe::LogLine(observe::LogLevel::Warning,
                            "snapshot_transfer_failed")
             .Add("to", aTransfer->m_to)
             .Add("reason", protocol::ToString(aHeld.error().m_code));
           m_transfers.erase(aTransfer->m_to);
         });
}

void SnapshotSender::GoOn(const TransferPtr& aTransfer, std::uint64_t aHeld)
{
  aTransfer->m_progressAt = MonotonicClock::Now();
  auto& next = aTransfer->m_next;
  const auto& segments = aTransfer->m_segments;
  if (next < segments.size() && aHeld >= segments[next].second) {
    ++next;
    if (next < segments.size()) {
      SendPart(aTransfer, OutputChunk{ segments[next].first, 0, {}, false });
      return;
    }
  }
  if (next >= segments.size()) {
    m_send(aTransfer->m_to, std::move(aTransfer->m_message));
    m_transfers.erase(aTransfer->m_to);
    return;
  }
  const auto [segment, end] = segments[next];
  const std::size_t size = std::min<std::uint64_t>(kPartBytes, end - aHeld);
  auto bytes = aTransfer->m_texts->ReadChunk(segment, aHeld, size);
  if (!bytes || bytes->size() != size) {
    observe::LogLine(observe::LogLevel::Error, "text_segment_unreadable")
      .Add("segment", segment)
      .Add("offset", aHeld)
      .Add("end", end)
      .Add("bytes", bytes ? bytes->size() : 0)
      .Add("error", bytes ? 0 : bytes.error().m_systemError);
    m_transfers.erase(aTransfer->m_to);
    return;
  }
  SendPart(
    aTransfer,
    OutputChunk{ segment, aHeld, std::move(*bytes), aHeld + size == end });
}

void SnapshotSender::Stop()
{
  for (const auto& [to, transfer] : m_transfers) {
    transfer->m_stopped = true;
  }
  m_transfers.clear();
}

std::set<OutputSegment> SnapshotSender::Segments() const
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
