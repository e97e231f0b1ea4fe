#include "auburntrestle/consensus/internal/log.hpp"

#include <algorithm>

namespace auburntrestle::consensus::internal {

LogPosition Log::Last() const noexcept
{
  if (m_entries.empty()) {
    return m_base;
  }
  return LogPosition{ m_entries.back().m_term, m_entries.back().m_index };
}

const Entry* Log::At(LogIndex aIndex) const noexcept
{
  if (aIndex <= m_base.m_index || aIndex > Last().m_index) {
    return nullptr;
  }
  return &m_entries[aIndex.Get() - m_base.m_index.Get() - 1];
}

std::optional<Term> Log::TermAt(LogIndex aIndex) const noexcept
{
  if (aIndex == m_base.m_index) {
    return m_base.m_term;
  }
  const Entry* entry = At(aIndex);
  return entry == nullptr ? std::nullopt : std::optional(entry->m_term);
}

bool Log::Contains(LogPosition aPosition) const noexcept
{
  return TermAt(aPosition.m_index) == aPosition.m_term;
}

std::vector<Entry> Log::Slice(LogIndex aFrom, std::size_t aMaxBytes) const
{
  std::vector<Entry> entries;
  std::size_t bytes = 0;
  for (LogIndex index = aFrom; index <= Last().m_index; index = index.Next()) {
    const Entry* entry = At(index);
    if (entry == nullptr) {
      break;
    }
    bytes += SizeOf(*entry);
    if (!entries.empty() && bytes > aMaxBytes) {
      break;
    }
    entries.push_back(*entry);
  }
  return entries;
}

LogIndex Log::StartOfTrailing(LogIndex aLast,
                              std::size_t aEntries,
                              std::size_t aBytes) const noexcept
{
  std::size_t bytes = 0;
  LogIndex start = aLast;
  for (std::size_t count = 0; count < aEntries; ++count) {
    const Entry* entry = At(start);
    if (entry == nullptr) {
      break;
    }
    bytes += SizeOf(*entry);
    if (bytes > aBytes) {
      break;
    }
    start = LogIndex(start.Get() - 1);
  }
  return start;
}

void Log::Append(std::span<const Entry> aEntries)
{
  if (aEntries.empty()) {
    return;
  }
  const std::size_t keep =
    aEntries.front().m_index.Get() - m_base.m_index.Get() - 1;
  m_entries.resize(std::min(keep, m_entries.size()));
  m_entries.insert(m_entries.end(), aEntries.begin(), aEntries.end());
}

void Log::EraseUpTo(LogIndex aIndex)
{
  const std::optional<Term> term = TermAt(aIndex);
  if (!term) {
    return;
  }
  const auto count =
    static_cast<std::ptrdiff_t>(aIndex.Get() - m_base.m_index.Get());
  m_entries.erase(m_entries.begin(), m_entries.begin() + count);
  m_base = LogPosition{ *term, aIndex };
}

LogIndex Log::LastIndexWithTermUpTo(LogIndex aFrom, Term aTerm) const noexcept
{
  LogIndex index = std::min(aFrom, Last().m_index);
  while (index > m_base.m_index && At(index)->m_term > aTerm) {
    index = LogIndex(index.Get() - 1);
  }
  return std::max(index, m_base.m_index);
}

} // namespace auburntrestle::consensus::internal
