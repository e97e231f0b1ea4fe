#include "auburntrestle/fleet/query_server.hpp"

#include "auburntrestle/core/overloaded.hpp"
#include "auburntrestle/observe/log.hpp"

#include <utility>

namespace auburntrestle::fleet {

namespace {

using observe::LogLevel;
using observe::LogLine;

/** An answer to a Watch is held back for at most this long, so that its
 * receiver notices soon when the leader is lost. */
constexpr Duration kWatchHold = std::chrono::milliseconds(300);
/** Most bytes of results in one answer. */
constexpr std::size_t kMaxAnswerBytes = std::size_t{ 900 } * 1024;

} // namespace

QueryServer::QueryServer(event_loop::EventLoop& aLoop, Replica& aReplica)
  : m_loop(aLoop)
  , m_replica(aReplica)
{
}

void QueryServer::Ask(const Query& aQuery,
                      std::function<void(std::optional<ReplyBody>)> aCallback)
{
  if (auto answer = AnswerNow(aQuery)) {
    aCallback(std::move(answer));
  } else if (const auto* read = std::get_if<ReadJob>(&aQuery);
             read != nullptr &&
             m_replica.GetState().FindJob(read->m_job) != nullptr) {
    Hold(aQuery, read->m_wait, std::move(aCallback));
  } else if (std::holds_alternative<Watch>(aQuery)) {
    Hold(aQuery, kWatchHold, std::move(aCallback));
  } else {
    AnswerConfirmed(aQuery, std::move(aCallback));
  }
}

std::optional<ReplyBody> QueryServer::AnswerNow(const Query& aQuery) const
{
  return std::visit([this](const auto& aBody) { return ReadNow(aBody); },
                    aQuery);
}

std::optional<ReplyBody> QueryServer::ReadNow(const ReadJob& aQuery) const
{
  const Job* job = m_replica.GetState().FindJob(aQuery.m_job);
  if (job == nullptr || (aQuery.m_after >= job->m_results.size() &&
                         aQuery.m_wait > Duration::zero() && !job->m_ended &&
                         job->m_results.size() < job->m_total)) {
    return std::nullopt;
  }
  JobView view;
  view.m_exists = true;
  view.m_total = job->m_total;
  view.m_next = aQuery.m_after;
  std::size_t bytes = 0;
  for (std::size_t at = aQuery.m_after; at < job->m_results.size(); ++at) {
    const StoredResult& stored = job->m_results[at];
    bytes += stored.m_output.m_bytes + stored.m_id.Get().size();
    if (bytes > kMaxAnswerBytes && !view.m_results.empty()) {
      break;
    }
    auto result = m_replica.GetState().Load(stored);
    if (!result) {
      LogLine(LogLevel::Error, "result_unreadable")
        .Add("job", aQuery.m_job)
        .Add("position", at)
        .Add("file", result.error().m_file)
        .Add("error", result.error().m_systemError);
      return std::nullopt;
    }
    view.m_results.push_back(std::move(*result));
    ++view.m_next;
  }
  return ReplyBody(std::move(view));
}

std::optional<ReplyBody> QueryServer::ReadNow(const ReadItem& aQuery) const
{
  const Job* job = m_replica.GetState().FindJob(aQuery.m_job);
  if (job == nullptr) {
    return std::nullopt;
  }
  ItemView view;
  const auto index = job->m_itemIndex.find(aQuery.m_item);
  if (index != job->m_itemIndex.end()) {
    view.m_body = job->m_spec->m_items[index->second].m_body;
  }
  return ReplyBody(std::move(view));
}

std::optional<ReplyBody> QueryServer::ReadNow(
  const ReadConfiguration& /*aQuery*/) const
{
  return std::nullopt;
}

std::optional<ReplyBody> QueryServer::ReadNow(
  const ReadRetirement& /*aQuery*/) const
{
  return std::nullopt;
}

DirectoryView QueryServer::ViewFor(const Watch& aQuery) const
{
  const State& state = m_replica.GetState();
  DirectoryView view;
  view.m_term = m_replica.GetTerm();
  view.m_directory = state.Directory();
  if (state.Configuration().m_version > aQuery.m_configuration) {
    view.m_configuration = state.Configuration();
  }
  if (state.Directory() != aQuery.m_directory) {
    auto& backends = view.m_backends.emplace();
    for (const auto& [id, record] : state.Backends()) {
      backends.push_back(record);
    }
  }
  view.m_members = m_replica.LogMembers();
  return view;
}

std::optional<ReplyBody> QueryServer::ReadNow(const Watch& aQuery) const
{
  DirectoryView view = ViewFor(aQuery);
  if (!view.m_configuration && !view.m_backends) {
    return std::nullopt;
  }
  return ReplyBody(std::move(view));
}

void QueryServer::AnswerConfirmed(
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
            const auto now = ReadNow(read);
            callback(now ? *now : ReplyBody(JobView{}));
          },
          [&](const ReadItem& aRead) {
            const auto now = ReadNow(aRead);
            callback(now ? *now : ReplyBody(ItemView{}));
          },
          [&](const ReadConfiguration&) {
            callback(ReplyBody(state.Configuration()));
          },
          [&](const ReadRetirement& aRead) {
            RetirementView view;
            if (state.IsRetiringMachine(aRead.m_machine)) {
              view.m_state = Retirement::Completed;
              const auto members = m_replica.Status().m_configuration;
              for (const auto& instance : state.InstancesOf(aRead.m_machine)) {
                if (members.FindInstance(instance) != nullptr) {
                  view.m_state = Retirement::Running;
                }
              }
            }
            callback(ReplyBody(view));
          },
          [&](const Watch& aWatch) { callback(ReplyBody(ViewFor(aWatch))); } },
        aQuery);
    });
}

void QueryServer::Hold(const Query& aQuery,
                       Duration aTime,
                       std::function<void(std::optional<ReplyBody>)> aCallback)
{
  m_waiters.push_back(
    Waiter{ aQuery, MonotonicClock::Now() + aTime, std::move(aCallback) });
  m_loop.After(aTime, [this] { StateChanged(); });
}

void QueryServer::StateChanged()
{
  if (!std::exchange(m_scheduled, true)) {
    m_loop.Post([this] {
      m_scheduled = false;
      AnswerWaiters();
    });
  }
}

void QueryServer::AnswerWaiters()
{
  const TimePoint now = MonotonicClock::Now();
  for (auto waiter = m_waiters.begin(); waiter != m_waiters.end();) {
    auto answer = AnswerNow(waiter->m_query);
    if (!answer && now >= waiter->m_deadline) {
      if (auto* read = std::get_if<ReadJob>(&waiter->m_query)) {
        read->m_wait = Duration::zero();
        answer = ReadNow(*read);
      } else if (const auto* watch = std::get_if<Watch>(&waiter->m_query)) {
        answer = ReplyBody(ViewFor(*watch));
      }
    }
    if (!answer && now < waiter->m_deadline) {
      ++waiter;
      continue;
    }
    const auto callback = std::move(waiter->m_callback);
    waiter = m_waiters.erase(waiter);
    callback(std::move(answer));
  }
}

void QueryServer::RefuseAll()
{
  auto waiters = std::exchange(m_waiters, {});
  for (const auto& waiter : waiters) {
    waiter.m_callback(std::nullopt);
  }
}

} // namespace auburntrestle::fleet
