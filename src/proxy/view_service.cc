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

ViewService::ViewService(Parts parts)
    : parts(std::move(parts)), context(SerialContext::Create(this->parts.loop)) {}

ViewService::~ViewService() { this->context->Close(); }

void ViewService::Prove(const std::string& database, TimePoint not_before, TimePoint deadline,
                        ProveCallback callback) {
  const DatabaseViewPtr known = this->parts.views.Get(database);
  const auto config = FindDatabase(this->parts.configuration, database);
  if (HasProofSince(known, not_before) || config == nullptr) {
    const DatabaseViewPtr answer = config == nullptr ? nullptr : known;
    this->parts.loop.Post([answer, callback = std::move(callback)] { callback(answer); });
    return;
  }
  auto question = std::make_shared<Question>();
  question->database = database;
  question->not_before = not_before;
  question->deadline = deadline;
  question->callback = std::move(callback);
  question->watchers = this->WatchersFor(*config);
  this->AskNextWatcher(question);
}

std::vector<std::string> ViewService::WatchersFor(const DatabaseConfig& database) const {
  const auto fleet = this->parts.fleet.Get();
  std::vector<std::string> watchers = WatchersOf(database, fleet->candidates);
  std::stable_partition(watchers.begin(), watchers.end(), [&](const std::string& id) {
    const Member* member = fleet->Find(id);
    return member != nullptr && member->data_centre == this->parts.data_centre;
  });
  std::stable_partition(watchers.begin(), watchers.end(),
                        [&](const std::string& id) { return id == this->parts.member; });
  return watchers;
}

void ViewService::AskNextWatcher(const std::shared_ptr<Question>& question) {
  if (this->parts.loop.Now() >= question->deadline) {
    this->parts.loop.Post([question] { question->callback(nullptr); });
    return;
  }
  if (question->next_watcher >= question->watchers.size()) {
    // The last resort of a proxy that gets no proof from any watcher.
    this->ProveLocally(question->database, question->not_before, question->deadline,
                       question->callback);
    return;
  }
  if (question->watchers[question->next_watcher] == this->parts.member) {
    this->ProveHere(question);
    return;
  }
  const std::string watcher = question->watchers[question->next_watcher++];
  const TimePoint now = this->parts.loop.Now();
  const Duration limit = std::min<Duration>(kWatcherTimeout, question->deadline - now);
  const Duration age = std::max(now - question->not_before, Duration::zero());
  const nlohmann::json body = {{"database", question->database},
                               {"max_age_us", duration_cast<microseconds>(age).count()},
                               {"limit_ms", duration_cast<milliseconds>(limit).count()}};
  this->parts.call(
      watcher, "prove", body.dump(), limit,
      [this, question, now](const PeerAnswer& reply) { this->HandleAnswer(question, now, reply); });
}

// This process is a watcher itself. It may be cut off from backend servers that others reach.
void ViewService::ProveHere(const std::shared_ptr<Question>& question) {
  ++question->next_watcher;
  const TimePoint limit = std::min(question->deadline, this->parts.loop.Now() + kWatcherTimeout);
  this->ProveLocally(question->database, question->not_before, limit,
                     [this, question](const DatabaseViewPtr& view) {
                       if (view == nullptr) {
                         this->AskNextWatcher(question);
                       } else {
                         question->callback(view);
                       }
                     });
}

void ViewService::HandleAnswer(const std::shared_ptr<Question>& question, TimePoint asked_at,
                               const PeerAnswer& reply) {
  std::optional<DatabaseView> view;
  if (reply.error == PeerError::kNone) {
    view = ParseDatabaseView(reply.body, asked_at);
  }
  if (!view || !view->proof) {
    this->AskNextWatcher(question);
    return;
  }
  // The watcher answers only with a proof that is not older than asked for. The age in its answer
  // includes the time of its own round and would make the proof look older than that.
  view->proof->proven_at = std::max(view->proof->proven_at, question->not_before);
  this->parts.views.Offer(*view);
  question->callback(std::make_shared<const DatabaseView>(*view));
}

void ViewService::ProveLocally(const std::string& database, TimePoint not_before,
                               TimePoint deadline, ProveCallback callback) {
  this->parts.loop.Post([this, context = this->context, database, not_before, deadline,
                         callback = std::move(callback)] {
    context->Run([&] {
      Rounds* entry = this->RoundsFor(database);
      if (entry == nullptr) {
        this->parts.loop.Post([callback] { callback(nullptr); });
        return;
      }
      const std::uint64_t number = this->next_proof++;
      entry->waiting.emplace(number, LocalProof{not_before, deadline, callback});
      this->Submit(database, *entry, number);
    });
  });
}

void ViewService::Submit(const std::string& database, Rounds& entry, std::uint64_t number) {
  const LocalProof& proof = entry.waiting.at(number);
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
  this->parts.loop.Post(
      [callback = std::move(node.mapped().callback), answer] { callback(answer); });
}

void ViewService::Offer(const DatabaseView& view) {
  this->parts.views.Offer(view);
  this->parts.loop.Post([this, context = this->context, view] {
    context->Run([&] {
      const auto found = this->rounds.find(view.database);
      if (found != this->rounds.end()) {
        found->second.rounds->Offer(view);
      }
    });
  });
}

ViewService::Rounds* ViewService::RoundsFor(const std::string& database) {
  const auto config = FindDatabase(this->parts.configuration, database);
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
                                                 this->parts.loop, *this->context);
    // The replaced rounds took their waiting proofs with them.
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
    const auto config = FindDatabase(this->parts.configuration, database);
    const BackendServerConfig* server = config == nullptr ? nullptr : config->FindBackendServer(id);
    auto wrapped = this->context->Wrap(std::move(callback));
    if (server == nullptr) {
      this->parts.loop.Post([wrapped] { wrapped(std::nullopt); });
      return;
    }
    this->parts.control.Status(server->control, timeout, wrapped);
  };
  hooks.proven = [this](const DatabaseView& view) { this->parts.views.Offer(view); };
  return hooks;
}

}  // namespace sycamoredrum
