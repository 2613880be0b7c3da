#include "holder_registry.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace sycamoredrum {

HolderRegistry::HolderRegistry(Dependencies dependencies)
    : dependencies(std::move(dependencies)),
      context(SerialContext::Create(this->dependencies.loop)) {
  this->service =
      std::make_unique<HolderService>(this->MakeHooks(), this->dependencies.loop, *this->context);
  this->transactions = std::make_unique<TransactionTable>(
      this->MakeHooks(), this->dependencies.member, this->dependencies.loop, *this->context,
      this->dependencies.random);
  this->context->RunAfter(kSampleInterval, [this] { this->SampleMetrics(); });
}

HolderRegistry::~HolderRegistry() { this->context->Close(); }

HolderHooks HolderRegistry::MakeHooks() {
  HolderHooks hooks;
  hooks.database = [this](const std::string& database) {
    return FindDatabase(this->dependencies.configuration, database);
  };
  hooks.group_weight = [this](const std::string& name) {
    const auto configuration = this->dependencies.configuration.Get();
    const CallerGroupConfig* group = configuration->FindCallerGroup(name);
    return group == nullptr ? 1 : group->weight;
  };
  hooks.pool = [this](const std::string& server) -> ConnectionPool* {
    const auto found = this->pools.find(server);
    return found == this->pools.end() ? nullptr : found->second.pool.get();
  };
  hooks.execute = [this](ConnectionId connection, const BackendRequest& request, Duration timeout,
                         BackendCallback callback) {
    this->ExecuteOnConnection(connection, request, timeout, std::move(callback));
  };
  hooks.on_wait_start = [this](const ExecuteCommand& command) {
    return this->ObserveWait(command);
  };
  hooks.wait_position = [this](const BackendServerConfig& server, const LogPosition& position,
                               Duration timeout, WaitCallback callback) {
    auto wrapped = this->context->Wrap(std::move(callback));
    this->dependencies.control.Wait(
        server.control, position, timeout, [wrapped](const std::optional<PositionAnswer>& answer) {
          std::optional<WaitReply> reply;
          if (answer) {
            reply = WaitReply{answer->contains, answer->not_in_history, answer->promised_term};
          }
          wrapped(reply);
        });
  };
  return hooks;
}

ConnectionPoolHooks HolderRegistry::MakePoolHooks(const BackendServerConfig& server,
                                                  const std::string& database) {
  ConnectionPoolHooks hooks;
  hooks.open = [this, endpoint = server.statements, database](const std::string&,
                                                              OpenCallback callback) {
    this->dependencies.connections.Open(endpoint, database, kOpenTimeout,
                                        this->context->Wrap(std::move(callback)));
  };
  hooks.close = [this](ConnectionId connection) {
    this->trace_parents.erase(connection);
    this->dependencies.connections.Close(connection);
  };
  return hooks;
}

void HolderRegistry::Refresh() {
  this->context->Run([this] {
    for (auto& entry : this->pools) {
      entry.second.assigned = false;
    }
    const auto configuration = this->dependencies.configuration.Get();
    for (const auto& entry : configuration->Databases()) {
      for (const BackendServerConfig& server : entry.second.backend_servers) {
        this->RefreshServer(entry.second, server);
      }
    }
    this->RemoveUnassignedPools();
  });
}

void HolderRegistry::RefreshServer(const DatabaseConfig& database,
                                   const BackendServerConfig& server) {
  const auto fleet = this->dependencies.fleet.Get();
  const std::vector<std::string> holders = HoldersOf(server, fleet->candidates);
  if (std::find(holders.begin(), holders.end(), this->dependencies.member) == holders.end()) {
    return;
  }
  const int share = std::max(1, server.connection_cap / static_cast<int>(holders.size()));
  HeldPool& held = this->pools[server.id];
  held.assigned = true;
  if (held.pool == nullptr) {
    held.pool = std::make_unique<ConnectionPool>(this->MakePoolHooks(server, database.name), share,
                                                 this->dependencies.loop, *this->context);
  }
  held.pool->SetLimit(share);
  held.pool->SetLeaving(IsLeaving(server, this->dependencies.leaving));
}

void HolderRegistry::RemoveUnassignedPools() {
  for (auto entry = this->pools.begin(); entry != this->pools.end();) {
    HeldPool& held = entry->second;
    if (!held.assigned) {
      held.pool->SetLeaving(true);
    }
    const bool drained = !held.assigned && held.pool->Total() == 0 && held.pool->Waiting() == 0;
    entry = drained ? this->pools.erase(entry) : std::next(entry);
  }
}

void HolderRegistry::Execute(ExecuteCommand command, const std::string& entry,
                             ExecuteCallback callback) {
  this->dependencies.loop.Post([context = this->context, this, command = std::move(command), entry,
                                callback = std::move(callback)] {
    context->Run([&] { this->RunCommand(command, entry, callback); });
  });
}

void HolderRegistry::RunCommand(const ExecuteCommand& command, const std::string& entry,
                                const ExecuteCallback& callback) {
  if (command.request.step == TransactionStep::kSingle) {
    this->service->Execute(command, callback);
    return;
  }
  this->step_trace_parent = command.trace_parent;
  this->transactions->Execute(command, entry, callback);
  this->step_trace_parent.clear();
}

void HolderRegistry::ExecuteOnConnection(ConnectionId connection, const BackendRequest& request,
                                         Duration timeout, BackendCallback callback) {
  std::string& trace_parent = this->trace_parents[connection];
  const bool takes_lease =
      request.step == TransactionStep::kSingle || request.step == TransactionStep::kBegin;
  if (!takes_lease && !this->step_trace_parent.empty()) {
    trace_parent = this->step_trace_parent;
  }
  auto span =
      std::make_shared<TraceSpan>(this->dependencies.tracer.StartSpan("backend", trace_parent));
  auto wrapped = this->context->Wrap(std::move(callback));
  this->dependencies.connections.Execute(
      connection, request, timeout, [span, wrapped](const std::optional<BackendReply>& reply) {
        span->SetTag("result", reply ? ToString(reply->error) : "no_answer");
        span->Finish();
        wrapped(reply);
      });
}

std::function<void(const LeaseAnswer&)> HolderRegistry::ObserveWait(const ExecuteCommand& command) {
  auto span = std::make_shared<TraceSpan>(
      this->dependencies.tracer.StartSpan("pool_wait", command.trace_parent));
  span->SetTag("backend_server", command.backend_server);
  return [this, span, server = command.backend_server, trace_parent = command.trace_parent,
          started = this->dependencies.loop.Now()](const LeaseAnswer& answer) {
    this->dependencies.metrics.Observe(Metric::kPoolWaitSeconds, {server},
                                       this->dependencies.loop.Now() - started);
    const bool granted = answer.status == LeaseStatus::kGranted;
    span->SetTag("granted", granted ? "true" : "false");
    span->Finish();
    if (granted) {
      this->trace_parents[answer.lease.connection] = trace_parent;
    }
  };
}

void HolderRegistry::MemberGone(const std::string& entry) {
  this->context->Run([&] { this->transactions->MemberGone(entry); });
}

void HolderRegistry::StopTransactions() {
  this->context->Run([&] { this->transactions->Stop(); });
}

bool HolderRegistry::Idle() {
  return this->context->Run(
      [&] { return this->service->InProgress() == 0 && this->transactions->Empty(); });
}

std::string HolderRegistry::DescribePools() {
  return this->context->Run([this] {
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [server, held] : this->pools) {
      list.push_back({{"backend_server", server},
                      {"limit", held.pool->EffectiveLimit()},
                      {"leased", held.pool->Leased()},
                      {"idle", held.pool->Idle()},
                      {"opening", held.pool->Opening()},
                      {"waiting", held.pool->Waiting()}});
    }
    return list.dump();
  });
}

void HolderRegistry::SampleMetrics() {
  for (const auto& [server, held] : this->pools) {
    Metrics& metrics = this->dependencies.metrics;
    metrics.Set(Metric::kPoolConnections, {server, "leased"},
                static_cast<double>(held.pool->Leased()));
    metrics.Set(Metric::kPoolConnections, {server, "idle"}, static_cast<double>(held.pool->Idle()));
    metrics.Set(Metric::kPoolConnections, {server, "waiting"},
                static_cast<double>(held.pool->Waiting()));
  }
  this->dependencies.metrics.Set(Metric::kOpenTransactions, {},
                                 static_cast<double>(this->transactions->Size()));
  this->RemoveUnassignedPools();
  this->context->RunAfter(kSampleInterval, [this] { this->SampleMetrics(); });
}

}  // namespace sycamoredrum
