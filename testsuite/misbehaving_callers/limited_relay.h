#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "../support/child_process.h"
#include "sycamoredrum/types.h"

namespace sycamoredrum {

/// A relay process with lowered limits. They are passed in the environment: a relay ignores
/// variables that it does not know, so that a version without these limits starts as well.
class LimitedRelay {
 public:
  static constexpr std::uint16_t kCallerPort = 8080;
  static constexpr std::uint16_t kReadyPort = 8081;
  static constexpr std::uint16_t kPeerPort = 8082;
  static constexpr std::uint16_t kMetricsPort = 8083;

  /// Memory of the whole process.
  static constexpr std::size_t kMemoryLimitKiB = std::size_t{64} * 1024;
  static constexpr std::size_t kMaxSessions = 250;
  static constexpr std::size_t kMaxUnopenedSessions = 32;
  static constexpr std::size_t kMaxHttpConnections = 16;

  explicit LimitedRelay(const Endpoint& platform);

  bool IsReady() const;
  /// True if the process has not ended.
  bool Lives() const { return !this->process->Wait(std::chrono::milliseconds(0)).has_value(); }
  /// Peak of the resident memory (VmHWM).
  std::size_t PeakMemoryKiB() const;
  std::size_t OpenDescriptors() const;
  std::string Errors() const;

  const std::string host;

 private:
  const std::string error_file;
  std::unique_ptr<ChildProcess> process;
};

}  // namespace sycamoredrum
