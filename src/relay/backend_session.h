#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "sycamoredrum/backend_channel.h"

namespace sycamoredrum {

/// A prepared statement as its session defined it.
struct PreparedStatement {
  std::string shape;
  bool writes = false;
};

inline bool operator<(const PreparedStatement& a, const PreparedStatement& b) {
  return std::tie(a.shape, a.writes) < std::tie(b.shape, b.writes);
}

/// What a caller's session expects of the connection that runs its statements.
struct SessionProfile {
  std::map<std::string, std::string> variables;
  std::map<std::string, PreparedStatement> prepared;  ///< By the name that the caller gave.
};

/// One connection to a backend server with the session state that is set on it, which one session
/// after the other uses. Not thread-safe.
class BackendSession {
 public:
  /// Receives nothing if the connection ended before the answer.
  using ResultCallback = std::function<void(const std::optional<StatementResult>&)>;
  /// `ready` is false if the connection cannot be used.
  using ReadyCallback = std::function<void(bool ready)>;

  /// Names that are prepared on one connection before it is reset.
  static constexpr std::size_t kMaxPrepared = 200;

  explicit BackendSession(std::shared_ptr<BackendChannel> channel);

  /// Number of statements that PrepareFor would send; 0 if the connection can be used at once.
  int SetupCost(const SessionProfile& profile) const;

  /// Gives the connection exactly the variables of `profile` and, if `statement` executes a
  /// prepared one, prepares it. Calls back inside this method if nothing is to be done.
  void PrepareFor(const SessionProfile& profile, const Statement& statement, ReadyCallback ready);

  /// Runs a statement. The name of a prepared one is replaced by the name on this connection.
  void Execute(const SessionProfile& profile, BackendCommand command, ResultCallback callback);

  /// The server does not know a prepared statement that was set up.
  void ForgetPrepared(const SessionProfile& profile, const Statement& statement);

  void OnResult(const StatementResult& result);
  /// Ends all statements without a result.
  void OnClosed();

  bool Broken() const { return this->broken; }
  std::size_t Outstanding() const { return this->pending.size(); }
  void Close();

 private:
  std::vector<Statement> Setup(const SessionProfile& profile, const Statement& statement) const;
  bool NeedsReset(const SessionProfile& profile) const;
  std::string NewName() const;
  void Apply(const Statement& statement);

  std::shared_ptr<BackendChannel> channel;
  std::map<std::string, std::string> variables;
  std::map<PreparedStatement, std::string> prepared;  ///< Name on this connection.
  std::deque<ResultCallback> pending;
  std::uint64_t next_name = 1;
  bool broken = false;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);  ///< Expires with the object.
};

}  // namespace sycamoredrum
