#include "sycamoredrum/relay_daemon.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include <algorithm>
#include <csignal>
#include <future>
#include <map>
#include <random>
#include <set>
#include <utility>

#include "allowance_exchange.h"
#include "caller_acceptance.h"
#include "fleet_member.h"
#include "statement_exchange.h"
#include "sycamoredrum/boottime_clock.h"
#include "sycamoredrum/byte_stream.h"
#include "sycamoredrum/forwarded_sessions.h"
#include "sycamoredrum/http.h"
#include "sycamoredrum/organisation_directory.h"

namespace sycamoredrum {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(50);
constexpr Duration kSettingsCheckInterval = std::chrono::seconds(2);
// Minimum interval between watches of the backend servers' records, which change with every
// heartbeat of a server. Without it, each change would cost a store call.
constexpr Duration kServersWatchInterval = std::chrono::milliseconds(1000);
// When the store was unreachable for this time, the backend servers' records of another process are
// used.
constexpr Duration kServersStaleAfter = std::chrono::seconds(2);
// A process reports itself ready after this time even without grants, because it can serve reads.
constexpr Duration kMaxWaitForGrants = std::chrono::seconds(4);
// The load balancer stops sending callers after two failed checks, one second apart.
constexpr Duration kBalancerDelay = std::chrono::milliseconds(2200);
// Idle sessions are closed spread over this time, so that their callers do not reconnect at once.
constexpr Duration kIdleCloseSpread = std::chrono::milliseconds(500);
// Fractions of `stop_grace` after which open transactions are rolled back, statements that were not
// sent to a backend server are rejected, and all other statements are answered with their known
// state.
constexpr double kTransactionShareOfGrace = 0.5;
constexpr double kRefuseShareOfGrace = 0.7;
constexpr double kEndShareOfGrace = 0.85;
// Time for sending the last answers before the process exits.
constexpr Duration kFlushTime = std::chrono::milliseconds(100);

std::string RandomIncarnation() {
  std::random_device device;
  return absl::StrCat(absl::Hex(device()), absl::Hex(device()));
}

RandomSource MakeRandom() {
  const auto engine = std::make_shared<std::mt19937_64>(std::random_device{}());
  return [engine] { return (*engine)(); };
}

Duration Share(Duration whole, double part) {
  return std::chrono::duration_cast<Duration>(whole * part);
}

}  // namespace

struct RelayDaemon::State {
  State(RelaySettings new_settings, const MakeRelayPlatform& make_platform,
        ReloadRelaySettings reload)
      : settings(std::move(new_settings)),
        reload(std::move(reload)),
        acceptance(this->settings, this->clock, this->logger, this->metrics),
        loop(1),
        logger(this->settings.log_level, this->settings.log_format, this->clock,
               Logger::StandardOutput()),
        random(MakeRandom()),
        platform(make_platform(this->loop, this->metrics, this->settings)),
        grants(this->clock),
        servers(this->clock, this->MakeServerDirectoryHooks()),
        self(this->MakeMemberRecord()),
        relay(SessionRelayOptions{this->settings.data_centre, this->settings.member_id},
              this->MakeRelayHooks(), this->grants, this->clock, this->loop, this->random,
              this->logger, this->metrics),
        forwarded_sessions(this->relay, this->clock, this->metrics),
        statement_exchange(this->self.incarnation, this->MakeExchangeHooks(),
                           this->forwarded_sessions),
        allowances(this->self, this->settings.processor_share, this->settings.allowance,
                   this->MakeAllowanceHooks(), this->clock, this->loop, this->random, this->logger,
                   this->metrics),
        member(this->platform, this->self, this->settings.processor_share, this->settings.seeds,
               this->settings.fleet_key, this->MakeMemberHooks(), this->relay, this->grants,
               this->servers, this->loop, this->clock, this->random, this->logger, this->metrics),
        configuration_mirror(this->platform.store, this->MakeConfigurationMirrorOptions(),
                             this->MakeConfigurationMirrorHooks(), this->clock, this->loop,
                             this->random),
        servers_mirror(this->platform.store,
                       StoreMirrorOptions{this->platform.servers_prefix, std::chrono::seconds(2),
                                          kServersWatchInterval, std::nullopt},
                       this->MakeServersMirrorHooks(), this->clock, this->loop, this->random),
        ready_server(this->loop, CheckPortLimits(this->settings), this->MakeReadyHooks()),
        metrics_server(this->loop, CheckPortLimits(this->settings), this->MakeMetricsHooks()),
        caller_server(
            this->loop, CallerStreamOptions(),
            [this](std::shared_ptr<ByteStream> stream) { this->AcceptCaller(std::move(stream)); }),
        started(this->clock.Now()) {}

  MemberRecord MakeMemberRecord() const {
    return MemberRecord{this->settings.member_id, RandomIncarnation(), this->settings.data_centre,
                        this->settings.peer_address};
  }

  ServerDirectoryHooks MakeServerDirectoryHooks();
  SessionRelayHooks MakeRelayHooks();
  StatementExchangeHooks MakeExchangeHooks();
  FleetMemberHooks MakeMemberHooks();
  AllowanceExchangeHooks MakeAllowanceHooks();
  StoreMirrorOptions MakeConfigurationMirrorOptions() const {
    StoreMirrorOptions options;
    options.prefix = this->platform.configuration_key;
    options.relaxed_watch_timeout = FleetMember::kRelaxedWatchTimeout;
    return options;
  }
  StoreMirrorHooks MakeConfigurationMirrorHooks();
  StoreMirrorHooks MakeServersMirrorHooks();
  HttpServerHooks MakeReadyHooks();
  HttpServerHooks MakeMetricsHooks();
  CallerLimitHooks MakeAcceptanceHooks();

  bool Start();
  bool Listen();
  /// `source` is "store" or the endpoint of the member that sent `text`.
  void ApplyConfiguration(const std::string& text, const std::string& source);
  void LogOrganisationFindings(const RelayConfiguration& configuration);
  /// With organisations, logs at most one refused session per second.
  void LogRefusedSession(const SessionRequest& request, const StatementError& refusal);
  void AcceptCaller(std::shared_ptr<ByteStream> stream);
  bool Ready() const;
  void Tick();
  void CheckSettings();
  void BeginStop(int signal);
  void ContinueStop();
  void CloseCallersWhenIdle(std::size_t max_count);
  void EndStatements();
  void End();

  RelaySettings settings;
  ReloadRelaySettings reload;
  BoottimeClock clock;
  CallerAcceptance acceptance;  ///< Outlives the connections that the loop still holds.
  EventLoop loop;
  Metrics metrics;
  Logger logger;
  RandomSource random;
  RelayPlatform platform;
  PrimaryGrants grants;
  ServerDirectory servers;
  const MemberRecord self;
  SessionRelay relay;
  ForwardedSessions forwarded_sessions;
  StatementExchange statement_exchange;
  AllowanceExchange allowances;  ///< Destroyed before `relay`: it holds callbacks of sessions.
  FleetMember member;
  StoreMirror configuration_mirror;
  StoreMirror servers_mirror;
  HttpServer ready_server;
  HttpServer metrics_server;
  ByteStreamServer caller_server;
  std::map<std::uint64_t, std::shared_ptr<CallerConnection>> callers;
  std::uint64_t next_caller = 1;
  std::string configuration_text;
  TimePoint next_refused_session_log;
  std::size_t unlogged_refused_sessions = 0;  ///< Since the last one that was logged.
  TimePoint started;
  TimePoint last_settings_check;
  std::optional<TimePoint> stopping_since;
  std::size_t callers_at_stop = 0;
  std::uint64_t closing_up_to = 0;  ///< Callers up to this number are closed when idle.
  bool was_ready = false;           ///< Was ready once; grants lost later are ignored.
  bool cut_off = false;
  bool ended = false;  ///< The remaining sessions were ended.
  std::string last_reason;
};

ServerDirectoryHooks RelayDaemon::State::MakeServerDirectoryHooks() {
  ServerDirectoryHooks result;
  result.put = [this](const BackendServerRecord& record) {
    this->relay.PutServer(record);
    this->member.PutServer(record);
  };
  result.removed = [this](const std::string& id) {
    this->relay.RemoveServer(id);
    this->member.RemoveServer(id);
  };
  return result;
}

SessionRelayHooks RelayDaemon::State::MakeRelayHooks() {
  SessionRelayHooks hooks;
  hooks.open_channel = this->platform.open_channel;
  hooks.primary_suspected = [this](const std::string& database) {
    this->member.OnPrimarySuspected(database);
  };
  hooks.admit = [this](const std::string& organisation, TimePoint deadline,
                       std::function<void(const AdmissionVerdict&)> done) {
    this->allowances.Admit(organisation, deadline, std::move(done));
  };
  hooks.forward = [this](const ConnectionHolder& holder, const ForwardedStatement& statement,
                         Duration timeout, const ForwardCallback& done) {
    this->statement_exchange.Send(holder, statement, timeout, done);
  };
  hooks.end_forwarded = [this](const ConnectionHolder& holder, std::uint64_t session) {
    this->statement_exchange.End(holder, session);
  };
  return hooks;
}

StatementExchangeHooks RelayDaemon::State::MakeExchangeHooks() {
  StatementExchangeHooks hooks;
  hooks.call = [this](const Endpoint& endpoint, const std::string& kind, const std::string& body,
                      Duration timeout, PeerCallback done) {
    this->member.Call(endpoint, kind, body, timeout, std::move(done));
  };
  hooks.link_open = [this](const Endpoint& endpoint) { return this->member.LinkOpen(endpoint); };
  return hooks;
}

FleetMemberHooks RelayDaemon::State::MakeMemberHooks() {
  FleetMemberHooks hooks;
  hooks.handlers = this->statement_exchange.Handlers();
  hooks.links_ended = [this](const std::string& member) {
    this->forwarded_sessions.EndAllOf(member);
  };
  hooks.configuration_received = [this](const std::string& text, const std::string& source) {
    this->ApplyConfiguration(text, source);
  };
  hooks.configuration_text = [this] { return this->configuration_text; };
  hooks.needs_servers = [this] {
    const Duration age = this->clock.Now() - this->servers_mirror.LastSuccess();
    const bool store_unreachable = !this->servers_mirror.Reachable() || this->member.StoreLost();
    return !this->servers_mirror.Synchronized() || (store_unreachable && age > kServersStaleAfter);
  };
  hooks.store_reachable = [this] {
    this->configuration_mirror.ResendOverdueList();
    this->servers_mirror.ResendOverdueList();
  };
  hooks.extend_heartbeat = [this](HeartbeatMessage& message) { this->allowances.AddTo(message); };
  hooks.heartbeat_answered = [this](const HeartbeatAnswer& answer, TimePoint sent) {
    this->allowances.OnAnswer(answer, sent);
  };
  hooks.tokens_requested = [this](const std::string& member, const std::string& body) {
    return this->allowances.OnRequest(member, body);
  };
  return hooks;
}

AllowanceExchangeHooks RelayDaemon::State::MakeAllowanceHooks() {
  AllowanceExchangeHooks hooks;
  hooks.call = [this](const Endpoint& target, const std::string& body,
                      std::function<void(const std::optional<std::string>&)> done) {
    this->member.Call(target, "allowance", body, AllowanceExchange::kRequestTimeout,
                      [this, done = std::move(done)](const PeerAnswer& reply) {
                        if (!reply.Ok()) {
                          this->metrics.Increment(Metric::kPeerErrors, {"allowance"});
                        }
                        done(reply.Ok() ? std::optional<std::string>(reply.body) : std::nullopt);
                      });
  };
  hooks.request_configuration = [this] { this->member.RequestConfiguration(); };
  return hooks;
}

StoreMirrorHooks RelayDaemon::State::MakeConfigurationMirrorHooks() {
  StoreMirrorHooks hooks;
  hooks.relaxed = [this] { return this->member.LeaderReachable(); };
  hooks.wanted = [this] {
    return !this->member.StoreLost() &&
           (this->member.ReadsStore() || this->member.ConfigurationOverdue() ||
            this->relay.Configuration()->version == 0);
  };
  hooks.max_retry_delay = [this] { return this->member.MaxStoreRetryDelay(); };
  hooks.changed = [this](const StoreEvent& event) {
    if (event.item.key == this->platform.configuration_key && !event.removed) {
      this->ApplyConfiguration(event.item.value, "store");
    }
  };
  hooks.synchronized = [] {};
  hooks.reachable = [this](bool reachable) {
    const Duration since = this->clock.Now() - this->configuration_mirror.LastSuccess();
    this->logger.Info(
        reachable ? "store_regained" : "store_lost",
        {{"keys", this->platform.configuration_key}, {"last_success_ms", LogMilliseconds(since)}});
  };
  hooks.restored = [this](std::uint64_t era) {
    this->logger.Warning("store_restored",
                         {{"keys", this->platform.configuration_key}, {"era", absl::StrCat(era)}});
  };
  return hooks;
}

StoreMirrorHooks RelayDaemon::State::MakeServersMirrorHooks() {
  StoreMirrorHooks hooks;
  hooks.relaxed = [this] { return this->member.HasServersOfLeader(); };
  hooks.wanted = [this] {
    return !this->member.StoreLost() &&
           (this->member.ReadsStore() || !this->servers_mirror.Synchronized());
  };
  hooks.max_retry_delay = [this] { return this->member.MaxStoreRetryDelay(); };
  hooks.listed = [this](const std::map<std::string, KeyValue>& items) {
    // The leader may have reported servers that left before this process read their records.
    const auto records = this->servers.Records();
    for (const auto& [id, record] : records) {
      if (items.count(this->platform.servers_prefix + id) == 0) {
        this->servers.Remove(id);
      }
    }
  };
  hooks.changed = [this](const StoreEvent& event) {
    this->member.InvalidateServers();
    const std::string id = event.item.key.substr(this->platform.servers_prefix.size());
    if (event.removed) {
      this->servers.Remove(id);
      return;
    }
    std::string reason;
    if (const auto record = this->platform.decode_server(event.item, reason)) {
      this->servers.Put(*record);
    } else {
      this->logger.Warning("server_record_unreadable",
                           {{"key", event.item.key}, {"reason", reason}});
      this->servers.Remove(id);
    }
  };
  hooks.synchronized = [] {};
  hooks.reachable = [this](bool reachable) {
    this->servers.SetStoreReachable(reachable);
    this->logger.Info(reachable ? "store_regained" : "store_lost",
                      {{"keys", this->platform.servers_prefix}});
  };
  hooks.restored = [this](std::uint64_t era) {
    this->logger.Warning("store_restored",
                         {{"keys", this->platform.servers_prefix}, {"era", absl::StrCat(era)}});
  };
  return hooks;
}

HttpServerHooks RelayDaemon::State::MakeReadyHooks() {
  HttpServerHooks hooks;
  hooks.handle = [this](const HttpRequest& request, const HttpRespond& respond) {
    HttpResponse response;
    constexpr int kOk = 200;
    constexpr int kNotFound = 404;
    constexpr int kUnavailable = 503;
    const bool known = request.Path() == this->platform.ready_path;
    response.status = known ? (this->Ready() ? kOk : kUnavailable) : kNotFound;
    respond(std::move(response));
  };
  return hooks;
}

HttpServerHooks RelayDaemon::State::MakeMetricsHooks() {
  HttpServerHooks hooks;
  hooks.handle = [this](const HttpRequest& request, const HttpRespond& respond) {
    HttpResponse response;
    if (request.Path() == "/metrics") {
      this->metrics.Set(Metric::kCallerSessions, {}, static_cast<double>(this->callers.size()));
      this->metrics.Set(Metric::kOpenTransactions, {},
                        static_cast<double>(this->relay.OpenTransactions()));
      this->acceptance.PublishMetrics();
      response.headers = {{"Content-Type", "text/plain; version=0.0.4"}};
      response.body = this->metrics.Expose();
    } else {
      response.status = 404;
    }
    respond(std::move(response));
  };
  return hooks;
}

CallerLimitHooks RelayDaemon::State::MakeAcceptanceHooks() {
  CallerLimitHooks hooks;
  hooks.resume = [this](std::uint64_t number) {
    const auto found = this->callers.find(number);
    if (found != this->callers.end()) {
      found->second->ResumeReading();
    }
  };
  hooks.close = [this](std::uint64_t number, LimitKind) {
    const auto found = this->callers.find(number);
    if (found == this->callers.end()) {
      return;
    }
    found->second->Drop();
    // Deferred, because a method of the session may be running.
    this->loop.Post([caller = found->second] { caller->Close(); });
  };
  return hooks;
}

bool RelayDaemon::State::Listen() {
  const auto failed = [this](const std::string& reason) {
    this->last_reason = reason;
    return false;
  };
  if (!this->ready_server.Listen(this->settings.ready_address)) {
    return failed(this->ready_server.LastReason());
  }
  if (!this->metrics_server.Listen(this->settings.metrics_address)) {
    return failed(this->metrics_server.LastReason());
  }
  if (!this->caller_server.Listen(this->settings.caller_address)) {
    return failed(this->caller_server.LastReason());
  }
  if (!this->member.Start()) {
    return failed(this->member.LastReason());
  }
  return true;
}

bool RelayDaemon::State::Start() {
  if (!this->Listen()) {
    return false;
  }
  this->logger.Info("started", {{"member", this->settings.member_id},
                                {"data_centre", this->settings.data_centre},
                                {"callers", this->settings.caller_address.ToString()},
                                {"peers", this->settings.peer_address.ToString()},
                                {"store", this->settings.store_address.ToString()}});
  this->acceptance.Start(this->MakeAcceptanceHooks());
  this->configuration_mirror.Start();
  this->servers_mirror.Start();
  this->loop.OnStopSignal([this](int signal) { this->BeginStop(signal); });
  this->loop.OnReloadSignal([this] {
    this->logger.Info("reload_signal", {});
    this->CheckSettings();
  });
  this->Tick();
  return true;
}

void RelayDaemon::State::ApplyConfiguration(const std::string& text, const std::string& source) {
  std::string reason;
  const auto present_configuration = this->relay.Configuration();
  const auto configuration =
      this->platform.decode_configuration(text, reason, present_configuration->organisations.get());
  if (!configuration) {
    this->logger.Error("configuration_unreadable", {{"source", source}, {"reason", reason}});
    return;
  }
  const std::uint64_t present = present_configuration->version;
  if (configuration->version <= present) {
    return;
  }
  if (present == 0) {
    // Without a configuration, every caller would be answered that its route does not exist.
    this->caller_server.Accept();
  }
  const Duration age = this->member.ConfigurationAge();
  this->configuration_text = text;
  this->allowances.SetLimits(RateLimitsOf(*configuration));
  this->relay.SetConfiguration(configuration);
  this->member.ConfigurationChanged(*configuration);
  this->metrics.Set(Metric::kConfigurationNumber, {}, static_cast<double>(configuration->version));
  this->logger.Info("configuration_applied",
                    {{"version", absl::StrCat(configuration->version)},
                     {"previous", absl::StrCat(present)},
                     {"routes", absl::StrCat(configuration->routes.size())},
                     {"age_ms", LogMilliseconds(age)},
                     {"source", source}});
  this->LogOrganisationFindings(*configuration);
}

void RelayDaemon::State::LogOrganisationFindings(const RelayConfiguration& configuration) {
  if (!configuration.organisations || configuration.organisations->Findings().empty()) {
    return;
  }
  // Bounds the line; there may be thousands of organisations.
  constexpr std::size_t kMaxLogged = 20;
  const std::vector<Finding>& findings = configuration.organisations->Findings();
  Findings logged;
  for (std::size_t i = 0; i < std::min(findings.size(), kMaxLogged); ++i) {
    logged.Add(findings[i].place, findings[i].reason);
  }
  this->logger.Warning("organisation_findings",
                       {{"version", absl::StrCat(configuration.version)},
                        {"findings", absl::StrCat(findings.size())},
                        {"first", absl::StrReplaceAll(logged.ToString(), {{"\n", "; "}})}});
}

void RelayDaemon::State::LogRefusedSession(const SessionRequest& request,
                                           const StatementError& refusal) {
  const auto configuration = this->relay.Configuration();
  std::string route = request.route;
  if (configuration->organisations) {
    if (this->clock.Now() < this->next_refused_session_log) {
      ++this->unlogged_refused_sessions;
      return;
    }
    this->next_refused_session_log = this->clock.Now() + std::chrono::seconds(1);
    // A caller may have sent its key in place of the route.
    route = configuration->routes.count(route) == 0 ? "not known" : route;
  }
  std::vector<LogField> fields = {{"route", route},
                                  {"configuration", absl::StrCat(configuration->version)},
                                  {"reason", refusal.message}};
  if (const std::size_t unlogged = std::exchange(this->unlogged_refused_sessions, 0)) {
    fields.push_back({"others_before", absl::StrCat(unlogged)});
  }
  this->logger.Warning("session_refused", std::move(fields));
}

void RelayDaemon::State::AcceptCaller(std::shared_ptr<ByteStream> stream) {
  if (this->ended || !this->acceptance.MayAccept(this->callers.size())) {
    // A stream starts only when its hooks are set; it is closed immediately.
    stream->SetHooks({});
    stream->Close();
    return;
  }
  const std::uint64_t number = this->next_caller++;
  this->callers[number] = this->platform.serve_caller(
      std::move(stream), this->acceptance.Add(number),
      [this](const SessionRequest& request, CallerSessionHooks hooks) {
        OpenedSession opened = this->relay.Open(request, std::move(hooks));
        if (!opened.session) {
          this->LogRefusedSession(request, opened.refusal);
        }
        return opened;
      },
      [this, number](const std::string& reason) {
        if (absl::StartsWith(reason, kUnexpectedError)) {
          this->logger.Error("caller_closed", {{"reason", reason}});
        }
        // Deferred, because a method of the connection may be running.
        this->loop.Post([this, number] { this->callers.erase(number); });
      });
}

bool RelayDaemon::State::Ready() const {
  if (this->stopping_since || this->relay.Configuration()->version == 0 ||
      this->servers.Records().empty() || this->cut_off) {
    return false;
  }
  return this->was_ready || this->member.HasGrants() ||
         this->clock.Now() - this->started > kMaxWaitForGrants;
}

void RelayDaemon::State::Tick() {
  if (this->ended) {
    return;
  }
  this->servers.Tick();
  this->relay.Tick();
  this->allowances.Tick();
  this->acceptance.Tick();
  this->forwarded_sessions.Tick();
  this->member.Tick();
  const bool cut_off = this->member.CutOff();
  if (std::exchange(this->cut_off, cut_off) != cut_off) {
    this->logger.Warning(cut_off ? "cut_off" : "cut_off_ended", {});
    this->relay.SetCutOff(cut_off);
  }
  if (!this->was_ready && this->Ready()) {
    this->was_ready = true;
    this->logger.Info("ready", {{"grants", this->member.HasGrants() ? "all" : "missing"}});
  }
  if (this->clock.Now() - this->last_settings_check > kSettingsCheckInterval) {
    this->CheckSettings();
  }
  if (this->stopping_since) {
    this->ContinueStop();
  }
  this->loop.RunAfter(kTickInterval, [this] { this->Tick(); });
}

// Applies changes of `stop_grace` and `max_sessions`; the other settings need a restart.
void RelayDaemon::State::CheckSettings() {
  this->last_settings_check = this->clock.Now();
  std::string problems;
  const std::optional<RelaySettings> changed = this->reload(problems);
  if (!problems.empty()) {
    this->logger.Error("settings_invalid", {{"problems", problems}});
  }
  if (!changed) {
    return;
  }
  this->settings.stop_grace = changed->stop_grace;
  this->settings.max_sessions = changed->max_sessions;
  this->acceptance.SetMaxSessions(changed->max_sessions);
  this->logger.Info(
      "settings_reloaded",
      {{"stop_grace_ms",
        absl::StrCat(
            std::chrono::duration_cast<std::chrono::milliseconds>(changed->stop_grace).count())},
       {"max_sessions", absl::StrCat(changed->max_sessions)}});
}

void RelayDaemon::State::BeginStop(int signal) {
  if (this->stopping_since) {
    return;
  }
  this->stopping_since = this->clock.Now();
  this->callers_at_stop = std::max<std::size_t>(this->callers.size(), 1);
  this->logger.Info("stopping", {{"signal", absl::StrCat(signal)},
                                 {"sessions", absl::StrCat(this->callers.size())}});
  this->forwarded_sessions.StopAccepting();
  this->member.PrepareToLeave();
}

// Phases of a graceful stop:
// - until the load balancer has noticed (kBalancerDelay): callers are served as usual;
// - then: each session is closed at the end of its statement or transaction;
// - from kTransactionShareOfGrace: open transactions are rolled back, which their next statement
//   reports;
// - from kRefuseShareOfGrace: waiting statements, which did not run, are rejected;
// - from kEndShareOfGrace: statements that a server still runs are answered with their known state.
void RelayDaemon::State::ContinueStop() {
  const Duration elapsed = this->clock.Now() - *this->stopping_since;
  const Duration transactions_until = Share(this->settings.stop_grace, kTransactionShareOfGrace);
  const Duration idle_from = std::min(kBalancerDelay, transactions_until);
  if (elapsed >= transactions_until) {
    this->relay.AbortTransactions("the proxy stops");
  }
  if (elapsed >= Share(this->settings.stop_grace, kRefuseShareOfGrace)) {
    this->relay.StopAcceptingStatements("the proxy stops");
  }
  if (elapsed >= idle_from) {
    const auto ticks = static_cast<std::size_t>(kIdleCloseSpread / kTickInterval);
    const bool all = elapsed >= idle_from + kIdleCloseSpread;
    this->CloseCallersWhenIdle(all ? this->callers.size() : this->callers_at_stop / ticks + 1);
  }
  if (elapsed >= idle_from + kIdleCloseSpread) {
    this->caller_server.Stop();
    if (this->callers.empty() && this->forwarded_sessions.Count() == 0) {
      this->End();
      return;
    }
  }
  if (elapsed >= Share(this->settings.stop_grace, kEndShareOfGrace)) {
    this->EndStatements();
  }
}

void RelayDaemon::State::CloseCallersWhenIdle(std::size_t max_count) {
  std::vector<std::shared_ptr<CallerConnection>> chosen;
  for (auto caller = this->callers.upper_bound(this->closing_up_to);
       caller != this->callers.end() && chosen.size() < max_count; ++caller) {
    this->closing_up_to = caller->first;
    chosen.push_back(caller->second);
  }
  for (const std::shared_ptr<CallerConnection>& caller : chosen) {
    caller->CloseWhenIdle();
  }
}

void RelayDaemon::State::EndStatements() {
  if (std::exchange(this->ended, true)) {
    return;
  }
  this->relay.EndStatements("the proxy stops");
  const auto left = this->callers;
  for (const auto& [number, caller] : left) {
    caller->Close();
  }
  this->logger.Info("sessions_ended", {{"sessions", absl::StrCat(left.size())}});
  this->loop.RunAfter(kFlushTime, [this] { this->End(); });
}

void RelayDaemon::State::End() {
  this->ended = true;
  this->allowances.Stop();
  this->member.Leave([this] {
    this->logger.Info("stopped", {{"sessions_left", absl::StrCat(this->callers.size())}});
    this->loop.Stop();
  });
}

RelayDaemon::RelayDaemon(RelaySettings settings, const MakeRelayPlatform& make_platform,
                         ReloadRelaySettings reload)
    : state(std::make_unique<State>(std::move(settings), make_platform, std::move(reload))) {}

RelayDaemon::~RelayDaemon() {
  this->state->loop.Stop();
  this->state->loop.Join();
  this->state->acceptance.Stop();
}

bool RelayDaemon::Start() {
  // From here on, everything runs on the only worker thread.
  std::promise<bool> started;
  this->state->loop.Post([this, &started] { started.set_value(this->state->Start()); });
  return started.get_future().get();
}

void RelayDaemon::Run() { this->state->loop.Join(); }

const std::string& RelayDaemon::LastReason() const { return this->state->last_reason; }

}  // namespace sycamoredrum
