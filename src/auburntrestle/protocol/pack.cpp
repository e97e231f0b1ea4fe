#include "auburntrestle/protocol/pack.hpp"

#include <msgpack.hpp>

#include <algorithm>

namespace auburntrestle::protocol {

namespace internal {

// The unpacker allocates memory for the element count in an array header, 24
// bytes per element, at each nesting level. The two limits keep that below 25
// MB for any input.
constexpr std::size_t kMaxElements = 65536;
constexpr std::size_t kMaxDepth = 16;

class StringSink
{
public:
  explicit StringSink(std::string& aBytes)
    : m_bytes(aBytes)
  {
  }
  // NOLINTNEXTLINE(readability-identifier-naming): name set by msgpack.
  void write(const char* aData, std::size_t aLength)
  {
    m_bytes.append(aData, aLength);
  }

private:
  std::string& m_bytes;
};

msgpack::packer<StringSink> MakePacker(StringSink& aSink)
{
  return msgpack::packer<StringSink>(aSink);
}

/** The unread elements of an array that is being read. */
struct Level
{
  const msgpack::object* m_next;
  const msgpack::object* m_end;
};

} // namespace internal

void Writer::WriteBool(bool aValue)
{
  internal::StringSink sink(m_bytes);
  internal::MakePacker(sink).pack(aValue);
}

void Writer::WriteUnsigned(std::uint64_t aValue)
{
  internal::StringSink sink(m_bytes);
  internal::MakePacker(sink).pack(aValue);
}

void Writer::WriteSigned(std::int64_t aValue)
{
  internal::StringSink sink(m_bytes);
  internal::MakePacker(sink).pack(aValue);
}

void Writer::WriteDouble(double aValue)
{
  internal::StringSink sink(m_bytes);
  internal::MakePacker(sink).pack(aValue);
}

void Writer::WriteString(std::string_view aValue)
{
  internal::StringSink sink(m_bytes);
  auto packer = internal::MakePacker(sink);
  packer.pack_str(static_cast<std::uint32_t>(aValue.size()));
  packer.pack_str_body(aValue.data(),
                       static_cast<std::uint32_t>(aValue.size()));
}

void Writer::WriteNil()
{
  internal::StringSink sink(m_bytes);
  internal::MakePacker(sink).pack_nil();
}

void Writer::WriteArrayHeader(std::size_t aCount)
{
  internal::StringSink sink(m_bytes);
  internal::MakePacker(sink).pack_array(static_cast<std::uint32_t>(aCount));
}

struct Reader::State
{
  msgpack::object_handle m_handle;
  std::vector<internal::Level> m_levels;
  std::optional<ProtocolError> m_failure;

  const msgpack::object* Next();
};

const msgpack::object* Reader::State::Next()
{
  if (m_failure.has_value()) {
    return nullptr;
  }
  internal::Level& level = m_levels.back();
  if (level.m_next == level.m_end) {
    m_failure =
      ProtocolError{ ProtocolErrorCode::Malformed, "missing element" };
    return nullptr;
  }
  return level.m_next++;
}

Reader::Reader(std::string_view aBytes)
  : m_state(std::make_unique<State>())
{
  const std::size_t elements =
    std::min(internal::kMaxElements, aBytes.size() + 1);
  const msgpack::unpack_limit limit(
    elements, 0, aBytes.size(), aBytes.size(), 0, internal::kMaxDepth);
  // Strings refer to the input until they are read, which copies them.
  const auto refer = [](msgpack::type::object_type, std::size_t, void*) {
    return true;
  };
  try {
    std::size_t offset = 0;
    m_state->m_handle = msgpack::unpack(
      aBytes.data(), aBytes.size(), offset, refer, nullptr, limit);
    if (offset != aBytes.size()) {
      SetFailure("bytes after the value");
    }
  } catch (const msgpack::size_overflow& overflow) {
    m_state->m_failure =
      ProtocolError{ ProtocolErrorCode::TooLarge, overflow.what() };
  } catch (const msgpack::unpack_error& failed) {
    SetFailure(failed.what());
  }
  const msgpack::object* top = &m_state->m_handle.get();
  m_state->m_levels.push_back({ top, top + 1 });
}

Reader::~Reader() = default;

Expected<void> Reader::Result() const
{
  if (m_state->m_failure.has_value()) {
    return tl::unexpected(*m_state->m_failure);
  }
  return {};
}

bool Reader::HasFailed() const noexcept
{
  return m_state->m_failure.has_value();
}

void Reader::SetFailure(std::string aDetail)
{
  if (!m_state->m_failure.has_value()) {
    m_state->m_failure =
      ProtocolError{ ProtocolErrorCode::Malformed, std::move(aDetail) };
  }
}

bool Reader::ReadBool()
{
  const msgpack::object* object = m_state->Next();
  if (object == nullptr) {
    return false;
  }
  if (object->type != msgpack::type::BOOLEAN) {
    SetFailure("expected a boolean");
    return false;
  }
  return object->via.boolean;
}

std::uint64_t Reader::ReadUnsigned(std::uint64_t aMax)
{
  const msgpack::object* object = m_state->Next();
  if (object == nullptr) {
    return 0;
  }
  if (object->type != msgpack::type::POSITIVE_INTEGER) {
    SetFailure("expected an unsigned integer");
    return 0;
  }
  if (object->via.u64 > aMax) {
    SetFailure("integer out of range");
    return 0;
  }
  return object->via.u64;
}

std::int64_t Reader::ReadSigned(std::int64_t aMin, std::int64_t aMax)
{
  const msgpack::object* object = m_state->Next();
  if (object == nullptr) {
    return 0;
  }
  if (object->type == msgpack::type::NEGATIVE_INTEGER) {
    if (object->via.i64 >= aMin) {
      return object->via.i64;
    }
  } else if (object->type == msgpack::type::POSITIVE_INTEGER) {
    if (object->via.u64 <= static_cast<std::uint64_t>(aMax)) {
      return static_cast<std::int64_t>(object->via.u64);
    }
  } else {
    SetFailure("expected an integer");
    return 0;
  }
  SetFailure("integer out of range");
  return 0;
}

double Reader::ReadDouble()
{
  const msgpack::object* object = m_state->Next();
  if (object == nullptr) {
    return 0.0;
  }
  // The library writes an integral number as an integer, which is shorter.
  switch (object->type) {
    case msgpack::type::FLOAT64:
    case msgpack::type::FLOAT32:
      return object->via.f64;
    case msgpack::type::POSITIVE_INTEGER:
      return static_cast<double>(object->via.u64);
    case msgpack::type::NEGATIVE_INTEGER:
      return static_cast<double>(object->via.i64);
    default:
      SetFailure("expected a number");
      return 0.0;
  }
}

std::string Reader::ReadString()
{
  const msgpack::object* object = m_state->Next();
  if (object == nullptr) {
    return {};
  }
  if (object->type != msgpack::type::STR) {
    SetFailure("expected a string");
    return {};
  }
  return { object->via.str.ptr, object->via.str.size };
}

bool Reader::HasMoreElements() const noexcept
{
  const internal::Level& level = m_state->m_levels.back();
  return !HasFailed() && level.m_next != level.m_end;
}

bool Reader::SkipNil()
{
  if (HasFailed()) {
    return true;
  }
  internal::Level& level = m_state->m_levels.back();
  if (level.m_next != level.m_end && level.m_next->type == msgpack::type::NIL) {
    ++level.m_next;
    return true;
  }
  return false;
}

std::size_t Reader::EnterArray(std::size_t aMinCount)
{
  const msgpack::object* object = m_state->Next();
  if (object != nullptr && object->type != msgpack::type::ARRAY) {
    SetFailure("expected an array");
  } else if (object != nullptr && object->via.array.size < aMinCount) {
    SetFailure("the array has too few elements");
  }
  if (HasFailed()) {
    m_state->m_levels.push_back({ nullptr, nullptr });
    return 0;
  }
  const msgpack::object* first = object->via.array.ptr;
  const std::size_t count = object->via.array.size;
  m_state->m_levels.push_back({ first, first + count });
  return count;
}

void Reader::LeaveArray()
{
  m_state->m_levels.pop_back();
}

} // namespace auburntrestle::protocol
