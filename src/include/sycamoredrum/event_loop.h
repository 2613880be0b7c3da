#pragma once

#include <functional>
#include <memory>

#include "sycamoredrum/clock.h"

namespace sycamoredrum {

/// A pool of POSIX worker threads that runs the callbacks of timers, sockets and Post. Callbacks
/// run concurrently on any worker, so data that several callbacks use needs a mutex. No lock of
/// this library is held while a callback runs.
///
/// Objects that use the loop (HttpServer, HttpClient, PeerLink, ...) must be destroyed before the
/// loop, and no earlier than their own contract allows. The usual order is Stop(), Join(), destroy
/// the users of the loop, destroy the loop.
class EventLoop : public Clock, public Scheduler {
 public:
  /// Starts `worker_count` threads (at least one).
  explicit EventLoop(int worker_count);
  /// Stops the loop and joins the workers. Callbacks that have not run are destroyed without a
  /// call. Must not run on a worker.
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Time of the steady clock. Thread-safe.
  TimePoint Now() const override;

  /// Runs `callback` on a worker after `delay`. Thread-safe.
  void RunAfter(Duration delay, std::function<void()> callback) override;

  /// Runs `callback` as soon as a worker is free, never inside Post itself. Thread-safe.
  void Post(std::function<void()> callback);

  /// Calls `callback` with the signal number for each SIGTERM and SIGINT that the process receives
  /// from now on. May be called once.
  void OnStopSignal(std::function<void(int signal)> callback);

  /// Calls `callback` for each SIGHUP that the process receives from now on. May be called once.
  void OnReloadSignal(std::function<void()> callback);

  /// Makes each worker exit after its current callback. Thread-safe; may be called by a callback.
  void Stop();

  /// Blocks until Stop was called and all workers have exited. Must not run on a worker.
  void Join();

  /// Only for the sources of this library.
  struct Impl;
  Impl& Internal() { return *this->impl; }

 private:
  std::unique_ptr<Impl> impl;
};

}  // namespace sycamoredrum
