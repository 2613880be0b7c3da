#pragma once

#include <memory>
#include <string>

#include "sycamoredrum/settings.h"
#include "sycamoredrum/trace.h"

namespace sycamoredrum {

/// The daemon: all adapters between the network and the decision libraries.
class Proxy {
 public:
  /// `trace_sink`, if given, receives the finished spans in place of the output in the settings.
  /// It may be called by several threads at the same time.
  explicit Proxy(ProxySettings settings, Tracer::Sink trace_sink = nullptr);
  ~Proxy();
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  /// Opens the ports and joins the fleet. Returns false on failure; LastReason() then says why.
  bool Start();

  /// Runs until a graceful stop, requested by SIGTERM, SIGINT or an operator, has ended.
  void Run();

  const std::string& LastReason() const { return this->last_reason; }

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
  std::string last_reason;
};

}  // namespace sycamoredrum
