#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "backend_session.h"
#include "sycamoredrum/connection_pool.h"
#include "sycamoredrum/session_relay.h"

namespace sycamoredrum {

class RelayCallerSession;

/// One backend server as this process uses it.
struct RelayServer {
  BackendServerRecord record;
  std::unique_ptr<ConnectionPool> pool;
  std::map<ConnectionId, std::unique_ptr<BackendSession>> sessions;
  Duration response_time{};
  Duration connect_time{};      ///< Moving average of the time until a connection is open.
  double failure_share = 0;     ///< Moving share of the statements that failed.
  std::size_t outstanding = 0;  ///< Statements that were sent and not answered.
  TimePoint answered_at;        ///< When it last answered a statement or opened a connection.
  TimePoint waiting_since;      ///< Start of the present silence; only while outstanding > 0.
  TimePoint behind_until;       ///< It lacked a required position.
  TimePoint busy_until;         ///< It had no capacity for a statement.
  TimePoint unreachable_until;
  std::optional<TimePoint> failing_since;  ///< No answer since then, though it was asked.
  double demand = 0;                       ///< Moving average of the statements that run or wait.
  int demand_samples = 0;
  int leases = 0;         ///< Since the last tick.
  double lease_rate = 0;  ///< Moving average of the leases in a second.
};

struct RelayDatabase {
  FreshnessWindow window;
  /// Until then, the primary is being asked for a position that reads wait for.
  std::optional<TimePoint> position_asked_until;
  /// Sessions that wait for a primary, or for a position of its log.
  std::list<std::weak_ptr<RelayCallerSession>> waiting;
};

/// The tables of a SessionRelay, and the operations on them that sessions use.
struct SessionRelay::Impl {
  Impl(SessionRelayOptions options, SessionRelayHooks hooks, PrimaryGrants& grants,
       const Clock& clock, Scheduler& scheduler, RandomSource random, Logger& logger,
       Metrics& metrics);

  RelayServer* FindServer(const std::string& id);
  void AddServer(const BackendServerRecord& record);
  void UpdateLimits();
  void Count(const std::string& route, const std::string& outcome, Duration elapsed);
  int Limit(const RelayServer& server) const;
  /// Time after which an unused connection to the server is closed.
  Duration IdleLimit(const RelayServer& server) const;
  void OpenConnection(const std::string& id, const OpenCallback& done);
  void CloseConnection(const std::string& id, ConnectionId connection);
  /// Server for a read, or nothing if none is usable.
  std::optional<std::string> PlaceReadOn(const std::string& database,
                                         const std::set<std::string>& tried);
  void MarkFailing(RelayServer& server);
  void MarkAnswered(RelayServer& server, TimePoint sent_at);
  /// Adds an answer to the share of failures.
  static void CountFailure(RelayServer& server, bool failed);
  bool Silent(const RelayServer& server, Duration limit) const;
  void Observe(const std::string& database, std::uint64_t generation,
               const PositionObservation& observation);
  void WakeWaiting(const std::string& database);
  /// Asks the primary for its log position unless that is under way.
  void AskPosition(const std::string& database, const PrimaryGrant& grant);
  void OnPositionLease(const std::string& database, const PrimaryGrant& grant,
                       const LeaseAnswer& answer);
  /// Runs `action` on the sessions that are `chosen` at the start; it may end sessions.
  void ForEachSession(const std::function<bool(const RelayCallerSession&)>& chosen,
                      const std::function<void(RelayCallerSession&)>& action);

  SessionRelayOptions options;
  SessionRelayHooks hooks;
  PrimaryGrants& grants;
  const Clock& clock;
  Scheduler& scheduler;
  RandomSource random;
  Logger& logger;
  Metrics& metrics;
  std::shared_ptr<const RelayConfiguration> configuration;
  std::map<std::string, std::shared_ptr<RelayServer>> servers;
  std::map<std::string, RelayDatabase> databases;
  std::set<RelayCallerSession*> sessions;
  std::map<std::string, int> shares;
  bool cut_off = false;
  std::optional<std::string> refuse_all;  ///< Why no more statements are taken.
  std::size_t fleet_size = 1;
  TimePoint last_tick;
  ConnectionId next_connection = 1;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);  ///< Expires with the relay.
};

}  // namespace sycamoredrum
