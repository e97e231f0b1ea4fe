#include "auburntrestle/fleet/weight_rollout.hpp"

#include <algorithm>
#include <tuple>

namespace auburntrestle::fleet {

namespace {

/** Number of versions behind the newest one that jobs still accept. */
constexpr std::uint64_t kAcceptedLag = 1;
/** One of this many engines may load at a time. */
constexpr std::size_t kEnginesPerLoad = 5;
constexpr std::size_t kMinParallelLoads = 2;
/** Number of models for which an engine is kept up to date. */
constexpr std::size_t kModelsPerEngine = 2;

/** @return the number of engines for each model, in proportion to the demand. A
 * share beyond all engines is not redistributed to other models. */
std::map<ModelName, std::size_t> Quotas(
  const std::map<ModelName, double>& aDemand,
  const std::set<ModelName>& aModels,
  std::size_t aEngines)
{
  std::map<ModelName, double> weights;
  std::map<ModelName, std::size_t> quotas;
  for (const auto& model : aModels) {
    const auto found = aDemand.find(model);
    weights[model] =
      found == aDemand.end() ? 1.0 : std::max(found->second, 1.0);
    quotas[model] = 0;
  }
  const std::size_t assignments =
    aEngines * std::min(kModelsPerEngine, aModels.size());
  for (std::size_t given = 0; given < assignments; ++given) {
    // The model with the lowest quota per demand is next.
    const auto neediest = std::min_element(
      quotas.begin(), quotas.end(), [&](const auto& aLeft, const auto& aRight) {
        return static_cast<double>(aLeft.second) / weights[aLeft.first] <
               static_cast<double>(aRight.second) / weights[aRight.first];
      });
    neediest->second += neediest->second < aEngines ? 1 : 0;
  }
  return quotas;
}

/** Progress of the rollout of a model. */
struct Progress
{
  std::size_t m_homes = 0;
  /** Homes that have or load a version that jobs accept. */
  std::size_t m_usable = 0;
  /** Homes that have or load the newest version. */
  std::size_t m_current = 0;

  /** @return how well the model is served, 0 to 2. */
  [[nodiscard]] double Coverage() const
  {
    return static_cast<double>(m_usable + m_current) /
           static_cast<double>(std::max<std::size_t>(m_homes, 1));
  }
  /** @return whether a home that is aLag versions behind needs the newest one:
   * half of the homes load each version, and all that jobs do not accept. */
  [[nodiscard]] bool Needs(std::uint64_t aLag) const
  {
    return aLag > kAcceptedLag || m_current * 2 < m_homes;
  }
};

/** A load that may be started. */
struct Candidate
{
  std::uint64_t m_lag = 0;
  std::uint32_t m_running = 0;
  WeightLoad m_load;
};

/** Orders loads by urgency. When more loads are due than may run at a time,
 * such as after an outage, the models that the fewest engines serve go first,
 * so that every trainer gets some engines soon. */
class ByUrgency
{
public:
  explicit ByUrgency(const std::map<ModelName, Progress>& aProgress)
    : m_progress(aProgress)
  {
  }

  [[nodiscard]] bool operator()(const Candidate& aLeft,
                                const Candidate& aRight) const
  {
    return RankOf(aLeft) < RankOf(aRight);
  }

private:
  using Rank = std::tuple<double, std::uint64_t, std::uint32_t>;

  [[nodiscard]] Rank RankOf(const Candidate& aCandidate) const
  {
    const double coverage = m_progress.at(aCandidate.m_load.m_model).Coverage();
    // A larger lag is more urgent.
    return { coverage, ~aCandidate.m_lag, aCandidate.m_running };
  }

  const std::map<ModelName, Progress>& m_progress;
};

} // namespace

void WeightRollout::SetDemand(const ModelName& aModel, double aDemand)
{
  m_demand[aModel] = aDemand;
}

void WeightRollout::AssignHomes(const ServiceName& aService,
                                const Engines& aEngines)
{
  std::set<ModelName> models;
  std::vector<BackendId> engines;
  for (const auto& [id, engine] : aEngines) {
    if (engine.m_service == aService && engine.m_ready) {
      engines.push_back(id);
      for (const auto& [model, version] : engine.m_versions) {
        models.insert(model);
      }
    }
  }
  auto quotas = Quotas(m_demand, models, engines.size());
  for (const auto& id : engines) {
    std::erase_if(m_homes[id], [&](const ModelName& aModel) {
      auto& quota = quotas[aModel];
      const bool kept = quota > 0;
      quota -= kept ? 1 : 0;
      return !kept;
    });
  }
  for (const auto& id : engines) {
    auto& homes = m_homes[id];
    while (homes.size() < kModelsPerEngine) {
      auto largest = quotas.end();
      for (auto quota = quotas.begin(); quota != quotas.end(); ++quota) {
        if (quota->second > 0 && !homes.contains(quota->first) &&
            (largest == quotas.end() || quota->second > largest->second)) {
          largest = quota;
        }
      }
      if (largest == quotas.end()) {
        break;
      }
      homes.insert(largest->first);
      --largest->second;
    }
  }
}

std::vector<WeightLoad> WeightRollout::Plan(const Engines& aEngines,
                                            const Versions& aNewest)
{
  std::erase_if(m_homes, [&](const auto& aItem) {
    return !aEngines.contains(aItem.first);
  });
  std::set<ServiceName> services;
  for (const auto& [id, engine] : aEngines) {
    services.insert(engine.m_service);
  }
  std::vector<WeightLoad> loads;
  for (const auto& service : services) {
    AssignHomes(service, aEngines);
    PlanService(service, aEngines, aNewest, loads);
  }
  return loads;
}

void WeightRollout::PlanService(const ServiceName& aService,
                                const Engines& aEngines,
                                const Versions& aNewest,
                                std::vector<WeightLoad>& aLoads) const
{
  std::size_t engines = 0;
  std::size_t loading = 0;
  std::map<ModelName, Progress> progress;
  std::vector<Candidate> candidates;
  for (const auto& [id, engine] : aEngines) {
    const auto homes = m_homes.find(id);
    if (engine.m_service != aService || homes == m_homes.end()) {
      continue;
    }
    ++engines;
    loading += engine.m_loading ? 1 : 0;
    for (const auto& model : homes->second) {
      Progress& state = progress[model];
      ++state.m_homes;
      const auto newest = aNewest.find(model);
      const auto held = engine.m_versions.find(model);
      if (newest == aNewest.end() || held == engine.m_versions.end()) {
        continue;
      }
      if (held->second >= newest->second || engine.m_loading == model) {
        ++state.m_current;
        ++state.m_usable;
        continue;
      }
      const std::uint64_t lag = newest->second.Get() - held->second.Get();
      state.m_usable += lag <= kAcceptedLag ? 1 : 0;
      if (engine.m_ready && !engine.m_loading) {
        candidates.push_back(
          { lag, engine.m_running, WeightLoad{ id, model, newest->second } });
      }
    }
  }
  const std::size_t limit =
    std::max(engines / kEnginesPerLoad, kMinParallelLoads);
  while (loading < limit) {
    std::erase_if(candidates, [&](const Candidate& aCandidate) {
      return !progress[aCandidate.m_load.m_model].Needs(aCandidate.m_lag);
    });
    const auto next = std::min_element(
      candidates.begin(), candidates.end(), ByUrgency(progress));
    if (next == candidates.end()) {
      return;
    }
    const WeightLoad load = next->m_load;
    Progress& state = progress[load.m_model];
    ++state.m_current;
    state.m_usable += next->m_lag > kAcceptedLag ? 1 : 0;
    ++loading;
    aLoads.push_back(load);
    std::erase_if(candidates, [&](const Candidate& aCandidate) {
      return aCandidate.m_load.m_engine == load.m_engine;
    });
  }
}

bool WeightRollout::IsHome(const BackendId& aEngine,
                           const ModelName& aModel) const
{
  const auto found = m_homes.find(aEngine);
  return found != m_homes.end() && found->second.contains(aModel);
}

} // namespace auburntrestle::fleet
