#include "auburntrestle/consensus/memory_files.hpp"
#include "auburntrestle/fleet/codec.hpp"
#include "auburntrestle/fleet/internal/fields.hpp"
#include "auburntrestle/fleet/state.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace auburntrestle::fleet {
namespace {

class StateTest : public testing::Test
{
protected:
  StateTest()
    : m_outputs(std::move(*OutputStore::Open("/texts", m_files, 1)))
    , m_state(*m_outputs)
  {
  }

  CommandResult Apply(const Command& aCommand)
  {
    // Every command passes through the codec, as it does in the log.
    return *m_state.Apply(*DecodeCommand(Encode(aCommand)));
  }

  static BackendRecord Backend(const std::string& aId,
                               const std::string& aAddress,
                               std::uint64_t aIncarnation,
                               std::uint64_t aSequence)
  {
    BackendRecord record;
    record.m_id = BackendId(aId);
    record.m_service = ServiceName("service");
    record.m_address = aAddress;
    record.m_incarnation = Incarnation(aIncarnation);
    record.m_sequence = aSequence;
    return record;
  }

  [[nodiscard]] BackendState StateOf(const std::string& aId) const
  {
    return m_state.Backends().at(BackendId(aId)).m_state;
  }

  void AcceptJob(const std::string& aId, std::size_t aItems)
  {
    fleet::AcceptJob command;
    command.m_spec.m_id = JobId(aId);
    for (std::size_t item = 0; item < aItems; ++item) {
      JobItem each;
      each.m_id = ItemId("item" + std::to_string(item));
      each.m_body = "body";
      command.m_spec.m_items.push_back(each);
    }
    Apply(command);
  }

  static ItemResult Result(std::size_t aItem, const std::string& aOutput)
  {
    return { ItemId("item" + std::to_string(aItem)),
             ItemState::Completed,
             aOutput,
             { WeightVersion(1) } };
  }

  [[nodiscard]] std::string OutputAt(const std::string& aJob,
                                     std::size_t aPosition) const
  {
    const Job* job = m_state.FindJob(JobId(aJob));
    return m_state.Load(job->m_results.at(aPosition))->m_output;
  }

  consensus::test::MemoryFiles m_files;
  std::unique_ptr<OutputStore> m_outputs;
  State m_state;
};

// Guards against large bodies that stay in memory although they are in files.
TEST_F(StateTest, KeepsNoMemoryForStoredBodies)
{
  constexpr std::size_t kBytes = 1'000'000;
  fleet::AcceptJob command;
  command.m_spec.m_id = JobId("a");
  command.m_spec.m_items.emplace_back().m_id = ItemId("item");
  command.m_spec.m_items.back().m_body = std::string(kBytes, 'x');
  Apply(command);
  const JobItem& item = m_state.FindJob(JobId("a"))->m_spec->m_items.at(0);
  ASSERT_TRUE(item.m_storedBody);
  EXPECT_LT(item.m_body.capacity(), sizeof(std::string));
}

// Guards against jobs that fill the memory of a store: a leader refuses new
// ones by this figure, which has to fall again when they end and are forgotten.
TEST_F(StateTest, CountsTheMemoryOfItsJobs)
{
  EXPECT_EQ(m_state.JobMemory(), 0U);
  constexpr std::size_t kItems = 100;
  AcceptJob("a", kItems);
  const std::size_t one = m_state.JobMemory();
  EXPECT_GT(one, kItems * sizeof(JobItem));
  AcceptJob("a", kItems);
  EXPECT_EQ(m_state.JobMemory(), one);
  AcceptJob("b", kItems);
  EXPECT_EQ(m_state.JobMemory(), 2 * one);
  const auto restored = State::Restore(m_state.Snapshot(), *m_outputs);
  ASSERT_TRUE(restored);
  EXPECT_EQ(restored->JobMemory(), m_state.JobMemory());
  Apply(EndJob{ JobId("a") });
  EXPECT_LT(m_state.JobMemory(), one + one / 2);
  Apply(EndJob{ JobId("a") });
  Apply(ForgetJobs{ { JobId("a") } });
  EXPECT_EQ(m_state.JobMemory(), one);
  Apply(ForgetJobs{ { JobId("b") } });
  EXPECT_EQ(m_state.JobMemory(), 0U);
}

TEST_F(StateTest, TheHighestConfigurationWins)
{
  Apply(PutConfiguration{ ConfigurationVersion(5), "five" });
  EXPECT_EQ(Apply(PutConfiguration{ ConfigurationVersion(4), "four" }),
            CommandResult::Done);
  EXPECT_EQ(Apply(PutConfiguration{ ConfigurationVersion(5), "other" }),
            CommandResult::Done);
  EXPECT_EQ(m_state.Configuration().m_document, "five");
  Apply(PutConfiguration{ ConfigurationVersion(9), "nine" });
  EXPECT_EQ(m_state.Configuration().m_document, "nine");
}

// Guards against a heartbeat that arrives late or out of order, or from a
// process whose address belongs to another process by now.
TEST_F(StateTest, LateAnnouncementsChangeNothing)
{
  Apply(AnnounceBackend{ Backend("a", "1.1.1.1:1", 10, 5) });
  auto leaving = Backend("a", "1.1.1.1:1", 10, 6);
  leaving.m_state = BackendState::Leaving;
  Apply(AnnounceBackend{ leaving });
  const auto before = m_state.Directory();
  Apply(AnnounceBackend{ Backend("a", "1.1.1.1:1", 10, 5) });
  Apply(AnnounceBackend{ Backend("a", "1.1.1.1:1", 9, 99) });
  EXPECT_EQ(StateOf("a"), BackendState::Leaving);
  EXPECT_EQ(m_state.Directory(), before);

  Apply(AnnounceBackend{ Backend("b", "1.1.1.1:1", 20, 1) });
  EXPECT_EQ(StateOf("a"), BackendState::Removed);
  Apply(AnnounceBackend{ Backend("a", "1.1.1.1:1", 10, 7) });
  EXPECT_EQ(StateOf("a"), BackendState::Removed);
  EXPECT_EQ(StateOf("b"), BackendState::Serving);
}

// Guards against losing the kind of a server in the log, and against stored
// records of the build before that become unreadable.
TEST_F(StateTest, ABackendKeepsItsKind)
{
  BackendRecord record = Backend("b", "1.1.1.1:1", 1, 1);
  record.m_preemptible = true;
  Apply(AnnounceBackend{ record });
  EXPECT_TRUE(m_state.Backends().at(record.m_id).m_preemptible);

  protocol::Writer writer;
  writer(record.m_id,
         record.m_service,
         record.m_address,
         record.m_dataCentre,
         record.m_slots,
         record.m_state,
         record.m_incarnation,
         record.m_sequence);
  const auto before = protocol::Unpack<BackendRecord>(writer.ExtractBytes());
  ASSERT_TRUE(before);
  EXPECT_EQ(before->m_address, record.m_address);
  EXPECT_FALSE(before->m_preemptible);
}

TEST_F(StateTest, ABackendReturnsOnlyUnderAHigherIncarnation)
{
  Apply(AnnounceBackend{ Backend("a", "1.1.1.1:1", 10, 1) });
  Apply(RemoveBackend{ BackendId("a"), Incarnation() });
  EXPECT_EQ(StateOf("a"), BackendState::Removed);
  Apply(AnnounceBackend{ Backend("a", "1.1.1.1:1", 10, 2) });
  EXPECT_EQ(StateOf("a"), BackendState::Removed);
  Apply(AnnounceBackend{ Backend("a", "1.1.1.1:1", 11, 1) });
  EXPECT_EQ(StateOf("a"), BackendState::Serving);
}

// Guards against a job that is accepted twice and against a result that changes
// its position.
TEST_F(StateTest, ResultsKeepTheirPositionAndContent)
{
  AcceptJob("job", 2);
  Apply(RecordResults{ { { JobId("job"), { Result(1, "one") } } } });
  AcceptJob("job", 2);
  Apply(RecordResults{
    { { JobId("job"), { Result(1, "other"), Result(0, "zero") } } } });
  EXPECT_EQ(m_state.FindJob(JobId("job"))->m_results.size(), 2U);
  EXPECT_EQ(OutputAt("job", 0), "one");
  EXPECT_EQ(OutputAt("job", 1), "zero");
}

TEST_F(StateTest, AnEndedJobAcceptsNoResultsAndKeepsItsOwn)
{
  AcceptJob("job", 2);
  Apply(RecordResults{ { { JobId("job"), { Result(0, "zero") } } } });
  EXPECT_EQ(Apply(EndJob{ JobId("job") }), CommandResult::Done);
  EXPECT_EQ(Apply(EndJob{ JobId("job") }), CommandResult::Done);
  EXPECT_EQ(Apply(EndJob{ JobId("unknown") }), CommandResult::NotFound);
  Apply(RecordResults{ { { JobId("job"), { Result(1, "one") } } } });
  EXPECT_EQ(m_state.FindJob(JobId("job"))->m_results.size(), 1U);
  EXPECT_EQ(m_state.FindJob(JobId("job"))->m_total, 2U);
}

// Guards against an output with a gap after a lost record.
TEST_F(StateTest, ProgressIsAppendedOnlyWithoutAGap)
{
  AcceptJob("job", 1);
  const ItemId item("item0");
  const std::vector<WeightVersion> versions{ WeightVersion(1) };
  Apply(RecordProgress{ JobId("job"),
                        { { item, std::nullopt, 3, "a\nb\nc", versions } } });
  Apply(RecordProgress{ JobId("job"), { { item, 5, 7, "\nx", versions } } });
  const auto& progress = m_state.FindJob(JobId("job"))->m_progress;
  EXPECT_EQ(progress.at(0).m_lastEvent, 3U);
  Apply(RecordProgress{ JobId("job"), { { item, 3, 4, "\nd", versions } } });
  EXPECT_EQ(progress.at(0).m_output, "a\nb\nc\nd");
  Apply(RecordResults{ { { JobId("job"), { Result(0, "whole") } } } });
  EXPECT_TRUE(progress.empty());
}

// Guards against the loss of an output that waits for its score, and against an
// output that is logged twice.
TEST_F(StateTest, AResultTakesItsRecordedOutput)
{
  AcceptJob("job", 2);
  const std::vector<WeightVersion> versions{ WeightVersion(1) };
  Apply(RecordProgress{
    JobId("job"),
    { { ItemId("item0"), std::nullopt, 2, "a\nb", versions, true },
      { ItemId("item1"), std::nullopt, 1, "a", versions, false } } });
  const auto& progress = m_state.FindJob(JobId("job"))->m_progress;
  EXPECT_TRUE(progress.at(0).m_complete);
  EXPECT_FALSE(progress.at(1).m_complete);

  auto scored = Result(0, "");
  scored.m_score = Score("score");
  Apply(RecordResults{ { { JobId("job"),
                           { scored, Result(1, "") },
                           { ItemId("item0"), ItemId("item1") } } } });
  // The output of item1 is incomplete, so it has no result.
  const Job* job = m_state.FindJob(JobId("job"));
  ASSERT_EQ(job->m_results.size(), 1U);
  EXPECT_EQ(OutputAt("job", 0), "a\nb");
  EXPECT_EQ(m_state.Load(job->m_results[0])->m_score, Score("score"));
  EXPECT_TRUE(job->m_hasResult[0]);
  EXPECT_FALSE(job->m_hasResult[1]);
}

/** Commands and a snapshot as the last build without reward calls wrote them.
 */
namespace earlier_build {

std::string FromHex(std::string_view aHex)
{
  constexpr int kHex = 16;
  std::string bytes;
  for (std::size_t index = 0; index + 1 < aHex.size(); index += 2) {
    const std::string digits(aHex.substr(index, 2));
    bytes += static_cast<char>(std::stoi(digits, nullptr, kHex));
  }
  return bytes;
}

constexpr std::string_view kAcceptJob =
  "92069297a36a6f62a168a32f702fa16d01009296a56974656d30a42f702f7890a4626f6479"
  "a1670096a56974656d31a42f702f7890a4626f6479a16700cd03e8";
constexpr std::string_view kRecordProgress =
  "920a92a36a6f629195a56974656d30c002a3610a629101";
constexpr std::string_view kRecordResults =
  "9207919192a36a6f629194a56974656d3100a09101";
constexpr std::string_view kSnapshot =
  "989200a09090009090909197a36a6f6297a36a6f62a168a32f702fa16d01009296a5697465"
  "6d30a42f702f7890a4626f6479a1670096a56974656d31a42f702f7890a4626f6479a16700"
  "02cd03e89194a56974656d3100930000009101c29192009302a3610a629101";

} // namespace earlier_build

// Guards against stored state that an upgraded process cannot read.
TEST_F(StateTest, ReadsTheLogOfAnEarlierBuild)
{
  for (const auto hex : { earlier_build::kAcceptJob,
                          earlier_build::kRecordProgress,
                          earlier_build::kRecordResults }) {
    const auto command = DecodeCommand(earlier_build::FromHex(hex));
    ASSERT_TRUE(command);
    EXPECT_EQ(*m_state.Apply(*command), CommandResult::Done);
  }
  const Job* job = m_state.FindJob(JobId("job"));
  EXPECT_FALSE(job->m_spec->m_items[0].m_reward);
  EXPECT_EQ(job->m_progress.at(0).m_output, "a\nb");
  EXPECT_FALSE(job->m_progress.at(0).m_complete);
  EXPECT_FALSE(job->m_results.at(0).m_score);
}

TEST_F(StateTest, ReadsTheSnapshotOfAnEarlierBuild)
{
  const auto restored = State::Restore(
    earlier_build::FromHex(earlier_build::kSnapshot), *m_outputs);
  ASSERT_TRUE(restored);
  const Job* job = restored->FindJob(JobId("job"));
  ASSERT_NE(job, nullptr);
  EXPECT_EQ(job->m_results.at(0).m_id, ItemId("item1"));
  EXPECT_EQ(job->m_progress.at(0).m_lastEvent, 2U);
}

// Guards against a retirement in the log of an earlier build, which names no
// lost instances, that an upgraded process cannot read.
TEST_F(StateTest, ReadsARetirementOfAnEarlierBuild)
{
  const auto command =
    DecodeCommand(earlier_build::FromHex("920592a86d616368696e653103"));
  ASSERT_TRUE(command);
  const auto& retirement = std::get<RetireMember>(*command);
  EXPECT_EQ(retirement.m_machine, "machine1");
  EXPECT_EQ(retirement.m_minRemaining, 3U);
  EXPECT_TRUE(retirement.m_lost.empty());
}

struct RetireCase
{
  std::size_t m_members;
  std::string m_machine;
  std::uint32_t m_minRemaining;
  CommandResult m_expected;
  std::vector<InstanceId> m_lost = {};
};

class RetireTest
  : public StateTest
  , public testing::WithParamInterface<RetireCase>
{};

// Guards against a retirement that counts lost machines among those that
// remain, so that the next loss of a disk leaves no majority.
TEST_P(RetireTest, IsAllowedWhileEnoughRemain)
{
  for (std::size_t member = 0; member < GetParam().m_members; ++member) {
    Apply(AnnounceMember{ InstanceId("1.1.1.1:" + std::to_string(member)),
                          "machine" + std::to_string(member),
                          DataCentreId("dc") });
  }
  const RetireMember command{ GetParam().m_machine,
                              GetParam().m_minRemaining,
                              GetParam().m_lost };
  EXPECT_EQ(Apply(command), GetParam().m_expected);
  EXPECT_EQ(m_state.IsRetiringMachine(GetParam().m_machine),
            GetParam().m_expected == CommandResult::Done);
}

INSTANTIATE_TEST_SUITE_P(
  Sizes,
  RetireTest,
  testing::Values(RetireCase{ 4, "machine1", 3, CommandResult::Done },
                  RetireCase{ 3, "machine1", 3, CommandResult::TooFewRemain },
                  RetireCase{ 4, "other", 3, CommandResult::NotFound },
                  RetireCase{ 4,
                              "machine1",
                              3,
                              CommandResult::TooFewRemain,
                              { InstanceId("1.1.1.1:3") } },
                  RetireCase{ 5,
                              "machine1",
                              3,
                              CommandResult::Done,
                              { InstanceId("1.1.1.1:3") } },
                  RetireCase{ 4,
                              "machine1",
                              3,
                              CommandResult::Done,
                              { InstanceId("1.1.1.1:1") } }));

TEST_F(StateTest, ASnapshotRestoresEverything)
{
  Apply(PutConfiguration{ ConfigurationVersion(5), "five" });
  Apply(AnnounceBackend{ Backend("a", "1.1.1.1:1", 10, 5) });
  Apply(PublishWeights{ ModelName("model"), WeightVersion(4) });
  Apply(
    AnnounceMember{ InstanceId("1.1.1.1:7"), "machine", DataCentreId("x") });
  AcceptJob("open", 2);
  AcceptJob("ended", 1);
  Apply(RecordResults{ { { JobId("open"), { Result(1, "one") } },
                         { JobId("ended"), { Result(0, "zero") } } } });
  Apply(RecordProgress{ JobId("open"),
                        { { ItemId("item0"),
                            std::nullopt,
                            2,
                            "a\nb",
                            { WeightVersion(1) },
                            true } } });
  Apply(EndJob{ JobId("ended") });
  ASSERT_TRUE(m_outputs->Sync());

  auto restored = State::Restore(m_state.Snapshot(), *m_outputs);
  ASSERT_TRUE(restored);
  EXPECT_EQ(restored->Snapshot(), m_state.Snapshot());
  EXPECT_EQ(restored->OutputSegments(), m_state.OutputSegments());
  m_state = std::move(*restored);
  EXPECT_EQ(OutputAt("open", 0), "one");
  EXPECT_EQ(OutputAt("ended", 0), "zero");
  // The restored job still knows which items have a result.
  Apply(RecordResults{ { { JobId("open"), { Result(1, "again") } } } });
  EXPECT_EQ(m_state.FindJob(JobId("open"))->m_results.size(), 1U);
}

// Guards against an account that reads or ends the jobs of another one, also
// after they have ended and after a restart.
TEST_F(StateTest, AJobBelongsToItsAccount)
{
  const AccountName owner("owner");
  const AccountName other("other");
  fleet::AcceptJob command;
  command.m_spec.m_id = JobId("job");
  command.m_spec.m_account = owner;
  EXPECT_EQ(Apply(command), CommandResult::Done);
  EXPECT_EQ(Apply(command), CommandResult::Done);
  command.m_spec.m_account = other;
  EXPECT_EQ(Apply(command), CommandResult::Conflict);
  EXPECT_EQ(Apply(EndJob{ JobId("job"), other }), CommandResult::NotFound);
  EXPECT_FALSE(m_state.FindJob(JobId("job"))->m_ended);
  EXPECT_EQ(Apply(EndJob{ JobId("job"), owner }), CommandResult::Done);

  m_state = *State::Restore(m_state.Snapshot(), *m_outputs);
  const Job* job = m_state.FindJob(JobId("job"));
  EXPECT_TRUE(job->m_ended);
  EXPECT_TRUE(job->IsVisibleTo(owner));
  EXPECT_FALSE(job->IsVisibleTo(other));
  EXPECT_FALSE(job->IsVisibleTo(AccountName()));
  EXPECT_TRUE(job->IsVisibleTo(std::nullopt));
}

// Guards against two different reports of one window, also after a restart.
TEST_F(StateTest, CountsOfAClosedWindowAreFinal)
{
  const AccountName account("a");
  EXPECT_EQ(m_state.Usage().m_firstOpen, UsageWindow());
  Apply(CompleteUsage{ UsageWindow(6) });
  EXPECT_EQ(m_state.Usage().m_firstOpen, UsageWindow(7));
  Apply(RecordUsage{ UsageWindow(7), { { account, 2 } } });
  Apply(RecordUsage{ UsageWindow(7), { { account, 3 } } });
  Apply(RecordUsage{ UsageWindow(8), {} });
  m_state = *State::Restore(m_state.Snapshot(), *m_outputs);
  const UsageByWindow expected{ { UsageWindow(7), { { account, 2 } } },
                                { UsageWindow(8), {} } };
  EXPECT_EQ(m_state.Usage().m_unreported, expected);
  EXPECT_EQ(m_state.Usage().m_firstOpen, UsageWindow(9));
  Apply(CompleteUsage{ UsageWindow(7) });
  Apply(RecordUsage{ UsageWindow(7), { { account, 4 } } });
  EXPECT_EQ(m_state.Usage().m_unreported.size(), 1U);
}

// Guards against unreported windows without end while the API is down.
TEST_F(StateTest, KeepsTheNewestUnreportedWindows)
{
  constexpr std::uint64_t kWindows = kMaxUsageWindows + 3;
  for (std::uint64_t window = 1; window <= kWindows; ++window) {
    Apply(RecordUsage{ UsageWindow(window), {} });
  }
  const auto& unreported = m_state.Usage().m_unreported;
  EXPECT_EQ(unreported.size(), kMaxUsageWindows);
  EXPECT_EQ(unreported.begin()->first, UsageWindow(4));
}

// Guards against a job that was submitted without an account and that nobody
// can read once the configuration has accounts.
TEST_F(StateTest, AJobWithoutAccountIsVisibleToAll)
{
  AcceptJob("job", 1);
  EXPECT_TRUE(m_state.FindJob(JobId("job"))->IsVisibleTo(AccountName("any")));
}

// Guards against bodies of jobs that fill the memory of all members, in the
// state and in each snapshot, until the job ends.
TEST_F(StateTest, LargeBodiesAreInFilesUntilTheirJobEnds)
{
  const std::string large(std::size_t{ 1024 } * 1024, 'x');
  fleet::AcceptJob command;
  command.m_spec.m_id = JobId("job");
  for (const char* id : { "item0", "item1" }) {
    JobItem item;
    item.m_id = ItemId(id);
    item.m_body = large + id;
    item.m_reward = RewardCall{ RewardId(id), "host", "/path", id + large };
    command.m_spec.m_items.push_back(item);
  }
  Apply(command);
  ASSERT_TRUE(m_outputs->Sync());
  EXPECT_LT(m_state.Snapshot().size(), 1024U);
  const auto bodies = m_state.OutputSegments();
  EXPECT_FALSE(bodies.empty());

  m_state = *State::Restore(m_state.Snapshot(), *m_outputs);
  EXPECT_EQ(m_state.OutputSegments(), bodies);
  const auto& items = m_state.FindJob(JobId("job"))->m_spec->m_items;
  EXPECT_TRUE(items.at(1).HasStoredBody());
  const auto item = m_state.Load(JobId("job"), items.at(1));
  ASSERT_TRUE(item);
  EXPECT_EQ(item->m_body, large + "item1");
  EXPECT_EQ(item->m_reward->m_body, "item1" + large);

  // The output stays readable after the job has ended; the bodies do not.
  Apply(RecordResults{ { { JobId("job"), { Result(0, "zero") } } } });
  Apply(EndJob{ JobId("job") });
  const auto outputs = m_state.OutputSegments();
  EXPECT_EQ(outputs.size(), 1U);
  EXPECT_FALSE(bodies.contains(outputs.begin()->first));
  EXPECT_EQ(OutputAt("job", 0), "zero");
}

// Guards against an item whose small body is read from a file for each run.
TEST_F(StateTest, SmallBodiesStayInMemory)
{
  AcceptJob("job", 1);
  const auto& item = m_state.FindJob(JobId("job"))->m_spec->m_items.at(0);
  EXPECT_FALSE(item.HasStoredBody());
  EXPECT_EQ(m_state.Load(JobId("job"), item)->m_body, "body");
  EXPECT_TRUE(m_state.OutputSegments().empty());
}

// Guards against a log entry a second from an instance outside the log, whose
// own state never shows that it is announced.
TEST_F(StateTest, ARepeatedAnnouncementOfAMemberIsNoChange)
{
  AnnounceMember member{ InstanceId("1.1.1.1:7"),
                         "machine",
                         DataCentreId("x") };
  EXPECT_TRUE(m_state.IsChange(member));
  Apply(member);
  EXPECT_FALSE(m_state.IsChange(member));
  member.m_machine = "other";
  EXPECT_TRUE(m_state.IsChange(member));
}

TEST_F(StateTest, AnUnreadableSnapshotIsAnError)
{
  EXPECT_FALSE(State::Restore("garbage", *m_outputs));
  EXPECT_TRUE(State::Restore("", *m_outputs));
}

} // namespace
} // namespace auburntrestle::fleet
