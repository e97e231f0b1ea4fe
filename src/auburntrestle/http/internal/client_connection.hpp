#ifndef AUBURNTRESTLE_HTTP_INTERNAL_CLIENT_CONNECTION_HPP
#define AUBURNTRESTLE_HTTP_INTERNAL_CLIENT_CONNECTION_HPP

#include "auburntrestle/http/client.hpp"
#include "auburntrestle/http/internal/call_history.hpp"
#include "auburntrestle/http/internal/parser.hpp"

#include <asio/ip/tcp.hpp>

#include <array>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace auburntrestle::http::internal {

class ClientConnection;

/** Pool of the idle connections of a client. */
class ClientPool : public std::enable_shared_from_this<ClientPool>
{
public:
  ClientPool(event_loop::EventLoop& aLoop, ClientOptions aOptions);

  /** Removes and returns an idle connection that can carry a call; null if
   * there is none.
   * @param aCorrelation how the response to the call is recognised. */
  [[nodiscard]] std::shared_ptr<ClientConnection> PopIdle(
    const std::string& aAddress,
    const std::optional<Correlation>& aCorrelation);
  /** @return false when the address has its maximum of idle connections. */
  [[nodiscard]] bool AddIdle(
    const std::shared_ptr<ClientConnection>& aConnection);
  void RemoveIdle(const ClientConnection& aConnection);
  void Close(const std::string& aAddress);
  void CloseAll();
  void AddReceiving(ClientConnection& aConnection);
  void RemoveReceiving(ClientConnection& aConnection);
  /** Ends calls until all responses in progress are within their limit, those
   * with the longest responses first. */
  void EnforceLimit();

  event_loop::EventLoop& m_loop;
  ClientOptions m_options;
  /** Bytes received for the responses in progress. */
  std::size_t m_receivedBytes = 0;

private:
  std::unordered_map<std::string,
                     std::vector<std::shared_ptr<ClientConnection>>>
    m_idle;
  /** The connections with a call in progress. */
  std::set<ClientConnection*> m_receiving;
};

/** One connection to a server, idle or with one call in progress. */
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
  ClientConnection(std::shared_ptr<ClientPool> aPool, std::string aAddress);
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;
  ~ClientConnection();

  /** Starts a call, after connecting if the connection is new. */
  void StartCall(const Request& aRequest,
                 const CallOptions& aOptions,
                 CallHandlers aHandlers);
  /** Ends the call without calling its handlers. */
  void Cancel();
  void Close();
  /** Closes the connection and ends its call as one whose response is too
   * large. The handlers are called later, since they may start or cancel calls.
   */
  void Shed();

  [[nodiscard]] const std::string& Address() const noexcept
  {
    return m_address;
  }
  /** @return the calls that the connection has carried. */
  [[nodiscard]] const CallHistory& History() const noexcept
  {
    return m_history;
  }
  /** @return the bytes received for the response in progress. */
  [[nodiscard]] std::size_t ReceivedBytes() const noexcept
  {
    return m_receivedBytes;
  }

private:
  static constexpr std::size_t kReadBytes = std::size_t{ 16 } * 1024;

  void Connect(Duration aTimeout);
  void Send();
  void Read();
  void OnRead(const asio::error_code& aError, std::size_t aBytes);
  /** @return whether the connection was lost before its end of stream. The
   * system reports a loss once, to the write or to the read; to the other one
   * the stream then looks ended. A write fails with broken_pipe if the end of
   * stream was received before the loss. */
  [[nodiscard]] bool WasReset() const;
  void HandleBytes(std::string_view aBytes);
  /** @return whether the response being received belongs to another request. */
  [[nodiscard]] bool IsForeign() const;
  /** Handles received bytes of a foreign response.
   * @return whether it is complete, so that the next response follows. */
  bool DiscardForeign();
  /** Prepares the parser for the next response. */
  void ResetParser();
  /** Adds received bytes to the response in progress, and ends calls if all
   * responses together exceed their limit. */
  void CountReceived(std::size_t aBytes);
  /** The response in progress no longer counts. */
  void ReleaseReceived();
  /** Ends the call; its response no longer counts. @return its handlers. */
  std::optional<CallHandlers> ExtractHandlers();
  void ReportProgress();
  void OnComplete(bool aSurplus);
  void Finish(tl::expected<void, CallFailure> aResult);
  void ReturnToPool();
  void SetTimer(std::optional<timer::TimerId>& aTimer,
                Duration aDelay,
                std::function<void()> aWork);
  void CancelTimer(std::optional<timer::TimerId>& aTimer);
  [[nodiscard]] Duration IdleTimeout() const;

  std::shared_ptr<ClientPool> m_pool;
  std::string m_address;
  asio::ip::tcp::socket m_socket;
  std::array<char, kReadBytes> m_buffer{};
  Parser m_parser{ MessageKind::Response };
  std::optional<CallHandlers> m_handlers;
  std::optional<Correlation> m_correlation;
  CallHistory m_history;
  std::string m_output;
  /** The body of the request, sent after m_output. */
  SharedBytes m_outputBody;
  Headers m_lastHeaders;
  std::optional<timer::TimerId> m_callTimer;
  std::optional<timer::TimerId> m_stageTimer;
  bool m_connected = false;
  /** The request has been sent completely. */
  bool m_isSent = false;
  /** Why the request could not be sent completely. */
  asio::error_code m_writeError;
  bool m_reading = false;
  bool m_headReported = false;
  bool m_foreignReported = false;
  bool m_expectsNoBody = false;
  std::size_t m_receivedBytes = 0;
  std::size_t m_maxResponseBytes = 0;
  bool m_closed = false;
};

} // namespace auburntrestle::http::internal

#endif
