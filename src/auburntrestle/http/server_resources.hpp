#ifndef AUBURNTRESTLE_HTTP_SERVER_RESOURCES_HPP
#define AUBURNTRESTLE_HTTP_SERVER_RESOURCES_HPP

#include "auburntrestle/core/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <list>
#include <map>
#include <optional>
#include <string_view>
#include <utility>

namespace auburntrestle::http {

/** What all connections of a process's servers may use together. */
struct ResourceLimits
{
  /** Bytes held for connections: buffers, header fields, small bodies and
   * responses. Large bodies have a limit of their own. */
  std::size_t m_memoryBytes = std::numeric_limits<std::size_t>::max();
  std::size_t m_connections = std::numeric_limits<std::size_t>::max();
};

/** What a connection does at present. */
enum class ConnectionStage : std::uint8_t
{
  /** It waits for a request. */
  Idle,
  /** A request has begun to arrive. */
  Receiving,
  /** A complete request is being handled; never closed for others. */
  Handling,
  /** A response is being sent. */
  Sending,
};

/** Why a connection was closed, or a request refused, for lack of resources. */
enum class ShedReason : std::uint8_t
{
  IdleClosed,
  SlowRequestClosed,
  SlowReaderClosed,
  RequestRefused,
  ConnectionRefused,
};

/** @return the stable name of a reason, such as "idle_closed". */
[[nodiscard]] std::string_view ToString(ShedReason aReason) noexcept;

/**
 * Accounts for what connections hold, and decides which ones give way when
 * there is too little. Designed for crowds of clients that each stay within the
 * limits of one request, send it slowly and stop just short of its end, or do
 * not read their responses. What costs callers least is closed first: requests
 * and readers that are furthest behind a minimum rate, then idle connections.
 * If there are none, a new request is refused, and a response takes the place
 * of the one that is furthest behind. A quarter of the memory is kept for
 * connections that hold little, so that ordinary requests are served beside
 * large ones.
 */
class ServerResources
{
private:
  struct Holding;
  using Holdings = std::list<Holding>;
  /** Connections by the time up to which their progress suffices. */
  using Queue = std::multimap<TimePoint, Holdings::iterator>;

  struct Holding
  {
    ConnectionStage m_stage = ConnectionStage::Idle;
    std::size_t m_bytes = 0;
    std::function<void()> m_close;
    Queue::iterator m_position;
  };

public:
  /** Identifies a connection. */
  using Handle = Holdings::iterator;

  explicit ServerResources(ResourceLimits aLimits);
  ServerResources(const ServerResources&) = delete;
  ServerResources& operator=(const ServerResources&) = delete;

  /** Sets a callback for each connection or request that gives way. */
  void OnShed(std::function<void(ShedReason)> aCallback)
  {
    m_onShed = std::move(aCallback);
  }

  /**
   * Adds a connection.
   *
   * @param aClose closes the connection, which has to remove it here.
   * @return nothing if there are too many.
   */
  [[nodiscard]] std::optional<Handle> TryAdd(std::function<void()> aClose,
                                             TimePoint aNow);
  void Remove(Handle aConnection);
  /** Records that a connection has entered a stage. */
  void EnterStage(Handle aConnection, ConnectionStage aStage, TimePoint aNow);
  /** Records bytes of a request that were received, or of a response that were
   * sent. They make up for the time that they take at the minimum rate. */
  void RecordProgress(Handle aConnection, std::size_t aBytes, TimePoint aNow);
  /** Sets the bytes that a connection holds. @return false if there is no room
   * for more; the account is then unchanged. */
  [[nodiscard]] bool TryHold(Handle aConnection,
                             std::size_t aBytes,
                             TimePoint aNow);
  /** Sets the bytes that a connection holds for a response, which has to be
   * sent once its request was run. Other responses give way to it; beyond the
   * limit there is at most this one. */
  void Hold(Handle aConnection, std::size_t aBytes, TimePoint aNow);

  /** Closes the request other than aConnection that is furthest behind.
   * @return false if none is so far behind that it gives way. */
  bool ShedStalledRequest(Handle aConnection, TimePoint aNow);

  [[nodiscard]] std::size_t HeldBytes() const noexcept { return m_heldBytes; }
  [[nodiscard]] std::size_t Connections() const noexcept
  {
    return m_connections;
  }

private:
  static constexpr std::size_t kStages = 4;

  [[nodiscard]] Queue& QueueOf(ConnectionStage aStage)
  {
    return m_queues.at(static_cast<std::size_t>(aStage));
  }
  /** Sets the stage of a connection, and up to when its progress suffices. */
  void Move(Handle aConnection, ConnectionStage aStage, TimePoint aProgressAt);
  [[nodiscard]] bool HasRoom(Handle aConnection, std::size_t aBytes) const;
  /** Closes one connection other than aFor. @return false if none gives way. */
  bool ShedOne(std::optional<Handle> aFor, TimePoint aNow);
  bool ShedFrom(ConnectionStage aStage,
                ShedReason aReason,
                std::optional<Handle> aFor,
                TimePoint aStalledSince);
  void Report(ShedReason aReason) const;

  ResourceLimits m_limits;
  std::function<void(ShedReason)> m_onShed;
  Holdings m_holdings;
  /** By stage, the connection that is furthest behind first. */
  std::array<Queue, kStages> m_queues;
  std::size_t m_heldBytes = 0;
  std::size_t m_connections = 0;
};

} // namespace auburntrestle::http

#endif
