#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/status.h"
#include "sycamoredrum/types.h"

namespace sycamoredrum {

/// Proof that every backend server whose log contains `position` has all writes acknowledged before
/// `proven_at` (local time of this process).
struct FreshnessProof {
  LogPosition position;
  TimePoint proven_at;
};

bool operator==(const FreshnessProof& a, const FreshnessProof& b);

/// Last observation of one backend server.
struct BackendServerView {
  std::string id;
  bool reachable = false;                     ///< The last probe was answered.
  std::optional<BackendServerStatus> status;  ///< Last answer, if there ever was one.
  TimePoint observed_at;                      ///< Send time of the probe that `status` answers.
};

/// A proxy's view of one database. Immutable; replaced as a whole.
struct DatabaseView {
  std::string database;
  std::uint64_t term = 0;  ///< Term of `primary`; 0 if there is none.
  std::string primary;     ///< Id of the primary, or empty.
  std::vector<BackendServerView> backend_servers;
  std::optional<FreshnessProof> proof;

  /// Returns nullptr if the view does not list the server.
  const BackendServerView* Find(std::string_view id) const;
};

bool operator==(const BackendServerView& a, const BackendServerView& b);
bool operator==(const DatabaseView& a, const DatabaseView& b);

/// Builds the view from the answers of one probe round. `round_started` is the local time before
/// the first probe of the round was sent; only servers observed at or after it count towards a
/// proof. If the round yields no proof, the view keeps `previous`.
///
/// The primary is the reachable server that acts as primary in the highest term of all reachable
/// servers and has promised no higher term. There is none if a reachable server already follows a
/// higher term. The round yields a proof if that primary and a majority of `servers`, the primary
/// included, answered in it with a promised term that is not above the primary's term.
DatabaseView BuildDatabaseView(const std::string& database,
                               const std::vector<BackendServerView>& servers,
                               TimePoint round_started,
                               const std::optional<FreshnessProof>& previous);

/// JSON form sent between proxies. Times are sent as ages relative to `now`, in microseconds,
/// rounded up.
std::string ToJson(const DatabaseView& view, TimePoint now);

/// Inverse of ToJson. Ages are subtracted from `requested_at`, the local time at which the answer
/// was requested, so that transmission time can only make the view look older. Returns nothing if a
/// field is missing or has the wrong type.
std::optional<DatabaseView> ParseDatabaseView(const std::string& json, TimePoint requested_at);

}  // namespace sycamoredrum
