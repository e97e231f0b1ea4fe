#ifndef AUBURNTRESTLE_OPERATOR_CLIENT_IN_FORCE_WAIT_HPP
#define AUBURNTRESTLE_OPERATOR_CLIENT_IN_FORCE_WAIT_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/operator_client/request_sender.hpp"

#include <chrono>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace auburntrestle::operator_client {

/** The configuration revision of one instance. */
struct InstanceRevision
{
  InstanceId m_instance;
  DataCentreId m_dataCentre;
  /** None if the instance has no revision yet. */
  std::optional<Revision> m_revision;
  bool m_alive = false;
};

/** The response to `GET /v1/config/force`: which revision is in force where. */
struct InForceStatus
{
  /** The newest accepted revision known to the responding instance. */
  Revision m_newest;
  std::vector<InstanceRevision> m_instances;
  /** The response body as received. */
  std::string m_body;

  /** @return the number of live instances with this or a newer revision. */
  [[nodiscard]] std::size_t CountInForce(Revision aRevision) const;
  [[nodiscard]] std::size_t CountAlive() const;
  /**
   * Instances that are down do not count: after a restart they use no
   * configuration until they have read the newest one.
   * @return whether there are live instances and all of them have this or a
   * newer revision.
   */
  [[nodiscard]] bool IsInForce(Revision aRevision) const;
  /** @return a table of the instances and their states. */
  [[nodiscard]] std::string Render(Revision aRevision) const;
};

/** @return the status, or a failure with the code bad_answer. */
[[nodiscard]] tl::expected<InForceStatus, RequestFailure> ParseInForceStatus(
  const Response& aResponse);

/** Parameters of a wait. */
struct InForceWaitOptions
{
  Revision m_revision;
  std::chrono::milliseconds m_timeout{ 30000 };
  std::chrono::milliseconds m_pollInterval{ 500 };
};

/** Result of a wait. */
struct InForceWaitResult
{
  bool m_inForce = false;
  /** The last status; none if no poll succeeded. */
  std::optional<InForceStatus> m_status;
  /** The failure of the last poll; none if it succeeded. */
  std::optional<RequestFailure> m_failure;
};

/**
 * Polls until a revision is in force on all live instances, or until the
 * timeout. Polling continues after a failed poll, because the edit itself has
 * been accepted.
 * @param aProgress receives a line whenever the number of instances changes.
 */
[[nodiscard]] InForceWaitResult WaitUntilInForce(
  RequestSender& aSender,
  const InForceWaitOptions& aOptions,
  std::ostream& aProgress);

} // namespace auburntrestle::operator_client

#endif
