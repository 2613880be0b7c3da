#include "configuration_update.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace sycamoredrum {

ConfigurationUpdate::ConfigurationUpdate(const Clock& clock, Logger& logger, Metrics& metrics)
    : clock(clock), logger(logger), metrics(metrics) {}

void ConfigurationUpdate::Announce(std::uint64_t version, const std::string& member) {
  if (version <= this->present || version <= this->pending) {
    return;
  }
  const TimePoint now = this->clock.Now();
  if (std::exchange(this->pending, version) == 0) {
    this->behind_since = now;
  }
  this->pending_since = now;
  this->logger.Info("configuration_announced", {{"version", absl::StrCat(version)},
                                                {"present", absl::StrCat(this->present)},
                                                {"member", member}});
}

bool ConfigurationUpdate::BeginRequest() { return !std::exchange(this->requesting, true); }

// Logs the first failure of a series; the counter has all of them.
void ConfigurationUpdate::RequestFailed(const std::string& source, const std::string& reason) {
  this->metrics.Increment(Metric::kPeerErrors, {"state"});
  if (this->pending == 0 || this->failures++ > 0) {
    return;
  }
  this->logger.Warning("configuration_request_failed", {{"version", absl::StrCat(this->pending)},
                                                        {"present", absl::StrCat(this->present)},
                                                        {"source", source},
                                                        {"age_ms", LogMilliseconds(this->Age())},
                                                        {"reason", reason}});
}

void ConfigurationUpdate::Applied(std::uint64_t version) {
  if (this->pending != 0) {
    this->metrics.Observe(Metric::kConfigurationLagSeconds, {}, this->Age());
  }
  this->present = version;
  this->failures = 0;
  if (version >= this->pending) {
    this->pending = 0;
  }
  this->behind_since = this->pending_since;
}

Duration ConfigurationUpdate::Age() const {
  return this->pending == 0 ? Duration::zero() : this->clock.Now() - this->behind_since;
}

}  // namespace sycamoredrum
