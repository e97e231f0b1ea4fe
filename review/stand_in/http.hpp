#ifndef AUBURNTRESTLE_REVIEW_STAND_IN_HTTP_HPP
#define AUBURNTRESTLE_REVIEW_STAND_IN_HTTP_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/** Clients, servers and operators of the review's cases. */
namespace auburntrestle::review {

/** An IPv4 address and port. */
struct Address
{
  std::string m_host;
  std::uint16_t m_port = 0;

  [[nodiscard]] static Address Parse(const std::string& aText);
  [[nodiscard]] std::string Text() const;
};

using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/** A request or a response. */
struct Message
{
  /** The request line or the status line. */
  std::string m_start;
  HeaderFields m_fields;
  std::string m_body;

  /** @return the value of a header field, without regard to case. */
  [[nodiscard]] std::optional<std::string> Field(std::string_view aName) const;
  /** @return the method of a request. */
  [[nodiscard]] std::string Method() const;
  /** @return the target of a request. */
  [[nodiscard]] std::string Target() const;
  /** @return the status of a response. */
  [[nodiscard]] int Status() const;
};

/** How the reading of a message ended. */
enum class ReadOutcome : std::uint8_t
{
  Complete,
  /** The connection ended before the first byte. */
  Closed,
  /** The connection ended within the message. */
  BrokenOff,
  TimedOut,
};

/** A TCP connection that blocks. */
class Connection
{
public:
  explicit Connection(int aDescriptor);
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection();

  /** @return a connection, or null if it fails within a second. */
  [[nodiscard]] static std::unique_ptr<Connection> Open(const Address& aTo);

  /** Limits the time that a read may block. */
  void SetReadTimeout(int aMilliseconds);
  /** @return whether all bytes were passed on. */
  bool Send(std::string_view aBytes);
  /** Reads one message with a Content-Length, or with no body. */
  [[nodiscard]] ReadOutcome Read(Message& aMessage);
  /** @return whether bytes arrived that no Read has returned yet. */
  [[nodiscard]] bool HasUnreadBytes() const { return !m_input.empty(); }
  /** Reads some bytes. @return false at the end of the connection. */
  bool Receive();
  /** @return whether the peer has closed the connection. */
  [[nodiscard]] bool IsClosedByPeer() const;
  /** Shuts the connection down, which wakes a thread that reads from it. */
  void Shutdown();
  [[nodiscard]] int Descriptor() const { return m_descriptor; }

private:
  int m_descriptor;
  std::string m_input;
  bool m_timedOut = false;
};

/** Accepts connections and handles each on a thread of its own, until the
 * process ends. */
class Listener
{
public:
  using Handler = std::function<void(Connection&)>;

  /** Exits the process with status 2 if the address isn't free. */
  Listener(const Address& aAddress, Handler aHandler);
};

/** @return the bytes of a request. */
[[nodiscard]] std::string FormatRequest(const std::string& aMethod,
                                        const std::string& aTarget,
                                        const HeaderFields& aFields,
                                        const std::string& aBody);
/** @return the bytes of a response. */
[[nodiscard]] std::string FormatResponse(int aStatus,
                                         const HeaderFields& aFields,
                                         const std::string& aBody);

} // namespace auburntrestle::review

#endif
