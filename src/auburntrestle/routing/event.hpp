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

/**
 * The caller has disconnected; neither FinishRequest nor FailRequest follows.
 */
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
 * Part of a response has been received. It belongs to the caller's response if,
 * after this event is handled, the attempt is selected and not cancelled.
 */
struct AttemptTokens
{
  RequestId m_id;
  AttemptNumber m_attempt;
  /** Tokens since the attempt's previous event. */
  TokenCount m_count;
  /** The weight version that produced them, if the engine reported it. */
  std::optional<WeightVersion> m_version;
};

/** The complete response of an attempt has been received. */
struct AttemptFinished
{
  RequestId m_id;
  AttemptNumber m_attempt;
};

/** An attempt has ended without a complete response. */
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

/** A load report of a backend server has been received. */
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
 * An instance that owns only few backend servers of a target compares them with
 * this value.
 */
struct PeerSpeedReported
{
  Target m_target;
  /**
   * Microseconds per token; a value that is not positive withdraws the report.
   */
  double m_timePerToken = 0.0;
};

/** A new policy is in force; an invalid one is ignored. */
struct PolicyChanged
{
  Policy m_policy;
};

/** New requests are refused from now on; the others are finished. */
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
