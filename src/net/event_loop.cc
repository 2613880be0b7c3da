#include "sycamoredrum/event_loop.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <stdexcept>
#include <utility>

#include "event_loop_impl.h"

namespace sycamoredrum {
namespace {

void* RunWorker(void* io) {
  static_cast<boost::asio::io_context*>(io)->run();
  return nullptr;
}

}  // namespace

void EventLoop::Impl::WaitForSignal() {
  this->signals.async_wait([this](const boost::system::error_code& error, int signal) {
    if (error) {
      return;
    }
    this->on_signal(signal);
    this->WaitForSignal();
  });
}

void EventLoop::Impl::WaitForReloadSignal() {
  this->reload_signals.async_wait([this](const boost::system::error_code& error, int) {
    if (error) {
      return;
    }
    this->on_reload();
    this->WaitForReloadSignal();
  });
}

void EventLoop::Impl::RunOnJoin(std::function<void()> action) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->join_actions.push_back(std::move(action));
}

EventLoop::EventLoop(int worker_count) : impl(std::make_unique<Impl>()) {
  for (int i = 0; i < std::max(worker_count, 1); ++i) {
    pthread_t worker{};
    if (pthread_create(&worker, nullptr, &RunWorker, &this->impl->io) != 0) {
      this->Stop();
      this->Join();
      throw std::runtime_error("cannot create a worker thread");
    }
    this->impl->workers.push_back(worker);
  }
}

EventLoop::~EventLoop() {
  this->Stop();
  this->Join();
}

TimePoint EventLoop::Now() const { return std::chrono::steady_clock::now(); }

void EventLoop::RunAfter(Duration delay, std::function<void()> callback) {
  auto timer = std::make_shared<boost::asio::steady_timer>(this->impl->io, delay);
  timer->async_wait(
      [timer, callback = std::move(callback)](const boost::system::error_code& error) {
        if (!error) {
          callback();
        }
      });
}

void EventLoop::Post(std::function<void()> callback) {
  boost::asio::post(this->impl->io, std::move(callback));
}

void EventLoop::OnStopSignal(std::function<void(int)> callback) {
  this->impl->on_signal = std::move(callback);
  this->impl->signals.add(SIGTERM);
  this->impl->signals.add(SIGINT);
  this->impl->WaitForSignal();
}

void EventLoop::OnReloadSignal(std::function<void()> callback) {
  this->impl->on_reload = std::move(callback);
  this->impl->reload_signals.add(SIGHUP);
  this->impl->WaitForReloadSignal();
}

void EventLoop::Stop() { this->impl->io.stop(); }

void EventLoop::Join() {
  for (const pthread_t worker : std::exchange(this->impl->workers, {})) {
    pthread_join(worker, nullptr);
  }
  std::vector<std::function<void()>> actions;
  {
    const std::lock_guard<std::mutex> lock(this->impl->mutex);
    actions.swap(this->impl->join_actions);
  }
  for (const std::function<void()>& action : actions) {
    action();
  }
}

}  // namespace sycamoredrum
