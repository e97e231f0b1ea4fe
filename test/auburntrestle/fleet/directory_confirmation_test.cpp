#include "auburntrestle/fleet/directory_confirmation.hpp"

#include <gtest/gtest.h>

namespace auburntrestle::fleet {
namespace {

DirectoryVersions Versions(std::uint64_t aConfiguration,
                           std::uint64_t aDirectory)
{
  return { ConfigurationVersion(aConfiguration),
           DirectoryRevision(aDirectory) };
}

TimePoint At(int aMilliseconds)
{
  return TimePoint(std::chrono::milliseconds(aMilliseconds));
}

TEST(DirectoryConfirmationTest, IsUnconfirmedBeforeTheFirstReply)
{
  DirectoryConfirmation confirmation;
  EXPECT_FALSE(confirmation.ConfirmedAt(Versions(9, 9)));
}

// Guards against a member that lacks the newest configuration and vouches for
// the one before, so that a new route is answered with 404.
TEST(DirectoryConfirmationTest, AStateThatIsBehindIsNotConfirmed)
{
  DirectoryConfirmation confirmation;
  confirmation.RecordReply(At(100), Term(1), Versions(4, 7));
  EXPECT_EQ(confirmation.ConfirmedAt(Versions(4, 7)), At(100));
  confirmation.RecordReply(At(400), Term(1), Versions(5, 7));
  EXPECT_EQ(confirmation.ConfirmedAt(Versions(4, 8)), At(100));
  EXPECT_EQ(confirmation.ConfirmedAt(Versions(5, 8)), At(400));
}

// Guards against a former leader that was frozen and vouches for its old state.
TEST(DirectoryConfirmationTest, AReplyOfAFormerLeaderIsIgnored)
{
  DirectoryConfirmation confirmation;
  confirmation.RecordReply(At(100), Term(3), Versions(4, 7));
  EXPECT_EQ(confirmation.ConfirmedAt(Versions(4, 7)), At(100));
  confirmation.RecordReply(At(900), Term(2), Versions(4, 7));
  EXPECT_EQ(confirmation.ConfirmedAt(Versions(4, 7)), At(100));
  EXPECT_EQ(confirmation.LeaderTerm(), Term(3));
}

} // namespace
} // namespace auburntrestle::fleet
