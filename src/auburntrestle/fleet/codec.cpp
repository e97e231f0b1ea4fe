#include "auburntrestle/fleet/codec.hpp"

#include "auburntrestle/fleet/internal/fields.hpp"
#include "auburntrestle/fleet/job_memory.hpp"

namespace auburntrestle::fleet {

std::string Encode(const Command& aCommand)
{
  protocol::Writer writer;
  if (const auto* accept = std::get_if<AcceptJob>(&aCommand)) {
    writer.Reserve(MemoryOf(accept->m_spec.m_items));
  }
  writer.Write(aCommand);
  return writer.ExtractBytes();
}

protocol::Expected<Command> DecodeCommand(std::string_view aBytes)
{
  return protocol::Unpack<Command>(aBytes);
}

std::string Encode(const Query& aQuery)
{
  return protocol::Pack(aQuery);
}

protocol::Expected<Query> DecodeQuery(std::string_view aBytes)
{
  return protocol::Unpack<Query>(aBytes);
}

std::string Encode(const ReplyBody& aReply)
{
  return protocol::Pack(aReply);
}

protocol::Expected<ReplyBody> DecodeReplyBody(std::string_view aBytes)
{
  return protocol::Unpack<ReplyBody>(aBytes);
}

std::string Encode(const OutputChunk& aChunk)
{
  return protocol::Pack(aChunk);
}

protocol::Expected<OutputChunk> DecodeOutputChunk(std::string_view aBytes)
{
  return protocol::Unpack<OutputChunk>(aBytes);
}

std::string Encode(const LeaderNotice& aNotice)
{
  return protocol::Pack(aNotice);
}

protocol::Expected<LeaderNotice> DecodeLeaderNotice(std::string_view aBytes)
{
  return protocol::Unpack<LeaderNotice>(aBytes);
}

std::string EncodeSize(std::uint64_t aSize)
{
  return protocol::Pack(aSize);
}

protocol::Expected<std::uint64_t> DecodeSize(std::string_view aBytes)
{
  return protocol::Unpack<std::uint64_t>(aBytes);
}

std::string_view ToString(CommandResult aResult) noexcept
{
  switch (aResult) {
    case CommandResult::Done:
      return "done";
    case CommandResult::NotFound:
      return "not_found";
    case CommandResult::TooFewRemain:
      return "too_few_remain";
    case CommandResult::Conflict:
      return "conflict";
    case CommandResult::NoRoom:
      return "no_room";
  }
  return "unknown";
}

} // namespace auburntrestle::fleet
