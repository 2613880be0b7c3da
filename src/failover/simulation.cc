#include "simulation.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace sycamoredrum {
namespace {

constexpr char kDatabase[] = "orders";
constexpr Duration kPullInterval = std::chrono::milliseconds(10);
constexpr Duration kWriteInterval = std::chrono::milliseconds(10);
constexpr Duration kStep = std::chrono::milliseconds(1);
constexpr std::size_t kConnectionCap = 8;
// Unconfirmed writes that are tracked; beyond this number the oldest are dropped.
constexpr std::size_t kMaxPendingWrites = 300;

}  // namespace

/// Timers of one node. Those that expire while the node is frozen are queued until Unfreeze.
class Simulation::NodeScheduler : public Scheduler {
 public:
  NodeScheduler(Simulation& simulation, std::string node)
      : simulation(simulation), node(std::move(node)) {}

  void RunAfter(Duration delay, std::function<void()> callback) override {
    this->simulation.clock.RunAfter(delay, [this, callback = std::move(callback)] {
      this->simulation.RunTimer(this->node, callback);
    });
  }

 private:
  Simulation& simulation;
  std::string node;
};

std::string Simulation::ServerId(int server) { return absl::StrCat("server-", server); }
std::string Simulation::WatcherId(int watcher) { return absl::StrCat("watcher-", watcher); }

Simulation::Simulation(SimulationOptions simulation_options)
    : options(simulation_options), random(this->options.seed) {
  WatcherAssignment assignment;
  for (int i = 0; i < this->options.servers; ++i) {
    assignment.backend_servers.push_back(ServerId(i));
    SimulatedServer server;
    server.model =
        std::make_unique<BackendModel>(ServerId(i), kDatabase, kConnectionCap, this->clock);
    this->servers.push_back(std::move(server));
    this->schedulers[ServerId(i)] = std::make_unique<NodeScheduler>(*this, ServerId(i));
  }
  for (int i = 0; i < this->options.servers; ++i) {
    this->PullLog(i);
  }
  for (int i = 0; i < this->options.watchers; ++i) {
    const std::string id = WatcherId(i);
    this->schedulers[id] = std::make_unique<NodeScheduler>(*this, id);
    assignment.rank = this->options.same_rank ? 0 : i;
    this->watchers.push_back(std::make_unique<DatabaseWatcher>(
        kDatabase, id, assignment, this->HooksOf(i), this->options.timings, this->clock,
        *this->schedulers[id], [this] { return this->random(); }));
    // A random start offset keeps the watchers from probing at the same times.
    const Duration offset(this->random() % this->options.timings.probe_interval.count());
    this->clock.RunAfter(offset, [this, i] { this->watchers[i]->Start(); });
  }
  this->WriteOnce();
}

Simulation::~Simulation() = default;

void Simulation::Run(Duration time) { this->clock.Advance(time); }

bool Simulation::RunUntil(const std::function<bool()>& condition, Duration limit) {
  const TimePoint end = this->clock.Now() + limit;
  while (!condition()) {
    if (this->clock.Now() >= end) {
      return false;
    }
    this->clock.Advance(kStep);
  }
  return true;
}

void Simulation::Kill(int server) { this->servers[server].killed = true; }
void Simulation::Restart(int server) { this->servers[server].killed = false; }
void Simulation::Freeze(const std::string& node) { this->frozen.insert(node); }

void Simulation::Unfreeze(const std::string& node) {
  this->frozen.erase(node);
  for (std::deque<Action>* queue : {&this->queued_timers[node], &this->queued_messages[node]}) {
    for (Action& action : *queue) {
      this->clock.RunAfter(Duration::zero(), std::move(action));
    }
    queue->clear();
  }
}

void Simulation::Cut(const std::string& a, const std::string& b) {
  this->cuts.insert(std::minmax(a, b));
}

void Simulation::Isolate(const std::string& node) {
  for (const auto& [other, scheduler] : this->schedulers) {
    if (other != node) {
      this->Cut(node, other);
    }
  }
}

void Simulation::Heal() { this->cuts.clear(); }

void Simulation::Reconnect(const std::string& node) {
  for (auto it = this->cuts.begin(); it != this->cuts.end();) {
    const bool concerns = it->first == node || it->second == node;
    it = concerns ? this->cuts.erase(it) : std::next(it);
  }
}

void Simulation::HealEverything() {
  this->Heal();
  this->SetLoss(0);
  this->leaving.clear();
  for (int i = 0; i < this->options.servers; ++i) {
    this->Restart(i);
  }
  const std::set<std::string> still_frozen = this->frozen;
  for (const std::string& node : still_frozen) {
    this->Unfreeze(node);
  }
}

void Simulation::SetLeaving(int server, bool is_leaving) {
  if (is_leaving) {
    this->leaving.insert(ServerId(server));
  } else {
    this->leaving.erase(ServerId(server));
  }
}

bool Simulation::IsCut(const std::string& a, const std::string& b) const {
  return this->cuts.count(std::minmax(a, b)) != 0;
}

Duration Simulation::Delay(const std::string& a, const std::string& b) {
  const Duration base =
      DataCentre(a) == DataCentre(b) ? this->options.local_delay : this->options.link_delay;
  if (this->options.jitter <= Duration::zero()) {
    return base;
  }
  return base + Duration(this->random() % this->options.jitter.count());
}

void Simulation::Send(const std::string& from, const std::string& to, Action action) {
  std::uniform_real_distribution<double> share(0, 1);
  if (this->IsCut(from, to) || share(this->random) < this->options.loss) {
    return;
  }
  this->clock.RunAfter(this->Delay(from, to),
                       [this, to, action = std::move(action)] { this->Deliver(to, action); });
}

void Simulation::Deliver(const std::string& to, Action action) {
  if (this->frozen.count(to) != 0) {
    this->queued_messages[to].push_back(std::move(action));
    return;
  }
  action();
}

void Simulation::RunTimer(const std::string& node, Action action) {
  if (this->frozen.count(node) != 0) {
    this->queued_timers[node].push_back(std::move(action));
    return;
  }
  action();
}

void Simulation::Call(const std::string& from, const std::string& server,
                      std::function<BackendServerStatus(BackendModel&)> operation,
                      PromotionHooks::StatusCallback callback, bool lose_answer) {
  this->Send(from, server, [=] {
    SimulatedServer& target = this->servers[this->Index(server)];
    std::optional<BackendServerStatus> answer;
    if (!target.killed) {
      answer = operation(*target.model);
      this->CheckServer(this->Index(server));
    }
    if (!lose_answer) {
      this->Send(server, from, [callback, answer] { callback(answer); });
    }
  });
}

PromotionHooks Simulation::ControlHooks(const std::string& watcher) {
  using Callback = PromotionHooks::StatusCallback;
  PromotionHooks hooks;
  hooks.fence = [=](const std::string& server, std::uint64_t term, const std::string& proposer,
                    Callback callback) {
    this->Call(
        watcher, server, [=](BackendModel& model) { return model.Fence(term, proposer); },
        callback);
  };
  hooks.promote = [=](const std::string& server, std::uint64_t term, const std::string& proposer,
                      Callback callback) {
    this->CheckPromote(server, absl::StrCat(term, " by ", proposer));
    const auto send = [=](bool lose_answer) {
      this->Call(
          watcher, server, [=](BackendModel& model) { return model.Promote(term, proposer); },
          callback, lose_answer);
    };
    if (this->intercept_promote) {
      const Action action = std::move(this->intercept_promote);
      this->intercept_promote = nullptr;
      action();
      // `action` may have frozen the watcher; the call is then sent on Unfreeze.
      this->schedulers[watcher]->RunAfter(Duration::zero(), [send] { send(false); });
      return;
    }
    const bool lose = this->promote_answers_to_lose > 0;
    this->promote_answers_to_lose -= lose ? 1 : 0;
    send(lose);
  };
  hooks.follow = [=](const std::string& server, std::uint64_t term, const std::string& primary,
                     Callback callback) {
    this->Call(
        watcher, server, [=](BackendModel& model) { return model.Follow(term, primary); },
        callback);
  };
  hooks.status = [=](const std::string& server, Callback callback) {
    this->Call(
        watcher, server, [](BackendModel& model) { return model.Status(); }, callback);
  };
  return hooks;
}

WatcherHooks Simulation::HooksOf(int watcher) {
  const std::string id = WatcherId(watcher);
  WatcherHooks hooks;
  hooks.control = this->ControlHooks(id);
  hooks.probe = [=](const std::string& server, Duration, PromotionHooks::StatusCallback callback) {
    this->Call(
        id, server, [](BackendModel& model) { return model.Status(); }, callback);
  };
  hooks.collect_opinions = [=](Duration timeout, WatcherHooks::OpinionsCallback callback) {
    this->CollectOpinions(watcher, timeout, callback);
  };
  hooks.is_leaving = [=](const std::string& server) { return this->leaving.count(server) != 0; };
  hooks.on_round = [=](const std::vector<BackendServerView>&, TimePoint) {
    ++this->rounds_reported;
  };
  hooks.on_gap = [=](const FailoverGap& gap) { this->gaps.push_back(gap); };
  return hooks;
}

void Simulation::CollectOpinions(int requester, Duration timeout,
                                 WatcherHooks::OpinionsCallback callback) {
  struct Collection {
    std::vector<WatcherOpinion> opinions;
    std::size_t expected = 0;
    bool answered = false;
  };
  auto collection = std::make_shared<Collection>();
  collection->expected = this->watchers.size() - 1;
  const auto finish = [collection, callback] {
    if (!collection->answered) {
      collection->answered = true;
      callback(collection->opinions);
    }
  };
  const std::string from = WatcherId(requester);
  for (int other = 0; other < static_cast<int>(this->watchers.size()); ++other) {
    if (other == requester) {
      continue;
    }
    const std::string to = WatcherId(other);
    this->Send(from, to, [=] {
      const WatcherOpinion opinion = this->watchers[other]->Opinion();
      this->Send(to, from, [=] {
        collection->opinions.push_back(opinion);
        if (collection->opinions.size() == collection->expected) {
          finish();
        }
      });
    });
  }
  this->schedulers[from]->RunAfter(timeout, finish);
}

void Simulation::PullLog(int replica) {
  const std::string id = ServerId(replica);
  this->schedulers[id]->RunAfter(kPullInterval, [this, replica] { this->PullLog(replica); });
  SimulatedServer& server = this->servers[replica];
  const BackendServerStatus status = server.model->Status();
  if (server.killed || status.role != Role::kReplica || status.follows.empty()) {
    return;
  }
  const std::string primary = status.follows;
  const LogRequest request = server.model->NextLogRequest();
  this->Send(id, primary, [=] {
    const SimulatedServer& source = this->servers[this->Index(primary)];
    if (source.killed) {
      return;
    }
    const LogPage page = source.model->ReadLog(request);
    this->Send(primary, id, [=] {
      if (!this->servers[replica].killed) {
        this->servers[replica].model->ApplyLog(primary, request, page);
        this->CheckServer(replica);
      }
    });
  });
}

// Writes on every running server that acts as primary, including primaries that have been replaced
// without having been fenced.
void Simulation::WriteOnce() {
  this->clock.RunAfter(kWriteInterval, [this] { this->WriteOnce(); });
  if (this->writes_stopped) {
    return;
  }
  for (int i = 0; i < this->options.servers; ++i) {
    SimulatedServer& server = this->servers[i];
    const BackendServerStatus status = server.model->Status();
    if (server.killed || this->frozen.count(ServerId(i)) != 0 || status.role != Role::kPrimary) {
      continue;
    }
    if (!server.model->IsOpen(server.connection)) {
      server.connection = server.model->Open().value_or(0);
    }
    BackendRequest request;
    request.write = true;
    request.term = status.term;
    request.statements = {absl::StrCat("PUT last ", this->next_write++)};
    const BackendReply reply = server.model->Execute(server.connection, request);
    if (reply.error != BackendError::kNone) {
      continue;
    }
    PendingWrite write;
    write.position = reply.position;
    this->pending_writes.push_back(write);
    this->CheckServer(i);
  }
  while (this->pending_writes.size() > kMaxPendingWrites) {
    this->pending_writes.erase(this->pending_writes.begin());
  }
}

void Simulation::ForcePromotion(int watcher, std::uint64_t term,
                                const std::string& hand_over_from) {
  const std::string id = WatcherId(watcher);
  PromotionRequest request;
  request.database = kDatabase;
  for (int i = 0; i < this->options.servers; ++i) {
    request.backend_servers.push_back(ServerId(i));
  }
  request.proposer = absl::StrCat(id, "/forced-", this->forced.size());
  request.term = term;
  request.hand_over_from = hand_over_from;
  this->forced.push_back(std::make_unique<Promotion>(
      request, this->ControlHooks(id), [](const PromotionResult&) {},
      this->options.timings.promotion, this->clock, *this->schedulers[id]));
  this->forced.back()->Start();
}

}  // namespace sycamoredrum
