#ifndef AUBURNTRESTLE_OPERATOR_CLIENT_TABLE_HPP
#define AUBURNTRESTLE_OPERATOR_CLIENT_TABLE_HPP

#include <string>
#include <string_view>
#include <vector>

namespace auburntrestle::operator_client {

/**
 * Replaces control characters by '?'. Callers' names come from request headers
 * and must not send escape sequences to the operator's terminal.
 */
[[nodiscard]] std::string PrintableText(std::string_view aText);

/** A text table whose columns are aligned by spaces. */
class Table
{
public:
  /** @param aHeader the column titles; empty for a table without a header. */
  explicit Table(std::vector<std::string> aHeader);

  /** Appends a row; missing cells are empty. */
  void AddRow(std::vector<std::string> aCells);

  /** @return the table; every line ends with a newline. */
  [[nodiscard]] std::string Render() const;

private:
  std::vector<std::vector<std::string>> m_rows;
};

} // namespace auburntrestle::operator_client

#endif
