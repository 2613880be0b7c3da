#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "sycamoredrum/configuration.h"
#include "sycamoredrum/ticket.h"

namespace sycamoredrum {

/// An accepted ticket as stored in the platform's key-value service.
struct SerializedTicket {
  std::uint64_t number = 0;
  std::string json;
};

inline bool operator==(const SerializedTicket& a, const SerializedTicket& b) {
  return a.number == b.number && a.json == b.json;
}

/// The accepted tickets 1 to Number() and the configuration that results from applying them.
/// Tickets may be offered in any order and repeatedly; the log applies them in the order of their
/// numbers and without gaps, so Number() never decreases. Not thread-safe; the configurations that
/// it returns may be shared between threads.
class ConfigurationLog {
 public:
  /// Maximum number of tickets kept while a ticket before them is missing. Beyond it, the ticket
  /// with the highest number is discarded.
  static constexpr std::size_t kMaxPendingTickets = 1024;
  /// Maximum total size of the tickets that TicketsAfter returns; leaves room in a peer frame of
  /// 4 MiB.
  static constexpr std::size_t kMaxPageBytes = std::size_t{2} * 1024 * 1024;

  using Listener = std::function<void(const std::shared_ptr<const Configuration>&)>;

  ConfigurationLog();

  /// Adds tickets that the platform has accepted and applies all that now follow without a gap.
  /// Returns true if Number() increased. A ticket that cannot be parsed, or whose number differs
  /// from the number of its key, is dropped; LastReason() then returns the reason.
  bool Offer(const std::vector<SerializedTicket>& tickets);

  /// Registers `listener`, which each call of Offer that increases Number() calls once. The
  /// listener must stay valid as long as the log is used.
  void AddListener(Listener listener);

  std::shared_ptr<const Configuration> Current() const { return this->current; }
  std::uint64_t Number() const { return this->current->Number(); }

  /// The applied tickets from `number` + 1 on: at most `limit` tickets and at most kMaxPageBytes,
  /// except that the first ticket is returned whatever its size.
  std::vector<SerializedTicket> TicketsAfter(std::uint64_t number, std::size_t limit) const;

  /// The ticket `number`, or nothing if it has not been applied.
  std::optional<Ticket> FindTicket(std::uint64_t number) const;

  /// The configuration after ticket `number`, which must be at most Number(). Parses and applies
  /// all tickets up to `number` unless `number` is Number().
  Configuration ConfigurationAt(std::uint64_t number) const;

  /// Number of the applied ticket with this id, or 0 if there is none.
  std::uint64_t FindNumberOfId(const std::string& id) const;

  /// True if the log keeps tickets that it cannot apply because ticket Number() + 1 is missing.
  bool HasGap() const { return !this->pending.empty(); }

  /// Number of tickets that were dropped because they were malformed.
  std::uint64_t DroppedTickets() const { return this->dropped; }
  /// Reason why a ticket was last dropped; empty if none was.
  const std::string& LastReason() const { return this->last_reason; }

 private:
  void AddPending(const SerializedTicket& serialized);
  bool ApplyPending();

  struct PendingTicket {
    Ticket ticket;
    std::string json;
  };

  std::shared_ptr<const Configuration> current;
  std::vector<std::string> applied;  ///< JSON text of ticket n at index n - 1.
  std::unordered_map<std::string, std::uint64_t> numbers_by_id;
  std::map<std::uint64_t, PendingTicket> pending;
  std::vector<Listener> listeners;
  std::uint64_t dropped = 0;
  std::string last_reason;
};

}  // namespace sycamoredrum
