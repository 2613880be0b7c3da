#include "standin_process.h"

#include <absl/strings/numbers.h>
#include <absl/strings/strip.h>
#include <fmt/core.h>

#include <atomic>
#include <cstdio>
#include <future>
#include <memory>

namespace sycamoredrum {
namespace {

// The shutdown is limited because requests that a test switch holds back never finish.
constexpr std::chrono::milliseconds kShutdownTimeout{500};

}  // namespace

std::optional<Endpoint> ParseListenEndpoint(const std::string& text) {
  const std::string_view suffix = ":0";
  const bool any_port =
      text.size() > suffix.size() && text.compare(text.size() - suffix.size(), 2, suffix) == 0;
  if (any_port) {
    return Endpoint{text.substr(0, text.size() - suffix.size()), 0};
  }
  return Endpoint::Parse(text);
}

std::optional<Duration> ParseMilliseconds(const std::string& text) {
  int milliseconds = 0;
  if (!absl::SimpleAtoi(absl::StripSuffix(text, "ms"), &milliseconds) || milliseconds < 0) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(milliseconds);
}

void RunUntilStopSignal(EventLoop& loop, const std::vector<HttpServer*>& servers,
                        const std::string& ready) {
  auto stopping = std::make_shared<std::atomic<bool>>(false);
  auto open_servers = std::make_shared<std::atomic<std::size_t>>(servers.size());
  loop.OnStopSignal([&loop, servers, stopping, open_servers](int) {
    if (stopping->exchange(true)) {
      return;
    }
    for (HttpServer* server : servers) {
      server->Shutdown([&loop, open_servers] {
        if (--*open_servers == 0) {
          loop.Stop();
        }
      });
    }
    loop.RunAfter(kShutdownTimeout, [&loop] { loop.Stop(); });
  });
  fmt::print("{}\n", ready);
  std::fflush(stdout);
  loop.Join();
}

}  // namespace sycamoredrum
