#include "engine.hpp"

#include <array>
#include <cstdio>
#include <thread>

namespace auburntrestle::review {

namespace {

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kInvalid = 400;
constexpr int kConflict = 409;
constexpr int kFenced = 412;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
constexpr std::chrono::milliseconds kPollInterval(2);

std::string Chunk(const std::string& aBytes)
{
  std::array<char, 16> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", aBytes.size());
  return size.data() + aBytes + "\r\n";
}

} // namespace

Engine::Engine(EngineOptions aOptions, Record& aRecord)
  : m_options(std::move(aOptions))
  , m_record(aRecord)
  , m_listener(m_options.m_address,
               [this](Connection& aConnection) { Serve(aConnection); })
{
}

void Engine::Serve(Connection& aConnection)
{
  Message request;
  while (aConnection.Read(request) == ReadOutcome::Complete) {
    const std::string target = request.Target();
    if (request.Field("X-Expect-Instance").value_or(m_options.m_id) !=
        m_options.m_id) {
      aConnection.Send(FormatResponse(kMisdirected, {}, ""));
    } else if (target == "/auburntrestle/report") {
      aConnection.Send(FormatResponse(kOk, {}, Report()));
    } else if (target == "/auburntrestle/order") {
      const std::string answer = HandleOrder(Json::parse(request.m_body));
      if (!answer.empty()) {
        aConnection.Send(answer);
      }
    } else {
      Run(request, aConnection);
    }
  }
}

std::string Engine::Report()
{
  return Json{
    { "stage", "both" },
    { "models",
      { { { "name", m_options.m_model },
          { "version", m_version.load() },
          { "adapters", Json::array() } } } },
    { "busy", m_busy.load() },
    { "sequence", m_sequence.load() },
    { "num_waiting", 0 },
    { "num_running", m_running.load() },
    { "kv_used", 0 },
    { "kv_total", 117855 },
    { "handles", 0 }
  }.dump();
}

std::string Engine::HandleOrder(const Json& aOrder)
{
  ++m_orders;
  m_record.Write("order to " + m_options.m_id + ": " + aOrder.dump());
  const auto late =
    m_options.m_lateOrder ? m_options.m_lateOrder() : std::nullopt;
  if (late) {
    m_record.Write("order to " + m_options.m_id + " gets no answer");
    std::thread([this, aOrder, delay = *late] {
      std::this_thread::sleep_for(delay);
      const int status = CarryOut(aOrder);
      m_record.Write("late order at " + m_options.m_id + " came to " +
                     std::to_string(status));
    }).detach();
    return "";
  }
  const int status = CarryOut(aOrder);
  m_record.Write("order to " + m_options.m_id + " answered with " +
                 std::to_string(status));
  return FormatResponse(status, {}, "");
}

int Engine::CarryOut(const Json& aOrder)
{
  const std::lock_guard lock(m_mutex);
  if (!aOrder.contains("holder") || !aOrder.contains("fence")) {
    return kInvalid;
  }
  const long fence = aOrder["fence"];
  if (fence < m_highestFence) {
    return kFenced;
  }
  m_highestFence = fence;
  const int version = aOrder["version"];
  if (m_version == version) {
    return kOk;
  }
  if (m_busy || (aOrder.contains("precondition") &&
                 aOrder["precondition"].get<int>() != m_sequence)) {
    return kConflict;
  }
  ++m_sequence;
  m_busy = true;
  const bool waits = aOrder["strategy"].get<std::string>() == "wait";
  std::thread([this, version, waits] {
    while (waits && m_running > 0) {
      std::this_thread::sleep_for(kPollInterval);
    }
    m_loading = true;
    std::this_thread::sleep_for(m_options.m_loadTime);
    m_version = version;
    m_loading = false;
    m_busy = false;
    m_record.Write(m_options.m_id + " has version " + std::to_string(version));
  }).detach();
  return kAccepted;
}

void Engine::Run(const Message& aRequest, Connection& aConnection)
{
  const std::string id = aRequest.Field("X-Attempt-Id").value_or("");
  if (m_busy || m_running >= m_options.m_slots) {
    aConnection.Send(FormatResponse(
      kUnavailable, { { "X-Attempt-Id", id }, { "X-Not-Executed", "1" } }, ""));
    return;
  }
  ++m_running;
  int stated = m_version;
  const int last = std::stoi(aRequest.Field("Last-Event-Id").value_or("0"));
  m_record.Write("run " + id + " at " + m_options.m_id + " after event " +
                 std::to_string(last) + ", version " + std::to_string(stated));
  bool open = aConnection.Send(
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: " +
    id + "\r\nX-Response-Stamp: stamp-" + id + "\r\nX-Weight-Versions: " +
    std::to_string(stated) + "\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int event = last + 1; open && event <= m_options.m_events; ++event) {
    std::this_thread::sleep_for(m_options.m_eventInterval);
    while (m_loading) {
      std::this_thread::sleep_for(kPollInterval);
    }
    const int version = m_version;
    std::string text;
    if (version != stated) {
      stated = version;
      text = "x-weight-versions: " + std::to_string(version) + "\n";
      m_record.Write(id + " goes on at event " + std::to_string(event) +
                     " under version " + std::to_string(version));
    }
    text += "id: " + std::to_string(event) + "\ndata: " + id + " " +
            std::to_string(event) + "\n\n";
    open = !aConnection.IsClosedByPeer() && aConnection.Send(Chunk(text));
  }
  if (open) {
    aConnection.Send("0\r\n\r\n");
  }
  --m_running;
  m_record.Write("run " + id + " at " + m_options.m_id +
                 (open ? " ends" : " is dropped"));
}

} // namespace auburntrestle::review
