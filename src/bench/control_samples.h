#pragma once

#include <cstdint>
#include <vector>

namespace sycamoredrum {

/// Mean cost of membership for one node.
struct MembershipSample {
  int nodes = 0;
  double replacements_per_second = 0;  ///< In the whole fleet.
  double datagrams_per_second = 0;
  double datagram_bytes_per_second = 0;
  double exchange_bytes_per_second = 0;
  double core_share = 0;  ///< Processor time per virtual second, including the simulation's own.
  double heap_bytes = 0;
  double live_pair_share = 0;  ///< LivePairShare of MembershipFleet at the end.
};

MembershipSample MeasureMembership(int nodes, double replacements_per_second, int warm_up_seconds,
                                   int measured_seconds, std::uint64_t seed);

/// Mean cost, for each of the other nodes, of the loss of one of eight data centres.
struct LossSample {
  int nodes = 0;                      ///< Before the loss.
  double detection_seconds = 0;       ///< Until the loss is detected in 99.9% of the pairs, or 0.
  double worst_bytes_per_second = 0;  ///< Datagrams and exchanges in the worst second.
  double mean_bytes_per_second = 0;   ///< Over the first minute.
  double worst_core_share = 0;        ///< In the worst second.
};

LossSample MeasureLoss(int nodes, std::uint64_t seed);

/// Propagation of tickets through a fleet: the time from the acceptance of a ticket until it is in
/// force on every node, and the cost.
struct PropagationSample {
  int nodes = 0;
  double announcement_loss = 0;
  double median_seconds = 0;
  double worst_seconds = 0;
  double messages_per_ticket_and_node = 0;
  double bytes_per_ticket_and_node = 0;
  double processor_seconds_per_ticket_and_node = 0;
};

PropagationSample MeasurePropagation(int nodes, double announcement_loss, int tickets,
                                     std::uint64_t seed);

/// Cost of the configuration on one node.
struct ConfigurationSample {
  int databases = 0;
  double heap_bytes = 0;             ///< Configuration and the tickets that built it.
  double heap_bytes_per_ticket = 0;  ///< Growth with each later ticket of one database.
  double json_bytes_per_ticket = 0;
  double seconds_per_ticket = 0;  ///< Processor time to apply it.
};

ConfigurationSample MeasureConfiguration(int databases, int tickets);

/// Cost on one node of computing the watchers of all databases and the holders of all backend
/// servers once.
struct DutySample {
  int nodes = 0;
  int databases = 0;
  double seconds = 0;  ///< Processor time.
};

DutySample MeasureDuties(int nodes, int databases);

}  // namespace sycamoredrum
