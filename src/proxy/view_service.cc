#include "view_service.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace sycamoredrum {
namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

bool HasProofSince(const DatabaseViewPtr& view, TimePoint not_before) {
  return view != nullptr && view->proof && view->proof->proven_at >= not_before;
}

}  // namespace

ViewService::ViewService(Dependencies dependencies)
    : dependencies(std::move(dependencies)),
      context(SerialContext::Create(this->dependencies.loop)) {}

ViewService::~ViewService() { this->context->Close(); }

void ViewService::Prove(const std::string& database, TimePoint not_before, TimePoint deadline,
                        ProveCallback callback) {
  const DatabaseViewPtr known = this->dependencies.views.Get(database);
  const auto config = FindDatabase(this->dependencies.configuration, database);
  if (HasProofSince(known, not_before) || config == nullptr) {
    const DatabaseViewPtr answer = config == nullptr ? nullptr : known;
    this->dependencies.loop.Post([answer, callback = std::move(callback)] { callback(answer); });
    return;
  }
  auto request = std::make_shared<ProofRequest>();
  request->database = database;
  request->not_before = not_before;
  request->deadline = deadline;
  request->callback = std::move(callback);
  request->watchers = this->WatchersFor(*config);
  this->QueryNextWatcher(request);
}

std::vector<std::string> ViewService::WatchersFor(const DatabaseConfig& database) const {
  const auto fleet = this->dependencies.fleet.Get();
  std::vector<std::string> watchers = WatchersOf(database, fleet->candidates);
  std::stable_partition(watchers.begin(), watchers.end(), [&](const std::string& id) {
    const Member* member = fleet->Find(id);
    return member != nullptr && member->data_centre == this->dependencies.data_centre;
  });
  std::stable_partition(watchers.begin(), watchers.end(),
                        [&](const std::string& id) { return id == this->dependencies.member; });
  return watchers;
}

void ViewService::QueryNextWatcher(const std::shared_ptr<ProofRequest>& request) {
  if (this->dependencies.loop.Now() >= request->deadline) {
    this->dependencies.loop.Post([request] { request->callback(nullptr); });
    return;
  }
  if (request->next_watcher >= request->watchers.size()) {
    // No watcher gave a proof, so this process calls the backend servers itself.
    this->ProveLocally(request->database, request->not_before, request->deadline,
                       request->callback);
    return;
  }
  if (request->watchers[request->next_watcher] == this->dependencies.member) {
    this->ProveAsWatcher(request);
    return;
  }
  const std::string watcher = request->watchers[request->next_watcher++];
  const TimePoint now = this->dependencies.loop.Now();
  const Duration limit = std::min<Duration>(kWatcherTimeout, request->deadline - now);
  const Duration age = std::max(now - request->not_before, Duration::zero());
  const nlohmann::json body = {{"database", request->database},
                               {"max_age_us", duration_cast<microseconds>(age).count()},
                               {"limit_ms", duration_cast<milliseconds>(limit).count()}};
  this->dependencies.call(
      watcher, "prove", body.dump(), limit,
      [this, request, now](const PeerAnswer& reply) { this->HandleAnswer(request, now, reply); });
}

// Called if this process is a watcher. The time is limited to kWatcherTimeout because this process
// may be cut off from backend servers that other watchers reach.
void ViewService::ProveAsWatcher(const std::shared_ptr<ProofRequest>& request) {
  ++request->next_watcher;
  const TimePoint limit =
      std::min(request->deadline, this->dependencies.loop.Now() + kWatcherTimeout);
  this->ProveLocally(request->database, request->not_before, limit,
                     [this, request](const DatabaseViewPtr& view) {
                       if (view == nullptr) {
                         this->QueryNextWatcher(request);
                       } else {
                         request->callback(view);
                       }
                     });
}

void ViewService::HandleAnswer(const std::shared_ptr<ProofRequest>& request, TimePoint requested_at,
                               const PeerAnswer& reply) {
  std::optional<DatabaseView> view;
  if (reply.error == PeerError::kNone) {
    view = ParseDatabaseView(reply.body, requested_at);
  }
  if (!view || !view->proof) {
    this->QueryNextWatcher(request);
    return;
  }
  // The watcher returns only proofs that are not older than `not_before`. The time computed from
  // the age in its answer may be earlier than that, because the age includes the watcher's own
  // round.
  view->proof->proven_at = std::max(view->proof->proven_at, request->not_before);
  this->dependencies.views.UpdateIfNewer(*view);
  request->callback(std::make_shared<const DatabaseView>(*view));
}

void ViewService::ProveLocally(const std::string& database, TimePoint not_before,
                               TimePoint deadline, ProveCallback callback) {
  this->dependencies.loop.Post([this, context = this->context, database, not_before, deadline,
                                callback = std::move(callback)] {
    context->Run([&] {
      Rounds* entry = this->RoundsFor(database);
      if (entry == nullptr) {
        this->dependencies.loop.Post([callback] { callback(nullptr); });
        return;
      }
      const std::uint64_t number = this->next_proof++;
      entry->waiting.emplace(number, LocalProofRequest{not_before, deadline, callback});
      this->Submit(database, *entry, number);
    });
  });
}

void ViewService::Submit(const std::string& database, Rounds& entry, std::uint64_t number) {
  const LocalProofRequest& proof = entry.waiting.at(number);
  entry.rounds->Prove(proof.not_before, proof.deadline,
                      [this, database, number](const std::optional<DatabaseView>& view) {
                        this->AnswerLocalProof(database, number, view);
                      });
}

void ViewService::AnswerLocalProof(const std::string& database, std::uint64_t number,
                                   const std::optional<DatabaseView>& view) {
  auto node = this->rounds[database].waiting.extract(number);
  if (node.empty()) {
    return;
  }
  DatabaseViewPtr answer = view ? std::make_shared<const DatabaseView>(*view) : nullptr;
  this->dependencies.loop.Post(
      [callback = std::move(node.mapped().callback), answer] { callback(answer); });
}

void ViewService::PublishView(const DatabaseView& view) {
  this->dependencies.views.UpdateIfNewer(view);
  this->dependencies.loop.Post([this, context = this->context, view] {
    context->Run([&] {
      const auto found = this->rounds.find(view.database);
      if (found != this->rounds.end()) {
        found->second.rounds->Offer(view);
      }
    });
  });
}

ViewService::Rounds* ViewService::RoundsFor(const std::string& database) {
  const auto config = FindDatabase(this->dependencies.configuration, database);
  if (config == nullptr) {
    return nullptr;
  }
  std::vector<std::string> servers;
  servers.reserve(config->backend_servers.size());
  for (const BackendServerConfig& server : config->backend_servers) {
    servers.push_back(server.id);
  }
  Rounds& entry = this->rounds[database];
  if (entry.rounds == nullptr || entry.backend_servers != servers) {
    entry.backend_servers = servers;
    entry.rounds = std::make_unique<ProofRounds>(database, servers, this->MakeHooks(database),
                                                 this->dependencies.loop, *this->context);
    // The replaced ProofRounds has dropped the requests that waited for it; submit them again.
    for (const auto& [number, unused] : entry.waiting) {
      this->Submit(database, entry, number);
    }
  }
  return &entry;
}

ProofRoundHooks ViewService::MakeHooks(const std::string& database) {
  ProofRoundHooks hooks;
  hooks.status = [this, database](const std::string& id, Duration timeout,
                                  ProofRoundHooks::StatusCallback callback) {
    const auto config = FindDatabase(this->dependencies.configuration, database);
    const BackendServerConfig* server = config == nullptr ? nullptr : config->FindBackendServer(id);
    auto wrapped = this->context->Wrap(std::move(callback));
    if (server == nullptr) {
      this->dependencies.loop.Post([wrapped] { wrapped(std::nullopt); });
      return;
    }
    this->dependencies.control.Status(server->control, timeout, wrapped);
  };
  hooks.proven = [this](const DatabaseView& view) { this->dependencies.views.UpdateIfNewer(view); };
  return hooks;
}

}  // namespace sycamoredrum
