#ifndef AUBURNTRESTLE_HTTP_INTERNAL_HEAD_SCANNER_HPP
#define AUBURNTRESTLE_HTTP_INTERNAL_HEAD_SCANNER_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace auburntrestle::http::internal {

/**
 * Checks that each line of a head after the first one begins with the name of a
 * field and a colon. A line that begins with a blank, which continued the line
 * before in earlier versions of the protocol, is no field either.
 */
class HeadScanner
{
public:
  /**
   * Scans the next bytes of a head; the head after it may follow.
   * @return the number of bytes up to the end of the head, all of them if it
   * does not end in them, or nothing if a line is no field.
   */
  [[nodiscard]] std::optional<std::size_t> Scan(std::string_view aBytes);

private:
  enum class Position : std::uint8_t
  {
    /** Before a head, where empty lines are skipped. */
    Start,
    FirstLine,
    LineStart,
    Name,
    Value,
    /** After a carriage return, which only a line feed may follow. */
    LineEnd,
    /** After a carriage return that began a line. */
    EmptyLine,
    /** After the empty line. */
    End,
    Invalid,
  };

  /** @return the position after a byte. */
  [[nodiscard]] Position Next(char aByte) const noexcept;

  Position m_position = Position::Start;
};

} // namespace auburntrestle::http::internal

#endif
