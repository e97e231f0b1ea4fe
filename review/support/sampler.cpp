#include "sampler.hpp"

#include <cstdlib>

namespace review {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusAccepted = 202;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusMisdirected = 421;
constexpr int kStatusUnavailable = 503;
constexpr Milliseconds kPingInterval{ 1200 };

std::uint64_t UnixMilliseconds()
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<Milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

std::string Chunk(const std::string& aText)
{
  std::string size;
  for (std::size_t left = aText.size(); left > 0; left /= 16) {
    size.insert(size.begin(), "0123456789abcdef"[left % 16]);
  }
  return size + "\r\n" + aText + "\r\n";
}

} // namespace

Sampler::Sampler(Record& aRecord,
                 std::vector<std::string> aControls,
                 SamplerOptions aOptions)
  : m_record(aRecord)
  , m_controls(std::move(aControls))
  , m_options(std::move(aOptions))
  , m_born(UnixMilliseconds())
  , m_server(std::make_unique<Server>(
      m_options.m_address,
      [this](const Message& aRequest, Connection& aConnection) {
        return Handle(aRequest, aConnection);
      }))
{
  m_record.Add("sampler " + m_options.m_id + " starts at " +
               m_options.m_address + ", born " + std::to_string(m_born));
}

Sampler::~Sampler()
{
  m_stopped = true;
  StopPings();
  m_server.reset();
}

std::string Sampler::PingBody(const std::string& aState)
{
  return R"({"service":")" + m_options.m_service + R"(","address":")" +
         m_options.m_address + R"(","zone":"zone-a","version":"v1","slots":)" +
         std::to_string(m_options.m_slots) + R"(,"state":")" + aState +
         R"(","cold_left_ms":0,"stage":"both","models":[{"name":")" + kModel +
         R"(","version":)" + std::to_string(m_version) +
         R"(,"adapters":[]}],"sequence":)" + std::to_string(++m_sequence) +
         R"(,"born":)" + std::to_string(m_born) + "}";
}

bool Sampler::Ping(int& aControl, const std::string& aState)
{
  for (std::size_t attempt = 0; attempt < m_controls.size(); ++attempt) {
    const auto& control =
      m_controls[static_cast<std::size_t>(aControl) % m_controls.size()];
    const auto response =
      Call(control,
           "PUT",
           "/auburntrestle/instances/" + m_options.m_id,
           { { "Host", "control" }, { "Content-Type", "application/json" } },
           PingBody(aState));
    m_record.Add(
      "ping of " + m_options.m_id + " (" + aState + ", sequence " +
      std::to_string(m_sequence) + ") at storage machine " +
      std::to_string(aControl % static_cast<int>(m_controls.size())) + " -> " +
      (response ? std::to_string(response->m_status) : "nothing"));
    if (response && response->m_status == kStatusOk) {
      return true;
    }
    ++aControl;
  }
  return false;
}

void Sampler::StartPings(int aFirstControl)
{
  m_pings = true;
  int control = aFirstControl;
  std::ignore = Ping(control, "ready");
  m_pinger = std::thread([this, control]() mutable {
    auto next = std::chrono::steady_clock::now() + kPingInterval;
    while (m_pings) {
      Sleep(20);
      if (std::chrono::steady_clock::now() >= next) {
        next += kPingInterval;
        std::ignore = Ping(control, "ready");
      }
    }
  });
}

void Sampler::StopPings()
{
  m_pings = false;
  if (m_pinger.joinable()) {
    m_pinger.join();
  }
}

bool Sampler::Deregister(int aFirstControl)
{
  for (std::size_t attempt = 0; attempt < m_controls.size(); ++attempt) {
    const auto index =
      (static_cast<std::size_t>(aFirstControl) + attempt) % m_controls.size();
    const auto response = Call(m_controls[index],
                               "DELETE",
                               "/auburntrestle/instances/" + m_options.m_id,
                               { { "Host", "control" } });
    m_record.Add(
      "DELETE of " + m_options.m_id + " at storage machine " +
      std::to_string(index) + " -> " +
      (response ? std::to_string(response->m_status) : "nothing in 1 s"));
    if (response && response->m_status == kStatusOk) {
      return true;
    }
  }
  return false;
}

std::vector<Run> Sampler::Runs() const
{
  const std::lock_guard lock(m_mutex);
  return m_runs;
}

std::string Sampler::Event(const std::string& aItem, int aNumber)
{
  return aItem + "-event-" + std::to_string(aNumber);
}

std::size_t Sampler::Begin(const Message& aRequest)
{
  Run run;
  run.m_id = aRequest.Find("X-Attempt-Id");
  run.m_sampler = m_options.m_id;
  run.m_method = aRequest.m_method;
  run.m_target = aRequest.m_target;
  run.m_body = aRequest.m_body;
  run.m_beganAt = m_record.Seconds();
  m_record.Add(
    "run of " + run.m_id + " begins at " + m_options.m_id + ": " +
    run.m_method + " " + run.m_target + ", body of " +
    std::to_string(run.m_body.size()) + " bytes, after event " +
    (aRequest.Has("Last-Event-Id") ? aRequest.Find("Last-Event-Id") : "none"));
  const std::lock_guard lock(m_mutex);
  m_runs.push_back(std::move(run));
  return m_runs.size() - 1;
}

void Sampler::End(std::size_t aRun, bool aIsComplete)
{
  std::string id;
  {
    const std::lock_guard lock(m_mutex);
    m_runs[aRun].m_endedAt = m_record.Seconds();
    m_runs[aRun].m_isComplete = aIsComplete;
    id = m_runs[aRun].m_id;
  }
  m_record.Add("run of " + id + (aIsComplete ? " is complete" : " ends early") +
               " at " + m_options.m_id);
}

std::string Sampler::Report() const
{
  return R"({"stage":"both","models":[{"name":")" + std::string(kModel) +
         R"(","version":)" + std::to_string(m_version) +
         R"(,"adapters":[]}],"busy":false,"sequence":)" +
         std::to_string(m_orders) + R"(,"num_waiting":0,"num_running":)" +
         std::to_string(m_running) +
         R"(,"kv_used":0,"kv_total":117855,"handles":0})";
}

bool Sampler::Handle(const Message& aRequest, Connection& aConnection)
{
  const std::string id = aRequest.Find("X-Attempt-Id");
  const Headers notRun{ { "X-Not-Executed", "1" }, { "X-Attempt-Id", id } };
  const std::string expected = aRequest.Find("X-Expect-Instance");
  if (!expected.empty() && expected != m_options.m_id) {
    return aConnection.Write(Response(kStatusMisdirected, notRun));
  }
  const std::string path = aRequest.Path();
  const Headers json{ { "Content-Type", "application/json" } };
  if (path == "/auburntrestle/report") {
    return aConnection.Write(Response(kStatusOk, json, Report()));
  }
  if (path == "/auburntrestle/order") {
    constexpr std::string_view kField = "\"version\":";
    const auto field = aRequest.m_body.rfind(kField);
    if (field != std::string::npos) {
      m_version = std::atoi(aRequest.m_body.c_str() + field + kField.size());
      ++m_orders;
    }
    return aConnection.Write(Response(kStatusAccepted));
  }
  if (path == "/healthz") {
    return aConnection.Write(
      Response(kStatusOk, { { "X-Instance-Id", m_options.m_id } }));
  }
  if (id.empty()) {
    return aConnection.Write(Response(kStatusBadRequest, notRun));
  }
  if (m_running.fetch_add(1) >= m_options.m_slots) {
    --m_running;
    return aConnection.Write(Response(kStatusUnavailable, notRun));
  }
  const bool kept = path.starts_with("/rollout/")
                      ? RunItem(aRequest, aConnection)
                      : RunPlain(aRequest, aConnection);
  --m_running;
  return kept;
}

bool Sampler::RunPlain(const Message& aRequest, Connection& aConnection)
{
  const auto run = Begin(aRequest);
  const std::string id = aRequest.Find("X-Attempt-Id");
  const bool written = aConnection.Write(
    Response(kStatusOk,
             { { "X-Attempt-Id", id }, { "X-Response-Stamp", "stamp-" + id } },
             "answer to " + aRequest.m_body));
  End(run, written);
  return written;
}

bool Sampler::RunItem(const Message& aRequest, Connection& aConnection)
{
  const auto run = Begin(aRequest);
  const std::string id = aRequest.Find("X-Attempt-Id");
  bool open = aConnection.Write(
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: " +
    id + "\r\nX-Response-Stamp: stamp-" + id + "\r\nX-Weight-Versions: " +
    std::to_string(m_version) + "\r\nTransfer-Encoding: chunked\r\n\r\n");
  const int last = std::atoi(aRequest.Find("Last-Event-Id").c_str());
  for (int event = last + 1; open && event <= m_options.m_events; ++event) {
    for (auto waited = Milliseconds(0);
         open && !m_stopped && waited < m_options.m_eventGap;
         waited += Milliseconds(10)) {
      Sleep(10);
      open = !aConnection.IsClosed();
    }
    open = open && !m_stopped &&
           aConnection.Write(Chunk("id: " + std::to_string(event) +
                                   "\ndata: " + Event(id, event) + "\n\n"));
  }
  open = open && aConnection.Write("0\r\n\r\n");
  End(run, open);
  return open;
}

} // namespace review
