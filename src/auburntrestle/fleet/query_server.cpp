#include "auburntrestle/fleet/query_server.hpp"

#include "auburntrestle/core/overloaded.hpp"
#include "auburntrestle/fleet/membership_plan.hpp"
#include "auburntrestle/observe/log.hpp"

#include <utility>

namespace auburntrestle::fleet {

namespace {

using observe::LogLevel;
using observe::LogLine;

/** Maximum delay of the reply to a Watch. Short, so that the receiver soon
 * detects the loss of the leader. */
constexpr Duration kMaxWatchWait = std::chrono::milliseconds(300);
/** Maximum bytes of results in one reply, unless one result is larger. */
constexpr std::size_t kMaxReplyBytes = std::size_t{ 900 } * 1024;

} // namespace

QueryServer::QueryServer(
  event_loop::EventLoop& aLoop,
  Replica& aReplica,
  std::function<DirectorySource()> aGetSource,
  std::function<PermitView(const RequestPermit&)> aGrantPermit,
  std::function<UsageView(const SubmitUsage&)> aSubmitUsage,
  std::function<bool()> aHasRoom)
  : m_loop(aLoop)
  , m_replica(aReplica)
  , m_getSource(std::move(aGetSource))
  , m_grantPermit(std::move(aGrantPermit))
  , m_submitUsage(std::move(aSubmitUsage))
  , m_hasRoom(std::move(aHasRoom))
{
}

void QueryServer::Handle(
  const Query& aQuery,
  std::function<void(std::optional<ReplyBody>)> aCallback)
{
  if (auto reply = TryAnswer(aQuery)) {
    aCallback(std::move(reply));
  } else if (const auto* read = std::get_if<ReadJob>(&aQuery);
             read != nullptr && FindVisibleJob(*read) != nullptr) {
    Defer(aQuery, read->m_wait, std::move(aCallback));
  } else if (std::holds_alternative<Watch>(aQuery)) {
    Defer(aQuery, kMaxWatchWait, std::move(aCallback));
  } else {
    ConfirmAndAnswer(aQuery, std::move(aCallback));
  }
}

std::optional<ReplyBody> QueryServer::TryAnswer(const Query& aQuery) const
{
  return std::visit([this](const auto& aBody) { return TryRead(aBody); },
                    aQuery);
}

std::optional<ReplyBody> QueryServer::TryRead(const ReadJob& aQuery) const
{
  const Job* job = FindVisibleJob(aQuery);
  if (job == nullptr || (aQuery.m_after >= job->m_results.size() &&
                         aQuery.m_wait > Duration::zero() && !job->m_ended &&
                         job->m_results.size() < job->m_total)) {
    return std::nullopt;
  }
  const bool isLong = aQuery.m_after < job->m_results.size();
  if (isLong && !m_hasRoom()) {
    return std::nullopt;
  }
  JobView view;
  view.m_exists = true;
  view.m_total = job->m_total;
  view.m_next = aQuery.m_after;
  std::size_t bytes = 0;
  for (std::size_t index = aQuery.m_after; index < job->m_results.size();
       ++index) {
    const StoredResult& stored = job->m_results[index];
    bytes += stored.m_output.m_bytes + stored.m_id.Get().size();
    if (bytes > kMaxReplyBytes && !view.m_results.empty()) {
      break;
    }
    auto result = m_replica.GetState().Load(stored);
    if (!result) {
      LogLine(LogLevel::Error, "result_unreadable")
        .Add("job", aQuery.m_job)
        .Add("position", index)
        .Add("file", result.error().m_file)
        .Add("error", result.error().m_systemError);
      return std::nullopt;
    }
    view.m_results.push_back(std::move(*result));
    ++view.m_next;
  }
  return ReplyBody(std::move(view));
}

std::optional<ReplyBody> QueryServer::TryRead(const ReadItem& aQuery) const
{
  const Job* job = FindVisibleJob(aQuery);
  if (job == nullptr || !m_hasRoom()) {
    return std::nullopt;
  }
  ItemView view;
  const auto index = job->m_itemIndex.find(aQuery.m_item);
  if (index != job->m_itemIndex.end()) {
    auto item = m_replica.GetState().Load(aQuery.m_job,
                                          job->m_spec->m_items[index->second]);
    if (!item) {
      return std::nullopt;
    }
    view.m_body = std::move(item->m_body);
  }
  return ReplyBody(std::move(view));
}

std::optional<ReplyBody> QueryServer::TryRead(
  const ReadConfiguration& /*aQuery*/) const
{
  return std::nullopt;
}

std::optional<ReplyBody> QueryServer::TryRead(
  const ReadRetirement& /*aQuery*/) const
{
  return std::nullopt;
}

DirectoryView QueryServer::MakeDirectoryView(const Watch& aQuery) const
{
  const State& state = m_replica.GetState();
  DirectorySource source = m_getSource();
  DirectoryView view;
  view.m_term = source.m_term;
  view.m_confirmationAge = source.m_confirmationAge;
  view.m_directory = state.Directory();
  view.m_newestConfiguration = state.Configuration().m_version;
  view.m_wallTime = source.m_wallTime;
  if (aQuery.m_versionsOnly) {
    return view;
  }
  view.m_relays = std::move(source.m_relays);
  if (state.Configuration().m_version > aQuery.m_configuration) {
    view.m_configuration = state.Configuration();
  }
  if (state.Directory() > aQuery.m_directory) {
    auto& backends = view.m_backends.emplace();
    for (const auto& [id, record] : state.Backends()) {
      backends.push_back(record);
    }
  }
  view.m_members = m_replica.GetLogMembers();
  return view;
}

std::optional<ReplyBody> QueryServer::TryRead(const Watch& aQuery) const
{
  const State& state = m_replica.GetState();
  if (state.Configuration().m_version <= aQuery.m_configuration &&
      state.Directory() <= aQuery.m_directory) {
    return std::nullopt;
  }
  return ReplyBody(MakeDirectoryView(aQuery));
}

std::optional<ReplyBody> QueryServer::TryRead(const RequestPermit& aQuery) const
{
  return ReplyBody(m_grantPermit(aQuery));
}

std::optional<ReplyBody> QueryServer::TryRead(const SubmitUsage& aQuery) const
{
  return ReplyBody(m_submitUsage(aQuery));
}

std::optional<ReplyBody> QueryServer::TryRead(const ReadStream& aQuery) const
{
  // The origin of a stream never changes, but this leader may have been
  // replaced before it was recorded.
  const StreamOrigin* origin = m_replica.GetState().FindStream(aQuery.m_id);
  return origin == nullptr ? std::nullopt
                           : std::optional(ReplyBody(StreamView{ *origin }));
}

void QueryServer::ConfirmAndAnswer(
  const Query& aQuery,
  std::function<void(std::optional<ReplyBody>)> aCallback)
{
  m_replica.ConfirmRead(
    [this, aQuery, callback = std::move(aCallback)](bool aConfirmed) {
      if (!aConfirmed) {
        callback(std::nullopt);
        return;
      }
      const State& state = m_replica.GetState();
      std::visit(
        Overloaded{
          [&](const ReadJob& aRead) {
            ReadJob read = aRead;
            read.m_wait = Duration::zero();
            const bool exists = FindVisibleJob(read) != nullptr;
            callback(exists ? TryRead(read) : ReplyBody(JobView{}));
          },
          [&](const ReadItem& aRead) {
            const bool exists = FindVisibleJob(aRead) != nullptr;
            callback(exists ? TryRead(aRead) : ReplyBody(ItemView{}));
          },
          [&](const ReadConfiguration&) {
            callback(ReplyBody(state.Configuration()));
          },
          [&](const ReadRetirement& aRead) {
            callback(ReplyBody(RetirementView{
              RetirementOf(aRead.m_machine, m_replica.Status(), state) }));
          },
          [&](const Watch& aWatch) {
            callback(ReplyBody(MakeDirectoryView(aWatch)));
          },
          [&](const RequestPermit& aRequest) { callback(TryRead(aRequest)); },
          [&](const SubmitUsage& aUsage) { callback(TryRead(aUsage)); },
          [&](const ReadStream& aStream) {
            callback(TryRead(aStream).value_or(ReplyBody(StreamView{})));
          } },
        aQuery);
    });
}

void QueryServer::Defer(const Query& aQuery,
                        Duration aMaxWait,
                        std::function<void(std::optional<ReplyBody>)> aCallback)
{
  m_deferred.push_back(DeferredQuery{
    aQuery, MonotonicClock::Now() + aMaxWait, std::move(aCallback) });
  m_loop.After(aMaxWait, [this] { OnStateChanged(); });
}

void QueryServer::OnStateChanged()
{
  if (!std::exchange(m_answerScheduled, true)) {
    m_loop.Post([this] {
      m_answerScheduled = false;
      AnswerDeferred();
    });
  }
}

void QueryServer::AnswerDeferred()
{
  const TimePoint now = MonotonicClock::Now();
  for (auto deferred = m_deferred.begin(); deferred != m_deferred.end();) {
    auto reply = TryAnswer(deferred->m_query);
    if (!reply && now >= deferred->m_deadline) {
      if (auto* read = std::get_if<ReadJob>(&deferred->m_query)) {
        read->m_wait = Duration::zero();
        reply = TryRead(*read);
      } else if (const auto* watch = std::get_if<Watch>(&deferred->m_query)) {
        reply = ReplyBody(MakeDirectoryView(*watch));
      }
    }
    if (!reply && now < deferred->m_deadline) {
      ++deferred;
      continue;
    }
    const auto callback = std::move(deferred->m_callback);
    deferred = m_deferred.erase(deferred);
    callback(std::move(reply));
  }
}

void QueryServer::RefuseDeferred()
{
  auto refused = std::exchange(m_deferred, {});
  for (const auto& deferred : refused) {
    deferred.m_callback(std::nullopt);
  }
}

} // namespace auburntrestle::fleet
