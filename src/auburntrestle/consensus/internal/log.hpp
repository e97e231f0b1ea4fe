#ifndef AUBURNTRESTLE_CONSENSUS_INTERNAL_LOG_HPP
#define AUBURNTRESTLE_CONSENSUS_INTERNAL_LOG_HPP

#include "auburntrestle/consensus/types.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace auburntrestle::consensus::internal {

/** The log entries of a member in memory that follow a base position. */
class Log
{
public:
  Log() = default;
  /** @param aBase the position of the entry before the first entry held. */
  explicit Log(LogPosition aBase)
    : m_base(aBase)
  {
  }

  /** @return the position of the entry before the first entry held. */
  [[nodiscard]] LogPosition Base() const noexcept { return m_base; }
  /** @return the position of the last entry, or the base if empty. */
  [[nodiscard]] LogPosition Last() const noexcept;
  /** @return the term at an index, if it is the base or held. */
  [[nodiscard]] std::optional<Term> TermAt(LogIndex aIndex) const noexcept;
  /** @return the entry at an index, or null if it is not held. */
  [[nodiscard]] const Entry* At(LogIndex aIndex) const noexcept;
  /** @return whether the entry at a position is held or is the base. */
  [[nodiscard]] bool Contains(LogPosition aPosition) const noexcept;

  /**
   * @return the entries from an index on whose total size is within aMaxBytes,
   * but at least one if there is one.
   */
  [[nodiscard]] std::vector<Entry> Slice(LogIndex aFrom,
                                         std::size_t aMaxBytes) const;

  /**
   * @return the index after which the entries up to aLast are at most aEntries
   * entries with at most aBytes bytes; the base at the least.
   */
  [[nodiscard]] LogIndex StartOfTrailing(LogIndex aLast,
                                         std::size_t aEntries,
                                         std::size_t aBytes) const noexcept;

  /** Appends entries; replaces existing ones from their first index on. */
  void Append(std::span<const Entry> aEntries);
  /** Erases entries up to an index, which must be held or be the base. */
  void EraseUpTo(LogIndex aIndex);

  /**
   * @return the highest index up to `aFrom` whose term is at most `aTerm`, but
   * not less than the base.
   */
  [[nodiscard]] LogIndex LastIndexWithTermUpTo(LogIndex aFrom,
                                               Term aTerm) const noexcept;

private:
  LogPosition m_base;
  std::deque<Entry> m_entries;
};

} // namespace auburntrestle::consensus::internal

#endif
