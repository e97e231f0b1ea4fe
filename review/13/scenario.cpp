#include "../third/sampler.hpp"
#include "../third/trainer.hpp"

/**
 * An item fails twice and would succeed the third time, as max_attempts allows.
 * The sampler sends its first answer, a 500, a second time. The item must not
 * be given up.
 */
namespace review {
namespace {

constexpr int kOk = 200;
constexpr int kFailed = 500;
constexpr std::size_t kMaxAttempts = 3;
constexpr int kSamplers = 2;
constexpr int kSlots = 4;
const std::string kItem = "item-fails-twice";

const std::string kManifest = R"({"version":1,"routes":[{"name":"r-batch",
"host":"batch.example","path_prefix":"/batch/","route_type":"rollout",
"timeout_ms":10000,"latency_target_ms":400,"priority":1,"service":"engines",
"max_attempts":3,"queue_ttl_s":40.0,"target_done_ms":7500,
"single_version":false,"sticky":true,"resumable":true}],
"services":[{"name":"engines","health_path":"/healthz","max_conns":150,
"protocol":"h1","tls":false,"engine":{"slots":4,"kv_cache_tokens":80901,
"kv_bytes":18432,"models":[{"name":"model-m"}]}}],
"limits":{"header_bytes":16384,"body_bytes":33554432,"header_ms":3000,
"idle_timeout_ms":15000}})";

ItemAnswer AnswerOf(const std::string& aItem, int aRun)
{
  ItemAnswer answer;
  if (aItem != kItem) {
    constexpr int kLongEvents = 30;
    answer.m_events = kLongEvents;
    answer.m_pace = Milliseconds(100);
    return answer;
  }
  if (aRun < static_cast<int>(kMaxAttempts)) {
    answer.m_status = kFailed;
    answer.m_pace = Milliseconds(60);
  }
  if (aRun == 1 && HasTrouble()) {
    answer.m_repeatAfter = Milliseconds(40);
  }
  return answer;
}

/** @return the answers of all samplers to the item, without repetitions. */
std::size_t CountFailures(
  const std::vector<std::unique_ptr<Sampler>>& aSamplers)
{
  std::size_t failures = 0;
  for (const auto& sampler : aSamplers) {
    const auto answers = sampler->AnswersTo(kItem);
    failures += static_cast<std::size_t>(
      std::count(answers.begin(), answers.end(), kFailed));
  }
  return failures;
}

Verdict Run(Deployment& aDeployment, Record& aRecord)
{
  for (const auto* name :
       { "storage-a", "storage-b", "storage-c", "storage-d" }) {
    aDeployment.Add(name, std::string("zone-") + name[8], true);
  }
  aDeployment.Add("edge-a", "zone-a", false);
  aDeployment.StartAll();
  const auto put = aDeployment.CallControl(
    "PUT", "/auburntrestle/config", kManifest, std::chrono::seconds(15));
  if (!put || put->m_status != kOk) {
    return Verdict::NotRun;
  }
  std::vector<std::unique_ptr<Sampler>> samplers;
  for (int number = 1; number <= kSamplers; ++number) {
    SamplerOptions options;
    options.m_id = "i-" + std::to_string(number);
    options.m_slots = kSlots;
    options.m_listen = aDeployment.FreeAddress();
    options.m_announced = options.m_listen;
    options.m_answer = AnswerOf;
    samplers.push_back(
      std::make_unique<Sampler>(options, aDeployment, aRecord));
    if (!samplers.back()->IsListening()) {
      return Verdict::NotRun;
    }
  }
  Sleep(std::chrono::seconds(3));
  Json items = Json::array();
  for (int number = 1; number < kSamplers * kSlots; ++number) {
    constexpr int kLong = 90;
    items.push_back(
      Trainer::MakeItem("item-" + std::to_string(number), "group-1", kLong));
  }
  items.push_back(Trainer::MakeItem(kItem, "group-1", 10));
  Trainer trainer(aDeployment, aRecord, { "edge-a" }, "batch.example");
  const std::string job = "7c41e09b52d6a3f8";
  if (!trainer.Submit(job, items, std::chrono::seconds(15))) {
    return Verdict::NotRun;
  }
  const auto deadline = Clock::now() + std::chrono::seconds(20);
  std::size_t position = 0;
  while (Clock::now() < deadline && position < items.size()) {
    const auto results = trainer.Read(job, position);
    if (!results) {
      aRecord.Write("a read is answered " +
                    std::to_string(trainer.LastStatus()));
    }
    const std::size_t failures = CountFailures(samplers);
    for (const auto& result : results.value_or(std::vector<ItemResult>())) {
      aRecord.Write("position " + std::to_string(position++) + ": " +
                    result.m_item + " " + result.m_state);
      if (result.m_item != kItem) {
        continue;
      }
      aRecord.Write("the samplers gave " + std::to_string(failures) +
                    " answers of 500 to it, max_attempts is " +
                    std::to_string(kMaxAttempts));
      const bool isGivenUp = result.m_state == "lost";
      if (isGivenUp && failures < kMaxAttempts) {
        aRecord.Write("BROKEN: lost before max_attempts answers of 500");
        return Verdict::Broken;
      }
      return isGivenUp ? Verdict::NotRun : Verdict::Held;
    }
    Sleep(Milliseconds(200));
  }
  return Verdict::NotRun;
}

} // namespace
} // namespace review

int main(int aCount, char** aArguments)
{
  return review::RunScenario(aCount, aArguments, review::Run);
}
