#ifndef AUBURNTRESTLE_CONSENSUS_INTERNAL_ENCODING_HPP
#define AUBURNTRESTLE_CONSENSUS_INTERNAL_ENCODING_HPP

#include "auburntrestle/consensus/types.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace auburntrestle::consensus::internal {

/** Appends little-endian values to a string. */
class Encoder
{
public:
  explicit Encoder(std::string& aOutput)
    : m_output(&aOutput)
  {
  }

  void WriteUint8(std::uint8_t aValue);
  void WriteUint32(std::uint32_t aValue);
  void WriteUint64(std::uint64_t aValue);
  void WriteString(std::string_view aValue);
  void WriteIdentity(const MemberIdentity& aIdentity);
  void WriteConfiguration(const Configuration& aConfiguration);
  void WriteEntry(const Entry& aEntry);

private:
  std::string* m_output;
};

/** Decodes the output of Encoder; after a failed read Ok() is false. */
class Decoder
{
public:
  explicit Decoder(std::string_view aInput) noexcept
    : m_input(aInput)
  {
  }

  [[nodiscard]] bool Ok() const noexcept { return m_ok; }
  [[nodiscard]] bool AtEnd() const noexcept { return m_input.empty(); }

  [[nodiscard]] std::uint8_t ReadUint8();
  [[nodiscard]] std::uint32_t ReadUint32();
  [[nodiscard]] std::uint64_t ReadUint64();
  [[nodiscard]] std::string ReadString();
  [[nodiscard]] MemberIdentity ReadIdentity();
  [[nodiscard]] Configuration ReadConfiguration();
  [[nodiscard]] Entry ReadEntry();
  /** @return all bytes not yet read. */
  [[nodiscard]] std::string ReadRest()
  {
    return std::string(ReadBytes(m_input.size()));
  }

private:
  [[nodiscard]] std::string_view ReadBytes(std::size_t aBytes);

  std::string_view m_input;
  bool m_ok = true;
};

} // namespace auburntrestle::consensus::internal

#endif
