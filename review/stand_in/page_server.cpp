#include "page_server.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <memory>
#include <thread>
#include <vector>

namespace auburntrestle::review {

namespace {

constexpr int kServers = 2;
constexpr int kSlots = 6;
constexpr std::chrono::milliseconds kSmallWorkTime(21);

bool IsLarge(const std::string& aId)
{
  return aId.starts_with("large");
}

std::size_t BytesOf(const std::string& aId)
{
  if (aId.starts_with("huge")) {
    return kHugeBody;
  }
  return IsLarge(aId) ? kLargeBody : aId.size();
}

/** @return the body of the answer to a request: its id again and again. */
std::string BodyOf(const std::string& aId)
{
  const std::size_t bytes = BytesOf(aId);
  std::string body;
  body.reserve(bytes + aId.size() + 1);
  while (body.size() < bytes) {
    body += aId;
    body += ' ';
  }
  body.resize(bytes);
  return body;
}

void StartServer(const std::string& aId,
                 const Address& aAddress,
                 std::chrono::milliseconds aWorkTime,
                 Record& aRecord)
{
  const auto serve = [aId, aWorkTime, &aRecord](Connection& aConnection) {
    Message request;
    while (aConnection.Read(request) == ReadOutcome::Complete) {
      const std::string id = request.Field("X-Attempt-Id").value_or("");
      if (request.Field("X-Expect-Instance").value_or(aId) != aId) {
        aConnection.Send(FormatResponse(421, { { "X-Attempt-Id", id } }, ""));
        continue;
      }
      aRecord.Write(std::string("run ").append(id).append(" at ").append(aId));
      std::this_thread::sleep_for(IsLarge(id) ? aWorkTime : kSmallWorkTime);
      aConnection.Send(FormatResponse(
        200,
        { { "X-Attempt-Id", id }, { "X-Response-Stamp", "stamp-" + id } },
        BodyOf(id)));
      aRecord.Write(std::string(aId).append(" has answered ").append(id));
    }
  };
  // Never destroyed: it serves until the process ends.
  static std::vector<std::unique_ptr<Listener>> listeners;
  listeners.push_back(std::make_unique<Listener>(aAddress, serve));
}

Json MakeManifest()
{
  return Json{ { "version", 1 },
               { "routes",
                 { { { "name", "r-pages" },
                     { "host", kPageHost },
                     { "path_prefix", kPagePath },
                     { "route_type", "idempotent" },
                     { "timeout_ms", 10000 },
                     { "latency_target_ms", 8000 },
                     { "priority", 1 },
                     { "service", kPageService },
                     { "max_attempts", 2 } } } },
               { "services",
                 { { { "name", kPageService },
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

std::string Printable(std::string aBytes)
{
  for (char& byte : aBytes) {
    byte = byte >= ' ' && byte <= '~' ? byte : '.';
  }
  return aBytes;
}

} // namespace

bool StartPageService(const CaseOptions& aOptions,
                      Record& aRecord,
                      std::chrono::milliseconds aWorkTime)
{
  for (int number = 1; number <= kServers; ++number) {
    const std::string id = "server-" + std::to_string(number);
    const Address address{ aOptions.m_network + "." +
                             std::to_string(100 + number),
                           aOptions.m_serverPort };
    StartServer(id, address, aWorkTime, aRecord);
    StartHeartbeats(aOptions,
                    aRecord,
                    { id,
                      kPageService,
                      address.Text(),
                      "zone-" + std::to_string(number),
                      kSlots,
                      {} });
  }
  ControlCaller control(aOptions.m_controls, aRecord);
  return control.Call("PUT",
                      "/auburntrestle/config",
                      MakeManifest().dump(),
                      std::chrono::seconds(20)) &&
         std::all_of(aOptions.m_fronts.begin(),
                     aOptions.m_fronts.end(),
                     [](const Address& aFront) {
                       return WaitUntilServed(aFront,
                                              kPageHost,
                                              kPagePath,
                                              std::chrono::seconds(15));
                     });
}

std::string PageRequest(const std::string& aId)
{
  return FormatRequest("GET",
                       std::string(kPagePath) + aId,
                       { { "Host", kPageHost },
                         { "X-Attempt-Id", aId },
                         { "X-Deadline-Ms", "10000" } },
                       "");
}

std::string ReadAtLinkSpeed(Connection& aConnection,
                            std::chrono::milliseconds aSilence,
                            const std::function<void()>& aOnFirstBytes)
{
  constexpr std::size_t kBytesPerStep = 75000;
  constexpr std::chrono::milliseconds kStep(10);
  aConnection.SetReadTimeout(static_cast<int>(aSilence.count()));
  std::string received;
  std::string buffer(kBytesPerStep, '\0');
  bool called = false;
  while (true) {
    const ssize_t count =
      recv(aConnection.Descriptor(), buffer.data(), buffer.size(), 0);
    if (count <= 0) {
      return received;
    }
    received.append(buffer.data(), static_cast<std::size_t>(count));
    if (!std::exchange(called, true)) {
      aOnFirstBytes();
    }
    std::this_thread::sleep_for(kStep);
  }
}

PageFault CheckPage(const std::string& aId, std::string& aBytes)
{
  constexpr std::string_view kEnd = "\r\n\r\n";
  constexpr std::size_t kShown = 48;
  const auto end = aBytes.find(kEnd);
  if (aBytes.empty()) {
    return { "no answer", true };
  }
  if (!aBytes.starts_with("HTTP/1.1 ") || end == std::string::npos) {
    return { "bytes that are no answer: '" +
             Printable(aBytes.substr(0, kShown)) + "'" };
  }
  const std::string head = aBytes.substr(0, end + kEnd.size());
  if (!head.starts_with("HTTP/1.1 200")) {
    aBytes.erase(0, head.size());
    return {};
  }
  const std::string body = aBytes.substr(head.size(), BytesOf(aId));
  aBytes.erase(0, head.size() + body.size());
  if (head.find("X-Attempt-Id: " + aId + "\r\n") == std::string::npos) {
    return { "an answer that belongs to another request" };
  }
  const std::string expected = BodyOf(aId);
  const auto same = static_cast<std::size_t>(
    std::mismatch(body.begin(), body.end(), expected.begin()).first -
    body.begin());
  if (same < body.size()) {
    return { "200 whose body isn't the server's from byte " +
             std::to_string(same) + " on: '" +
             Printable(body.substr(same, kShown)) + "'" };
  }
  if (body.size() == expected.size()) {
    return {};
  }
  return { "200 that ends after " + std::to_string(body.size()) + " of " +
             std::to_string(expected.size()) + " bytes",
           true };
}

} // namespace auburntrestle::review
