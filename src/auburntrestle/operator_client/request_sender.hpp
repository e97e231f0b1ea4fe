#ifndef AUBURNTRESTLE_OPERATOR_CLIENT_REQUEST_SENDER_HPP
#define AUBURNTRESTLE_OPERATOR_CLIENT_REQUEST_SENDER_HPP

#include "auburntrestle/backend/http_client.hpp"
#include "auburntrestle/operator_client/exit_code.hpp"

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace auburntrestle::operator_client {

/** Whether a request may be resent if its outcome is unknown. */
enum class ResendPolicy : unsigned char
{
  /** For reads, and for edits, whose id makes them idempotent. */
  Allowed,
  Forbidden,
};

/** A request that any of the targets can process. */
struct Request
{
  std::string m_method = "GET";
  /** Path with query. */
  std::string m_path;
  std::string m_body;
  ResendPolicy m_resendPolicy = ResendPolicy::Allowed;
  /** Reduces the timeout of the sender; zero to keep it. */
  std::chrono::milliseconds m_timeout{ 0 };
};

/** A successful response. */
struct Response
{
  nlohmann::json m_json;
  /** The body as received. */
  std::string m_body;
};

/** Whether a failed request may have taken effect. */
enum class Outcome : unsigned char
{
  NotRun,
  Unknown,
};

/** @return "not_run" or "outcome_unknown". */
[[nodiscard]] std::string_view ToString(Outcome aOutcome) noexcept;

/** Description of a failed request. */
struct RequestFailure
{
  ExitCode m_exitCode = ExitCode::RequestFailed;
  /** The error code of the response, or "unreachable", "answer_lost",
   * "bad_answer" or "client_failed". */
  std::string m_code;
  std::string m_message;
  Outcome m_outcome = Outcome::Unknown;
  /** Kind of a conflict, such as "number_taken"; may be empty. */
  std::string m_kind;
  /** The current number, in case of a conflict. */
  std::optional<std::uint64_t> m_current;
  /** The digest of the accepted edit, in case of a conflict; may be empty. */
  std::string m_detail;

  /** @return the failure in the format of the daemon's error bodies. */
  [[nodiscard]] std::string ToJson() const;
};

/** @return the failure for a response with unexpected content. */
[[nodiscard]] RequestFailure MakeBadResponse(std::string aReason);

/** Options of a RequestSender. */
struct SenderOptions
{
  /** Base URLs such as "http://127.0.0.1:8080", in the order of use. */
  std::vector<std::string> m_targets;
  /** Timeout of one attempt. */
  std::chrono::milliseconds m_requestTimeout{ 10000 };
  /** Delay before the targets are tried for the second time. */
  std::chrono::milliseconds m_resendDelay{ 200 };
};

/**
 * Sends requests and waits for their responses.
 *
 * The next target is tried if the connection fails or if the response is a 503
 * with the outcome `not_run`. If a response is lost, the request is resent, at
 * most twice to each target, provided that its policy allows it; otherwise the
 * request fails with an unknown outcome.
 */
class RequestSender
{
public:
  /** Creates the HTTP client. */
  [[nodiscard]] static tl::expected<RequestSender, RequestFailure> Create(
    SenderOptions aOptions);

  /** Sends a request and blocks until its last attempt has ended. */
  [[nodiscard]] tl::expected<Response, RequestFailure> Send(
    const Request& aRequest);

private:
  RequestSender(SenderOptions aOptions,
                std::unique_ptr<backend::HttpClient> aClient)
    : m_options(std::move(aOptions))
    , m_client(std::move(aClient))
  {
  }

  SenderOptions m_options;
  std::unique_ptr<backend::HttpClient> m_client;
};

} // namespace auburntrestle::operator_client

#endif
