#include "auburntrestle/http/internal/head_scanner.hpp"

#include "auburntrestle/http/field_name.hpp"

namespace auburntrestle::http::internal {

std::optional<std::size_t> HeadScanner::Scan(std::string_view aBytes)
{
  for (std::size_t index = 0; index < aBytes.size(); ++index) {
    m_position = Next(aBytes[index]);
    if (m_position == Position::Invalid) {
      return std::nullopt;
    }
    if (m_position == Position::End) {
      m_position = Position::Start;
      return index + 1;
    }
  }
  return aBytes.size();
}

HeadScanner::Position HeadScanner::Next(char aByte) const noexcept
{
  const bool isReturn = aByte == '\r';
  const bool endsLine = aByte == '\n';
  switch (m_position) {
    case Position::Start:
      return isReturn || endsLine ? Position::Start : Position::FirstLine;
    case Position::FirstLine:
    case Position::Value:
      if (endsLine) {
        return Position::LineStart;
      }
      return isReturn ? Position::LineEnd : m_position;
    case Position::LineStart:
      if (endsLine) {
        return Position::End;
      }
      if (isReturn) {
        return Position::EmptyLine;
      }
      return IsFieldNameByte(aByte) ? Position::Name : Position::Invalid;
    case Position::Name:
      if (aByte == ':') {
        return Position::Value;
      }
      return IsFieldNameByte(aByte) ? Position::Name : Position::Invalid;
    case Position::LineEnd:
      return endsLine ? Position::LineStart : Position::Invalid;
    case Position::EmptyLine:
      return endsLine ? Position::End : Position::Invalid;
    case Position::End:
    case Position::Invalid:
      break;
  }
  return Position::Invalid;
}

} // namespace auburntrestle::http::internal
