#pragma once

#include <vector>

#include "sycamoredrum/configuration_log.h"
#include "sycamoredrum/platform.h"

namespace sycamoredrum {

/// The tickets among `page`; other keys are ignored.
std::vector<SerializedTicket> TicketsOf(const std::vector<KeyValue>& page);

}  // namespace sycamoredrum
