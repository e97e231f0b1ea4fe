#ifndef AUBURNTRESTLE_HTTP_INTERNAL_SERVER_CONNECTION_HPP
#define AUBURNTRESTLE_HTTP_INTERNAL_SERVER_CONNECTION_HPP

#include "auburntrestle/http/internal/parser.hpp"
#include "auburntrestle/http/server.hpp"

#include <asio/ip/tcp.hpp>

#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace auburntrestle::http::internal {

/** State shared by the connections of a server. */
class ServerState : public std::enable_shared_from_this<ServerState>
{
public:
  ServerState(event_loop::EventLoop& aLoop,
              RequestHandler aHandler,
              std::shared_ptr<ServerResources> aResources);

  void Accept();
  void Close();

  event_loop::EventLoop& m_loop;
  RequestHandler m_handler;
  std::shared_ptr<ServerResources> m_resources;
  asio::ip::tcp::acceptor m_acceptor;
  ServerLimits m_limits;
  std::unordered_set<std::shared_ptr<ServerConnection>> m_connections;
  std::size_t m_activeExchanges = 0;
  /** Bytes of large bodies that are received or processed. */
  std::size_t m_totalBodyBytes = 0;
  bool m_draining = false;
};

/** One accepted connection. */
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
  ServerConnection(std::shared_ptr<ServerState> aState,
                   asio::ip::tcp::socket aSocket);

  /** Starts to read, unless there are too many connections. */
  void Start();
  void Respond(const Response& aResponse);
  /** Responds to the request in progress, if there is one. */
  void RespondIfActive(const Response& aResponse);
  /** Closes immediately, dropping the rest of a response. */
  void Close();
  /** Closes an idle connection after aDelay unless a request arrives before. */
  void CloseIdleAfter(Duration aDelay);

private:
  /** Most requests arrive in one read of this size. */
  static constexpr std::size_t kReadBytes = std::size_t{ 2 } * 1024;
  /** For the rest of a request that filled the first read. */
  static constexpr std::size_t kLargeReadBytes = std::size_t{ 16 } * 1024;
  /** Bytes of pipelined requests buffered while one is processed. */
  static constexpr std::size_t kMaxPipelinedBytes = std::size_t{ 64 } * 1024;

  void Read();
  /** Chooses the size of the next read. */
  void ResizeBuffer();
  /** @return the bytes held for this connection, without a large body. */
  [[nodiscard]] std::size_t HeldBytes() const;
  /** Accounts for the bytes held. @return whether there is room for them. */
  [[nodiscard]] bool TryHoldMemory();
  /** Accounts for the bytes held, also beyond the limit. */
  void HoldMemory();
  [[nodiscard]] ConnectionStage Stage() const noexcept;
  /** Records what the connection does at present.
   * @param aBytes bytes of its request or response that made progress. */
  void RecordProgress(std::size_t aBytes = 0);
  void OnRead(const asio::error_code& aError, std::size_t aBytes);
  void ProcessInput();
  /** @return whether there is input and no earlier request is in progress: its
   * response must have been sent before the next request is handled. */
  [[nodiscard]] bool MayProcess() const noexcept;
  void OnRequest();
  /** @return the status to respond with when a limit is exceeded. */
  [[nodiscard]] std::optional<int> CheckLimits();
  /** Counts a body if it is large; small ones are part of HeldBytes.
   * @param aHeldBytes bytes allocated for it, at most the limit of one body.
   * @return whether there is room for it. */
  [[nodiscard]] bool TryHoldBody(std::size_t aBodyBytes,
                                 std::size_t aHeldBytes);
  /** Stops counting the body of a request that was answered. */
  void ReleaseBody();
  void RefuseAndClose(int aStatus);
  /** Sends bytes after those that are being sent. @param aClose whether the
   * connection is closed after them. */
  void Write(std::string aBytes, bool aClose);
  void StartWrite();
  /** Sends the rest of m_output, part by part. */
  void SendRest();
  void OnWritten(const asio::error_code& aError);
  void LingerAndClose();
  /** Closes the connection unless the system still sends the last response. */
  void FinishLinger();
  /** @return bytes that the system has not delivered to the client yet. */
  [[nodiscard]] std::size_t UnsentBytes();
  /** Stops counting the current request as active. */
  void EndActivity();
  /** Closes the connection after a time. */
  void SetTimer(Duration aDelay);
  void SetTimer(Duration aDelay, std::function<void()> aWork);
  void SetStageTimer();
  void OnClientDisconnected();
  void SendContinue();

  std::shared_ptr<ServerState> m_state;
  asio::ip::tcp::socket m_socket;
  /** The entry in ServerResources; absent once the connection is closed. */
  std::optional<ServerResources::Handle> m_usage;
  std::vector<char> m_buffer = std::vector<char>(kReadBytes);
  ConnectionStage m_stage = ConnectionStage::Idle;
  /** The last read filled the buffer. */
  bool m_filledBuffer = false;
  std::string m_input;
  Parser m_parser{ MessageKind::Request };
  std::shared_ptr<Exchange> m_exchange;
  std::optional<timer::TimerId> m_timer;
  /** The bytes that are being sent; must not change until they are. */
  std::string m_output;
  /** Bytes of m_output that have been sent. */
  std::size_t m_sentBytes = 0;
  /** Bytes to be sent after m_output. */
  std::string m_nextOutput;
  /** Bytes of the current request's body that ServerState counts. */
  std::size_t m_heldBodyBytes = 0;
  /** Bytes held for the request that is being handled, without a large body. */
  std::size_t m_exchangeBytes = 0;
  bool m_reading = false;
  bool m_writing = false;
  bool m_closeAfterWrite = false;
  bool m_inRequest = false;
  bool m_bodyStarted = false;
  bool m_keepAlive = true;
  bool m_lingering = false;
  /** ServerState counts the current request as active: its response has not
   * been sent completely. */
  bool m_active = false;
  /** UnsentBytes when FinishLinger looked last. */
  std::size_t m_unsentBytes = std::numeric_limits<std::size_t>::max();
  bool m_closed = false;
};

} // namespace auburntrestle::http::internal

#endif
