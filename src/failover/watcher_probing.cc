#include <utility>

#include "watcher_impl.h"

namespace sycamoredrum {
namespace {

// A failed probe of a server that is not yet suspected is repeated after probe_interval divided by
// this number, without waiting for the next round.
constexpr int kProbeRetryDivisor = 3;

}  // namespace

void DatabaseWatcher::Impl::RunMethodAfter(Duration delay, void (Impl::*method)()) {
  const std::weak_ptr<bool> guard = this->alive;
  this->scheduler.RunAfter(delay, [this, guard, method] {
    if (!guard.expired()) {
      (this->*method)();
    }
  });
}

void DatabaseWatcher::Impl::Start() { this->StartRound(); }

void DatabaseWatcher::Impl::StartRound() {
  this->CountPause();
  const TimePoint now = this->clock.Now();
  this->next_round_due = now + this->timings.probe_interval;
  this->RunMethodAfter(this->timings.probe_interval, &Impl::StartRound);
  auto round = std::make_shared<Round>();
  round->started = now;
  round->unanswered = this->assignment.backend_servers.size();
  for (const std::string& server : this->assignment.backend_servers) {
    this->SendProbe(server, round);
  }
}

void DatabaseWatcher::Impl::CountPause() {
  const bool paused = this->next_round_due &&
                      this->clock.Now() - *this->next_round_due > this->timings.probe_interval;
  this->counters.pauses += paused ? 1 : 0;
}

void DatabaseWatcher::Impl::SendProbe(const std::string& server,
                                      const std::shared_ptr<Round>& round) {
  const Duration timeout = this->servers.at(server).ProbeTimeout();
  auto probe = std::make_shared<Probe>();
  probe->server = server;
  probe->sent_at = this->clock.Now();
  probe->deadline = probe->sent_at + timeout;
  probe->round = round;
  ++this->counters.probes;
  const std::weak_ptr<bool> guard = this->alive;
  this->scheduler.RunAfter(timeout, [this, guard, probe] {
    if (!guard.expired()) {
      this->OnProbeTimeout(probe);
    }
  });
  this->hooks.probe(server, timeout,
                    [this, guard, probe](const std::optional<BackendServerStatus>& status) {
                      if (!guard.expired()) {
                        this->OnProbeAnswer(probe, status);
                      }
                    });
}

void DatabaseWatcher::Impl::OnProbeAnswer(const std::shared_ptr<Probe>& probe,
                                          const std::optional<BackendServerStatus>& status) {
  const bool valid =
      status && status->backend_server == probe->server && status->database == this->database;
  if (valid) {
    this->RecordAnswer(*probe, *status);
  }
  if (probe->completed) {
    return;
  }
  if (!valid) {
    this->CompleteFailedProbe(probe);
    return;
  }
  this->CompleteProbe(probe);
  this->Evaluate();
}

void DatabaseWatcher::Impl::RecordAnswer(const Probe& probe, const BackendServerStatus& status) {
  const auto found = this->servers.find(probe.server);
  if (found == this->servers.end()) {
    return;
  }
  ServerObservation& server = found->second;
  server.RecordStatus(probe.sent_at, this->clock.Now(), status);
  const GroupState group = AssessGroup(this->servers, this->clock.Now());
  const auto primary = this->servers.find(group.primary);
  if (primary != this->servers.end() && primary->second.Status()) {
    server.TrackLag(primary->second.Status()->LastPosition(), primary->second.ObservedAt());
  }
}

void DatabaseWatcher::Impl::OnProbeTimeout(const std::shared_ptr<Probe>& probe) {
  if (probe->completed) {
    return;
  }
  // After a pause of this process, the timeouts of all outstanding probes expire at once although
  // the answers may be unread in the sockets. Such a timeout does not indicate a failed server.
  const bool paused = this->clock.Now() - probe->deadline > this->timings.probe_interval;
  if (paused) {
    this->CompleteProbe(probe);
    return;
  }
  this->CompleteFailedProbe(probe);
}

void DatabaseWatcher::Impl::CompleteFailedProbe(const std::shared_ptr<Probe>& probe) {
  ++this->counters.failed_probes;
  const auto found = this->servers.find(probe->server);
  if (found != this->servers.end()) {
    ServerObservation& server = found->second;
    const bool suspected_before = server.Suspected();
    server.RecordFailure(probe->sent_at);
    if (!server.Suspected()) {
      const std::weak_ptr<bool> guard = this->alive;
      const std::string id = probe->server;
      this->scheduler.RunAfter(this->timings.probe_interval / kProbeRetryDivisor,
                               [this, guard, id] {
                                 if (!guard.expired() && this->servers.count(id) != 0) {
                                   this->SendProbe(id, nullptr);
                                 }
                               });
    } else if (!suspected_before) {
      ++this->counters.suspicions;
    }
  }
  this->CompleteProbe(probe);
  this->Evaluate();
}

void DatabaseWatcher::Impl::CompleteProbe(const std::shared_ptr<Probe>& probe) {
  probe->completed = true;
  if (probe->round && --probe->round->unanswered == 0) {
    this->EndRound(*probe->round);
  }
}

void DatabaseWatcher::Impl::EndRound(const Round& round) {
  ++this->counters.rounds;
  std::vector<BackendServerView> views;
  for (const auto& [id, server] : this->servers) {
    views.push_back(server.View());
  }
  this->RedirectServers();
  this->hooks.on_round(views, round.started);
}

void DatabaseWatcher::Impl::RedirectServers() {
  const TimePoint now = this->clock.Now();
  const GroupState group = AssessGroup(this->servers, now);
  for (const std::string& server : ServersToRedirect(this->servers, group, now)) {
    ++this->counters.follows;
    this->hooks.control.follow(server, group.term, group.primary,
                               [](const std::optional<BackendServerStatus>&) {});
  }
}

}  // namespace sycamoredrum
