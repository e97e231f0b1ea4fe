#include "common/announcer.hpp"
#include "common/program.hpp"
#include "common/trainer_client.hpp"

#include <gflags/gflags.h>

#include <atomic>
#include <csignal>
#include <fstream>
#include <iostream>

DEFINE_string(target,
              "http://127.0.0.1:8080",
              "comma-separated addresses of trestled instances");
DEFINE_uint64(seed, 1, "seed of the prompts");
DEFINE_string(trainer, "conselheiro", "name of this trainer");
DEFINE_string(model, "model", "model to sample from");
DEFINE_uint64(steps, 5, "steps to run");
DEFINE_uint64(groups, 4, "groups of a step");
DEFINE_uint64(samples, 4, "samples of a group");
DEFINE_uint64(max_tokens, 128, "maximum tokens of a sample");
DEFINE_uint64(prompt_tokens, 96, "tokens of a prompt");
DEFINE_uint64(shared_tokens, 64, "tokens that all prompts share at the start");
DEFINE_uint64(outstanding, 1, "steps that are open at once");
DEFINE_int32(train_ms, 500, "time to train on the samples of one step");
DEFINE_int32(publish_ms,
             0,
             "time between new versions; 0 publishes one after each step");
DEFINE_uint64(weight_version, 1, "first version; --version is the same");
DEFINE_uint64(staleness_bound, 2, "largest staleness that is accepted");
DEFINE_string(judge, "", "name of the judging service");
DEFINE_string(cursor_file, "", "file that keeps the next cursor");
DEFINE_int32(poll_ms, 2000, "time that a request for a batch waits");
DEFINE_int32(timeout_ms, 0, "give up after this time; 0 for never");
DEFINE_uint64(answer_seed, 1, "seed of the answer lengths of the engines");
DEFINE_string(json, "", "file for the report as JSON; - for standard output");

namespace auburntrestle::tools {

namespace {

std::atomic<bool> gStop{ false };

TrainerOptions OptionsFromFlags()
{
  TrainerOptions options;
  options.m_targets = SplitList(FLAGS_target);
  options.m_model = FLAGS_model;
  options.m_shape.m_trainer = FLAGS_trainer;
  options.m_shape.m_groups = FLAGS_groups;
  options.m_shape.m_samples = FLAGS_samples;
  options.m_shape.m_maxTokens = FLAGS_max_tokens;
  options.m_shape.m_judged = !FLAGS_judge.empty();
  options.m_shape.m_stalenessBound = FLAGS_staleness_bound;
  options.m_shape.m_prompt = { FLAGS_seed,
                               FLAGS_shared_tokens,
                               FLAGS_prompt_tokens };
  options.m_shape.m_outputShape.m_seed = FLAGS_answer_seed;
  options.m_steps = FLAGS_steps;
  options.m_outstanding = FLAGS_outstanding;
  options.m_trainTime = std::chrono::milliseconds(FLAGS_train_ms);
  options.m_publishInterval = std::chrono::milliseconds(FLAGS_publish_ms);
  options.m_firstVersion = FLAGS_weight_version;
  options.m_judge = FLAGS_judge;
  options.m_cursorFile = FLAGS_cursor_file;
  options.m_pollTime = std::chrono::milliseconds(FLAGS_poll_ms);
  if (FLAGS_timeout_ms > 0) {
    options.m_deadline =
      MonotonicClock::Now() + std::chrono::milliseconds(FLAGS_timeout_ms);
  }
  return options;
}

void PrintBatch(const ReceivedBatch& aBatch)
{
  const auto& staleness = aBatch.m_findings.m_staleness;
  std::cout << "batch cursor=" << aBatch.m_cursor
            << " samples=" << aBatch.m_findings.m_samples
            << " waited_ms=" << aBatch.m_waited.count() / 1000
            << " staleness_max="
            << (staleness.empty() ? 0 : staleness.rbegin()->first)
            << " steps_completed=" << aBatch.m_findings.m_completedSteps.size()
            << " violations=" << aBatch.m_findings.m_violations.size()
            << std::endl;
  for (const auto& violation : aBatch.m_findings.m_violations) {
    std::cout << "violation cursor=" << aBatch.m_cursor << " text=\""
              << violation << "\"" << std::endl;
  }
}

void PrintReport(const TrainerReport& aReport)
{
  std::cout << "trainer steps=" << aReport.m_stepsDone
            << " batches=" << aReport.m_batches
            << " samples=" << aReport.m_samples
            << " tokens=" << aReport.m_tokens
            << " versions=" << aReport.m_versions
            << " expired_batches=" << aReport.m_expiredBatches
            << " failed_calls=" << aReport.m_failedCalls
            << " seconds=" << static_cast<double>(aReport.m_total.count()) / 1e6
            << " idle_share=" << aReport.IdleShare();
  for (const auto& [versions, count] : aReport.m_staleness) {
    std::cout << " staleness_" << versions << "=" << count;
  }
  std::cout << " violations=" << aReport.m_violations.size() << std::endl;
  if (FLAGS_json == "-") {
    std::cout << aReport.ToJson().dump() << std::endl;
  } else if (!FLAGS_json.empty()) {
    std::ofstream(FLAGS_json) << aReport.ToJson().dump(2) << '\n';
  }
}

/** @return 0 on success, 2 on violations, 3 when steps are incomplete. */
int RunTrainer()
{
  std::signal(SIGTERM, [](int) { gStop = true; });
  std::signal(SIGINT, [](int) { gStop = true; });
  TrainerClient trainer(OptionsFromFlags(), PrintBatch);
  const auto report = trainer.Run(gStop);
  PrintReport(report);
  if (!report.m_violations.empty()) {
    return 2;
  }
  return report.m_stepsDone < FLAGS_steps ? 3 : 0;
}

} // namespace

} // namespace auburntrestle::tools

int main(int aCount, char** aArguments)
{
  return auburntrestle::tools::RunProgram(
    aCount, aArguments, [] { return auburntrestle::tools::RunTrainer(); });
}
