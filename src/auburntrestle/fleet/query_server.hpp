#ifndef AUBURNTRESTLE_FLEET_QUERY_SERVER_HPP
#define AUBURNTRESTLE_FLEET_QUERY_SERVER_HPP

#include "auburntrestle/event_loop/event_loop.hpp"
#include "auburntrestle/fleet/messages.hpp"
#include "auburntrestle/fleet/replica.hpp"

#include <functional>
#include <list>
#include <optional>

namespace auburntrestle::fleet {

/**
 * Answers queries at the leader. What the state holds is answered at once, an
 * answer that nothing exists only after a read has confirmed that the state is
 * complete, and a query that waits for news when there is some.
 */
class QueryServer
{
public:
  /** Gets nothing when this instance is not sure. */
  using AnswerCallback = std::function<void(std::optional<ReplyBody>)>;

  /** @param aReplica must outlive the server. */
  QueryServer(event_loop::EventLoop& aLoop, Replica& aReplica);
  QueryServer(const QueryServer&) = delete;
  QueryServer& operator=(const QueryServer&) = delete;

  /** Answers a query now or later; to be called on the leader only. */
  void Ask(const Query& aQuery, AnswerCallback aCallback);
  /** Looks soon for queries that can be answered now. */
  void StateChanged();
  /** Refuses the queries that wait, because this instance leads no more. */
  void RefuseAll();

private:
  struct Waiter
  {
    Query m_query;
    TimePoint m_deadline{};
    AnswerCallback m_callback;
  };

  [[nodiscard]] std::optional<ReplyBody> AnswerNow(const Query& aQuery) const;
  [[nodiscard]] std::optional<ReplyBody> ReadNow(const ReadJob& aQuery) const;
  [[nodiscard]] std::optional<ReplyBody> ReadNow(const ReadItem& aQuery) const;
  [[nodiscard]] std::optional<ReplyBody> ReadNow(
    const ReadConfiguration& aQuery) const;
  [[nodiscard]] std::optional<ReplyBody> ReadNow(
    const ReadRetirement& aQuery) const;
  [[nodiscard]] std::optional<ReplyBody> ReadNow(const Watch& aQuery) const;
  [[nodiscard]] DirectoryView ViewFor(const Watch& aQuery) const;
  void AnswerConfirmed(const Query& aQuery, AnswerCallback aCallback);
  void Hold(const Query& aQuery, Duration aTime, AnswerCallback aCallback);
  void AnswerWaiters();

  event_loop::EventLoop& m_loop;
  Replica& m_replica;
  std::list<Waiter> m_waiters;
  bool m_scheduled = false;
};

} // namespace auburntrestle::fleet

#endif
