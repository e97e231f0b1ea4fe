#include "auburntrestle/consensus/internal/encoding.hpp"

#include "auburntrestle/core/overloaded.hpp"

#include <utility>

namespace auburntrestle::consensus::internal {

namespace {

enum class PayloadKind : std::uint8_t
{
  NoOp = 0,
  Command = 1,
  Configuration = 2,
};

constexpr unsigned kBitsPerByte = 8;

} // namespace

void Encoder::WriteUint8(std::uint8_t aValue)
{
  m_output->push_back(static_cast<char>(aValue));
}

void Encoder::WriteUint32(std::uint32_t aValue)
{
  for (unsigned byte = 0; byte < sizeof(aValue); ++byte) {
    WriteUint8(static_cast<std::uint8_t>(aValue >> (byte * kBitsPerByte)));
  }
}

void Encoder::WriteUint64(std::uint64_t aValue)
{
  for (unsigned byte = 0; byte < sizeof(aValue); ++byte) {
    WriteUint8(static_cast<std::uint8_t>(aValue >> (byte * kBitsPerByte)));
  }
}

void Encoder::WriteString(std::string_view aValue)
{
  WriteUint32(static_cast<std::uint32_t>(aValue.size()));
  m_output->append(aValue);
}

void Encoder::WriteIdentity(const MemberIdentity& aIdentity)
{
  WriteString(aIdentity.m_instance.Get());
  WriteUint64(aIdentity.m_incarnation.Get());
}

void Encoder::WriteConfiguration(const Configuration& aConfiguration)
{
  WriteUint32(static_cast<std::uint32_t>(aConfiguration.m_members.size()));
  for (const Member& member : aConfiguration.m_members) {
    WriteIdentity(member.m_identity);
    WriteUint8(static_cast<std::uint8_t>(member.m_role));
  }
}

void Encoder::WriteEntry(const Entry& aEntry)
{
  WriteUint64(aEntry.m_index.Get());
  WriteUint64(aEntry.m_term.Get());
  std::visit(
    Overloaded{ [&](const NoOp&) {
                 WriteUint8(static_cast<std::uint8_t>(PayloadKind::NoOp));
               },
                [&](const Command& aCommand) {
                  WriteUint8(static_cast<std::uint8_t>(PayloadKind::Command));
                  WriteString(aCommand.m_bytes.Get());
                },
                [&](const Configuration& aConfiguration) {
                  WriteUint8(
                    static_cast<std::uint8_t>(PayloadKind::Configuration));
                  WriteConfiguration(aConfiguration);
                } },
    aEntry.m_payload);
}

std::string_view Decoder::ReadBytes(std::size_t aBytes)
{
  if (!m_ok || m_input.size() < aBytes) {
    m_ok = false;
    m_input = {};
    return {};
  }
  const std::string_view bytes = m_input.substr(0, aBytes);
  m_input.remove_prefix(aBytes);
  return bytes;
}

std::uint8_t Decoder::ReadUint8()
{
  const std::string_view bytes = ReadBytes(1);
  return bytes.empty() ? 0 : static_cast<std::uint8_t>(bytes.front());
}

std::uint32_t Decoder::ReadUint32()
{
  std::uint32_t value = 0;
  for (unsigned byte = 0; byte < sizeof(value); ++byte) {
    value |= static_cast<std::uint32_t>(ReadUint8()) << (byte * kBitsPerByte);
  }
  return value;
}

std::uint64_t Decoder::ReadUint64()
{
  std::uint64_t value = 0;
  for (unsigned byte = 0; byte < sizeof(value); ++byte) {
    value |= static_cast<std::uint64_t>(ReadUint8()) << (byte * kBitsPerByte);
  }
  return value;
}

std::string Decoder::ReadString()
{
  const std::uint32_t size = ReadUint32();
  return std::string(ReadBytes(size));
}

MemberIdentity Decoder::ReadIdentity()
{
  InstanceId instance(ReadString());
  return MemberIdentity{ std::move(instance), Incarnation(ReadUint64()) };
}

Configuration Decoder::ReadConfiguration()
{
  Configuration configuration;
  const std::uint32_t count = ReadUint32();
  for (std::uint32_t item = 0; item < count && m_ok; ++item) {
    MemberIdentity identity = ReadIdentity();
    const std::uint8_t role = ReadUint8();
    m_ok = m_ok && role <= static_cast<std::uint8_t>(MemberRole::Voter);
    configuration.m_members.push_back(
      Member{ std::move(identity), static_cast<MemberRole>(role) });
  }
  return configuration;
}

Entry Decoder::ReadEntry()
{
  Entry entry;
  entry.m_index = LogIndex(ReadUint64());
  entry.m_term = Term(ReadUint64());
  switch (static_cast<PayloadKind>(ReadUint8())) {
    case PayloadKind::NoOp:
      entry.m_payload = NoOp{};
      break;
    case PayloadKind::Command:
      entry.m_payload = Command{ ReadString() };
      break;
    case PayloadKind::Configuration:
      entry.m_payload = ReadConfiguration();
      break;
    default:
      m_ok = false;
      break;
  }
  return entry;
}

} // namespace auburntrestle::consensus::internal
