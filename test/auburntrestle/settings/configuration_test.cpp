#include "auburntrestle/settings/configuration.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

namespace auburntrestle::settings {
namespace {

const std::string kBase = R"(number = 3
[admission]
max_waiting = 500
training_floor = 0.25
[callers.web]
weight = 2
[trainers.t1]
model = "m"
)";

const std::string kOverlay = R"(number = 7
site = "north"
[admission]
max_waiting = 50
[callers.web]
deadline_ms = 250
)";

tl::expected<Configuration, ValidationErrors> Load(
  const std::string& aBase,
  const std::optional<std::string>& aOverlay)
{
  ConfigurationTexts texts{ { "base.toml", aBase }, std::nullopt };
  if (aOverlay) {
    texts.m_overlay = ConfigurationFile{ "north.toml", *aOverlay };
  }
  return Configuration::FromTexts(texts, SiteName("north"));
}

// Guards against an overlay that replaces entire tables of the base.
TEST(Configuration, OverlayOverridesKeyByKey)
{
  const auto loaded = Load(kBase, kOverlay);
  ASSERT_TRUE(loaded) << FormatErrors(loaded.error());
  EXPECT_EQ(loaded->Admission().m_maxWaiting, 50U);
  EXPECT_EQ(loaded->Admission().m_trainingFloor, 0.25);
  EXPECT_EQ(loaded->Admission().m_maxLimit, AdmissionSection().m_maxLimit);
  const CallerSection web = loaded->Caller(CallerId("web"));
  EXPECT_EQ(web.m_weight, 2.0);
  EXPECT_EQ(web.m_deadline, std::chrono::milliseconds(250));
  EXPECT_EQ(loaded->BaseNumber(), 3U);
  EXPECT_EQ(loaded->OverlayNumber(), 7U);
  EXPECT_EQ(loaded->Caller(CallerId("t1")).m_class, CallerClass::Training);
  EXPECT_EQ(loaded->Trainer(TrainerId("t2")), nullptr);
}

// Guards against an effective configuration that does not show the origin of a
// value or cannot be parsed again.
TEST(Configuration, RenderedConfigurationShowsOriginsAndCanBeParsed)
{
  const auto loaded = Load(kBase, kOverlay);
  ASSERT_TRUE(loaded);
  const std::string text = RenderEffective(*loaded);
  for (const char* line : { "max_waiting = 50  # overlay\n",
                            "training_floor = 0.25  # base\n",
                            "max_limit = 64  # default\n",
                            "[trainers.t1]\nmodel = \"m\"  # base\n" }) {
    EXPECT_NE(text.find(line), std::string::npos) << line << text;
  }
  const auto again =
    Configuration::FromBase(ConfigurationFile{ "x", "number = 1\n" + text });
  ASSERT_TRUE(again) << FormatErrors(again.error());
  EXPECT_EQ(again->Admission().m_maxWaiting, 50U);
}

// Guards against a digest that depends on the layout or ignores a value.
TEST(ParsedConfigurationFile, DigestDependsOnContentOnly)
{
  const auto digest = [](const std::string& aText) {
    const auto file = ParsedConfigurationFile::Parse(
      ConfigurationFile{ "b", aText }, FileRole::Base);
    EXPECT_TRUE(file);
    return file->ContentDigest();
  };
  const Digest first =
    digest("number = 1\n[hedging]\nbudget = 0.1\nenabled=true\n");
  EXPECT_EQ(first.Get().size(), 64U);
  EXPECT_EQ(first,
            digest("# note\nnumber=1\nhedging.enabled = true\n"
                   "hedging.budget = 1e-1\n"));
  EXPECT_NE(first, digest("number=1\n[hedging]\nbudget=0.2\nenabled=true\n"));
  EXPECT_NE(first, digest("number=2\n[hedging]\nbudget=0.1\nenabled=true\n"));
}

// Guards against a canonical text that changes when it is parsed and rendered
// again.
TEST(ParsedConfigurationFile, CanonicalTextIsIdempotent)
{
  const auto file = ParsedConfigurationFile::Parse(
    ConfigurationFile{ "b", kBase }, FileRole::Base);
  ASSERT_TRUE(file);
  const auto again = ParsedConfigurationFile::Parse(
    ConfigurationFile{ "b", file->CanonicalText() }, FileRole::Base);
  ASSERT_TRUE(again);
  EXPECT_EQ(again->CanonicalText(), file->CanonicalText());
}

struct ErrorCase
{
  const char* m_name;
  std::string m_base;
  std::optional<std::string> m_overlay;
  ErrorKind m_kind;
  const char* m_file;
  std::uint32_t m_line;
  const char* m_key;
  /** Expected part of ValidationError::m_allowed. */
  const char* m_allowed;
};

const std::string kPlainOverlay = "number = 1\nsite = \"north\"\n";

// Guards against an error that is accepted or reported at the wrong location.
TEST(Configuration, ReportsEachKindOfError)
{
  const std::vector<ErrorCase> cases{
    { "syntax",
      "number = \n",
      kPlainOverlay,
      ErrorKind::SyntaxError,
      "base.toml",
      1,
      "",
      "TOML" },
    { "duplicate key",
      "number = 1\nnumber = 2\n",
      kPlainOverlay,
      ErrorKind::SyntaxError,
      "base.toml",
      2,
      "",
      "TOML" },
    { "unknown key",
      "number = 1\n[admission]\nmax_waitng = 5\n",
      kPlainOverlay,
      ErrorKind::UnknownKey,
      "base.toml",
      3,
      "admission.max_waitng",
      "max_waiting (nearest)" },
    { "unknown table",
      "number = 1\n[hedgin]\n",
      kPlainOverlay,
      ErrorKind::UnknownKey,
      "base.toml",
      2,
      "hedgin",
      "hedging (nearest)" },
    { "unknown key without a near one",
      "number = 1\nqqqqqqqqqq = 1\n",
      kPlainOverlay,
      ErrorKind::UnknownKey,
      "base.toml",
      2,
      "qqqqqqqqqq",
      "one of " },
    { "site in the base",
      "number = 1\nsite = \"north\"\n",
      kPlainOverlay,
      ErrorKind::UnknownKey,
      "base.toml",
      2,
      "site",
      "" },
    { "wrong type",
      "number = 1\n[retry]\nmax_attempts = \"3\"\n",
      kPlainOverlay,
      ErrorKind::WrongType,
      "base.toml",
      3,
      "retry.max_attempts",
      "integer from 1 to 10" },
    { "float for an integer",
      "number = 1\n[retry]\nmax_attempts = 3.0\n",
      kPlainOverlay,
      ErrorKind::WrongType,
      "base.toml",
      3,
      "retry.max_attempts",
      "integer" },
    { "scalar for a table",
      "number = 1\nretry = 3\n",
      kPlainOverlay,
      ErrorKind::WrongType,
      "base.toml",
      2,
      "retry",
      "table" },
    { "out of range",
      "number = 1\n[retry]\nmax_attempts = 11\n",
      kPlainOverlay,
      ErrorKind::OutOfRange,
      "base.toml",
      3,
      "retry.max_attempts",
      "from 1 to 10" },
    { "not a number",
      "number = 1\n[hedging]\nbudget = nan\n",
      kPlainOverlay,
      ErrorKind::OutOfRange,
      "base.toml",
      3,
      "hedging.budget",
      "0.0 to 1.0" },
    { "unknown word",
      "number = 1\n[policy]\nname = \"fare\"\n",
      kPlainOverlay,
      ErrorKind::UnknownWord,
      "base.toml",
      3,
      "policy.name",
      "nearest: fair" },
    { "number missing in base",
      "[retry]\n",
      kPlainOverlay,
      ErrorKind::MissingKey,
      "base.toml",
      0,
      "number",
      "number" },
    { "number missing in overlay",
      "number = 1\n",
      "site = \"north\"\n",
      ErrorKind::MissingKey,
      "north.toml",
      0,
      "number",
      "number" },
    { "number zero",
      "number = 0\n",
      kPlainOverlay,
      ErrorKind::OutOfRange,
      "base.toml",
      1,
      "number",
      "from 1" },
    { "overlay missing",
      "number = 1\n",
      std::nullopt,
      ErrorKind::MissingOverlay,
      "base.toml",
      0,
      "site",
      "one overlay" },
    { "overlay without site",
      "number = 1\n",
      "number = 1\n",
      ErrorKind::MissingKey,
      "north.toml",
      0,
      "site",
      "name" },
    { "overlay of another site",
      "number = 1\n",
      "number = 1\nsite = \"south\"\n",
      ErrorKind::WrongSite,
      "north.toml",
      2,
      "site",
      "\"north\"" },
    { "invalid caller name",
      "number = 1\n[callers.\"a b\"]\n",
      kPlainOverlay,
      ErrorKind::InvalidName,
      "base.toml",
      2,
      "callers.\"a b\"",
      "letters" },
    { "invalid store",
      "number = 1\n[weights]\nstore = \"here\"\n",
      kPlainOverlay,
      ErrorKind::InvalidAddress,
      "base.toml",
      3,
      "weights.store",
      "host:port" },
    { "trainer without model",
      "number = 1\n[trainers.t]\n",
      kPlainOverlay,
      ErrorKind::MissingKey,
      "base.toml",
      2,
      "trainers.t.model",
      "model" },
    { "judge is the model",
      "number = 1\n[trainers.t]\nmodel = \"m\"\njudge = \"m\"\n",
      kPlainOverlay,
      ErrorKind::Inconsistent,
      "base.toml",
      4,
      "trainers.t.judge",
      "other than" },
    { "judge_repeatable without judge",
      "number = 1\n[trainers.t]\nmodel = \"m\"\njudge_repeatable = false\n",
      kPlainOverlay,
      ErrorKind::Inconsistent,
      "base.toml",
      4,
      "trainers.t.judge_repeatable",
      "judge" },
    { "judge repeatable for one trainer only",
      "number = 1\n[trainers.t]\nmodel = \"m\"\njudge = \"j\"\n",
      "number = 1\nsite = \"north\"\n[trainers.u]\nmodel = \"m\"\n"
      "judge = \"j\"\njudge_repeatable = false\n",
      ErrorKind::Inconsistent,
      "north.toml",
      6,
      "trainers.u.judge_repeatable",
      "trainers.t" },
    { "trainer as application caller",
      "number = 1\n[trainers.t]\nmodel = \"m\"\n[callers.t]\n",
      kPlainOverlay,
      ErrorKind::Inconsistent,
      "base.toml",
      4,
      "callers.t.class",
      "training" },
    { "limits contradict after the merge",
      "number = 1\n[admission]\ninitial_limit = 10\n",
      "number = 1\nsite = \"north\"\n[admission]\nmax_limit = 5\n",
      ErrorKind::Inconsistent,
      "base.toml",
      3,
      "admission.initial_limit",
      "max_limit 5" },
  };
  for (const ErrorCase& testCase : cases) {
    SCOPED_TRACE(testCase.m_name);
    const auto loaded = Load(testCase.m_base, testCase.m_overlay);
    ASSERT_FALSE(loaded);
    ASSERT_EQ(loaded.error().size(), 1U) << FormatErrors(loaded.error());
    const ValidationError& error = loaded.error().front();
    EXPECT_EQ(error.m_kind, testCase.m_kind) << FormatError(error);
    EXPECT_EQ(error.m_file, testCase.m_file);
    EXPECT_EQ(error.m_line, testCase.m_line);
    EXPECT_EQ(error.m_key, testCase.m_key);
    EXPECT_NE(error.m_allowed.find(testCase.m_allowed), std::string::npos)
      << error.m_allowed;
  }
}

// Guards against validation that stops at the first error or the first file.
TEST(ValidateSet, ReportsAllErrorsOfAllFilesOnce)
{
  ConfigurationSet set;
  set.m_base = { "base.toml", "[retry]\nbudget = 2\nbudgets = 1\n" };
  set.m_overlays[SiteName("east")] =
    ConfigurationFile{ "east.toml", "number = 1\nsite = \"west\"\n" };
  set.m_overlays[SiteName("north")] =
    ConfigurationFile{ "north.toml", "number =" };
  set.m_overlays[SiteName("south")] = std::nullopt;
  const ValidationErrors errors = ValidateSet(set);
  EXPECT_EQ(errors.size(), 6U) << FormatErrors(errors);
  EXPECT_NE(FormatErrors(errors).find(
              "base.toml:2: retry.budget: out_of_range: given 2, allowed "
              "number from 0.0 to 1.0\n"),
            std::string::npos)
    << FormatErrors(errors);
}

// Guards against missing files that are not reported.
TEST(ReadConfigurationFolder, ReportsMissingFiles)
{
  const std::filesystem::path folder =
    std::filesystem::path(testing::TempDir()) / "settings_folder_test";
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  const auto absent = ReadConfigurationFolder(folder, {});
  ASSERT_FALSE(absent);
  EXPECT_EQ(absent.error().front().m_kind, ErrorKind::FileUnreadable);
  std::ofstream(folder / "base.toml") << "number = 1\n";
  std::ofstream(folder / "north.toml") << kPlainOverlay;
  const auto found = ReadConfigurationFolder(folder, {});
  ASSERT_TRUE(found);
  EXPECT_TRUE(ValidateSet(*found).empty());
  const auto required =
    ReadConfigurationFolder(folder, { SiteName("north"), SiteName("south") });
  ASSERT_TRUE(required);
  const ValidationErrors errors = ValidateSet(*required);
  ASSERT_EQ(errors.size(), 1U);
  EXPECT_EQ(errors.front().m_kind, ErrorKind::MissingOverlay);
  std::filesystem::remove_all(folder);
}

} // namespace
} // namespace auburntrestle::settings
