#ifndef AUBURNTRESTLE_HTTP_INTERNAL_PARSER_HPP
#define AUBURNTRESTLE_HTTP_INTERNAL_PARSER_HPP

#include "auburntrestle/http/internal/head_scanner.hpp"
#include "auburntrestle/http/message.hpp"

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace auburntrestle::http::internal {

/** Kind of message that a parser reads. */
enum class MessageKind : std::uint8_t
{
  Request,
  Response,
};

/** Parsing state of a message. */
enum class Progress : std::uint8_t
{
  Headers,
  Body,
  Complete,
  Malformed,
};

/**
 * Incremental parser of HTTP/1.1 messages, one at a time. Body bytes are
 * buffered until ExtractBody() is called.
 */
class Parser
{
public:
  explicit Parser(MessageKind aKind);
  Parser(const Parser&) = delete;
  Parser& operator=(const Parser&) = delete;

  /** Prepares the parser for the next message. */
  void Reset();

  /** Marks the next response as one to a HEAD request, which has no body. */
  void ExpectNoBody() noexcept { m_noBody = true; }

  /** @return the number of bytes that belong to the current message. */
  std::size_t Feed(std::string_view aBytes);

  /** Signals the end of the connection, which completes a response without a
   * length. */
  void FeedEnd();

  [[nodiscard]] Progress GetProgress() const noexcept { return m_progress; }
  [[nodiscard]] const Headers& GetHeaders() const noexcept { return m_headers; }
  [[nodiscard]] Headers ExtractHeaders() { return std::move(m_headers); }
  [[nodiscard]] std::string ExtractBody() { return std::exchange(m_body, {}); }
  [[nodiscard]] std::size_t BodySize() const noexcept { return m_body.size(); }
  /** @return the announced size of the body once the headers are complete, or
   * nothing if it is sent in chunks or ends with the connection. */
  [[nodiscard]] std::optional<std::uint64_t> ContentLength() const noexcept;
  /** Allocates space for a body at once instead of growing it. */
  void ReserveBody(std::size_t aBytes) { m_body.reserve(aBytes); }
  /** @return the bytes allocated for the body. */
  [[nodiscard]] std::size_t BodyCapacity() const noexcept
  {
    return m_body.capacity();
  }
  /** @return the bytes held for the message without its body. A header line of
   * a few bytes costs many times its size. */
  [[nodiscard]] std::size_t HeldHeadBytes() const noexcept;
  [[nodiscard]] std::size_t HeaderBytes() const noexcept
  {
    return m_headerBytes;
  }
  [[nodiscard]] const std::string& Target() const noexcept { return m_target; }
  [[nodiscard]] std::string Method() const;
  [[nodiscard]] int Status() const noexcept;
  /** @return whether the connection stays open for another message. */
  [[nodiscard]] bool KeepAlive() const noexcept { return m_keepAlive; }

private:
  /** @return what the status means; Final for a request. */
  [[nodiscard]] StatusKind GetStatusKind() const noexcept;
  static Parser& FromHandle(http_parser* aParser);
  static const http_parser_settings& Settings();
  void FinishField();
  /** Feeds bytes that begin within a head. @return the number that was used: of
   * a response, none beyond the end of the head. */
  std::size_t FeedHead(std::string_view aBytes);
  /** Feeds bytes to the library. @return the number that it used. */
  std::size_t Execute(std::string_view aBytes);

  MessageKind m_kind;
  http_parser m_parser{};
  HeadScanner m_headScanner;
  Progress m_progress = Progress::Headers;
  Headers m_headers;
  std::string m_field;
  std::string m_value;
  bool m_inValue = false;
  std::string m_target;
  std::string m_body;
  std::size_t m_headerBytes = 0;
  /** Bytes held for m_headers. */
  std::size_t m_fieldBytes = 0;
  bool m_keepAlive = false;
  bool m_noBody = false;
  std::optional<std::uint64_t> m_contentLength;
};

} // namespace auburntrestle::http::internal

#endif
