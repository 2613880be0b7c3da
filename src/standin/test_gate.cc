#include "test_gate.h"

namespace sycamoredrum {

std::uint64_t TestGate::SetFrozen(bool value) {
  std::uint64_t freeze = 0;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->frozen = value;
    freeze = ++this->freeze_count;
  }
  this->RunReleased();
  return freeze;
}

void TestGate::EndFreeze(std::uint64_t freeze) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (freeze != this->freeze_count) {
      return;
    }
    this->frozen = false;
  }
  this->RunReleased();
}

void TestGate::SetCut(std::set<std::string> hosts, CutMode mode) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->cut_hosts = std::move(hosts);
    this->cut_mode = mode;
  }
  this->RunReleased();
}

bool TestGate::Frozen() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->frozen;
}

bool TestGate::Blocks(const std::string& host) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->frozen || this->IsCut(host);
}

bool TestGate::Refuses(const std::string& host) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->cut_mode == CutMode::kClose && this->IsCut(host);
}

void TestGate::Run(const std::string& host, std::function<void()> action) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->HoldsBack(host)) {
      this->held_actions.emplace_back(host, std::move(action));
      return;
    }
  }
  action();
}

bool TestGate::IsCut(const std::string& host) const {
  return this->cut_hosts.count(host) != 0 || this->cut_hosts.count("*") != 0;
}

bool TestGate::HoldsBack(const std::string& host) const {
  return this->frozen || (this->cut_mode == CutMode::kSilent && this->IsCut(host));
}

void TestGate::RunReleased() {
  std::vector<std::function<void()>> runnable;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<std::pair<std::string, std::function<void()>>> still_held;
    for (auto& [host, action] : this->held_actions) {
      if (this->HoldsBack(host)) {
        still_held.emplace_back(host, std::move(action));
      } else {
        runnable.push_back(std::move(action));
      }
    }
    this->held_actions = std::move(still_held);
  }
  for (const auto& action : runnable) {
    action();
  }
}

}  // namespace sycamoredrum
