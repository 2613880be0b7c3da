#pragma once

#include <pthread.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <mutex>
#include <vector>

#include "sycamoredrum/event_loop.h"

namespace sycamoredrum {

/// State of an EventLoop: its asio context, signal handlers and workers.
struct EventLoop::Impl {
  void WaitForSignal();
  void WaitForReloadSignal();
  /// Runs `action` inside Join, after all workers have exited and no callback can run any more.
  void RunOnJoin(std::function<void()> action);

  boost::asio::io_context io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work =
      boost::asio::make_work_guard(io);
  boost::asio::signal_set signals{io};
  std::function<void(int)> on_signal;
  boost::asio::signal_set reload_signals{io};
  std::function<void()> on_reload;
  std::vector<pthread_t> workers;  ///< Empty after Join.
  std::mutex mutex;                // Guards join_actions.
  std::vector<std::function<void()>> join_actions;
};

}  // namespace sycamoredrum
