#include "platform/documents.hpp"
#include "platform/json_fields.hpp"

#include <gtest/gtest.h>

#include <string>

namespace auburntrestle::platform {
namespace {

/** A change to a valid document, and the expected fault. */
struct ChangeCase
{
  std::string m_name;
  void (*m_change)(Json&);
  /** Empty when the document stays valid. */
  std::string m_problem;
};

std::string NameOf(const testing::TestParamInfo<ChangeCase>& aInfo)
{
  return aInfo.param.m_name;
}

constexpr std::size_t kMaxJobBytes = std::size_t{ 1024 } * 1024;

Decoded<fleet::JobSpec> ReadJob(std::string_view aText)
{
  return ReadJobSpec(aText, kMaxJobBytes);
}

Json ValidHeartbeat()
{
  return { { "service", "s" },    { "address", "10.0.0.1:80" },
           { "zone", "z" },       { "version", "v1" },
           { "slots", 4 },        { "state", "ready" },
           { "cold_left_ms", 0 }, { "sequence", 7 },
           { "born", 1234 } };
}

class HeartbeatTest : public testing::TestWithParam<ChangeCase>
{};

// Guards against registering a backend server from an incomplete or malformed
// heartbeat.
TEST_P(HeartbeatTest, AcceptsOnlyCompleteRecords)
{
  Json document = ValidHeartbeat();
  GetParam().m_change(document);
  const auto record = ReadHeartbeat("i-1", document.dump());
  EXPECT_EQ(record ? "" : record.error().m_field, GetParam().m_problem);
}

// Guards against ordering servers by wrong counts of a kind: only a true "spot"
// makes a server preemptible, also when the server states when it leaves.
TEST(HeartbeatFieldsTest, TellsPreemptibleServers)
{
  struct Case
  {
    Json m_spot;
    bool m_preemptible;
  };
  for (const Case& item : { Case{ true, true },
                            Case{ false, false },
                            Case{ nullptr, false },
                            Case{ "true", false },
                            Case{ 1, false } }) {
    Json document = ValidHeartbeat();
    document["spot"] = item.m_spot;
    document["state"] = "draining";
    document["leaves_ms"] = 2200;
    const auto record = ReadHeartbeat("i-1", document.dump());
    ASSERT_TRUE(record) << item.m_spot;
    EXPECT_EQ(record->m_preemptible, item.m_preemptible) << item.m_spot;
    EXPECT_EQ(record->m_state, fleet::BackendState::Leaving);
  }
  const auto record = ReadHeartbeat("i-1", ValidHeartbeat().dump());
  ASSERT_TRUE(record);
  EXPECT_FALSE(record->m_preemptible);
}

INSTANTIATE_TEST_SUITE_P(
  Heartbeats,
  HeartbeatTest,
  testing::Values(
    ChangeCase{ "valid", [](Json&) {}, "" },
    ChangeCase{ "draining",
                [](Json& aDocument) { aDocument["state"] = "draining"; },
                "" },
    ChangeCase{ "unknown_field",
                [](Json& aDocument) { aDocument["new"] = 1; },
                "" },
    ChangeCase{ "no_service",
                [](Json& aDocument) { aDocument.erase("service"); },
                "service" },
    ChangeCase{ "bad_address",
                [](Json& aDocument) { aDocument["address"] = "x"; },
                "address" },
    ChangeCase{ "no_zone",
                [](Json& aDocument) { aDocument["zone"] = 3; },
                "zone" },
    ChangeCase{ "text_slots",
                [](Json& aDocument) { aDocument["slots"] = "4"; },
                "slots" },
    ChangeCase{ "unknown_state",
                [](Json& aDocument) { aDocument["state"] = "idle"; },
                "state" },
    ChangeCase{ "no_sequence",
                [](Json& aDocument) { aDocument.erase("sequence"); },
                "sequence" },
    ChangeCase{ "fractional_born",
                [](Json& aDocument) { aDocument["born"] = 1.5; },
                "born" },
    ChangeCase{
      "port_out_of_range",
      [](Json& aDocument) { aDocument["address"] = "10.0.0.1:70000"; },
      "address" },
    ChangeCase{ "port_zero",
                [](Json& aDocument) { aDocument["address"] = "10.0.0.1:0"; },
                "address" },
    ChangeCase{ "host_name",
                [](Json& aDocument) { aDocument["address"] = "host:80"; },
                "address" },
    ChangeCase{ "too_many_slots",
                [](Json& aDocument) { aDocument["slots"] = 4294967297; },
                "slots" },
    ChangeCase{ "negative_slots",
                [](Json& aDocument) { aDocument["slots"] = -1; },
                "slots" },
    ChangeCase{ "sequence_too_large",
                [](Json& aDocument) { aDocument["sequence"] = UINT64_MAX; },
                "sequence" },
    ChangeCase{ "born_too_large",
                [](Json& aDocument) { aDocument["born"] = UINT64_MAX; },
                "born" },
    ChangeCase{ "born_far_in_the_future",
                [](Json& aDocument) { aDocument["born"] = 9'000'000'000'000; },
                "born" },
    ChangeCase{ "array",
                [](Json& aDocument) { aDocument = Json::array(); },
                "body" }),
  NameOf);

/** @return a document of a million arrays within each other. */
std::string DeepDocument(const std::string& aField)
{
  constexpr std::size_t kDepth = 1'000'000;
  return "{\"" + aField + "\":" + std::string(kDepth, '[') +
         std::string(kDepth, ']') + "}";
}

class OddDocumentTest : public testing::TestWithParam<std::string>
{};

// Guards against a document of another writer that ends the process which reads
// it: very deep, with a number of any size, or cut short.
TEST_P(OddDocumentTest, IsRefused)
{
  EXPECT_FALSE(ReadHeartbeat("i", GetParam()));
  EXPECT_FALSE(ReadManifest(GetParam()));
  EXPECT_FALSE(ReadJob(GetParam()));
  EXPECT_FALSE(ReadPublishedVersion(GetParam()));
}

INSTANTIATE_TEST_SUITE_P(
  Documents,
  OddDocumentTest,
  testing::Values(DeepDocument("service"),
                  DeepDocument("requests"),
                  DeepDocument("routes"),
                  std::string(1'000'000, '['),
                  std::string(1'000'000, '{'),
                  R"({"slots":1e999})",
                  R"({"slots":99999999999999999999999999999999999999})",
                  R"({"version":-99999999999999999999999999999999999999})",
                  R"({"service":"\ud800"})",
                  std::string("{\"service\":\"\0\"}", 15),
                  "null",
                  "1e999"));

Json ValidManifest()
{
  return Json::parse(R"({"version":7,
    "routes":[{"name":"r","host":"h","path_prefix":"/p/","route_type":"rollout",
      "timeout_ms":10000,"latency_target_ms":400,"priority":1,"service":"s",
      "max_attempts":3,"queue_ttl_s":40.0,"target_done_ms":7500,
      "single_version":true,"sticky":true,"resumable":true}],
    "services":[{"name":"s","health_path":"/h","max_conns":9,"protocol":"h1",
      "tls":false,"engine":{"slots":12,"kv_cache_tokens":80,
      "models":[{"name":"m"}]}}],
    "limits":{"header_bytes":100,"body_bytes":200,"header_ms":300,
      "idle_timeout_ms":400}})");
}

class ManifestTest : public testing::TestWithParam<ChangeCase>
{};

TEST_P(ManifestTest, ReportsTheFault)
{
  Json document = ValidManifest();
  GetParam().m_change(document);
  const auto table = ReadManifest(document.dump());
  EXPECT_EQ(table ? "" : ToString(table.error().m_fault), GetParam().m_problem);
}

INSTANTIATE_TEST_SUITE_P(
  Manifests,
  ManifestTest,
  testing::Values(
    ChangeCase{ "valid", [](Json&) {}, "" },
    ChangeCase{ "split",
                [](Json& aDocument) {
                  aDocument["routes"][0].erase("service");
                  aDocument["routes"][0]["traffic_split"] = {
                    { { "service", "s" }, { "weight", 3 } }
                  };
                },
                "" },
    ChangeCase{ "no_version",
                [](Json& aDocument) { aDocument.erase("version"); },
                "unreadable" },
    ChangeCase{ "text_version",
                [](Json& aDocument) { aDocument["version"] = "7"; },
                "unreadable" },
    ChangeCase{ "no_routes",
                [](Json& aDocument) { aDocument.erase("routes"); },
                "unreadable" },
    ChangeCase{ "route_without_host",
                [](Json& aDocument) { aDocument["routes"][0].erase("host"); },
                "unreadable" },
    ChangeCase{
      "unknown_service",
      [](Json& aDocument) { aDocument["routes"][0]["service"] = "x"; },
      "unknown_service" },
    ChangeCase{
      "no_timeout",
      [](Json& aDocument) { aDocument["routes"][0]["timeout_ms"] = 0; },
      "no_timeout" },
    ChangeCase{ "no_weight",
                [](Json& aDocument) {
                  aDocument["routes"][0]["traffic_split"] = {
                    { { "service", "s" }, { "weight", 0 } }
                  };
                },
                "no_weight" },
    ChangeCase{ "same_host_and_prefix",
                [](Json& aDocument) {
                  aDocument["routes"].push_back(aDocument["routes"][0]);
                },
                "duplicate_route" },
    ChangeCase{ "accounts",
                [](Json& aDocument) {
                  aDocument["tenants"] = { { { "name", "a" },
                                             { "api_keys", { "1", "2" } } },
                                           { { "name", "b" },
                                             { "api_keys", { "3" } },
                                             { "priority", 1 } } };
                },
                "" },
    ChangeCase{ "shared_key",
                [](Json& aDocument) {
                  aDocument["tenants"] = {
                    { { "name", "a" }, { "api_keys", { "1", "2" } } },
                    { { "name", "b" }, { "api_keys", { "2" } } }
                  };
                },
                "duplicate_key" },
    ChangeCase{ "accounts_of_another_type",
                [](Json& aDocument) { aDocument["tenants"] = "a"; },
                "unreadable" },
    ChangeCase{ "account_without_keys",
                [](Json& aDocument) {
                  aDocument["tenants"] = { { { "name", "a" } } };
                },
                "unreadable" },
    ChangeCase{
      "key_of_another_type",
      [](Json& aDocument) {
        aDocument["tenants"] = { { { "name", "a" }, { "api_keys", { 1 } } } };
      },
      "unreadable" }),
  NameOf);

// Guards against a key that shows in an error, which is logged.
TEST(ManifestTest, AnErrorNamesAccountsButNoKey)
{
  Json document = ValidManifest();
  document["tenants"] = { { { "name", "first" }, { "api_keys", { "secret" } } },
                          { { "name", "second" },
                            { "api_keys", { "secret" } } } };
  const auto table = ReadManifest(document.dump());
  ASSERT_FALSE(table);
  EXPECT_EQ(table.error().m_detail, "first, second");
}

// Guards against times beyond what the types hold, which would turn negative.
TEST(ManifestTest, LimitsTimes)
{
  Json document = ValidManifest();
  for (const char* field :
       { "timeout_ms", "latency_target_ms", "queue_ttl_s" }) {
    document["routes"][0][field] = 1e300;
  }
  const auto table = ReadManifest(document.dump());
  ASSERT_TRUE(table);
  const auto& route = table->Configuration().m_routes[0];
  constexpr auto kShortest = std::chrono::hours(1);
  EXPECT_GT(route.m_timeout, kShortest);
  EXPECT_GT(route.m_latencyObjective, kShortest);
  EXPECT_GT(route.m_itemLifetime, kShortest);
}

TEST(ManifestTest, TranslatesAllFields)
{
  const auto table = ReadManifest(ValidManifest().dump());
  ASSERT_TRUE(table);
  const auto& configuration = table->Configuration();
  EXPECT_EQ(configuration.m_version, fleet::ConfigurationVersion(7));
  const auto& route = configuration.m_routes[0];
  EXPECT_EQ(route.m_kind, fleet::RouteKind::BatchJob);
  EXPECT_EQ(route.m_itemLifetime, std::chrono::seconds(40));
  EXPECT_EQ(route.m_completionObjective, std::chrono::milliseconds(7500));
  EXPECT_TRUE(route.m_singleVersion);
  EXPECT_EQ(configuration.m_services[0].m_engine->m_slots, 12U);
  EXPECT_EQ(configuration.m_limits.m_idleTimeout,
            std::chrono::milliseconds(400));
  EXPECT_FALSE(ReadManifest("{\"version\":7"));
}

TEST(ManifestTest, TranslatesScalingAndPublicRoutes)
{
  Json document = ValidManifest();
  document["routes"][0]["public"] = true;
  document["services"][0]["scaling"] = {
    { "min", 1 },
    { "max", 30 },
    { "boot_timeout_s", 4.0 },
    { "spot_price", 0.22 },
    { "zone_prices", { { "zone-a", 1.0 }, { "zone-b", 0.8 } } }
  };
  const auto table = ReadManifest(document.dump());
  ASSERT_TRUE(table);
  EXPECT_TRUE(table->Configuration().m_routes[0].m_public);
  const auto& scaling = table->Configuration().m_services[0].m_scaling;
  ASSERT_TRUE(scaling);
  EXPECT_EQ(scaling->m_minServers, 1U);
  EXPECT_EQ(scaling->m_maxServers, 30U);
  EXPECT_EQ(scaling->m_bootTime, std::chrono::seconds(4));
  EXPECT_EQ(scaling->m_preemptiblePrice, 0.22);
  EXPECT_EQ(scaling->m_prices.at(DataCentreId("zone-b")), 0.8);
}

TEST(JobSpecTest, TranslatesAllFields)
{
  const auto spec = ReadJob(
    R"({"step":7,"model":"m","min_version":6,"target_groups":2,
        "requests":[{"id":"i","path":"/p/1","headers":{"X-Length-Hint":"900"},
        "body":"q83vEjRWeA==","tokens":9,"group":"g"}]})");
  ASSERT_TRUE(spec);
  EXPECT_EQ(spec->m_model, ModelName("m"));
  EXPECT_EQ(spec->m_minVersion, WeightVersion(6));
  const auto& item = spec->m_items.at(0);
  EXPECT_EQ(item.m_body.size(), 7U);
  EXPECT_EQ(item.m_expectedTokens, 900U);
  EXPECT_EQ(item.m_group, fleet::GroupId("g"));
}

// Guards against items that are lost or reordered while they are read one by
// one, and against objects elsewhere in the document that are taken for items.
TEST(JobSpecTest, ReadsItemsInOrder)
{
  const auto spec = ReadJob(
    R"({"other":[{"id":"x"}],"deep":{"requests":[{"id":"y"}]},
        "requests":[
          {"id":"a","path":"/p","body":"","headers":{"X":"1"}},
          {"id":"b","path":"/p","body":"","extra":{"requests":[{}]}}],
        "min_version":3})");
  ASSERT_TRUE(spec);
  ASSERT_EQ(spec->m_items.size(), 2U);
  EXPECT_EQ(spec->m_items[0].m_id, fleet::ItemId("a"));
  EXPECT_EQ(spec->m_items[0].m_headers.size(), 1U);
  EXPECT_EQ(spec->m_items[1].m_id, fleet::ItemId("b"));
  EXPECT_EQ(spec->m_minVersion, WeightVersion(3));
}

// Guards against a job of legal size whose items take more memory than there
// is: short items take several times their bytes in the document.
TEST(JobSpecTest, RefusesItemsThatTakeTooMuchMemory)
{
  const Json item{ { "id", "i" }, { "path", "/p" }, { "body", "" } };
  constexpr std::size_t kItems = 5000;
  const Json document{ { "requests", Json(kItems, item) } };
  const std::string text = document.dump();
  ASSERT_LT(text.size(), kMaxJobBytes);
  const auto spec = ReadJob(text);
  ASSERT_FALSE(spec);
  EXPECT_EQ(spec.error().m_field, "requests");
  EXPECT_EQ(spec.error().m_fault, DocumentFault::TooLarge);
  EXPECT_TRUE(ReadJobSpec(text, 4 * kMaxJobBytes));
}

/** A job with one item whose field has a value that would end a header line or
 * the request line at the engine. */
struct InjectionCase
{
  std::string m_field;
  std::string m_value;
};

class InjectionTest : public testing::TestWithParam<InjectionCase>
{};

// Guards against an item that adds header fields, such as another account's
// name, or a second request to what an engine gets.
TEST_P(InjectionTest, TheJobIsRefused)
{
  Json item{ { "id", "i" }, { "path", "/p" }, { "body", "" } };
  if (GetParam().m_field == "name") {
    item["headers"][GetParam().m_value] = "x";
  } else if (GetParam().m_field == "value") {
    item["headers"]["X-A"] = GetParam().m_value;
  } else {
    item[GetParam().m_field] = GetParam().m_value;
  }
  const Json items = Json::array({ item });
  EXPECT_FALSE(ReadJob(Json{ { "requests", items } }.dump()));
}

INSTANTIATE_TEST_SUITE_P(
  Fields,
  InjectionTest,
  testing::Values(InjectionCase{ "value", "1\r\nX-Other: 2" },
                  InjectionCase{ "value", std::string("a\0b", 3) },
                  InjectionCase{ "name", "X-Other: 2\r\nX-A" },
                  InjectionCase{ "name", "X-Tenant " },
                  InjectionCase{ "name", "" },
                  InjectionCase{ "id", "i\r\nX-Other: 2" },
                  InjectionCase{ "path", "/p HTTP/1.1\r\nX-Other: 2" },
                  InjectionCase{ "path", "/p q" }));

Json JobWithRewards()
{
  Json items = Json::array();
  for (const char* id : { "a", "b" }) {
    const Json scorer{ { "id", std::string("reward-") + id },
                       { "host", "app.example" },
                       { "path", "/score/1" },
                       { "body", "cHJvbXB0" } };
    items.push_back({ { "id", id },
                      { "path", "/p/1" },
                      { "body", "" },
                      { "scorer", scorer } });
  }
  return { { "requests", std::move(items) } };
}

TEST(JobSpecTest, TranslatesRewardCalls)
{
  const auto spec = ReadJob(JobWithRewards().dump());
  ASSERT_TRUE(spec);
  const fleet::RewardCall expected{
    fleet::RewardId("reward-b"), "app.example", "/score/1", "prompt"
  };
  EXPECT_EQ(spec->m_items.at(1).m_reward, expected);
}

class RewardCallTest : public testing::TestWithParam<ChangeCase>
{};

// Guards against a job of which a part can never be completed.
TEST_P(RewardCallTest, AFaultyOneRefusesTheJob)
{
  Json document = JobWithRewards();
  GetParam().m_change(document["requests"][1]["scorer"]);
  const auto spec = ReadJob(document.dump());
  EXPECT_EQ(spec ? "" : spec.error().m_field, GetParam().m_problem);
}

INSTANTIATE_TEST_SUITE_P(
  Faults,
  RewardCallTest,
  testing::Values(
    ChangeCase{ "none", [](Json&) {}, "" },
    ChangeCase{ "null", [](Json& aScorer) { aScorer = nullptr; }, "" },
    ChangeCase{ "unknown_field", [](Json& aScorer) { aScorer["x"] = 1; }, "" },
    ChangeCase{ "empty_body", [](Json& aScorer) { aScorer["body"] = ""; }, "" },
    ChangeCase{ "text",
                [](Json& aScorer) { aScorer = "reward-b"; },
                "requests" },
    ChangeCase{ "no_id",
                [](Json& aScorer) { aScorer.erase("id"); },
                "requests" },
    ChangeCase{ "empty_id",
                [](Json& aScorer) { aScorer["id"] = ""; },
                "requests" },
    ChangeCase{ "no_host",
                [](Json& aScorer) { aScorer.erase("host"); },
                "requests" },
    ChangeCase{ "number_as_path",
                [](Json& aScorer) { aScorer["path"] = 7; },
                "requests" },
    ChangeCase{ "no_body",
                [](Json& aScorer) { aScorer.erase("body"); },
                "requests" },
    ChangeCase{ "unreadable_body",
                [](Json& aScorer) { aScorer["body"] = "%%%%"; },
                "requests" },
    ChangeCase{ "same_id",
                [](Json& aScorer) { aScorer["id"] = "reward-a"; },
                "scorer" }),
  NameOf);

class BadJobSpecTest : public testing::TestWithParam<std::string>
{};

TEST_P(BadJobSpecTest, IsRefused)
{
  EXPECT_FALSE(ReadJob(GetParam()));
}

INSTANTIATE_TEST_SUITE_P(
  Specs,
  BadJobSpecTest,
  testing::Values("",
                  "[]",
                  "{}",
                  R"({"requests":{}})",
                  R"({"requests":[1]})",
                  R"({"requests":[{"id":"i","path":"/p","body":""},1]})",
                  R"({"requests":[{"id":"i","path":"/p","body":""}],)"
                  R"("requests":[{"id":"j","path":"/p","body":""}]})",
                  R"({"requests":[{"id":"i","path":"/p"}]})",
                  R"({"requests":[{"id":"i","path":"/p","body":"%%%%"}]})",
                  R"({"requests":[{"id":1,"path":"/p","body":""}]})"));

TEST(ResultsTest, WritesResultsInOrder)
{
  fleet::JobView view;
  view.m_total = 3;
  view.m_next = 2;
  view.m_results = { { fleet::ItemId("a"),
                       fleet::ItemState::Completed,
                       "x\ny",
                       { WeightVersion(6), WeightVersion(7) } },
                     { fleet::ItemId("b"), fleet::ItemState::Lost, "", {} },
                     { fleet::ItemId("c"),
                       fleet::ItemState::Completed,
                       "z",
                       { WeightVersion(7) },
                       fleet::Score("stamp") } };
  const auto document = Json::parse(WriteResults(view));
  EXPECT_EQ(document, Json::parse(R"({"total":3,"next":2,"results":[
    {"id":"a","state":"completed","output":"x\ny","versions":[6,7]},
    {"id":"b","state":"lost","output":"","versions":[]},
    {"id":"c","state":"completed","output":"z","versions":[7],
     "score":"stamp"}]})"));
}

} // namespace
} // namespace auburntrestle::platform
