#include <arpa/inet.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <map>
#include <mutex>

#include "loopback_fleet_test.h"

namespace sycamoredrum {
namespace {

using nlohmann::json;
using testing::HasSubstr;

constexpr char kTrace[] = "0123456789abcdef0123456789abcdef";
constexpr char kCallerSpan[] = "00000000000000ab";
constexpr int kProxies = 3;

// Starts three proxies and collects their trace spans.
class ProxyServiceTest : public testing::Test {
 protected:
  void StartProxies(const std::function<void(ProxySettings&)>& change = nullptr) {
    for (int i = 0; i < kProxies; ++i) {
      ProxySettings settings = this->fleet.Settings(i);
      settings.trace_sample_ratio = 0;
      if (change) {
        change(settings);
      }
      this->proxies.push_back(std::make_unique<Proxy>(
          settings, [this](const std::string& line) { this->TakeSpan(json::parse(line)); }));
      ASSERT_TRUE(this->proxies.back()->Start()) << this->proxies.back()->LastReason();
    }
    for (int i = 0; i < kProxies; ++i) {
      ASSERT_TRUE(this->fleet.WaitUntilServing(i, kProxies));
    }
  }

  void TakeSpan(json span) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->spans.push_back(std::move(span));
  }

  // Waits for the entry span, which ends after the other spans of a request, and returns all by
  // name.
  std::map<std::string, json> WaitForSpans() {
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    std::map<std::string, json> found;
    while (found.count("entry") == 0 && std::chrono::steady_clock::now() < limit) {
      std::this_thread::yield();
      const std::lock_guard<std::mutex> lock(this->mutex);
      for (const json& span : this->spans) {
        found[span.at("name").get<std::string>()] = span;
      }
    }
    return found;
  }

  json Post(int proxy, const std::string& path, const std::string& body, const std::string& token) {
    const HttpResult result = this->fleet.Call(
        this->fleet.CallerAddress(proxy), "POST", path, body,
        {HttpHeader{"Authorization", "Bearer " + token},
         HttpHeader{"traceparent", std::string("00-") + kTrace + "-" + kCallerSpan + "-01"}});
    return json::parse(result.response.body, nullptr, /*allow_exceptions=*/false);
  }

  std::mutex mutex;
  std::vector<json> spans;
  LoopbackFleet fleet;
  std::vector<std::unique_ptr<Proxy>> proxies;
};

// Guards against a hop of a request without a span, or with one whose parent is not the hop before.
TEST_F(ProxyServiceTest, EveryHopHasASpan) {
  this->StartProxies();
  int forwarded = 0;
  for (int proxy = 0; proxy < kProxies; ++proxy) {
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->spans.clear();
    }
    const json answer = this->Post(proxy, "/v1/databases/orders/execute",
                                   R"({"statements":["PUT key x"]})", LoopbackFleet::kToken);
    ASSERT_EQ(answer.value("outcome", ""), "result") << answer;
    EXPECT_EQ(answer.value("trace", ""), kTrace);
    auto found = this->WaitForSpans();
    ASSERT_EQ(found.count("entry") + found.count("pool_wait") + found.count("backend"), 3U);
    EXPECT_EQ(found["entry"].at("parent"), kCallerSpan);
    std::string holder = "entry";
    if (found.count("peer") != 0) {
      ++forwarded;
      EXPECT_EQ(found["peer"].at("parent"), found["entry"].at("span"));
      EXPECT_EQ(found["holder"].at("parent"), found["peer"].at("span"));
      holder = "holder";
    }
    EXPECT_EQ(found["pool_wait"].at("parent"), found[holder].at("span"));
    EXPECT_EQ(found["backend"].at("parent"), found[holder].at("span"));
  }
  // The primary is in one data centre, and each data centre has one proxy.
  EXPECT_EQ(forwarded, kProxies - 1);
}

// Guards against an error answer without a trace id, which an operator could not find in the
// traces.
TEST_F(ProxyServiceTest, EveryErrorAnswerHasTheTrace) {
  this->StartProxies();
  const std::string path = "/v1/databases/orders/execute";
  const std::string good = R"({"statements":["GET key"]})";
  const struct {
    std::string path;
    std::string body;
    std::string token;
    const char* reason;
  } cases[] = {
      {path, "{", LoopbackFleet::kToken, "bad_request"},
      {path, good, "wrong", "unauthorized"},
      {"/v1/databases/none/execute", good, LoopbackFleet::kToken, "unknown_database"},
      {path, R"({"statements":["NONSENSE"]})", LoopbackFleet::kToken, "statement"},
  };
  for (const auto& test : cases) {
    const json answer = this->Post(0, test.path, test.body, test.token);
    ASSERT_TRUE(answer.is_object()) << test.reason;
    EXPECT_EQ(answer.value("trace", ""), kTrace) << answer;
    EXPECT_EQ(answer.value("reason", ""), test.reason) << answer;
  }
}

// Guards against a metric that is never updated.
TEST_F(ProxyServiceTest, ScrapesContainTheCountersOfAllParts) {
  this->StartProxies();
  std::string all;
  for (int proxy = 0; proxy < kProxies; ++proxy) {
    all += this->fleet.Call(this->fleet.AdminAddress(proxy), "GET", "/metrics").response.body;
  }
  for (const char* line :
       {"sycamoredrum_pool_wait_seconds_count{", "sycamoredrum_membership_events_total{event=",
        "sycamoredrum_configuration_events_total{event=",
        "sycamoredrum_watcher_events_total{database=\"orders\",event=\"round\"}",
        "sycamoredrum_control_cpu_seconds_total"}) {
    EXPECT_THAT(all, HasSubstr(line));
  }
}

// A plain TCP connection to a caller port, for requests that no HTTP client would send.
class RawConnection {
 public:
  explicit RawConnection(const Endpoint& to) : descriptor(socket(AF_INET, SOCK_STREAM, 0)) {
    constexpr timeval kReceiveLimit{20, 0};
    setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &kReceiveLimit, sizeof(kReceiveLimit));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    inet_pton(AF_INET, to.host.c_str(), &address.sin_addr);
    EXPECT_EQ(connect(this->descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
  }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;
  ~RawConnection() { close(this->descriptor); }

  void Send(const std::string& text) const {
    send(this->descriptor, text.data(), text.size(), MSG_NOSIGNAL);
  }

  // Returns all data up to the close by the proxy, or "open" if it does not close within 20 s.
  std::string ReadToEnd() const {
    std::string text;
    char buffer[4096];
    for (;;) {
      const ssize_t count = recv(this->descriptor, buffer, sizeof(buffer), 0);
      if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
        return "open";
      }
      if (count <= 0) {
        return text;
      }
      text.append(buffer, static_cast<std::size_t>(count));
    }
  }

 private:
  int descriptor;
};

// Guards against callers that hold a connection or memory beyond the limits.
TEST_F(ProxyServiceTest, LimitsTowardsCallersAreEnforced) {
  constexpr std::size_t kConnections = 6;
  this->StartProxies([](ProxySettings& settings) {
    settings.max_request_bytes = 2048;
    settings.max_connections = kConnections;
  });
  const std::string start = "POST /v1/databases/orders/execute HTTP/1.1\r\nHost: proxy\r\n";
  const struct {
    const char* name;
    std::string request;
    std::string answer;  // Start of the answer; empty: the connection is closed.
  } cases[] = {
      {"large body", start + "Content-Length: 4096\r\n\r\n" + std::string(4096, 'x'),
       "HTTP/1.1 413"},
      {"large headers", start + "X-Filler: " + std::string(17 * 1024, 'x') + "\r\n\r\n",
       "HTTP/1.1 431"},
      {"slow headers", start, ""},
      {"slow body", start + "Content-Length: 10\r\n\r\n{", ""},
  };
  for (const auto& test : cases) {
    SCOPED_TRACE(test.name);
    const RawConnection connection(this->fleet.CallerAddress(0));
    connection.Send(test.request);
    EXPECT_EQ(connection.ReadToEnd().substr(0, 12), test.answer);
  }
  std::vector<std::unique_ptr<RawConnection>> held;
  for (std::size_t i = 0; i < kConnections; ++i) {
    held.push_back(std::make_unique<RawConnection>(this->fleet.CallerAddress(0)));
  }
  EXPECT_EQ(RawConnection(this->fleet.CallerAddress(0)).ReadToEnd(), "");
}

}  // namespace
}  // namespace sycamoredrum
