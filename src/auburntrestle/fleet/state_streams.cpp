#include "auburntrestle/fleet/state.hpp"

namespace auburntrestle::fleet {

CommandResult State::On(const RecordStream& aCommand)
{
  const auto isExpired = [&](const StreamRecord& aStream) {
    return aStream.m_at + kStreamRetention < aCommand.m_stream.m_at;
  };
  while (!m_streamOrder.empty() &&
         (m_streamOrder.size() >= kMaxStreams ||
          isExpired(m_streams.at(m_streamOrder.front())))) {
    m_streams.erase(m_streamOrder.front());
    m_streamOrder.pop_front();
  }
  AddStream(aCommand.m_stream);
  return CommandResult::Done;
}

void State::AddStream(const StreamRecord& aStream)
{
  if (m_streams.emplace(aStream.m_id, aStream).second) {
    m_streamOrder.push_back(aStream.m_id);
  }
}

const StreamOrigin* State::FindStream(const StreamId& aId) const
{
  const auto found = m_streams.find(aId);
  return found == m_streams.end() ? nullptr : &found->second.m_origin;
}

} // namespace auburntrestle::fleet
