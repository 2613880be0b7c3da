#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "fleet.h"
#include "history.h"

namespace sycamoredrum {

/// Options of a Load. Each caller repeatedly writes an item and then reads its key through the next
/// proxy.
struct LoadOptions {
  std::string database = "orders";
  std::string name = "c";  ///< Prefix of all keys and request ids; unique in a test.
  int callers = 6;
  int max_attempts = 4;                     ///< Attempts of a write, all with the same request id.
  std::chrono::milliseconds pause{5};       ///< Between two requests of a caller.
  std::chrono::milliseconds timeout{3000};  ///< Of one attempt; above the 2 s deadline of requests.
  /// Optional. Callers send no new request to a proxy for which it returns false, unless it returns
  /// false for all of them.
  std::function<bool(int proxy)> may_use;
};

/// Callers that run in threads from construction until Stop and record every attempt.
class Load {
 public:
  Load(Fleet& fleet, LoadOptions options);
  ~Load();
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  /// Waits for the requests in flight and joins the threads.
  void Stop();

  int Acknowledged() const { return this->acknowledged; }

  /// Waits until `count` more writes are acknowledged. Returns false after `limit`.
  bool WaitForWrites(int count, std::chrono::milliseconds limit) const;

  /// Waits until a write that started at or after `from` is acknowledged. Returns the time from
  /// `from` to its answer, or nothing after `limit`.
  std::optional<std::chrono::milliseconds> GapAfter(std::chrono::steady_clock::time_point from,
                                                    std::chrono::milliseconds limit) const;

  /// All attempts so far.
  std::vector<Attempt> Attempts() const;

  /// Checks the history against the values on the backend server `primary`. Call it after Stop.
  std::vector<Violation> Check(const std::string& primary) const;

 private:
  struct Caller {
    int number = 0;
    int requests = 0;
    /// True if the outcome of a write since the last successful read is unknown.
    bool unconfirmed = false;
    std::string session;
  };

  void Run(int number);
  void Write(Caller& caller, int number);
  void Read(Caller& caller, int number);
  Attempt Send(Caller& caller, Attempt attempt);
  int ChooseProxy(Caller& caller) const;
  void Pause() const;
  std::string Key(const Caller& caller, int number) const;

  Fleet& fleet;
  LoadOptions options;
  std::atomic<bool> stopping{false};
  std::atomic<int> acknowledged{0};
  mutable std::mutex mutex;
  std::vector<Attempt> attempts;  ///< Guarded by `mutex`.
  std::vector<std::thread> threads;
};

/// Load balancer: polls /readyz of each proxy every 50 ms, and uses the proxies that are ready.
class Balancer {
 public:
  explicit Balancer(Fleet& fleet);
  ~Balancer();
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  bool MayUse(int proxy) const { return this->ready.at(proxy); }

 private:
  void Run();

  Fleet& fleet;
  std::vector<std::atomic<bool>> ready;
  std::atomic<bool> stopping{false};
  std::thread thread;
};

}  // namespace sycamoredrum
