#include "soak/system.hpp"

namespace auburntrestle::soak {

namespace {

using platform::Json;
using platform::test::InstanceFile;
using platform::test::Sampler;
using platform::test::SamplerOptions;

constexpr Duration kRunTime = std::chrono::milliseconds(60);
constexpr int kLeaseMs = 1000;
constexpr std::uint64_t kFirstIncarnation = 1000;

} // namespace

System::System(event_loop::EventLoop& aLoop,
               Checker& aChecker,
               std::filesystem::path aFolder)
  : m_loop(aLoop)
  , m_checker(aChecker)
  , m_folder(std::move(aFolder))
{
  for (std::size_t number = 0; number < kStores + kEntries; ++number) {
    const bool store = number < kStores;
    InstanceFile file;
    file.m_name = (store ? "store" : "entry") + std::to_string(number);
    file.m_dataCentre = "zone-" + std::to_string(number % kStores);
    file.m_peersBind = m_ports.Address();
    file.m_peers = AddProxy(file.m_peersBind);
    file.m_leaseMs = kLeaseMs;
    if (store) {
      file.m_control = m_ports.Address();
      file.m_dataFolder = m_folder / (file.m_name + "-data");
      m_seeds.push_back(file.m_peers);
      m_controls.push_back(AddProxy(file.m_control));
    } else {
      file.m_callers = m_ports.Address();
      file.m_readiness = m_ports.Address();
      m_callers.push_back(AddProxy(file.m_callers));
    }
    m_files.push_back(file);
  }
  for (std::size_t number = 0; number < m_files.size(); ++number) {
    Start(number, true);
  }
  for (std::size_t sampler = 0; sampler < kSamplers; ++sampler) {
    m_samplerAddresses.push_back(m_ports.Address());
    m_samplerProxies.push_back(AddProxy(m_samplerAddresses.back()));
    m_samplers.emplace_back();
    MakeSampler(sampler);
  }
}

std::string System::AddProxy(const std::string& aTarget)
{
  auto address = m_ports.Address();
  m_proxies.push_back(std::make_unique<Proxy>(m_loop, address, aTarget));
  return address;
}

void System::Start(std::size_t aInstance, bool aBootstrap)
{
  m_files[aInstance].m_bootstrap = aBootstrap;
  m_instances.insert_or_assign(aInstance,
                               m_files[aInstance].Start(m_folder, m_seeds));
}

void System::RestartExited()
{
  for (auto& [number, instance] : m_instances) {
    if (!instance.IsRunning()) {
      Start(number, false);
    }
  }
}

void System::LoseDisk(std::size_t aStore)
{
  std::filesystem::remove_all(m_files[aStore].m_dataFolder);
}

void System::MakeSampler(std::size_t aSampler)
{
  const int version =
    m_samplers[aSampler] ? m_samplers[aSampler]->Version() : 1;
  m_samplers[aSampler].reset();
  const auto id = "i-" + std::to_string(++m_startedSamplers);
  SamplerOptions options;
  options.m_address = m_samplerAddresses[aSampler];
  options.m_announcedAddress = m_samplerProxies[aSampler];
  options.m_startVersion = version;
  options.m_incarnation = kFirstIncarnation + m_startedSamplers;
  options.m_runTime = kRunTime;
  options.m_onRun = [this](const std::string& aRequest) {
    m_checker.RecordRun(aRequest);
  };
  options.m_onOrder = [this, id](const Json& aOrder) {
    m_checker.RecordOrder(id, aOrder["holder"], aOrder["fence"]);
  };
  m_samplers[aSampler] =
    std::make_unique<Sampler>(m_loop, id, kModel, std::move(options));
}

void System::ReplaceSampler(std::size_t aSampler)
{
  MakeSampler(aSampler);
}

} // namespace auburntrestle::soak
