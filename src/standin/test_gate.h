#pragma once

#include <cstdint>
#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sycamoredrum {

/// Simulates a paused process (a freeze) and a network partition (a cut) by holding back the
/// actions with which a stand-in receives and answers. Held actions run in their order when the
/// switch is turned off, like the work of a resumed process or messages that the network delivers
/// late.
///
/// Thread-safe. Its mutex is never held while an action runs and is the last in the lock
/// order.
class TestGate {
 public:
  /// How a cut appears to the peers.
  enum class CutMode {
    kSilent,  ///< Requests and answers are held back.
    kClose,   ///< Connections are closed.
  };

  /// Returns the number of this freeze, for EndFreeze.
  std::uint64_t SetFrozen(bool value);
  /// Ends the freeze, unless SetFrozen has been called again since the call that returned `freeze`.
  void EndFreeze(std::uint64_t freeze);
  /// Replaces the cut. The host "*" stands for every host.
  void SetCut(std::set<std::string> hosts, CutMode mode);

  bool Frozen() const;
  /// True if a freeze or a cut of either mode stops the traffic with `host`.
  bool Blocks(const std::string& host) const;
  /// True if a cut with mode kClose applies to `host`, so that its connections are to be closed.
  bool Refuses(const std::string& host) const;

  /// Runs `action` at once, or when neither a freeze nor a silent cut applies to `host` any more.
  void Run(const std::string& host, std::function<void()> action);

 private:
  bool IsCut(const std::string& host) const;
  bool HoldsBack(const std::string& host) const;
  void RunReleased();

  mutable std::mutex mutex;
  bool frozen = false;
  std::uint64_t freeze_count = 0;
  std::set<std::string> cut_hosts;
  CutMode cut_mode = CutMode::kSilent;
  std::vector<std::pair<std::string, std::function<void()>>> held_actions;
};

}  // namespace sycamoredrum
