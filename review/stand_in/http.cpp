#include "http.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <thread>

namespace auburntrestle::review {

namespace {

constexpr int kCannotRun = 2;
constexpr std::size_t kReadBytes = std::size_t{ 64 } * 1024;

sockaddr_in ToSocketAddress(const Address& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.m_port);
  inet_pton(AF_INET, aAddress.m_host.c_str(), &address.sin_addr);
  return address;
}

timeval ToTimeval(int aMilliseconds)
{
  constexpr int kMillisecondsPerSecond = 1000;
  timeval time{};
  time.tv_sec = aMilliseconds / kMillisecondsPerSecond;
  time.tv_usec = suseconds_t{ aMilliseconds % kMillisecondsPerSecond } *
                 kMillisecondsPerSecond;
  return time;
}

std::string Word(const std::string& aText, int aIndex)
{
  std::size_t start = 0;
  for (int index = 0; index < aIndex; ++index) {
    start = aText.find(' ', start);
    if (start == std::string::npos) {
      return "";
    }
    ++start;
  }
  return aText.substr(start, aText.find(' ', start) - start);
}

std::string FormatFields(const HeaderFields& aFields, std::size_t aBodyBytes)
{
  std::string text;
  for (const auto& [name, value] : aFields) {
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
  }
  text += "Content-Length: ";
  text += std::to_string(aBodyBytes);
  text += "\r\n\r\n";
  return text;
}

} // namespace

Address Address::Parse(const std::string& aText)
{
  const auto colon = aText.find(':');
  return { aText.substr(0, colon),
           static_cast<std::uint16_t>(std::stoi(aText.substr(colon + 1))) };
}

std::string Address::Text() const
{
  return m_host + ":" + std::to_string(m_port);
}

std::optional<std::string> Message::Field(std::string_view aName) const
{
  for (const auto& [name, value] : m_fields) {
    if (name.size() == aName.size() &&
        strncasecmp(name.data(), aName.data(), aName.size()) == 0) {
      return value;
    }
  }
  return std::nullopt;
}

std::string Message::Method() const
{
  return Word(m_start, 0);
}

std::string Message::Target() const
{
  return Word(m_start, 1);
}

int Message::Status() const
{
  const auto status = Word(m_start, 1);
  return status.empty() ? 0 : std::stoi(status);
}

Connection::Connection(int aDescriptor)
  : m_descriptor(aDescriptor)
{
  const int on = 1;
  setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

Connection::~Connection()
{
  close(m_descriptor);
}

std::unique_ptr<Connection> Connection::Open(const Address& aTo)
{
  constexpr int kConnectTimeoutMs = 1000;
  auto connection = std::make_unique<Connection>(
    socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const timeval limit = ToTimeval(kConnectTimeoutMs);
  setsockopt(
    connection->m_descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const sockaddr_in address = ToSocketAddress(aTo);
  const int result = connect(connection->m_descriptor,
                             reinterpret_cast<const sockaddr*>(&address),
                             sizeof(address));
  if (result != 0) {
    return nullptr;
  }
  const timeval none = ToTimeval(0);
  setsockopt(
    connection->m_descriptor, SOL_SOCKET, SO_SNDTIMEO, &none, sizeof(none));
  return connection;
}

void Connection::SetReadTimeout(int aMilliseconds)
{
  const timeval limit = ToTimeval(aMilliseconds);
  setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
}

bool Connection::Send(std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const ssize_t count =
      send(m_descriptor, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

bool Connection::Receive()
{
  std::array<char, kReadBytes> buffer{};
  const ssize_t count = recv(m_descriptor, buffer.data(), buffer.size(), 0);
  if (count > 0) {
    m_input.append(buffer.data(), static_cast<std::size_t>(count));
    return true;
  }
  m_timedOut = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return false;
}

ReadOutcome Connection::Read(Message& aMessage)
{
  constexpr std::string_view kEnd = "\r\n\r\n";
  constexpr std::string_view kLineEnd = "\r\n";
  aMessage = Message{};
  auto end = m_input.find(kEnd);
  while (end == std::string::npos) {
    if (!Receive()) {
      return m_timedOut        ? ReadOutcome::TimedOut
             : m_input.empty() ? ReadOutcome::Closed
                               : ReadOutcome::BrokenOff;
    }
    end = m_input.find(kEnd);
  }
  const std::string head = m_input.substr(0, end + kLineEnd.size());
  m_input.erase(0, end + kEnd.size());
  std::size_t at = head.find(kLineEnd);
  aMessage.m_start = head.substr(0, at);
  at += kLineEnd.size();
  while (at < head.size()) {
    const auto lineEnd = head.find(kLineEnd, at);
    const std::string line = head.substr(at, lineEnd - at);
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
      const auto value = line.find_first_not_of(' ', colon + 1);
      aMessage.m_fields.emplace_back(
        line.substr(0, colon),
        value == std::string::npos ? "" : line.substr(value));
    }
    at = lineEnd + kLineEnd.size();
  }
  const auto length = aMessage.Field("Content-Length");
  const std::size_t bytes = length ? std::stoul(*length) : 0;
  while (m_input.size() < bytes) {
    if (!Receive()) {
      aMessage.m_body = m_input;
      return m_timedOut ? ReadOutcome::TimedOut : ReadOutcome::BrokenOff;
    }
  }
  aMessage.m_body = m_input.substr(0, bytes);
  m_input.erase(0, bytes);
  return ReadOutcome::Complete;
}

bool Connection::IsClosedByPeer() const
{
  char byte = 0;
  const ssize_t count =
    recv(m_descriptor, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::Shutdown()
{
  shutdown(m_descriptor, SHUT_RDWR);
}

Listener::Listener(const Address& aAddress, Handler aHandler)
{
  constexpr int kBacklog = 256;
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = ToSocketAddress(aAddress);
  if (bind(descriptor,
           reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(descriptor, kBacklog) != 0) {
    std::perror(aAddress.Text().c_str());
    std::exit(kCannotRun);
  }
  std::thread([descriptor, handler = std::move(aHandler)] {
    while (true) {
      const int accepted = accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        continue;
      }
      std::thread([accepted, handler] {
        Connection connection(accepted);
        handler(connection);
      }).detach();
    }
  }).detach();
}

std::string FormatRequest(const std::string& aMethod,
                          const std::string& aTarget,
                          const HeaderFields& aFields,
                          const std::string& aBody)
{
  return aMethod + " " + aTarget + " HTTP/1.1\r\n" +
         FormatFields(aFields, aBody.size()) + aBody;
}

std::string FormatResponse(int aStatus,
                           const HeaderFields& aFields,
                           const std::string& aBody)
{
  return "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n" +
         FormatFields(aFields, aBody.size()) + aBody;
}

} // namespace auburntrestle::review
