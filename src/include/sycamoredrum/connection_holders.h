#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/types.h"

namespace sycamoredrum {

/// A relay that holds the connections to the backend servers of its data centre. Other relays send
/// statements for these servers to it.
struct ConnectionHolder {
  std::string member;
  std::string data_centre;
  Endpoint endpoint;           ///< Listens for links from other relays.
  double processor_share = 1;  ///< Fraction of a processor core that the relay gets.
};

inline bool operator==(const ConnectionHolder& a, const ConnectionHolder& b) {
  return std::tie(a.member, a.data_centre, a.endpoint, a.processor_share) ==
         std::tie(b.member, b.data_centre, b.endpoint, b.processor_share);
}
inline bool operator!=(const ConnectionHolder& a, const ConnectionHolder& b) { return !(a == b); }

/// Holders of one data centre. They bound the number of relays that open connections to one server,
/// and more of them spread the load of organisations only slightly better.
inline constexpr std::size_t kMaxHoldersPerDataCentre = 8;

/// True if relays forward statements to holders: a backend server admits fewer than kMinShare
/// connections for each of `processes` relays.
bool ForwardingApplies(int connection_cap, std::size_t processes);

/// Chooses the relays that hold connections: in each of `data_centres`, at most
/// kMaxHoldersPerDataCentre of `candidates`, those with the greatest processor share. Ordered by
/// data centre, then by share and name, so that the result depends only on the arguments.
std::vector<ConnectionHolder> ChooseConnectionHolders(
    const std::vector<ConnectionHolder>& candidates, const std::set<std::string>& data_centres);

/// The holders as one relay knows them, and which of them responded lately. Not thread-safe.
class ConnectionHolders {
 public:
  /// A holder that did not respond gets no statements for this time.
  static constexpr Duration kUnresponsiveBackOff = std::chrono::seconds(1);

  /// `self` is the member name of this relay.
  explicit ConnectionHolders(std::string self) : self(std::move(self)) {}

  /// Replaces the list. What is known of holders that stay is kept.
  void Set(const std::vector<ConnectionHolder>& holders);
  bool Empty() const { return this->by_data_centre.empty(); }
  /// True if this relay is a holder of `data_centre`.
  bool IsHolder(const std::string& data_centre) const;

  /// Chooses the holder for statements of `organisation` at `server`, a backend server in
  /// `data_centre`, by weighted rendezvous hashing: all relays choose the same one, each holder is
  /// chosen in proportion to its processor share, and a holder that leaves moves only its own part.
  /// Leaves out those in `tried` and those that did not respond. Returns null if there is none or
  /// if this relay is chosen itself.
  const ConnectionHolder* Choose(const std::string& server, const std::string& data_centre,
                                 const std::string& organisation,
                                 const std::set<std::string>& tried, TimePoint now) const;

  /// Records that the holder answered a statement. Returns true if it had not responded before.
  bool MarkAnswered(const std::string& member, TimePoint now);
  /// Records that the holder did not respond, or that it refuses statements because it stops.
  /// Returns true if it responded before.
  bool MarkUnresponsive(const std::string& member, TimePoint now);
  /// True if the holder answered a statement at `time` or later.
  bool AnsweredSince(const std::string& member, TimePoint time) const;

 private:
  struct State {
    std::optional<TimePoint> answered_at;
    std::optional<TimePoint> excluded_until;
    bool unresponsive = false;
  };

  const std::string self;
  std::map<std::string, std::vector<ConnectionHolder>> by_data_centre;
  std::map<std::string, State> states;  ///< By member.
};

}  // namespace sycamoredrum
