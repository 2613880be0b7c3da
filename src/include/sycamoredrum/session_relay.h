#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sycamoredrum/backend_channel.h"
#include "sycamoredrum/clock.h"
#include "sycamoredrum/freshness_window.h"
#include "sycamoredrum/log.h"
#include "sycamoredrum/metrics.h"
#include "sycamoredrum/primary_authority.h"
#include "sycamoredrum/primary_grants.h"
#include "sycamoredrum/relay_configuration.h"
#include "sycamoredrum/statement.h"
#include "sycamoredrum/statement_forwarding.h"

namespace sycamoredrum {

/// Callbacks through which a session acts on its caller's connection. They may run inside any
/// method of the session.
struct CallerSessionHooks {
  /// Sends the answer to the oldest statement that has none yet.
  std::function<void(const StatementResult&)> reply;
  /// Closes the caller's connection after its buffered output.
  std::function<void()> close;
};

/// One caller's connection, which sends statements and transactions on one route. Not thread-safe.
class CallerSession {
 public:
  virtual ~CallerSession() = default;

  /// Handles the caller's next statement. Statements run in the order of arrival; one that arrives
  /// while another is in progress is queued. Closes the caller's connection if
  /// SessionRelay::kMaxPipelinedStatements are queued already.
  virtual void Handle(Statement statement) = 0;

  /// To be called when the caller's connection has ended. Rolls an open transaction back.
  virtual void OnCallerDisconnected() = 0;

  /// True if no statement is in progress or queued and no transaction is open.
  virtual bool Idle() const = 0;

  /// Rolls an open transaction back unless one of its statements is in progress. The transaction
  /// counts as failed until the caller ends it; a commit is answered with kAborted and `reason`.
  virtual void AbortTransaction(const std::string& reason) = 0;

  /// True if a statement is in progress that has not been sent to a backend server.
  virtual bool Waiting() const = 0;

  /// Ends the statement in progress with an error that says whether it ran: kBusy (not run),
  /// kAborted (rolled back), kTimeout (a read without an answer) or kUnknownOutcome.
  virtual void EndStatement(const std::string& reason) = 0;
};

struct SessionRelayOptions {
  std::string data_centre;  ///< Data centre of this process.
  std::string member = {};  ///< Member name of this process in the fleet.
};

/// Answer of SessionRelayHooks::admit.
struct AdmissionVerdict {
  bool admitted = true;
  Duration retry_after{};  ///< Not admitted: when another attempt is likely to be admitted.
};

struct SessionRelayHooks {
  /// Opens a connection to a backend server.
  OpenBackendChannel open_channel;
  /// A primary could not be reached, a connection to it was lost, or it refused a statement because
  /// it is not the primary.
  std::function<void(const std::string& database)> primary_suspected;
  /// Optional. Decides whether an operation of `organisation` may run now: a statement outside a
  /// transaction, or a whole transaction. Calls `done` exactly once, at the latest at `deadline`,
  /// possibly before it returns. If not set, every operation is admitted.
  std::function<void(const std::string& organisation, TimePoint deadline,
                     std::function<void(const AdmissionVerdict&)> done)>
      admit = nullptr;
  /// Optional. Sends a statement to a relay that holds connections; if not set, no statement is
  /// forwarded. See SessionRelay::SetConnectionHolders.
  ForwardStatement forward = nullptr;
  /// Must be set if `forward` is.
  EndForwardedSession end_forwarded = nullptr;
};

/// First message of a caller.
struct SessionRequest {
  std::string route;
  std::string key;  ///< Identifies the caller's organisation; a secret. Empty if it sent none.
};

/// Answer to a SessionRequest.
struct OpenedSession {
  std::shared_ptr<CallerSession> session;  ///< Null if the session was refused.
  StatementError refusal;                  ///< Only if it was refused.
};

/// Forwards the statements of callers' sessions to backend servers: writes and reads of the newest
/// state to the primary, other reads to any server that is fresh enough. One object serves all
/// sessions of a process. Not thread-safe.
class SessionRelay {
 public:
  /// A server with unanswered statements that has answered nothing for this long is unresponsive
  /// and gets no new reads.
  static constexpr Duration kUnresponsiveTimeout = std::chrono::milliseconds(300);
  /// A read that has waited this long at a server is retried at another one if the server has
  /// answered nothing in that time.
  static constexpr Duration kReadRetryTimeout = std::chrono::milliseconds(600);
  /// A server that lacked a required log position gets no reads for this time, which is about the
  /// usual replication lag. If all replicas lag slightly, a longer back-off sends all reads to the
  /// primary.
  static constexpr Duration kBehindBackOff = std::chrono::milliseconds(100);
  /// A server that had no capacity for a statement gets no reads for this time, in which it works
  /// off a part of its queue.
  static constexpr Duration kBusyBackOff = std::chrono::milliseconds(50);
  /// A server that could not be reached gets no statements for this time.
  static constexpr Duration kUnreachableBackOff = std::chrono::milliseconds(500);
  /// Limit of the connections to a backend server until SetShares gives one.
  static constexpr int kInitialConnectionShare = 2;
  /// Connections beyond the largest number in use at once during this time are closed, except one.
  static constexpr Duration kSurplusWindow = std::chrono::milliseconds(1000);
  /// Longest time that a read waits for the primary's log position. It covers opening a connection
  /// and one statement between data centres.
  static constexpr Duration kMaxPositionWait = std::chrono::milliseconds(250);
  /// Attempts to run one statement, the first one included. Attempts are not counted if they end
  /// because no primary can be reached or because the server's connection cap is reached, nor,
  /// until kMaxWaitFraction is used up, if they end because no server is usable or the server is
  /// busy.
  static constexpr int kMaxAttempts = 6;
  /// A server whose failure rate (moving average, 0 to 1) exceeds this value is reported by
  /// UnusableServers. Two failures among ten answers exceed it, one does not.
  static constexpr double kMaxFailureRate = 0.15;
  /// Retries of a read that ran at a server and failed. Either the server or the read itself may be
  /// at fault.
  static constexpr int kMaxFailedReadRetries = 2;
  /// Fraction of the route's latency objective that a statement may wait for a connection.
  static constexpr double kMaxWaitFraction = 0.5;
  /// Statements of one caller that may be queued behind the one in progress.
  static constexpr std::size_t kMaxPipelinedStatements = 64;

  SessionRelay(SessionRelayOptions options, SessionRelayHooks hooks, PrimaryGrants& grants,
               const Clock& clock, Scheduler& scheduler, RandomSource random, Logger& logger,
               Metrics& metrics);
  ~SessionRelay();
  SessionRelay(const SessionRelay&) = delete;
  SessionRelay& operator=(const SessionRelay&) = delete;

  /// Replaces the configuration. Sessions whose key is no longer known are closed, idle ones within
  /// 500 ms; sessions whose key was moved to another organisation continue for that one.
  void SetConfiguration(std::shared_ptr<const RelayConfiguration> configuration);
  /// Adds a backend server or sets its record. Closes the connections to a server whose endpoint,
  /// database or start time changed.
  void PutServer(const BackendServerRecord& record);
  /// Removes a backend server and closes the connections to it.
  void RemoveServer(const std::string& id);
  /// Sets the number of connections that this process may open, by backend server id.
  void SetShares(const std::map<std::string, int>& connections);
  /// Sets the number of processes that share the servers' connection caps.
  void SetFleetSize(std::size_t processes);
  /// Sets the relays that hold connections to backend servers. Statements for servers that admit
  /// too few connections for all processes are forwarded to them; see ForwardingApplies.
  void SetConnectionHolders(const std::vector<ConnectionHolder>& holders);
  /// To be called after a change of the grants. Resumes statements that wait for a primary or for a
  /// position of its log.
  void GrantsChanged();
  /// To be set while neither the leader nor the store can be reached. Statements that wait for a
  /// primary are then refused early, because no grant can arrive and another process may be able to
  /// serve the caller.
  void SetCutOff(bool value);
  /// Adds a log position of the primary of `database` that another process observed.
  void ObservePosition(const std::string& database, std::uint64_t generation,
                       const PositionObservation& observation);
  /// Newest known log position of the primary, or nothing if none is known in `generation`.
  std::optional<PositionObservation> NewestPosition(const std::string& database,
                                                    std::uint64_t generation) const;

  /// Greatest known log position of the primary in `generation` or the latest one before it, or
  /// nothing if none is known.
  std::optional<LogPosition> LastPosition(const std::string& database,
                                          std::uint64_t generation) const;
  /// All commits that this process confirmed in that generation are at or before this position;
  /// nothing if it confirmed none.
  std::optional<LogPosition> LastConfirmed(const std::string& database,
                                           std::uint64_t generation) const;

  /// Opens a session. It is refused with kUnknownDatabase if the configuration has no such route,
  /// and with kUnauthenticated if the route requires a key and the caller's is not known.
  OpenedSession Open(const SessionRequest& request, CallerSessionHooks hooks);

  /// Retries reads that wait for an unresponsive server, ends idle transactions, updates the moving
  /// averages and closes unused connections. To be called about every 50 ms.
  void Tick();

  /// State of each configured database as this process observes it, with times of its own clock.
  std::map<std::string, DatabaseReport> Report() const;
  /// Ids of the servers that should not be primary: they have been unreachable or without an answer
  /// for longer than PrimaryAuthority::kReportUnreachableAfter, or their failure rate exceeds
  /// kMaxFailureRate.
  std::set<std::string> UnusableServers() const;
  /// Moving average of the number of statements of this process that run or wait, by backend server
  /// id. Servers with almost none are left out.
  std::map<std::string, double> Demand() const;
  /// Databases with a server in use, or with a statement that waits for a primary or a position.
  std::set<std::string> DatabasesInUse() const;

  std::shared_ptr<const RelayConfiguration> Configuration() const;
  std::size_t OpenTransactions() const;
  /// Sessions that are not idle: a statement is in progress or queued, or a transaction is open.
  std::size_t BusySessions() const;
  /// Number of sessions that hold a connection to the primary of `database` under a grant.
  std::size_t SessionsOnPrimary(const std::string& database) const;
  /// Rolls back the open transactions that have no statement in progress.
  void AbortTransactions(const std::string& reason);
  /// Refuses the statements that have not been sent to a backend server yet, and all later ones.
  void StopAcceptingStatements(const std::string& reason);
  /// Ends all statements in progress; see CallerSession::EndStatement.
  void EndStatements(const std::string& reason);

  /// Internal state, only for the sources of this library.
  struct Impl;
  Impl& Internal() { return *this->impl; }

 private:
  std::unique_ptr<Impl> impl;
};

}  // namespace sycamoredrum
