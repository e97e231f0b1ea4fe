#include "auburntrestle/http/internal/parser.hpp"

#include "auburntrestle/core/release_memory.hpp"

#include <limits>
#include <utility>

namespace auburntrestle::http::internal {

namespace {

// Return values of http_parser callbacks.
constexpr int kContinueParsing = 0;
constexpr int kSkipBody = 1;
constexpr int kStopParsing = -1;
/** Strings up to this size need no allocation. */
constexpr std::size_t kInlineStringBytes = 15;
/** What an allocation takes beside its contents. */
constexpr std::size_t kAllocationBytes = 16;
/** An entry of the list of fields, which grows by doubling. */
constexpr std::size_t kFieldBytes = 2 * sizeof(Headers::Field);

std::size_t HeapBytes(const std::string& aText)
{
  return aText.capacity() > kInlineStringBytes
           ? aText.capacity() + kAllocationBytes
           : 0;
}

/** The library's content length of a message without one. */
constexpr std::uint64_t kNoContentLength =
  std::numeric_limits<std::uint64_t>::max();

} // namespace

Parser& Parser::FromHandle(http_parser* aParser)
{
  return *static_cast<Parser*>(aParser->data);
}

const http_parser_settings& Parser::Settings()
{
  static const http_parser_settings kSettings = [] {
    http_parser_settings settings{};
    http_parser_settings_init(&settings);
    settings.on_url = [](http_parser* aParser, const char* aAt, size_t aSize) {
      FromHandle(aParser).m_target.append(aAt, aSize);
      return kContinueParsing;
    };
    settings.on_header_field =
      [](http_parser* aParser, const char* aAt, size_t aSize) {
        auto& self = FromHandle(aParser);
        if (self.m_progress != Progress::Headers) {
          // Trailer fields are not used, and would not count as header bytes.
          return kContinueParsing;
        }
        if (self.m_inValue) {
          self.FinishField();
        }
        self.m_field.append(aAt, aSize);
        return kContinueParsing;
      };
    settings.on_header_value =
      [](http_parser* aParser, const char* aAt, size_t aSize) {
        auto& self = FromHandle(aParser);
        if (self.m_progress != Progress::Headers) {
          return kContinueParsing;
        }
        self.m_inValue = true;
        self.m_value.append(aAt, aSize);
        return kContinueParsing;
      };
    settings.on_headers_complete = [](http_parser* aParser) {
      auto& self = FromHandle(aParser);
      const StatusKind kind = self.GetStatusKind();
      if (kind == StatusKind::Invalid) {
        return kStopParsing;
      }
      if (self.m_progress == Progress::Headers) {
        self.FinishField();
      }
      if (kind == StatusKind::Interim) {
        return kSkipBody;
      }
      if (self.m_progress == Progress::Headers) {
        self.m_progress = Progress::Body;
        self.m_keepAlive = http_should_keep_alive(aParser) != 0;
        if (aParser->content_length != kNoContentLength) {
          self.m_contentLength = aParser->content_length;
        }
      }
      return self.m_noBody ? kSkipBody : kContinueParsing;
    };
    settings.on_body = [](http_parser* aParser, const char* aAt, size_t aSize) {
      FromHandle(aParser).m_body.append(aAt, aSize);
      return kContinueParsing;
    };
    settings.on_message_complete = [](http_parser* aParser) {
      auto& self = FromHandle(aParser);
      if (self.GetStatusKind() == StatusKind::Interim) {
        self.m_headers = Headers();
        self.m_progress = Progress::Headers;
        return kContinueParsing;
      }
      self.m_progress = Progress::Complete;
      http_parser_pause(aParser, 1);
      return kContinueParsing;
    };
    return settings;
  }();
  return kSettings;
}

Parser::Parser(MessageKind aKind)
  : m_kind(aKind)
{
  Reset();
}

void Parser::Reset()
{
  http_parser_init(
    &m_parser, m_kind == MessageKind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
  m_parser.data = this;
  m_headScanner = HeadScanner();
  m_progress = Progress::Headers;
  m_headers = Headers();
  m_field.clear();
  m_value.clear();
  m_inValue = false;
  m_target.clear();
  // Also returns the memory of a large body that was not extracted.
  ReleaseMemory(m_body);
  m_headerBytes = 0;
  m_fieldBytes = 0;
  m_keepAlive = false;
  m_noBody = false;
  m_contentLength.reset();
}

void Parser::FinishField()
{
  if (!m_field.empty()) {
    m_fieldBytes += kFieldBytes + HeapBytes(m_field) + HeapBytes(m_value);
    m_headers.Add(std::exchange(m_field, {}), std::exchange(m_value, {}));
  }
  m_inValue = false;
}

std::size_t Parser::Feed(std::string_view aBytes)
{
  std::size_t used = 0;
  // An interim response is followed by another head.
  while (m_progress == Progress::Headers && used < aBytes.size()) {
    used += FeedHead(aBytes.substr(used));
  }
  if (m_progress == Progress::Body && used < aBytes.size()) {
    used += Execute(aBytes.substr(used));
  }
  return used;
}

std::size_t Parser::FeedHead(std::string_view aBytes)
{
  std::size_t bytes = aBytes.size();
  if (m_kind == MessageKind::Response) {
    // The library accepts names with blanks, and takes some of them for the
    // length or the framing of the body.
    const auto scanned = m_headScanner.Scan(aBytes);
    if (!scanned) {
      m_progress = Progress::Malformed;
      return 0;
    }
    bytes = *scanned;
  }
  const std::size_t used = Execute(aBytes.substr(0, bytes));
  m_headerBytes += used > m_body.size() ? used - m_body.size() : 0;
  return used;
}

std::size_t Parser::Execute(std::string_view aBytes)
{
  const std::size_t used =
    http_parser_execute(&m_parser, &Settings(), aBytes.data(), aBytes.size());
  if (m_progress != Progress::Complete &&
      (HTTP_PARSER_ERRNO(&m_parser) != HPE_OK || m_parser.upgrade != 0)) {
    m_progress = Progress::Malformed;
  }
  return used;
}

void Parser::FeedEnd()
{
  if (m_progress == Progress::Complete) {
    return;
  }
  http_parser_execute(&m_parser, &Settings(), nullptr, 0);
  if (m_progress != Progress::Complete) {
    m_progress = Progress::Malformed;
  }
}

std::optional<std::uint64_t> Parser::ContentLength() const noexcept
{
  return m_contentLength;
}

std::size_t Parser::HeldHeadBytes() const noexcept
{
  return m_fieldBytes + HeapBytes(m_field) + HeapBytes(m_value) +
         HeapBytes(m_target);
}

std::string Parser::Method() const
{
  return http_method_str(static_cast<http_method>(m_parser.method));
}

StatusKind Parser::GetStatusKind() const noexcept
{
  return m_kind == MessageKind::Request ? StatusKind::Final : KindOf(Status());
}

int Parser::Status() const noexcept
{
  return static_cast<int>(m_parser.status_code);
}

} // namespace auburntrestle::http::internal
