#ifndef AUBURNTRESTLE_FLEET_STREAM_ORIGIN_HPP
#define AUBURNTRESTLE_FLEET_STREAM_ORIGIN_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"

namespace auburntrestle::fleet {

/** Identifies a stream to a caller: the id of the request whose response
 * brought its first event. */
using StreamId = StrongType<struct StreamIdTag, std::string>;

/** The software that began a stream. No other can continue it, and backend
 * servers do not check that. */
struct StreamOrigin
{
  ServiceName m_service;
  SoftwareVersion m_software;

  friend bool operator==(const StreamOrigin&, const StreamOrigin&) = default;
};

/** A stream that its caller may resume. */
struct StreamRecord
{
  StreamId m_id;
  StreamOrigin m_origin;
  /** When it was recorded, by the clock of the entry instance. */
  WallTime m_at{};
};

} // namespace auburntrestle::fleet

#endif
