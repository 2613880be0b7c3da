#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/configuration.h"
#include "sycamoredrum/database_view.h"
#include "sycamoredrum/types.h"

namespace sycamoredrum {

/// Records backend servers that recently refused a request, timed out or were behind, whichever
/// holder the request was sent to. Not thread-safe.
class FailureMemory {
 public:
  explicit FailureMemory(const Clock& clock) : clock(clock) {}

  /// Avoids the server for `duration` from now. A shorter period does not replace a longer one.
  void Record(const std::string& backend_server, Duration duration);

  /// To be called after a successful answer: the server is no longer avoided.
  void Clear(const std::string& backend_server);

  bool RecentlyFailed(const std::string& backend_server) const;

 private:
  const Clock& clock;
  std::map<std::string, TimePoint> avoid_until;
};

/// Recent freshness proofs of one database. A read that accepts a limited staleness needs only the
/// smallest position that was proven recently enough, which replicas reach earlier than the latest
/// one.
class ProofHistory {
 public:
  static constexpr std::size_t kMaxProofs = 64;

  /// Adds a proof. A proof that is not newer than the last one is ignored.
  void Add(const FreshnessProof& proof);

  /// The proof with the smallest position among those proven at or after `not_before`.
  std::optional<FreshnessProof> Find(TimePoint not_before) const;

  /// Removes all proofs. To be called when a proven position turns out not to be in the present
  /// history.
  void Clear() { this->proofs.clear(); }

 private:
  std::deque<FreshnessProof> proofs;  ///< In ascending order of `proven_at`.
};

/// Why the primary is the first choice for a read.
enum class PrimaryReason {
  kNone,                 ///< A replica is the first choice.
  kNoReplica,            ///< The configuration has no replica that takes new requests.
  kReplicasUnreachable,  ///< No replica answered its last probe.
  kReplicasFailed,       ///< Every suitable replica failed recently.
  kReplicasBehind,       ///< No replica is expected to reach the position in time.
};

/// Name used in metrics, for example "replicas_behind".
std::string_view ToString(PrimaryReason reason);

/// Requirements of a read.
struct RouteRequest {
  LogPosition require;            ///< Position that the server must contain.
  std::string local_data_centre;  ///< Data centre of this proxy.
  Duration remaining{};           ///< Time left until the deadline.
};

/// One backend server to try.
struct ReadChoice {
  std::string backend_server;
  Duration wait{};  ///< How long the server may wait for the required position.
};

bool operator==(const ReadChoice& a, const ReadChoice& b);

/// Backend servers in the order in which a read tries them.
struct ReadRoute {
  std::vector<ReadChoice> choices;
  PrimaryReason primary_reason = PrimaryReason::kNone;
};

/// Chooses backend servers for reads (docs/design.md, section 5.4). The choice affects only the
/// latency: the backend server itself checks the required position.
class ReadRouter {
 public:
  /// A server waits at most a third of the remaining time and at most this long.
  static constexpr std::chrono::milliseconds kMaxWait{200};

  /// `random` distributes reads over equally suitable servers.
  ReadRouter(const Clock& clock, RandomSource random);

  /// Returns replicas that hold `require`, then replicas expected to reach it within the wait, then
  /// the primary, then servers that failed recently or are unreachable. Servers of the local data
  /// centre come first within each class. Servers that `config` does not list, replicas whose last
  /// observed history excludes `require`, and replicas that are leaving are left out. The route is
  /// empty if no time remains.
  ReadRoute Route(const DatabaseView& view, const DatabaseConfig& config,
                  const FailureMemory& failures, const RouteRequest& request) const;

 private:
  enum class Class { kHolds, kExpected, kPrimary, kLastResort, kUnsuitable };
  struct Candidate {
    std::string id;
    Class rank = Class::kUnsuitable;
    bool remote = false;
    std::uint64_t tie_break = 0;
  };
  struct ReplicaCounts {
    std::size_t replicas = 0;
    std::size_t unreachable = 0;
    std::size_t failed = 0;
  };

  Class Classify(const DatabaseView& view, const BackendServerView& server,
                 const FailureMemory& failures, const RouteRequest& request, Duration wait) const;
  bool ExpectedToCatchUp(const DatabaseView& view, const BackendServerView& server,
                         const LogPosition& require, Duration wait) const;
  std::vector<Candidate> FindCandidates(const DatabaseView& view, const DatabaseConfig& config,
                                        const FailureMemory& failures, const RouteRequest& request,
                                        Duration wait) const;
  static ReplicaCounts CountReplicas(const DatabaseView& view, const DatabaseConfig& config,
                                     const FailureMemory& failures);
  static PrimaryReason ReasonForPrimary(const ReplicaCounts& counts);

  const Clock& clock;
  RandomSource random;
};

}  // namespace sycamoredrum
