#include "auburntrestle/operator_client/in_force_wait.hpp"

#include "auburntrestle/operator_client/table.hpp"

#include <algorithm>
#include <thread>
#include <utility>

namespace auburntrestle::operator_client {

namespace internal {

/** Minimum timeout of a poll, also of the last one; the wait may exceed its
 * timeout by twice this. */
constexpr std::chrono::milliseconds kMinimumPollTimeout{ 2000 };

bool HasRevision(const InstanceRevision& aInstance, Revision aRevision)
{
  return aInstance.m_revision && aInstance.m_revision->Get() >= aRevision.Get();
}

std::optional<InstanceRevision> ParseInstance(const nlohmann::json& aEntry)
{
  if (!aEntry.is_object()) {
    return std::nullopt;
  }
  const auto instance = aEntry.find("instance");
  const auto alive = aEntry.find("alive");
  if (instance == aEntry.end() || !instance->is_string() ||
      alive == aEntry.end() || !alive->is_boolean()) {
    return std::nullopt;
  }
  InstanceRevision result;
  result.m_instance = InstanceId(instance->get<std::string>());
  result.m_alive = alive->get<bool>();
  const auto dataCentre = aEntry.find("data_centre");
  if (dataCentre != aEntry.end() && dataCentre->is_string()) {
    result.m_dataCentre = DataCentreId(dataCentre->get<std::string>());
  }
  const auto revision = aEntry.find("revision");
  if (revision != aEntry.end() && revision->is_number_unsigned()) {
    result.m_revision = Revision(revision->get<std::uint64_t>());
  }
  return result;
}

std::string StateOf(const InstanceRevision& aInstance, Revision aRevision)
{
  if (!aInstance.m_alive) {
    return "down";
  }
  return HasRevision(aInstance, aRevision) ? "in force" : "pending";
}

/** Prints the number of instances in force whenever it changes. */
class Progress
{
public:
  explicit Progress(std::ostream& aStream)
    : m_stream(aStream)
  {
  }

  void Report(const InForceStatus& aStatus, Revision aRevision)
  {
    const std::string line =
      "revision " + std::to_string(aRevision.Get()) + ": in force on " +
      std::to_string(aStatus.CountInForce(aRevision)) + " of " +
      std::to_string(aStatus.CountAlive()) + " live instances\n";
    if (line != m_lastLine) {
      m_lastLine = line;
      m_stream << line << std::flush;
    }
  }

private:
  std::ostream& m_stream;
  std::string m_lastLine;
};

} // namespace internal

std::size_t InForceStatus::CountInForce(Revision aRevision) const
{
  return static_cast<std::size_t>(std::count_if(
    m_instances.begin(), m_instances.end(), [&](const auto& aInstance) {
      return aInstance.m_alive && internal::HasRevision(aInstance, aRevision);
    }));
}

std::size_t InForceStatus::CountAlive() const
{
  return static_cast<std::size_t>(std::count_if(
    m_instances.begin(), m_instances.end(), [](const auto& aInstance) {
      return aInstance.m_alive;
    }));
}

bool InForceStatus::IsInForce(Revision aRevision) const
{
  return CountAlive() > 0 && CountInForce(aRevision) == CountAlive();
}

std::string InForceStatus::Render(Revision aRevision) const
{
  Table table({ "INSTANCE", "DATA CENTRE", "REVISION", "STATE" });
  for (const auto& instance : m_instances) {
    table.AddRow(
      { instance.m_instance.Get(),
        instance.m_dataCentre.Get(),
        instance.m_revision ? std::to_string(instance.m_revision->Get()) : "-",
        internal::StateOf(instance, aRevision) });
  }
  return table.Render();
}

tl::expected<InForceStatus, RequestFailure> ParseInForceStatus(
  const Response& aResponse)
{
  const auto newest = aResponse.m_json.find("newest");
  const auto instances = aResponse.m_json.find("instances");
  if (newest == aResponse.m_json.end() || !newest->is_number_unsigned() ||
      instances == aResponse.m_json.end() || !instances->is_array()) {
    return tl::make_unexpected(
      MakeBadResponse("the answer has no valid \"newest\" or \"instances\""));
  }
  InForceStatus status;
  status.m_newest = Revision(newest->get<std::uint64_t>());
  status.m_body = aResponse.m_body;
  for (const auto& entry : *instances) {
    auto instance = internal::ParseInstance(entry);
    if (!instance) {
      return tl::make_unexpected(
        MakeBadResponse("the answer has no valid \"instances\""));
    }
    status.m_instances.push_back(std::move(*instance));
  }
  return status;
}

InForceWaitResult WaitUntilInForce(RequestSender& aSender,
                                   const InForceWaitOptions& aOptions,
                                   std::ostream& aProgress)
{
  using Clock = std::chrono::steady_clock;
  const auto deadline = Clock::now() + aOptions.m_timeout;
  internal::Progress progress(aProgress);
  InForceWaitResult result;
  while (true) {
    Request request;
    request.m_path = "/v1/config/force";
    request.m_timeout = std::max(
      internal::kMinimumPollTimeout,
      std::chrono::ceil<std::chrono::milliseconds>(deadline - Clock::now()));
    auto status = aSender.Send(request).and_then(&ParseInForceStatus);
    if (status) {
      progress.Report(*status, aOptions.m_revision);
      result.m_inForce = status->IsInForce(aOptions.m_revision);
      result.m_status = std::move(*status);
      result.m_failure.reset();
    } else {
      result.m_failure = std::move(status.error());
    }
    const auto remaining = deadline - Clock::now();
    if (result.m_inForce || remaining <= Clock::duration::zero()) {
      return result;
    }
    std::this_thread::sleep_for(
      std::min<Clock::duration>(remaining, aOptions.m_pollInterval));
  }
}

} // namespace auburntrestle::operator_client
