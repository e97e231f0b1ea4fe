#ifndef AUBURNTRESTLE_REVIEW_THIRD_SAMPLER_HPP
#define AUBURNTRESTLE_REVIEW_THIRD_SAMPLER_HPP

#include "deployment.hpp"

/** A stand-in of a sampler that runs a language model. */
namespace review {

/** An order for another version of a model's weights, as it arrived. */
struct Order
{
  Milliseconds m_arrivedAt{};
  std::string m_holder;
  std::uint64_t m_fence = 0;
  std::uint64_t m_version = 0;
  int m_status = 0;
};

/** How a sampler answers one run of an item. */
struct ItemAnswer
{
  int m_status = 200;
  int m_events = 3;
  /** The time to the answer, or from one event to the next. */
  Milliseconds m_pace{ 20 };
  /** The answer comes a second time after this. */
  std::optional<Milliseconds> m_repeatAfter;
};

/** What makes a sampler. */
struct SamplerOptions
{
  std::string m_id;
  std::string m_service = "engines";
  std::string m_zone = "zone-a";
  std::string m_model = "model-m";
  Address m_listen;
  /** The address in pings; differs from m_listen behind a link. */
  Address m_announced;
  int m_slots = 4;
  /** @return how an item is answered. @param aRun counts its runs from 1. */
  std::function<ItemAnswer(const std::string& aItem, int aRun)> m_answer;
};

/** Answers reports, orders and items as PROTOCOL.md says, and sends pings. It
 * does not check fences. */
class Sampler
{
public:
  static constexpr Milliseconds kPingInterval{ 1200 };
  static constexpr Milliseconds kLoadTime{ 900 };

  Sampler(SamplerOptions aOptions, Deployment& aDeployment, Record& aRecord)
    : m_options(std::move(aOptions))
    , m_deployment(aDeployment)
    , m_record(aRecord)
    , m_born(std::chrono::duration_cast<Milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count())
    , m_listener(m_options.m_listen, [this](Socket aSocket) { Serve(aSocket); })
    , m_pings([this] { SendPings(); })
  {
  }
  Sampler(const Sampler&) = delete;
  Sampler& operator=(const Sampler&) = delete;
  ~Sampler()
  {
    m_stopped = true;
    m_pings.join();
    m_listener.Stop();
  }

  /** Pings reach no store while the sampler is cut off from them. */
  void SetCutOff(bool aCutOff) { m_cutOff = aCutOff; }
  [[nodiscard]] bool IsListening() const { return m_listener.IsOpen(); }
  [[nodiscard]] bool IsRegistered() const { return m_registered; }
  [[nodiscard]] const std::string& Id() const { return m_options.m_id; }
  [[nodiscard]] const Address& ListenAddress() const
  {
    return m_options.m_listen;
  }
  /** @return how often an item was run. */
  [[nodiscard]] int RunsOf(const std::string& aItem) const
  {
    const std::lock_guard lock(m_mutex);
    const auto found = m_runs.find(aItem);
    return found == m_runs.end() ? 0 : found->second;
  }
  [[nodiscard]] std::vector<Order> Orders() const
  {
    const std::lock_guard lock(m_mutex);
    return m_orders;
  }
  [[nodiscard]] std::uint64_t Version() const
  {
    const std::lock_guard lock(m_mutex);
    return m_version;
  }
  /** @return the statuses of the answers to an item, without repetitions. */
  [[nodiscard]] std::vector<int> AnswersTo(const std::string& aItem) const
  {
    const std::lock_guard lock(m_mutex);
    const auto found = m_answers.find(aItem);
    return found == m_answers.end() ? std::vector<int>() : found->second;
  }

private:
  void SendPings()
  {
    int sequence = 0;
    auto next = Clock::now();
    while (!m_stopped) {
      if (Clock::now() < next) {
        Sleep(Milliseconds(20));
        continue;
      }
      next += kPingInterval;
      if (m_cutOff) {
        continue;
      }
      const Json ping{ { "service", m_options.m_service },
                       { "address", m_options.m_announced.Text() },
                       { "zone", m_options.m_zone },
                       { "version", "v1" },
                       { "slots", m_options.m_slots },
                       { "state", "ready" },
                       { "cold_left_ms", 0 },
                       { "stage", "both" },
                       { "models", Models() },
                       { "born", m_born },
                       { "sequence", ++sequence } };
      const auto answer =
        m_deployment.CallControl("PUT",
                                 "/auburntrestle/instances/" + m_options.m_id,
                                 ping.dump(),
                                 kPingInterval);
      constexpr int kOk = 200;
      if (answer && answer->m_status == kOk && !m_registered.exchange(true)) {
        m_record.Write(m_options.m_id + " registered");
      }
    }
  }

  [[nodiscard]] Json Models() const
  {
    const std::lock_guard lock(m_mutex);
    return Json::array({ { { "name", m_options.m_model },
                           { "version", m_version },
                           { "adapters", Json::array() } } });
  }

  void Serve(const Socket& aSocket)
  {
    MessageReader reader(aSocket);
    std::optional<Message> request;
    while (!m_stopped) {
      constexpr Milliseconds kPoll(20);
      if (!(request = reader.Read(kPoll))) {
        if (aSocket.WaitReadable(Milliseconds(0)) && IsAtEnd(aSocket)) {
          return;
        }
        continue;
      }
      if (!Answer(aSocket, *request)) {
        return;
      }
    }
  }

  [[nodiscard]] static bool IsAtEnd(const Socket& aSocket)
  {
    char byte = 0;
    return ::recv(aSocket.Get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
  }

  /** @return false when the connection has ended. */
  bool Answer(const Socket& aSocket, const Message& aRequest)
  {
    Message answer;
    constexpr int kOk = 200;
    constexpr int kMisdirected = 421;
    answer.m_status = kOk;
    const auto expected = aRequest.Header("X-Expect-Instance");
    if (!expected.empty() && expected != m_options.m_id) {
      answer.m_status = kMisdirected;
      return aSocket.WriteAll(answer.Text());
    }
    if (aRequest.m_target == "/auburntrestle/report") {
      answer.m_headers = { { "Content-Type", "application/json" } };
      answer.m_body = Report();
      return aSocket.WriteAll(answer.Text());
    }
    if (aRequest.m_target == "/auburntrestle/order") {
      answer.m_status = HandleOrder(Json::parse(aRequest.m_body));
      return aSocket.WriteAll(answer.Text());
    }
    return RunItem(aSocket, aRequest);
  }

  [[nodiscard]] std::string Report()
  {
    const Json models = Models();
    const std::lock_guard lock(m_mutex);
    return Json{
      { "stage", "both" },  { "models", models },
      { "busy", IsBusy() }, { "sequence", m_sequence },
      { "num_waiting", 0 }, { "num_running", m_running },
      { "kv_used", 0 },     { "kv_total", 100000 },
      { "handles", 0 }
    }.dump();
  }

  [[nodiscard]] bool IsBusy() const { return Elapsed() < m_busyUntil; }

  int HandleOrder(const Json& aOrder)
  {
    constexpr int kOk = 200;
    constexpr int kAccepted = 202;
    constexpr int kConflict = 409;
    const std::lock_guard lock(m_mutex);
    Order order;
    order.m_arrivedAt = Elapsed();
    order.m_holder = aOrder.at("holder").get<std::string>();
    order.m_fence = aOrder.at("fence").get<std::uint64_t>();
    order.m_version = aOrder.at("version").get<std::uint64_t>();
    const bool isExpected =
      !aOrder.contains("precondition") ||
      aOrder.at("precondition").get<std::uint64_t>() == m_sequence;
    if (IsBusy() || !isExpected) {
      order.m_status = kConflict;
    } else if (order.m_version == m_version) {
      order.m_status = kOk;
    } else {
      order.m_status = kAccepted;
      ++m_sequence;
      m_version = order.m_version;
      m_busyUntil = Elapsed() + kLoadTime;
    }
    m_orders.push_back(order);
    m_record.Write(m_options.m_id + " gets the order for version " +
                   std::to_string(order.m_version) + " of " + order.m_holder +
                   " with fence " + std::to_string(order.m_fence) +
                   ", answers " + std::to_string(order.m_status));
    return order.m_status;
  }

  bool RunItem(const Socket& aSocket, const Message& aRequest)
  {
    constexpr int kOk = 200;
    constexpr int kUnavailable = 503;
    const auto item = aRequest.Header("X-Attempt-Id");
    Message answer;
    answer.m_headers = { { "X-Attempt-Id", item } };
    int run = 0;
    {
      const std::lock_guard lock(m_mutex);
      if (m_running >= m_options.m_slots || IsBusy()) {
        answer.m_status = kUnavailable;
        answer.m_headers.emplace_back("X-Not-Executed", "1");
      } else {
        ++m_running;
        run = ++m_runs[item];
      }
    }
    if (answer.m_status != 0) {
      return aSocket.WriteAll(answer.Text());
    }
    m_record.Write(m_options.m_id + " begins run " + std::to_string(run) +
                   " of item " + item);
    const ItemAnswer plan =
      m_options.m_answer ? m_options.m_answer(item, run) : ItemAnswer{};
    answer.m_headers.emplace_back("X-Response-Stamp", "stamp-" + item);
    bool isOpen = true;
    if (plan.m_status == kOk) {
      isOpen = SendEvents(aSocket, aRequest, answer, plan);
    } else {
      Sleep(plan.m_pace);
      answer.m_status = plan.m_status;
      isOpen = aSocket.WriteAll(answer.Text());
    }
    {
      const std::lock_guard lock(m_mutex);
      --m_running;
      if (isOpen) {
        m_answers[item].push_back(plan.m_status);
      }
    }
    m_record.Write(m_options.m_id +
                   (isOpen ? " answers " : " could not answer ") +
                   std::to_string(plan.m_status) + " to run " +
                   std::to_string(run) + " of item " + item);
    if (isOpen && plan.m_repeatAfter) {
      Sleep(*plan.m_repeatAfter);
      m_record.Write(m_options.m_id + " sends that answer a second time");
      isOpen = aSocket.WriteAll(answer.Text());
    }
    return isOpen;
  }

  bool SendEvents(const Socket& aSocket,
                  const Message& aRequest,
                  const Message& aAnswer,
                  const ItemAnswer& aPlan)
  {
    std::string head = "HTTP/1.1 200 OK\r\n";
    for (const auto& [name, value] : aAnswer.m_headers) {
      head += name + ": " + value + "\r\n";
    }
    head += "X-Weight-Versions: " + std::to_string(Version()) +
            "\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n";
    if (!aSocket.WriteAll(head)) {
      return false;
    }
    const auto last = aRequest.Header("Last-Event-Id");
    const auto item = aRequest.Header("X-Attempt-Id");
    for (int event = last.empty() ? 1 : std::stoi(last) + 1;
         event <= aPlan.m_events;
         ++event) {
      Sleep(aPlan.m_pace);
      const std::string text = "id: " + std::to_string(event) +
                               "\ndata: " + item + "-" + std::to_string(event) +
                               "\n\n";
      std::ostringstream chunk;
      chunk << std::hex << text.size() << "\r\n" << text << "\r\n";
      if (m_stopped || IsClosed(aSocket) || !aSocket.WriteAll(chunk.str())) {
        return false;
      }
    }
    return aSocket.WriteAll("0\r\n\r\n");
  }

  [[nodiscard]] static bool IsClosed(const Socket& aSocket)
  {
    return aSocket.WaitReadable(Milliseconds(0)) && IsAtEnd(aSocket);
  }

  SamplerOptions m_options;
  Deployment& m_deployment;
  Record& m_record;
  std::int64_t m_born;
  std::atomic<bool> m_stopped{ false };
  std::atomic<bool> m_cutOff{ false };
  std::atomic<bool> m_registered{ false };
  mutable std::mutex m_mutex;
  std::uint64_t m_version = 1;
  std::uint64_t m_sequence = 0;
  Milliseconds m_busyUntil{};
  int m_running = 0;
  std::map<std::string, int> m_runs;
  std::map<std::string, std::vector<int>> m_answers;
  std::vector<Order> m_orders;
  Listener m_listener;
  std::thread m_pings;
};

} // namespace review

#endif
