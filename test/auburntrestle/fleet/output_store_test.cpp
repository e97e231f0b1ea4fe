#include "auburntrestle/consensus/memory_files.hpp"
#include "auburntrestle/fleet/output_store.hpp"

#include <gtest/gtest.h>

#include <string>

namespace auburntrestle::fleet {
namespace {

using consensus::test::MemoryFiles;

class OutputStoreTest : public testing::Test
{
protected:
  [[nodiscard]] std::unique_ptr<OutputStore> Open(MemoryFiles& aFiles)
  {
    return std::move(*OutputStore::Open("/texts", aFiles, ++m_nonce));
  }

  MemoryFiles m_files;
  std::uint32_t m_nonce = 0;
};

TEST_F(OutputStoreTest, ReadsAppendedOutputsBeforeAndAfterTheyAreWritten)
{
  const auto store = Open(m_files);
  const auto first = *store->Append("first");
  const auto second = *store->Append(std::string(100'000, 'x'));
  const auto third = *store->Append("third");
  EXPECT_EQ(store->Read(first), "first");
  EXPECT_EQ(store->Read(second)->size(), 100'000U);
  EXPECT_EQ(store->Read(third), "third");
  ASSERT_TRUE(store->Sync());
  EXPECT_EQ(store->Read(third), "third");
}

// Guards against a copy whose second chunk truncates the file.
TEST_F(OutputStoreTest, ChunksOfASegmentAreAppended)
{
  const auto store = Open(m_files);
  const OutputSegment segment(77);
  EXPECT_EQ(store->AppendChunk(segment, 0, "", false), 0U);
  EXPECT_EQ(store->AppendChunk(segment, 0, "abc", false), 3U);
  EXPECT_EQ(store->AppendChunk(segment, 3, "def", true), 6U);
  EXPECT_EQ(store->Read({ segment, 0, 6 }), "abcdef");
}

// Guards against chunks that arrive twice or out of order after a lost reply.
TEST_F(OutputStoreTest, AChunkThatDoesNotFollowIsIgnored)
{
  const auto store = Open(m_files);
  const OutputSegment segment(77);
  ASSERT_EQ(store->AppendChunk(segment, 0, "abc", false), 3U);
  EXPECT_EQ(store->AppendChunk(segment, 0, "abc", false), 3U);
  EXPECT_EQ(store->AppendChunk(segment, 5, "f", true), 3U);
  EXPECT_EQ(store->Read({ segment, 0, 3 }), "abc");
}

// Guards against a copy to the member that wrote the segment, from a member
// that has less of it: the file of the writer must not be truncated.
TEST_F(OutputStoreTest, ACopyDoesNotTruncateAnExistingSegment)
{
  OutputReference reference;
  {
    const auto store = Open(m_files);
    reference = *store->Append("a text that is in use");
    ASSERT_TRUE(store->Sync());
  }
  const auto restarted = Open(m_files);
  EXPECT_EQ(restarted->AppendChunk(reference.m_segment, 0, "", false),
            reference.m_bytes);
  EXPECT_EQ(restarted->Read(reference), "a text that is in use");
}

// Guards against bytes of a torn write that a copy would treat as valid.
TEST_F(OutputStoreTest, TrimTruncatesToTheDurablePart)
{
  const auto store = Open(m_files);
  const OutputSegment segment(77);
  ASSERT_EQ(store->AppendChunk(segment, 0, "goodtorn", true), 8U);
  const auto restarted = Open(m_files);
  ASSERT_TRUE(restarted->Trim({ { segment, 4 } }));
  EXPECT_EQ(restarted->AppendChunk(segment, 4, "more", true), 8U);
  EXPECT_EQ(restarted->Read({ segment, 0, 8 }), "goodmore");
}

TEST_F(OutputStoreTest, KeepOnlyRemovesOtherSegmentsUnlessTheyAreBeingCopied)
{
  const auto store = Open(m_files);
  ASSERT_TRUE(store->AppendChunk(OutputSegment(1), 0, "one", true));
  ASSERT_TRUE(store->AppendChunk(OutputSegment(2), 0, "two", true));
  store->KeepOnly({ OutputSegment(1), OutputSegment(2) });
  store->KeepOnly({ OutputSegment(1) });
  EXPECT_EQ(store->Read({ OutputSegment(1), 0, 3 }), "one");
  EXPECT_FALSE(store->Read({ OutputSegment(2), 0, 3 }));
}

TEST_F(OutputStoreTest, AMissingOutputIsAnError)
{
  const auto store = Open(m_files);
  EXPECT_FALSE(store->Read({ OutputSegment(5), 0, 1 }));
}

} // namespace
} // namespace auburntrestle::fleet
