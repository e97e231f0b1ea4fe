#ifndef AUBURNTRESTLE_HTTP_MESSAGE_HPP
#define AUBURNTRESTLE_HTTP_MESSAGE_HPP

#include "auburntrestle/core/shared_bytes.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace auburntrestle::http {

/** @return whether two strings are equal, ignoring case. */
[[nodiscard]] bool EqualsIgnoreCase(std::string_view aLeft,
                                    std::string_view aRight) noexcept;

/** Header fields in the order in which they were received or added. */
class Headers
{
public:
  using Field = std::pair<std::string, std::string>;

  /** @return the value of the first field with the name, or nothing. */
  [[nodiscard]] std::optional<std::string_view> Find(
    std::string_view aName) const noexcept;
  /** @return the number of fields with the name. */
  [[nodiscard]] std::size_t Count(std::string_view aName) const noexcept;
  /** Appends a field. */
  void Add(std::string aName, std::string aValue);
  /** Replaces all fields with the name by one. */
  void Set(std::string_view aName, std::string aValue);
  /** Removes all fields with the name. */
  void Remove(std::string_view aName);

  [[nodiscard]] auto begin() const noexcept { return m_fields.begin(); }
  [[nodiscard]] auto end() const noexcept { return m_fields.end(); }
  [[nodiscard]] std::size_t size() const noexcept { return m_fields.size(); }

private:
  std::vector<Field> m_fields;
};

/** A complete request. */
struct Request
{
  std::string m_method;
  /** Path and query as received. */
  std::string m_target;
  Headers m_headers;
  std::string m_body;
  /** A body that several requests share, so that it is in memory once. m_body
   * is empty if it is used. */
  SharedBytes m_sharedBody = {};

  /** @return m_sharedBody if it is used, otherwise m_body. */
  [[nodiscard]] const std::string& Body() const noexcept;
  /** @return the target without its query. */
  [[nodiscard]] std::string_view Path() const noexcept;
  /** @return the decoded value of a query parameter, or nothing. */
  [[nodiscard]] std::optional<std::string> Query(std::string_view aName) const;
};

/** A complete response. */
struct Response
{
  int m_status = 200;
  Headers m_headers;
  std::string m_body;
};

/**
 * @return the end-to-end fields: all but the hop-by-hop fields of RFC 9110, the
 * fields listed in a Connection field, and the framing fields, which are set
 * anew for each connection.
 */
[[nodiscard]] Headers EndToEndHeaders(const Headers& aHeaders);

/** What the status code of a response means for the call. */
enum class StatusKind : std::uint8_t
{
  /** The response precedes the final one and has no body. */
  Interim,
  Final,
  /** No response in the protocol, or one that was not asked for. */
  Invalid,
};

[[nodiscard]] StatusKind KindOf(int aStatus) noexcept;

/** @return the reason phrase of a status code. */
[[nodiscard]] std::string_view ReasonPhrase(int aStatus) noexcept;

/** @return the bytes of a request with Content-Length up to its body, for a
 * persistent connection. */
[[nodiscard]] std::string SerialiseHead(const Request& aRequest);

/** @return the bytes of a request with Content-Length, for a persistent
 * connection. */
[[nodiscard]] std::string Serialise(const Request& aRequest);

/**
 * @return the bytes of a response with Content-Length.
 * @param aClose whether the connection is closed after the response.
 */
[[nodiscard]] std::string Serialise(const Response& aResponse, bool aClose);

} // namespace auburntrestle::http

#endif
