#pragma once

#include <functional>
#include <string>

#include "load.h"

namespace sycamoredrum {

/// One way in which a primary fails. `lose` and `restore` get its id; `restore` is empty if the
/// primary does not return.
struct Loss {
  std::string name;
  std::function<void(Fleet&, const std::string&)> lose;
  std::function<void(Fleet&, const std::string&)> restore;
};

/// Kills the process of the primary, which does not return.
Loss Killed();

/// Cuts the primary off from its replicas, and kills its process when its log has at least 3
/// entries that no replica holds.
Loss KilledAheadOfReplicas();

/// Pauses the process with SIGSTOP and resumes it with SIGCONT.
Loss Stopped();

/// Cuts the primary off from all proxies and, if `replicas_too`, from its replicas.
Loss CutOff(bool replicas_too);

/// Lets the primary fail under load. Checks the history, the failover gap and, if there is a
/// `restore`, that the old primary returns as a replica.
void TestFailoverAfter(const Loss& loss);

}  // namespace sycamoredrum
