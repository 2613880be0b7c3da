#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <utility>

#include "sycamoredrum/clock.h"

namespace sycamoredrum {

/// Serialises access to one object that is not thread-safe, such as a Membership: its timers, the
/// callbacks of its hooks and the calls from other services of the daemon run under one mutex.
///
/// Lock order of the daemon: the mutex of Proxy's Refresh, then that of WatcherService, then the
/// mutex of at most one SerialContext. Code that holds the latter may briefly take the following
/// mutexes, one at a time: those of Snapshot, ViewTable, PeerLinks, Logger, Metrics and the classes
/// of the library net. To call an object of another context, code posts to the event loop.
///
/// The daemon uses std::mutex because ThreadSanitizer does not detect the locks of a libabsl that
/// was built without it, and reports accesses under absl::Mutex as races.
class SerialContext : public Scheduler, public std::enable_shared_from_this<SerialContext> {
 public:
  static std::shared_ptr<SerialContext> Create(Scheduler& timers) {
    return std::shared_ptr<SerialContext>(new SerialContext(timers));
  }

  /// Runs `callback` under the mutex after `delay`, unless Close was called before.
  void RunAfter(Duration delay, std::function<void()> callback) override {
    this->timers.RunAfter(delay, this->Wrap(std::move(callback)));
  }

  /// Returns a callback that runs `callback` under the mutex, unless Close was called before. A
  /// thread that holds the mutex must not call the returned callback.
  template <typename... Args>
  std::function<void(Args...)> Wrap(std::function<void(Args...)> callback) {
    return [self = this->shared_from_this(), callback = std::move(callback)](Args... args) {
      const std::lock_guard<std::mutex> lock(self->mutex);
      if (!self->closed) {
        callback(args...);
      }
    };
  }

  /// Calls `action` under the mutex and returns its result.
  template <typename Action>
  auto Run(Action action) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return action();
  }

  /// Disables all wrapped callbacks and timers. The protected object may be destroyed afterwards.
  void Close() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->closed = true;
  }

 private:
  explicit SerialContext(Scheduler& timers) : timers(timers) {}

  Scheduler& timers;
  std::mutex mutex;
  bool closed = false;
};

}  // namespace sycamoredrum
