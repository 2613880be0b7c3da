#pragma once

#include <optional>
#include <string>

#include "sycamoredrum/finding.h"
#include "sycamoredrum/ticket.h"

namespace sycamoredrum {

/// Reads and parses a ticket. Adds every problem to `findings`; the places start with the path.
std::optional<Ticket> ReadTicketFile(const std::string& path, Findings& findings);

}  // namespace sycamoredrum
