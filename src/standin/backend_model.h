#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sycamoredrum/backend.h"
#include "sycamoredrum/clock.h"
#include "sycamoredrum/status.h"
#include "sycamoredrum/types.h"

namespace sycamoredrum {

/// Outcome of a request id, kept in the log with the changes of its transaction.
struct RequestRecord {
  std::string request_id;
  std::string fingerprint;
  std::vector<std::string> results;
};

/// One committed transaction, or a term start without changes.
struct LogEntry {
  std::uint64_t term = 0;
  std::map<std::string, std::string> changes;  ///< New value of each changed key.
  std::optional<RequestRecord> record;
};

/// Request of a replica to its primary for the log entries that it lacks.
struct LogRequest {
  std::uint64_t term = 0;        ///< Term in which the replica follows.
  std::uint64_t last_index = 0;  ///< Last index of the replica.
  TermHistory history;           ///< Of the replica's log.
};

/// Answer to a LogRequest: part of the primary's log.
struct LogPage {
  bool served = false;             ///< False: the server is not primary in the requested term.
  std::uint64_t common_index = 0;  ///< Last index at which both logs agree.
  std::vector<LogEntry> entries;   ///< Entries from `common_index` + 1 on.
  std::uint64_t last_index = 0;    ///< Last index of the primary.
};

/// Stand-in for one backend server of a database group, for tests and benchmarks: role, terms, log,
/// request records, connections and transactions, without I/O. The executable `standin_database`
/// serves it over HTTP. Not thread-safe.
class BackendModel {
 public:
  using ConnectionId = std::uint64_t;
  static constexpr std::size_t kMaxEntriesPerPage = 256;

  /// The server starts as a replica with an empty log in term 0.
  BackendModel(std::string id, std::string database, std::size_t connection_cap,
               const Clock& clock);

  BackendServerStatus Status() const;

  /// Control operations; `accepted` is false in the returned status if the operation was refused.
  BackendServerStatus Fence(std::uint64_t term, const std::string& proposer);
  BackendServerStatus Promote(std::uint64_t term, const std::string& proposer);
  BackendServerStatus Follow(std::uint64_t term, const std::string& primary);

  /// Opens a connection. Returns nothing if the connection cap is reached.
  std::optional<ConnectionId> Open();

  /// Closes a connection and rolls its transaction back.
  void Close(ConnectionId connection);

  /// False if the connection was closed by Close or by a truncation of the log.
  bool IsOpen(ConnectionId connection) const { return this->connections.count(connection) != 0; }
  std::size_t OpenConnections() const { return this->connections.size(); }

  /// Runs a request without waiting for `require`: on kBehind, the calling code repeats the call
  /// until the request's `wait` has passed.
  BackendReply Execute(ConnectionId connection, const BackendRequest& request);

  /// Replication: the next request of this replica, and the answer of a primary to a request.
  LogRequest NextLogRequest() const;
  LogPage ReadLog(const LogRequest& request) const;

  /// Applies the page that `primary` sent in answer to `request`. Ignored if the page was not
  /// served or if, since the request was made, the server has promised a higher term, no longer
  /// follows `primary` in that term, or has another last index.
  void ApplyLog(const std::string& primary, const LogRequest& request, const LogPage& page);

  /// Committed value of a key, for checks in tests.
  std::optional<std::string> Get(const std::string& key) const;

 private:
  struct Transaction {
    std::map<std::string, std::string> changes;
    std::map<std::string, std::uint64_t> reads;  ///< Version of each key when it was first read.
    std::vector<std::string> results;
    bool write = false;
    std::uint64_t term = 0;
  };
  struct Connection {
    std::optional<Transaction> transaction;
  };

  std::uint64_t LastIndex() const { return this->log.size(); }
  bool ActsAsPrimary() const;
  BackendServerStatus Refused() const;
  BackendReply Fail(BackendError error, const std::string& message) const;
  std::optional<BackendReply> CheckAdmission(const BackendRequest& request) const;
  std::optional<BackendReply> FindRecord(const BackendRequest& request) const;
  std::optional<std::string> RunStatement(const std::string& statement, bool write,
                                          Transaction& transaction, std::string& result) const;
  std::string Read(const std::string& key, Transaction& transaction) const;
  std::optional<std::string> RunStatements(const BackendRequest& request,
                                           Transaction& transaction) const;
  BackendReply Commit(const BackendRequest& request, const Transaction& transaction);
  BackendReply ExecuteInTransaction(Connection& connection, const BackendRequest& request);
  void Append(LogEntry entry);
  void TruncateTo(std::uint64_t last_index);

  std::string id;
  std::string database;
  std::size_t connection_cap;
  const Clock& clock;

  Role role = Role::kReplica;
  std::uint64_t term = 0;
  std::uint64_t promised_term = 0;
  std::string promised_by;
  std::string follows;
  TimePoint last_primary_contact;  ///< Time of the last page or of Follow.

  std::vector<LogEntry> log;
  TermHistory history;
  std::map<std::string, std::string> values;
  std::map<std::string, std::uint64_t> versions;  ///< Log index that last changed a key.
  std::map<std::string, std::uint64_t> records;   ///< Log index of each request id.

  std::map<ConnectionId, Connection> connections;
  ConnectionId next_connection = 1;
};

}  // namespace sycamoredrum
