#ifndef AUBURNTRESTLE_REVIEW_STAND_IN_PAGE_SERVER_HPP
#define AUBURNTRESTLE_REVIEW_STAND_IN_PAGE_SERVER_HPP

#include "platform.hpp"

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>

namespace auburntrestle::review {

/** A plain service with one idempotent route. */
constexpr auto kPageHost = "desk.example";
constexpr auto kPagePath = "/pages/";
constexpr auto kPageService = "desk";
/** The body of the answers to requests whose id begins with "large". */
constexpr std::size_t kLargeBody = std::size_t{ 8 } * 1024 * 1024;
/** The same for "huge". */
constexpr std::size_t kHugeBody = 2 * kLargeBody;

/** Starts two servers and puts the manifest in force.
 * @param aWorkTime the time for which the servers work on a large request.
 * @return whether the first entry machine serves requests. */
[[nodiscard]] bool StartPageService(const CaseOptions& aOptions,
                                    Record& aRecord,
                                    std::chrono::milliseconds aWorkTime);

/** @return the bytes of a request that has 10 s. */
[[nodiscard]] std::string PageRequest(const std::string& aId);

/** Reads from a channel at 60 Mbit/s, until it ends or was silent for a time.
 * Calls back once, when the first bytes have arrived. */
[[nodiscard]] std::string ReadAtLinkSpeed(
  Connection& aConnection,
  std::chrono::milliseconds aSilence,
  const std::function<void()>& aOnFirstBytes = [] {});

/** What is wrong with an answer. */
struct PageFault
{
  /** Empty for the server's whole answer, and for a failure. */
  std::string m_text;
  /** The answer ended early or never came. */
  bool m_isCut = false;
};

/** Removes the answer to a request from the bytes received, and checks it. */
[[nodiscard]] PageFault CheckPage(const std::string& aId, std::string& aBytes);

} // namespace auburntrestle::review

#endif
