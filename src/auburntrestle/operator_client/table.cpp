#include "auburntrestle/operator_client/table.hpp"

#include <algorithm>
#include <utility>

namespace auburntrestle::operator_client {

namespace internal {

/** @return the number of code points of a UTF-8 text. */
std::size_t GetWidth(std::string_view aText)
{
  return static_cast<std::size_t>(
    std::count_if(aText.begin(), aText.end(), [](unsigned char aByte) {
      return (aByte & 0xC0U) != 0x80U;
    }));
}

} // namespace internal

std::string PrintableText(std::string_view aText)
{
  std::string text(aText);
  std::replace_if(
    text.begin(),
    text.end(),
    [](unsigned char aByte) { return aByte < 0x20U || aByte == 0x7FU; },
    '?');
  return text;
}

Table::Table(std::vector<std::string> aHeader)
{
  if (!aHeader.empty()) {
    AddRow(std::move(aHeader));
  }
}

void Table::AddRow(std::vector<std::string> aCells)
{
  for (std::string& cell : aCells) {
    cell = PrintableText(cell);
  }
  m_rows.push_back(std::move(aCells));
}

std::string Table::Render() const
{
  constexpr std::size_t kColumnGap = 2;
  std::vector<std::size_t> widths;
  for (const auto& row : m_rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t column = 0; column < row.size(); ++column) {
      widths[column] =
        std::max(widths[column], internal::GetWidth(row[column]));
    }
  }
  std::string text;
  for (const auto& row : m_rows) {
    for (std::size_t column = 0; column < row.size(); ++column) {
      text += row[column];
      if (column + 1 < row.size()) {
        text.append(
          widths[column] - internal::GetWidth(row[column]) + kColumnGap, ' ');
      }
    }
    text += '\n';
  }
  return text;
}

} // namespace auburntrestle::operator_client
