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

#include "answer_matcher.h"
#include "sycamoredrum/backend_channel.h"

namespace sycamoredrum {

/// A prepared statement as its session defined it.
struct PreparedStatement {
  std::string prepared_text;  ///< Its text.
  bool writes = false;        ///< True if executing it writes.
};

inline bool operator<(const PreparedStatement& a, const PreparedStatement& b) {
  return std::tie(a.prepared_text, a.writes) < std::tie(b.prepared_text, b.writes);
}

/// Session state that a backend connection must have before it runs a statement of the session.
struct SessionProfile {
  std::map<std::string, std::string> variables;
  std::map<std::string, PreparedStatement> prepared;  ///< By the caller's name for it.
};

/// One connection to a backend server, and the session state that is set on it. It is leased to one
/// session after another. Not thread-safe.
class BackendSession {
 public:
  /// Receives the result, or nothing if the connection ended before the answer.
  using ResultCallback = std::function<void(const std::optional<StatementResult>&)>;
  /// `ready` is false if the connection cannot be used.
  using ReadyCallback = std::function<void(bool ready)>;
  /// Side effects and knowledge of the server that its connections share.
  struct Hooks {
    /// Receives each answer that is not certainly the own one of a statement.
    std::function<void(AnswerMatch)> stray_answer;
    /// True if the server is known to send answers that are no statement's own.
    std::function<bool()> sends_stray_answers;
  };

  /// Statements that may be prepared on one connection; at this number it is reset before its next
  /// use.
  static constexpr std::size_t kMaxPrepared = 200;
  /// Fences behind an ambiguous answer. One repeated acknowledgement cannot pass for both answers.
  static constexpr std::size_t kFences = 2;

  /// `organisation` is the one for which the connection was opened; empty if there is none.
  BackendSession(std::shared_ptr<BackendChannel> channel, std::string organisation, Hooks hooks);

  /// Number of statements, a reset included, that PrepareFor would send to set the variables of
  /// `profile`; 0 if they are set already.
  int SetupCost(const SessionProfile& profile) const;

  /// Sets exactly the variables of `profile` on the connection and, if `statement` executes a
  /// prepared statement, prepares that statement. Calls `ready` inside this method if nothing needs
  /// to be sent.
  void PrepareFor(const SessionProfile& profile, const Statement& statement, ReadyCallback ready);

  /// Sends a statement after PrepareFor. The caller's name for a prepared statement is replaced by
  /// its name on this connection.
  void Execute(const SessionProfile& profile, BackendCommand command, ResultCallback callback);

  /// To be called when the server does not know the prepared statement that `statement` executes.
  /// The next PrepareFor prepares it again.
  void InvalidatePrepared(const SessionProfile& profile, const Statement& statement);

  /// Handles an answer from the channel, and discards it if it repeats an earlier one. An answer
  /// that may be the own one of the oldest statement or a repetition is held back, and fences are
  /// sent: the server answers in order, so if the fences are answered next, the answer was its own.
  /// The answers to fences can be repeated too, so a server that is known to repeat answers gets
  /// none; the connection is closed and a write has an unknown outcome.
  void OnResult(const StatementResult& result);
  /// Handles the end of the connection: calls back all statements without a result with nothing.
  void OnClosed();

  /// The only organisation whose statements may run on the connection; empty if there is none.
  const std::string& Organisation() const { return this->organisation; }

  /// True if the connection has ended or its state is unknown. It must not be used any more.
  bool Broken() const { return this->broken; }
  /// False if a refusal of a write would leave its outcome unknown, because it could be a
  /// repetition of an earlier error (see OnResult).
  bool RefusalsAreCertain() const {
    return !this->matcher.HasSeenError() || !this->hooks.sends_stray_answers();
  }
  /// Number of statements without a result.
  std::size_t Outstanding() const { return this->pending.size(); }
  void Close();

 private:
  /// Statements that PrepareFor has to send.
  std::vector<Statement> SetupStatements(const SessionProfile& profile,
                                         const Statement& statement) const;
  bool NeedsReset(const SessionProfile& profile) const;
  std::string NextPreparedName() const;
  /// Updates the recorded session state after `statement`, a setup statement, succeeded.
  void RecordSetup(const Statement& statement);
  void Send(const BackendCommand& command, bool has_effect, ResultCallback callback);
  /// Calls back the oldest statement.
  void Answer(const StatementResult& result);
  /// Holds back an answer to the oldest statement and sends fences.
  void HoldBack(const StatementResult& result);
  /// Breaks the connection after an answer to the oldest statement that may be a repetition. It is
  /// taken as its own if it is a refusal of a statement without effect.
  void BreakAfter(const StatementResult& result);
  /// True if `result` answers a fence behind the oldest statement, whose answer is held back.
  bool AnswersFence(const StatementResult& result) const;

  struct Pending {
    SentStatement statement;
    ResultCallback callback;
    std::optional<StatementResult> held_back;  ///< See OnResult.
  };

  std::shared_ptr<BackendChannel> channel;
  const std::string organisation;
  std::map<std::string, std::string> variables;
  std::map<PreparedStatement, std::string> prepared;  ///< Name on this connection.
  std::deque<Pending> pending;  ///< The statements without a result, oldest first.
  AnswerMatcher matcher;
  const Hooks hooks;
  std::uint64_t next_prepared_number = 1;
  std::size_t fences = 0;           ///< Statements prepared as fences since the last reset.
  std::size_t answered_fences = 0;  ///< Of those behind the oldest statement.
  bool broken = false;
  /// Callbacks hold a weak pointer to it, which expires when the object is destroyed.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace sycamoredrum
