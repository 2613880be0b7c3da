// Demonstrates a fleet on loopback: reads and writes of callers through several proxies, the loss
// of a primary, and a graceful stop under load. Prints each step with its result and exits with 1
// if a step fails.

#include <fmt/format.h>
#include <signal.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <exception>
#include <string>
#include <thread>
#include <vector>

#include "fleet.h"

namespace sycamoredrum {
namespace {

using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

// Stated target of the time without acknowledged writes after the loss of a primary, at the present
// size of the fleet.
constexpr milliseconds kFailoverTarget(2000);
constexpr int kLoadThreads = 4;

std::atomic<bool> interrupted{false};

int failures = 0;

void Report(const std::string& step, bool passed, const std::string& result) {
  fmt::print("{} {:<44} {}\n", passed ? "ok    " : "FAILED", step, result);
  std::fflush(stdout);
  if (!passed) {
    ++failures;
  }
}

json Write(const std::string& statement) { return {{"statements", {statement}}}; }
json Read(const std::string& statement) {
  return {{"statements", {statement}}, {"read_only", true}};
}

std::string ReadResult(const CallerAnswer& answer) {
  return answer.outcome == "result" ? answer.body.at("results").at(0).get<std::string>() : "";
}

HttpHeaders Session(const CallerAnswer& answer) {
  return {HttpHeader{"Sycamoredrum-Session", answer.body.value("session", "")}};
}

bool IsReady(Fleet& fleet, int proxy) {
  const HttpResult result =
      fleet.Call(fleet.AdminAddress(proxy), "GET", "/readyz", "", {}, seconds(1));
  return result.Ok() && result.response.status == 200;
}

void ShowReadYourWrites(Fleet& fleet) {
  const CallerAnswer write = fleet.Execute(0, "orders", Write("PUT order-1 placed"));
  Report("write through proxy-0", write.outcome == "result",
         "served by " + write.body.value("served_by", "?"));
  const CallerAnswer read = fleet.Execute(5, "orders", Read("GET order-1"), Session(write));
  Report("read of the same session through proxy-5", ReadResult(read) == "placed",
         fmt::format("\"{}\" from {}", ReadResult(read), read.body.value("served_by", "?")));
}

void ShowReplicaReads(Fleet& fleet) {
  constexpr int kReads = 200;
  const std::string primary = fleet.Primary(0, "orders");
  CallerAnswer last = fleet.Execute(0, "orders", Read("GET order-1"));
  int by_replica = 0;
  for (int i = 0; i < kReads; ++i) {
    last = fleet.Execute(i % fleet.ProxyCount(), "orders", Read("GET order-1"), Session(last));
    if (last.outcome == "result" && last.body.value("served_by", primary) != primary) {
      ++by_replica;
    }
  }
  Report("reads served by replicas", by_replica > kReads / 2,
         fmt::format("{} of {}", by_replica, kReads));
}

void ShowAtMostOnce(Fleet& fleet) {
  const HttpHeaders key = {HttpHeader{"Idempotency-Key", "batch-7"}};
  const CallerAnswer first = fleet.Execute(1, "orders", Write("ADD pallets 2"), key);
  const CallerAnswer second = fleet.Execute(4, "orders", Write("ADD pallets 2"), key);
  Report("same request id through another proxy",
         ReadResult(first) == "2" && ReadResult(second) == "2",
         fmt::format("results \"{}\" and \"{}\"", ReadResult(first), ReadResult(second)));
}

void ShowFailover(Fleet& fleet) {
  const std::string old_primary = fleet.Primary(0, "orders");
  const CallerAnswer before = fleet.Execute(0, "orders", Write("PUT order-2 placed"));
  const auto killed_at = steady_clock::now();
  fleet.BackendProcess(old_primary).Signal(SIGKILL);
  CallerAnswer after;
  const bool written = Fleet::WaitUntil(
      [&] {
        after = fleet.Execute(2, "orders", Write("PUT order-3 placed"), Session(before));
        return after.outcome == "result";
      },
      seconds(20));
  const auto gap = duration_cast<milliseconds>(steady_clock::now() - killed_at);
  Report("first acknowledged write after the loss", written && gap <= kFailoverTarget,
         fmt::format("{} killed, {} ms, served by {}", old_primary, gap.count(),
                     after.body.value("served_by", "?")));
  const CallerAnswer read = fleet.Execute(3, "orders", Read("GET order-2"), Session(after));
  Report("write acknowledged before the loss", ReadResult(read) == "placed",
         fmt::format("\"{}\"", ReadResult(read)));
}

// Writes through proxies 1 and 3 and stops proxy 1. Like a load balancer, the callers stop using
// proxy 1 when it is no longer ready.
void ShowGracefulStop(Fleet& fleet) {
  constexpr int kStopping = 1;
  constexpr int kStaying = 3;
  constexpr int kMinAnswered = 50;
  std::atomic<bool> done{false};
  std::atomic<bool> ready{true};
  std::atomic<int> answered{0};
  std::atomic<int> refused{0};
  std::atomic<int> cut{0};
  std::vector<std::thread> threads;
  threads.emplace_back([&] {
    Fleet::WaitUntil([&] { return done || !(ready = IsReady(fleet, kStopping)); }, seconds(30));
  });
  for (int thread = 0; thread < kLoadThreads; ++thread) {
    threads.emplace_back([&, thread] {
      for (int count = 0; !done; ++count) {
        const std::string key = fmt::format("load-{}-{}", thread, count);
        const int proxy = ready && thread % 2 == 0 ? kStopping : kStaying;
        const CallerAnswer answer = fleet.Execute(proxy, "orders", Write("PUT " + key + " x"),
                                                  {HttpHeader{"Idempotency-Key", key}});
        std::atomic<int>& counter = answer.outcome == "result"    ? answered
                                    : answer.outcome == "not_run" ? refused
                                                                  : cut;
        ++counter;
      }
    });
  }
  Fleet::WaitUntil([&] { return answered > kMinAnswered; }, seconds(10));
  fleet.ProxyProcess(kStopping).Signal(SIGTERM);
  const std::optional<int> status = fleet.ProxyProcess(kStopping).Wait(seconds(15));
  done = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  Report("graceful stop of proxy-1 under load",
         status == 0 && cut == 0 && refused == 0 && answered > kMinAnswered,
         fmt::format("exit {}, {} answered, {} refused, {} cut off",
                     status ? std::to_string(*status) : "none", answered.load(), refused.load(),
                     cut.load()));
}

int RunDemo() {
  FleetOptions options;
  options.proxy_flags = {"--drain-delay=500ms"};
  Fleet fleet(options);
  const auto started_at = steady_clock::now();
  fleet.Start();
  Report("fleet of 6 proxies in 3 data centres ready", true,
         fmt::format("{} ms, ticket 1 in force",
                     duration_cast<milliseconds>(steady_clock::now() - started_at).count()));
  void (*const steps[])(Fleet&) = {ShowReadYourWrites, ShowReplicaReads, ShowAtMostOnce,
                                   ShowFailover, ShowGracefulStop};
  for (auto* const step : steps) {
    if (interrupted) {
      fmt::print("interrupted\n");
      return 1;
    }
    step(fleet);
  }
  fmt::print("{}\n", failures == 0 ? "all steps passed" : "some steps failed");
  return failures == 0 ? 0 : 1;
}

}  // namespace
}  // namespace sycamoredrum

int main() {
  // The handler only sets a flag, so that the destructor of the fleet ends the processes after an
  // interrupt, too.
  const auto interrupt = [](int) { sycamoredrum::interrupted = true; };
  signal(SIGINT, interrupt);
  signal(SIGTERM, interrupt);
  try {
    return sycamoredrum::RunDemo();
  } catch (const std::exception& error) {
    fmt::print(stderr, "FAILED {}\n", error.what());
    return 1;
  }
}
