#include "auburntrestle/settings/instance_settings.hpp"

#include <gtest/gtest.h>

namespace auburntrestle::settings {
namespace {

const std::string kMembers = R"(
members = [
  { id = "a", address = "10.0.0.1:81", data_centre = "d1" },
  { id = "b", address = "10.0.0.2:81", data_centre = "d2" },
]
)";
const std::string kPeers = "[peers]\nshared_key_file = \"key\"\n";

struct MembershipCase
{
  const char* m_name;
  std::string m_text;
  std::size_t m_members;
  bool m_isMember;
};

// Guards against an instance of the entry role that creates its own ledger.
TEST(InstanceSettings, LedgerMembershipFollowsMembersAndDataFolder)
{
  const std::vector<MembershipCase> cases{
    { "empty file", "", 1, true },
    { "listed",
      "[instance]\nid = \"a\"\ndata_centre = \"d1\"\n[ledger]" + kMembers +
        kPeers,
      2,
      true },
    { "not listed", "[ledger]" + kMembers + kPeers, 2, false },
    { "seeds and no members",
      kPeers + "seeds = [\"10.0.0.1:81\"]\n",
      0,
      false },
    { "no disk", "[ledger]\ndata_folder = \"\"\n", 0, false },
  };
  for (const MembershipCase& testCase : cases) {
    SCOPED_TRACE(testCase.m_name);
    const auto settings = InstanceSettings::FromText(testCase.m_text, "i.toml");
    ASSERT_TRUE(settings) << FormatErrors(settings.error());
    EXPECT_EQ(settings->m_ledger.m_members.size(), testCase.m_members);
    EXPECT_EQ(settings->IsLedgerMember(), testCase.m_isMember);
  }
  EXPECT_TRUE(InstanceSettings::Standalone().IsLedgerMember());
}

struct ErrorCase
{
  const char* m_name;
  std::string m_text;
  ErrorKind m_kind;
  std::uint32_t m_line;
  const char* m_key;
};

// Guards against an error that is accepted or reported at the wrong location.
TEST(InstanceSettings, ReportsEachKindOfError)
{
  const std::string members =
    "[peers]\nshared_key_file = \"k\"\n[ledger]\nmembers = [\n";
  const std::vector<ErrorCase> cases{
    { "unknown key",
      "[log]\nlevle = \"info\"\n",
      ErrorKind::UnknownKey,
      2,
      "log.levle" },
    { "unknown word",
      "[log]\nlevel = \"warn\"\n",
      ErrorKind::UnknownWord,
      2,
      "log.level" },
    { "host name to listen on",
      "[listen]\nhttp = \"localhost:80\"\n",
      ErrorKind::InvalidAddress,
      2,
      "listen.http" },
    { "port too large",
      "[listen]\nhttp = \"127.0.0.1:65536\"\n",
      ErrorKind::InvalidAddress,
      2,
      "listen.http" },
    { "same listen address",
      "[listen]\nhttp = \"0.0.0.0:80\"\npeer = \"127.0.0.1:80\"\n",
      ErrorKind::DuplicateAddress,
      3,
      "listen.peer" },
    { "duplicate seed",
      "[peers]\nshared_key_file = \"k\"\nseeds = [\"10.0.0.1:1\",\n"
      "\"10.0.0.1:1\"]\n",
      ErrorKind::DuplicateAddress,
      4,
      "peers.seeds" },
    { "duplicate member address",
      members + "{id=\"a\",address=\"10.0.0.1:1\",data_centre=\"d\"},\n"
                "{id=\"b\",address=\"10.0.0.1:1\",data_centre=\"d\"}]\n",
      ErrorKind::DuplicateAddress,
      6,
      "ledger.members.address" },
    { "duplicate member id",
      members + "{id=\"a\",address=\"10.0.0.1:1\",data_centre=\"d\"},\n"
                "{id=\"a\",address=\"10.0.0.2:1\",data_centre=\"d\"}]\n",
      ErrorKind::DuplicateId,
      6,
      "ledger.members.id" },
    { "member without data centre",
      members + "{id=\"a\",address=\"10.0.0.1:1\"}]\n",
      ErrorKind::MissingKey,
      5,
      "ledger.members.data_centre" },
    { "own data centre contradicts",
      members + "{id=\"local\",address=\"10.0.0.1:1\",data_centre=\"d\"}]\n",
      ErrorKind::Inconsistent,
      4,
      "ledger.members.data_centre" },
    { "peers without a key",
      "[peers]\nseeds = [\"10.0.0.1:1\"]\n",
      ErrorKind::MissingKey,
      1,
      "peers.shared_key_file" },
    { "body limit out of range",
      "[http]\nmax_body_bytes = 1\n",
      ErrorKind::OutOfRange,
      2,
      "http.max_body_bytes" },
  };
  for (const ErrorCase& testCase : cases) {
    SCOPED_TRACE(testCase.m_name);
    const auto settings = InstanceSettings::FromText(testCase.m_text, "i.toml");
    ASSERT_FALSE(settings);
    ASSERT_EQ(settings.error().size(), 1U) << FormatErrors(settings.error());
    const ValidationError& error = settings.error().front();
    EXPECT_EQ(error.m_kind, testCase.m_kind) << FormatError(error);
    EXPECT_EQ(error.m_line, testCase.m_line);
    EXPECT_EQ(error.m_key, testCase.m_key);
  }
}

// Guards against addresses that change when rendered and parsed again.
TEST(SocketAddress, TextFormCanBeParsed)
{
  for (const char* text : { "127.0.0.1:0", "[::1]:65535", "0.0.0.0:80" }) {
    const auto address = SocketAddress::Parse(text);
    ASSERT_TRUE(address) << text;
    EXPECT_EQ(address->ToString(), text);
  }
  for (const char* text : { "",
                            ":80",
                            "127.0.0.1",
                            "127.0.0.1:",
                            "::1:80",
                            "1.2.3:4",
                            "1.2.3.4:+5",
                            "a_b:1" }) {
    EXPECT_FALSE(SocketAddress::ParseWithHostName(text)) << text;
  }
}

} // namespace
} // namespace auburntrestle::settings
