#include "trestle_load/scenario.hpp"

#include <toml++/toml.h>

#include <map>
#include <stdexcept>

namespace auburntrestle::tools {

namespace internal {

using Setter = std::function<void(const toml::node&)>;
using Setters = std::map<std::string, Setter, std::less<>>;

template<typename Value>
Value Read(const toml::node& aNode)
{
  const auto value = aNode.value<Value>();
  if (!value) {
    throw std::invalid_argument("wrong type of value");
  }
  return *value;
}

Setter NumberSetter(std::uint64_t& aTarget)
{
  return [&aTarget](const toml::node& aNode) {
    aTarget = Read<std::uint64_t>(aNode);
  };
}

Setter RealSetter(double& aTarget)
{
  return [&aTarget](const toml::node& aNode) { aTarget = Read<double>(aNode); };
}

Setter TextSetter(std::string& aTarget)
{
  return
    [&aTarget](const toml::node& aNode) { aTarget = Read<std::string>(aNode); };
}

Setter MillisecondsSetter(Duration& aTarget)
{
  return [&aTarget](const toml::node& aNode) {
    aTarget = std::chrono::milliseconds(Read<std::int64_t>(aNode));
  };
}

/** Calls the setter of each key; throws on a key without a setter. */
void ApplySetters(const toml::table& aTable,
                  const Setters& aSetters,
                  const std::string& aPrefix)
{
  for (const auto& [key, node] : aTable) {
    const auto found = aSetters.find(key.str());
    const std::string name = aPrefix + std::string(key.str());
    if (found == aSetters.end()) {
      throw std::invalid_argument("unknown key " + name);
    }
    try {
      found->second(node);
    } catch (const std::invalid_argument& failure) {
      throw std::invalid_argument(name + ": " + failure.what());
    }
  }
}

const toml::table& AsTable(const toml::node& aNode)
{
  const auto* table = aNode.as_table();
  if (table == nullptr) {
    throw std::invalid_argument("a table is expected");
  }
  return *table;
}

Setter TablesSetter(const std::function<void(const toml::table&)>& aRead)
{
  return [aRead](const toml::node& aNode) {
    const auto* array = aNode.as_array();
    if (array == nullptr) {
      throw std::invalid_argument("an array of tables is expected");
    }
    for (const auto& element : *array) {
      aRead(AsTable(element));
    }
  };
}

ApplicationShape ReadApplication(const toml::table& aTable)
{
  ApplicationShape shape;
  ApplySetters(aTable,
               { { "name", TextSetter(shape.m_name) },
                 { "model", TextSetter(shape.m_model) },
                 { "rate", RealSetter(shape.m_rate) },
                 { "max_tokens", NumberSetter(shape.m_maxTokens) },
                 { "long_share", RealSetter(shape.m_longShare) },
                 { "long_max_tokens", NumberSetter(shape.m_longMaxTokens) },
                 { "long_from", NumberSetter(shape.m_longFrom) },
                 { "prompt_tokens", NumberSetter(shape.m_promptTokens) },
                 { "shared_tokens", NumberSetter(shape.m_sharedTokens) },
                 { "families", NumberSetter(shape.m_families) },
                 { "deadline_ms", MillisecondsSetter(shape.m_deadline) } },
               "application.");
  return shape;
}

TrainerOptions ReadTrainer(const toml::table& aTable)
{
  TrainerOptions options;
  options.m_steps = 0;
  ApplySetters(
    aTable,
    { { "name", TextSetter(options.m_shape.m_trainer) },
      { "model", TextSetter(options.m_model) },
      { "groups", NumberSetter(options.m_shape.m_groups) },
      { "samples", NumberSetter(options.m_shape.m_samples) },
      { "max_tokens", NumberSetter(options.m_shape.m_maxTokens) },
      { "prompt_tokens", NumberSetter(options.m_shape.m_prompt.m_tokens) },
      { "shared_tokens",
        NumberSetter(options.m_shape.m_prompt.m_sharedTokens) },
      { "staleness_bound", NumberSetter(options.m_shape.m_stalenessBound) },
      { "outstanding", NumberSetter(options.m_outstanding) },
      { "steps", NumberSetter(options.m_steps) },
      { "first_version", NumberSetter(options.m_firstVersion) },
      { "judge", TextSetter(options.m_judge) },
      { "train_ms", MillisecondsSetter(options.m_trainTime) },
      { "publish_ms", MillisecondsSetter(options.m_publishInterval) } },
    "trainer.");
  options.m_shape.m_judged = !options.m_judge.empty();
  return options;
}

TrainerOptions PresetTrainer(const std::string& aName)
{
  TrainerOptions options;
  options.m_model = aName;
  options.m_steps = 0;
  options.m_outstanding = 2;
  options.m_trainTime = std::chrono::milliseconds(1500);
  options.m_shape.m_trainer = aName;
  options.m_shape.m_groups = 16;
  options.m_shape.m_samples = 8;
  options.m_shape.m_maxTokens = 640;
  options.m_shape.m_stalenessBound = 4;
  return options;
}

ApplicationShape PresetApplication(const std::string& aName, double aRate)
{
  ApplicationShape shape;
  shape.m_name = aName;
  shape.m_model = aName;
  shape.m_rate = aRate;
  return shape;
}

} // namespace internal

Scenario PresetScenario(const std::string& aName)
{
  Scenario scenario;
  scenario.m_name = aName;
  if (aName == "telhado") {
    // 8 samplers, 4 application engines.
    scenario.m_applications = { internal::PresetApplication("catalogo", 12.0) };
    scenario.m_trainers = { internal::PresetTrainer("conselheiro") };
  } else if (aName == "arrieta") {
    // 10 samplers, 3 application engines.
    scenario.m_applications = { internal::PresetApplication("mostrador", 9.0) };
    scenario.m_trainers = { internal::PresetTrainer("tasadores") };
    scenario.m_trainers[0].m_shape.m_groups = 20;
  } else {
    throw std::invalid_argument("unknown preset " + aName);
  }
  return scenario;
}

Scenario ReadScenario(const std::string& aPath)
{
  const toml::table file = toml::parse_file(aPath);
  Scenario scenario;
  std::uint64_t maxRequests = scenario.m_maxRequests;
  const internal::Setters slow{
    { "share", internal::RealSetter(scenario.m_slow.m_share) },
    { "factor", internal::RealSetter(scenario.m_slow.m_factor) },
    { "every_ms", internal::MillisecondsSetter(scenario.m_slow.m_every) },
    { "duration_ms", internal::MillisecondsSetter(scenario.m_slow.m_length) },
  };
  internal::ApplySetters(
    file,
    { { "name", internal::TextSetter(scenario.m_name) },
      { "seed", internal::NumberSetter(scenario.m_seed) },
      { "answer_seed", internal::NumberSetter(scenario.m_outputShape.m_seed) },
      { "duration_ms", internal::MillisecondsSetter(scenario.m_length) },
      { "warm_up_ms", internal::MillisecondsSetter(scenario.m_warmUp) },
      { "drain_ms", internal::MillisecondsSetter(scenario.m_drain) },
      { "max_requests", internal::NumberSetter(maxRequests) },
      { "application",
        internal::TablesSetter([&scenario](const toml::table& aTable) {
          scenario.m_applications.push_back(internal::ReadApplication(aTable));
        }) },
      { "trainer",
        internal::TablesSetter([&scenario](const toml::table& aTable) {
          scenario.m_trainers.push_back(internal::ReadTrainer(aTable));
        }) },
      { "slow",
        [&slow](const toml::node& aNode) {
          internal::ApplySetters(internal::AsTable(aNode), slow, "slow.");
        } } },
    "");
  scenario.m_maxRequests = maxRequests;
  return scenario;
}

} // namespace auburntrestle::tools
