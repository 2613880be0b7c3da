#pragma once

#include <optional>
#include <string>
#include <vector>

#include "sycamoredrum/event_loop.h"
#include "sycamoredrum/http.h"

namespace sycamoredrum {

/// Parses "IP:PORT"; unlike Endpoint::Parse it accepts port 0, which lets the system choose.
std::optional<Endpoint> ParseListenEndpoint(const std::string& text);

/// Parses "12ms" or "12". Returns nothing if the text is not a number of milliseconds.
std::optional<Duration> ParseMilliseconds(const std::string& text);

/// Prints `ready` as one line, waits for SIGTERM or SIGINT, then shuts the servers down, stops the
/// loop and joins it. Requests in flight get 500 ms to finish.
void RunUntilStopSignal(EventLoop& loop, const std::vector<HttpServer*>& servers,
                        const std::string& ready);

}  // namespace sycamoredrum
