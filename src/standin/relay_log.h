#pragma once

#include <deque>
#include <optional>
#include <string>

#include "backend_model.h"
#include "sycamoredrum/clock.h"

namespace sycamoredrum {

/// Pages that a replica has received and applies after its replication lag. Lets the replica go on
/// receiving, and hearing its primary, while earlier pages wait. Not thread-safe.
class RelayLog {
 public:
  RelayLog(BackendModel& model, const Clock& clock, Duration lag)
      : model(model), clock(clock), lag(lag) {}

  void SetLag(Duration value) { this->lag = value; }
  Duration Lag() const { return this->lag; }

  /// What to ask of the primary: the log after all received pages.
  LogRequest NextRequest();

  /// Takes the page that `primary` gave in answer to `request`. Ignored if NextRequest has changed
  /// since.
  void Receive(const std::string& primary, const LogRequest& request, const LogPage& page);

  /// Applies the pages whose lag is over.
  void ApplyDue();

 private:
  struct Received {
    TimePoint at;
    std::string primary;
    LogRequest request;
    LogPage page;
  };

  BackendModel& model;
  const Clock& clock;
  Duration lag;
  std::deque<Received> received;
  std::optional<LogRequest> next;  ///< Set while pages wait.
};

}  // namespace sycamoredrum
