#ifndef AUBURNTRESTLE_BACKEND_EVENT_STREAM_HPP
#define AUBURNTRESTLE_BACKEND_EVENT_STREAM_HPP

#include <string>
#include <string_view>
#include <vector>

namespace auburntrestle::backend {

/** Splits a stream of server-sent events into the data of each event. */
class EventStreamParser
{
public:
  /**
   * Parses the next bytes of the stream.
   *
   * @return the data of each event that these bytes complete.
   */
  [[nodiscard]] std::vector<std::string> Feed(std::string_view aBytes);

  /** @return the number of bytes of the incomplete event. */
  [[nodiscard]] std::size_t PendingBytes() const noexcept
  {
    return m_line.size() + m_data.size();
  }

private:
  void HandleLine(std::string_view aLine, std::vector<std::string>& aEvents);

  std::string m_line;
  std::string m_data;
  bool m_hasData = false;
};

} // namespace auburntrestle::backend

#endif
