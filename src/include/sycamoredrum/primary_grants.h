#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "sycamoredrum/clock.h"

namespace sycamoredrum {

/// Permission to use a backend server as the primary of its database until `valid_until`.
struct PrimaryGrant {
  std::string server;            ///< Id of the backend server.
  std::uint64_t generation = 0;  ///< Grows with each change of the primary of the database.
  std::uint64_t epoch = 0;       ///< Fencing token of the leader that granted it.
  TimePoint valid_until;
};

inline bool operator==(const PrimaryGrant& a, const PrimaryGrant& b) {
  return std::tie(a.server, a.generation, a.epoch, a.valid_until) ==
         std::tie(b.server, b.generation, b.epoch, b.valid_until);
}

/// The grants that this process holds. The leader promotes another server only after every holder
/// has acknowledged a revocation or its grant has expired, so a process that uses a primary under a
/// valid grant cannot meet a replaced one. The clock must count suspended time. Not thread-safe.
class PrimaryGrants {
 public:
  explicit PrimaryGrants(const Clock& clock) : clock(clock) {}

  /// Obeys the leader of `new_epoch` from now on. Grants of earlier leaders stay until they expire
  /// or are revoked. Returns false if a later leader is already known.
  bool Adopt(std::uint64_t new_epoch);

  /// Stores a grant. Ignored if it comes from an earlier leader or names a revoked generation.
  void Renew(const std::string& database, const PrimaryGrant& grant);

  /// Starts to give the grant of `database` back: no statement may be started under it any more,
  /// and generations up to `generation` are refused from now on. Statements under way may end until
  /// FinishRevocation. Returns false if a later leader is already known.
  bool Revoke(std::uint64_t from_epoch, const std::string& database, std::uint64_t generation);

  /// Drops a revoked grant. To be called before the revocation is acknowledged.
  void FinishRevocation(const std::string& database);

  /// The grant, if statements may be started under it now.
  std::optional<PrimaryGrant> Current(const std::string& database) const;

  /// True if statements under this generation of `database` may still end: the grant has not
  /// expired and its revocation has not been acknowledged.
  bool StillValid(const std::string& database, std::uint64_t generation) const;

  /// Grants of `database` up to this generation are refused; 0 if none was revoked.
  std::uint64_t RevokedGeneration(const std::string& database) const;

  std::uint64_t Epoch() const { return this->epoch; }

 private:
  struct Entry {
    std::optional<PrimaryGrant> grant;
    std::uint64_t revoked_generation = 0;

    bool Revoked() const {
      return this->grant && this->grant->generation <= this->revoked_generation;
    }
  };

  const Clock& clock;
  std::uint64_t epoch = 0;
  std::map<std::string, Entry> entries;
};

}  // namespace sycamoredrum
