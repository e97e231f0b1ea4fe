#include "auburntrestle/fleet/internal/fields.hpp"
#include "auburntrestle/fleet/state.hpp"

#include <utility>

namespace auburntrestle::fleet {

namespace {

/** Parts of a snapshot. */
constexpr std::size_t kParts = 10;
/** Parts of a snapshot of the first build; later ones are at its end. */
constexpr std::size_t kFirstParts = 8;

} // namespace

std::string State::Snapshot() const
{
  protocol::Writer writer;
  writer.WriteArrayHeader(kParts);
  writer.Write(m_configuration);
  std::vector<BackendRecord> backends;
  for (const auto& [id, record] : m_backends) {
    backends.push_back(record);
  }
  writer.Write(backends);
  writer.Write(std::vector<BackendId>(m_removed.begin(), m_removed.end()));
  writer.Write(m_directory);
  writer.Write(m_weights);
  writer.WriteArrayHeader(m_members.size());
  for (const auto& [instance, record] : m_members) {
    writer(instance, record.m_machine, record.m_dataCentre);
  }
  writer.Write(std::vector<std::string>(m_retiring.begin(), m_retiring.end()));
  writer.WriteArrayHeader(m_jobOrder.size());
  for (const auto& id : m_jobOrder) {
    const Job& job = m_jobs.at(id);
    JobSpec released;
    released.m_account = job.m_account;
    writer(job.m_id,
           job.m_spec ? *job.m_spec : released,
           job.m_total,
           job.m_acceptedAt,
           job.m_results,
           job.m_ended,
           job.m_progress);
  }
  writer.Write(m_usage);
  writer.WriteArrayHeader(m_streamOrder.size());
  for (const auto& id : m_streamOrder) {
    writer.Write(m_streams.at(id));
  }
  return writer.ExtractBytes();
}

void State::ReadMembers(protocol::Reader& aReader)
{
  const std::size_t members = aReader.EnterArray(0);
  for (std::size_t count = 0; count < members && !aReader.HasFailed();
       ++count) {
    InstanceId instance;
    MemberRecord record;
    aReader(instance, record.m_machine, record.m_dataCentre);
    m_members.emplace(std::move(instance), std::move(record));
  }
  aReader.LeaveArray();
}

void State::ReadJob(protocol::Reader& aReader)
{
  auto spec = std::make_shared<JobSpec>();
  JobId id;
  std::vector<StoredResult> results;
  std::size_t total = 0;
  WallTime acceptedAt{};
  bool ended = false;
  std::map<std::size_t, PartialOutput> progress;
  aReader(id, *spec, total, acceptedAt, results, ended, progress);
  spec->m_id = id;
  Job& job = AddJob(std::move(spec), acceptedAt);
  job.m_results = std::move(results);
  if (ended) {
    job.m_total = total;
    Close(job);
    return;
  }
  job.m_progress = std::move(progress);
  for (const auto& result : job.m_results) {
    const auto index = job.m_itemIndex.find(result.m_id);
    if (index == job.m_itemIndex.end()) {
      aReader.SetFailure("a result of no item");
    } else {
      job.m_hasResult[index->second] = true;
    }
  }
}

protocol::Expected<State> State::Restore(std::string_view aBytes,
                                         OutputStore& aOutputs)
{
  State state(aOutputs);
  if (aBytes.empty()) {
    return state;
  }
  protocol::Reader reader(aBytes);
  reader.EnterArray(kFirstParts);
  reader.Read(state.m_configuration);
  std::vector<BackendRecord> backends;
  reader.Read(backends);
  for (auto& record : backends) {
    const BackendId id = record.m_id;
    state.m_backends.emplace(id, std::move(record));
  }
  std::vector<BackendId> removed;
  reader.Read(removed);
  state.m_removed.assign(removed.begin(), removed.end());
  reader.Read(state.m_directory);
  reader.Read(state.m_weights);
  state.ReadMembers(reader);
  std::vector<std::string> retiring;
  reader.Read(retiring);
  state.m_retiring.insert(retiring.begin(), retiring.end());
  const std::size_t jobs = reader.EnterArray(0);
  for (std::size_t count = 0; count < jobs && !reader.HasFailed(); ++count) {
    state.ReadJob(reader);
  }
  reader.LeaveArray();
  if (reader.HasMoreElements()) {
    reader.Read(state.m_usage);
  }
  if (reader.HasMoreElements()) {
    std::vector<StreamRecord> streams;
    reader.Read(streams);
    for (const auto& stream : streams) {
      state.AddStream(stream);
    }
  }
  reader.LeaveArray();
  if (auto result = reader.Result(); !result) {
    return tl::unexpected(std::move(result).error());
  }
  return state;
}

} // namespace auburntrestle::fleet
