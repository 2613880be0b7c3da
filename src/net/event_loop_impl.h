#pragma once

#include <pthread.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <vector>

#include "sycamoredrum/event_loop.h"

namespace sycamoredrum {

/// The asio context of an EventLoop and its workers.
struct EventLoop::Impl {
  void WaitForSignal();
  void WaitForReloadSignal();

  boost::asio::io_context io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work =
      boost::asio::make_work_guard(io);
  boost::asio::signal_set signals{io};
  std::function<void(int)> on_signal;
  boost::asio::signal_set reload_signals{io};
  std::function<void()> on_reload;
  std::vector<pthread_t> workers;  ///< Empty after Join.
};

}  // namespace sycamoredrum
