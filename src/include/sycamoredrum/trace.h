#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "sycamoredrum/clock.h"

namespace sycamoredrum {

/// One hop of a request. Finished by Finish or by the destructor. A span may be finished on another
/// thread than the one that started it, but is not used by two threads at once.
class TraceSpan {
 public:
  class Impl;

  explicit TraceSpan(std::unique_ptr<Impl> impl);
  TraceSpan(TraceSpan&&) noexcept;
  TraceSpan& operator=(TraceSpan&&) noexcept;
  ~TraceSpan();

  void SetTag(std::string_view key, std::string_view value);
  void Finish();

  /// W3C trace context header value for the next hop.
  std::string TraceParent() const;

  /// Trace id, 32 hexadecimal digits. Given to callers in error answers.
  std::string TraceId() const;

 private:
  std::unique_ptr<Impl> impl;
};

/// Starts spans through the OpenTracing interface and records the sampled ones as JSON lines:
/// {"trace", "span", "parent", "name", "start_us", "duration_us", "tags"}, times in microseconds
/// since the Unix epoch. Thread-safe.
class Tracer {
 public:
  /// Receives a whole JSON line without the line end, on the thread that finishes the span.
  using Sink = std::function<void(const std::string& line)>;

  /// `sample_ratio` in [0, 1] applies to traces that start here; a trace that comes in with a
  /// `traceparent` keeps its own sampling flag.
  Tracer(double sample_ratio, RandomSource random, Sink sink);
  ~Tracer();

  /// Starts a span. `trace_parent` is the W3C header value of the previous hop; an empty or
  /// malformed one starts a new trace.
  TraceSpan StartSpan(std::string_view name, std::string_view trace_parent) const;

 private:
  class Recorder;
  std::shared_ptr<Recorder> recorder;
};

}  // namespace sycamoredrum
