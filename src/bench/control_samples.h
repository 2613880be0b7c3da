#pragma once

#include <cstdint>
#include <vector>

namespace sycamoredrum {

/// Cost of membership for one node.
struct MembershipSample {
  int nodes = 0;
  double replacements_per_second = 0;  ///< In the whole fleet.
  double datagrams_per_second = 0;
  double datagram_bytes_per_second = 0;
  double exchange_bytes_per_second = 0;
  double core_share = 0;  ///< Processor time per second of virtual time, with the simulation's.
  double heap_bytes = 0;
  double known_share = 0;  ///< Pairs of members that see each other as live, at the end.
};

MembershipSample MeasureMembership(int nodes, double replacements_per_second, int warm_up_seconds,
                                   int measured_seconds, std::uint64_t seed);

/// What the loss of one of eight data centres costs each of the other nodes.
struct LossSample {
  int nodes = 0;                      ///< Before the loss.
  double noticed_seconds = 0;         ///< Until nearly all pairs agree on the loss.
  double worst_bytes_per_second = 0;  ///< Datagrams and exchanges, of the worst second.
  double mean_bytes_per_second = 0;   ///< Over the first minute.
  double worst_core_share = 0;        ///< Of the worst second.
};

LossSample MeasureLoss(int nodes, std::uint64_t seed);

/// Spread of tickets over a fleet.
struct SpreadSample {
  int nodes = 0;
  double announcement_loss = 0;
  double median_seconds = 0;
  double worst_seconds = 0;
  double messages_per_ticket_and_node = 0;
  double bytes_per_ticket_and_node = 0;
  double processor_seconds_per_ticket_and_node = 0;
};

SpreadSample MeasureSpread(int nodes, double announcement_loss, int tickets, std::uint64_t seed);

/// Cost of the configuration on one node.
struct ConfigurationSample {
  int databases = 0;
  double heap_bytes = 0;             ///< Configuration with the tickets that built it.
  double heap_bytes_per_ticket = 0;  ///< Growth with each later ticket of one database.
  double json_bytes_per_ticket = 0;
  double seconds_per_ticket = 0;  ///< Processor time to apply it.
};

ConfigurationSample MeasureConfiguration(int databases, int tickets);

/// Cost of assigning all duties once, on one node.
struct DutySample {
  int nodes = 0;
  int databases = 0;
  double seconds = 0;
};

DutySample MeasureDuties(int nodes, int databases);

}  // namespace sycamoredrum
