#ifndef AUBURNTRESTLE_CORE_RANDOM_HPP
#define AUBURNTRESTLE_CORE_RANDOM_HPP

#include <cstdint>
#include <random>

namespace auburntrestle {

/** A seeded random generator; equal seeds give equal sequences. */
class RandomSource
{
public:
  explicit RandomSource(std::uint64_t aSeed)
    : m_engine(aSeed)
  {
  }

  /** @return a uniform integer in [0, aBound); aBound must be above zero. */
  [[nodiscard]] std::uint64_t Below(std::uint64_t aBound)
  {
    return std::uniform_int_distribution<std::uint64_t>(0,
                                                        aBound - 1)(m_engine);
  }

  /** @return a uniform number in [0, 1). */
  [[nodiscard]] double Unit()
  {
    return std::uniform_real_distribution<double>(0.0, 1.0)(m_engine);
  }

  /** @return true with the given probability. */
  [[nodiscard]] bool Chance(double aProbability)
  {
    return Unit() < aProbability;
  }

private:
  std::mt19937_64 m_engine;
};

} // namespace auburntrestle

#endif
