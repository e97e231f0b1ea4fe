// A server that is full now and then, and that sends a second copy of some of
// its answers late: at the point where the next answer on the channel is due.
// The copies bear the id of the request to which they belong.

#include "../stand_in/platform.hpp"

#include <algorithm>
#include <atomic>
#include <map>
#include <set>
#include <thread>

namespace {

using namespace auburntrestle::review;

constexpr auto kHost = "desk.example";
constexpr auto kPath = "/orders/";
constexpr auto kService = "desk";
constexpr int kServers = 3;
constexpr int kSlots = 6;
constexpr int kQueue = 4;
constexpr std::chrono::milliseconds kWorkTime(21);
constexpr int kClients = 60;
constexpr std::chrono::milliseconds kClientPause(30);
/** The disruption: one server of three, one answer in 34, for 5 s. */
constexpr int kAnswersPerCopy = 34;
constexpr std::chrono::seconds kTroubleTime(5);
constexpr std::chrono::seconds kRunTime(7);

/** The runs and the answers of all requests. */
class Ledger
{
public:
  explicit Ledger(Record& aRecord)
    : m_record(aRecord)
  {
  }

  void RecordRun(const std::string& aId, const std::string& aServer)
  {
    const std::lock_guard lock(m_mutex);
    m_runs[aId].push_back(aServer);
    m_record.Write("run " + aId + " at " + aServer);
  }
  void RecordAnswer(const std::string& aId, int aStatus)
  {
    const std::lock_guard lock(m_mutex);
    m_answers[aId] = aStatus;
    m_record.Write("answered " + aId + " with " + std::to_string(aStatus));
  }
  [[nodiscard]] std::size_t Answers() const { return m_answers.size(); }
  [[nodiscard]] std::size_t AnswersWith(int aStatus) const
  {
    return static_cast<std::size_t>(
      std::count_if(m_answers.begin(), m_answers.end(), [&](const auto& aItem) {
        return aItem.second == aStatus;
      }));
  }
  /** @return the requests that ran more than once. */
  [[nodiscard]] std::vector<std::string> RunTwice() const
  {
    std::vector<std::string> ids;
    for (const auto& [id, servers] : m_runs) {
      if (servers.size() > 1) {
        ids.push_back(id);
      }
    }
    return ids;
  }
  /** @return the requests that ran, though their answer says that they did not
   * and never will. */
  [[nodiscard]] std::vector<std::string> RunAndRefused() const
  {
    static const std::set<int> kPromises{ 408, 421, 429, 503 };
    std::vector<std::string> ids;
    for (const auto& [id, status] : m_answers) {
      if (kPromises.contains(status) && m_runs.contains(id)) {
        ids.push_back(id);
      }
    }
    return ids;
  }

private:
  Record& m_record;
  std::mutex m_mutex;
  std::map<std::string, std::vector<std::string>> m_runs;
  std::map<std::string, int> m_answers;
};

/** A server with a few slots and a short queue that refuses what exceeds them.
 */
class Server
{
public:
  Server(std::string aId,
         const Address& aAddress,
         Ledger& aLedger,
         Record& aRecord)
    : m_id(std::move(aId))
    , m_ledger(aLedger)
    , m_record(aRecord)
    , m_listener(aAddress,
                 [this](Connection& aConnection) { Serve(aConnection); })
  {
  }

  /** Starts to send copies. */
  void StartTrouble() { m_troubleUntil = Now() + kTroubleTime; }
  [[nodiscard]] int Copies() const { return m_copies; }
  [[nodiscard]] int Answers() const { return m_answers; }

private:
  using Clock = std::chrono::steady_clock;
  static Clock::time_point Now() { return Clock::now(); }

  void Serve(Connection& aConnection)
  {
    std::string lateCopy;
    Message request;
    while (aConnection.Read(request) == ReadOutcome::Complete) {
      if (!lateCopy.empty()) {
        m_record.Write("late copy sent by " + m_id + " where the answer to " +
                       request.Field("X-Attempt-Id").value_or("") + " is due");
        aConnection.Send(std::exchange(lateCopy, {}));
      }
      const std::string answer = Handle(request, aConnection);
      if (answer.empty() || !aConnection.Send(answer)) {
        return;
      }
      const bool troubled = Now() < m_troubleUntil.load();
      if (troubled && ++m_troubledAnswers % kAnswersPerCopy == 0) {
        ++m_copies;
        lateCopy = answer;
      }
    }
  }

  /** @return the answer, or nothing if the channel closed before the run. */
  std::string Handle(const Message& aRequest, const Connection& aConnection)
  {
    const std::string id = aRequest.Field("X-Attempt-Id").value_or("");
    HeaderFields fields{ { "X-Attempt-Id", id } };
    ++m_answers;
    if (aRequest.Field("X-Expect-Instance").value_or(m_id) != m_id) {
      return FormatResponse(421, fields, "");
    }
    if (++m_present > kSlots + kQueue) {
      --m_present;
      fields.emplace_back("X-Not-Executed", "1");
      return FormatResponse(503, fields, "");
    }
    while (!TakeSlot()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
      if (aConnection.IsClosedByPeer()) {
        --m_present;
        return "";
      }
    }
    m_ledger.RecordRun(id, m_id);
    std::this_thread::sleep_for(kWorkTime);
    --m_running;
    --m_present;
    fields.emplace_back("X-Response-Stamp", "stamp-" + id);
    return FormatResponse(200, fields, "done " + id);
  }

  bool TakeSlot()
  {
    int running = m_running.load();
    return running < kSlots &&
           m_running.compare_exchange_strong(running, running + 1);
  }

  std::string m_id;
  Ledger& m_ledger;
  Record& m_record;
  std::atomic<Clock::time_point> m_troubleUntil{ Clock::time_point{} };
  std::atomic<int> m_present = 0;
  std::atomic<int> m_running = 0;
  std::atomic<int> m_answers = 0;
  std::atomic<int> m_troubledAnswers = 0;
  std::atomic<int> m_copies = 0;
  Listener m_listener;
};

/** Sends requests on a kept channel, one after the other, each with an id of
 * its own. */
void RunClient(const Address& aFront,
               int aNumber,
               std::chrono::steady_clock::time_point aUntil,
               Ledger& aLedger)
{
  constexpr int kReadTimeoutMs = 3000;
  std::unique_ptr<Connection> connection;
  for (int count = 0; std::chrono::steady_clock::now() < aUntil; ++count) {
    if (connection == nullptr) {
      connection = Connection::Open(aFront);
      if (connection == nullptr) {
        return;
      }
      connection->SetReadTimeout(kReadTimeoutMs);
    }
    const std::string id =
      "c" + std::to_string(aNumber) + "n" + std::to_string(count);
    connection->Send(FormatRequest("POST",
                                   std::string(kPath) + id,
                                   { { "Host", kHost },
                                     { "X-Attempt-Id", id },
                                     { "X-Deadline-Ms", "2000" } },
                                   "order " + id));
    Message response;
    if (connection->Read(response) != ReadOutcome::Complete) {
      connection.reset();
      continue;
    }
    aLedger.RecordAnswer(id, response.Status());
    if (response.Field("Connection").value_or("") == "close") {
      connection.reset();
    }
    std::this_thread::sleep_for(kClientPause);
  }
}

Json MakeManifest()
{
  return Json{ { "version", 1 },
               { "routes",
                 { { { "name", "r-orders" },
                     { "host", kHost },
                     { "path_prefix", kPath },
                     { "route_type", "non_idempotent" },
                     { "timeout_ms", 2000 },
                     { "latency_target_ms", 400 },
                     { "priority", 1 },
                     { "service", kService },
                     { "max_attempts", 2 } } } },
               { "services",
                 { { { "name", kService },
                     { "health_path", "/healthz" },
                     { "max_conns", 110 },
                     { "protocol", "h1" },
                     { "tls", false } } } },
               { "limits",
                 { { "header_bytes", 16384 },
                   { "body_bytes", 33554432 },
                   { "header_ms", 3000 },
                   { "idle_timeout_ms", 15000 } } } };
}

Verdict RunCase(const CaseOptions& aOptions)
{
  // Static, because the threads of the stand-ins end with the process.
  static Record record(aOptions.m_recordFile);
  static Ledger ledger(record);
  static std::vector<std::unique_ptr<Server>> servers;
  for (int number = 1; number <= kServers; ++number) {
    const std::string id = "server-" + std::to_string(number);
    const Address address{ aOptions.m_network + "." +
                             std::to_string(100 + number),
                           aOptions.m_serverPort };
    servers.push_back(std::make_unique<Server>(id, address, ledger, record));
    StartHeartbeats(aOptions,
                    record,
                    { id,
                      kService,
                      address.Text(),
                      "zone-" + std::to_string(number),
                      kSlots,
                      {} });
  }
  ControlCaller control(aOptions.m_controls, record);
  const bool ready =
    control.Call("PUT",
                 "/auburntrestle/config",
                 MakeManifest().dump(),
                 std::chrono::seconds(20)) &&
    WaitUntilServed(
      aOptions.m_fronts.front(), kHost, kPath, std::chrono::seconds(15));
  if (!ready) {
    return record.Close(Verdict::CouldNotRun, "the system does not serve");
  }
  // All servers are known by now, and each machine has been calm for a while.
  std::this_thread::sleep_for(std::chrono::seconds(4));
  record.Write("traffic starts");
  if (aOptions.m_trouble) {
    servers.front()->StartTrouble();
  }
  const auto until = std::chrono::steady_clock::now() + kRunTime;
  std::vector<std::thread> clients;
  for (int number = 0; number < kClients; ++number) {
    const auto& front =
      aOptions
        .m_fronts[static_cast<std::size_t>(number) % aOptions.m_fronts.size()];
    clients.emplace_back(
      [&, number] { RunClient(front, number, until, ledger); });
  }
  for (auto& client : clients) {
    client.join();
  }
  std::this_thread::sleep_for(std::chrono::seconds(1));
  const auto twice = ledger.RunTwice();
  const auto refused = ledger.RunAndRefused();
  for (const auto& id : twice) {
    record.Write("ran more than once: " + id);
  }
  for (const auto& id : refused) {
    record.Write("ran and was refused: " + id);
  }
  record.Write(
    "requests answered: " + std::to_string(ledger.Answers()) +
    ", with 200: " + std::to_string(ledger.AnswersWith(200)) +
    ", with 503: " + std::to_string(ledger.AnswersWith(503)) +
    ", answers of server-1: " + std::to_string(servers.front()->Answers()) +
    ", late copies: " + std::to_string(servers.front()->Copies()));
  if (ledger.AnswersWith(200) == 0) {
    return record.Close(Verdict::CouldNotRun, "no request was served");
  }
  const std::string figures =
    std::to_string(twice.size()) + " requests ran more than once, " +
    std::to_string(refused.size()) + " ran and were refused";
  return record.Close(twice.empty() && refused.empty() ? Verdict::Held
                                                       : Verdict::Broken,
                      figures);
}

} // namespace

int main(int aCount, char** aArguments)
{
  const auto verdict = RunCase(CaseOptions::Parse(aCount, aArguments));
  std::_Exit(static_cast<int>(verdict));
}
