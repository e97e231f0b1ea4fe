#include "step.hpp"

#include <string>

namespace review {

namespace {

constexpr auto kJob = "step-0-of-a-trainer";
constexpr int kItems = 10;
constexpr int kStatusAccepted = 202;
/** The deadline of a step in the sheet of tp-ensaio. */
constexpr double kStepSeconds = 12.0;
/** The rule: an item that was at no sampler for this time. */
constexpr double kUnattendedSeconds = 5.0;

std::string ItemId(int aNumber)
{
  return "item-" + std::to_string(aNumber);
}

std::string Job()
{
  std::string items;
  for (int item = 0; item < kItems; ++item) {
    items += (item > 0 ? "," : "") + std::string(R"({"id":")") + ItemId(item) +
             R"(","path":"/rollout/1","headers":{"X-Model":")" + kModel +
             R"(","X-Token-Count":"16,20"},"body":")" + EncodeBase64("prompt") +
             R"(","tokens":36,"group":"g)" + std::to_string(item) + R"("})";
  }
  return R"({"step":0,"model":")" + std::string(kModel) +
         R"(","min_version":1,"target_groups":9,"requests":[)" + items + "]}";
}

int Judge(Record& aRecord,
          const std::vector<const Sampler*>& aSamplers,
          double aSubmittedAt)
{
  int begun = 0;
  int running = 0;
  int slots = 0;
  int unattended = 0;
  for (const auto* sampler : aSamplers) {
    running += sampler->RunningNow();
    slots += sampler->Slots();
  }
  for (int item = 0; item < kItems; ++item) {
    int runs = 0;
    for (const auto* sampler : aSamplers) {
      for (const auto& run : sampler->Runs()) {
        runs += run.m_id == ItemId(item) ? 1 : 0;
      }
    }
    begun += runs > 0 ? 1 : 0;
    if (runs == 0 && aRecord.Seconds() - aSubmittedAt > kUnattendedSeconds) {
      ++unattended;
      aRecord.Add(ItemId(item) + " was at no sampler for " +
                  std::to_string(aRecord.Seconds() - aSubmittedAt) + " s");
    }
  }
  aRecord.Add("the step is out of time: " + std::to_string(begun) +
              " items had begun, " + std::to_string(unattended) +
              " were at no sampler, " + std::to_string(running) + " of " +
              std::to_string(slots) + " slots are taken");
  if (begun == 0) {
    return kCouldNotRun;
  }
  const bool broken = unattended > 0 && 2 * running < slots;
  aRecord.Add(broken ? "LOST: the rule was broken" : "the rule held");
  return broken ? kBroken : kHeld;
}

} // namespace

SamplerOptions EngineOptions(const Deployment& aDeployment,
                             int aNumber,
                             int aSlots)
{
  SamplerOptions options;
  options.m_id = "i-" + std::to_string(aNumber);
  options.m_address = aDeployment.ServerAddress(aNumber);
  options.m_service = "engines";
  options.m_slots = aSlots;
  options.m_eventGap = Milliseconds(500);
  return options;
}

int PlayStep(Record& aRecord,
             const Deployment& aDeployment,
             const std::vector<const Sampler*>& aSamplers)
{
  const auto submittedAt = aRecord.Seconds();
  const auto submitted = Call(aDeployment.Front(0),
                              "POST",
                              "/rollout/1",
                              { { "Host", kHost },
                                { "X-Attempt-Id", kJob },
                                { "Content-Type", "application/json" } },
                              Job(),
                              Milliseconds(4000));
  aRecord.Add("job submitted -> " +
              (submitted ? std::to_string(submitted->m_status) : "nothing"));
  if (!submitted || submitted->m_status != kStatusAccepted) {
    return kCouldNotRun;
  }
  bool isComplete = false;
  while (!isComplete && aRecord.Seconds() < submittedAt + kStepSeconds) {
    const auto response =
      Call(aDeployment.Front(0),
           "GET",
           std::string("/auburntrestle/lots/") + kJob + "?after=0",
           { { "Host", kHost } },
           {},
           Milliseconds(2500));
    isComplete =
      response && response->m_body.find("\"next\":" + std::to_string(kItems)) !=
                    std::string::npos;
    Sleep(500);
  }
  if (isComplete) {
    aRecord.Add("all results were read: the rule held");
  }
  const int result =
    isComplete ? kHeld : Judge(aRecord, aSamplers, submittedAt);
  const auto ended = Call(aDeployment.Front(0),
                          "DELETE",
                          std::string("/auburntrestle/lots/") + kJob,
                          { { "Host", kHost } });
  aRecord.Add("end of the job -> " +
              (ended ? std::to_string(ended->m_status) : "nothing"));
  return result;
}

} // namespace review
