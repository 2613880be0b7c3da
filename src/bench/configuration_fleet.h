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

/// Proxies that keep their configuration up to date under one ManualClock. Two proxies in each data
/// centre watch the platform. The simulation has no membership protocol, only its effect on the
/// configuration: every second each proxy and a random other one send each other the number of
/// their configuration. Not thread-safe.
class ConfigurationFleet {
 public:
  /// `announcement_loss` is the share of announcements that are lost, from 0 to 1.
  ConfigurationFleet(int nodes, double announcement_loss, std::uint64_t seed);

  /// Stores the next ticket in the platform and returns the time until it is in force on every
  /// node, or about `limit` if that takes longer.
  Duration PropagateTicket(Duration limit);

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
  void SendNumber(int from, int to, std::uint64_t number);
  void AnswerPull(int from, int to, std::uint64_t after, std::size_t limit,
                  ConfigurationSyncHooks::PullCallback done);
  void CountMessage(std::size_t size);
  bool InForceEverywhere() const;

  ManualClock clock;
  std::mt19937_64 random;
  double announcement_loss;
  FakePlatform platform;
  std::vector<std::string> ids;
  std::vector<std::unique_ptr<Node>> nodes;
  std::uint64_t last_ticket = 0;
  std::uint64_t messages = 0;  ///< Announcements, pulls and their answers.
  std::uint64_t bytes = 0;
};

}  // namespace sycamoredrum
