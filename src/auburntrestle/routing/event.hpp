#ifndef AUBURNTRESTLE_ROUTING_EVENT_HPP
#define AUBURNTRESTLE_ROUTING_EVENT_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/registry/announcement.hpp"
#include "auburntrestle/routing/policy.hpp"
#include "auburntrestle/routing/request.hpp"

#include <optional>
#include <set>
#include <variant>

namespace auburntrestle::routing {

/** A request has arrived; its id must be new. */
struct RequestArrived
{
  RequestId m_id;
  RequestSpec m_spec;
};

/** The caller has gone; neither FinishRequest nor FailRequest follows. */
struct RequestCancelled
{
  RequestId m_id;
};

/** The response headers of an attempt have been received. */
struct AttemptAccepted
{
  RequestId m_id;
  AttemptNumber m_attempt;
};

/**
 * Part of the answer has been received. It belongs to the caller's answer if
 * the attempt is selected and not cancelled after this event is handled.
 */
struct AttemptTokens
{
  RequestId m_id;
  AttemptNumber m_attempt;
  /** Tokens since the attempt's previous event. */
  TokenCount m_count;
  /** The weight version that produced them, when the engine named it. */
  std::optional<WeightVersion> m_version;
};

/** The complete answer of an attempt has been received. */
struct AttemptFinished
{
  RequestId m_id;
  AttemptNumber m_attempt;
};

/** An attempt has ended without a complete answer. */
struct AttemptFailed
{
  RequestId m_id;
  AttemptNumber m_attempt;
  AttemptFailure m_failure = AttemptFailure::LostBeforeResponse;
};

/** A backend server has announced itself. */
struct BackendAnnounced
{
  registry::Announcement m_announcement;
};

/** A backend server's load has been read. */
struct LoadReported
{
  BackendId m_backend;
  registry::LoadReport m_load;
};

/** The backend servers that this instance owns from now on. */
struct OwnedBackendsChanged
{
  std::set<BackendId> m_owned;
};

/**
 * The typical time per token of a target on the data centre's other instances.
 * An instance that owns few backend servers of a model compares them with it.
 */
struct PeerSpeedReported
{
  Target m_target;
  /** Microseconds per token; not positive withdraws the report. */
  double m_timePerToken = 0.0;
};

/** A new policy is in force; an invalid one is ignored. */
struct PolicyChanged
{
  Policy m_policy;
};

/** Refuse new requests and finish the others. */
struct DrainRequested
{};

/** Time has passed; expected every 10 to 50 ms. */
struct Tick
{};

using Event = std::variant<RequestArrived,
                           RequestCancelled,
                           AttemptAccepted,
                           AttemptTokens,
                           AttemptFinished,
                           AttemptFailed,
                           BackendAnnounced,
                           LoadReported,
                           OwnedBackendsChanged,
                           PeerSpeedReported,
                           PolicyChanged,
                           DrainRequested,
                           Tick>;

} // namespace auburntrestle::routing

#endif
