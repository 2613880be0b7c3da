#include "watcher_service.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "sycamoredrum/ticket.h"

namespace sycamoredrum {
namespace {

std::string Milliseconds(Duration duration) {
  return absl::StrCat(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace

struct WatcherService::OpinionCollection {
  std::mutex mutex;  // Guards the members below.
  std::size_t outstanding = 0;
  std::vector<WatcherOpinion> opinions;
};

WatcherService::WatcherService(Dependencies dependencies) : dependencies(std::move(dependencies)) {}

WatcherService::~WatcherService() { this->Stop(); }

void WatcherService::Refresh() {
  const auto configuration = this->dependencies.configuration.Get();
  const auto fleet = this->dependencies.fleet.Get();
  std::map<std::string, WatchedPtr> previous;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->stopped) {
      return;
    }
    previous = this->watched;
  }
  std::map<std::string, WatchedPtr> next;
  for (const auto& [name, config] : configuration->Databases()) {
    const std::vector<std::string> watchers = WatchersOf(config, fleet->candidates);
    const auto self = std::find(watchers.begin(), watchers.end(), this->dependencies.member);
    if (self == watchers.end()) {
      continue;
    }
    WatcherAssignment assignment;
    assignment.rank = static_cast<int>(self - watchers.begin());
    for (const BackendServerConfig& server : config.backend_servers) {
      assignment.backend_servers.push_back(server.id);
    }
    auto shared = std::shared_ptr<const DatabaseConfig>(configuration, &config);
    const auto found = previous.find(name);
    if (found == previous.end()) {
      next[name] = this->StartWatcher(std::move(shared), std::move(assignment));
      continue;
    }
    next[name] = found->second;
    found->second->context->Run([&] {
      found->second->config = std::move(shared);
      found->second->watcher->Reconfigure(std::move(assignment));
    });
    previous.erase(found);
  }
  for (const auto& entry : previous) {
    this->StopWatcher(entry.first, entry.second);
  }
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->watched = std::move(next);
}

WatcherService::WatchedPtr WatcherService::StartWatcher(
    std::shared_ptr<const DatabaseConfig> config, WatcherAssignment assignment) {
  auto entry = std::make_shared<Watched>();
  entry->context = SerialContext::Create(this->dependencies.loop);
  WatcherTimings timings;
  timings.probe_interval = this->dependencies.probe_interval;
  const std::string name = config->name;
  entry->config = std::move(config);
  entry->watcher = std::make_unique<DatabaseWatcher>(
      name, this->dependencies.member, std::move(assignment), this->MakeHooks(name, entry->context),
      timings, this->dependencies.loop, *entry->context, this->dependencies.random);
  entry->context->Run([&] { entry->watcher->Start(); });
  this->dependencies.logger.Info("watch_started", {{"database", name}});
  return entry;
}

void WatcherService::StopWatcher(const std::string& database, const WatchedPtr& watched) {
  watched->context->Run([&] {
    watched->watcher->Stop();
    this->ExportWatcherCounters(database, *watched);
  });
  watched->context->Close();
}

std::map<std::string, WatcherService::WatchedPtr> WatcherService::RemoveAllWatchers() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->stopped = true;
  return std::exchange(this->watched, {});
}

void WatcherService::Stop() {
  for (const auto& [database, entry] : this->RemoveAllWatchers()) {
    this->StopWatcher(database, entry);
  }
}

void WatcherService::ExportCounters() {
  std::map<std::string, WatchedPtr> current;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    current = this->watched;
  }
  for (const auto& entry : current) {
    entry.second->context->Run([&] { this->ExportWatcherCounters(entry.first, *entry.second); });
  }
}

// Called under the mutex of the watcher's context. Adds the differences, because the counters of a
// later watcher of the same database start from zero.
void WatcherService::ExportWatcherCounters(const std::string& database, Watched& watched) {
  const WatcherCounters now = watched.watcher->Counters();
  const WatcherCounters before = std::exchange(watched.exported, now);
  const std::pair<const char*, std::uint64_t> events[] = {
      {"round", now.rounds - before.rounds},
      {"suspicion", now.suspicions - before.suspicions},
      {"held_back", now.held_back - before.held_back},
      {"attempt", now.attempts - before.attempts},
      {"refused", now.refused - before.refused},
      {"no_majority", now.no_majority - before.no_majority},
      {"timeout", now.timeouts - before.timeouts},
      {"follow", now.follows - before.follows},
      {"pause", now.pauses - before.pauses},
  };
  for (const auto& [event, count] : events) {
    this->dependencies.metrics.Increment(Metric::kWatcherEvents, {database, event},
                                         static_cast<double>(count));
  }
}

std::string WatcherService::Opinion(const std::string& database) {
  WatchedPtr entry;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->watched.find(database);
    if (found == this->watched.end()) {
      return "{}";
    }
    entry = found->second;
  }
  return entry->context->Run([&] { return ToJson(entry->watcher->Opinion()); });
}

void WatcherService::CallControl(const std::string& database, const std::string& server_id,
                                 const std::shared_ptr<SerialContext>& context,
                                 PromotionHooks::StatusCallback callback, const ControlCall& call) {
  auto wrapped = context->Wrap(std::move(callback));
  const auto config = FindDatabase(this->dependencies.configuration, database);
  const BackendServerConfig* server =
      config == nullptr ? nullptr : config->FindBackendServer(server_id);
  if (server == nullptr) {
    this->dependencies.loop.Post([wrapped] { wrapped(std::nullopt); });
    return;
  }
  call(server->control, wrapped);
}

PromotionHooks WatcherService::MakeControlHooks(const std::string& database,
                                                const std::shared_ptr<SerialContext>& context) {
  using Callback = PromotionHooks::StatusCallback;
  PromotionHooks hooks;
  hooks.fence = [this, database, context](const std::string& server, std::uint64_t term,
                                          const std::string& proposer, Callback callback) {
    this->CallControl(database, server, context, std::move(callback),
                      [&](const Endpoint& control, const Callback& done) {
                        this->dependencies.control.Fence(control, term, proposer, done);
                      });
  };
  hooks.promote = [this, database, context](const std::string& server, std::uint64_t term,
                                            const std::string& proposer, Callback callback) {
    this->CallControl(database, server, context, std::move(callback),
                      [&](const Endpoint& control, const Callback& done) {
                        this->dependencies.control.Promote(control, term, proposer, done);
                      });
  };
  hooks.follow = [this, database, context](const std::string& server, std::uint64_t term,
                                           const std::string& primary, Callback callback) {
    this->CallControl(database, server, context, std::move(callback),
                      [&](const Endpoint& control, const Callback& done) {
                        this->dependencies.control.Follow(control, term, primary, done);
                      });
  };
  hooks.status = [this, database, context](const std::string& server, Callback callback) {
    this->CallControl(database, server, context, std::move(callback),
                      [&](const Endpoint& control, const Callback& done) {
                        this->dependencies.control.Status(control, BackendControl::kCallTimeout,
                                                          done);
                      });
  };
  return hooks;
}

WatcherHooks WatcherService::MakeHooks(const std::string& database,
                                       const std::shared_ptr<SerialContext>& context) {
  WatcherHooks hooks;
  hooks.control = this->MakeControlHooks(database, context);
  hooks.probe = [this, database, context](const std::string& server, Duration timeout,
                                          PromotionHooks::StatusCallback callback) {
    PromotionHooks::StatusCallback counted =
        [this, callback = std::move(callback)](const std::optional<BackendServerStatus>& status) {
          this->dependencies.metrics.Increment(Metric::kProbes, {status ? "answered" : "failed"});
          callback(status);
        };
    this->CallControl(database, server, context, std::move(counted),
                      [&](const Endpoint& control, const PromotionHooks::StatusCallback& done) {
                        this->dependencies.control.Status(control, timeout, done);
                      });
  };
  hooks.collect_opinions = [this, database, context](Duration timeout,
                                                     WatcherHooks::OpinionsCallback callback) {
    this->CollectOpinions(database, timeout, context->Wrap(std::move(callback)));
  };
  hooks.is_leaving = [this, database](const std::string& id) {
    const auto config = FindDatabase(this->dependencies.configuration, database);
    const BackendServerConfig* server = config == nullptr ? nullptr : config->FindBackendServer(id);
    return server != nullptr && IsLeaving(*server, this->dependencies.leaving);
  };
  hooks.on_round = [this, database](const std::vector<BackendServerView>& servers,
                                    TimePoint round_started) {
    this->HandleRound(database, servers, round_started);
  };
  hooks.on_gap = [this, database](const FailoverGap& gap) { this->HandleGap(database, gap); };
  return hooks;
}

void WatcherService::CollectOpinions(const std::string& database, Duration timeout,
                                     WatcherHooks::OpinionsCallback callback) {
  const auto config = FindDatabase(this->dependencies.configuration, database);
  const auto fleet = this->dependencies.fleet.Get();
  std::vector<std::string> others;
  if (config != nullptr) {
    others = WatchersOf(*config, fleet->candidates);
    others.erase(std::remove(others.begin(), others.end(), this->dependencies.member),
                 others.end());
  }
  if (others.empty()) {
    this->dependencies.loop.Post([callback = std::move(callback)] { callback({}); });
    return;
  }
  auto collection = std::make_shared<OpinionCollection>();
  {
    const std::lock_guard<std::mutex> lock(collection->mutex);
    collection->outstanding = others.size();
  }
  const std::string body = nlohmann::json({{"database", database}}).dump();
  for (const std::string& other : others) {
    this->dependencies.call(other, "opinion", body, timeout,
                            [collection, callback](const PeerAnswer& reply) {
                              std::vector<WatcherOpinion> all;
                              {
                                const std::lock_guard<std::mutex> lock(collection->mutex);
                                if (reply.error == PeerError::kNone) {
                                  if (auto opinion = ParseWatcherOpinion(reply.body)) {
                                    collection->opinions.push_back(std::move(*opinion));
                                  }
                                }
                                if (--collection->outstanding > 0) {
                                  return;
                                }
                                all = collection->opinions;
                              }
                              callback(all);
                            });
  }
}

void WatcherService::HandleRound(const std::string& database,
                                 const std::vector<BackendServerView>& servers,
                                 TimePoint round_started) {
  const DatabaseViewPtr known = this->dependencies.view_table.Get(database);
  const std::optional<FreshnessProof> previous =
      known == nullptr ? std::optional<FreshnessProof>() : known->proof;
  const DatabaseView view = BuildDatabaseView(database, servers, round_started, previous);
  const BackendServerView* primary = view.Find(view.primary);
  for (const BackendServerView& server : view.backend_servers) {
    if (primary != nullptr && primary->status && server.status) {
      const double lag = static_cast<double>(primary->status->last_index) -
                         static_cast<double>(server.status->last_index);
      this->dependencies.metrics.Set(Metric::kReplicaLag, {server.id}, std::max(lag, 0.0));
    }
  }
  this->dependencies.views.PublishView(view);
}

void WatcherService::HandleGap(const std::string& database, const FailoverGap& gap) {
  Metrics& metrics = this->dependencies.metrics;
  metrics.Observe(Metric::kFailoverSeconds, {"detection"}, gap.Detection());
  metrics.Observe(Metric::kFailoverSeconds, {"decision"}, gap.Decision());
  metrics.Observe(Metric::kFailoverSeconds, {"promotion"}, gap.PromotionTime());
  metrics.Increment(Metric::kPromotions, {database, std::string(ToString(gap.cause))});
  this->dependencies.logger.Info("promoted", {{"database", database},
                                              {"primary", gap.primary},
                                              {"term", absl::StrCat(gap.term)},
                                              {"cause", std::string(ToString(gap.cause))},
                                              {"attempts", absl::StrCat(gap.attempts)},
                                              {"detection_ms", Milliseconds(gap.Detection())},
                                              {"decision_ms", Milliseconds(gap.Decision())},
                                              {"promotion_ms", Milliseconds(gap.PromotionTime())}});
}

}  // namespace sycamoredrum
