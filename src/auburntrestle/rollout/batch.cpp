#include "auburntrestle/rollout/batch.hpp"

#include <nlohmann/json.hpp>

namespace auburntrestle::rollout {
namespace {

using Json = nlohmann::json;

std::string Dump(const Json& aValue)
{
  return aValue.dump(-1, ' ', false, Json::error_handler_t::replace);
}

BatchSample ReadSample(const Json& aValue)
{
  BatchSample sample;
  const auto id = ParseSampleId(aValue.at("id").get_ref<const std::string&>());
  if (!id) {
    throw std::invalid_argument("bad sample id");
  }
  sample.m_id = *id;
  sample.m_prompt = aValue.at("prompt").get<std::string>();
  sample.m_text = aValue.at("text").get<std::string>();
  for (const Json& span : aValue.at("trail")) {
    sample.m_trail.push_back(
      VersionSpan{ WeightVersion(span.at("version").get<std::uint64_t>()),
                   TokenCount(span.at("tokens").get<std::uint64_t>()) });
  }
  if (const Json& score = aValue.at("score"); !score.is_null()) {
    sample.m_score = score.get<double>();
  }
  return sample;
}

} // namespace

std::string EncodeSample(const BatchSample& aSample)
{
  Json trail = Json::array();
  for (const VersionSpan& span : aSample.m_trail) {
    trail.push_back({ { "version", span.m_version.Get() },
                      { "tokens", span.m_tokens.Get() } });
  }
  Json value{ { "id", ToText(aSample.m_id) },
              { "step", aSample.m_id.m_step.Get() },
              { "group", aSample.m_id.m_group.Get() },
              { "index", aSample.m_id.m_index.Get() },
              { "prompt", aSample.m_prompt },
              { "text", aSample.m_text },
              { "trail", std::move(trail) },
              { "score", nullptr } };
  if (aSample.m_score) {
    value["score"] = *aSample.m_score;
  }
  return Dump(value);
}

std::string JoinBatch(Cursor aCursor,
                      const ModelName& aModel,
                      const std::vector<std::string>& aSamples)
{
  std::string payload = "{\"cursor\":" + std::to_string(aCursor.Get()) +
                        ",\"model\":" + Dump(Json(aModel.Get())) +
                        ",\"samples\":[";
  const char* separator = "";
  for (const std::string& sample : aSamples) {
    payload += separator;
    payload += sample;
    separator = ",";
  }
  payload += "]}";
  return payload;
}

std::string EncodeBatch(const Batch& aBatch)
{
  std::vector<std::string> samples;
  samples.reserve(aBatch.m_samples.size());
  for (const BatchSample& sample : aBatch.m_samples) {
    samples.push_back(EncodeSample(sample));
  }
  return JoinBatch(aBatch.m_cursor, aBatch.m_model, samples);
}

tl::expected<Batch, BadPayloadError> DecodeBatch(std::string_view aPayload)
{
  try {
    const Json value = Json::parse(aPayload);
    Batch batch{ Cursor(value.at("cursor").get<std::uint64_t>()),
                 ModelName(value.at("model").get<std::string>()),
                 {} };
    for (const Json& sample : value.at("samples")) {
      batch.m_samples.push_back(ReadSample(sample));
    }
    return batch;
  } catch (const std::exception& error) {
    return tl::unexpected(BadPayloadError{ error.what() });
  }
}

} // namespace auburntrestle::rollout
