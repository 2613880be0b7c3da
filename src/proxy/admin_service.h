#pragma once

#include <functional>
#include <mutex>
#include <string>

#include "configuration_service.h"
#include "entry_service.h"
#include "holder_registry.h"
#include "membership_service.h"
#include "shared_state.h"
#include "sycamoredrum/http.h"
#include "sycamoredrum/metrics.h"
#include "sycamoredrum/read_router.h"
#include "sycamoredrum/settings.h"

namespace sycamoredrum {

/// HTTP interface for operators: /metrics, /healthz, /readyz, /v1/status, /v1/route and /v1/drain.
/// Thread-safe.
class AdminService {
 public:
  struct Dependencies {
    EventLoop& loop;
    const ProxySettings& settings;
    const ConfigurationSnapshot& configuration;
    const FleetSnapshot& fleet;
    const ViewTable& views;
    ConfigurationService& configuration_service;
    EntryService& entry;
    HolderRegistry& holders;
    Metrics& metrics;
    RandomSource random;
    std::function<bool()> ready;            ///< True if the proxy can serve callers.
    std::function<void()> drain;            ///< Starts a graceful stop.
    std::function<void()> export_counters;  ///< Called before each scrape of the metrics.
  };

  explicit AdminService(Dependencies dependencies) : dependencies(std::move(dependencies)) {}

  void Handle(const HttpRequest& http, const HttpRespond& respond);

 private:
  HttpResponse Status();
  HttpResponse Route(const HttpRequest& http);
  HttpResponse ExposeMetrics();

  Dependencies dependencies;
  std::mutex scrape_mutex;  // Serialises scrapes, because Metrics::RaiseTo requires it.
};

}  // namespace sycamoredrum
