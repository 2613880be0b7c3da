#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "sycamoredrum/backend_probe.h"
#include "sycamoredrum/clock.h"
#include "sycamoredrum/types.h"

namespace sycamoredrum {

/// A server of a database whose primary is replaced.
struct SuccessorCandidate {
  std::string server;
  bool eligible = true;   ///< May be promoted.
  bool preferred = true;  ///< Is chosen before others with an equal log.
  /// Number of members that cannot reach the server; decides between equal logs.
  std::size_t unable_to_reach = 0;
};

/// What is known of the commits that callers were told of.
struct SuccessorRequirements {
  std::string old_primary;       ///< Empty if it is not known.
  std::uint64_t known_term = 0;  ///< Latest known term of the database.
  /// Number of replicas that have received a commit before it is confirmed.
  int synchronous_replicas = 0;
  /// All commits that were confirmed before the set of replicas last changed are at or before it.
  LogPosition floor;
  std::optional<LogPosition> final_end;  ///< Newest known end of the old primary's log.
  /// Greatest position of a commit that a member reports as confirmed, at least `floor`.
  LogPosition confirmed_end;
  /// No other process has confirmed later commits.
  bool confirmed_end_complete = false;
  /// The old primary runs, and none of its entries may be lost.
  bool planned = false;
  /// Of the old primary's log. Empty with synchronous replicas: what a promotion rolls back there
  /// was not confirmed, and a server with it may be the only one with confirmed commits.
  TermHistory history;
};

/// Why a server may be promoted.
enum class SuccessorBasis {
  kWholeLog,    ///< It has the old primary's whole log, or all of it that was confirmed.
  kQuorum,      ///< Every confirmed commit is on it, or on a server whose log is not longer.
  kAllProbed,   ///< Without synchronous replicas: no other server that runs has a longer log.
  kTimeLimit,   ///< Confirmed commits may be lost.
  kRolledBack,  ///< Commits come back that an earlier promotion rolled back.
};

std::string_view ToString(SuccessorBasis basis);

struct SuccessorChoice {
  std::string server;
  SuccessorBasis basis = SuccessorBasis::kTimeLimit;
};

inline bool operator==(const SuccessorChoice& a, const SuccessorChoice& b) {
  return a.server == b.server && a.basis == b.basis;
}

/// Collects what the servers of one database answer about their logs while its primary is replaced,
/// and determines which of them may be promoted.
///
/// Where commits are confirmed once `synchronous_replicas` replicas have received them, a server
/// may be promoted if fewer other replicas than that may have a longer log. A replica that is busy,
/// silent or down may have one; so may a replica whose answer was requested before the grants for
/// the old primary ended, because more commits may have been confirmed since. Without synchronous
/// replicas no choice is certain, and the wait for such servers is short.
///
/// A server that was not reached by an earlier promotion may have entries that this promotion has
/// rolled back. Callers have read a log without them, so it is promoted only if no other server
/// with most of the log answers within kConsistencyLimit. Not thread-safe.
class SuccessorSelection {
 public:
  /// Time limit for the servers to answer after the end of the grants, without synchronous
  /// replicas.
  static constexpr Duration kAsynchronousLimit = std::chrono::milliseconds(400);
  /// Time limit with synchronous replicas, or while only servers with rolled back entries answer,
  /// from the beginning of the replacement. Requests must be served again 12 s after a failure.
  static constexpr Duration kConsistencyLimit = std::chrono::seconds(10);
  /// Time limit for the answer to a status request; covers the queue of a slow server.
  static constexpr Duration kStatusTimeout = std::chrono::seconds(2);
  static constexpr Duration kProbeInterval = std::chrono::milliseconds(150);
  /// Interval between the probes of a busy server.
  static constexpr Duration kBusyProbeInterval = std::chrono::milliseconds(50);
  /// Maximum number of unanswered probes of one server.
  static constexpr int kMaxProbesInFlight = 4;

  /// Starts over, for a replacement that begins at `now`. `replicas` are the other servers of the
  /// database.
  void Begin(std::set<std::string> replicas, TimePoint now);
  /// All grants for the old primary have ended; no further commit is confirmed.
  void GrantsEnded(TimePoint now);
  /// Forgets all answers; servers may have stopped since, or their logs may have changed.
  void Forget();

  /// True if a status request to the server is due. `urgent`: at the shortest interval.
  bool ProbeDue(const std::string& server, bool urgent, TimePoint now) const;
  void ProbeSent(const std::string& server, TimePoint now);
  /// Adds the outcome of a probe that was sent at `sent`.
  void ProbeDone(const std::string& server, const BackendProbe& probe, TimePoint sent);

  /// The server to promote, or nothing while it is not certain yet. `candidates` are all servers of
  /// the database; the grants must have ended.
  std::optional<SuccessorChoice> Choose(const SuccessorRequirements& requirements,
                                        const std::vector<SuccessorCandidate>& candidates,
                                        TimePoint now) const;

  /// The latest answer of the server, unless a later probe showed that it does not run.
  std::optional<BackendProbe> Answer(const std::string& server) const;
  /// As Answer, if it was requested after the end of the grants: the log has its final end.
  std::optional<BackendProbe> FinalAnswer(const std::string& server) const;

  /// The last position or outcome of each server, for a log line. `history` is that of the old
  /// primary's log.
  std::string Describe(const TermHistory& history) const;

 private:
  struct Server {
    int probes_in_flight = 0;
    std::optional<TimePoint> last_sent;
    TimePoint outcome_sent;  ///< When the probe of the last outcome was sent.
    std::optional<ProbeOutcome> outcome;
    std::optional<BackendProbe> answer;
    TimePoint answer_sent;  ///< When the probe of the last answer was sent.
  };

  /// True if the old primary answered after another server had been promoted, which has failed too.
  /// It may still claim to lead in its earlier term.
  static bool Replaced(const SuccessorRequirements& requirements, const BackendProbe& primary);
  const Server* Find(const std::string& server) const;
  /// The candidate with the longest log, either of those with or of those without rolled back
  /// entries.
  const SuccessorCandidate* LongestLog(const SuccessorRequirements& requirements,
                                       const std::vector<SuccessorCandidate>& candidates,
                                       bool rolled_back) const;
  /// The best candidate. One without rolled back entries is preferred, unless it lacks more entries
  /// than would come back with the other one; a server that has restarted without its log has no
  /// rolled back entries either. Sets whether the candidate has some.
  const SuccessorCandidate* Best(const SuccessorRequirements& requirements,
                                 const std::vector<SuccessorCandidate>& candidates,
                                 bool* rolled_back) const;
  /// True if a log that ends at `end` certainly contains all confirmed commits of the old primary.
  bool HasAll(const SuccessorRequirements& requirements, const LogPosition& end) const;
  /// True if the log of the server certainly is not longer than `end`.
  bool Covered(const std::string& server, const LogPosition& end) const;
  /// True if the server does not run, or its log is known.
  bool Settled(const std::string& server) const;
  /// Number of replicas besides `best` whose logs may be longer than `end`, also of those whose
  /// records have been removed meanwhile.
  int CountUncovered(const SuccessorRequirements& requirements,
                     const std::vector<SuccessorCandidate>& candidates, const std::string& best,
                     const LogPosition& end) const;

  TimePoint began;
  std::set<std::string> replicas;  ///< When the replacement began.
  std::optional<TimePoint> grants_ended;
  std::map<std::string, Server> servers;
};

}  // namespace sycamoredrum
