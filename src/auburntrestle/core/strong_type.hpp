#ifndef AUBURNTRESTLE_CORE_STRONG_TYPE_HPP
#define AUBURNTRESTLE_CORE_STRONG_TYPE_HPP

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <type_traits>
#include <utility>

namespace auburntrestle {

/**
 * A value with a type of its own for what it identifies or counts, so that
 * values of different meaning cannot be confused.
 *
 * @tparam Tag distinguishes one strong type from another.
 * @tparam Value the underlying type.
 */
template<typename Tag, typename Value>
class StrongType
{
public:
  using value_type = Value;

  constexpr StrongType() = default;
  constexpr explicit StrongType(Value aValue) noexcept(
    std::is_nothrow_move_constructible_v<Value>)
    : m_value(std::move(aValue))
  {
  }

  /** @return the underlying value. */
  [[nodiscard]] constexpr const Value& Get() const noexcept { return m_value; }

  // clang-tidy mistakes the 0 in rewritten comparisons for a null pointer.
  // NOLINTBEGIN(modernize-use-nullptr)
  friend constexpr auto operator<=>(const StrongType&,
                                    const StrongType&) = default;
  // NOLINTEND(modernize-use-nullptr)
  friend constexpr bool operator==(const StrongType&,
                                   const StrongType&) = default;

  /** @return the next value; integers only. */
  [[nodiscard]] constexpr StrongType Next()
    const noexcept requires std::is_integral_v<Value>
  {
    return StrongType(m_value + 1);
  }

  friend std::ostream& operator<<(std::ostream& aStream,
                                  const StrongType& aValue)
  {
    return aStream << aValue.m_value;
  }

private:
  Value m_value{};
};

} // namespace auburntrestle

template<typename Tag, typename Value>
struct std::hash<auburntrestle::StrongType<Tag, Value>>
{
  std::size_t operator()(
    const auburntrestle::StrongType<Tag, Value>& aValue) const noexcept
  {
    return std::hash<Value>{}(aValue.Get());
  }
};

#endif
