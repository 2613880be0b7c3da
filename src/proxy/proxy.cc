#include "sycamoredrum/proxy.h"

#include <absl/strings/str_cat.h>

#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <utility>

#include "admin_service.h"
#include "backend_connections.h"
#include "backend_control.h"
#include "configuration_service.h"
#include "entry_service.h"
#include "holder_registry.h"
#include "membership_service.h"
#include "peer_body.h"
#include "peer_links.h"
#include "shared_state.h"
#include "sycamoredrum/datagram.h"
#include "sycamoredrum/event_loop.h"
#include "sycamoredrum/http.h"
#include "sycamoredrum/log.h"
#include "sycamoredrum/metrics.h"
#include "sycamoredrum/peer_link.h"
#include "sycamoredrum/platform_http.h"
#include "sycamoredrum/trace.h"
#include "view_service.h"
#include "vm_list_service.h"
#include "watcher_service.h"

namespace sycamoredrum {
namespace {

constexpr Duration kStopCheckInterval = std::chrono::milliseconds(20);
// Shortest time from the announcement that this member leaves to the refusal of new work, so that
// the announcement reaches the other members first.
constexpr Duration kLeavePropagationTime = std::chrono::milliseconds(300);
// Time limit for the work in progress at a graceful stop: the total time limit of interactive
// transactions and a margin.
constexpr Duration kMaxStopTime = std::chrono::seconds(65);

// Thread-safe: each thread has a generator of its own, seeded by the system.
std::uint64_t NextRandom() {
  thread_local std::mt19937_64 generator{
      (static_cast<std::uint64_t>(std::random_device{}()) << 32) | std::random_device{}()};
  return generator();
}

std::uint64_t StartTimeMilliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

HttpClientOptions ClientOptions(const ProxySettings& settings) {
  HttpClientOptions options;
  options.local_host = settings.peer_address.host;
  return options;
}

Tracer::Sink TraceSink(TraceOutput output) {
  if (output == TraceOutput::kStandardError) {
    return Logger::StandardError();
  }
  return [](const std::string&) {};
}

std::string DatabaseOf(const std::string& body) {
  return ReadField(body, "database", std::string());
}

}  // namespace

class Proxy::Impl {
 public:
  Impl(ProxySettings proxy_settings, Tracer::Sink trace_sink);
  ~Impl();

  bool Start(std::string& reason);
  void Run();

 private:
  PeerCall MakePeerCall();
  std::map<std::string, PeerHandler> MakePeerHandlers();
  void AnswerExecute(const PeerRequest& request, const PeerRespond& respond);
  void AnswerProve(const PeerRequest& request, const PeerRespond& respond);
  PlatformClient MakePlatform();
  void Refresh();
  void FleetChanged(const std::vector<std::string>& gone);
  void UpdateSeeds(const std::vector<std::string>& hosts);
  HttpServerLimits CallerLimits() const;
  void BeginStop();
  void StopAccepting();
  void WaitUntilIdle(TimePoint limit);
  void ClosePorts();

  const ProxySettings settings;
  EventLoop loop;
  Logger logger;
  Metrics metrics;
  Tracer tracer;
  HttpClient client;
  BackendConnections connections;
  BackendControl control;
  ConfigurationSnapshot configuration;
  FleetSnapshot fleet;
  LeavingSnapshot leaving;
  ViewTable view_table;
  DatagramSocket socket;
  PeerLinks links;
  std::unique_ptr<MembershipService> membership;
  std::unique_ptr<ConfigurationService> configuration_service;
  std::unique_ptr<VmListService> vm_list;
  std::unique_ptr<HolderRegistry> holders;
  std::unique_ptr<ViewService> views;
  std::unique_ptr<WatcherService> watchers;
  std::unique_ptr<EntryService> entry;
  std::unique_ptr<AdminService> admin;
  std::unique_ptr<PeerServer> peer_server;
  std::unique_ptr<HttpServer> caller_server;
  std::unique_ptr<HttpServer> admin_server;
  std::mutex refresh_mutex;  // Serialises Refresh; acquired before all other locks.
  std::atomic<bool> stopping{false};
};

Proxy::Impl::Impl(ProxySettings proxy_settings, Tracer::Sink trace_sink)
    : settings(std::move(proxy_settings)),
      loop(settings.workers),
      logger(settings.log_level, settings.log_format, loop, Logger::StandardError()),
      tracer(settings.trace_sample_ratio, NextRandom,
             trace_sink ? std::move(trace_sink) : TraceSink(settings.trace_output)),
      client(loop, ClientOptions(settings)),
      connections(loop, ClientOptions(settings)),
      control(client),
      socket(loop,
             [this](const Endpoint& from, const std::string& datagram) {
               this->membership->HandleDatagram(from, datagram);
             }),
      links(loop, PeerIdentity{settings.member_id, settings.data_centre, settings.fleet_key}, fleet,
            metrics) {
  const PeerCall call = this->MakePeerCall();
  this->configuration_service =
      std::make_unique<ConfigurationService>(ConfigurationService::Dependencies{
          loop, settings.member_id, settings.data_centre, configuration, fleet,
          this->MakePlatform(), call, metrics, logger, NextRandom, [this] { this->Refresh(); }});
  this->vm_list = std::make_unique<VmListService>(VmListService::Dependencies{
      loop, settings.member_id, settings.data_centre, fleet, leaving, this->MakePlatform(), call,
      logger, NextRandom, [this] { this->Refresh(); },
      [this](const std::vector<std::string>& hosts) { this->UpdateSeeds(hosts); }});
  this->holders = std::make_unique<HolderRegistry>(
      HolderRegistry::Dependencies{loop, settings.member_id, configuration, fleet, leaving,
                                   connections, control, metrics, tracer, NextRandom});
  this->views = std::make_unique<ViewService>(
      ViewService::Dependencies{loop, settings.member_id, settings.data_centre, configuration,
                                fleet, view_table, control, call});
  this->watchers = std::make_unique<WatcherService>(WatcherService::Dependencies{
      loop, settings.member_id, settings.probe_interval, configuration, fleet, leaving, *views,
      view_table, control, call, metrics, logger, NextRandom});
  this->entry = std::make_unique<EntryService>(
      EntryService::Dependencies{loop, settings, configuration, fleet, view_table, *views, *holders,
                                 call, metrics, tracer, NextRandom});
  this->admin = std::make_unique<AdminService>(AdminService::Dependencies{
      loop, settings, configuration, fleet, view_table, *configuration_service, *entry, *holders,
      metrics, NextRandom,
      [this] { return !this->stopping && this->configuration_service->Ready(); },
      [this] { this->BeginStop(); },
      [this] {
        this->membership->ExportCounters();
        this->configuration_service->ExportCounters();
        this->watchers->ExportCounters();
      }});
  // Created last, because it publishes the fleet at once and the other services react to that.
  this->membership = std::make_unique<MembershipService>(MembershipService::Dependencies{
      loop, settings, fleet, configuration, socket, call, metrics, logger, NextRandom,
      StartTimeMilliseconds(),
      [this](const std::vector<std::string>& gone) { this->FleetChanged(gone); },
      [this](const std::string& member, std::uint64_t number) {
        this->configuration_service->HandleNumber(member, number);
      }});
}

Proxy::Impl::~Impl() {
  this->loop.Stop();
  this->loop.Join();
}

PeerCall Proxy::Impl::MakePeerCall() {
  return [this](const std::string& member, const std::string& kind, const std::string& body,
                Duration timeout, PeerCallback callback) {
    this->links.Call(member, kind, body, timeout, std::move(callback));
  };
}

PlatformClient Proxy::Impl::MakePlatform() {
  return MakePlatformClient(client, settings.platform_address,
                            [this](const std::string& kind, const std::string& result) {
                              this->metrics.Increment(Metric::kPlatformCalls, {kind, result});
                            });
}

std::map<std::string, PeerHandler> Proxy::Impl::MakePeerHandlers() {
  std::map<std::string, PeerHandler> handlers;
  handlers["execute"] = [this](const PeerRequest& request, const PeerRespond& respond) {
    this->AnswerExecute(request, respond);
  };
  handlers["prove"] = [this](const PeerRequest& request, const PeerRespond& respond) {
    this->AnswerProve(request, respond);
  };
  handlers["opinion"] = [this](const PeerRequest& request, const PeerRespond& respond) {
    respond(PeerReply{this->watchers->Opinion(DatabaseOf(request.body)), "", ""});
  };
  handlers["tickets"] = [this](const PeerRequest& request, const PeerRespond& respond) {
    respond(PeerReply{this->configuration_service->AnswerTickets(request.body), "", ""});
  };
  handlers["announce"] = [this](const PeerRequest& request, const PeerRespond& respond) {
    this->configuration_service->HandleAnnounce(request.member, request.body);
    respond(PeerReply{"{}", "", ""});
  };
  handlers["members"] = [this](const PeerRequest& request, const PeerRespond& respond) {
    respond(PeerReply{this->membership->AnswerMembers(request.body), "", ""});
  };
  handlers["vms"] = [this](const PeerRequest& request, const PeerRespond& respond) {
    respond(PeerReply{this->vm_list->AnswerVms(request.body), "", ""});
  };
  return handlers;
}

void Proxy::Impl::AnswerExecute(const PeerRequest& request, const PeerRespond& respond) {
  std::optional<ExecuteCommand> command = ParseExecuteCommand(request.body);
  if (!command) {
    respond(PeerReply{"null", "bad_request", "the command cannot be read"});
    return;
  }
  auto span = std::make_shared<TraceSpan>(this->tracer.StartSpan("holder", command->trace_parent));
  span->SetTag("backend_server", command->backend_server);
  command->trace_parent = span->TraceParent();
  this->holders->Execute(*command, request.member, [span, respond](const ExecuteAnswer& answer) {
    span->SetTag("outcome", ToString(answer.outcome));
    span->Finish();
    respond(PeerReply{ToJson(answer), "", ""});
  });
}

void Proxy::Impl::AnswerProve(const PeerRequest& request, const PeerRespond& respond) {
  const TimePoint now = this->loop.Now();
  const std::string database = DatabaseOf(request.body);
  const TimePoint not_before =
      now - std::chrono::microseconds(ReadField(request.body, "max_age_us", std::int64_t{0}));
  const TimePoint deadline =
      now + std::chrono::milliseconds(ReadField(request.body, "limit_ms", std::int64_t{0}));
  const DatabaseViewPtr known = this->view_table.Get(database);
  const bool fresh = known != nullptr && known->proof && known->proof->proven_at >= not_before;
  if (fresh) {
    respond(PeerReply{ToJson(*known, now), "", ""});
    return;
  }
  this->views->ProveLocally(
      database, not_before, deadline, [this, respond](const DatabaseViewPtr& view) {
        if (view == nullptr) {
          respond(PeerReply{"null", "no_proof", "no proof could be made in time"});
          return;
        }
        respond(PeerReply{ToJson(*view, this->loop.Now()), "", ""});
      });
}

void Proxy::Impl::Refresh() {
  const std::lock_guard<std::mutex> lock(this->refresh_mutex);
  if (this->stopping) {
    return;
  }
  this->holders->Refresh();
  this->watchers->Refresh();
}

void Proxy::Impl::FleetChanged(const std::vector<std::string>& gone) {
  for (const std::string& member : gone) {
    this->holders->MemberGone(member);
  }
  this->links.RemoveLinks(gone);
  this->Refresh();
}

void Proxy::Impl::UpdateSeeds(const std::vector<std::string>& hosts) {
  // All entry VMs of a fleet use the same membership port (docs/platform-interface.md).
  std::vector<Endpoint> seeds = this->settings.seeds;
  for (const std::string& host : hosts) {
    const Endpoint seed{host, this->settings.membership_address.port};
    if (seed != this->settings.membership_address) {
      seeds.push_back(seed);
    }
  }
  this->membership->SetSeeds(std::move(seeds));
}

HttpServerLimits Proxy::Impl::CallerLimits() const {
  HttpServerLimits limits;
  limits.max_body_bytes = this->settings.max_request_bytes;
  limits.max_connections = this->settings.max_connections;
  return limits;
}

bool Proxy::Impl::Start(std::string& reason) {
  HttpServerHooks caller_hooks;
  caller_hooks.handle = [this](const HttpRequest& request, HttpRespond respond) {
    this->entry->Handle(request, std::move(respond));
  };
  HttpServerHooks admin_hooks;
  admin_hooks.handle = [this](const HttpRequest& request, const HttpRespond& respond) {
    this->admin->Handle(request, respond);
  };
  this->caller_server =
      std::make_unique<HttpServer>(loop, this->CallerLimits(), std::move(caller_hooks));
  this->admin_server =
      std::make_unique<HttpServer>(loop, HttpServerLimits(), std::move(admin_hooks));
  this->peer_server = std::make_unique<PeerServer>(
      loop, PeerIdentity{settings.member_id, settings.data_centre, settings.fleet_key},
      PeerOptions(), this->MakePeerHandlers());
  if (!this->socket.Open(settings.membership_address)) {
    reason = "membership-address: " + this->socket.LastReason();
    return false;
  }
  if (!this->peer_server->Listen(settings.peer_address)) {
    reason = "peer-address: " + this->peer_server->LastReason();
    return false;
  }
  if (!this->admin_server->Listen(settings.admin_address)) {
    reason = "admin-address: " + this->admin_server->LastReason();
    return false;
  }
  if (!this->caller_server->Listen(settings.caller_address)) {
    reason = "caller-address: " + this->caller_server->LastReason();
    return false;
  }
  this->loop.OnStopSignal([this](int) { this->BeginStop(); });
  this->membership->Start();
  this->configuration_service->Start();
  this->vm_list->Start();
  this->logger.Info("started", {{"member", settings.member_id},
                                {"data_centre", settings.data_centre},
                                {"caller_address", settings.caller_address.ToString()}});
  return true;
}

void Proxy::Impl::Run() { this->loop.Join(); }

void Proxy::Impl::BeginStop() {
  if (this->stopping.exchange(true)) {
    return;
  }
  this->logger.Info("stopping", {{"member", settings.member_id}});
  this->membership->Leave();
  {
    const std::lock_guard<std::mutex> lock(this->refresh_mutex);
    this->watchers->Stop();
  }
  this->caller_server->AnnounceClose();
  const Duration delay = std::max<Duration>(this->settings.drain_delay, kLeavePropagationTime);
  this->loop.RunAfter(delay, [this] { this->StopAccepting(); });
}

void Proxy::Impl::StopAccepting() {
  this->entry->Stop();
  this->holders->StopTransactions();
  this->WaitUntilIdle(this->loop.Now() + kMaxStopTime);
}

void Proxy::Impl::WaitUntilIdle(TimePoint limit) {
  const bool idle = this->entry->InProgress() == 0 && this->holders->Idle();
  if (idle || this->loop.Now() >= limit) {
    this->ClosePorts();
    return;
  }
  this->loop.RunAfter(kStopCheckInterval, [this, limit] { this->WaitUntilIdle(limit); });
}

void Proxy::Impl::ClosePorts() {
  this->caller_server->Shutdown([this] {
    this->peer_server->Shutdown([this] {
      this->logger.Info("stopped", {{"member", settings.member_id}});
      this->membership->Stop();
      this->configuration_service->Stop();
      this->loop.Stop();
    });
  });
}

Proxy::Proxy(ProxySettings settings, Tracer::Sink trace_sink)
    : impl(std::make_unique<Impl>(std::move(settings), std::move(trace_sink))) {}

Proxy::~Proxy() = default;

bool Proxy::Start() { return this->impl->Start(this->last_reason); }

void Proxy::Run() { this->impl->Run(); }

}  // namespace sycamoredrum
