#include <deque>
#include <map>
#include <mutex>
#include <utility>

#include "http_stream.h"
#include "sycamoredrum/http.h"

namespace sycamoredrum {

HttpConnection::HttpConnection(EventLoop& loop, HttpClientOptions options, const Endpoint& endpoint)
    : stream(std::make_shared<Stream>(loop, std::move(options), endpoint)) {}

HttpConnection::~HttpConnection() { this->stream->Close(); }

void HttpConnection::Connect(Duration timeout, HttpCallback callback) {
  this->stream->Connect(std::chrono::steady_clock::now() + timeout, std::move(callback));
}

void HttpConnection::Send(const HttpRequest& request, Duration timeout, HttpCallback callback) {
  this->stream->Send(request, HttpDeadline{std::chrono::steady_clock::now() + timeout, {}, {}},
                     std::move(callback));
}

void HttpConnection::Close() { this->stream->Close(); }

bool HttpConnection::IsOpen() const { return this->stream->IsOpen(); }

struct HttpClient::State : public std::enable_shared_from_this<HttpClient::State> {
  using Stream = HttpConnection::Stream;
  struct IdleStream {
    std::shared_ptr<Stream> stream;
    TimePoint since;
  };
  struct PendingCall {
    Endpoint endpoint;
    HttpRequest request;
    HttpDeadline deadline;
    HttpCallback callback;
  };

  State(EventLoop& loop, HttpClientOptions options) : loop(loop), options(std::move(options)) {}

  std::shared_ptr<Stream> TakeIdle(const Endpoint& endpoint);
  void StoreIdle(const Endpoint& endpoint, std::shared_ptr<Stream> stream);
  void SendOnIdleConnection(const std::shared_ptr<PendingCall>& call,
                            const std::shared_ptr<Stream>& stream);
  void SendOnNewConnection(const std::shared_ptr<PendingCall>& call);
  void Finish(const PendingCall& call, const std::shared_ptr<Stream>& stream,
              const HttpResult& result);

  EventLoop& loop;
  const HttpClientOptions options;
  std::mutex mutex;  // Guards the members below; never held while a callback runs.
  std::map<Endpoint, std::deque<IdleStream>> idle;
  bool destroyed = false;
};

// Returns the most recently used idle connection that is still open, or null, and closes those that
// were idle for longer than `max_idle`.
std::shared_ptr<HttpConnection::Stream> HttpClient::State::TakeIdle(const Endpoint& endpoint) {
  const TimePoint oldest = this->loop.Now() - this->options.max_idle;
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->idle.find(endpoint);
  if (found == this->idle.end()) {
    return nullptr;
  }
  std::deque<IdleStream>& streams = found->second;
  while (!streams.empty() && streams.front().since < oldest) {
    streams.front().stream->Close();
    streams.pop_front();
  }
  std::shared_ptr<Stream> taken;
  while (taken == nullptr && !streams.empty()) {
    if (streams.back().stream->IsOpen()) {
      taken = std::move(streams.back().stream);
    }
    streams.pop_back();
  }
  if (streams.empty()) {
    this->idle.erase(found);
  }
  return taken;
}

void HttpClient::State::StoreIdle(const Endpoint& endpoint, std::shared_ptr<Stream> stream) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->destroyed) {
    stream->Close();
    return;
  }
  std::deque<IdleStream>& streams = this->idle[endpoint];
  streams.push_back(IdleStream{std::move(stream), this->loop.Now()});
  if (streams.size() > this->options.max_idle_per_endpoint) {
    streams.front().stream->Close();
    streams.pop_front();
  }
}

// If the server has closed the idle connection and nothing was sent on it, the request is sent on a
// new connection.
void HttpClient::State::SendOnIdleConnection(const std::shared_ptr<PendingCall>& call,
                                             const std::shared_ptr<Stream>& stream) {
  stream->Send(call->request, call->deadline,
               [self = this->shared_from_this(), call, stream](const HttpResult& result) {
                 if (result.error == HttpError::kNotSent) {
                   self->SendOnNewConnection(call);
                 } else {
                   self->Finish(*call, stream, result);
                 }
               });
}

void HttpClient::State::SendOnNewConnection(const std::shared_ptr<PendingCall>& call) {
  auto stream = std::make_shared<Stream>(this->loop, this->options, call->endpoint);
  stream->Connect(call->deadline.call, [self = this->shared_from_this(), call,
                                        stream](const HttpResult& connected) {
    if (!connected.Ok()) {
      call->callback(connected);
      return;
    }
    stream->Send(call->request, call->deadline, [self, call, stream](const HttpResult& result) {
      self->Finish(*call, stream, result);
    });
  });
}

void HttpClient::State::Finish(const PendingCall& call, const std::shared_ptr<Stream>& stream,
                               const HttpResult& result) {
  if (stream->IsOpen()) {
    this->StoreIdle(call.endpoint, stream);
  }
  call.callback(result);
}

HttpClient::HttpClient(EventLoop& loop, HttpClientOptions options)
    : state(std::make_shared<State>(loop, std::move(options))) {}

HttpClient::~HttpClient() {
  const std::lock_guard<std::mutex> lock(this->state->mutex);
  this->state->destroyed = true;
  this->state->idle.clear();
}

void HttpClient::Call(const Endpoint& endpoint, const HttpRequest& request, Duration timeout,
                      HttpCallback callback) {
  this->Call(endpoint, request, HttpTimeLimits{timeout, {}, {}}, std::move(callback));
}

void HttpClient::Call(const Endpoint& endpoint, const HttpRequest& request,
                      const HttpTimeLimits& limits, HttpCallback callback) {
  const TimePoint now = this->state->loop.Now();
  const HttpDeadline deadline{now + limits.call, limits.progress, now + limits.total};
  auto call = std::make_shared<State::PendingCall>(
      State::PendingCall{endpoint, request, deadline, std::move(callback)});
  if (const std::shared_ptr<State::Stream> stream = this->state->TakeIdle(endpoint)) {
    this->state->SendOnIdleConnection(call, stream);
  } else {
    this->state->SendOnNewConnection(call);
  }
}

}  // namespace sycamoredrum
