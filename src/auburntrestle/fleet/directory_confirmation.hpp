#ifndef AUBURNTRESTLE_FLEET_DIRECTORY_CONFIRMATION_HPP
#define AUBURNTRESTLE_FLEET_DIRECTORY_CONFIRMATION_HPP

#include "auburntrestle/core/ids.hpp"
#include "auburntrestle/core/time.hpp"
#include "auburntrestle/fleet/messages.hpp"

#include <optional>

namespace auburntrestle::fleet {

/** The versions of the routes and of the backend servers. */
struct DirectoryVersions
{
  ConfigurationVersion m_configuration;
  DirectoryRevision m_directory;

  /** @return whether nothing here is older than in aOther. */
  [[nodiscard]] bool Covers(const DirectoryVersions& aOther) const noexcept
  {
    return m_configuration >= aOther.m_configuration &&
           m_directory >= aOther.m_directory;
  }
};

/**
 * Tracks until when the state of a member of the log is known to have been up
 * to date. The member asks the leader for its versions; a reply confirms the
 * state as of the time of the question, once the state has reached those
 * versions.
 */
class DirectoryConfirmation
{
public:
  /**
   * Records a reply of the leader.
   *
   * @param aAskedAt when the question was sent.
   * @param aTerm the term of the leader; a reply of an earlier term than the
   *   last one is ignored.
   * @param aNewest the versions at the leader.
   */
  void RecordReply(TimePoint aAskedAt, Term aTerm, DirectoryVersions aNewest);

  /** @return until when the state was up to date, or nothing if it never was.
   * @param aOwn the versions of the state now. */
  [[nodiscard]] std::optional<TimePoint> ConfirmedAt(
    const DirectoryVersions& aOwn);

  /** @return the term of the leader that replied last. */
  [[nodiscard]] Term LeaderTerm() const noexcept { return m_term; }

private:
  struct LeaderState
  {
    TimePoint m_askedAt{};
    DirectoryVersions m_newest;
  };

  Term m_term;
  /** A reply whose versions the state may not have reached. */
  std::optional<LeaderState> m_unreached;
  std::optional<TimePoint> m_confirmedAt;
};

} // namespace auburntrestle::fleet

#endif
