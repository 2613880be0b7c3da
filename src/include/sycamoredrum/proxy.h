#pragma once

#include <memory>
#include <string>

#include "sycamoredrum/settings.h"
#include "sycamoredrum/trace.h"

namespace sycamoredrum {

/// The proxy daemon. Connects the libraries, which contain the decision logic, to the network, the
/// platform and the backend servers.
class Proxy {
 public:
  /// `trace_sink`, if given, receives the finished spans instead of the output selected in the
  /// settings. Several threads may call it concurrently.
  explicit Proxy(ProxySettings settings, Tracer::Sink trace_sink = nullptr);
  ~Proxy();
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  /// Opens the ports and joins the fleet. Returns false on failure; LastReason() then describes
  /// it.
  bool Start();

  /// Blocks until a graceful stop, requested by SIGTERM, SIGINT or an operator, is complete.
  void Run();

  const std::string& LastReason() const { return this->last_reason; }

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
  std::string last_reason;
};

}  // namespace sycamoredrum
