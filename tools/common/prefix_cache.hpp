#ifndef AUBURNTRESTLE_TOOLS_COMMON_PREFIX_CACHE_HPP
#define AUBURNTRESTLE_TOOLS_COMMON_PREFIX_CACHE_HPP

#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace auburntrestle::tools {

/** A change of the prefix cache, as engines publish it. */
struct CacheEvent
{
  bool m_stored = false;
  std::uint64_t m_prefixHash = 0;
  std::uint64_t m_tokens = 0;
};

/**
 * Least-recently-used cache of prompt prefixes in blocks of equal size. A
 * block is identified by the hash of the whole prompt up to its end, so that
 * equal prefixes of different prompts share blocks.
 */
class PrefixCache
{
public:
  static constexpr std::uint64_t kBlockTokens = 16;

  /** @param aLimit memory of the cache in tokens; 0 turns it off. */
  explicit PrefixCache(std::uint64_t aLimit)
    : m_blockLimit(aLimit / kBlockTokens)
  {
  }

  /** @return hashes of the complete blocks of a prompt, in order. */
  [[nodiscard]] static std::vector<std::uint64_t> BlocksOf(
    std::string_view aPrompt);

  /**
   * Looks up a prompt and stores its missing blocks.
   *
   * @param aEvents receives an event for each block stored or evicted.
   * @return the number of leading tokens that were cached before the call.
   */
  std::uint64_t LookUpAndStore(std::string_view aPrompt,
                               std::vector<CacheEvent>& aEvents);

  /** @return the number of cached tokens. */
  [[nodiscard]] std::uint64_t Size() const noexcept
  {
    return m_order.size() * kBlockTokens;
  }

private:
  void Store(std::uint64_t aHash,
             std::uint64_t aTokens,
             std::vector<CacheEvent>& aEvents);

  struct Block
  {
    std::uint64_t m_hash;
    std::uint64_t m_tokens;
  };

  std::size_t m_blockLimit;
  /** Most recently used block first. */
  std::list<Block> m_order;
  std::unordered_map<std::uint64_t, std::list<Block>::iterator> m_blocks;
};

} // namespace auburntrestle::tools

#endif
