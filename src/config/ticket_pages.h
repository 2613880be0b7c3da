#pragma once

#include <vector>

#include "sycamoredrum/configuration_log.h"
#include "sycamoredrum/platform.h"

namespace sycamoredrum {

/// The tickets of a page of platform keys and values. Keys that are not ticket keys are ignored.
std::vector<SerializedTicket> ExtractTickets(const std::vector<KeyValue>& page);

}  // namespace sycamoredrum
