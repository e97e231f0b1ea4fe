#include "common/prefix_cache.hpp"

#include <xxhash.h>

namespace auburntrestle::tools {

std::vector<std::uint64_t> PrefixCache::BlocksOf(std::string_view aPrompt)
{
  constexpr std::size_t kBlockBytes = kBlockTokens * 4;
  std::vector<std::uint64_t> result;
  std::uint64_t hash = 0;
  for (std::size_t start = 0; start + kBlockBytes <= aPrompt.size();
       start += kBlockBytes) {
    hash = XXH64(aPrompt.data() + start, kBlockBytes, hash);
    result.push_back(hash);
  }
  return result;
}

std::uint64_t PrefixCache::LookUpAndStore(std::string_view aPrompt,
                                          std::vector<CacheEvent>& aEvents)
{
  if (m_blockLimit == 0) {
    return 0;
  }
  std::uint64_t cached = 0;
  std::uint64_t tokens = 0;
  for (const auto hash : BlocksOf(aPrompt)) {
    const bool leading = cached == tokens;
    tokens += kBlockTokens;
    const auto found = m_blocks.find(hash);
    if (found == m_blocks.end()) {
      Store(hash, tokens, aEvents);
      continue;
    }
    m_order.splice(m_order.begin(), m_order, found->second);
    if (leading) {
      cached = tokens;
    }
  }
  return cached;
}

void PrefixCache::Store(std::uint64_t aHash,
                        std::uint64_t aTokens,
                        std::vector<CacheEvent>& aEvents)
{
  if (m_order.size() >= m_blockLimit) {
    const Block& oldest = m_order.back();
    aEvents.push_back({ false, oldest.m_hash, oldest.m_tokens });
    m_blocks.erase(oldest.m_hash);
    m_order.pop_back();
  }
  m_order.push_front({ aHash, aTokens });
  m_blocks[aHash] = m_order.begin();
  aEvents.push_back({ true, aHash, aTokens });
}

} // namespace auburntrestle::tools
