#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "caller_http.h"
#include "holder_registry.h"
#include "locks.h"
#include "shared_state.h"
#include "sycamoredrum/admission.h"
#include "sycamoredrum/event_loop.h"
#include "sycamoredrum/http.h"
#include "sycamoredrum/metrics.h"
#include "sycamoredrum/request_executor.h"
#include "sycamoredrum/retry_budget.h"
#include "sycamoredrum/session_token.h"
#include "sycamoredrum/settings.h"
#include "sycamoredrum/trace.h"
#include "view_service.h"

namespace sycamoredrum {

/// Serves callers: authenticates, admits and runs their requests, and sends the resulting commands
/// to holders. Thread-safe.
class EntryService {
 public:
  struct Dependencies {
    EventLoop& loop;
    const ProxySettings& settings;
    const ConfigurationSnapshot& configuration;
    const FleetSnapshot& fleet;
    ViewTable& view_table;
    ViewService& views;
    HolderRegistry& holders;
    PeerCall call;
    Metrics& metrics;
    Tracer& tracer;
    RandomSource random;
  };

  explicit EntryService(Dependencies dependencies);
  ~EntryService();

  /// Handles one HTTP request of a caller. `respond` is called exactly once.
  void Handle(const HttpRequest& http, HttpRespond respond);

  /// Refuses new work from now on. Requests in progress and open transactions may finish.
  void Stop();

  /// Number of admitted requests that are not answered yet.
  std::size_t InProgress() const { return this->in_progress; }

 private:
  /// A caller's request and the objects needed to answer it.
  struct Pending {
    CallerCall call;
    HttpRespond respond;
    TraceSpan span;
  };
  using PendingPtr = std::shared_ptr<Pending>;

  /// A command and the holders that it may be sent to, which are tried in order.
  struct Delivery {
    ExecuteCommand command;
    TimePoint deadline;
    ExecuteCallback callback;
    std::vector<std::string> holders;
    std::size_t next_holder = 0;
  };
  using DeliveryPtr = std::shared_ptr<Delivery>;

  RequestExecutorHooks MakeHooks();
  bool Authorise(const PendingPtr& pending);
  void Refuse(const PendingPtr& pending, Reason reason, const std::string& message,
              Duration retry_after = {});
  bool Admit(const PendingPtr& pending);
  void Run(const PendingPtr& pending);
  void Answer(const PendingPtr& pending, const RequestAnswer& answer);
  void Count(const PendingPtr& pending, const ExecuteAnswer& answer);
  void CountRead(const CallerRequest& request, const RequestAnswer& answer);

  void Send(const ExecuteCommand& command, TimePoint deadline, ExecuteCallback callback);
  std::vector<std::string> FindHolders(const ExecuteCommand& command) const;
  void Deliver(const DeliveryPtr& delivery);
  void HandlePeerAnswer(const DeliveryPtr& delivery, const PeerAnswer& reply);
  void Respond(const DeliveryPtr& delivery, const ExecuteAnswer& answer);

  Dependencies dependencies;
  const SessionTokenCodec codec;
  std::shared_ptr<SerialContext> context;
  std::unique_ptr<RequestExecutor> executor;
  std::unique_ptr<Admission> admission;
  std::unique_ptr<RetryBudget> retry_budget;
  std::atomic<std::size_t> in_progress{0};
};

}  // namespace sycamoredrum
