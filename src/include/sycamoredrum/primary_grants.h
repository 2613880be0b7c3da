#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "sycamoredrum/clock.h"

namespace sycamoredrum {

/// Permission from the leader to use a backend server as the primary of its database until
/// `valid_until`.
struct PrimaryGrant {
  std::string server;            ///< Id of the backend server.
  std::uint64_t generation = 0;  ///< Increases with each change of the primary of the database.
  std::uint64_t epoch = 0;       ///< Fencing token of the leader that granted it.
  TimePoint valid_until;
};

inline bool operator==(const PrimaryGrant& a, const PrimaryGrant& b) {
  return std::tie(a.server, a.generation, a.epoch, a.valid_until) ==
         std::tie(b.server, b.generation, b.epoch, b.valid_until);
}

/// The grants that this process holds, at most one for each database.
///
/// The leader promotes another server only after every holder has acknowledged the revocation of
/// its grant or the grant has expired. A server that is used under a valid grant has therefore not
/// been replaced as primary. The clock must advance while the VM is suspended. Not thread-safe.
class PrimaryGrants {
 public:
  explicit PrimaryGrants(const Clock& clock) : clock(clock) {}

  /// Accepts the leader of `new_epoch`; grants and revocations of earlier epochs are rejected from
  /// now on. Grants that are already held stay until they expire or are revoked. Returns false if a
  /// later epoch is already known.
  bool Adopt(std::uint64_t new_epoch);

  /// Stores or extends a grant. Ignores a grant of an earlier epoch, of a revoked generation, or of
  /// an earlier generation than a grant that may still be used.
  void Renew(const std::string& database, const PrimaryGrant& grant);

  /// Begins the revocation of generations up to `generation` of `database`: grants of these
  /// generations are rejected from now on, and no statement may be started under the one that is
  /// held. Statements in flight may still end until FinishRevocation. Returns false if a later
  /// epoch than `from_epoch` is already known, or a grant of a later generation may be used.
  bool Revoke(std::uint64_t from_epoch, const std::string& database, std::uint64_t generation);

  /// Drops the grant of `database` if it is revoked. To be called before the revocation is
  /// acknowledged to the leader.
  void FinishRevocation(const std::string& database);

  /// Drops all grants. To be called when the process stops, before it tells the leader.
  void DropAll() { this->entries.clear(); }

  /// The grant of `database`, or nothing if there is none under which statements may be started
  /// now.
  std::optional<PrimaryGrant> Current(const std::string& database) const;
  /// Generation of the current grant; 0 if there is none.
  std::uint64_t CurrentGeneration(const std::string& database) const;

  /// True if results of statements that were started under this generation of `database` are still
  /// valid: the grant has not expired and FinishRevocation has not dropped it.
  bool StillValid(const std::string& database, std::uint64_t generation) const;

  /// Generation of the grant that is held, also while it is revoked; 0 if there is none.
  std::uint64_t HeldGeneration(const std::string& database) const;

  /// Latest revoked generation of `database`; 0 if none was revoked.
  std::uint64_t RevokedGeneration(const std::string& database) const;

  /// Epoch of the latest known leader.
  std::uint64_t Epoch() const { return this->epoch; }

 private:
  struct Entry {
    std::optional<PrimaryGrant> grant;
    std::uint64_t revoked_generation = 0;

    bool Revoked() const {
      return this->grant && this->grant->generation <= this->revoked_generation;
    }
  };

  const PrimaryGrant* FindCurrent(const std::string& database) const;

  const Clock& clock;
  std::uint64_t epoch = 0;
  std::map<std::string, Entry> entries;
};

}  // namespace sycamoredrum
