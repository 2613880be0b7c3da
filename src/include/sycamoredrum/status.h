#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/types.h"

namespace sycamoredrum {

enum class Role { kReplica, kPrimary };

/// Response of a backend server's control port to `status`, `fence`, `promote` and `follow`.
struct BackendServerStatus {
  std::string backend_server;  ///< Id of the backend server that answered.
  std::string database;
  Role role = Role::kReplica;
  std::uint64_t term = 0;           ///< Term in which the server acts as primary or replica.
  std::uint64_t promised_term = 0;  ///< The server refuses lower terms.
  std::string promised_by;          ///< Id of the proposer of `promised_term`.
  std::uint64_t last_index = 0;
  TermHistory history;
  std::string follows;                      ///< Id of the primary that a replica follows, or empty.
  std::optional<Duration> primary_silence;  ///< Replicas: time since the primary's last message.
  bool accepted = true;                     ///< False if a control operation was refused.

  /// Position of the last log entry.
  LogPosition LastPosition() const {
    return LogPosition{this->history.TermAt(this->last_index), this->last_index};
  }
  /// True if the server's log holds exactly the entry at `position`.
  bool Contains(const LogPosition& position) const {
    return this->history.Contains(position, this->last_index);
  }
};

bool operator==(const BackendServerStatus& a, const BackendServerStatus& b);

/// JSON form used on the control port and between proxies; docs/backend-interface.md lists the
/// fields.
std::string ToJson(const BackendServerStatus& status);

/// Inverse of ToJson. Returns nothing if a required field is missing or has the wrong type.
std::optional<BackendServerStatus> ParseBackendServerStatus(const std::string& json);

}  // namespace sycamoredrum
