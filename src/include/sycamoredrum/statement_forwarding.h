#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/connection_holders.h"
#include "sycamoredrum/statement.h"

namespace sycamoredrum {

/// What a forwarded statement does to the transaction of its session at the holder.
enum class ForwardedStart {
  kNoTransaction,  ///< Runs outside a transaction.
  kBegin,          ///< First statement of a transaction.
  kBeginReadOnly,  ///< First statement of a read-only transaction.
  kInTransaction,  ///< Later statement of a transaction, its commit included.
};

/// A statement that one relay sends to another one, which runs it on its own connections.
struct ForwardedStatement {
  /// Session at the holder: one statement outside a transaction, or one transaction. Grows with
  /// each session that one start of the sender opens.
  std::uint64_t session = 0;
  std::uint64_t number = 0;  ///< Number of the statement in its session, from 1.
  ForwardedStart start = ForwardedStart::kNoTransaction;
  std::string route;
  std::string organisation;
  std::string server;  ///< Backend server that the sender has chosen.
  /// Only `id`, `kind`, `name` and `text` are sent: backend servers get nothing else of a
  /// statement that is forwarded.
  Statement statement;
  std::map<std::string, std::string> variables;
  std::string prepared_text;               ///< kExecute: text of the prepared statement.
  bool prepared_writes = false;            ///< kExecute: the prepared statement writes.
  std::optional<LogPosition> last_commit;  ///< Position of the session's last commit.
  Duration time_left{};                    ///< Until the holder must have answered.
};

enum class ForwardOutcome {
  kAnswered,  ///< The holder ran or refused it as one of its sessions; `result` is the answer.
  kNotRun,    ///< It certainly did not run and will not.
  kNoRoom,    ///< As kNotRun, because too many forwarded statements are in progress at the holder.
  kUnknown,   ///< It may have run, or may still run.
};

/// Name of the outcome in metrics.
const char* ToString(ForwardOutcome outcome);

/// Answer to a forwarded statement.
struct ForwardAnswer {
  ForwardOutcome outcome = ForwardOutcome::kUnknown;
  bool responded = false;  ///< The answer came from the holder, not from the link to it.
  StatementResult result;  ///< Only for kAnswered; `state` is that of the session at the holder.
  Duration retry_after{};  ///< Only for kNoRoom.
  std::string reason;      ///< For logs, unless the outcome is kAnswered.
};

using ForwardCallback = std::function<void(const ForwardAnswer&)>;

/// Sends a statement to a holder. Calls back exactly once, at the latest after `timeout`, and never
/// inside the call.
using ForwardStatement = std::function<void(const ConnectionHolder&, const ForwardedStatement&,
                                            Duration timeout, ForwardCallback)>;

/// Tells a holder that the transaction of `session` is to be rolled back.
using EndForwardedSession = std::function<void(const ConnectionHolder&, std::uint64_t session)>;

}  // namespace sycamoredrum
