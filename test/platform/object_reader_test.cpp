#include "platform/object_reader.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace auburntrestle::platform {
namespace {

/** A document, and what is read of it. */
struct ReadCase
{
  std::string m_name;
  std::string m_text;
  /** The kept fields; empty if the document is refused. */
  std::string m_kept;
  /** The entries of the array that are handed over. */
  std::vector<std::string> m_entries = {};
};

class ObjectReaderTest : public testing::TestWithParam<ReadCase>
{};

TEST_P(ObjectReaderTest, HandsOverWhatIsAskedFor)
{
  std::vector<std::string> entries;
  const auto addEntry = [&](const Json& aEntry) {
    entries.push_back(aEntry.dump());
    return aEntry != "end";
  };
  const auto kept =
    ReadObject(GetParam().m_text, { { "a", "b" }, { { "list", addEntry } } });
  EXPECT_EQ(kept ? kept->dump() : "", GetParam().m_kept);
  EXPECT_EQ(entries, GetParam().m_entries);
}

INSTANTIATE_TEST_SUITE_P(
  Documents,
  ObjectReaderTest,
  testing::Values(
    ReadCase{ "fields",
              R"({"a":1,"x":2,"b":{"c":[3,null]}})",
              R"({"a":1,"b":{"c":[3,null]}})" },
    ReadCase{ "last_of_a_repeated_field",
              R"({"a":1,"a":"2"})",
              R"({"a":"2"})" },
    ReadCase{ "entries",
              R"({"list":[{"a":1},2,[3,[4]],null,true,-1.5],"a":7})",
              R"({"a":7,"list":[]})",
              { R"({"a":1})", "2", "[3,[4]]", "null", "true", "-1.5" } },
    ReadCase{ "empty_array", R"({"list":[]})", R"({"list":[]})" },
    ReadCase{ "null_array", R"({"list":null})", "{}" },
    ReadCase{ "names_at_other_depths",
              R"({"x":{"list":[1],"a":2},"b":3})",
              R"({"b":3})" },
    ReadCase{ "skipped_field_with_content",
              R"({"x":[[{"list":[1]}],"a"],"list":["e"]})",
              R"({"list":[]})",
              { R"("e")" } },
    ReadCase{ "object_as_array", R"({"list":{}})", "" },
    ReadCase{ "number_as_array", R"({"list":1})", "" },
    ReadCase{ "second_array", R"({"list":[1],"list":[2]})", "", { "1" } },
    ReadCase{ "ended_by_the_callback",
              R"({"list":["end",1]})",
              "",
              { R"("end")" } },
    ReadCase{ "array_document", "[1]", "" },
    ReadCase{ "number_document", "1", "" },
    ReadCase{ "cut_short", R"({"a":1)", "" },
    ReadCase{ "bytes_after_the_end", R"({"a":1}})", "" },
    ReadCase{ "number_out_of_range", R"({"a":1e999})", "" }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

std::string Repeated(const std::string& aText, std::size_t aTimes)
{
  std::string repeated;
  for (std::size_t time = 0; time < aTimes; ++time) {
    repeated += aText;
  }
  return repeated;
}

/** A document that takes many times its size when it is kept whole. */
struct ExpansionCase
{
  std::string m_name;
  std::string m_text;
  bool m_isRead = false;
};

class ExpansionTest : public testing::TestWithParam<ExpansionCase>
{};

// Guards against a document of legal size that takes a hundred times its bytes
// in memory: deep, with very many values, or both.
TEST_P(ExpansionTest, KeptPartsAreLimited)
{
  const auto kept =
    ReadObject(GetParam().m_text,
               { { "a" }, { { "list", [](const Json&) { return true; } } } });
  EXPECT_EQ(kept.has_value(), GetParam().m_isRead);
}

INSTANTIATE_TEST_SUITE_P(
  Documents,
  ExpansionTest,
  testing::Values(
    ExpansionCase{ "values_of_a_field",
                   "{\"a\":[0" + Repeated(",0", kMaxValues) + "]}" },
    ExpansionCase{ "values_of_an_entry",
                   "{\"list\":[[0" + Repeated(",0", kMaxValues) + "]]}" },
    ExpansionCase{ "fields_of_an_entry",
                   "{\"list\":[{\"x\":0" + Repeated(",\"x\":0", kMaxValues) +
                     "}]}" },
    ExpansionCase{ "depth_of_a_field",
                   "{\"a\":" + Repeated("[", kMaxDepth + 1) +
                     Repeated("]", kMaxDepth + 1) + "}" },
    ExpansionCase{ "depth_of_an_entry",
                   "{\"list\":[" + Repeated("[", kMaxDepth + 1) +
                     Repeated("]", kMaxDepth + 1) + "]}" },
    ExpansionCase{ "depth_within_the_limit",
                   "{\"a\":" + Repeated("[", kMaxDepth) +
                     Repeated("]", kMaxDepth) + "}",
                   true },
    ExpansionCase{ "many_entries",
                   "{\"list\":[0" + Repeated(",0", 2 * kMaxValues) + "]}",
                   true },
    ExpansionCase{ "values_that_are_skipped",
                   "{\"x\":[0" + Repeated(",0", 2 * kMaxValues) + "]}",
                   true },
    ExpansionCase{ "depth_that_is_skipped",
                   "{\"x\":" + Repeated("[", 2 * kMaxDepth) +
                     Repeated("]", 2 * kMaxDepth) + "}",
                   true }),
  [](const auto& aInfo) { return aInfo.param.m_name; });

} // namespace
} // namespace auburntrestle::platform
