#pragma once

#include <optional>
#include <string>

#include "sycamoredrum/finding.h"
#include "sycamoredrum/ticket.h"

namespace sycamoredrum {

/// Reads and parses a ticket file. Adds every problem to `findings`, with a place that starts with
/// the path.
std::optional<Ticket> ReadTicketFile(const std::string& path, Findings& findings);

}  // namespace sycamoredrum
