#ifndef AUBURNTRESTLE_OPERATOR_CLIENT_RENDER_HPP
#define AUBURNTRESTLE_OPERATOR_CLIENT_RENDER_HPP

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <string>

namespace auburntrestle::operator_client {

/** Reason for which a response cannot be rendered. */
struct RenderError
{
  std::string m_reason;
};

/** The text for the operator, or the reason for which there is none. */
using RenderResult = tl::expected<std::string, RenderError>;

/** Renders the response to `POST /v1/config`. */
[[nodiscard]] RenderResult RenderAccepted(const nlohmann::json& aResponse);
/** Renders the response to `GET /v1/config`. */
[[nodiscard]] RenderResult RenderConfiguration(const nlohmann::json& aResponse);
/** Renders the response to `GET /v1/config/history`. */
[[nodiscard]] RenderResult RenderHistory(const nlohmann::json& aResponse);
/** Renders the response to `GET /v1/status`. */
[[nodiscard]] RenderResult RenderStatus(const nlohmann::json& aResponse);
/** Renders the response to `GET /v1/backends`. */
[[nodiscard]] RenderResult RenderBackends(const nlohmann::json& aResponse);
/** Renders the response to `GET /v1/report`. */
[[nodiscard]] RenderResult RenderReport(const nlohmann::json& aResponse);
/** Renders the response to `POST /v1/drain`. */
[[nodiscard]] RenderResult RenderDrain(const nlohmann::json& aResponse);
/** Renders the response to `GET /v1/members`. */
[[nodiscard]] RenderResult RenderMembers(const nlohmann::json& aResponse);
/** Renders the response to `POST /v1/members`. */
[[nodiscard]] RenderResult RenderMemberChange(const nlohmann::json& aResponse);

} // namespace auburntrestle::operator_client

#endif
