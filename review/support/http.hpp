#ifndef REVIEW_SUPPORT_HTTP_HPP
#define REVIEW_SUPPORT_HTTP_HPP

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Headers = std::vector<std::pair<std::string, std::string>>;
using Milliseconds = std::chrono::milliseconds;

/** A request or a response. */
struct Message
{
  std::string m_method;
  std::string m_target;
  int m_status = 0;
  Headers m_headers;
  std::string m_body;
  /** A request had both a length and a transfer coding. The coding decides, and
   * the connection is closed after the response (RFC 9112, 6.1). */
  bool m_hasTwoLengths = false;

  /** @return the value of a header field, or an empty text. */
  [[nodiscard]] std::string Find(std::string_view aName) const;
  [[nodiscard]] bool Has(std::string_view aName) const;
  [[nodiscard]] std::string Path() const;
};

/** A TCP connection with blocking reads and writes. */
class Connection
{
public:
  explicit Connection(int aDescriptor);
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection();

  /** @return the next message, or nothing at the end or after the timeout. */
  [[nodiscard]] std::optional<Message> Read(bool aIsRequest,
                                            Milliseconds aTimeout);
  /** @return false when the other side has closed the connection. */
  bool Write(std::string_view aBytes);
  /** @return whether the other side has closed or reset the connection. */
  [[nodiscard]] bool IsClosed() const;
  /** Wakes a reader of another thread. */
  void Shutdown() const;

private:
  [[nodiscard]] bool Fill(std::chrono::steady_clock::time_point aUntil);
  [[nodiscard]] bool ReadChunks(std::string& aBody,
                                std::chrono::steady_clock::time_point aUntil);

  int m_descriptor;
  std::string m_input;
};

/** @return a connected socket, or a negative number. */
[[nodiscard]] int Dial(const std::string& aAddress, Milliseconds aTimeout);

/** Sends one request on a connection of its own. @return the response, or
 * nothing when there was none in time. */
[[nodiscard]] std::optional<Message> Call(
  const std::string& aAddress,
  const std::string& aMethod,
  const std::string& aTarget,
  const Headers& aHeaders = {},
  const std::string& aBody = {},
  Milliseconds aTimeout = Milliseconds(1000));

/** @return the text of a response with a body. */
[[nodiscard]] std::string Response(int aStatus,
                                   const Headers& aHeaders = {},
                                   const std::string& aBody = {});

/** An HTTP server with a thread for each connection. */
class Server
{
public:
  /** Handles a request and writes its response. @return whether the connection
   * may be kept. */
  using Handler = std::function<bool(const Message&, Connection&)>;

  Server(const std::string& aAddress, Handler aHandler);
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  ~Server();

  /** @return whether the address could be bound. */
  [[nodiscard]] bool IsListening() const noexcept { return m_descriptor >= 0; }

private:
  struct Peer
  {
    explicit Peer(int aDescriptor)
      : m_connection(aDescriptor)
    {
    }
    Connection m_connection;
    std::thread m_thread;
  };

  void Accept();
  void Serve(Connection& aConnection);

  Handler m_handler;
  int m_descriptor = -1;
  std::atomic<bool> m_stopped{ false };
  std::list<Peer> m_peers;
  std::thread m_thread;
};

} // namespace review

#endif
