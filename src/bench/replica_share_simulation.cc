#include "replica_share_simulation.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>

namespace sycamoredrum {
namespace {

using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

constexpr char kDatabase[] = "orders";
constexpr int kPrimary = 0;
constexpr Microseconds kLocalDelay{200};
constexpr Milliseconds kReplicationInterval{1};
constexpr Milliseconds kProbeInterval{100};
constexpr Milliseconds kWaitPollInterval{2};
constexpr Milliseconds kMeanThinkTime{60};
constexpr Milliseconds kDeadline{2000};
constexpr std::size_t kConnections = 1'000'000;  // Never reached: the cap is not measured here.
constexpr int kKeys = 1000;

std::string ServerId(int server) { return std::string(1, static_cast<char>('a' + server)); }
int ServerIndex(const std::string& id) { return id[0] - 'a'; }

Reason ReasonOf(BackendError error) {
  switch (error) {
    case BackendError::kNone:
      return Reason::kNone;
    case BackendError::kFenced:
      return Reason::kFenced;
    case BackendError::kNotPrimary:
      return Reason::kNoPrimary;
    case BackendError::kBehind:
      return Reason::kBehind;
    case BackendError::kNotInHistory:
      return Reason::kSessionPositionLost;
    default:
      return Reason::kStatement;
  }
}

ExecuteAnswer ToAnswer(const std::string& server, const BackendReply& reply) {
  ExecuteAnswer answer;
  const bool ran = reply.error == BackendError::kNone;
  answer.outcome = ran ? Outcome::kResult : Outcome::kNotRun;
  answer.reason = ReasonOf(reply.error);
  answer.results = reply.results;
  answer.position = reply.position;
  answer.duplicate = reply.duplicate;
  answer.backend_server = server;
  return answer;
}

// Returns the view as its receiver stores it. A view carries ages instead of times; the receiver
// subtracts them from the time at which it sent its request (docs/design.md, section 5.4).
DatabaseViewPtr AsReceived(DatabaseView view, TimePoint requested_at, TimePoint received_at) {
  const auto shift = [&](TimePoint time) {
    return requested_at - std::max(received_at - time, Duration::zero());
  };
  for (BackendServerView& server : view.backend_servers) {
    server.observed_at = shift(server.observed_at);
  }
  if (view.proof) {
    view.proof->proven_at = shift(view.proof->proven_at);
  }
  return std::make_shared<const DatabaseView>(std::move(view));
}

}  // namespace

ReplicaShareSimulation::ReplicaShareSimulation(ShareScenario scenario)
    : scenario(scenario), random(scenario.seed) {
  this->BuildGroup();
  this->BuildProxies();
}

void ReplicaShareSimulation::BuildGroup() {
  DatabaseConfig database;
  database.name = kDatabase;
  database.acknowledge_copies = this->scenario.acknowledge_copies;
  for (int i = 0; i < kServers; ++i) {
    this->servers.push_back(
        std::make_unique<BackendModel>(ServerId(i), kDatabase, kConnections, this->clock));
    this->servers[i]->Fence(1, "bench");
    BackendServerConfig server;
    server.id = ServerId(i);
    server.data_centre = ServerId(i);
    database.backend_servers.push_back(std::move(server));
  }
  this->servers[kPrimary]->Promote(1, "bench");
  for (int i = 1; i < kServers; ++i) {
    this->servers[i]->Follow(1, ServerId(kPrimary));
    this->Every(kReplicationInterval, [this, i] { this->Replicate(i); });
  }
  this->config = std::make_shared<const DatabaseConfig>(std::move(database));
}

void ReplicaShareSimulation::BuildProxies() {
  for (int i = 0; i < kServers; ++i) {
    ProofRoundHooks hooks;
    hooks.status = [this, i](const std::string& server, Duration,
                             ProofRoundHooks::StatusCallback done) {
      this->Status(i, server, std::move(done));
    };
    hooks.proven = [](const DatabaseView&) {};
    this->watchers.push_back(std::make_unique<ProofRounds>(
        kDatabase, std::vector<std::string>{"a", "b", "c"}, hooks, this->clock, this->clock));
    this->Every(kProbeInterval, [this, i] {
      const TimePoint now = this->clock.Now();
      this->watchers[i]->Prove(now, now + kProbeInterval, [](const auto&) {});
    });
    this->executors.push_back(std::make_unique<RequestExecutor>(
        ServerId(i), this->Hooks(i), this->clock, this->clock, [this] { return this->random(); }));
  }
}

RequestExecutorHooks ReplicaShareSimulation::Hooks(int proxy) {
  RequestExecutorHooks hooks;
  hooks.view = [this, proxy](const std::string&) { return this->views[proxy]; };
  hooks.prove = [this, proxy](const std::string&, TimePoint not_before, TimePoint deadline,
                              ProveCallback done) {
    this->Prove(proxy, not_before, deadline, done);
  };
  hooks.send = [this, proxy](const ExecuteCommand& command, TimePoint deadline,
                             ExecuteCallback done) { this->Send(proxy, command, deadline, done); };
  hooks.database = [this](const std::string&) { return this->config; };
  hooks.max_read_age = [this](const std::string&) {
    return std::make_optional(this->scenario.max_read_age);
  };
  hooks.new_request_id = [this] { return absl::StrCat("request-", ++this->next_request_id); };
  hooks.take_retry = [](const std::string&) { return true; };
  return hooks;
}

ShareResult ReplicaShareSimulation::Run() {
  this->clock.Advance(kProbeInterval * 2);
  this->count_from = this->clock.Now() + this->scenario.warm_up;
  this->count_until = this->count_from + this->scenario.measured;
  for (int i = 0; i < kSessions; ++i) {
    this->NextRequest(i);
  }
  this->clock.Advance(this->scenario.warm_up + this->scenario.measured + 2 * kDeadline);
  return std::move(this->result);
}

// Simulated time and network.

void ReplicaShareSimulation::After(Duration delay, std::function<void()> action) {
  this->clock.RunAfter(delay, std::move(action));
}

void ReplicaShareSimulation::Every(Duration period, std::function<void()> action) {
  this->After(period, [this, period, action] {
    action();
    this->Every(period, action);
  });
}

Duration ReplicaShareSimulation::Delay(int from, int to) const {
  return from == to ? Duration(kLocalDelay) : this->scenario.link_delay;
}

double ReplicaShareSimulation::Uniform() {
  return std::uniform_real_distribution<double>(0, 1)(this->random);
}

Duration ReplicaShareSimulation::ThinkTime() {
  std::exponential_distribution<double> milliseconds(1.0 / kMeanThinkTime.count());
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(milliseconds(this->random)));
}

// Backend servers.

std::uint64_t ReplicaShareSimulation::VisibleIndex(TimePoint time, int replica) const {
  const TimePoint sent_by = time - this->scenario.link_delay - this->scenario.lags[replica - 1];
  const auto later =
      std::upper_bound(this->primary_indexes.begin(), this->primary_indexes.end(), sent_by,
                       [](TimePoint limit, const auto& entry) { return limit < entry.first; });
  return later == this->primary_indexes.begin() ? 0 : std::prev(later)->second;
}

// A replica applies an entry when the link delay and its lag have passed. Meanwhile it applies
// empty pages, which keep its contact with the primary recent.
void ReplicaShareSimulation::Replicate(int replica) {
  const std::uint64_t last = this->servers[kPrimary]->Status().last_index;
  const bool advanced = this->primary_indexes.empty() || this->primary_indexes.back().second < last;
  if (advanced) {
    this->primary_indexes.emplace_back(this->clock.Now(), last);
  }
  const LogRequest request = this->servers[replica]->NextLogRequest();
  const std::uint64_t visible = this->VisibleIndex(this->clock.Now(), replica);
  LogPage page;
  page.served = true;
  page.common_index = request.last_index;
  page.last_index = last;
  if (visible > request.last_index) {
    page = this->servers[kPrimary]->ReadLog(request);
    const std::size_t count =
        std::min<std::size_t>(page.entries.size(), visible - request.last_index);
    page.entries.resize(count);
  }
  this->servers[replica]->ApplyLog(ServerId(kPrimary), request, page);
}

void ReplicaShareSimulation::Status(int watcher, const std::string& server,
                                    ProofRoundHooks::StatusCallback done) {
  const int target = ServerIndex(server);
  const Duration delay = this->Delay(watcher, target);
  this->After(delay, [this, target, delay, done] {
    const BackendServerStatus status = this->servers[target]->Status();
    this->After(delay, [status, done] { done(status); });
  });
}

void ReplicaShareSimulation::Prove(int proxy, TimePoint not_before, TimePoint deadline,
                                   const ProveCallback& done) {
  const TimePoint requested_at = this->clock.Now();
  const Duration age = std::max(requested_at - not_before, Duration::zero());
  this->After(kLocalDelay, [this, proxy, requested_at, age, deadline, done] {
    const TimePoint received_at = this->clock.Now();
    const auto answer = [this, proxy, requested_at, received_at,
                         done](const std::optional<DatabaseView>& view) {
      if (!view) {
        return;
      }
      const DatabaseViewPtr received = AsReceived(*view, requested_at, received_at);
      this->After(kLocalDelay, [this, proxy, received, done] {
        this->views[proxy] = received;
        done(received);
      });
    };
    this->watchers[proxy]->Prove(received_at - age, deadline, answer);
  });
}

void ReplicaShareSimulation::Send(int proxy, const ExecuteCommand& command, TimePoint deadline,
                                  const ExecuteCallback& done) {
  const int server = ServerIndex(command.backend_server);
  const Duration delay = this->Delay(proxy, server) + kLocalDelay;
  this->After(delay, [this, proxy, command, deadline, done] {
    this->Execute(proxy, command, this->clock.Now() + command.request.wait, deadline, done);
  });
}

void ReplicaShareSimulation::Execute(int proxy, const ExecuteCommand& command, TimePoint wait_until,
                                     TimePoint deadline, const ExecuteCallback& done) {
  const int server = ServerIndex(command.backend_server);
  BackendModel& model = *this->servers[server];
  const auto connection = model.Open();
  const BackendReply reply = model.Execute(*connection, command.request);
  model.Close(*connection);
  if (reply.error == BackendError::kBehind && this->clock.Now() < wait_until) {
    this->After(kWaitPollInterval, [this, proxy, command, wait_until, deadline, done] {
      this->Execute(proxy, command, wait_until, deadline, done);
    });
    return;
  }
  const ExecuteAnswer answer = ToAnswer(command.backend_server, reply);
  if (command.request.write && answer.outcome == Outcome::kResult) {
    this->Confirm(proxy, deadline, answer, done);
  } else {
    this->Reply(proxy, server, done, answer);
  }
}

void ReplicaShareSimulation::Reply(int proxy, int server, const ExecuteCallback& done,
                                   const ExecuteAnswer& answer) {
  this->After(this->Delay(proxy, server) + kLocalDelay, [done, answer] { done(answer); });
}

// The acknowledgement rule of docs/design.md, section 5.2. The term never changes in this
// simulation, so with one copy the rule costs only the round trip to a replica.
void ReplicaShareSimulation::Confirm(int proxy, TimePoint deadline, const ExecuteAnswer& answer,
                                     const ExecuteCallback& done) {
  if (this->scenario.acknowledge_copies == 1) {
    this->After(2 * this->scenario.link_delay,
                [this, proxy, answer, done] { this->Reply(proxy, kPrimary, done, answer); });
    return;
  }
  int copies = 0;
  for (const auto& server : this->servers) {
    copies += server->Status().Contains(answer.position) ? 1 : 0;
  }
  if (copies >= this->scenario.acknowledge_copies) {
    this->After(this->scenario.link_delay,
                [this, proxy, answer, done] { this->Reply(proxy, kPrimary, done, answer); });
  } else if (this->clock.Now() < deadline) {
    this->After(kWaitPollInterval, [this, proxy, deadline, answer, done] {
      this->Confirm(proxy, deadline, answer, done);
    });
  } else {
    this->Reply(proxy, kPrimary, done, ExecuteAnswer::Unknown(Reason::kUnconfirmed, "no copy"));
  }
}

// Sessions.

void ReplicaShareSimulation::NextRequest(int session) {
  if (this->clock.Now() >= this->count_until) {
    return;
  }
  const Duration network = 2 * this->scenario.caller_delay;
  this->After(network + this->ThinkTime(), [this, session] { this->SendRequest(session); });
}

void ReplicaShareSimulation::SendRequest(int session) {
  const int proxy = static_cast<int>(this->random() % kServers);
  if (this->Uniform() < this->scenario.write_share) {
    this->SendWrite(session, proxy);
  } else {
    this->SendRead(session, proxy);
  }
}

CallerRequest ReplicaShareSimulation::MakeRequest(const Session& session) const {
  CallerRequest request;
  request.database = kDatabase;
  request.session = session.token;
  request.arrival = this->clock.Now();
  request.deadline = request.arrival + kDeadline;
  return request;
}

void ReplicaShareSimulation::SendWrite(int session, int proxy) {
  CallerRequest request = this->MakeRequest(this->sessions[session]);
  request.statements = {absl::StrCat("PUT k", this->random() % kKeys, " v")};
  this->executors[proxy]->Execute(request, [this, session](const RequestAnswer& answer) {
    if (answer.answer.outcome == Outcome::kResult) {
      ++this->result.writes;
      const LogPosition before =
          this->acknowledged.empty() ? LogPosition{} : this->acknowledged.back().position;
      this->acknowledged.push_back(
          Acknowledged{this->clock.Now(), std::max(before, answer.answer.position)});
    } else {
      ++this->result.failed_writes;
    }
    this->Receive(session, answer);
  });
}

void ReplicaShareSimulation::SendRead(int session, int proxy) {
  CallerRequest request = this->MakeRequest(this->sessions[session]);
  request.statements = {absl::StrCat("GET k", this->random() % kKeys)};
  request.read_only = true;
  const auto read = std::make_shared<Read>();
  read->arrival = request.arrival;
  read->counted = request.arrival >= this->count_from && request.arrival < this->count_until;
  this->EvaluateIdeal(request, read);
  this->executors[proxy]->Execute(request, [this, session, read](const RequestAnswer& answer) {
    read->answer = answer;
    if (read->counted && answer.answer.outcome == Outcome::kResult) {
      this->result.latencies.push_back(this->clock.Now() - read->arrival);
    }
    this->Count(read);
    this->Receive(session, answer);
  });
}

void ReplicaShareSimulation::Receive(int session, const RequestAnswer& answer) {
  this->sessions[session].token = answer.session;
  this->NextRequest(session);
}

// Counting.

LogPosition ReplicaShareSimulation::AcknowledgedBefore(TimePoint time) const {
  const auto later = std::lower_bound(
      this->acknowledged.begin(), this->acknowledged.end(), time,
      [](const Acknowledged& write, TimePoint limit) { return write.time < limit; });
  return later == this->acknowledged.begin() ? LogPosition{} : std::prev(later)->position;
}

// The ideal is a router that knows the position of every replica. It requires the session's
// position and the last write acknowledged before `not_before`, and lets a replica wait for them as
// long as the real router does.
void ReplicaShareSimulation::EvaluateIdeal(const CallerRequest& request, const ReadPtr& read) {
  const SessionToken token = request.session.value_or(SessionToken::AllUncertain());
  const SessionPosition session = token.For(kDatabase);
  const TimePoint not_before =
      session.uncertain ? request.arrival : request.arrival - this->scenario.max_read_age;
  const LogPosition require = std::max(session.position, this->AcknowledgedBefore(not_before));
  const auto any_replica_holds = [this, require] {
    return this->servers[1]->Status().Contains(require) ||
           this->servers[2]->Status().Contains(require);
  };
  const Duration delay = this->scenario.link_delay + kLocalDelay;
  if (read->counted) {
    this->After(delay, [this, any_replica_holds] {
      this->result.ideal_without_wait += any_replica_holds() ? 1 : 0;
    });
  }
  this->After(delay + ReadRouter::kMaxWait, [this, read, any_replica_holds] {
    read->ideal = any_replica_holds();
    read->ideal_known = true;
    this->Count(read);
  });
}

void ReplicaShareSimulation::Count(const ReadPtr& read) {
  if (!read->counted || !read->answer || !read->ideal_known) {
    return;
  }
  const RequestAnswer& answer = *read->answer;
  this->result.ideal += read->ideal ? 1 : 0;
  if (answer.answer.outcome != Outcome::kResult) {
    ++this->result.failed_reads;
    this->result.misses["no result"] += read->ideal ? 1 : 0;
    return;
  }
  ++this->result.reads;
  const bool by_replica = answer.answer.backend_server != ServerId(kPrimary);
  this->result.from_replica += by_replica ? 1 : 0;
  if (!by_replica && read->ideal) {
    this->CountMiss(answer);
  }
}

void ReplicaShareSimulation::CountMiss(const RequestAnswer& answer) {
  const bool chosen = answer.primary_reason != PrimaryReason::kNone;
  const std::string reason =
      chosen ? std::string(ToString(answer.primary_reason)) : "replica answered behind";
  ++this->result.misses[reason];
}

}  // namespace sycamoredrum
