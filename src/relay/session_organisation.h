#pragma once

#include <cstdint>
#include <string>

#include "sycamoredrum/relay_configuration.h"
#include "sycamoredrum/statement.h"

namespace sycamoredrum {

/// On whose behalf the statements of a caller's session run.
struct SessionIdentity {
  bool authenticated = true;      ///< False: nothing may run, because the route requires a key.
  std::string organisation;       ///< Empty: a caller of a public route without a known key.
  std::uint64_t incarnation = 0;  ///< Of the organisation.
  int weight = 1;                 ///< Share of the organisation in the queues for connections.

  /// True if a transaction may continue, and a connection may be used, under the other identity.
  bool SameOwner(const SessionIdentity& other) const {
    return this->authenticated == other.authenticated && this->organisation == other.organisation &&
           this->incarnation == other.incarnation;
  }
};

/// Determines the identity of a session from its route and its caller's key. The session of a route
/// that the configuration lacks counts as that of a public route; its statements are refused
/// anyway.
SessionIdentity IdentifyCaller(const RelayConfiguration& configuration, const std::string& route,
                               const std::string& key);

/// Identity of a session that runs statements for another relay, which has checked the caller's
/// key. An organisation that the configuration lacks, because it is older than the other relay's,
/// has the least weight.
SessionIdentity IdentifyOrganisation(const RelayConfiguration& configuration,
                                     const std::string& organisation);

/// Error for a caller whose key is missing or not known.
StatementError UnauthenticatedError();

/// Weight in the queues for connections. While both wait, the highest priority gets eight times as
/// many connections as the lowest.
int QueueWeight(int priority);

}  // namespace sycamoredrum
