#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "sycamoredrum/clock.h"

namespace sycamoredrum {

/// Trace span of one hop of a request. Ends with Finish() or the destructor. A span may be finished
/// on another thread than the one that started it, but must not be used by two threads at once.
class TraceSpan {
 public:
  class Impl;

  explicit TraceSpan(std::unique_ptr<Impl> impl);
  TraceSpan(TraceSpan&&) noexcept;
  TraceSpan& operator=(TraceSpan&&) noexcept;
  ~TraceSpan();

  void SetTag(std::string_view key, std::string_view value);
  void Finish();

  /// Value of the W3C `traceparent` header for the next hop.
  std::string TraceParent() const;

  /// Trace id, 32 hexadecimal digits. Returned to callers in error responses.
  std::string TraceId() const;

 private:
  std::unique_ptr<Impl> impl;
};

/// Starts spans through the OpenTracing interface and writes the sampled ones as JSON lines:
/// {"trace", "span", "parent", "name", "start_us", "duration_us", "tags"}, times in microseconds
/// since the Unix epoch. Thread-safe.
class Tracer {
 public:
  /// Receives a complete JSON line without the line terminator, on the thread that finishes the
  /// span.
  using Sink = std::function<void(const std::string& line)>;

  /// `sample_ratio` in [0, 1] applies to traces that start in this process. A trace that continues
  /// from a `traceparent` keeps its sampling flag.
  Tracer(double sample_ratio, RandomSource random, Sink sink);
  ~Tracer();

  /// Starts a span. `trace_parent` is the `traceparent` header value of the previous hop; an empty
  /// or malformed value starts a new trace.
  TraceSpan StartSpan(std::string_view name, std::string_view trace_parent) const;

 private:
  class Recorder;
  std::shared_ptr<Recorder> recorder;
};

}  // namespace sycamoredrum
