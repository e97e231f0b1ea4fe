#include "platform.hpp"

#include <array>
#include <cstdio>
#include <iostream>
#include <sstream>
#include <thread>

namespace auburntrestle::review {

namespace {

std::vector<std::string> Split(const std::string& aText)
{
  std::vector<std::string> parts;
  std::istringstream stream(aText);
  std::string part;
  while (std::getline(stream, part, ',')) {
    parts.push_back(part);
  }
  return parts;
}

} // namespace

CaseOptions CaseOptions::Parse(int aCount, char** aArguments)
{
  CaseOptions options;
  for (int index = 1; index + 1 < aCount; index += 2) {
    const std::string name = aArguments[index];
    const std::string value = aArguments[index + 1];
    if (name == "--controls" || name == "--fronts") {
      auto& addresses =
        name == "--controls" ? options.m_controls : options.m_fronts;
      for (const auto& part : Split(value)) {
        addresses.push_back(Address::Parse(part));
      }
    } else if (name == "--pids") {
      for (const auto& part : Split(value)) {
        options.m_entryPids.push_back(std::stoi(part));
      }
    } else if (name == "--network") {
      options.m_network = value;
    } else if (name == "--port") {
      options.m_serverPort = static_cast<std::uint16_t>(std::stoi(value));
    } else if (name == "--trouble") {
      options.m_trouble = value != "0";
    } else if (name == "--record") {
      options.m_recordFile = value;
    }
  }
  return options;
}

Record::Record(const std::string& aFile)
  : m_file(aFile, std::ios::app)
  , m_start(std::chrono::steady_clock::now())
{
}

void Record::Write(const std::string& aLine)
{
  const std::lock_guard lock(m_mutex);
  const std::chrono::duration<double> time =
    std::chrono::steady_clock::now() - m_start;
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%8.3f ", time.count());
  m_file << text.data() << aLine << "\n";
  m_file.flush();
}

Verdict Record::Close(Verdict aVerdict, const std::string& aReason)
{
  const std::string word = aVerdict == Verdict::Held     ? "held"
                           : aVerdict == Verdict::Broken ? "broken"
                                                         : "could not run";
  Write("verdict: " + word + ": " + aReason);
  return aVerdict;
}

ControlCaller::ControlCaller(std::vector<Address> aControls, Record& aRecord)
  : m_controls(std::move(aControls))
  , m_record(aRecord)
{
}

bool ControlCaller::Call(const std::string& aMethod,
                         const std::string& aPath,
                         const std::string& aBody,
                         std::chrono::seconds aTimeout)
{
  constexpr int kAnswerTimeoutMs = 1000;
  constexpr int kSuccess = 200;
  constexpr int kRedirection = 300;
  constexpr std::chrono::milliseconds kRetryDelay(100);
  const auto until = std::chrono::steady_clock::now() + aTimeout;
  int status = 0;
  for (std::size_t attempt = 0; std::chrono::steady_clock::now() < until;
       ++attempt) {
    const auto& control = m_controls[attempt % m_controls.size()];
    const auto connection = Connection::Open(control);
    if (connection != nullptr) {
      connection->SetReadTimeout(kAnswerTimeoutMs);
      connection->Send(FormatRequest(
        aMethod,
        aPath,
        { { "Host", control.Text() }, { "Content-Type", "application/json" } },
        aBody));
      Message response;
      if (connection->Read(response) == ReadOutcome::Complete) {
        status = response.Status();
        if (status >= kSuccess && status < kRedirection) {
          return true;
        }
      }
    }
    std::this_thread::sleep_for(kRetryDelay);
  }
  m_record.Write("no acknowledgement of " + aMethod + " " + aPath +
                 ", last status " + std::to_string(status));
  return false;
}

void StartHeartbeats(const CaseOptions& aOptions,
                     Record& aRecord,
                     const ServerEntry& aServer)
{
  std::thread([caller = ControlCaller(aOptions.m_controls, aRecord),
               server = aServer,
               born = UnixMilliseconds()]() mutable {
    constexpr std::chrono::milliseconds kHeartbeatInterval(1200);
    for (int sequence = 1;; ++sequence) {
      Json heartbeat{ { "service", server.m_service },
                      { "address", server.m_address },
                      { "zone", server.m_zone },
                      { "version", "v1" },
                      { "slots", server.m_slots },
                      { "state", "ready" },
                      { "cold_left_ms", 0 },
                      { "sequence", sequence },
                      { "born", born } };
      if (!server.m_models.is_null()) {
        heartbeat["stage"] = "both";
        heartbeat["models"] = server.m_models;
      }
      caller.Call("PUT",
                  "/auburntrestle/instances/" + server.m_id,
                  heartbeat.dump(),
                  std::chrono::seconds(10));
      std::this_thread::sleep_for(kHeartbeatInterval);
    }
  }).detach();
}

bool WaitUntilServed(const Address& aFront,
                     const std::string& aHost,
                     const std::string& aPath,
                     std::chrono::seconds aTimeout)
{
  constexpr int kUnavailable = 503;
  constexpr int kAnswerTimeoutMs = 2000;
  constexpr std::chrono::milliseconds kInterval(100);
  const auto until = std::chrono::steady_clock::now() + aTimeout;
  for (int attempt = 0; std::chrono::steady_clock::now() < until; ++attempt) {
    const auto connection = Connection::Open(aFront);
    if (connection != nullptr) {
      connection->SetReadTimeout(kAnswerTimeoutMs);
      connection->Send(
        FormatRequest("POST",
                      aPath,
                      { { "Host", aHost },
                        { "X-Attempt-Id",
                          "probe" + std::to_string(aFront.m_port) + "x" +
                            aFront.m_host.substr(aFront.m_host.rfind('.') + 1) +
                            "x" + std::to_string(attempt) },
                        { "X-Deadline-Ms", "1000" } },
                      ""));
      Message response;
      if (connection->Read(response) == ReadOutcome::Complete &&
          response.Status() != kUnavailable) {
        return true;
      }
    }
    std::this_thread::sleep_for(kInterval);
  }
  return false;
}

std::int64_t UnixMilliseconds()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace auburntrestle::review
