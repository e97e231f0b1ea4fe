#include "auburntrestle/http/server_resources.hpp"

#include <algorithm>

namespace auburntrestle::http {

namespace {

/** A request or response that is behind the minimum rate by this time gives way
 * to others. */
constexpr Duration kStallTime = std::chrono::milliseconds(500);
/** The minimum rate of requests and responses while there is too little room.
 */
constexpr std::size_t kMinBytesPerSecond = std::size_t{ 32 } * 1024;
/** A connection that holds no more is served from the reserve: an ordinary
 * request with its response holds less. */
constexpr std::size_t kSmallHolding = std::size_t{ 32 } * 1024;
/** The share of the memory that is kept for small holdings. */
constexpr std::size_t kReserveDivisor = 4;

/** @return the time that bytes take at the minimum rate. */
Duration TimeOf(std::size_t aBytes)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
    static_cast<double>(aBytes) / static_cast<double>(kMinBytesPerSecond)));
}

} // namespace

std::string_view ToString(ShedReason aReason) noexcept
{
  switch (aReason) {
    case ShedReason::IdleClosed:
      return "idle_closed";
    case ShedReason::SlowRequestClosed:
      return "slow_request_closed";
    case ShedReason::SlowReaderClosed:
      return "slow_reader_closed";
    case ShedReason::RequestRefused:
      return "request_refused";
    case ShedReason::ConnectionRefused:
      return "connection_refused";
  }
  return "unknown";
}

ServerResources::ServerResources(ResourceLimits aLimits)
  : m_limits(aLimits)
{
}

std::optional<ServerResources::Handle> ServerResources::TryAdd(
  std::function<void()> aClose,
  TimePoint aNow)
{
  if (m_connections >= m_limits.m_connections && !ShedOne(std::nullopt, aNow)) {
    Report(ShedReason::ConnectionRefused);
    return std::nullopt;
  }
  ++m_connections;
  const auto added = m_holdings.insert(m_holdings.end(), Holding{});
  added->m_close = std::move(aClose);
  added->m_position = QueueOf(added->m_stage).emplace(aNow, added);
  return added;
}

void ServerResources::Remove(Handle aConnection)
{
  m_heldBytes -= aConnection->m_bytes;
  --m_connections;
  QueueOf(aConnection->m_stage).erase(aConnection->m_position);
  m_holdings.erase(aConnection);
}

void ServerResources::Move(Handle aConnection,
                           ConnectionStage aStage,
                           TimePoint aProgressAt)
{
  auto node = QueueOf(aConnection->m_stage).extract(aConnection->m_position);
  node.key() = aProgressAt;
  aConnection->m_stage = aStage;
  aConnection->m_position = QueueOf(aStage).insert(std::move(node));
}

void ServerResources::EnterStage(Handle aConnection,
                                 ConnectionStage aStage,
                                 TimePoint aNow)
{
  Move(aConnection, aStage, aNow);
}

void ServerResources::RecordProgress(Handle aConnection,
                                     std::size_t aBytes,
                                     TimePoint aNow)
{
  const TimePoint reached = aConnection->m_position->first + TimeOf(aBytes);
  Move(aConnection, aConnection->m_stage, std::min(reached, aNow));
}

bool ServerResources::HasRoom(Handle aConnection, std::size_t aBytes) const
{
  const std::size_t others = m_heldBytes - aConnection->m_bytes;
  const std::size_t reserve =
    aBytes > kSmallHolding ? m_limits.m_memoryBytes / kReserveDivisor : 0;
  const std::size_t limit = m_limits.m_memoryBytes - reserve;
  return others <= limit && aBytes <= limit - others;
}

bool ServerResources::TryHold(Handle aConnection,
                              std::size_t aBytes,
                              TimePoint aNow)
{
  while (aBytes > aConnection->m_bytes && !HasRoom(aConnection, aBytes)) {
    if (!ShedOne(aConnection, aNow)) {
      Report(ShedReason::RequestRefused);
      return false;
    }
  }
  m_heldBytes += aBytes - aConnection->m_bytes;
  aConnection->m_bytes = aBytes;
  return true;
}

void ServerResources::Hold(Handle aConnection,
                           std::size_t aBytes,
                           TimePoint aNow)
{
  while (aBytes > aConnection->m_bytes && !HasRoom(aConnection, aBytes) &&
         (ShedOne(aConnection, aNow) || ShedFrom(ConnectionStage::Sending,
                                                 ShedReason::SlowReaderClosed,
                                                 aConnection,
                                                 aNow))) {
  }
  m_heldBytes += aBytes - aConnection->m_bytes;
  aConnection->m_bytes = aBytes;
}

bool ServerResources::ShedOne(std::optional<Handle> aFor, TimePoint aNow)
{
  const TimePoint stalledSince = aNow - kStallTime;
  return ShedFrom(ConnectionStage::Receiving,
                  ShedReason::SlowRequestClosed,
                  aFor,
                  stalledSince) ||
         ShedFrom(ConnectionStage::Sending,
                  ShedReason::SlowReaderClosed,
                  aFor,
                  stalledSince) ||
         ShedFrom(ConnectionStage::Idle, ShedReason::IdleClosed, aFor, aNow);
}

bool ServerResources::ShedStalledRequest(Handle aConnection, TimePoint aNow)
{
  return ShedFrom(ConnectionStage::Receiving,
                  ShedReason::SlowRequestClosed,
                  aConnection,
                  aNow - kStallTime);
}

bool ServerResources::ShedFrom(ConnectionStage aStage,
                               ShedReason aReason,
                               std::optional<Handle> aFor,
                               TimePoint aStalledSince)
{
  auto& queue = QueueOf(aStage);
  auto victim = queue.begin();
  if (victim != queue.end() && aFor && victim->second == *aFor) {
    ++victim;
  }
  if (victim == queue.end() || victim->first > aStalledSince) {
    return false;
  }
  const std::size_t before = m_connections;
  // The connection removes itself, which destroys the function.
  const auto close = victim->second->m_close;
  close();
  Report(aReason);
  return m_connections < before;
}

void ServerResources::Report(ShedReason aReason) const
{
  if (m_onShed) {
    m_onShed(aReason);
  }
}

} // namespace auburntrestle::http
