#ifndef AUBURNTRESTLE_REVIEW_THIRD_FOREIGN_PING_HPP
#define AUBURNTRESTLE_REVIEW_THIRD_FOREIGN_PING_HPP

#include "sampler.hpp"
#include "trainer.hpp"

/** The scenario of cases 14 and 15: another writer sends one ping that names no
 * sampler to use, with the address of a sampler. That sampler must go on
 * getting work. */
namespace review::foreign_ping {

inline constexpr int kOk = 200;
inline constexpr int kItems = 10;
/** The time that a step has, as on the sheet of the site. */
inline constexpr Milliseconds kStepTime(12000);
inline constexpr Milliseconds kIdleTime(5000);
inline const std::string kJob = "7c41e09b52d6a3f8";

inline const std::string kManifest =
  R"({"version":1,"routes":[{"name":"r-batch",
"host":"batch.example","path_prefix":"/batch/","route_type":"rollout",
"timeout_ms":10000,"latency_target_ms":400,"priority":1,"service":"engines",
"max_attempts":3,"queue_ttl_s":40.0,"target_done_ms":7500,
"single_version":false,"sticky":true,"resumable":true}],
"services":[{"name":"engines","health_path":"/healthz","max_conns":150,
"protocol":"h1","tls":false,"engine":{"slots":8,"kv_cache_tokens":80901,
"kv_bytes":18432,"models":[{"name":"model-m"}]}}],
"limits":{"header_bytes":16384,"body_bytes":33554432,"header_ms":3000,
"idle_timeout_ms":15000}})";

/** Each item takes two seconds. */
inline ItemAnswer AnswerOf(const std::string& /*aItem*/, int /*aRun*/)
{
  ItemAnswer answer;
  answer.m_events = 20;
  answer.m_pace = Milliseconds(100);
  return answer;
}

/** Makes the body of the ping from a proper one. */
using MakePing = Json (*)(Json aProper);

/** Sends the ping of another writer. @return the status of the answer. */
inline int SendForeignPing(Deployment& aDeployment,
                           const Address& aAddress,
                           MakePing aMakePing)
{
  const auto born = std::chrono::duration_cast<Milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count();
  const Json ping{ { "service", "engines" }, { "address", aAddress.Text() },
                   { "zone", "zone-a" },     { "version", "v1" },
                   { "slots", 4 },           { "state", "ready" },
                   { "cold_left_ms", 0 },    { "born", born },
                   { "sequence", 1 } };
  const auto answer = aDeployment.CallControl("PUT",
                                              "/auburntrestle/instances/x-1",
                                              aMakePing(ping).dump(),
                                              std::chrono::seconds(3));
  return answer ? answer->m_status : 0;
}

inline Verdict Run(Deployment& aDeployment, Record& aRecord, MakePing aMakePing)
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
  for (const int slots : { 8, 1 }) {
    SamplerOptions options;
    options.m_id = "i-" + std::to_string(samplers.size() + 1);
    options.m_slots = slots;
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
  if (HasTrouble()) {
    const int status = SendForeignPing(
      aDeployment, samplers.front()->ListenAddress(), aMakePing);
    aRecord.Write(
      "a ping of another writer with the address of i-1 is answered " +
      std::to_string(status));
  }
  // More than a ping of each sampler, and contact_ms.
  Sleep(std::chrono::seconds(5));
  Json items = Json::array();
  for (int number = 1; number <= kItems; ++number) {
    items.push_back(
      Trainer::MakeItem("item-" + std::to_string(number), "group-1", 20));
  }
  Trainer trainer(aDeployment, aRecord, { "edge-a" }, "batch.example");
  if (!trainer.Submit(kJob, items, std::chrono::seconds(5))) {
    return Verdict::NotRun;
  }
  const auto deadline = Clock::now() + kStepTime;
  std::set<std::string> listed;
  while (Clock::now() < deadline && listed.size() < items.size()) {
    const auto results = trainer.Read(kJob, listed.size());
    for (const auto& result : results.value_or(std::vector<ItemResult>())) {
      listed.insert(result.m_item);
      aRecord.Write(result.m_item + " is listed as " + result.m_state);
    }
    Sleep(Milliseconds(200));
  }
  int waiting = 0;
  for (const auto& item : items) {
    const auto id = item.at("id").get<std::string>();
    int runs = 0;
    for (const auto& sampler : samplers) {
      runs += sampler->RunsOf(id);
    }
    waiting += listed.contains(id) || runs > 0 ? 0 : 1;
  }
  aRecord.Write(std::to_string(listed.size()) + " of " +
                std::to_string(items.size()) + " items are listed, " +
                std::to_string(waiting) + " have been at no sampler for " +
                std::to_string(kStepTime.count()) + " ms, with 1 of 9 slots " +
                "taken at most");
  static_assert(kStepTime >= kIdleTime);
  return waiting > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace review::foreign_ping

#endif
