#include "auburntrestle/http/message.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <set>

namespace auburntrestle::http {

namespace internal {

constexpr std::array<std::string_view, 10> kHopByHop = { "connection",
                                                         "keep-alive",
                                                         "proxy-authenticate",
                                                         "te",
                                                         "proxy-authorization",
                                                         "proxy-connection",
                                                         "trailer",
                                                         "transfer-encoding",
                                                         "upgrade",
                                                         "content-length" };

std::string_view Trim(std::string_view aText) noexcept
{
  while (!aText.empty() && aText.front() == ' ') {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && aText.back() == ' ') {
    aText.remove_suffix(1);
  }
  return aText;
}

/** Orders names of fields, ignoring case. */
struct LessIgnoreCase
{
  bool operator()(std::string_view aLeft, std::string_view aRight) const
  {
    return std::lexicographical_compare(
      aLeft.begin(),
      aLeft.end(),
      aRight.begin(),
      aRight.end(),
      [](unsigned char aOne, unsigned char aOther) {
        return std::tolower(aOne) < std::tolower(aOther);
      });
  }
};

/** Ordered, because a head can list thousands of names and have thousands of
 * fields. */
using FieldNames = std::set<std::string_view, LessIgnoreCase>;

/** @return the field names listed in the Connection fields. */
FieldNames ParseConnectionOptions(const Headers& aHeaders)
{
  FieldNames names;
  for (const auto& [name, value] : aHeaders) {
    if (!EqualsIgnoreCase(name, "connection")) {
      continue;
    }
    std::string_view rest = value;
    while (!rest.empty()) {
      const auto comma = std::min(rest.find(','), rest.size());
      names.insert(Trim(rest.substr(0, comma)));
      rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
  }
  return names;
}

int HexDigit(char aChar) noexcept
{
  if (aChar >= '0' && aChar <= '9') {
    return aChar - '0';
  }
  const int lower = std::tolower(static_cast<unsigned char>(aChar));
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string DecodePercent(std::string_view aText)
{
  constexpr int kHexBase = 16;
  std::string decoded;
  for (std::size_t index = 0; index < aText.size(); ++index) {
    if (aText[index] == '%' && index + 2 < aText.size() &&
        HexDigit(aText[index + 1]) >= 0 && HexDigit(aText[index + 2]) >= 0) {
      decoded += static_cast<char>(HexDigit(aText[index + 1]) * kHexBase +
                                   HexDigit(aText[index + 2]));
      index += 2;
    } else {
      decoded += aText[index];
    }
  }
  return decoded;
}

void AppendHeaderFields(const Headers& aHeaders, std::string& aText)
{
  for (const auto& [name, value] : aHeaders) {
    aText += name;
    aText += ": ";
    aText += value;
    aText += "\r\n";
  }
}

} // namespace internal

bool EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight) noexcept
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](unsigned char aOne, unsigned char aOther) {
                      return std::tolower(aOne) == std::tolower(aOther);
                    });
}

std::optional<std::string_view> Headers::Find(
  std::string_view aName) const noexcept
{
  for (const auto& [name, value] : m_fields) {
    if (EqualsIgnoreCase(name, aName)) {
      return value;
    }
  }
  return std::nullopt;
}

std::size_t Headers::Count(std::string_view aName) const noexcept
{
  return static_cast<std::size_t>(
    std::count_if(m_fields.begin(), m_fields.end(), [&](const Field& aField) {
      return EqualsIgnoreCase(aField.first, aName);
    }));
}

void Headers::Add(std::string aName, std::string aValue)
{
  m_fields.emplace_back(std::move(aName), std::move(aValue));
}

void Headers::Set(std::string_view aName, std::string aValue)
{
  Remove(aName);
  Add(std::string(aName), std::move(aValue));
}

void Headers::Remove(std::string_view aName)
{
  std::erase_if(m_fields, [&](const Field& aField) {
    return EqualsIgnoreCase(aField.first, aName);
  });
}

const std::string& Request::Body() const noexcept
{
  return m_sharedBody.size() > 0 ? m_sharedBody.Get() : m_body;
}

std::string_view Request::Path() const noexcept
{
  return std::string_view(m_target).substr(0, m_target.find('?'));
}

std::optional<std::string> Request::Query(std::string_view aName) const
{
  const auto start = m_target.find('?');
  if (start == std::string::npos) {
    return std::nullopt;
  }
  std::string_view rest = std::string_view(m_target).substr(start + 1);
  while (!rest.empty()) {
    const auto end = std::min(rest.find('&'), rest.size());
    const auto parameter = rest.substr(0, end);
    const auto equals = std::min(parameter.find('='), parameter.size());
    if (parameter.substr(0, equals) == aName) {
      return internal::DecodePercent(
        parameter.substr(std::min(equals + 1, parameter.size())));
    }
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return std::nullopt;
}

Headers EndToEndHeaders(const Headers& aHeaders)
{
  const auto listed = internal::ParseConnectionOptions(aHeaders);
  const auto isHopByHop = [](std::string_view aName) {
    return std::any_of(
      internal::kHopByHop.begin(),
      internal::kHopByHop.end(),
      [&](std::string_view aOther) { return EqualsIgnoreCase(aName, aOther); });
  };
  Headers kept;
  for (const auto& [name, value] : aHeaders) {
    if (!isHopByHop(name) && !listed.contains(name)) {
      kept.Add(name, value);
    }
  }
  return kept;
}

StatusKind KindOf(int aStatus) noexcept
{
  constexpr int kFirstInterim = 100;
  constexpr int kSwitchingProtocols = 101;
  constexpr int kFirstFinal = 200;
  constexpr int kLastFinal = 599;
  if (aStatus < kFirstInterim || aStatus > kLastFinal ||
      aStatus == kSwitchingProtocols) {
    return StatusKind::Invalid;
  }
  return aStatus < kFirstFinal ? StatusKind::Interim : StatusKind::Final;
}

std::string_view ReasonPhrase(int aStatus) noexcept
{
  // NOLINTBEGIN(readability-magic-numbers)
  switch (aStatus) {
    case 100:
      return "Continue";
    case 200:
      return "OK";
    case 202:
      return "Accepted";
    case 204:
      return "No Content";
    case 307:
      return "Temporary Redirect";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 421:
      return "Misdirected Request";
    case 422:
      return "Unprocessable Content";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
  // NOLINTEND(readability-magic-numbers)
}

std::string SerialiseHead(const Request& aRequest)
{
  const std::size_t bodyBytes = aRequest.Body().size();
  std::string text =
    aRequest.m_method + " " + aRequest.m_target + " HTTP/1.1\r\n";
  internal::AppendHeaderFields(aRequest.m_headers, text);
  if (bodyBytes > 0 || aRequest.m_method == "POST" ||
      aRequest.m_method == "PUT") {
    text += "Content-Length: " + std::to_string(bodyBytes) + "\r\n";
  }
  text += "\r\n";
  return text;
}

std::string Serialise(const Request& aRequest)
{
  return SerialiseHead(aRequest) + aRequest.Body();
}

std::string Serialise(const Response& aResponse, bool aClose)
{
  constexpr int kNoContent = 204;
  std::string text = "HTTP/1.1 " + std::to_string(aResponse.m_status) + " ";
  text += ReasonPhrase(aResponse.m_status);
  text += "\r\n";
  internal::AppendHeaderFields(aResponse.m_headers, text);
  if (aResponse.m_status != kNoContent) {
    text +=
      "Content-Length: " + std::to_string(aResponse.m_body.size()) + "\r\n";
  }
  if (aClose) {
    text += "Connection: close\r\n";
  }
  text += "\r\n";
  text += aResponse.m_body;
  return text;
}

} // namespace auburntrestle::http
