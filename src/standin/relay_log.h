#pragma once

#include <deque>
#include <optional>
#include <string>

#include "backend_model.h"
#include "sycamoredrum/clock.h"

namespace sycamoredrum {

/// Log pages that a replica has received and applies after its replication lag. The replica keeps
/// requesting pages, and keeps track of its contact with the primary, while earlier pages are
/// delayed. Not thread-safe.
class RelayLog {
 public:
  RelayLog(BackendModel& model, const Clock& clock, Duration lag)
      : model(model), clock(clock), lag(lag) {}

  void SetLag(Duration value) { this->lag = value; }
  Duration Lag() const { return this->lag; }

  /// Request for the entries after all received pages.
  LogRequest NextRequest();

  /// Stores the page that `primary` sent in answer to `request`, to be applied after the lag.
  /// Ignored if the page was not served or the result of NextRequest has changed since.
  void Receive(const std::string& primary, const LogRequest& request, const LogPage& page);

  /// Applies the pages whose lag has passed.
  void ApplyDue();

 private:
  struct ReceivedPage {
    TimePoint received_at;
    std::string primary;
    LogRequest request;
    LogPage page;
  };

  BackendModel& model;
  const Clock& clock;
  Duration lag;
  std::deque<ReceivedPage> received;
  std::optional<LogRequest> next_request;  ///< Set while pages are delayed.
};

}  // namespace sycamoredrum
