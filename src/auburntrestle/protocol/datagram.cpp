#include "auburntrestle/protocol/datagram.hpp"

#include "auburntrestle/protocol/pack.hpp"

#include <algorithm>
#include <utility>

namespace auburntrestle::protocol {

namespace internal {

// Domain separation from the tags of the handshake.
constexpr std::string_view kDatagramLabel = "datagram/1";

struct Envelope
{
  InstanceId m_from;
  Incarnation m_incarnation;
  std::uint64_t m_counter = 0;
  bool m_directed = false;
  std::string m_payload;
};

} // namespace internal

void Fields(auto& aArchive, MaybeConst<internal::Envelope> auto& aEnvelope)
{
  aArchive(aEnvelope.m_from,
           aEnvelope.m_incarnation,
           aEnvelope.m_counter,
           aEnvelope.m_directed,
           aEnvelope.m_payload);
}

DatagramCodec::DatagramCodec(const SharedKey& aKey,
                             InstanceId aSelf,
                             Incarnation aIncarnation)
  : m_shared(aKey.Secret())
  , m_self(std::move(aSelf))
  , m_incarnation(aIncarnation)
{
}

std::string DatagramCodec::Encode(const std::optional<InstanceId>& aTo,
                                  std::string_view aPayload)
{
  const internal::Envelope envelope{
    m_self, m_incarnation, ++m_counter, aTo.has_value(), std::string(aPayload)
  };
  std::string body = Pack(envelope);
  const std::string receiver = aTo.has_value() ? aTo->Get() : std::string();
  const std::string tag =
    m_shared.Tag({ internal::kDatagramLabel, body, receiver });
  return body.append(tag);
}

Expected<Datagram> DatagramCodec::Decode(std::string_view aBytes)
{
  if (aBytes.size() <= kTagBytes) {
    return Fail(ProtocolErrorCode::Malformed, "short datagram");
  }
  const std::string_view body = aBytes.substr(0, aBytes.size() - kTagBytes);
  const std::string_view tag = aBytes.substr(body.size());
  const bool directed =
    m_shared.Verify(tag, { internal::kDatagramLabel, body, m_self.Get() });
  if (!directed && !m_shared.Verify(tag, { internal::kDatagramLabel, body })) {
    return Fail(ProtocolErrorCode::BadAuthentication);
  }
  auto envelope = Unpack<internal::Envelope>(body);
  if (!envelope) {
    return tl::unexpected(std::move(envelope).error());
  }
  if (envelope->m_directed != directed) {
    return Fail(ProtocolErrorCode::BadAuthentication,
                "directed to another instance");
  }
  if (!AcceptCounter(
        envelope->m_from, envelope->m_incarnation, envelope->m_counter)) {
    return Fail(ProtocolErrorCode::Replayed, envelope->m_from.Get());
  }
  return Datagram{ std::move(envelope->m_from),
                   envelope->m_incarnation,
                   directed,
                   std::move(envelope->m_payload) };
}

bool DatagramCodec::AcceptCounter(const InstanceId& aFrom,
                                  Incarnation aIncarnation,
                                  std::uint64_t aCounter)
{
  if (!m_senders.contains(aFrom) && m_senders.size() >= kMaxSenders) {
    EvictOldestSender();
  }
  Sender& sender = m_senders[aFrom];
  sender.m_lastUse = ++m_useCount;
  if (aIncarnation < sender.m_incarnation) {
    return false;
  }
  if (aIncarnation > sender.m_incarnation) {
    sender.m_incarnation = aIncarnation;
    sender.m_newestCounter = 0;
    sender.m_receivedMask = 0;
  }
  if (aCounter > sender.m_newestCounter) {
    const std::uint64_t advance = aCounter - sender.m_newestCounter;
    sender.m_receivedMask =
      advance < kWindow ? sender.m_receivedMask << advance : 0;
    sender.m_receivedMask |= 1;
    sender.m_newestCounter = aCounter;
    return true;
  }
  const std::uint64_t age = sender.m_newestCounter - aCounter;
  if (age >= kWindow || ((sender.m_receivedMask >> age) & 1) != 0) {
    return false;
  }
  sender.m_receivedMask |= std::uint64_t{ 1 } << age;
  return true;
}

void DatagramCodec::EvictOldestSender()
{
  const auto oldest =
    std::min_element(m_senders.begin(),
                     m_senders.end(),
                     [](const auto& aLeft, const auto& aRight) {
                       return aLeft.second.m_lastUse < aRight.second.m_lastUse;
                     });
  m_senders.erase(oldest);
}

} // namespace auburntrestle::protocol
