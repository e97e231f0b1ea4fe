#ifndef AUBURNTRESTLE_TEST_PLATFORM_CROWDS_REQUEST_BYTES_HPP
#define AUBURNTRESTLE_TEST_PLATFORM_CROWDS_REQUEST_BYTES_HPP

#include "platform/client_crowd.hpp"
#include "platform/names.hpp"

#include <cstddef>
#include <string>

/** Requests as bytes, each of legal size, which clients outside the limits
 * send. */
namespace auburntrestle::platform::test {

/** The body limit of the configuration, and a body just within it. */
constexpr std::size_t kBodyLimit = 8'000'000;
constexpr std::size_t kLargeBody = 7'900'000;
/** The size of a large body or response of which many are sent at once. */
constexpr std::size_t kMediumBody = 900'000;
/** A header within the limit of 16,384 bytes. */
constexpr std::size_t kFieldBytes = 16'000;

/** @return the request line and the first header fields. */
[[nodiscard]] inline std::string StartHead(const std::string& aMethod,
                                           const std::string& aPath,
                                           const std::string& aId = "crowd")
{
  return aMethod + " " + aPath + " HTTP/1.1\r\nHost: app.example\r\n" +
         std::string(names::kRequestId) + ": " + aId + "\r\n";
}

/** @return a complete request with a body. */
[[nodiscard]] inline std::string WholeRequest(const std::string& aMethod,
                                              const std::string& aPath,
                                              const std::string& aBody,
                                              const std::string& aId = "crowd")
{
  return StartHead(aMethod, aPath, aId) +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

/** @return a complete request without a body that many lines fill. */
[[nodiscard]] inline std::string WholeHead(const std::string& aLine)
{
  return StartHead("GET", "/plain/x") + Repeat(aLine, kFieldBytes) + "\r\n";
}

/** @return a request whose body lacks its last byte. */
[[nodiscard]] inline std::string UnfinishedBody(std::size_t aBytes)
{
  std::string request =
    WholeRequest("POST", "/plain/x", std::string(aBytes, 'x'));
  request.pop_back();
  return request;
}

/** @return a request in chunks that lacks its last chunk. */
[[nodiscard]] inline std::string UnfinishedChunks(const std::string& aChunk,
                                                  std::size_t aBytes)
{
  return StartHead("POST", "/plain/x") + "Transfer-Encoding: chunked\r\n\r\n" +
         Repeat(aChunk, aBytes);
}

/** @return a request that is sent again and again on one connection. */
[[nodiscard]] inline std::string SentAhead(const std::string& aRequest,
                                           int aTimes)
{
  return Repeat(aRequest, aRequest.size() * static_cast<std::size_t>(aTimes));
}

/** @return a document of a size: a start, repeated text and an end. */
[[nodiscard]] inline std::string Document(const std::string& aStart,
                                          const std::string& aRepeated,
                                          const std::string& aEnd,
                                          std::size_t aBytes = kLargeBody)
{
  const std::size_t fixed = aStart.size() + aEnd.size();
  return aStart + Repeat(aRepeated, aBytes - fixed) + aEnd;
}

/** @return a document of a size with short fields, each with its own name. */
[[nodiscard]] inline std::string DocumentOfFields(
  const std::string& aStart,
  const std::string& aValue,
  const std::string& aEnd,
  std::size_t aBytes = kLargeBody)
{
  constexpr std::size_t kMaxFieldBytes = 24;
  std::string document = aStart;
  document.reserve(aBytes);
  for (int field = 0; document.size() + kMaxFieldBytes < aBytes; ++field) {
    document +=
      (field == 0 ? "\"f" : ",\"f") + std::to_string(field) + "\":" + aValue;
  }
  return document + aEnd;
}

/** @return a batch job with as many items as fit into a size.
 * @param aItemBody the body of each item, in base64. */
[[nodiscard]] inline std::string JobOfItems(const std::string& aItemBody,
                                            std::size_t aBytes)
{
  constexpr std::size_t kItemBytes = 100;
  std::string job = R"({"step":0,"model":"m","min_version":1,)"
                    R"("target_groups":1,"requests":[)";
  job.reserve(aBytes);
  for (int item = 0; job.size() + aItemBody.size() + kItemBytes < aBytes;
       ++item) {
    job += item == 0 ? "" : ",";
    job += R"({"id":"i)" + std::to_string(item) +
           R"(","path":"/jobs/1/x","headers":{},"body":")" + aItemBody +
           R"(","tokens":9,"group":"g"})";
  }
  return job + "]}";
}

} // namespace auburntrestle::platform::test

#endif
