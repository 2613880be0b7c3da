#pragma once

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "sycamoredrum/configuration_sync.h"
#include "sycamoredrum/manual_clock.h"
#include "test_tickets.h"

namespace sycamoredrum {

/// Proxies that keep their configuration up to date under one ManualClock, with two platform
/// watchers in each data centre. Membership is replaced by its one effect on the configuration:
/// every second each member and a random one tell each other their numbers. Not thread-safe.
class ConfigurationFleet {
 public:
  /// `announcement_loss` is the share of lost announcements.
  ConfigurationFleet(int nodes, double announcement_loss, std::uint64_t seed);

  /// Has the next ticket accepted and returns the time until it is in force on every node. Returns
  /// `limit` if that takes longer.
  Duration Spread(Duration limit);

  void Run(Duration time) { this->clock.Advance(time); }

  std::uint64_t Messages() const { return this->messages; }
  std::uint64_t Bytes() const { return this->bytes; }

 private:
  struct Node {
    ConfigurationLog log;
    std::unique_ptr<ConfigurationSync> sync;
  };

  void AddNode(int index);
  void Gossip(int index);
  void Tell(int from, int to, std::uint64_t number);
  void Answer(int from, int to, std::uint64_t after, std::size_t limit,
              ConfigurationSyncHooks::PullCallback done);
  void Count(std::size_t size);
  bool InForceEverywhere() const;

  ManualClock clock;
  std::mt19937_64 random;
  double announcement_loss;
  FakePlatform platform;
  std::vector<std::string> ids;
  std::vector<std::unique_ptr<Node>> nodes;
  std::uint64_t last_ticket = 0;
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

}  // namespace sycamoredrum
