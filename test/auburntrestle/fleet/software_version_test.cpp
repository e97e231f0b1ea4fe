#include "auburntrestle/consensus/memory_files.hpp"
#include "auburntrestle/fleet/backend_chooser.hpp"
#include "auburntrestle/fleet/codec.hpp"
#include "auburntrestle/fleet/item_scheduler.hpp"
#include "auburntrestle/fleet/item_transcript.hpp"
#include "auburntrestle/fleet/state.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>

namespace auburntrestle::fleet {
namespace {

const ServiceName kService("service");

/** An engine for a partial output. */
struct ContinuationCase
{
  std::string m_name;
  std::string m_generatedBy;
  std::string m_engine;
  bool m_continues = false;
};

class ContinuationTest : public testing::TestWithParam<ContinuationCase>
{};

// Guards against an output that is continued by software that may not
// understand what its engine before generated.
TEST_P(ContinuationTest, NeedsTheSameKnownSoftware)
{
  const SoftwareVersion generatedBy(GetParam().m_generatedBy);
  EngineView engine;
  engine.m_service = kService;
  engine.m_serving = true;
  engine.m_accepting = true;
  engine.m_software = SoftwareVersion(GetParam().m_engine);
  ItemScheduler scheduler;
  scheduler.SetEngine(BackendId("engine"), engine);
  ItemRequirements requirements;
  requirements.m_service = kService;
  EXPECT_TRUE(scheduler.Place(requirements));
  requirements.m_software = generatedBy;
  EXPECT_EQ(scheduler.Place(requirements).has_value(), GetParam().m_continues);
  EXPECT_EQ(scheduler.IsServing(kService, generatedBy), GetParam().m_continues);
  engine.m_serving = false;
  scheduler.SetEngine(BackendId("engine"), engine);
  EXPECT_FALSE(scheduler.IsServing(kService, generatedBy));
}

INSTANTIATE_TEST_SUITE_P(
  Outputs,
  ContinuationTest,
  testing::Values(ContinuationCase{ "same", "v1", "v1", true },
                  ContinuationCase{ "other", "v1", "v2" },
                  ContinuationCase{ "unknown_engine", "v1", "" },
                  ContinuationCase{ "unknown_output", "", "v1" },
                  ContinuationCase{ "both_unknown", "", "" }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

// Guards against a partial output whose software is forgotten on its way to the
// next job.
TEST(TranscriptSoftwareTest, StaysWithTheOutput)
{
  ItemTranscript transcript("version");
  EXPECT_FALSE(transcript.Software());
  transcript.BeginRun(std::nullopt, SoftwareVersion("v1"));
  EXPECT_FALSE(transcript.Software());
  ASSERT_TRUE(transcript.Feed("id: 1\ndata: a\n\n"));
  EXPECT_EQ(transcript.Software(), SoftwareVersion("v1"));
  ItemTranscript carried("version");
  carried.Restore(*transcript.ToPartialOutput());
  EXPECT_EQ(carried.Software(), SoftwareVersion("v1"));
  carried.Clear();
  EXPECT_FALSE(carried.Software());
}

class SoftwareStateTest : public testing::Test
{
protected:
  void Apply(const Command& aCommand)
  {
    ASSERT_TRUE(m_state.Apply(*DecodeCommand(Encode(aCommand))));
  }

  void Restart() { m_state = *State::Restore(m_state.Snapshot(), *m_outputs); }

  void RecordStreamAt(const std::string& aId,
                      const std::string& aSoftware,
                      WallTime aAt)
  {
    Apply(RecordStream{
      { StreamId(aId), { kService, SoftwareVersion(aSoftware) }, aAt } });
  }

  /** @return the software that began a stream; empty if it is unknown. */
  [[nodiscard]] std::string SoftwareOf(const std::string& aStream) const
  {
    const auto* origin = m_state.FindStream(StreamId(aStream));
    return origin == nullptr ? "" : origin->m_software.Get();
  }

  consensus::test::MemoryFiles m_files;
  std::unique_ptr<OutputStore> m_outputs =
    std::move(*OutputStore::Open("/texts", m_files, 1));
  State m_state{ *m_outputs };
};

// Guards against a recorded output that the next leader continues with other
// software.
TEST_F(SoftwareStateTest, RecordedOutputsKeepTheirSoftware)
{
  fleet::AcceptJob job;
  job.m_spec.m_id = JobId("job");
  job.m_spec.m_items.emplace_back().m_id = ItemId("item");
  Apply(job);
  ItemProgress progress{ ItemId("item"), std::nullopt, 1, "a", {} };
  progress.m_software = SoftwareVersion("v1");
  Apply(RecordProgress{ JobId("job"), { progress } });
  Restart();
  const auto& recorded = m_state.FindJob(JobId("job"))->m_progress.at(0);
  EXPECT_EQ(recorded.m_software, SoftwareVersion("v1"));
}

// Guards against an announcement whose software is lost in the log.
TEST_F(SoftwareStateTest, BackendsKeepTheirSoftware)
{
  BackendRecord record;
  record.m_id = BackendId("backend");
  record.m_service = kService;
  record.m_software = SoftwareVersion("v1");
  Apply(AnnounceBackend{ record });
  Restart();
  EXPECT_EQ(m_state.Backends().at(BackendId("backend")).m_software,
            SoftwareVersion("v1"));
}

// Guards against a stream that is taken up with other software after all
// entry instances have restarted, and against records without end.
TEST_F(SoftwareStateTest, StreamsAreRememberedForATime)
{
  const WallTime start = std::chrono::hours(1);
  RecordStreamAt("first", "v1", start);
  RecordStreamAt("first", "v2", start + std::chrono::seconds(1));
  RecordStreamAt("second", "v2", start + std::chrono::seconds(100));
  Restart();
  EXPECT_EQ(SoftwareOf("first"), "v1");
  RecordStreamAt("third", "v2", start + std::chrono::seconds(121));
  EXPECT_EQ(SoftwareOf("first"), "");
  EXPECT_EQ(SoftwareOf("second"), "v2");
  EXPECT_EQ(SoftwareOf("third"), "v2");
}

// Guards against a request that is sent to other software than it may go on at.
TEST(ChooserSoftwareTest, ChoosesOnlyTheSoftwareAskedFor)
{
  BackendRecord record;
  record.m_id = BackendId("backend");
  record.m_service = kService;
  record.m_software = SoftwareVersion("v1");
  BackendChooser chooser{ DataCentreId("here") };
  chooser.SetBackends({ record });
  const TimePoint now{ std::chrono::seconds(1) };
  EXPECT_NE(chooser.Choose(kService, {}, now), nullptr);
  EXPECT_NE(chooser.Choose(kService, {}, now, SoftwareVersion("v1")), nullptr);
  EXPECT_EQ(chooser.Choose(kService, {}, now, SoftwareVersion("v2")), nullptr);
}

} // namespace
} // namespace auburntrestle::fleet
