#include "auburntrestle/core/random.hpp"
#include "auburntrestle/ledger/ledger_fixture.hpp"

#include <gtest/gtest.h>

namespace auburntrestle::ledger {
namespace {

std::string ValidBytes()
{
  return Encode(Proposal{
    LedgerTime(Duration(5)),
    FixBatch{ TrainerId("t"), Cursor(1), { Sample(1, 2, 3) }, "p", Term(4) } });
}

// Guards against a proposal that changes when it is encoded and decoded.
TEST(Codec, DecodeReversesEncode)
{
  const auto decoded = Decode(ValidBytes());
  ASSERT_TRUE(decoded);
  EXPECT_EQ(Encode(*decoded), ValidBytes());
  const FixBatch& fix = std::get<FixBatch>(decoded->m_command);
  EXPECT_EQ(fix.m_samples, std::vector<SampleRef>{ Sample(1, 2, 3) });
  EXPECT_EQ(fix.m_term, Term(4));
  EXPECT_EQ(decoded->m_stamp, LedgerTime(Duration(5)));
}

struct BytesCase
{
  const char* m_name;
  std::string m_bytes;
  RefusalKind m_kind;
};

// Guards against a crash, a large allocation or a wrong result on malformed
// bytes.
TEST(Codec, MalformedBytesAreRefused)
{
  using namespace std::string_literals;
  const RefusalKind malformed = RefusalKind::Malformed;
  const std::string newer = "\x94\x02\x00\x00\x90"s;
  const std::vector<BytesCase> cases{
    { "empty", "", malformed },
    { "truncated", ValidBytes().substr(0, ValidBytes().size() - 1), malformed },
    { "trailing byte", ValidBytes() + "\x00"s, malformed },
    { "no array", "\x01"s, malformed },
    { "empty array", "\x90"s, malformed },
    { "version as text",
      "\x94\xa1"
      "1\x00\x00\x90"s,
      malformed },
    { "newer version", newer, RefusalKind::UnknownVersion },
    { "newer version with other fields",
      "\x92\x02\x00"s,
      RefusalKind::UnknownVersion },
    { "missing field", "\x93\x01\x00\x00"s, malformed },
    { "unknown command", "\x94\x01\x00\x7f\x90"s, malformed },
    { "negative stamp", "\x94\x01\xff\x00\x90"s, malformed },
    { "stamp that overflows",
      "\x94\x01\xcf\xff\xff\xff\xff\xff\xff\xff\xff\x00\x90"s,
      malformed },
    { "command with a field too many", "\x94\x01\x00\x00\x91\x00"s, malformed },
    { "huge array", "\xdd\xff\xff\xff\xff"s, malformed },
    { "huge map", "\xdf\xff\xff\xff\xff"s, malformed },
    { "huge binary", "\xc6\xff\xff\xff\xff"s, malformed },
    { "deep nesting", std::string(100000, '\x91'), malformed },
    { "reserved byte", "\xc1"s, malformed },
  };
  StateMachine machine;
  LogIndex index;
  for (const BytesCase& testCase : cases) {
    SCOPED_TRACE(testCase.m_name);
    index = index.Next();
    const Result result = machine.Apply(index, Term(1), testCase.m_bytes);
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().m_kind, testCase.m_kind);
    EXPECT_FALSE(StateMachine::Restore(testCase.m_bytes));
  }
}

// Guards against a crash on almost valid bytes. Seed 11.
TEST(Codec, SurvivesRandomChanges)
{
  LedgerFixture ledger;
  ASSERT_TRUE(ledger.Apply(
    OpenStep{ TrainerId("t"), StepNumber(1), Digest("d"), { 2 }, "prompts" }));
  ASSERT_TRUE(ledger.Apply(
    FixBatch{ TrainerId("t"), Cursor(1), { Sample(1, 0, 1) }, "p", Term(1) }));
  const std::string snapshot = ledger.m_machine.Snapshot();
  RandomSource random(11);
  int refused = 0;
  for (int i = 0; i < 20000; ++i) {
    std::string bytes = i % 2 == 0 ? ValidBytes() : snapshot;
    for (std::uint64_t change = random.Below(3) + 1; change > 0; --change) {
      bytes[random.Below(bytes.size())] = static_cast<char>(random.Below(256));
    }
    if (i % 2 == 0) {
      refused += Decode(bytes) ? 0 : 1;
    } else if (auto machine = StateMachine::Restore(bytes)) {
      // A state that was accepted must be usable.
      const Command discard = DiscardBatch{ TrainerId("t"), Cursor(1) };
      static_cast<void>(
        machine->Apply(machine->LastApplied().Next(),
                       Term(1),
                       Encode(Proposal{ LedgerTime(), discard })));
      static_cast<void>(machine->Trainer(TrainerId("t")));
    } else {
      ++refused;
    }
  }
  EXPECT_GT(refused, 1000);
}

} // namespace
} // namespace auburntrestle::ledger
