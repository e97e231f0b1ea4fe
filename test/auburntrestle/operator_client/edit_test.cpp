#include "auburntrestle/operator_client/edit.hpp"
#include "support/running_daemon.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <fstream>

namespace auburntrestle::operator_client {
namespace {

using settings::ErrorKind;
using settings::SiteName;

constexpr const char* kBase = "number = 3\n[retry]\nmax_attempts = 2\n";
constexpr const char* kOverlay = "site = \"north\"\nnumber = 5\n";

using Files = std::vector<std::pair<std::string, std::string>>;

void Write(const std::filesystem::path& aFolder, const Files& aFiles)
{
  for (const auto& [name, text] : aFiles) {
    std::filesystem::create_directories((aFolder / name).parent_path());
    std::ofstream(aFolder / name) << text;
  }
}

std::vector<ErrorKind> KindsOf(const settings::ValidationErrors& aErrors)
{
  std::vector<ErrorKind> kinds;
  for (const auto& error : aErrors) {
    kinds.push_back(error.m_kind);
  }
  return kinds;
}

struct ValidationRow
{
  const char* m_name;
  Files m_files;
  std::vector<std::string> m_paths;
  std::vector<SiteName> m_sites;
  std::vector<ErrorKind> m_kinds;
};

void PrintTo(const ValidationRow& aRow, std::ostream* aStream)
{
  *aStream << aRow.m_name;
}

class Validation : public testing::TestWithParam<ValidationRow>
{};

// Guards against an error that only the daemon detects.
TEST_P(Validation, ReportsEveryError)
{
  const auto& row = GetParam();
  const test::TemporaryFolder folder;
  Write(folder.Path(), row.m_files);
  std::vector<std::filesystem::path> paths;
  for (const auto& path : row.m_paths) {
    paths.push_back(folder.Path() / path);
  }
  EXPECT_EQ(KindsOf(ValidatePaths(paths, row.m_sites)), row.m_kinds);
}

INSTANTIATE_TEST_SUITE_P(
  Rows,
  Validation,
  testing::Values(
    ValidationRow{ "valid folder",
                   { { "base.toml", kBase }, { "north.toml", kOverlay } },
                   { "" },
                   { SiteName("north") },
                   {} },
    ValidationRow{ "folder without base",
                   { { "north.toml", kOverlay } },
                   { "" },
                   {},
                   { ErrorKind::FileUnreadable } },
    ValidationRow{ "missing overlay in folder",
                   { { "base.toml", kBase } },
                   { "" },
                   { SiteName("north") },
                   { ErrorKind::MissingOverlay } },
    ValidationRow{ "missing overlay among files",
                   { { "north.toml", kOverlay } },
                   { "north.toml" },
                   { SiteName("south") },
                   { ErrorKind::MissingOverlay } },
    ValidationRow{
      "faults in two files",
      { { "base.toml", "number = 3\nnone = 1\n" },
        { "north.toml",
          "site = \"north\"\nnumber = 5\n[retry]\nbudget = 7\n" } },
      { "base.toml", "north.toml" },
      {},
      { ErrorKind::UnknownKey, ErrorKind::OutOfRange } },
    ValidationRow{ "overlay under another name",
                   { { "south.toml", kOverlay } },
                   { "south.toml" },
                   {},
                   { ErrorKind::WrongSite } },
    ValidationRow{ "overlay without site",
                   { { "north.toml", kBase } },
                   { "north.toml" },
                   {},
                   { ErrorKind::MissingKey } },
    ValidationRow{ "one name twice",
                   { { "a/base.toml", kBase }, { "b/base.toml", kBase } },
                   { "a/base.toml", "b/base.toml" },
                   {},
                   { ErrorKind::DuplicateId } },
    ValidationRow{ "missing file",
                   {},
                   { "base.toml" },
                   {},
                   { ErrorKind::FileUnreadable } }));

// Guards against an edit that the ledger does not recognise as the same when it
// is resent from a file with other comments or spacing.
TEST(Edit, EqualContentGivesEqualEdits)
{
  const test::TemporaryFolder folder;
  Write(folder.Path(),
        { { "a/north.toml", kOverlay },
          { "b/north.toml", "# note\nnumber=5\nsite='north'\n" } });
  const auto first = ReadEdit(folder.Path() / "a/north.toml");
  const auto second = ReadEdit(folder.Path() / "b/north.toml");
  ASSERT_TRUE(first && second);
  EXPECT_EQ(first->ToJson(), second->ToJson());
  EXPECT_EQ(first->m_site, SiteName("north"));
  EXPECT_EQ(first->m_number, 5U);
}

// The daemon compares the digest with the text that it received.
TEST(Edit, DigestMatchesTheSentText)
{
  const test::TemporaryFolder folder;
  Write(folder.Path(), { { "base.toml", kBase } });
  const auto edit = ReadEdit(folder.Path() / "base.toml");
  ASSERT_TRUE(edit);
  const auto body = nlohmann::json::parse(edit->ToJson());
  EXPECT_EQ(body["site"], "");
  EXPECT_EQ(body["digest"],
            settings::DigestOf(body["text"].get<std::string>()).Get());
}

// Guards against different edits with the same id, which the ledger would treat
// as one edit.
TEST(Edit, IdDependsOnSiteNumberAndDigest)
{
  const auto one = settings::DigestOf("1");
  const auto two = settings::DigestOf("2");
  const auto id = MakeEditId(SiteName("a"), 1, one);
  EXPECT_NE(id, MakeEditId(SiteName("b"), 1, one));
  EXPECT_NE(id, MakeEditId(SiteName("a"), 2, one));
  EXPECT_NE(id, MakeEditId(SiteName("a"), 1, two));
  EXPECT_NE(MakeEditId(SiteName("a1"), 2, one),
            MakeEditId(SiteName("a"), 12, one));
}

// Guards against a base that is inconsistent with the overlay of a site.
TEST(Edit, BaseIsValidatedWithOverlaysInItsFolder)
{
  const test::TemporaryFolder folder;
  Write(folder.Path(),
        { { "base.toml",
            "number = 3\n[admission]\nmax_limit = 2\n"
            "initial_limit = 1\n" },
          { "north.toml",
            "site = \"north\"\nnumber = 5\n[admission]\n"
            "initial_limit = 9\n" } });
  const auto edit = ReadEdit(folder.Path() / "base.toml");
  ASSERT_FALSE(edit);
  EXPECT_EQ(KindsOf(edit.error()),
            std::vector<ErrorKind>{ ErrorKind::Inconsistent });
}

} // namespace
} // namespace auburntrestle::operator_client
