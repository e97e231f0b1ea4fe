#ifndef AUBURNTRESTLE_PROTOCOL_PACK_HPP
#define AUBURNTRESTLE_PROTOCOL_PACK_HPP

#include "auburntrestle/core/strong_type.hpp"
#include "auburntrestle/protocol/error.hpp"

#include <chrono>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace auburntrestle::protocol {

/**
 * Matches a type and its const version, so that one Fields function both writes
 * and reads a type:
 *
 *   void Fields(auto& aArchive, MaybeConst<Vote> auto& aVote)
 *   {
 *     aArchive(aVote.term, aVote.candidate);
 *   }
 *
 * with Fields in namespace auburntrestle::protocol.
 */
template<typename Given, typename Wanted>
concept MaybeConst = std::same_as<std::remove_const_t<Given>, Wanted>;

/**
 * The last value of an enumeration whose values are 0, 1, ... without gaps.
 * Specialise it for every enumeration that is sent:
 *
 *   template<> inline constexpr Colour kLastValue<Colour> = Colour::Blue;
 */
template<typename Enum>
inline constexpr Enum kLastValue = Enum::ThisEnumHasNoSpecialisationOfLastValue;

/**
 * A field that was added to the end of a type which older processes have stored
 * or still send. It is absent in what they wrote and then keeps its value. All
 * other fields come before it:
 *
 *   aArchive(aVote.term, aVote.candidate, Appended{ aVote.reason });
 */
template<typename Type>
struct Appended
{
  Type& m_value;
};
template<typename Type>
Appended(Type&) -> Appended<Type>;

namespace internal {

template<typename Type>
inline constexpr bool kIsAppended = false;
template<typename Type>
inline constexpr bool kIsAppended<Appended<Type>> = true;
template<typename Type>
inline constexpr bool kIsStrong = false;
template<typename Tag, typename Value>
inline constexpr bool kIsStrong<StrongType<Tag, Value>> = true;
template<typename Type>
inline constexpr bool kIsDuration = false;
template<typename Rep, typename Period>
inline constexpr bool kIsDuration<std::chrono::duration<Rep, Period>> = true;
template<typename Type>
inline constexpr bool kIsOptional = false;
template<typename Value>
inline constexpr bool kIsOptional<std::optional<Value>> = true;
template<typename Type>
inline constexpr bool kIsVector = false;
template<typename Value>
inline constexpr bool kIsVector<std::vector<Value>> = true;
template<typename Type>
inline constexpr bool kIsMap = false;
template<typename Key, typename Value>
inline constexpr bool kIsMap<std::map<Key, Value>> = true;
template<typename Type>
inline constexpr bool kIsVariant = false;
template<typename... Types>
inline constexpr bool kIsVariant<std::variant<Types...>> = true;

} // namespace internal

/**
 * Writes values as MessagePack. Supported are bool, integers, floating point,
 * strings, enumerations, strong types, durations, optional, vector, map,
 * variant, and every type with a Fields function.
 */
class Writer
{
public:
  Writer() = default;
  /** @param aPrefix bytes before the written ones. */
  explicit Writer(std::string aPrefix)
    : m_bytes(std::move(aPrefix))
  {
  }

  /** Writes the values as one array; called by Fields functions. */
  template<typename... Values>
  void operator()(const Values&... aValues)
  {
    WriteArrayHeader(sizeof...(aValues));
    (Write(aValues), ...);
  }

  /** Writes one value. */
  template<typename Type>
  void Write(const Type& aValue);

  /** Allocates space for further bytes at once, because growing a large buffer
   * needs memory for two of them. */
  void Reserve(std::size_t aBytes) { m_bytes.reserve(m_bytes.size() + aBytes); }

  /** Moves the bytes written so far out of the writer. */
  [[nodiscard]] std::string ExtractBytes() { return std::move(m_bytes); }

  void WriteBool(bool aValue);
  void WriteUnsigned(std::uint64_t aValue);
  void WriteSigned(std::int64_t aValue);
  void WriteDouble(double aValue);
  void WriteString(std::string_view aValue);
  void WriteNil();
  void WriteArrayHeader(std::size_t aCount);

private:
  std::string m_bytes;
};

/**
 * Reads values written by a Writer. The first failure is kept and later reads
 * return default values, so that a codec needs to check Result() only once.
 */
class Reader
{
public:
  /** @param aBytes must outlive the reader. */
  explicit Reader(std::string_view aBytes);
  Reader(const Reader&) = delete;
  Reader& operator=(const Reader&) = delete;
  ~Reader();

  /**
   * Reads the values from one array. An array with more elements is accepted,
   * since a newer version may append fields; one with fewer is accepted only if
   * the missing ones are Appended.
   */
  template<typename... Values>
  void operator()(Values&&... aValues)
  {
    constexpr std::size_t kRequired =
      (std::size_t{ !internal::kIsAppended<std::remove_cvref_t<Values>> } +
       ... + 0);
    EnterArray(kRequired);
    (Read(aValues), ...);
    LeaveArray();
  }

  /** Reads one value. */
  template<typename Type>
  void Read(Type& aValue);

  /** @return success, or the first failure. */
  [[nodiscard]] Expected<void> Result() const;
  [[nodiscard]] bool HasFailed() const noexcept;
  /** Records a failure found by a codec, such as a value out of range. */
  void SetFailure(std::string aDetail);

  [[nodiscard]] bool ReadBool();
  /** @param aMax maximum; a larger value is a failure. */
  [[nodiscard]] std::uint64_t ReadUnsigned(std::uint64_t aMax);
  [[nodiscard]] std::int64_t ReadSigned(std::int64_t aMin, std::int64_t aMax);
  [[nodiscard]] double ReadDouble();
  [[nodiscard]] std::string ReadString();
  /** @return whether the current array has further elements. */
  [[nodiscard]] bool HasMoreElements() const noexcept;
  /** Skips the next value if it is nil. @return whether it was nil. */
  [[nodiscard]] bool SkipNil();
  /** Starts reading an array. @return its length; 0 after a failure. */
  std::size_t EnterArray(std::size_t aMinCount);
  /** Ends reading an array; elements that were not read are skipped. */
  void LeaveArray();

private:
  template<typename Variant, std::size_t... Indices>
  void ReadAlternative(Variant& aValue,
                       std::size_t aIndex,
                       std::index_sequence<Indices...>);

  struct State;
  std::unique_ptr<State> m_state;
};

template<typename Type>
void Writer::Write(const Type& aValue)
{
  if constexpr (internal::kIsAppended<Type>) {
    Write(aValue.m_value);
  } else if constexpr (std::same_as<Type, bool>) {
    WriteBool(aValue);
  } else if constexpr (std::unsigned_integral<Type>) {
    WriteUnsigned(aValue);
  } else if constexpr (std::signed_integral<Type>) {
    WriteSigned(aValue);
  } else if constexpr (std::floating_point<Type>) {
    WriteDouble(aValue);
  } else if constexpr (std::convertible_to<Type, std::string_view>) {
    WriteString(aValue);
  } else if constexpr (std::is_enum_v<Type>) {
    WriteUnsigned(static_cast<std::uint64_t>(aValue));
  } else if constexpr (internal::kIsStrong<Type>) {
    Write(aValue.Get());
  } else if constexpr (internal::kIsDuration<Type>) {
    WriteSigned(aValue.count());
  } else if constexpr (internal::kIsOptional<Type>) {
    if (aValue.has_value()) {
      Write(*aValue);
    } else {
      WriteNil();
    }
  } else if constexpr (internal::kIsVector<Type>) {
    WriteArrayHeader(aValue.size());
    for (const auto& element : aValue) {
      Write(element);
    }
  } else if constexpr (internal::kIsMap<Type>) {
    WriteArrayHeader(aValue.size());
    for (const auto& [key, value] : aValue) {
      (*this)(key, value);
    }
  } else if constexpr (internal::kIsVariant<Type>) {
    std::visit(
      [this, &aValue](const auto& aBody) { (*this)(aValue.index(), aBody); },
      aValue);
  } else {
    Fields(*this, aValue);
  }
}

template<typename Type>
void Reader::Read(Type& aValue)
{
  if constexpr (internal::kIsAppended<Type>) {
    if (HasMoreElements()) {
      Read(aValue.m_value);
    }
  } else if constexpr (std::same_as<Type, bool>) {
    aValue = ReadBool();
  } else if constexpr (std::unsigned_integral<Type>) {
    aValue = static_cast<Type>(ReadUnsigned(std::numeric_limits<Type>::max()));
  } else if constexpr (std::signed_integral<Type>) {
    aValue = static_cast<Type>(ReadSigned(std::numeric_limits<Type>::min(),
                                          std::numeric_limits<Type>::max()));
  } else if constexpr (std::floating_point<Type>) {
    aValue = static_cast<Type>(ReadDouble());
  } else if constexpr (std::same_as<Type, std::string>) {
    aValue = ReadString();
  } else if constexpr (std::is_enum_v<Type>) {
    aValue = static_cast<Type>(
      ReadUnsigned(static_cast<std::uint64_t>(kLastValue<Type>)));
  } else if constexpr (internal::kIsStrong<Type>) {
    typename Type::value_type value{};
    Read(value);
    aValue = Type(std::move(value));
  } else if constexpr (internal::kIsDuration<Type>) {
    typename Type::rep count{};
    Read(count);
    aValue = Type(count);
  } else if constexpr (internal::kIsOptional<Type>) {
    aValue.reset();
    if (!SkipNil()) {
      Read(aValue.emplace());
    }
  } else if constexpr (internal::kIsVector<Type>) {
    aValue.clear();
    const std::size_t count = EnterArray(0);
    for (std::size_t index = 0; index < count && !HasFailed(); ++index) {
      typename Type::value_type element{};
      Read(element);
      aValue.push_back(std::move(element));
    }
    LeaveArray();
  } else if constexpr (internal::kIsMap<Type>) {
    aValue.clear();
    const std::size_t count = EnterArray(0);
    for (std::size_t index = 0; index < count && !HasFailed(); ++index) {
      typename Type::key_type key{};
      typename Type::mapped_type value{};
      (*this)(key, value);
      aValue.insert_or_assign(std::move(key), std::move(value));
    }
    LeaveArray();
  } else if constexpr (internal::kIsVariant<Type>) {
    constexpr std::size_t kCount = std::variant_size_v<Type>;
    EnterArray(2);
    const std::size_t index = ReadUnsigned(kCount - 1);
    ReadAlternative(aValue, index, std::make_index_sequence<kCount>());
    LeaveArray();
  } else {
    Fields(*this, aValue);
  }
}

template<typename Variant, std::size_t... Indices>
void Reader::ReadAlternative(Variant& aValue,
                             std::size_t aIndex,
                             std::index_sequence<Indices...>)
{
  ((aIndex == Indices ? Read(aValue.template emplace<Indices>()) : void()),
   ...);
}

/** @return the value as MessagePack. */
template<typename Type>
[[nodiscard]] std::string Pack(const Type& aValue)
{
  Writer writer;
  writer.Write(aValue);
  return writer.ExtractBytes();
}

/** @return the value read from MessagePack, or Malformed. */
template<typename Type>
[[nodiscard]] Expected<Type> Unpack(std::string_view aBytes)
{
  Reader reader(aBytes);
  Type value{};
  reader.Read(value);
  if (auto result = reader.Result(); !result) {
    return tl::unexpected(std::move(result).error());
  }
  return value;
}

} // namespace auburntrestle::protocol

#endif
