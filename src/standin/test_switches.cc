#include "test_switches.h"

#include <set>
#include <string>

#include "json_response.h"

namespace sycamoredrum {

void ApplyFreeze(const nlohmann::json& body, TestGate& gate, EventLoop& loop) {
  const bool frozen = body.value("frozen", true);
  const Duration length = Milliseconds(body, "ms");
  const std::uint64_t freeze = gate.SetFrozen(frozen);
  if (frozen && length > Duration::zero()) {
    loop.RunAfter(length, [&gate, freeze] { gate.EndFreeze(freeze); });
  }
}

void ApplyCut(const nlohmann::json& body, TestGate& gate, HttpServer* server) {
  const auto hosts = body.at("hosts").get<std::set<std::string>>();
  const bool close = body.value("mode", "silent") == "close";
  gate.SetCut(hosts, close ? TestGate::CutMode::kClose : TestGate::CutMode::kSilent);
  if (!close || server == nullptr) {
    return;
  }
  for (const std::string& host : hosts) {
    server->CloseConnectionsFrom(host);
  }
}

}  // namespace sycamoredrum
