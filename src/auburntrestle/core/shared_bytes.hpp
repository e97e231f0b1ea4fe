#ifndef AUBURNTRESTLE_CORE_SHARED_BYTES_HPP
#define AUBURNTRESTLE_CORE_SHARED_BYTES_HPP

#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace auburntrestle {

/** Immutable bytes; copies share them. */
class SharedBytes
{
public:
  SharedBytes() = default;
  // Implicit, so that a string can be passed where bytes are expected.
  SharedBytes(std::string aBytes)
    : m_bytes(std::make_shared<const std::string>(std::move(aBytes)))
  {
  }
  SharedBytes(const char* aText)
    : SharedBytes(std::string(aText))
  {
  }

  /** @return the bytes; empty if default-constructed. */
  [[nodiscard]] const std::string& Get() const noexcept
  {
    static const std::string kEmpty;
    return m_bytes ? *m_bytes : kEmpty;
  }
  operator const std::string&() const noexcept { return Get(); }
  [[nodiscard]] std::size_t size() const noexcept { return Get().size(); }

  friend bool operator==(const SharedBytes& aLeft, const SharedBytes& aRight)
  {
    return aLeft.Get() == aRight.Get();
  }

private:
  std::shared_ptr<const std::string> m_bytes;
};

} // namespace auburntrestle

#endif
