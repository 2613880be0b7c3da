#include "sycamoredrum/session_relay.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "caller_session.h"
#include "idle_connections.h"
#include "read_placement.h"
#include "relay_state.h"

namespace sycamoredrum {
namespace {

// Initial estimates of a server's response time, in this data centre and in others.
constexpr Duration kLocalResponseTime = std::chrono::milliseconds(20);
constexpr Duration kRemoteResponseTime = std::chrono::milliseconds(60);
// A new sample has the weight 1 / kResponseTimeSmoothing in the moving average.
constexpr int kResponseTimeSmoothing = 6;
// Weight of a new answer in the failure rate, which thus covers about the last ten answers.
constexpr double kFailureRateSmoothing = 0.1;
// Weight of a new sample in the moving average of the demand. With one sample per tick, the average
// covers about half a second.
constexpr double kDemandSmoothing = 0.1;
// Queue weight of a position query. It is high because the query is short and several reads wait
// for its result.
constexpr int kPositionQueryWeight = 8;
// Time constant, in seconds, of the moving average of leases per second. In this time, a process of
// a large fleet sends one server a few statements.
constexpr double kLeaseRateSeconds = 5.0;
// Servers with a lower demand are left out of the report.
constexpr double kMinReportedDemand = 0.05;

}  // namespace

SessionRelay::Impl::Impl(SessionRelayOptions options, SessionRelayHooks hooks,
                         PrimaryGrants& grants, const Clock& clock, Scheduler& scheduler,
                         RandomSource random, Logger& logger, Metrics& metrics)
    : options(std::move(options)),
      hooks(std::move(hooks)),
      grants(grants),
      clock(clock),
      scheduler(scheduler),
      random(std::move(random)),
      logger(logger),
      metrics(metrics),
      forwarder(this->options.member, this->hooks.forward, this->hooks.end_forwarded, clock, logger,
                metrics),
      configuration(std::make_shared<RelayConfiguration>()),
      last_tick(clock.Now()) {}

RelayServer* SessionRelay::Impl::FindServer(const std::string& id) {
  const auto found = this->servers.find(id);
  return found == this->servers.end() ? nullptr : found->second.get();
}

int SessionRelay::Impl::ConnectionLimit(const RelayServer& server) const {
  const auto share = this->shares.find(server.record.id);
  return share == this->shares.end() ? kInitialConnectionShare : share->second;
}

Duration SessionRelay::Impl::IdleTimeout(const RelayServer& server) const {
  const auto cap = this->configuration->connection_caps.find(server.record.database);
  if (this->forwarder.IsHolder(server.record.data_centre)) {
    // Other relays send their statements here, and the leader's share bounds the connections.
    return kMaxIdleTimeout;
  }
  return cap == this->configuration->connection_caps.end()
             ? kMaxIdleTimeout
             : IdleConnectionTimeout(cap->second, this->fleet_size, server.lease_rate);
}

void SessionRelay::Impl::Acquire(RelayServer& server, const LeaseRequest& request,
                                 LeaseCallback callback) {
  this->servers_in_use.insert(server.record.id);
  server.pool->Acquire(request, std::move(callback));
}

void SessionRelay::Impl::Release(RelayServer& server, const Lease& lease, ConnectionState state) {
  const auto session = server.sessions.find(lease.connection);
  const bool broken = session == server.sessions.end() || session->second->Broken();
  server.pool->Release(lease, broken ? ConnectionState::kBroken : state);
}

void SessionRelay::Impl::RecordStrayAnswer(RelayServer& server, AnswerMatch match) {
  this->metrics.Increment(Metric::kStrayAnswers, {server.record.database, ToString(match)});
  // Repeated refusals of a lagging or busy server are ambiguous, and usual.
  if (match != AnswerMatch::kAmbiguous && !std::exchange(server.sent_stray_answer, true)) {
    this->logger.Warning("server_sends_stray_answers", {{"server", server.record.id},
                                                        {"database", server.record.database},
                                                        {"match", ToString(match)}});
  }
}

void SessionRelay::Impl::UpdateLimits() {
  for (const auto& [id, server] : this->servers) {
    server->pool->SetLimit(this->ConnectionLimit(*server));
  }
}

void SessionRelay::Impl::AddServer(const BackendServerRecord& record) {
  auto server = std::make_shared<RelayServer>();
  server->record = record;
  server->added_tick = this->ticks;
  server->response_time =
      record.data_centre == this->options.data_centre ? kLocalResponseTime : kRemoteResponseTime;
  server->connect_time = server->response_time;
  server->answered_at = this->clock.Now();
  server->unanswered_since = this->clock.Now();
  server->behind_until = this->clock.Now();
  server->busy_until = this->clock.Now();
  server->unreachable_until = this->clock.Now();
  ConnectionPoolHooks pool_hooks;
  pool_hooks.open = [this, id = record.id](const std::string& organisation,
                                           const OpenCallback& done) {
    this->OpenConnection(id, organisation, done);
  };
  pool_hooks.close = [this, id = record.id](ConnectionId connection) {
    this->CloseConnection(id, connection);
  };
  server->pool = std::make_unique<ConnectionPool>(pool_hooks, this->ConnectionLimit(*server),
                                                  this->clock, this->scheduler);
  this->servers[record.id] = std::move(server);
}

void SessionRelay::Impl::OpenConnection(const std::string& id, const std::string& organisation,
                                        const OpenCallback& done) {
  RelayServer* server = this->FindServer(id);
  if (server == nullptr) {
    done(OpenResult{OpenStatus::kUnreachable, 0});
    return;
  }
  const ConnectionId connection = this->next_connection++;
  const auto with_server = [this, weak = std::weak_ptr<bool>(this->alive),
                            id](const std::function<void(RelayServer&)>& action) {
    RelayServer* present = weak.expired() ? nullptr : this->FindServer(id);
    if (present != nullptr) {
      action(*present);
    }
  };
  BackendChannelEvents events;
  const std::string& database = server->record.database;
  const std::optional<PrimaryGrant> grant = this->grants.Current(database);
  const bool as_primary = grant && grant->server == id;
  events.opened = [this, with_server, connection, done, database, started = this->clock.Now(),
                   generation = as_primary ? std::optional(grant->generation)
                                           : std::nullopt](std::optional<LogPosition> position) {
    with_server([&](RelayServer& present) {
      present.answered_at = this->clock.Now();
      present.failing_since.reset();
      present.unreachable_until = this->clock.Now();
      present.connect_time +=
          ((this->clock.Now() - started) - present.connect_time) / kResponseTimeSmoothing;
      if (generation && position) {
        this->Observe(database, *generation, PositionObservation{*position, started});
      }
      done(OpenResult{OpenStatus::kOpened, connection});
    });
  };
  events.refused = [this, with_server, connection, id, done](const StatementError& error) {
    with_server([&](RelayServer& present) {
      this->logger.Warning(
          "connection_refused",
          {{"server", id}, {"code", std::string(ToString(error.code))}, {"reason", error.message}});
      present.sessions.erase(connection);
      const bool cap_reached = error.code == StatementErrorCode::kTooManyConnections;
      done(OpenResult{cap_reached ? OpenStatus::kRefused : OpenStatus::kUnreachable, 0});
    });
  };
  events.result = [with_server, connection](const StatementResult& result) {
    with_server([&](RelayServer& present) {
      const auto session = present.sessions.find(connection);
      if (session != present.sessions.end()) {
        session->second->OnResult(result);
      }
    });
  };
  events.closed = [with_server, connection, done](const std::string&) {
    with_server([&](RelayServer& present) {
      const auto session = present.sessions.find(connection);
      if (session == present.sessions.end()) {
        return;
      }
      session->second->OnClosed();
      present.pool->ConnectionClosed(connection);
      // Reports a failed open to the pool, which ignores this if the connection was open.
      done(OpenResult{OpenStatus::kUnreachable, 0});
    });
  };
  BackendSession::Hooks session_hooks;
  session_hooks.stray_answer = [this, with_server](AnswerMatch match) {
    with_server([&](RelayServer& present) { this->RecordStrayAnswer(present, match); });
  };
  session_hooks.sends_stray_answers = [with_server] {
    bool sends = false;
    with_server([&sends](const RelayServer& present) { sends = present.sent_stray_answer; });
    return sends;
  };
  server->sessions[connection] = std::make_unique<BackendSession>(
      this->hooks.open_channel(server->record, organisation, events), organisation, session_hooks);
}

void SessionRelay::Impl::CloseConnection(const std::string& id, ConnectionId connection) {
  RelayServer* server = this->FindServer(id);
  if (server == nullptr) {
    return;
  }
  auto session = server->sessions.extract(connection);
  if (session.empty()) {
    return;
  }
  session.mapped()->Close();
  // Ends the statements without a result and then destroys the session. Both are deferred because
  // this method may run inside one of the session's callbacks.
  const std::shared_ptr<BackendSession> closing = std::move(session.mapped());
  this->scheduler.RunAfter(Duration::zero(), [closing] { closing->OnClosed(); });
}

std::optional<std::string> SessionRelay::Impl::ChooseReadServer(
    const std::string& database, const std::set<std::string>& tried) {
  const TimePoint now = this->clock.Now();
  const std::optional<PrimaryGrant> grant = this->grants.Current(database);
  std::vector<PlacementCandidate> candidates;
  std::vector<double> jitter;
  for (const auto& [id, server] : this->servers) {
    if (server->record.database != database) {
      continue;
    }
    PlacementCandidate candidate;
    candidate.server = id;
    candidate.response_time = server->response_time;
    candidate.connect_time = server->pool->Idle() > 0 ? Duration::zero() : server->connect_time;
    candidate.failure_rate = server->failure_rate;
    candidate.outstanding = server->pool->Leased() + server->pool->Waiting() + server->forwarded;
    candidate.primary = grant && grant->server == id;
    candidate.usable = server->record.state == BackendServerState::kReady && tried.count(id) == 0 &&
                       server->behind_until <= now && server->busy_until <= now &&
                       server->unreachable_until <= now &&
                       !this->Unresponsive(*server, kUnresponsiveTimeout);
    candidates.push_back(std::move(candidate));
    constexpr double kRandomRange = 1024.0;
    jitter.push_back(static_cast<double>(this->random() % 1024) / kRandomRange);
  }
  const std::optional<std::size_t> chosen = PlaceRead(candidates, jitter);
  return chosen ? std::optional(candidates[*chosen].server) : std::nullopt;
}

void SessionRelay::Impl::MarkFailing(RelayServer& server) {
  const TimePoint now = this->clock.Now();
  server.unreachable_until = now + kUnreachableBackOff;
  if (!server.failing_since) {
    server.failing_since = now;
    this->logger.Warning("server_failing",
                         {{"server", server.record.id},
                          {"database", server.record.database},
                          {"silent_ms", LogMilliseconds(now - server.answered_at)}});
  }
}

void SessionRelay::Impl::MarkAnswered(RelayServer& server, TimePoint sent_at) {
  const TimePoint now = this->clock.Now();
  server.answered_at = now;
  server.unanswered_since = now;
  server.failing_since.reset();
  server.response_time += ((now - sent_at) - server.response_time) / kResponseTimeSmoothing;
}

// The time includes the wait for a connection at the holder, which shows the load of the server.
// The other measurements are left to the holder, because a holder that does not respond says
// nothing about the server.
void SessionRelay::Impl::MarkAnsweredByHolder(RelayServer& server, TimePoint sent_at,
                                              const ForwardAnswer& answer) {
  if (answer.outcome != ForwardOutcome::kAnswered) {
    return;
  }
  const TimePoint now = this->clock.Now();
  server.response_time += ((now - sent_at) - server.response_time) / kResponseTimeSmoothing;
  if (answer.result.error && answer.result.error->code == StatementErrorCode::kBusy) {
    server.busy_until = now + kBusyBackOff;
  }
}

void SessionRelay::Impl::UpdateFailureRate(RelayServer& server, bool failed) {
  server.failure_rate += ((failed ? 1.0 : 0.0) - server.failure_rate) * kFailureRateSmoothing;
}

bool SessionRelay::Impl::Unresponsive(const RelayServer& server, Duration limit) const {
  return server.outstanding > 0 && this->clock.Now() - server.unanswered_since > limit;
}

void SessionRelay::Impl::Observe(const std::string& database, std::uint64_t generation,
                                 const PositionObservation& observation) {
  RelayDatabase& observed = this->databases[database];
  observed.window.Observe(generation, observation);
  if (observed.position_query_deadline) {
    observed.position_query_deadline.reset();
    this->scheduler.RunAfter(Duration::zero(),
                             [this, weak = std::weak_ptr<bool>(this->alive), database] {
                               if (!weak.expired()) {
                                 this->ResumeWaitingSessions(database);
                               }
                             });
  }
}

void SessionRelay::Impl::QueryPosition(const std::string& database, const PrimaryGrant& grant) {
  const TimePoint now = this->clock.Now();
  std::optional<TimePoint>& until = this->databases[database].position_query_deadline;
  RelayServer* server = this->FindServer(grant.server);
  if (server == nullptr || (until && now < *until)) {
    return;
  }
  until = now + kMaxPositionWait;
  LeaseRequest request;
  request.caller_group = "position";
  request.weight = kPositionQueryWeight;
  request.deadline = *until;
  request.any_organisation = true;
  this->Acquire(
      *server, request,
      [this, weak = std::weak_ptr<bool>(this->alive), database, grant](const LeaseAnswer& answer) {
        if (!weak.expired() && answer.status == LeaseStatus::kGranted) {
          this->OnPositionLease(database, grant, answer);
        }
      });
}

void SessionRelay::Impl::OnPositionLease(const std::string& database, const PrimaryGrant& grant,
                                         const LeaseAnswer& answer) {
  RelayServer* server = this->FindServer(grant.server);
  if (server == nullptr) {
    return;
  }
  const auto session = server->sessions.find(answer.lease.connection);
  // The position may have been observed on a new connection in the meantime.
  const bool answered = !this->databases[database].position_query_deadline;
  if (session == server->sessions.end() || session->second->Broken() || answered ||
      !this->grants.StillValid(database, grant.generation)) {
    Release(*server, answer.lease, answered ? ConnectionState::kClean : ConnectionState::kBroken);
    return;
  }
  Statement query;
  query.kind = StatementKind::kPosition;
  session->second->Execute(
      SessionProfile{}, BackendCommand{query, std::nullopt},
      [this, weak = std::weak_ptr<bool>(this->alive), database, grant, lease = answer.lease,
       sent = this->clock.Now()](const std::optional<StatementResult>& result) {
        RelayServer* present = weak.expired() ? nullptr : this->FindServer(grant.server);
        if (present == nullptr) {
          return;
        }
        Release(*present, lease, result ? ConnectionState::kClean : ConnectionState::kBroken);
        if (result && result->position && this->grants.StillValid(database, grant.generation)) {
          this->Observe(database, grant.generation, PositionObservation{*result->position, sent});
        }
      });
}

void SessionRelay::Impl::ResumeWaitingSessions(const std::string& database) {
  const auto found = this->databases.find(database);
  if (found == this->databases.end() || !this->grants.Current(database)) {
    return;
  }
  const auto waiting = std::exchange(found->second.waiting, {});
  for (const std::weak_ptr<RelayCallerSession>& weak : waiting) {
    if (const auto session = weak.lock()) {
      session->ResumeDispatch();
    }
  }
}

void SessionRelay::Impl::RecordStatement(const std::string& route, const std::string& outcome,
                                         Duration elapsed) {
  this->metrics.Increment(Metric::kStatements, {route, outcome});
  this->metrics.Observe(Metric::kStatementSeconds, {route}, elapsed);
}

SessionRelay::SessionRelay(SessionRelayOptions options, SessionRelayHooks hooks,
                           PrimaryGrants& grants, const Clock& clock, Scheduler& scheduler,
                           RandomSource random, Logger& logger, Metrics& metrics)
    : impl(std::make_unique<Impl>(std::move(options), std::move(hooks), grants, clock, scheduler,
                                  std::move(random), logger, metrics)) {}

// Callbacks of statements in flight keep their server alive, and the server owns these callbacks.
// Removing the sessions from the servers breaks this cycle.
SessionRelay::~SessionRelay() {
  const auto servers = std::exchange(this->impl->servers, {});
  for (const auto& [id, server] : servers) {
    std::map<ConnectionId, std::unique_ptr<BackendSession>> sessions;
    sessions.swap(server->sessions);
    for (const auto& [connection, session] : sessions) {
      session->Close();
    }
  }
}

void SessionRelay::SetConfiguration(std::shared_ptr<const RelayConfiguration> configuration) {
  const auto previous = std::exchange(this->impl->configuration, std::move(configuration));
  this->impl->UpdateLimits();
  this->impl->ApplyOrganisations(previous->organisations.get());
}

void SessionRelay::PutServer(const BackendServerRecord& record) {
  RelayServer* server = this->impl->FindServer(record.id);
  const bool same = server != nullptr && record.endpoint == server->record.endpoint &&
                    record.database == server->record.database &&
                    record.started_at_ms == server->record.started_at_ms;
  if (same) {
    server->record = record;
    return;
  }
  this->RemoveServer(record.id);
  this->impl->AddServer(record);
  this->impl->logger.Info(
      "server_added",
      {{"server", record.id}, {"database", record.database}, {"data_centre", record.data_centre}});
}

void SessionRelay::RemoveServer(const std::string& id) {
  const auto found = this->impl->servers.find(id);
  if (found == this->impl->servers.end()) {
    return;
  }
  const std::shared_ptr<RelayServer> server = found->second;
  // Statements that wait for a connection are dispatched again. Statements and transactions that
  // use one end when it is closed.
  server->pool->SetLeaving(true);
  std::vector<ConnectionId> open;
  for (const auto& [connection, session] : server->sessions) {
    open.push_back(connection);
  }
  for (const ConnectionId connection : open) {
    this->impl->CloseConnection(id, connection);
  }
  this->impl->servers.erase(id);
  this->impl->logger.Info("server_removed",
                          {{"server", id}, {"database", server->record.database}});
}

void SessionRelay::SetShares(const std::map<std::string, int>& connections) {
  if (connections == this->impl->shares) {
    return;
  }
  this->impl->shares = connections;
  this->impl->UpdateLimits();
}

void SessionRelay::GrantsChanged() {
  std::vector<std::string> names;
  for (const auto& [name, database] : this->impl->databases) {
    if (!database.waiting.empty()) {
      names.push_back(name);
    }
  }
  for (const std::string& name : names) {
    this->impl->ResumeWaitingSessions(name);
  }
}

void SessionRelay::SetFleetSize(std::size_t processes) { this->impl->fleet_size = processes; }

void SessionRelay::SetConnectionHolders(const std::vector<ConnectionHolder>& holders) {
  this->impl->forwarder.SetHolders(holders);
}

void SessionRelay::SetCutOff(bool value) {
  if (std::exchange(this->impl->cut_off, value) == value || !value) {
    return;
  }
  for (auto& [name, database] : this->impl->databases) {
    for (const std::weak_ptr<RelayCallerSession>& weak : std::exchange(database.waiting, {})) {
      if (const auto session = weak.lock()) {
        session->ResumeDispatch();
      }
    }
  }
}

void SessionRelay::ObservePosition(const std::string& database, std::uint64_t generation,
                                   const PositionObservation& observation) {
  this->impl->Observe(database, generation, observation);
}

std::optional<PositionObservation> SessionRelay::NewestPosition(const std::string& database,
                                                                std::uint64_t generation) const {
  const auto found = this->impl->databases.find(database);
  if (found == this->impl->databases.end() || found->second.window.Generation() != generation) {
    return std::nullopt;
  }
  return found->second.window.Newest();
}

std::optional<LogPosition> SessionRelay::LastPosition(const std::string& database,
                                                      std::uint64_t generation) const {
  const auto found = this->impl->databases.find(database);
  const bool known =
      found != this->impl->databases.end() && found->second.window.Generation() <= generation;
  return known ? found->second.window.Last() : std::nullopt;
}

std::optional<LogPosition> SessionRelay::LastConfirmed(const std::string& database,
                                                       std::uint64_t generation) const {
  const auto found = this->impl->databases.find(database);
  const bool known =
      found != this->impl->databases.end() && found->second.window.Generation() <= generation;
  return known ? found->second.window.LastConfirmed() : std::nullopt;
}

OpenedSession SessionRelay::Open(const SessionRequest& request, CallerSessionHooks hooks) {
  OpenedSession opened;
  if (this->impl->configuration->routes.count(request.route) == 0) {
    opened.refusal = StatementError{StatementErrorCode::kUnknownDatabase, "no route has this name"};
    return opened;
  }
  SessionIdentity identity = IdentifyCaller(*this->impl->configuration, request.route, request.key);
  if (!identity.authenticated) {
    opened.refusal = UnauthenticatedError();
    return opened;
  }
  opened.session = std::make_shared<RelayCallerSession>(*this->impl, request, std::move(identity),
                                                        std::move(hooks));
  return opened;
}

void SessionRelay::Tick() {
  const TimePoint now = this->impl->clock.Now();
  this->impl->ForEachSession(
      [](const RelayCallerSession& session) { return session.Busy() || session.InTransaction(); },
      [now](RelayCallerSession& session) { session.Tick(now); });
  const Duration elapsed = now - std::exchange(this->impl->last_tick, now);
  ++this->impl->ticks;
  std::set<std::string>& in_use = this->impl->servers_in_use;
  for (auto id = in_use.begin(); id != in_use.end();) {
    RelayServer* server = this->impl->FindServer(*id);
    if (server == nullptr || server->AtRest()) {
      id = in_use.erase(id);
      continue;
    }
    const auto running_or_waiting =
        static_cast<double>(server->pool->Leased() + server->pool->Waiting());
    const auto samples = static_cast<double>(this->impl->ticks - server->added_tick);
    const double weight = std::max(kDemandSmoothing, 1.0 / samples);
    server->demand += (running_or_waiting - server->demand) * weight;
    if (elapsed > Duration::zero()) {
      const double seconds = std::chrono::duration<double>(elapsed).count();
      const double leases_per_second = std::exchange(server->leases, 0) / seconds;
      const double lease_rate_weight = std::min(seconds / kLeaseRateSeconds, 1.0);
      server->lease_rate += (leases_per_second - server->lease_rate) * lease_rate_weight;
    }
    server->pool->CloseUnused(this->impl->IdleTimeout(*server));
    server->pool->CloseSurplus(kSurplusWindow);
    ++id;
  }
  this->GrantsChanged();
}

std::map<std::string, DatabaseReport> SessionRelay::Report() const {
  std::map<std::string, DatabaseReport> reports;
  for (const auto& [name, cap] : this->impl->configuration->connection_caps) {
    const std::optional<PrimaryGrant> grant = this->impl->grants.Current(name);
    DatabaseReport report;
    report.revoked_generation = this->impl->grants.RevokedGeneration(name);
    if (!grant) {
      reports.emplace(name, report);
      continue;
    }
    report.generation = grant->generation;
    report.newest = this->NewestPosition(name, grant->generation);
    if (const RelayServer* server = this->impl->FindServer(grant->server)) {
      report.answered_at = server->answered_at;
      report.failing_since = server->failing_since;
    }
    reports.emplace(name, report);
  }
  return reports;
}

std::set<std::string> SessionRelay::UnusableServers() const {
  std::set<std::string> result;
  const TimePoint now = this->impl->clock.Now();
  for (const auto& [id, server] : this->impl->servers) {
    const bool silent = server->failing_since &&
                        now - *server->failing_since > PrimaryAuthority::kReportUnreachableAfter;
    if (silent || server->failure_rate > kMaxFailureRate) {
      result.insert(id);
    }
  }
  return result;
}

std::map<std::string, double> SessionRelay::Demand() const {
  std::map<std::string, double> result;
  for (const std::string& id : this->impl->servers_in_use) {
    const RelayServer* server = this->impl->FindServer(id);
    if (server != nullptr && server->demand >= kMinReportedDemand) {
      // Two decimals are precise enough and keep the message short.
      result[id] = std::round(server->demand * 100) / 100;
    }
  }
  return result;
}

std::set<std::string> SessionRelay::DatabasesInUse() const {
  std::set<std::string> result;
  for (const std::string& id : this->impl->servers_in_use) {
    if (const RelayServer* server = this->impl->FindServer(id)) {
      result.insert(server->record.database);
    }
  }
  for (const auto& [name, database] : this->impl->databases) {
    if (!database.waiting.empty()) {
      result.insert(name);
    }
  }
  return result;
}

std::shared_ptr<const RelayConfiguration> SessionRelay::Configuration() const {
  return this->impl->configuration;
}

std::size_t SessionRelay::OpenTransactions() const {
  return static_cast<std::size_t>(
      std::count_if(this->impl->sessions.begin(), this->impl->sessions.end(),
                    [](const RelayCallerSession* session) { return session->InTransaction(); }));
}

std::size_t SessionRelay::BusySessions() const {
  return static_cast<std::size_t>(
      std::count_if(this->impl->sessions.begin(), this->impl->sessions.end(),
                    [](const RelayCallerSession* session) { return !session->Idle(); }));
}

std::size_t SessionRelay::SessionsOnPrimary(const std::string& database) const {
  return static_cast<std::size_t>(std::count_if(
      this->impl->sessions.begin(), this->impl->sessions.end(),
      [&database](const RelayCallerSession* session) { return session->UsesPrimary(database); }));
}

void SessionRelay::Impl::ForEachSession(
    const std::function<bool(const RelayCallerSession&)>& chosen,
    const std::function<void(RelayCallerSession&)>& action) {
  std::vector<std::shared_ptr<RelayCallerSession>> matching;
  for (RelayCallerSession* session : this->sessions) {
    if (chosen(*session)) {
      if (auto shared = session->weak_from_this().lock()) {
        matching.push_back(std::move(shared));
      }
    }
  }
  for (const std::shared_ptr<RelayCallerSession>& session : matching) {
    action(*session);
  }
}

void SessionRelay::AbortTransactions(const std::string& reason) {
  this->impl->ForEachSession(
      [](const RelayCallerSession& session) { return session.InTransaction(); },
      [&reason](RelayCallerSession& session) { session.AbortTransaction(reason); });
}

void SessionRelay::StopAcceptingStatements(const std::string& reason) {
  this->impl->refusal_reason = reason;
  this->impl->ForEachSession(
      [](const RelayCallerSession& session) { return session.Waiting(); },
      [&reason](RelayCallerSession& session) { session.EndStatement(reason); });
}

void SessionRelay::EndStatements(const std::string& reason) {
  this->impl->ForEachSession(
      [](const RelayCallerSession& session) { return session.Busy(); },
      [&reason](RelayCallerSession& session) { session.EndStatement(reason); });
}

}  // namespace sycamoredrum
