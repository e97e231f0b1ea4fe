#ifndef AUBURNTRESTLE_REVIEW_THIRD_TRAINER_HPP
#define AUBURNTRESTLE_REVIEW_THIRD_TRAINER_HPP

#include "deployment.hpp"

/** A stand-in of a trainer. */
namespace review {

/** A result of an item as it was read. */
struct ItemResult
{
  std::string m_item;
  std::string m_state;
  std::string m_output;
};

/** Submits, reads and ends batch jobs at the entry instances. */
class Trainer
{
public:
  Trainer(Deployment& aDeployment,
          Record& aRecord,
          std::vector<std::string> aEntries,
          std::string aHost)
    : m_deployment(aDeployment)
    , m_record(aRecord)
    , m_entries(std::move(aEntries))
    , m_host(std::move(aHost))
  {
  }

  /** @return an item of a batch job. */
  [[nodiscard]] static Json MakeItem(const std::string& aId,
                                     const std::string& aGroup,
                                     int aExpectedTokens)
  {
    return Json{ { "id", aId },
                 { "path", "/batch/run/" + aId },
                 { "headers",
                   { { "X-Model", "model-m" },
                     { "X-Token-Count", "16,100" },
                     { "X-Prompt-Prefix", "9c2e41:16" },
                     { "X-Length-Hint", std::to_string(aExpectedTokens) } } },
                 { "body", "q83vEjRWeJA=" },
                 { "tokens", 116 },
                 { "group", aGroup } };
  }

  /** Submits a job until it is accepted. */
  bool Submit(const std::string& aJob, const Json& aItems, Milliseconds aTime)
  {
    const Json body{ { "step", 0 },
                     { "model", "model-m" },
                     { "min_version", 1 },
                     { "target_groups", 1 },
                     { "requests", aItems } };
    constexpr int kAccepted = 202;
    const auto deadline = Clock::now() + aTime;
    while (Clock::now() < deadline) {
      const auto status = Send("POST", "/batch/" + aJob, aJob, body.dump());
      m_record.Write("job " + aJob + " is answered " + std::to_string(status));
      if (status == kAccepted) {
        return true;
      }
      Sleep(Milliseconds(100));
    }
    return false;
  }

  /** Reads the results of a job from a position.
   * @return nothing without an answer of 200. */
  std::optional<std::vector<ItemResult>> Read(const std::string& aJob,
                                              std::size_t aAfter)
  {
    Message request;
    request.m_method = "GET";
    request.m_target =
      "/auburntrestle/lots/" + aJob + "?after=" + std::to_string(aAfter);
    request.m_headers = { { "Host", m_host }, { "X-Wait-Ms", "500" } };
    const auto answer = Call(NextFront(), request, std::chrono::seconds(3));
    constexpr int kOk = 200;
    m_lastStatus = answer ? answer->m_status : 0;
    if (m_lastStatus != kOk) {
      return std::nullopt;
    }
    std::vector<ItemResult> results;
    const Json body = Json::parse(answer->m_body);
    for (const auto& result : body.at("results")) {
      results.push_back(
        { result.at("id"), result.at("state"), result.at("output") });
    }
    return results;
  }
  /** @return the status of the last read, 0 without an answer. */
  [[nodiscard]] int LastStatus() const { return m_lastStatus; }

private:
  [[nodiscard]] Address NextFront()
  {
    return m_deployment.FrontOf(m_entries[m_next++ % m_entries.size()]);
  }

  int Send(const std::string& aMethod,
           const std::string& aTarget,
           const std::string& aId,
           const std::string& aBody)
  {
    Message request;
    request.m_method = aMethod;
    request.m_target = aTarget;
    request.m_headers = { { "Host", m_host },
                          { "X-Attempt-Id", aId },
                          { "Content-Type", "application/json" } };
    request.m_body = aBody;
    const auto answer = Call(NextFront(), request, std::chrono::seconds(5));
    return answer ? answer->m_status : 0;
  }

  Deployment& m_deployment;
  Record& m_record;
  std::vector<std::string> m_entries;
  std::string m_host;
  std::size_t m_next = 0;
  int m_lastStatus = 0;
};

} // namespace review

#endif
