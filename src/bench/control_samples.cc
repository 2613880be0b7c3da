#include "control_samples.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <memory>
#include <string>
#include <utility>

#include "configuration_fleet.h"
#include "membership_fleet.h"
#include "resource_usage.h"
#include "simulated_links.h"
#include "sycamoredrum/configuration_log.h"
#include "sycamoredrum/duties.h"

namespace sycamoredrum {
namespace {

using std::chrono::seconds;

constexpr int kServersPerDatabase = 3;
constexpr std::size_t kDatabasesPerTicket = 50;
constexpr Duration kPropagationLimit = seconds(30);
constexpr Duration kPauseBetweenTickets = seconds(2);

DatabaseConfig MakeDatabase(int number) {
  DatabaseConfig database;
  database.name = absl::StrCat("database-", number);
  for (int i = 0; i < kServersPerDatabase; ++i) {
    const int data_centre = (number + i) % SimulatedLinks::kDataCentres;
    const int server = number * kServersPerDatabase + i;
    BackendServerConfig config;
    config.id = absl::StrCat(database.name, "-", i);
    config.vm = absl::StrCat("vm-", server);
    config.data_centre = absl::StrCat("data-centre-", data_centre);
    const std::string host =
        absl::StrCat("10.", server / 65536, ".", server / 256 % 256, ".", server % 256);
    config.statements = Endpoint{host, 5432};
    config.control = Endpoint{host, 5433};
    database.backend_servers.push_back(std::move(config));
  }
  return database;
}

SerializedTicket MakeDatabaseTicket(std::uint64_t number, std::vector<DatabaseConfig> databases) {
  Ticket ticket;
  ticket.number = number;
  ticket.id = absl::StrCat("bench-", number);
  ticket.author = "operator";
  ticket.databases = std::move(databases);
  return SerializedTicket{number, SerializeTicket(ticket)};
}

std::vector<Member> MakeMembers(int count) {
  std::vector<Member> members(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    Member& member = members[static_cast<std::size_t>(i)];
    member.id = absl::StrCat("proxy-", i, "-0");
    member.data_centre = absl::StrCat("data-centre-", SimulatedLinks::DataCentreOf(i));
  }
  return members;
}

// Adds `count` databases to the log in tickets of the usual size, kDatabasesPerTicket. Returns the
// number of the last ticket.
std::uint64_t FillConfiguration(ConfigurationLog& log, int count) {
  std::uint64_t number = 0;
  std::vector<DatabaseConfig> batch;
  for (int i = 0; i < count; ++i) {
    batch.push_back(MakeDatabase(i));
    if (batch.size() == kDatabasesPerTicket || i + 1 == count) {
      log.Offer({MakeDatabaseTicket(++number, std::exchange(batch, {}))});
    }
  }
  return number;
}

}  // namespace

MembershipSample MeasureMembership(int nodes, double replacements_per_second, int warm_up_seconds,
                                   int measured_seconds, std::uint64_t seed) {
  const double heap_before = HeapBytes();
  MembershipFleet fleet(nodes, seed);
  fleet.Run(seconds(warm_up_seconds));
  const double heap = HeapBytes() - heap_before;
  fleet.ReplaceMembers(replacements_per_second);
  const FleetTraffic before = fleet.Traffic();
  const double processor_before = ProcessorSeconds();
  fleet.Run(seconds(measured_seconds));
  const double processor = ProcessorSeconds() - processor_before;
  const FleetTraffic after = fleet.Traffic();
  const double node_seconds = static_cast<double>(nodes) * measured_seconds;
  MembershipSample sample;
  sample.nodes = nodes;
  sample.replacements_per_second = replacements_per_second;
  sample.datagrams_per_second =
      static_cast<double>(after.datagrams - before.datagrams) / node_seconds;
  sample.datagram_bytes_per_second =
      static_cast<double>(after.datagram_bytes - before.datagram_bytes) / node_seconds;
  sample.exchange_bytes_per_second =
      static_cast<double>(after.exchange_bytes - before.exchange_bytes) / node_seconds;
  sample.core_share = processor / node_seconds;
  sample.heap_bytes = heap / nodes;
  sample.live_pair_share = fleet.LivePairShare();
  return sample;
}

LossSample MeasureLoss(int nodes, std::uint64_t seed) {
  constexpr int kWarmUpSeconds = 12;
  constexpr int kObservedSeconds = 60;
  constexpr double kDetectionThreshold = 0.999;
  MembershipFleet fleet(nodes, seed);
  fleet.Run(seconds(kWarmUpSeconds));
  fleet.LoseDataCentre(0);
  const double survivors =
      nodes - std::ceil(static_cast<double>(nodes) / SimulatedLinks::kDataCentres);
  LossSample sample;
  sample.nodes = nodes;
  double total = 0;
  for (int second = 1; second <= kObservedSeconds; ++second) {
    const FleetTraffic before = fleet.Traffic();
    const double processor_before = ProcessorSeconds();
    fleet.Run(seconds(1));
    const double processor = (ProcessorSeconds() - processor_before) / survivors;
    const FleetTraffic after = fleet.Traffic();
    const double bytes = static_cast<double>(after.datagram_bytes - before.datagram_bytes +
                                             after.exchange_bytes - before.exchange_bytes) /
                         survivors;
    total += bytes;
    sample.worst_bytes_per_second = std::max(sample.worst_bytes_per_second, bytes);
    sample.worst_core_share = std::max(sample.worst_core_share, processor);
    if (sample.detection_seconds == 0 && fleet.DetectedShare() >= kDetectionThreshold) {
      sample.detection_seconds = second;
    }
  }
  sample.mean_bytes_per_second = total / kObservedSeconds;
  return sample;
}

PropagationSample MeasurePropagation(int nodes, double announcement_loss, int tickets,
                                     std::uint64_t seed) {
  ConfigurationFleet fleet(nodes, announcement_loss, seed);
  fleet.Run(seconds(5));
  // The processor time of the idle fleet over the same virtual time, to be subtracted below.
  const double idle_before = ProcessorSeconds();
  fleet.Run(kPauseBetweenTickets * tickets);
  const double idle = ProcessorSeconds() - idle_before;
  const std::uint64_t messages_before = fleet.Messages();
  const std::uint64_t bytes_before = fleet.Bytes();
  const double processor_before = ProcessorSeconds();
  std::vector<double> times;
  for (int i = 0; i < tickets; ++i) {
    const Duration time = fleet.PropagateTicket(kPropagationLimit);
    times.push_back(std::chrono::duration<double>(time).count());
    fleet.Run(std::max(kPauseBetweenTickets - time, Duration::zero()));
  }
  const double processor = ProcessorSeconds() - processor_before - idle;
  std::sort(times.begin(), times.end());
  const double ticket_node_pairs = static_cast<double>(nodes) * tickets;
  PropagationSample sample;
  sample.nodes = nodes;
  sample.announcement_loss = announcement_loss;
  sample.median_seconds = times[times.size() / 2];
  sample.worst_seconds = times.back();
  sample.messages_per_ticket_and_node =
      static_cast<double>(fleet.Messages() - messages_before) / ticket_node_pairs;
  sample.bytes_per_ticket_and_node =
      static_cast<double>(fleet.Bytes() - bytes_before) / ticket_node_pairs;
  sample.processor_seconds_per_ticket_and_node = processor / ticket_node_pairs;
  return sample;
}

ConfigurationSample MeasureConfiguration(int databases, int tickets) {
  ConfigurationSample sample;
  sample.databases = databases;
  const double heap_before = HeapBytes();
  ConfigurationLog log;
  const std::uint64_t filled = FillConfiguration(log, databases);
  const double heap_filled = HeapBytes();
  sample.heap_bytes = heap_filled - heap_before;
  std::vector<SerializedTicket> changes;
  double json_bytes = 0;
  for (int i = 0; i < tickets; ++i) {
    changes.push_back(MakeDatabaseTicket(filled + 1 + static_cast<std::uint64_t>(i),
                                         {MakeDatabase(i % databases)}));
    json_bytes += static_cast<double>(changes.back().json.size());
  }
  const double heap_with_changes = HeapBytes();
  const double processor_before = ProcessorSeconds();
  for (const SerializedTicket& change : changes) {
    log.Offer({change});
  }
  sample.seconds_per_ticket = (ProcessorSeconds() - processor_before) / tickets;
  sample.heap_bytes_per_ticket = (HeapBytes() - heap_with_changes) / tickets;
  sample.json_bytes_per_ticket = json_bytes / tickets;
  return sample;
}

DutySample MeasureDuties(int nodes, int databases) {
  const std::vector<Member> members = MakeMembers(nodes);
  std::vector<DatabaseConfig> configs;
  configs.reserve(static_cast<std::size_t>(databases));
  for (int i = 0; i < databases; ++i) {
    configs.push_back(MakeDatabase(i));
  }
  const double before = ProcessorSeconds();
  const DutyCandidates candidates(members);
  std::size_t duties = 0;
  for (const DatabaseConfig& database : configs) {
    duties += WatchersOf(database, candidates).size();
    for (const BackendServerConfig& server : database.backend_servers) {
      duties += HoldersOf(server, candidates).size();
    }
  }
  const double used = ProcessorSeconds() - before;
  return DutySample{nodes, databases, duties == 0 ? 0 : used};
}

}  // namespace sycamoredrum
