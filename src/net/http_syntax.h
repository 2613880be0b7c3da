#pragma once

#include "sycamoredrum/http.h"

namespace sycamoredrum {

/// True if each header is a name and a value of one line.
bool AreHeaders(const HttpHeaders& headers);

/// True if the method, the target and the headers are single parts of a message.
bool IsSingleMessage(const HttpRequest& request);

}  // namespace sycamoredrum
