#include "deployment.hpp"

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iomanip>
#include <sstream>
#include <thread>

namespace review {

namespace {

constexpr int kFirstEdge = 10;
constexpr int kFirstServer = 100;
constexpr int kStatusOk = 200;

std::string Join(const std::string& aIp, int aPort)
{
  return aIp + ":" + std::to_string(aPort);
}

/** @return the first port from aFirst on that no program uses at any address.
 */
int FindFreePort(int aFirst)
{
  constexpr int kLastPort = 32000;
  for (int port = aFirst; port < kLastPort; ++port) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    const bool isFree = bind(descriptor,
                             reinterpret_cast<const sockaddr*>(&address),
                             sizeof(address)) == 0;
    close(descriptor);
    if (isFree) {
      return port;
    }
  }
  return aFirst;
}

/** @return free ports below those that the system gives to connections. */
Ports FindFreePorts()
{
  Ports ports;
  int next = 20000;
  for (int* port : { &ports.m_peers,
                     &ports.m_control,
                     &ports.m_front,
                     &ports.m_ready,
                     &ports.m_metrics,
                     &ports.m_server }) {
    *port = FindFreePort(next);
    next = *port + 1;
  }
  return ports;
}

std::string MemorySettings(long aMegabytes)
{
  return aMegabytes > 0
           ? "[limits]\nmemory_mb = " + std::to_string(aMegabytes) + "\n"
           : "";
}

} // namespace

Record::Record(const std::string& aPath)
  : m_start(std::chrono::steady_clock::now())
  , m_file(aPath)
{
}

double Record::Seconds() const
{
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       m_start)
    .count();
}

void Record::Add(const std::string& aLine)
{
  const std::lock_guard lock(m_mutex);
  m_file << std::fixed << std::setprecision(3) << std::setw(8) << Seconds()
         << " " << aLine << std::endl;
}

Deployment::Deployment(Record& aRecord, int aEdges)
  : m_record(aRecord)
  , m_edges(aEdges)
  , m_ports(FindFreePorts())
{
  // Scripts that run at the same time use different addresses.
  constexpr int kNetworks = 200;
  m_network = "127." + std::to_string(20 + getpid() % kNetworks) + "." +
              std::to_string(getpid() / kNetworks % kNetworks) + ".";
  std::string pattern =
    (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(pattern.data()) != nullptr) {
    m_folder = pattern;
  }
}

Deployment::~Deployment()
{
  for (const auto* processes : { &m_storeProcesses, &m_edgeProcesses }) {
    for (const pid_t process : *processes) {
      kill(process, SIGCONT);
      kill(process, SIGKILL);
      waitpid(process, nullptr, 0);
    }
  }
  std::error_code ignored;
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(m_folder, ignored);
  }
}

std::string Deployment::Ip(int aMachine) const
{
  return m_network + std::to_string(aMachine);
}

std::string Deployment::Front(int aEdge) const
{
  return Join(Ip(kFirstEdge + aEdge), m_ports.m_front);
}

std::string Deployment::Control(int aStore) const
{
  return Join(Ip(1 + aStore), m_ports.m_control);
}

std::vector<std::string> Deployment::Controls() const
{
  std::vector<std::string> controls;
  controls.reserve(kStores);
  for (int store = 0; store < kStores; ++store) {
    controls.push_back(Control(store));
  }
  return controls;
}

std::string Deployment::ServerAddress(int aNumber) const
{
  return Join(Ip(kFirstServer + aNumber), m_ports.m_server);
}

std::string Deployment::CommonSettings(const std::string& aRole,
                                       const std::string& aName,
                                       const std::string& aIp) const
{
  std::string seeds;
  for (const auto& control : Controls()) {
    seeds.append(seeds.empty() ? "\"" : ",\"").append(control).append("\"");
  }
  return "[instance]\nrole = \"" + aRole + "\"\nmachine = \"" + aName +
         "\"\ndata_centre = \"zone-a\"\n[peers]\n"
         "shared_key = \"auburntrestle-platform-deployment\"\nseeds = [" +
         seeds + "]\nport = " + std::to_string(m_ports.m_peers) +
         "\n[timing]\nlease_ms = 3000\nshutdown_seconds = 8\n" +
         (aRole == "store" ? "job_retention_seconds = 120\n" : "") +
         "[listen]\npeers = \"" + Join(aIp, m_ports.m_peers) +
         "\"\nmetrics = \"" + Join(aIp, m_ports.m_metrics) + "\"\n";
}

std::string Deployment::StoreSettings(int aStore) const
{
  const std::string name = "storage-" + std::to_string(aStore);
  return CommonSettings("store", name, Ip(1 + aStore)) + "control = \"" +
         Control(aStore) + "\"\n[log]\ndata_folder = \"" +
         (m_folder / name).string() +
         "\"\nbootstrap = true\ntolerated_losses = 1\n" +
         MemorySettings(m_storeMb);
}

std::string Deployment::EdgeSettings(int aEdge) const
{
  const std::string ip = Ip(kFirstEdge + aEdge);
  return CommonSettings("entry", "edge-" + std::to_string(aEdge), ip) +
         "callers = \"" + Front(aEdge) + "\"\nreadiness = \"" +
         Join(ip, m_ports.m_ready) + "\"\n" + MemorySettings(m_edgeMb);
}

void Deployment::SetMemory(long aEdgeMb, long aStoreMb)
{
  m_edgeMb = aEdgeMb;
  m_storeMb = aStoreMb;
}

std::string Deployment::NameOf(int aMachine) const
{
  return aMachine < kStores ? "storage-" + std::to_string(aMachine)
                            : "edge-" + std::to_string(aMachine - kStores);
}

long Deployment::MemoryMb(int aMachine) const
{
  return aMachine < kStores ? m_storeMb : m_edgeMb;
}

pid_t& Deployment::ProcessOf(int aMachine)
{
  return aMachine < kStores
           ? m_storeProcesses.at(static_cast<std::size_t>(aMachine))
           : m_edgeProcesses.at(static_cast<std::size_t>(aMachine - kStores));
}

long Deployment::UsedMb(int aMachine) const
{
  constexpr long kBytesPerMegabyte = 1024L * 1024;
  const pid_t process =
    aMachine < kStores
      ? m_storeProcesses.at(static_cast<std::size_t>(aMachine))
      : m_edgeProcesses.at(static_cast<std::size_t>(aMachine - kStores));
  std::ifstream file("/proc/" + std::to_string(process) + "/statm");
  long pages = 0;
  long resident = 0;
  file >> pages >> resident;
  return resident * sysconf(_SC_PAGESIZE) / kBytesPerMegabyte;
}

void Deployment::Restart(int aMachine, int aDelayMs)
{
  pid_t& process = ProcessOf(aMachine);
  kill(process, SIGKILL);
  waitpid(process, nullptr, 0);
  Sleep(aDelayMs);
  process = StartProcess(NameOf(aMachine),
                         aMachine < kStores ? StoreSettings(aMachine)
                                            : EdgeSettings(aMachine - kStores));
}

pid_t Deployment::StartProcess(const std::string& aName,
                               const std::string& aSettings)
{
  const auto settings = m_folder / (aName + ".toml");
  std::ofstream(settings) << aSettings;
  const auto log = m_folder / (aName + ".log");
  const pid_t process = fork();
  if (process != 0) {
    return process;
  }
  constexpr int kLogMode = 0600;
  const int output =
    open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, kLogMode);
  dup2(output, STDOUT_FILENO);
  dup2(output, STDERR_FILENO);
  const std::string path = "PATH=/usr/bin:/bin";
  const std::string boot = "AUBURNTRESTLE_BOOT=" + settings.string();
  const std::string infrastructure = "TRESTLE_INFRASTRUCTURE=null";
  const std::string bounds =
    R"(TRESTLE_BOUNDS={"contact_ms":3000,"require_fencing":true,"lease_ms":3000})";
  const std::string descriptors = "TRESTLE_DESCRIPTORS=4100";
  const std::array<char*, 6> environment{
    const_cast<char*>(path.c_str()),
    const_cast<char*>(boot.c_str()),
    const_cast<char*>(infrastructure.c_str()),
    const_cast<char*>(bounds.c_str()),
    const_cast<char*>(descriptors.c_str()),
    nullptr
  };
  std::string program = "target/trestle_node";
  const std::array<char*, 2> arguments{ program.data(), nullptr };
  execve(program.c_str(), arguments.data(), environment.data());
  _exit(127);
}

bool Deployment::Start()
{
  if (m_folder.empty() || access("target/trestle_node", X_OK) != 0) {
    return false;
  }
  for (int store = 0; store < kStores; ++store) {
    m_storeProcesses.push_back(
      StartProcess("storage-" + std::to_string(store), StoreSettings(store)));
  }
  for (int edge = 0; edge < m_edges; ++edge) {
    m_edgeProcesses.push_back(
      StartProcess("edge-" + std::to_string(edge), EdgeSettings(edge)));
  }
  m_record.Add("started " + std::to_string(kStores) + " storage and " +
               std::to_string(m_edges) + " edge machines in " +
               m_folder.filename().string());
  return true;
}

void Deployment::SignalStore(int aStore, int aSignal)
{
  m_record.Add("signal " + std::to_string(aSignal) + " to storage machine " +
               std::to_string(aStore));
  kill(m_storeProcesses.at(static_cast<std::size_t>(aStore)), aSignal);
}

void Deployment::SignalEdge(int aEdge, int aSignal)
{
  m_record.Add("signal " + std::to_string(aSignal) + " to edge machine " +
               std::to_string(aEdge));
  kill(m_edgeProcesses.at(static_cast<std::size_t>(aEdge)), aSignal);
}

bool Deployment::SendUntilDone(const std::string& aMethod,
                               const std::string& aTarget,
                               const std::string& aBody)
{
  constexpr int kTries = 100;
  for (int attempt = 0; attempt < kTries; ++attempt) {
    const auto response =
      Call(Control(attempt % kStores),
           aMethod,
           aTarget,
           { { "Host", "control" }, { "Content-Type", "application/json" } },
           aBody);
    if (response && response->m_status == kStatusOk) {
      m_record.Add(std::string(aMethod)
                     .append(" ")
                     .append(aTarget)
                     .append(" -> 200 at storage machine ")
                     .append(std::to_string(attempt % kStores)));
      return true;
    }
    Sleep(100);
  }
  m_record.Add(aMethod + " " + aTarget + " got no 200");
  return false;
}

bool Deployment::WaitUntilReady()
{
  constexpr int kTries = 200;
  for (int edge = 0; edge < m_edges; ++edge) {
    bool isReady = false;
    for (int attempt = 0; attempt < kTries && !isReady; ++attempt) {
      const auto response = Call(Join(Ip(kFirstEdge + edge), m_ports.m_ready),
                                 "GET",
                                 "/auburntrestle/ready",
                                 { { "Host", "ready" } });
      isReady = response && response->m_status == kStatusOk;
      Sleep(isReady ? 0 : 50);
    }
    if (!isReady) {
      return false;
    }
  }
  return true;
}

bool HasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

std::string Manifest(int aVersion,
                     const std::string& aRolloutService,
                     const std::string& aQueryService)
{
  return R"({"version":)" + std::to_string(aVersion) +
         R"(,"routes":[{"name":"r-rollout","host":"review.example",)"
         R"("path_prefix":"/rollout/","route_type":"rollout",)"
         R"("timeout_ms":10000,"latency_target_ms":400,"priority":1,)"
         R"("service":")" +
         aRolloutService +
         R"(","max_attempts":3,"queue_ttl_s":40.0,"target_done_ms":7500,)"
         R"("single_version":false,"sticky":true,"resumable":true},)"
         R"({"name":"r-query","host":"review.example",)"
         R"("path_prefix":"/query/","route_type":"idempotent",)"
         R"("timeout_ms":1500,"latency_target_ms":150,"priority":2,)"
         R"("service":")" +
         aQueryService + R"(","max_attempts":2}],"services":[{"name":")" +
         aRolloutService +
         R"(","health_path":"/healthz","max_conns":180,"protocol":"h1",)"
         R"("tls":false,"engine":{"slots":16,"kv_cache_tokens":117855,)"
         R"("models":[{"name":"model-a"}]}},{"name":")" +
         aQueryService +
         R"(","health_path":"/healthz","max_conns":110,"protocol":"h1",)"
         R"("tls":false}],"limits":{"header_bytes":16384,)"
         R"("body_bytes":33554432,"header_ms":3000,"idle_timeout_ms":15000}})";
}

std::string EncodeBase64(const std::string& aText)
{
  constexpr auto kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string encoded;
  for (std::size_t index = 0; index < aText.size(); index += 3) {
    std::uint32_t group = 0;
    for (std::size_t offset = 0; offset < 3; ++offset) {
      const bool isPresent = index + offset < aText.size();
      group =
        group << 8U |
        (isPresent ? static_cast<unsigned char>(aText[index + offset]) : 0U);
    }
    for (std::size_t digit = 0; digit < 4; ++digit) {
      const bool isPresent = index + digit <= aText.size();
      encoded += isPresent ? kDigits[group >> (18 - 6 * digit) & 0x3FU] : '=';
    }
  }
  return encoded;
}

void Sleep(int aMilliseconds)
{
  std::this_thread::sleep_for(Milliseconds(aMilliseconds));
}

} // namespace review
