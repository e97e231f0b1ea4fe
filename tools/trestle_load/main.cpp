#include "common/announcer.hpp"
#include "common/program.hpp"
#include "trestle_load/report.hpp"

#include <gflags/gflags.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <stdexcept>

DEFINE_string(target,
              "http://127.0.0.1:8080",
              "comma-separated addresses of trestled instances");
DEFINE_string(engines,
              "",
              "comma-separated addresses of fake engines to slow down");
DEFINE_string(preset, "telhado", "telhado or arrieta");
DEFINE_string(scenario, "", "TOML file with a scenario; replaces --preset");
DEFINE_uint64(seed, 0, "seed of arrivals and prompts; 0 keeps the scenario's");
DEFINE_int32(duration_ms, 0, "length of the run; 0 keeps the scenario's");
DEFINE_int32(warm_up_ms, -1, "unmeasured start; -1 keeps the scenario's");
DEFINE_int32(drain_ms, -1, "wait after the end; -1 keeps the scenario's");
DEFINE_uint64(max_requests, 0, "most requests; 0 keeps the scenario's");
DEFINE_double(rate_scale, 1.0, "multiplies the rates of all applications");
DEFINE_string(applications,
              "",
              "replaces the applications' names and rates: "
              "NAME=RATE,NAME=RATE; the other values are the first one's");
DEFINE_string(trainers,
              "",
              "replaces the trainers by a comma-separated list of names; the "
              "other values are the first one's; \"none\" removes them");
DEFINE_string(model, "", "model of all callers; empty keeps the scenario's");
DEFINE_double(slow_share,
              -1.0,
              "share of --engines that is slowed at a time; below zero keeps "
              "the scenario's");
DEFINE_double(slow_factor, 0.0, "factor of the slow-downs; 0 keeps it");
DEFINE_int32(slow_every_ms, 0, "time between slow-downs; 0 keeps it");
DEFINE_int32(slow_duration_ms, 0, "length of a slow-down; 0 keeps it");
DEFINE_uint64(answer_seed,
              0,
              "seed of the answer lengths of the engines; 0 "
              "keeps the scenario's");
DEFINE_uint64(client_threads, 2, "threads that send application requests");
DEFINE_string(json, "", "file for the result as JSON");
DEFINE_string(svg, "", "file for a plot of the latency quantiles");
DEFINE_string(compare,
              "",
              "two JSON results, FIRST,SECOND: prints their ratios and runs "
              "nothing");

namespace auburntrestle::tools {

namespace {

std::atomic<bool> gStop{ false };

void ReplaceApplications(Scenario& aScenario)
{
  if (FLAGS_applications.empty()) {
    return;
  }
  const ApplicationShape model = aScenario.m_applications.empty()
                                   ? ApplicationShape()
                                   : aScenario.m_applications.front();
  aScenario.m_applications.clear();
  for (const auto& part : SplitList(FLAGS_applications)) {
    const auto equals = part.find('=');
    if (equals == std::string::npos) {
      throw std::invalid_argument("--applications takes NAME=RATE, not " +
                                  part);
    }
    ApplicationShape shape = model;
    shape.m_name = part.substr(0, equals);
    shape.m_rate = std::stod(part.substr(equals + 1));
    aScenario.m_applications.push_back(shape);
  }
}

void ReplaceTrainers(Scenario& aScenario)
{
  if (FLAGS_trainers.empty()) {
    return;
  }
  const TrainerOptions model = aScenario.m_trainers.empty()
                                 ? TrainerOptions()
                                 : aScenario.m_trainers.front();
  aScenario.m_trainers.clear();
  if (FLAGS_trainers == "none") {
    return;
  }
  for (const auto& name : SplitList(FLAGS_trainers)) {
    TrainerOptions options = model;
    options.m_shape.m_trainer = name;
    aScenario.m_trainers.push_back(options);
  }
}

void ReplaceLimits(Scenario& aScenario)
{
  if (FLAGS_seed != 0) {
    aScenario.m_seed = FLAGS_seed;
  }
  if (FLAGS_answer_seed != 0) {
    aScenario.m_outputShape.m_seed = FLAGS_answer_seed;
  }
  if (FLAGS_duration_ms > 0) {
    aScenario.m_length = std::chrono::milliseconds(FLAGS_duration_ms);
  }
  if (FLAGS_warm_up_ms >= 0) {
    aScenario.m_warmUp = std::chrono::milliseconds(FLAGS_warm_up_ms);
  }
  if (FLAGS_drain_ms >= 0) {
    aScenario.m_drain = std::chrono::milliseconds(FLAGS_drain_ms);
  }
  if (FLAGS_max_requests > 0) {
    aScenario.m_maxRequests = FLAGS_max_requests;
  }
}

void ReplaceSlow(SlowShape& aShape)
{
  if (FLAGS_slow_share >= 0.0) {
    aShape.m_share = FLAGS_slow_share;
  }
  if (FLAGS_slow_factor > 0.0) {
    aShape.m_factor = FLAGS_slow_factor;
  }
  if (FLAGS_slow_every_ms > 0) {
    aShape.m_every = std::chrono::milliseconds(FLAGS_slow_every_ms);
  }
  if (FLAGS_slow_duration_ms > 0) {
    aShape.m_length = std::chrono::milliseconds(FLAGS_slow_duration_ms);
  }
}

Scenario ScenarioFromFlags()
{
  Scenario scenario = FLAGS_scenario.empty() ? PresetScenario(FLAGS_preset)
                                             : ReadScenario(FLAGS_scenario);
  ReplaceApplications(scenario);
  ReplaceTrainers(scenario);
  ReplaceLimits(scenario);
  ReplaceSlow(scenario.m_slow);
  for (auto& application : scenario.m_applications) {
    application.m_rate *= FLAGS_rate_scale;
    if (!FLAGS_model.empty()) {
      application.m_model = FLAGS_model;
    }
  }
  for (auto& trainer : scenario.m_trainers) {
    if (!FLAGS_model.empty()) {
      trainer.m_model = FLAGS_model;
    }
  }
  return scenario;
}

nlohmann::json ReadJson(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    throw std::invalid_argument("cannot read " + aPath);
  }
  return nlohmann::json::parse(file);
}

int Compare()
{
  const auto files = SplitList(FLAGS_compare);
  if (files.size() != 2) {
    throw std::invalid_argument("--compare takes two files");
  }
  PrintComparison(std::cout, ReadJson(files[0]), ReadJson(files[1]));
  return 0;
}

void WriteFile(const std::string& aPath, const std::string& aText)
{
  if (aPath.empty()) {
    return;
  }
  std::ofstream file(aPath);
  file << aText;
  if (!file) {
    throw std::runtime_error("cannot write " + aPath);
  }
}

/** @return 0 on success, 2 on violations. */
int RunLoad()
{
  if (!FLAGS_compare.empty()) {
    return Compare();
  }
  std::signal(SIGTERM, [](int) { gStop = true; });
  std::signal(SIGINT, [](int) { gStop = true; });
  const Scenario scenario = ScenarioFromFlags();
  const auto result =
    RunScenario(scenario,
                SplitList(FLAGS_target),
                SplitList(FLAGS_engines),
                std::max<std::size_t>(1, FLAGS_client_threads),
                gStop);
  const auto json = ResultToJson(result);
  PrintTable(std::cout, json);
  WriteFile(FLAGS_json, json.dump(2) + "\n");
  WriteFile(FLAGS_svg, ResultToSvg(json));
  return result.Violations() == 0 ? 0 : 2;
}

} // namespace

} // namespace auburntrestle::tools

int main(int aCount, char** aArguments)
{
  return auburntrestle::tools::RunProgram(
    aCount, aArguments, [] { return auburntrestle::tools::RunLoad(); });
}
