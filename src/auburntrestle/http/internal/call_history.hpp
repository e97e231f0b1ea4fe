#ifndef AUBURNTRESTLE_HTTP_INTERNAL_CALL_HISTORY_HPP
#define AUBURNTRESTLE_HTTP_INTERNAL_CALL_HISTORY_HPP

#include "auburntrestle/http/client.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace auburntrestle::http::internal {

/**
 * The calls that a connection has carried, by their ids.
 *
 * A server in trouble may send a response a second time, at any later time. The
 * copy is recognised by its id, so a second call with the same id needs another
 * connection: there the copy would be taken for its response. A copy without an
 * id could belong to any call, so calls without an id have connections of their
 * own.
 */
class CallHistory
{
public:
  /** @return whether a copy of an earlier response could be taken for the
   * response to this call. */
  [[nodiscard]] bool IsAmbiguous(
    const std::optional<Correlation>& aCorrelation) const;

  /** Adds a call. */
  void Record(const std::optional<Correlation>& aCorrelation);

  /** @return whether the connection must carry no further call. */
  [[nodiscard]] bool IsFull() const noexcept { return m_ids.size() >= kMaxIds; }

  /** Bounds the memory of a connection; ids are never forgotten, since a copy
   * has no latest time. */
  static constexpr std::size_t kMaxIds = 512;

private:
  /** Hashes of the ids. Equal hashes of different ids only cost a further
   * connection. */
  std::vector<std::size_t> m_ids;
  bool m_hasCallsWithoutId = false;
};

} // namespace auburntrestle::http::internal

#endif
