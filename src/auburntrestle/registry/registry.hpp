#ifndef AUBURNTRESTLE_REGISTRY_REGISTRY_HPP
#define AUBURNTRESTLE_REGISTRY_REGISTRY_HPP

#include "auburntrestle/registry/announcement.hpp"
#include "auburntrestle/registry/fwd.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace auburntrestle::registry {

/** The effect of an announcement. */
enum class AnnounceResult : std::uint8_t
{
  /**
   * Its incarnation is older than the newest known one, or expired while it was
   * leaving; nothing changed.
   */
  Ignored,
  /** The backend server was not known. */
  Added,
  /** The lease was extended. */
  Renewed,
  /** A newer incarnation replaced the known one. */
  Restarted,
};

/** One backend server whose lease is in force. */
struct BackendRecord
{
  /**
   * The newest announcement, updated with the weight versions observed in
   * responses.
   */
  Announcement m_announcement;
  TimePoint m_leaseEnd{};
  /** When the load was measured: arrival of the report minus its age. */
  std::optional<TimePoint> m_loadMeasuredAt;
  /** Whether this instance dispatches to it. */
  bool m_owned = false;
  /** When this instance became its owner. */
  TimePoint m_ownedSince{};
};

/** One backend server for status pages. */
struct BackendView
{
  Announcement m_announcement;
  Duration m_leaseLeft{ 0 };
  /** Age of the newest load report now, including its age on arrival. */
  std::optional<Duration> m_loadAge;
  bool m_owned = false;
  /** Requests that this instance has in flight there; owner only. */
  std::uint32_t m_inFlight = 0;
  /**
   * Maximum requests that this instance may have in flight there; owner only.
   */
  std::uint32_t m_limit = 0;
  /** Observed microseconds per token; owner only. */
  std::optional<double> m_timePerToken;
  /** Observed time per token relative to its peers; 1 is normal. */
  double m_slowness = 1.0;
  /** Whether it receives no work, or only probes, after failures. */
  bool m_failing = false;
};

/**
 * The backend servers that have announced themselves, each with a lease. A
 * server that has announced that it is leaving stays in this state until its
 * next incarnation, even if an older announcement arrives late.
 */
class BackendRegistry
{
public:
  /**
   * Adds a backend server or renews its lease.
   * @param aLease how long the announcement is valid.
   */
  AnnounceResult Announce(const Announcement& aAnnouncement,
                          Duration aLease,
                          TimePoint aNow);

  /**
   * Stores a load report. A report that was measured earlier than the stored
   * one is dropped.
   * @return whether it was stored.
   */
  bool RecordLoad(const BackendId& aBackend,
                  const LoadReport& aLoad,
                  TimePoint aNow);

  /** Records the weight version that was reported with tokens of an engine. */
  void RecordVersion(const BackendId& aBackend,
                     const ModelName& aModel,
                     WeightVersion aVersion);

  /** Removes servers whose lease has ended. @return their ids. */
  std::vector<BackendId> Expire(TimePoint aNow);

  /**
   * Sets the servers that this instance owns, including ones that have not
   * announced themselves yet.
   * @return the known servers whose ownership changed.
   */
  std::vector<BackendId> SetOwned(std::set<BackendId> aOwned, TimePoint aNow);

  /** @return the record, or null when no lease is in force. */
  [[nodiscard]] const BackendRecord* Find(const BackendId& aBackend) const;

  /** @return whether any server with a lease has the model loaded. */
  [[nodiscard]] bool Serves(const ModelName& aModel) const;

  /** @return whether any server with a lease offers the service. */
  [[nodiscard]] bool Serves(const ServiceName& aService) const;

  /** @return the ids of all servers with a lease, in order. */
  [[nodiscard]] std::vector<BackendId> BackendIds() const;

  /** @return all servers with a lease in order of id, without dispatch data. */
  [[nodiscard]] std::vector<BackendView> Views(TimePoint aNow) const;

  [[nodiscard]] std::size_t Size() const noexcept { return m_records.size(); }

private:
  struct Tombstone
  {
    Incarnation m_incarnation;
    bool m_wasLeaving = false;
    TimePoint m_expiresAt{};
  };

  void UpdateServedCounts(const Announcement& aAnnouncement, int aDelta);
  [[nodiscard]] bool IsStale(const Announcement& aAnnouncement) const;
  void Renew(BackendRecord& aRecord,
             const Announcement& aAnnouncement,
             Duration aLease,
             TimePoint aNow);
  void PurgeTombstones(TimePoint aNow);

  std::map<BackendId, BackendRecord> m_records;
  std::set<std::pair<TimePoint, BackendId>> m_leaseEnds;
  std::map<BackendId, Tombstone> m_tombstones;
  std::set<BackendId> m_owned;
  std::unordered_map<ModelName, int> m_models;
  std::unordered_map<ServiceName, int> m_services;
};

} // namespace auburntrestle::registry

#endif
