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

/// The accepted tickets 1 to Number() and their fold. Takes tickets in any order and any number of
/// times; applies them in order without gaps, so that the number never decreases. Not thread-safe;
/// the configurations that it returns may be shared between threads.
class ConfigurationLog {
 public:
  /// Tickets that arrive ahead of a gap and are kept until the gap is filled.
  static constexpr std::size_t kMaxHeldTickets = 1024;
  /// Limit of the size of a TicketsAfter answer; leaves room in a peer frame of 4 MiB.
  static constexpr std::size_t kMaxPageBytes = std::size_t{2} * 1024 * 1024;

  using Listener = std::function<void(const std::shared_ptr<const Configuration>&)>;

  ConfigurationLog();

  /// Takes tickets that the platform has accepted. Returns true if the number increased. A ticket
  /// that cannot be parsed, or whose number differs from its key, is dropped; LastReason() then
  /// says why.
  bool Offer(const std::vector<SerializedTicket>& tickets);

  /// Calls `listener` after each call of Offer that increased the number. The listener must stay
  /// valid as long as the log is used.
  void AddListener(Listener listener);

  std::shared_ptr<const Configuration> Current() const { return this->current; }
  std::uint64_t Number() const { return this->current->Number(); }

  /// The tickets from `number` + 1 on, at most `limit` of them and kMaxPageBytes (but at least one
  /// ticket, if there is one).
  std::vector<SerializedTicket> TicketsAfter(std::uint64_t number, std::size_t limit) const;

  /// The ticket `number`, or nothing if it is not applied.
  std::optional<Ticket> FindTicket(std::uint64_t number) const;

  /// The configuration at `number`, which is at most Number(). Parses all tickets up to there
  /// unless `number` is Number().
  Configuration FoldTo(std::uint64_t number) const;

  /// Number of the applied ticket with this id, or 0.
  std::uint64_t FindNumberOfId(const std::string& id) const;

  /// True if a ticket above the gap after Number() is waiting.
  bool HasGap() const { return !this->held.empty(); }

  /// Tickets that were dropped because they were malformed.
  std::uint64_t DroppedTickets() const { return this->dropped; }
  const std::string& LastReason() const { return this->last_reason; }

 private:
  void Hold(const SerializedTicket& serialized);
  bool ApplyHeld();

  struct HeldTicket {
    Ticket ticket;
    std::string json;
  };

  std::shared_ptr<const Configuration> current;
  std::vector<std::string> applied;  ///< Serialized ticket n at index n - 1.
  std::unordered_map<std::string, std::uint64_t> numbers_by_id;
  std::map<std::uint64_t, HeldTicket> held;
  std::vector<Listener> listeners;
  std::uint64_t dropped = 0;
  std::string last_reason;
};

}  // namespace sycamoredrum
