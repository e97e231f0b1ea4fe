#ifndef AUBURNTRESTLE_PROTOCOL_PEER_TRANSPORT_HPP
#define AUBURNTRESTLE_PROTOCOL_PEER_TRANSPORT_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"
#include "auburntrestle/protocol/authentication.hpp"
#include "auburntrestle/protocol/counters.hpp"
#include "auburntrestle/protocol/error.hpp"
#include "auburntrestle/protocol/frame.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace auburntrestle::protocol {

namespace internal {
class ReplyState;
class TransportCore;
} // namespace internal

/** Limits and intervals of a PeerTransport. */
struct PeerTransportOptions
{
  InstanceId m_self;
  /** Address to listen on, ip:port; port 0 selects any free port. */
  std::string m_listenAddress;
  SharedKey m_key;
  /** Largest frame body in bytes, in both directions. */
  std::size_t m_maxFrameBytes = std::size_t{ 4 } * 1024 * 1024;
  /** Maximum bytes queued for one peer; Send and Call then fail. */
  std::size_t m_maxQueuedBytes = std::size_t{ 16 } * 1024 * 1024;
  /** Maximum messages and calls queued for one peer. */
  std::size_t m_maxQueuedFrames = 4096;
  /** Maximum one-way messages queued while there is no connection to a peer.
   * The oldest are discarded first, as newer ones are more up to date. */
  std::size_t m_maxWaitingMessages = 4096;
  /** Maximum calls to one peer without a reply yet. */
  std::size_t m_maxPendingCalls = 4096;
  /** Maximum accepted connections; further ones are closed immediately. */
  std::size_t m_maxAccepted = 1024;
  /** Time limit of connecting, and separately of the handshake. */
  Duration m_connectTimeout = std::chrono::seconds(2);
  /** Initial delay after a failed attempt; doubles up to m_maxBackOff. */
  Duration m_firstBackOff = std::chrono::milliseconds(50);
  Duration m_maxBackOff = std::chrono::seconds(5);
  /** Interval of heartbeats on a connection without other traffic. */
  Duration m_heartbeatInterval = std::chrono::seconds(2);
  /** A connection that receives nothing for this long is closed. */
  Duration m_silenceLimit = std::chrono::seconds(7);
  /**
   * A connection without messages and calls for this long is closed and opened
   * again on the next use, so that an instance sends heartbeats only to the
   * peers that it communicates with.
   */
  Duration m_idleLimit = std::chrono::seconds(60);
};

/**
 * Replies to one call, from any thread, once; later replies are ignored. Copies
 * refer to the same call. If the last copy is destroyed before a reply, the
 * call fails at the calling instance.
 */
class Reply
{
public:
  explicit Reply(std::shared_ptr<internal::ReplyState> aState);

  /** Sends the successful reply. */
  void Send(std::string aPayload) const;
  /** Reports that the call did not run. */
  void Refuse(std::string aDetail) const;
  /** Reports that the call ran, or may have run, and failed. */
  void Fail(std::string aDetail) const;
  /** @return the timeout of the call, counted from its arrival. */
  [[nodiscard]] Duration Timeout() const noexcept;

private:
  std::shared_ptr<internal::ReplyState> m_state;
};

/**
 * Handlers of received messages and calls, run on the transport's thread. A
 * handler must not block and must not destroy the transport.
 */
struct PeerHandlers
{
  /** Handles a one-way message; when empty, messages are ignored. */
  std::function<
    void(const InstanceId& aFrom, Channel aChannel, std::string aPayload)>
    m_onMessage;
  /** Handles a call; when empty, every call is refused. */
  std::function<void(const InstanceId& aFrom,
                     Method aMethod,
                     std::string aPayload,
                     Reply aReply)>
    m_onCall;
};

/** Receives the reply to a call, or why there is none. */
using ReplyCallback = std::function<void(Expected<std::string> aReply)>;

/**
 * Authenticated TCP connections to other instances, on a thread of its own. One
 * connection is opened to each peer on first use and reopened after a failure
 * with exponential back-off; a reply uses the connection of its call. All
 * members may be called from any thread except the destructor, which must not
 * run on the transport's thread.
 */
class PeerTransport
{
public:
  /** Listens and starts the thread. @return BadAddress or ListenFailed. */
  [[nodiscard]] static Expected<std::unique_ptr<PeerTransport>> Start(
    PeerTransportOptions aOptions,
    PeerHandlers aHandlers);

  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;
  /** Stops; calls without a reply end with NotSent or ConnectionLost. */
  ~PeerTransport();

  /**
   * Adds a peer or changes its address, which closes the connection to the old
   * address.
   *
   * @param aAddress ip:port of the peer. @return BadAddress or Stopped.
   */
  Expected<void> SetPeer(const InstanceId& aPeer, const std::string& aAddress);

  /** Removes a peer; its calls end and its messages are discarded. */
  void RemovePeer(const InstanceId& aPeer);

  /**
   * Queues a one-way message; it may be lost without notice.
   *
   * @return UnknownPeer, QueueFull, TooLarge or Stopped.
   */
  Expected<void> Send(const InstanceId& aPeer,
                      Channel aChannel,
                      std::string aPayload);

  /**
   * Queues a call. On success the callback runs exactly once, on the
   * transport's thread, with the reply or with an error, for which MayHaveRun()
   * returns whether the peer may have run the call.
   *
   * @return UnknownPeer, QueueFull, TooLarge or Stopped; the callback is then
   *   not called.
   */
  Expected<void> Call(const InstanceId& aPeer,
                      Method aMethod,
                      std::string aPayload,
                      Duration aTimeout,
                      ReplyCallback aCallback);

  /** @return the bytes of replies that were sent with Reply::Send and are not
   * written yet. */
  [[nodiscard]] std::size_t QueuedReplyBytes() const;

  /** @return a copy of the counters. */
  [[nodiscard]] TransportCounters Counters() const;

  /** @return the port listened on. */
  [[nodiscard]] std::uint16_t Port() const noexcept;

private:
  explicit PeerTransport(std::shared_ptr<internal::TransportCore> aCore);

  std::shared_ptr<internal::TransportCore> m_core;
};

} // namespace auburntrestle::protocol

#endif
