#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "sycamoredrum/backend_probe.h"
#include "sycamoredrum/clock.h"
#include "sycamoredrum/coordination_store.h"
#include "sycamoredrum/freshness_window.h"
#include "sycamoredrum/grant_holders.h"
#include "sycamoredrum/log.h"
#include "sycamoredrum/platform.h"
#include "sycamoredrum/relay_configuration.h"
#include "sycamoredrum/status.h"
#include "sycamoredrum/successor_selection.h"

namespace sycamoredrum {

/// Which backend server is the primary of a database, as recorded in the store.
struct PrimaryRecord {
  std::string server;
  std::uint64_t generation = 0;  ///< Grows with each change.
  bool serving = false;  ///< False: the server was chosen, but it is not confirmed that it leads.
  /// Latest known term of the database; the server leads in it or a later one.
  std::uint64_t term = 0;
  /// Era of the store in which the record was written. Only then is it known that the store has not
  /// lost a later one.
  std::uint64_t era = 0;
  /// True if every grant from before that era had ended when the record was written. The store may
  /// have lost the registrations of members that held such grants.
  bool settled = false;
  /// Where the latest terms of the log begin: of the server's own log if it serves, and of its
  /// predecessor's otherwise. Not sent to members.
  TermHistory history = {};
  /// End of the server's log when it was chosen, until it serves. Not sent to members.
  LogPosition end = {};
};

inline bool operator==(const PrimaryRecord& a, const PrimaryRecord& b) {
  return std::tie(a.server, a.generation, a.serving, a.term, a.era, a.settled, a.history, a.end) ==
         std::tie(b.server, b.generation, b.serving, b.term, b.era, b.settled, b.history, b.end);
}

/// What a new leader knows of the decisions of earlier leaders.
struct FleetState {
  std::map<std::string, PrimaryRecord> records;    ///< In the store, by database.
  std::map<std::string, std::uint64_t> revisions;  ///< Store revisions of the records.
  /// Store revisions of records that cannot be read, by database. Another writer has replaced them.
  std::map<std::string, std::uint64_t> unreadable;
  /// All that registered and did not leave, including those whose registration the store has lost.
  std::set<std::string> members;
  TimePoint era_observed_at;  ///< When this process first saw the present era of the store.
  /// This process has led without interruption since before the present era began. The records of
  /// its last leadership are still true, also where the store has lost them.
  bool uninterrupted = false;
};

/// State of one database as a member reports it. Times are those of the leader's clock.
struct DatabaseReport {
  std::uint64_t generation = 0;          ///< Generation of the grant that the member holds.
  std::uint64_t revoked_generation = 0;  ///< The member accepts no grant up to this generation.
  std::optional<PositionObservation> newest;  ///< Newest position of the primary's log.
  std::optional<TimePoint> answered_at;       ///< When the primary last answered the member.
  std::optional<TimePoint> failing_since;  ///< Since when the primary has not answered the member.
  std::uint64_t known_term = 0;  ///< Latest term of the database that the member has seen.
};

/// Content of a member's heartbeat.
struct MemberReport {
  std::string member;
  /// Revision of the registration of the member's process; 0 if it has not registered yet.
  std::uint64_t registration = 0;
  /// The registration is in the store, and no pending call can remove it.
  bool registered = false;
  std::uint64_t epoch = 0;  ///< Epoch of the latest leader that the member accepts.
  std::map<std::string, DatabaseReport> databases;
  std::set<std::string> unreachable;  ///< Backend servers that fail or do not answer the member.
  /// Mean number of statements that run or wait, by backend server.
  std::map<std::string, double> demand;
  /// Databases whose positions the member needs; nothing if it needs all.
  std::optional<std::set<std::string>> used_databases;
};

/// The leader's answer to a heartbeat.
struct GrantSet {
  std::uint64_t epoch = 0;
  /// Grants, by database; without databases whose primary may not be used now.
  std::map<std::string, PrimaryRecord> primaries;
  /// Newest log positions, by database; only of databases that the member uses.
  std::map<std::string, PositionObservation> positions;
  /// The member's share of the connections, by backend server.
  std::map<std::string, int> connections;
};

enum class PromoteOutcome {
  kAccepted,
  kNotRunning,  ///< The chosen server does not run; nothing happened.
  kNotDone,     ///< The call was refused, for example by a rate limit; nothing happened.
  kUnknown,     ///< No answer; the promotion may have happened.
};

/// Answer of a member to a revocation.
struct RevocationReply {
  bool acknowledged = false;
  std::optional<LogPosition> newest;  ///< Greatest log position that the member's process knows.
  /// All commits that the member's process has confirmed to callers are at or before this position;
  /// nothing if it has confirmed none.
  std::optional<LogPosition> confirmed;
  std::uint64_t registration = 0;  ///< See MemberReport::registration.
};

using RevocationCallback = std::function<void(const RevocationReply&)>;

struct PrimaryAuthorityHooks {
  /// Sends a member the revocation of a grant. If the change is planned, statements in progress may
  /// end first.
  std::function<void(const std::string& member, std::uint64_t epoch, const std::string& database,
                     std::uint64_t generation, bool planned, RevocationCallback)>
      revoke;
  /// Requests the status of a backend server. Without an answer, the outcome is reported as
  /// kNoAnswer after `timeout`.
  std::function<void(const BackendServerRecord&, Duration timeout,
                     std::function<void(const BackendProbe&)>)>
      probe;
  /// Stores the record if this process still leads and the present record has `revision`.
  std::function<void(const std::string& database, const PrimaryRecord&, std::uint64_t revision,
                     std::function<void(PlatformStatus, std::uint64_t revision)>)>
      store_record;
  /// Requests the platform to promote the server.
  std::function<void(const std::string& database, const std::string& server, std::uint64_t epoch,
                     std::function<void(PromoteOutcome)>)>
      promote;
  /// Notifies a replaced primary that another server leads, in `term`.
  std::function<void(const BackendServerRecord&, std::uint64_t term)> demote;
  /// Requests a heartbeat from all members, so that they receive new grants at once.
  std::function<void()> nudge;
  /// True while this process leads.
  std::function<bool()> leading;
  /// Called when the leader receives heartbeats from at most one member and should therefore
  /// resign.
  std::function<void()> isolated;
};

/// The leader's view of all databases: grants members the use of primaries, detects that a primary
/// must be replaced, and replaces it.
///
/// A replacement takes these steps: all grants for the old primary end (revocations acknowledged,
/// or grants expired); the successor is chosen by the end of its log (SuccessorSelection); the
/// record that names it is stored; the platform is requested to promote it; it confirms that it
/// leads. A new leader that finds a record that is not serving repeats these steps for the server
/// that it names.
///
/// The store may return from an older copy and lose records and registrations. A record of an
/// earlier era of the store is therefore not trusted: a new leader asks the servers which one
/// leads, once no promotion that an earlier leader requested can take effect any more. Until a
/// record of the present era is settled, no other server is promoted before all earlier grants must
/// have ended. Not thread-safe.
class PrimaryAuthority {
 public:
  /// Validity of a grant, counted from when the member sent its heartbeat.
  static constexpr Duration kGrantValidity = std::chrono::seconds(4);
  /// A primary that has answered no member and no probe for this time is probed.
  static constexpr Duration kProbeAfterSilence = std::chrono::milliseconds(300);
  /// Interval between the probes of a primary that answers them, but that some member cannot reach
  /// and therefore suspects.
  static constexpr Duration kSuspectedProbeInterval = std::chrono::milliseconds(700);
  /// A primary is probed for its log position if the newest known one is older than this. Reads at
  /// replicas need a position of the last 1.5 s, of which a heartbeat takes up to 0.8 s. Without
  /// the probes, a primary that takes a second to answer would deliver only positions that are too
  /// old for reads at replicas; all reads would go to the primary and keep it slow.
  static constexpr Duration kMaxPositionAge = std::chrono::milliseconds(400);
  /// Interval between the probes of a primary that does not answer; also the base of the retry
  /// intervals of a replacement.
  static constexpr Duration kProbeInterval = std::chrono::milliseconds(150);
  /// A primary is replaced if it has not answered for this time, which covers a lost packet and its
  /// retransmission, and has left kUnansweredProbesUntilFailed probes unanswered.
  static constexpr Duration kFailedAfterSilence = std::chrono::milliseconds(750);
  /// A probe counts as unanswered after this time.
  static constexpr Duration kProbeTimeout = std::chrono::milliseconds(300);
  static constexpr int kUnansweredProbesUntilFailed = 2;
  /// Time limit for the answer to a status request, except of the candidates for a primary.
  static constexpr Duration kStatusTimeout = std::chrono::milliseconds(500);
  /// Time for the servers of a database to report a primary when no record names it.
  static constexpr Duration kDiscoveryLimit = std::chrono::milliseconds(2400);
  /// A primary is replaced after this number of refused connections in a row: no server listens.
  static constexpr int kRefusalsUntilFailed = 2;
  /// Members report a backend server as unreachable once it has failed for this time; the leader
  /// hands over a primary that enough members report.
  static constexpr Duration kReportUnreachableAfter = std::chrono::milliseconds(1500);
  /// Time limit for all members to acknowledge the revocations of a planned change; it is given up
  /// otherwise.
  static constexpr Duration kPlannedRevocationLimit = std::chrono::milliseconds(700);
  /// A draining primary is replaced after this time even if commits are lost.
  static constexpr Duration kForceHandOverAfter = std::chrono::seconds(4);
  /// A draining primary gets no statements after this time; the shortest drain in use is 7 s. A
  /// process that relied on a lost leader for the servers' records learns of the drain up to 1.8 s
  /// late.
  static constexpr Duration kStopUseAfter = std::chrono::milliseconds(4800);
  /// A primary whose server record is missing for this time is replaced. Records that expired
  /// during an outage of the store are written again within about 2 s.
  static constexpr Duration kServerRecordMissingLimit = std::chrono::milliseconds(2500);
  /// Revocations may start this long before the last grant of an unreachable member expires.
  static constexpr Duration kRevocationLead = std::chrono::milliseconds(300);
  /// Delay before the next search for a successor after one that found none.
  static constexpr Duration kSuccessorSearchPause = std::chrono::milliseconds(400);
  /// Minimum percentage of the members that must report a primary as unreachable before it is
  /// handed over to a server that fewer members report.
  static constexpr std::size_t kHandOverPercent = 25;
  /// Time limit for a successor to receive the last commits of a primary that still runs.
  static constexpr Duration kCatchUpLimit = std::chrono::milliseconds(1500);
  /// Time for a candidate with the whole log to be found before a planned change.
  static constexpr Duration kCandidateLimit = std::chrono::milliseconds(400);
  /// Minimum time between hand-overs of one database, and after one that was given up.
  static constexpr Duration kHandOverPause = std::chrono::seconds(3);
  /// If the successor does not lead within this time, the promotion is requested again.
  static constexpr Duration kConfirmationLimit = std::chrono::milliseconds(2400);
  /// Base interval between computations of the connection shares. A computation takes servers times
  /// members steps, and a fleet of 80 sends 160 heartbeats a second.
  static constexpr Duration kSharesInterval = std::chrono::milliseconds(250);
  /// The shares are computed again after this part of the interval if a member has none yet. Until
  /// then, it uses the share that every process starts with.
  static constexpr int kSharesIntervalParts = 5;
  /// Added to the interval for each step. A step takes about a microsecond; a hundred times that
  /// bounds the computations to 1% of a core.
  static constexpr Duration kSharesIntervalPerStep = std::chrono::microseconds(100);
  /// A promotion call may take effect this long after its leader stopped leading; the timeout of
  /// the call.
  static constexpr Duration kPromotionCallLimit = std::chrono::milliseconds(1000);
  /// Interval between attempts to store a record as serving, in the present era, or as settled.
  static constexpr Duration kRecordRefreshInterval = std::chrono::seconds(1);
  /// Bits of a generation that count within one era of the store. The first generation of an era
  /// exceeds all of earlier eras, including those of lost records.
  static constexpr int kGenerationBits = 32;
  /// A member without a heartbeat for this time counts as unreachable.
  static constexpr Duration kMemberSilence = std::chrono::milliseconds(1600);

  PrimaryAuthority(PrimaryAuthorityHooks hooks, Duration predecessor_lease, const Clock& clock,
                   Scheduler& scheduler, Logger& logger);

  /// Starts a leadership with what is known of earlier ones.
  void Begin(std::uint64_t new_epoch, const FleetState& state);
  /// Ends the leadership; nothing is granted from now on.
  void End();
  bool Active() const { return this->epoch != 0; }

  /// Adds or changes the record of a backend server. Also to be called while another process leads:
  /// a leader must know for how long a server has been draining.
  void PutServer(const BackendServerRecord& record);
  void RemoveServer(const std::string& id);
  void SetMembers(const std::set<std::string>& names);
  /// Sets the databases, and for each the number of connections that one of its backend servers
  /// admits.
  void SetDatabases(const std::map<std::string, int>& connection_caps);
  /// Sets the number of replicas that have received a commit before it is acknowledged, by
  /// database; 0 for databases that are not named.
  void SetSynchronousReplicas(const std::map<std::string, int>& replicas);

  /// Handles a heartbeat and returns the answer, which has epoch 0 if this process does not lead,
  /// does not know the member, or the member is not registered.
  GrantSet OnReport(const MemberReport& report);
  /// The process of `member` that registered with revision `registration` stops and uses no grant
  /// any more.
  void OnGrantsGivenBack(const std::string& member, std::uint64_t registration) {
    this->holders.GaveBack(member, registration);
    this->CommitsUnreported(this->clock.Now());
  }

  /// Detects failures and continues replacements; to be called about every 50 ms.
  void Tick();

  /// True while a promotion call to the platform may still be in flight, so that a later leader
  /// must not start its own.
  bool PromotionInFlight() const { return this->promotions_in_flight > 0; }

  /// Members without a heartbeat for more than `silence`. For a member that has sent none, the time
  /// counts from when this leader learned of it.
  std::vector<std::string> SilentMembers(Duration silence) const;

 private:
  enum class Phase { kDiscover, kServing, kRevoke, kSelect, kRecord, kPromote, kConfirm };

  struct Member {
    TimePoint last_heartbeat;
    bool heartbeat_received = false;
    std::uint64_t registration = 0;  ///< Latest in a report; 0 if there was none.
    MemberReport report;
  };

  struct Database {
    Phase phase = Phase::kDiscover;
    int refusals = 0;  ///< Refused connections of probes in a row.
    PrimaryRecord record;
    std::uint64_t record_revision = 0;
    bool serving_stored = false;  ///< The record in the store says that the server serves.
    bool planned = false;         ///< The old primary still runs; no entry of its log may be lost.
    /// `target` leads already and serves, without a promotion, as soon as its record is stored.
    bool target_leads = false;
    /// The record of an earlier leader is not serving; once all grants have ended, the promotion of
    /// its server is repeated.
    bool resume_promotion = false;
    /// The store may have lost the last record; only the servers can tell which of them leads.
    bool record_lost = false;
    bool suspected = false;  ///< Some member has reported that the primary does not answer it.
    bool call_in_flight = false;
    bool target_answered = false;  ///< Since its promotion was requested.
    /// A promotion of another server than the old primary may have taken effect since the
    /// replacement began.
    bool other_promoted = false;
    /// Latest term in the record or in a report of a member or server. A server that claims to be
    /// the primary in an earlier term has not noticed its replacement.
    std::uint64_t known_term = 0;
    /// Latest generation in a report of a member; exceeds that of the record if the record was
    /// lost.
    std::uint64_t known_generation = 0;
    TimePoint phase_started;
    TimePoint last_answer;  ///< When the primary last answered a member or a probe.
    TimePoint last_probe;
    TimePoint hand_over_not_before;
    std::deque<TimePoint> unanswered_probes;  ///< When each of them was sent.
    std::optional<TimePoint> server_record_missing_since;
    std::optional<TimePoint> successor_search_started;  ///< Of the search for a hand-over.
    /// Newest position known when the search started; the successor must have it.
    LogPosition min_successor_position;
    /// Members that may still use a grant of the database from before its replacement.
    std::set<std::string> awaiting;
    std::map<std::string, BackendProbe> discovered;  ///< Answers to the probes of a discovery.
    std::size_t discovery_probes_in_flight = 0;
    SuccessorSelection successors;
    std::optional<LogPosition> final_position;   ///< Newest position in a member's acknowledgement.
    std::optional<LogPosition> final_confirmed;  ///< As above, of confirmed commits.
    /// First observation of the primary's log since the set of replicas changed, or since a process
    /// was lost that may have confirmed commits. A successor must have its position.
    std::optional<PositionObservation> floor;
    std::set<std::string> failed_targets;
    std::string target;      ///< Server that the next record names.
    LogPosition target_end;  ///< End of its log when it was chosen for a promotion.
    /// Term in which the target already claimed to lead when it was chosen. Until its promotion
    /// takes effect, it may be a former primary that has not noticed its replacement.
    std::optional<std::uint64_t> claimed_term;
    std::string old_server;
    TimePoint next_call;
    TimePoint next_refresh;
    std::optional<PositionObservation> newest;
    /// Number of the present or last replacement; late answers of candidates are recognised by it.
    std::uint64_t replacement = 0;
    std::uint64_t step = 0;  ///< Incremented with each phase; late callbacks are recognised by it.

    /// `unreported_until`: until when lost processes may have confirmed commits.
    void ObserveNewest(const PositionObservation& observation, TimePoint unreported_until) {
      this->newest = observation;
      if (!this->floor ||
          (this->floor->as_of < unreported_until && observation.as_of >= unreported_until)) {
        this->floor = observation;
      }
    }

    void ObserveTerm(const BackendProbe& probe) {
      if (probe.outcome == ProbeOutcome::kAnswered) {
        this->known_term = std::max(this->known_term, probe.term);
      }
    }
  };

  std::map<std::string, PrimaryRecord> TrustedRecords() const;
  void ReplicaRemoved(Database& database, const BackendServerRecord& server) const;
  void Enter(const std::string& name, Database& database, Phase phase);
  void Discover(const std::string& name, Database& database);
  void FinishDiscovery(const std::string& name, Database& database);
  void CheckPrimary(const std::string& name, Database& database);
  void ProbePrimary(const std::string& name, Database& database);
  void CheckMissingServerRecord(const std::string& name, Database& database);
  std::string FailureReason(const std::string& name, Database& database);
  bool MayRevoke() const;
  void ConsiderHandOver(const std::string& name, Database& database, const std::string& reason);
  bool ShouldHandOver(const Database& database) const;
  std::size_t CountMembersUnableToReach(const std::string& server) const;
  void RenewGeneration(const std::string& name, Database& database);
  void Replace(const std::string& name, Database& database, bool planned,
               const std::string& reason);
  void AwaitAllHolders(Database& database) const;
  /// Until `until`, processes that are lost now may have confirmed commits.
  void CommitsUnreported(TimePoint until);
  /// Until the grants of these members end, they may confirm commits that they do not report.
  void CommitsUnreportedBy(const std::set<std::string>& members_with_grants);
  void SendRevocations(const std::string& name, Database& database);
  void OnRevocation(const std::string& name, std::uint64_t step, const std::string& member,
                    const RevocationReply& reply);
  void CheckRevocations(const std::string& name, Database& database);
  void BeginSelection(const std::string& name, Database& database);
  void ProbeCandidates(const std::string& name, Database& database);
  void OnCandidate(const std::string& name, std::uint64_t replacement, const std::string& server,
                   const BackendProbe& probe, TimePoint sent);
  void Select(const std::string& name, Database& database);
  std::vector<SuccessorCandidate> Candidates(const std::string& name,
                                             const Database& database) const;
  int SynchronousReplicas(const std::string& name) const;
  SuccessorRequirements Requirements(const std::string& name, const Database& database) const;
  bool OldPrimaryLeads(const Database& database) const;
  void Choose(const std::string& name, Database& database, const SuccessorChoice& choice);
  void GiveUpHandOver(const std::string& name, Database& database);
  void ResumeOldPrimary(const std::string& name, Database& database);
  void StoreRecord(const std::string& name, Database& database);
  void OnRecordStored(const std::string& name, Database& database, const PrimaryRecord& record,
                      PlatformStatus status, std::uint64_t revision);
  void StoreServing(const std::string& name, Database& database);
  void RefreshRecord(const std::string& name, Database& database);
  std::uint64_t NextGeneration(const Database& database) const;
  bool Settled() const { return this->clock.Now() >= this->settled_from; }
  void Promote(const std::string& name, Database& database);
  void OnPromote(const std::string& name, Database& database, PromoteOutcome outcome);
  void RejectTarget(const std::string& name, Database& database);
  void Confirm(const std::string& name, Database& database);
  void OnConfirm(const std::string& name, Database& database, const BackendProbe& probe,
                 TimePoint sent);
  void CheckContact();
  const std::map<std::string, int>& ConnectionsOf(const std::string& member);
  void ComputeShares();
  std::vector<const BackendServerRecord*> ServersOf(const std::string& database) const;
  const BackendServerRecord* Find(const std::string& server) const;
  Database* DatabaseAtStep(const std::string& name, std::uint64_t step);

  PrimaryAuthorityHooks hooks;
  const Duration predecessor_lease;
  const Clock& clock;
  Scheduler& scheduler;
  Logger& logger;
  std::uint64_t epoch = 0;
  TimePoint leadership_began;
  /// Until then, promotions may take effect whose records the store has lost.
  TimePoint lost_promotions_end;
  /// Until then, members that this leader does not know may hold grants.
  TimePoint lost_grants_end;
  TimePoint settled_from;  ///< Records are stored as settled from then on.
  std::map<std::string, BackendServerRecord> servers;
  /// When this process learned that a server is draining, by id.
  std::map<std::string, TimePoint> draining_since;
  std::map<std::string, Member> members;
  GrantHolders holders;
  std::map<std::string, Database> databases;
  std::map<std::string, int> connection_caps;
  std::map<std::string, int> synchronous_replicas;
  std::map<std::string, std::map<std::string, int>> shares;  ///< By member and backend server.
  TimePoint shares_at;
  std::uint64_t last_replacement = 0;
  /// Until then, commits may have been confirmed by processes that cannot report them any more.
  TimePoint unreported_until;
  int promotions_in_flight = 0;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);  ///< Expires with the object.
};

}  // namespace sycamoredrum
