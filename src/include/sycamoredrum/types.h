#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace sycamoredrum {

/// Address of a socket: IP address and port.
struct Endpoint {
  std::string host;  ///< IPv4 or IPv6 address, without brackets.
  std::uint16_t port = 0;

  /// Parses "IP:PORT" or "[IPv6]:PORT". Returns nothing if the text is not of that form, the host
  /// is not an IP address, or the port is zero.
  static std::optional<Endpoint> Parse(std::string_view text);

  /// "IP:PORT", or "[IPv6]:PORT" for an IPv6 address.
  std::string ToString() const;
};

inline bool operator==(const Endpoint& a, const Endpoint& b) {
  return std::tie(a.host, a.port) == std::tie(b.host, b.port);
}
inline bool operator!=(const Endpoint& a, const Endpoint& b) { return !(a == b); }
inline bool operator<(const Endpoint& a, const Endpoint& b) {
  return std::tie(a.host, a.port) < std::tie(b.host, b.port);
}

/// Term and index of an entry in a database's log. The index of the first entry is 1; {0, 0} stands
/// for the empty log. Positions are ordered by term, then by index.
struct LogPosition {
  std::uint64_t term = 0;
  std::uint64_t index = 0;

  /// "TERM/INDEX".
  std::string ToString() const;
};

inline bool operator==(const LogPosition& a, const LogPosition& b) {
  return std::tie(a.term, a.index) == std::tie(b.term, b.index);
}
inline bool operator!=(const LogPosition& a, const LogPosition& b) { return !(a == b); }
inline bool operator<(const LogPosition& a, const LogPosition& b) {
  return std::tie(a.term, a.index) < std::tie(b.term, b.index);
}
inline bool operator<=(const LogPosition& a, const LogPosition& b) { return !(b < a); }
inline bool operator>(const LogPosition& a, const LogPosition& b) { return b < a; }
inline bool operator>=(const LogPosition& a, const LogPosition& b) { return !(a < b); }

/// First log index of a term.
struct TermStart {
  std::uint64_t term = 0;
  std::uint64_t first_index = 0;
};

inline bool operator==(const TermStart& a, const TermStart& b) {
  return std::tie(a.term, a.first_index) == std::tie(b.term, b.first_index);
}

/// The terms of a log in ascending order, each with its first index.
class TermHistory {
 public:
  TermHistory() = default;
  explicit TermHistory(std::vector<TermStart> term_starts) : starts(std::move(term_starts)) {}

  const std::vector<TermStart>& Starts() const { return this->starts; }

  /// Term of the entry at `index`, or 0 if `index` is before the first entry. The history does not
  /// contain the last index of the log: for a larger `index`, returns the last term.
  std::uint64_t TermAt(std::uint64_t index) const;

  /// True if a log with this history and `last_index` entries holds an entry of the position's term
  /// at its index. Always true for index 0.
  bool Contains(const LogPosition& position, std::uint64_t last_index) const;

  /// True if `position` can never become part of a log with this history and `last_index` entries:
  /// the log has reached the position's term or a later one, and it either has an entry of another
  /// term at the position's index or is shorter and has reached a later term. False while the log
  /// has only lower terms: its last entries may be truncated when it follows the position's term.
  bool Excludes(const LogPosition& position, std::uint64_t last_index) const;

  /// History after appending the first entry of `term` at `first_index`. Returns the history
  /// unchanged if it already contains `term` or a later term.
  TermHistory WithTerm(std::uint64_t term, std::uint64_t first_index) const;

  /// History of the log truncated to its first `last_index` entries.
  TermHistory TruncatedTo(std::uint64_t last_index) const;

 private:
  std::vector<TermStart> starts;
};

inline bool operator==(const TermHistory& a, const TermHistory& b) {
  return a.Starts() == b.Starts();
}

/// What a caller may conclude from an answer.
enum class Outcome {
  kResult,   ///< The request ran; the results are complete.
  kNotRun,   ///< The request did not run and never will.
  kUnknown,  ///< The request may have run.
  kFailed,   ///< The database rejected the request; it has no effect.
};

/// Name of an outcome as used in messages: "result", "not_run", "unknown" or "failed".
std::string_view ToString(Outcome outcome);

/// Inverse of ToString.
std::optional<Outcome> ParseOutcome(std::string_view text);

}  // namespace sycamoredrum
