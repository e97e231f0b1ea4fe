#ifndef AUBURNTRESTLE_FLEET_QUERY_SERVER_HPP
#define AUBURNTRESTLE_FLEET_QUERY_SERVER_HPP

#include "auburntrestle/event_loop/event_loop.hpp"
#include "auburntrestle/fleet/messages.hpp"
#include "auburntrestle/fleet/replica.hpp"

#include <functional>
#include <list>
#include <optional>
#include <vector>

namespace auburntrestle::fleet {

/** What an instance that answers Watches knows beside its state. */
struct DirectorySource
{
  Term m_term;
  Duration m_confirmationAge{};
  std::vector<Relay> m_relays;
  /** The instance's estimate of true time. */
  WallTime m_wallTime{};
};

/**
 * Answers queries at the leader, and Watches at relays too. A query for
 * something that the state contains is answered at once. A reply that something
 * does not exist is given only after a confirmed read has shown that the state
 * is complete. A query that waits for a change is deferred until the change or
 * its maximum wait.
 */
class QueryServer
{
public:
  /** Gets nothing when the query was refused or the state could not be read. */
  using ReplyCallback = std::function<void(std::optional<ReplyBody>)>;

  /**
   * @param aReplica must outlive the server.
   * @param aGetSource provides the source of a view at the time of its reply.
   * @param aGrantPermit decides on a request for a permit.
   * @param aSubmitUsage takes over the usage counts of an entry instance.
   * @param aHasRoom returns whether another reply to a read of a job may be
   *   made; otherwise the read is refused, to be tried again.
   */
  QueryServer(event_loop::EventLoop& aLoop,
              Replica& aReplica,
              std::function<DirectorySource()> aGetSource,
              std::function<PermitView(const RequestPermit&)> aGrantPermit,
              std::function<UsageView(const SubmitUsage&)> aSubmitUsage,
              std::function<bool()> aHasRoom);
  QueryServer(const QueryServer&) = delete;
  QueryServer& operator=(const QueryServer&) = delete;

  /** Answers a query now or later. To be called on the leader, and with a Watch
   * on relays. */
  void Handle(const Query& aQuery, ReplyCallback aCallback);
  /** Schedules a check for deferred queries that can be answered now. */
  void OnStateChanged();
  /** Refuses all deferred queries, because this instance no longer leads. */
  void RefuseDeferred();

private:
  struct DeferredQuery
  {
    Query m_query;
    TimePoint m_deadline{};
    ReplyCallback m_callback;
  };

  [[nodiscard]] std::optional<ReplyBody> TryAnswer(const Query& aQuery) const;
  /** @return the job of a ReadJob or ReadItem, or null if there is none or its
   * reader may not know of it. */
  template<typename JobQuery>
  [[nodiscard]] const Job* FindVisibleJob(const JobQuery& aQuery) const
  {
    const Job* job = m_replica.GetState().FindJob(aQuery.m_job);
    return job != nullptr && job->IsVisibleTo(aQuery.m_account) ? job : nullptr;
  }
  [[nodiscard]] std::optional<ReplyBody> TryRead(const ReadJob& aQuery) const;
  [[nodiscard]] std::optional<ReplyBody> TryRead(const ReadItem& aQuery) const;
  [[nodiscard]] std::optional<ReplyBody> TryRead(
    const ReadConfiguration& aQuery) const;
  [[nodiscard]] std::optional<ReplyBody> TryRead(
    const ReadRetirement& aQuery) const;
  [[nodiscard]] std::optional<ReplyBody> TryRead(const Watch& aQuery) const;
  [[nodiscard]] std::optional<ReplyBody> TryRead(
    const ReadStream& aQuery) const;
  [[nodiscard]] std::optional<ReplyBody> TryRead(
    const RequestPermit& aQuery) const;
  [[nodiscard]] std::optional<ReplyBody> TryRead(
    const SubmitUsage& aQuery) const;
  [[nodiscard]] DirectoryView MakeDirectoryView(const Watch& aQuery) const;
  void ConfirmAndAnswer(const Query& aQuery, ReplyCallback aCallback);
  void Defer(const Query& aQuery, Duration aMaxWait, ReplyCallback aCallback);
  void AnswerDeferred();

  event_loop::EventLoop& m_loop;
  Replica& m_replica;
  std::function<DirectorySource()> m_getSource;
  std::function<PermitView(const RequestPermit&)> m_grantPermit;
  std::function<UsageView(const SubmitUsage&)> m_submitUsage;
  std::function<bool()> m_hasRoom;
  std::list<DeferredQuery> m_deferred;
  bool m_answerScheduled = false;
};

} // namespace auburntrestle::fleet

#endif
