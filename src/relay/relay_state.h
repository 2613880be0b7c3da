#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "backend_session.h"
#include "statement_forwarder.h"
#include "sycamoredrum/connection_pool.h"
#include "sycamoredrum/session_relay.h"

namespace sycamoredrum {

class RelayCallerSession;

/// State of one backend server, as this process observes it.
struct RelayServer {
  BackendServerRecord record;
  std::unique_ptr<ConnectionPool> pool;
  std::map<ConnectionId, std::unique_ptr<BackendSession>> sessions;
  Duration response_time{};     ///< Moving average of the time from sending to the answer.
  Duration connect_time{};      ///< Moving average of the time until a connection is open.
  double failure_rate = 0;      ///< Moving average, 0 to 1, of the statements that failed.
  std::size_t outstanding = 0;  ///< Statements that were sent and not answered yet.
  std::size_t forwarded = 0;    ///< Statements for this server that holders have not answered yet.
  TimePoint answered_at;        ///< When it last answered a statement or opened a connection.
  TimePoint unanswered_since;   ///< No answer since then; only valid while outstanding > 0.
  TimePoint behind_until;       ///< End of the back-off after it lacked a required position.
  TimePoint busy_until;         ///< End of the back-off after it had no capacity for a statement.
  TimePoint unreachable_until;  ///< End of the back-off after it could not be reached.
  std::optional<TimePoint> failing_since;  ///< First failure since its last answer.
  double demand = 0;               ///< Moving average of the statements that run or wait there.
  std::uint64_t added_tick = 0;    ///< Number of ticks before the server was added.
  int leases = 0;                  ///< Connections leased since the last tick.
  double lease_rate = 0;           ///< Moving average of the connections leased per second.
  bool sent_stray_answer = false;  ///< It has sent an answer that is certainly no statement's own.

  /// True if the server has had no connection, and no statement for it has waited, for so long that
  /// the moving averages have fallen below what has any effect.
  bool AtRest() const {
    constexpr double kNegligible = 0.01;
    return this->pool->Total() == 0 && this->pool->Waiting() == 0 && this->leases == 0 &&
           this->demand < kNegligible && this->lease_rate < kNegligible;
  }
};

struct RelayDatabase {
  FreshnessWindow window;
  /// Set while a query for the primary's position is in flight: time from which it may be repeated.
  std::optional<TimePoint> position_query_deadline;
  /// Sessions whose active statement waits for a primary or for a position of its log.
  std::list<std::weak_ptr<RelayCallerSession>> waiting;
};

/// The state of a SessionRelay, and the operations on it that sessions use.
struct SessionRelay::Impl {
  Impl(SessionRelayOptions options, SessionRelayHooks hooks, PrimaryGrants& grants,
       const Clock& clock, Scheduler& scheduler, RandomSource random, Logger& logger,
       Metrics& metrics);

  /// The server, or null if it is not known.
  RelayServer* FindServer(const std::string& id);
  void AddServer(const BackendServerRecord& record);
  /// Applies the connection limits to all pools.
  void UpdateLimits();
  /// Adds a finished statement to the metrics.
  void RecordStatement(const std::string& route, const std::string& outcome, Duration elapsed);
  /// Requests a connection from the server's pool.
  void Acquire(RelayServer& server, const LeaseRequest& request, LeaseCallback callback);
  /// Ends a lease of a connection to the server. A broken connection is closed.
  static void Release(RelayServer& server, const Lease& lease, ConnectionState state);
  /// Counts an answer that is not the own one of a statement.
  void RecordStrayAnswer(RelayServer& server, AnswerMatch match);
  /// Number of connections that this process may open to the server.
  int ConnectionLimit(const RelayServer& server) const;
  /// Time after which an idle connection to the server is closed.
  Duration IdleTimeout(const RelayServer& server) const;
  void OpenConnection(const std::string& id, const std::string& organisation,
                      const OpenCallback& done);
  void CloseConnection(const std::string& id, ConnectionId connection);
  /// Chooses a server for a read on `database`, except those in `tried`. Returns nothing if none is
  /// usable.
  std::optional<std::string> ChooseReadServer(const std::string& database,
                                              const std::set<std::string>& tried);
  /// Records that the server could not be reached or did not answer in time.
  void MarkFailing(RelayServer& server);
  /// Records an answer to a statement that was sent at `sent_at`.
  void MarkAnswered(RelayServer& server, TimePoint sent_at);
  /// Records that a holder answered a statement for the server that was sent at `sent_at`.
  void MarkAnsweredByHolder(RelayServer& server, TimePoint sent_at, const ForwardAnswer& answer);
  /// Adds an answer to the failure rate.
  static void UpdateFailureRate(RelayServer& server, bool failed);
  /// True if statements have been outstanding at the server without any answer for longer than
  /// `limit`.
  bool Unresponsive(const RelayServer& server, Duration limit) const;
  /// Adds a position of the primary's log, and resumes sessions that wait for one.
  void Observe(const std::string& database, std::uint64_t generation,
               const PositionObservation& observation);
  /// Resumes the sessions that wait for a primary or a position, if a grant is held.
  void ResumeWaitingSessions(const std::string& database);
  /// Queries the primary's log position unless a query is in flight.
  void QueryPosition(const std::string& database, const PrimaryGrant& grant);
  void OnPositionLease(const std::string& database, const PrimaryGrant& grant,
                       const LeaseAnswer& answer);
  /// To be called after the configuration was replaced; `previous` may be null. Closes connections
  /// of organisations that have ended, and updates the sessions' identities.
  void ApplyOrganisations(const OrganisationDirectory* previous);
  /// Runs `action` on the sessions for which `chosen` is true when the method starts. `action` may
  /// end sessions.
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
  StatementForwarder forwarder;
  std::shared_ptr<const RelayConfiguration> configuration;
  std::map<std::string, std::shared_ptr<RelayServer>> servers;
  /// Servers that are not at rest. A process of a large fleet uses few of all servers.
  std::set<std::string> servers_in_use;
  std::map<std::string, RelayDatabase> databases;
  std::set<RelayCallerSession*> sessions;
  std::map<std::string, int> shares;
  bool cut_off = false;                       ///< See SessionRelay::SetCutOff.
  std::optional<std::string> refusal_reason;  ///< Set if all new statements are refused.
  std::size_t fleet_size = 1;  ///< Processes that share the servers' connection caps.
  TimePoint last_tick;
  std::uint64_t ticks = 0;
  ConnectionId next_connection = 1;
  /// Callbacks hold a weak pointer to it, which expires when the relay is destroyed.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace sycamoredrum
