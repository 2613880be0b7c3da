#pragma once

#include <functional>
#include <string>

#include "load.h"

namespace sycamoredrum {

/// One way in which a primary is lost. `lose` and `restore` get its id.
struct Loss {
  std::string name;
  std::function<void(Fleet&, const std::string&)> lose;
  std::function<void(Fleet&, const std::string&)> restore;
};

/// Kills the process of the primary; it does not return.
Loss Killed();

/// Cuts the replication, and kills the process when it has run writes that no replica holds.
Loss KilledAheadOfReplicas();

/// Stops the process with SIGSTOP and resumes it with SIGCONT.
Loss Stopped();

/// Cuts the primary off from all proxies and, if `replicas_too`, from its replicas.
Loss CutOff(bool replicas_too);

/// Loses the primary during load and checks the history, the failover gap and the return of the
/// old primary as a replica.
void RunLoss(const Loss& loss);

}  // namespace sycamoredrum
