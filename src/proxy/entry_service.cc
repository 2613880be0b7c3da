#include "entry_service.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "sycamoredrum/sha256.h"

namespace sycamoredrum {
namespace {

// Added to the timeout of a command to another proxy, so that an answer that the holder sends at
// the deadline arrives before the peer link reports a timeout.
constexpr Duration kPeerAllowance = std::chrono::milliseconds(50);

// Retry-after hint of a stopping proxy. By then the load balancer directs callers to other proxies.
constexpr Duration kStoppingRetryAfter = std::chrono::milliseconds(100);

// Retry-after hint for requests over a limit: about the duration of a few requests.
constexpr Duration kBusyRetryAfter = std::chrono::milliseconds(50);

std::string_view KindOf(const CallerRequest& request) {
  if (request.step != TransactionStep::kSingle) {
    return "transaction";
  }
  return request.read_only ? "read" : "write";
}

}  // namespace

EntryService::EntryService(Dependencies dependencies)
    : dependencies(std::move(dependencies)),
      codec(this->dependencies.settings.fleet_key),
      context(SerialContext::Create(this->dependencies.loop)) {
  this->executor = std::make_unique<RequestExecutor>(this->dependencies.settings.data_centre,
                                                     this->MakeHooks(), this->dependencies.loop,
                                                     *this->context, this->dependencies.random);
  this->admission = std::make_unique<Admission>();
  this->retry_budget = std::make_unique<RetryBudget>(this->dependencies.loop);
}

EntryService::~EntryService() { this->context->Close(); }

RequestExecutorHooks EntryService::MakeHooks() {
  RequestExecutorHooks hooks;
  hooks.view = [this](const std::string& database) {
    return this->dependencies.view_table.Get(database);
  };
  hooks.prove = [this](const std::string& database, TimePoint not_before, TimePoint deadline,
                       ProveCallback callback) {
    this->dependencies.views.Prove(database, not_before, deadline,
                                   this->context->Wrap(std::move(callback)));
  };
  hooks.send = [this](const ExecuteCommand& command, TimePoint deadline, ExecuteCallback callback) {
    this->Send(command, deadline, this->context->Wrap(std::move(callback)));
  };
  hooks.database = [this](const std::string& name) {
    return FindDatabase(this->dependencies.configuration, name);
  };
  hooks.max_read_age = [this](const std::string& name) -> std::optional<Duration> {
    const auto configuration = this->dependencies.configuration.Get();
    const CallerGroupConfig* group = configuration->FindCallerGroup(name);
    if (group == nullptr) {
      return std::nullopt;
    }
    return group->max_read_age;
  };
  hooks.new_request_id = [this] {
    return fmt::format("{:016x}{:016x}", this->dependencies.random(), this->dependencies.random());
  };
  hooks.take_retry = [this](const std::string& group) {
    const bool allowed = this->retry_budget->TrySpend(group);
    this->dependencies.metrics.Increment(allowed ? Metric::kRetries : Metric::kRetryRefusals,
                                         {group});
    return allowed;
  };
  return hooks;
}

void EntryService::Handle(const HttpRequest& http, HttpRespond respond) {
  auto pending = std::make_shared<Pending>(Pending{
      CallerCall(), std::move(respond),
      this->dependencies.tracer.StartSpan("entry", FindHeader(http.headers, "traceparent"))});
  const DeadlineRule rule{this->dependencies.settings.default_deadline,
                          this->dependencies.settings.max_deadline};
  Findings findings;
  auto call = ReadCallerCall(http, this->codec, rule, this->dependencies.loop.Now(), findings);
  if (!call) {
    this->Refuse(pending, Reason::kBadRequest, findings.ToString());
    return;
  }
  pending->call = std::move(*call);
  pending->call.request.trace_parent = pending->span.TraceParent();
  if (this->Authorise(pending)) {
    this->dependencies.loop.Post(
        [this, context = this->context, pending] { context->Run([&] { this->Run(pending); }); });
  }
}

void EntryService::Stop() {
  this->context->Run([this] { this->admission->Stop(); });
}

bool EntryService::Authorise(const PendingPtr& pending) {
  CallerRequest& request = pending->call.request;
  const auto configuration = this->dependencies.configuration.Get();
  const CallerGroupConfig* group =
      configuration->FindCallerGroupByToken(Sha256Hex(pending->call.bearer_token));
  if (group == nullptr) {
    this->Refuse(pending, Reason::kUnauthorized, "the bearer token names no caller group");
    return false;
  }
  request.caller_group = group->name;
  if (configuration->FindDatabase(request.database) == nullptr) {
    this->Refuse(pending, Reason::kUnknownDatabase,
                 "there is no database \"" + request.database + "\"");
    return false;
  }
  if (!group->MayReach(request.database)) {
    this->Refuse(pending, Reason::kForbidden,
                 fmt::format("caller group \"{}\" may not reach database \"{}\"", group->name,
                             request.database));
    return false;
  }
  return true;
}

void EntryService::Refuse(const PendingPtr& pending, Reason reason, const std::string& message,
                          Duration retry_after) {
  this->dependencies.metrics.Increment(Metric::kQueueRefusals, {std::string(ToString(reason))});
  pending->span.SetTag("reason", ToString(reason));
  pending->respond(WriteRefusal(reason, message, retry_after, pending->span.TraceId()));
}

bool EntryService::Admit(const PendingPtr& pending) {
  const CallerRequest& request = pending->call.request;
  const auto configuration = this->dependencies.configuration.Get();
  const CallerGroupConfig* group = configuration->FindCallerGroup(request.caller_group);
  const int limit = group == nullptr ? 0 : group->max_concurrent;
  const bool new_work =
      request.step == TransactionStep::kSingle || request.step == TransactionStep::kBegin;
  switch (this->admission->TryEnter(
      request.caller_group, limit,
      new_work ? AdmissionKind::kNewWork : AdmissionKind::kTransactionStep)) {
    case AdmissionVerdict::kAdmitted:
      return true;
    case AdmissionVerdict::kGroupLimit:
      this->Refuse(pending, Reason::kTooManyRequests,
                   fmt::format("caller group \"{}\" has {} requests in progress",
                               request.caller_group, limit),
                   kBusyRetryAfter);
      return false;
    case AdmissionVerdict::kTotalLimit:
      this->Refuse(pending, Reason::kTooManyRequests, "the proxy has too many requests in progress",
                   kBusyRetryAfter);
      return false;
    case AdmissionVerdict::kStopping:
      this->Refuse(pending, Reason::kStopping, "the proxy is stopping", kStoppingRetryAfter);
      return false;
  }
  return false;
}

void EntryService::Run(const PendingPtr& pending) {
  if (!this->Admit(pending)) {
    return;
  }
  ++this->in_progress;
  this->retry_budget->RecordRequest(pending->call.request.caller_group);
  this->executor->Execute(pending->call.request, [this, pending](const RequestAnswer& answer) {
    this->Answer(pending, answer);
  });
}

void EntryService::Answer(const PendingPtr& pending, const RequestAnswer& answer) {
  const CallerRequest& request = pending->call.request;
  this->admission->Leave(request.caller_group);
  this->Count(pending, answer.answer);
  if (request.read_only && request.step == TransactionStep::kSingle) {
    this->CountRead(request, answer);
  }
  const std::string new_cookie = fmt::format("sd-{:012x}", this->dependencies.random() >> 16);
  pending->respond(
      WriteCallerAnswer(pending->call, answer, this->codec, new_cookie, pending->span.TraceId()));
  pending->span.SetTag("outcome", ToString(answer.answer.outcome));
  pending->span.SetTag("attempts", std::to_string(answer.attempts));
  pending->span.Finish();
  --this->in_progress;
}

void EntryService::Count(const PendingPtr& pending, const ExecuteAnswer& answer) {
  const CallerRequest& request = pending->call.request;
  this->dependencies.metrics.Increment(Metric::kRequests,
                                       {request.caller_group, std::string(ToString(answer.outcome)),
                                        std::string(ToString(answer.reason))});
  this->dependencies.metrics.Observe(Metric::kRequestSeconds, {std::string(KindOf(request))},
                                     this->dependencies.loop.Now() - request.arrival);
}

void EntryService::CountRead(const CallerRequest& request, const RequestAnswer& result) {
  if (result.answer.outcome != Outcome::kResult) {
    return;
  }
  const DatabaseViewPtr view = this->dependencies.view_table.Get(request.database);
  const bool primary = view != nullptr && view->primary == result.answer.backend_server;
  this->dependencies.metrics.Increment(Metric::kReads,
                                       {request.database, primary ? "primary" : "replica",
                                        std::string(ToString(result.primary_reason))});
}

void EntryService::Send(const ExecuteCommand& command, TimePoint deadline,
                        ExecuteCallback callback) {
  auto delivery = std::make_shared<Delivery>();
  delivery->command = command;
  delivery->deadline = deadline;
  delivery->callback = std::move(callback);
  delivery->holders = this->FindHolders(command);
  this->Deliver(delivery);
}

std::vector<std::string> EntryService::FindHolders(const ExecuteCommand& command) const {
  if (!command.transaction.empty()) {
    // An interactive transaction runs at one member, whose id is the part before the last '.'.
    return {command.transaction.substr(0, command.transaction.rfind('.'))};
  }
  const auto database = FindDatabase(this->dependencies.configuration, command.database);
  const BackendServerConfig* server =
      database == nullptr ? nullptr : database->FindBackendServer(command.backend_server);
  if (server == nullptr) {
    return {};
  }
  return HoldersOf(*server, this->dependencies.fleet.Get()->candidates);
}

void EntryService::Deliver(const DeliveryPtr& delivery) {
  if (delivery->next_holder >= delivery->holders.size()) {
    this->Respond(delivery, ExecuteAnswer::NotRun(Reason::kHolderUnreachable,
                                                  "no holder of backend server \"" +
                                                      delivery->command.backend_server +
                                                      "\" can be reached"));
    return;
  }
  const std::string holder = delivery->holders[delivery->next_holder++];
  const Duration remaining = delivery->deadline - this->dependencies.loop.Now();
  delivery->command.remaining = remaining;
  if (remaining <= Duration::zero()) {
    this->Respond(delivery, ExecuteAnswer::NotRun(Reason::kDeadline, "the deadline has passed"));
    return;
  }
  if (holder == this->dependencies.settings.member_id) {
    this->dependencies.holders.Execute(
        delivery->command, holder,
        [this, delivery](const ExecuteAnswer& answer) { this->Respond(delivery, answer); });
    return;
  }
  auto span = std::make_shared<TraceSpan>(
      this->dependencies.tracer.StartSpan("peer", delivery->command.trace_parent));
  span->SetTag("member", holder);
  ExecuteCommand command = delivery->command;
  command.trace_parent = span->TraceParent();
  this->dependencies.call(holder, "execute", ToJson(command), remaining + kPeerAllowance,
                          [this, delivery, span](const PeerAnswer& reply) {
                            span->SetTag("answered", reply.Ok() ? "true" : "false");
                            span->Finish();
                            this->HandlePeerAnswer(delivery, reply);
                          });
}

void EntryService::HandlePeerAnswer(const DeliveryPtr& delivery, const PeerAnswer& reply) {
  if (reply.error == PeerError::kNotSent || reply.error == PeerError::kRefused) {
    this->Deliver(delivery);
    return;
  }
  std::optional<ExecuteAnswer> answer;
  if (reply.error == PeerError::kNone) {
    answer = ParseExecuteAnswer(reply.body);
  }
  this->Respond(delivery, answer ? *answer
                                 : ExecuteAnswer::Unknown(Reason::kHolderUnreachable,
                                                          "the holder gave no complete answer"));
}

void EntryService::Respond(const DeliveryPtr& delivery, const ExecuteAnswer& answer) {
  // The callback locks this service's context, whose mutex the current thread may hold.
  this->dependencies.loop.Post([delivery, answer] { delivery->callback(answer); });
}

}  // namespace sycamoredrum
