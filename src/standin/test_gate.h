#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sycamoredrum {

/// Test switches that keep a stand-in from receiving and answering. Work that is held back runs, in
/// its order, when the switch is turned off, as it does in a process that was paused or behind a
/// network that delivers late.
///
/// Thread-safe. Its mutex is never held while an action runs and comes after all other locks.
class TestGate {
 public:
  /// What peers notice of a cut.
  enum class CutMode {
    kSilent,  ///< Requests and answers are held back.
    kClose,   ///< Connections are closed.
  };

  /// Returns the number of this freeze, for Thaw.
  std::uint64_t SetFrozen(bool value);
  /// Ends the freeze unless SetFrozen was called again since it returned `freeze`.
  void Thaw(std::uint64_t freeze);
  /// Replaces the cut. The host "*" stands for every host.
  void SetCut(std::set<std::string> hosts, CutMode mode);

  bool Frozen() const;
  /// True if nothing may be exchanged with `host`.
  bool Blocks(const std::string& host) const;
  /// True if connections with `host` are to be closed.
  bool Refuses(const std::string& host) const;

  /// Runs `action` at once, or when nothing blocks `host` any more.
  void Run(const std::string& host, std::function<void()> action);

 private:
  bool IsCut(const std::string& host) const;
  bool Holds(const std::string& host) const;
  void Release();

  mutable std::mutex mutex;
  bool frozen = false;
  std::uint64_t freeze_count = 0;
  std::set<std::string> cut_hosts;
  CutMode cut_mode = CutMode::kSilent;
  std::vector<std::pair<std::string, std::function<void()>>> held;
};

}  // namespace sycamoredrum
