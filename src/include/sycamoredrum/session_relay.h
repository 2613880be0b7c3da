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

namespace sycamoredrum {

/// Side effects of a caller's session. They may run inside any method of the session.
struct CallerSessionHooks {
  std::function<void(const StatementResult&)> reply;
  /// Closes the caller's connection.
  std::function<void()> close;
};

/// One caller's connection: a sequence of statements and transactions on one route. Not
/// thread-safe.
class CallerSession {
 public:
  virtual ~CallerSession() = default;

  /// Handles the next statement. Statements that arrive before the answer to the one before wait.
  virtual void Handle(Statement statement) = 0;

  /// The caller's connection ended. An open transaction is rolled back.
  virtual void CallerGone() = 0;

  /// True if no statement is in progress and no transaction is open.
  virtual bool Idle() const = 0;

  /// Rolls an open transaction back and answers its next statement with kAborted.
  virtual void AbortTransaction(const std::string& reason) = 0;

  /// True if a statement is in progress that has not been sent to a backend server.
  virtual bool Waiting() const = 0;

  /// Answers the statement in progress with what is known of it: it did not run, it was rolled
  /// back, or its outcome is unknown.
  virtual void EndStatement(const std::string& reason) = 0;
};

struct SessionRelayOptions {
  std::string data_centre;
};

struct SessionRelayHooks {
  OpenBackendChannel open_channel;
  /// A primary broke a connection or refused to be one.
  std::function<void(const std::string& database)> primary_suspected;
};

/// Connects callers' sessions to the backend servers that may serve them. One object serves all
/// sessions of a process. Not thread-safe.
class SessionRelay {
 public:
  /// Servers without an answer for this long get no new reads while others can serve them.
  static constexpr Duration kSilenceToAvoid = std::chrono::milliseconds(300);
  /// Reads that wait at a server without any answer for this long are repeated elsewhere.
  static constexpr Duration kSilenceToRepeat = std::chrono::milliseconds(600);
  /// A replica that lacked a position is not asked again for this time, about the usual lag.
  /// Load pattern: replicas are a moment behind, and a longer pause sends all reads to the primary.
  static constexpr Duration kBehindPause = std::chrono::milliseconds(100);
  /// A server that had no capacity for a statement gets no reads for this time, in which it empties
  /// a part of its queue.
  static constexpr Duration kBusyPause = std::chrono::milliseconds(50);
  /// A server that could not be reached is not asked again for this time.
  static constexpr Duration kUnreachablePause = std::chrono::milliseconds(500);
  /// Connections that a process opens to a backend server before it knows its share.
  static constexpr int kInitialShare = 2;
  /// Connections beyond the most that were needed at once are closed after this time.
  static constexpr Duration kSurplusWindow = std::chrono::milliseconds(1000);
  /// Longest wait of a read for a position. It covers a new connection and one statement between
  /// data centres.
  static constexpr Duration kPositionWait = std::chrono::milliseconds(250);
  /// Attempts of one statement, the first one included.
  static constexpr int kMaxAttempts = 6;
  /// A server that fails more of its statements is reported as one that should not lead. Two
  /// failures among ten answers exceed it, one does not.
  static constexpr double kMaxFailureShare = 0.15;
  /// Repetitions of a read that failed at a server; the failure may be the server's or the read's.
  static constexpr int kMaxFailedReads = 2;
  /// Part of the latency objective that a statement may wait for a connection.
  static constexpr double kMaxWaitShare = 0.5;
  /// Statements that one caller may send ahead.
  static constexpr std::size_t kMaxPipelined = 64;

  SessionRelay(SessionRelayOptions options, SessionRelayHooks hooks, PrimaryGrants& grants,
               const Clock& clock, Scheduler& scheduler, RandomSource random, Logger& logger,
               Metrics& metrics);
  ~SessionRelay();
  SessionRelay(const SessionRelay&) = delete;
  SessionRelay& operator=(const SessionRelay&) = delete;

  void SetConfiguration(std::shared_ptr<const RelayConfiguration> configuration);
  void SetServers(const std::map<std::string, BackendServerRecord>& records);
  /// Connections that this process may open, by backend server.
  void SetShares(const std::map<std::string, int>& connections);
  /// Number of processes that share the servers' connections.
  void SetFleetSize(std::size_t processes);
  /// Continues statements that wait for a primary.
  void GrantsChanged();
  /// While set, statements that have no server are refused early: no grant can arrive, and other
  /// processes may be able to serve the caller.
  void SetCutOff(bool value);
  /// Adds what another process observed of a primary's log.
  void ObservePosition(const std::string& database, std::uint64_t generation,
                       const PositionObservation& observation);
  /// Newest position known in this generation.
  std::optional<PositionObservation> NewestPosition(const std::string& database,
                                                    std::uint64_t generation) const;

  /// Opens a session on the route `name`. Returns nothing if the configuration has no such route.
  std::shared_ptr<CallerSession> Open(const std::string& name, CallerSessionHooks hooks);

  /// Repeats reads at silent servers and ends idle transactions; to be called every 50 ms or so.
  void Tick();

  /// What this process knows of the databases, in its own clock.
  std::map<std::string, DatabaseReport> Report() const;
  /// Servers that have not answered this process for long, or that fail its statements.
  std::set<std::string> UnusableServers() const;
  /// Mean number of statements that run or wait at each backend server.
  std::map<std::string, double> Demand() const;

  std::shared_ptr<const RelayConfiguration> Configuration() const;
  std::size_t OpenTransactions() const;
  std::size_t BusySessions() const;
  /// Sessions that use a connection to the primary of `database` under a grant.
  std::size_t OpenPrimaryWork(const std::string& database) const;
  void AbortTransactions(const std::string& reason);
  /// Refuses the statements that have not been sent to a backend server, and all later ones.
  void StopTaking(const std::string& reason);
  /// Answers all statements in progress with what is known of them.
  void EndStatements(const std::string& reason);

  /// Access for the sources of this library.
  struct Impl;
  Impl& Internal() { return *this->impl; }

 private:
  std::unique_ptr<Impl> impl;
};

}  // namespace sycamoredrum
