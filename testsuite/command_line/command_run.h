#pragma once

#include <string>
#include <vector>

#include "fleet.h"

namespace sycamoredrum {

/// Result of one run of the sycamoredrum binary.
struct CommandRun {
  int exit_code = -1;  ///< -1 if it did not end in time.
  std::string output;  ///< Standard output.
  std::string errors;  ///< Standard error.
};

/// Runs the sycamoredrum binary and waits for its end. Its standard error is written to a file in
/// `folder`.
CommandRun RunBinary(const std::vector<std::string>& arguments,
                     const std::vector<std::string>& environment, const std::string& folder);

/// Options of a fleet with 1 data centre, 1 proxy and 1 database with 1 backend server.
FleetOptions SmallFleet();

/// Writes a file in `folder` and returns its path.
std::string WriteFile(const std::string& folder, const std::string& name, const std::string& text);

}  // namespace sycamoredrum
