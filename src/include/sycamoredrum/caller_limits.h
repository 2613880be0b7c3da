#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string_view>

#include "sycamoredrum/clock.h"

namespace sycamoredrum {

/// Parts of the memory that callers make the process hold.
enum class BudgetPart {
  kInput,       ///< Received bytes that are not a complete statement, or wait to be handled.
  kStatements,  ///< Statements that are queued or in progress, and the state of sessions.
  kResponses,   ///< Responses that the caller has not read.
};
inline constexpr std::size_t kBudgetParts = 3;

/// Limits that a caller's connection can reach.
enum class LimitKind {
  kOpenSession,       ///< It did not open a session in time.
  kUnopenedSessions,  ///< Too many connections have no session; it is the oldest one.
  kMessageProgress,   ///< A message did not arrive fast enough.
  kAnswerProgress,    ///< The responses were not read fast enough.
  kMemory,            ///< The memory is short; it holds most for longest without progress.
  kSessions,          ///< A new connection was refused: too many sessions or descriptors.
};
inline constexpr std::size_t kLimitKinds = 6;

/// Names in logs and metrics.
std::string_view ToString(BudgetPart part);
std::string_view ToString(LimitKind kind);

struct CallerLimitOptions {
  /// Bytes for messages up to kLargeMessageBytes, for statements of that size, and for responses.
  std::size_t budget_bytes = 0;
  /// Messages above kLargeMessageBytes that may be received or in progress at the same time.
  std::size_t large_messages = 1;
  Duration open_session_timeout{};
  Duration message_progress_timeout{};
  Duration answer_progress_timeout{};
  std::size_t max_unopened = 0;  ///< Connections without a session.
};

/// Divides the memory of a process of `memory_limit` bytes. Sets `budget_bytes` and
/// `large_messages`.
void DivideMemory(std::size_t memory_limit, CallerLimitOptions& options);

struct CallerLimitHooks {
  /// The connection may receive a large message; see CallerUsage::RequestLarge. It may read again.
  std::function<void(std::uint64_t connection)> resume;
  /// The connection must release its memory before the hook returns, and be closed. The hook may
  /// run inside any method of any CallerUsage, but not twice for one connection.
  std::function<void(std::uint64_t connection, LimitKind kind)> close;
};

class CallerLimits;

/// What one caller's connection holds. Its destructor releases everything. Not thread-safe.
class CallerUsage {
 public:
  ~CallerUsage();
  CallerUsage(const CallerUsage&) = delete;
  CallerUsage& operator=(const CallerUsage&) = delete;

  void SessionOpened();
  /// Sets the bytes of the incomplete message and of those that wait to be handled. Zero ends the
  /// message: the next bytes belong to another one.
  void SetInput(std::size_t bytes);
  /// To be called before more than kLargeMessageBytes of one message are received. If it returns
  /// false, the connection must stop reading until `resume` runs. The permission lasts until
  /// ReleaseLarge.
  bool RequestLarge();
  void ReleaseLarge();
  bool HasLarge() const { return this->large; }
  void AddStatement(std::size_t bytes);
  void RemoveStatement(std::size_t bytes);
  /// Sets the bytes that wait until the caller reads.
  void SetUnsent(std::size_t bytes);
  /// True while the relay itself has stopped reading from the connection. The time limit of a
  /// message's progress does not run then.
  void SetPaused(bool value);

 private:
  friend class CallerLimits;
  CallerUsage(CallerLimits& limits, std::uint64_t id, TimePoint now);

  std::size_t Held() const;
  bool Idle() const;

  CallerLimits& limits;
  const std::uint64_t id;
  std::array<std::size_t, kBudgetParts> held{};
  TimePoint opened_at;
  TimePoint message_progress;     ///< Start of the present period of the message's progress.
  TimePoint answer_progress;      ///< Start of the present period of the responses' progress.
  TimePoint last_progress;        ///< Last time at which anything made progress.
  std::size_t message_bytes = 0;  ///< Received in the present period.
  std::size_t answer_bytes = 0;   ///< Sent in the present period.
  bool opened = false;
  bool paused = false;
  bool large = false;    ///< May receive a large message, or one of it is in progress.
  bool waiting = false;  ///< Waits for the permission to receive a large message.
  bool closed = false;   ///< The hook `close` was called.
};

/// Decides which connections of callers may go on reading and which are closed, so that the memory
/// of the process stays bounded. Contains no sockets and starts no timers. Not thread-safe.
///
/// Large messages need a permission, because each is held several times while it is parsed and sent
/// on. Everything else shares `budget_bytes`; when it is used up, the connections that hold most
/// for longest without progress are closed. A connection that holds nothing, such as an idle
/// session, costs nothing in Tick.
class CallerLimits {
 public:
  /// Messages up to this size need no permission. Ordinary statements are far below it.
  static constexpr std::size_t kLargeMessageBytes = std::size_t{32} * 1024;
  /// Memory of one large message of 1 MiB while it is handled: the received line, the parsed
  /// statement, and the command to the backend server.
  static constexpr std::size_t kLargeMessageCost = std::size_t{4} * 1024 * 1024;
  /// Least progress of a message or of the responses in each period of their time limit.
  static constexpr std::size_t kMinProgressBytes = 1024;
  /// While others wait for the permission to receive a large message, it is withdrawn from a
  /// connection whose message or responses make no progress for this time. A link of 2 Mbit/s
  /// delivers 250 KB in it.
  static constexpr Duration kStalledAfter = std::chrono::seconds(1);

  CallerLimits(CallerLimitOptions options, CallerLimitHooks hooks, const Clock& clock);
  ~CallerLimits();
  CallerLimits(const CallerLimits&) = delete;
  CallerLimits& operator=(const CallerLimits&) = delete;

  /// Registers a new connection. Closes the oldest one without a session if there are too many.
  std::unique_ptr<CallerUsage> Add(std::uint64_t connection);

  /// Applies the time limits. To be called about every 50 ms.
  void Tick();
  /// No hook is called any more.
  void Stop() { this->hooks = {}; }

  /// Counts a connection that reached a limit outside this class.
  void Count(LimitKind kind) { ++this->hits[static_cast<std::size_t>(kind)]; }
  std::uint64_t Hits(LimitKind kind) const { return this->hits[static_cast<std::size_t>(kind)]; }
  std::size_t Used(BudgetPart part) const { return this->used[static_cast<std::size_t>(part)]; }
  std::size_t LargeMessages() const { return this->large_in_use; }
  std::size_t Unopened() const { return this->unopened.size(); }
  const CallerLimitOptions& Options() const { return this->options; }

 private:
  friend class CallerUsage;

  void Set(CallerUsage& usage, BudgetPart part, std::size_t bytes);
  void Watch(CallerUsage& usage);
  void CloseForMemory();
  void GrantLarge();
  void Close(CallerUsage& usage, LimitKind kind);
  /// The limit that the connection has reached at `now`, or nullptr.
  const LimitKind* Reached(const CallerUsage& usage) const;

  const CallerLimitOptions options;
  CallerLimitHooks hooks;
  const Clock& clock;
  TimePoint now;  ///< Time of the last Tick, precise enough for these limits.
  /// Connections that hold something, wait or have no session, by number.
  std::map<std::uint64_t, CallerUsage*> watched;
  std::map<std::uint64_t, CallerUsage*> unopened;
  std::deque<std::uint64_t> large_queue;
  std::size_t large_in_use = 0;
  std::array<std::size_t, kBudgetParts> used{};
  std::size_t shared_used =
      0;  ///< Bytes of the connections without permission for a large message.
  std::array<std::uint64_t, kLimitKinds> hits{};
  bool closing = false;
};

}  // namespace sycamoredrum
