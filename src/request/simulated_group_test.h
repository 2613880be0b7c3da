#pragma once

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "backend_model.h"
#include "sycamoredrum/database_view.h"
#include "sycamoredrum/manual_clock.h"
#include "sycamoredrum/request.h"

namespace sycamoredrum {

constexpr int kServers = 3;
constexpr int kProxies = 2;

/// Simulates three backend servers, their network and a promoter, with random faults from a seed.
class SimulatedGroup {
 public:
  using Milliseconds = std::chrono::milliseconds;

  SimulatedGroup(ManualClock& clock, std::uint64_t seed) : clock(clock), random(seed) {
    for (int i = 0; i < kServers; ++i) {
      this->servers.emplace_back(std::string(1, static_cast<char>('a' + i)), "d", 1000, clock);
    }
    this->Promote();
    this->Every(Milliseconds(5), [this] { this->Replicate(); });
    this->Every(Milliseconds(50), [this] { this->Supervise(); });
  }

  bool Chance(int percent) { return static_cast<int>(this->random() % 100) < percent; }
  Milliseconds Delay(int longest) {
    return Milliseconds(1 + this->random() % static_cast<std::uint64_t>(longest));
  }
  void Every(Milliseconds period, std::function<void()> action) {
    this->clock.RunAfter(period, [this, period, action] {
      action();
      this->Every(period, action);
    });
  }

  int Index(const std::string& id) const { return id[0] - 'a'; }
  std::mt19937_64& Random() { return this->random; }

  /// Probes each server after a random delay, then passes all observations to `done`.
  void Probe(int proxy, std::function<void(const std::vector<BackendServerView>&)> done) {
    auto views = std::make_shared<std::vector<BackendServerView>>(kServers);
    for (int i = 0; i < kServers; ++i) {
      this->clock.RunAfter(this->Delay(10), [this, proxy, views, i] {
        const BackendServerStatus status = this->servers[i].Status();
        (*views)[i] = BackendServerView{status.backend_server, this->reach[proxy][i], status,
                                        this->clock.Now()};
      });
    }
    this->clock.RunAfter(Milliseconds(11), [views, done] { done(*views); });
  }

  void Send(int proxy, const ExecuteCommand& command, TimePoint deadline,
            const ExecuteCallback& done) {
    if (this->faults && this->Chance(5)) {
      return;
    }
    if (!this->reach[proxy][this->Index(command.backend_server)]) {
      this->Reply(done, ExecuteAnswer::NotRun(Reason::kHolderUnreachable, ""));
      return;
    }
    const bool late = this->faults && this->Chance(5);
    this->clock.RunAfter(this->Delay(late ? 3000 : 10), [this, command, deadline, done] {
      this->Run(command, deadline, this->clock.Now() + command.request.wait, done);
    });
  }

  /// Ends all faults, so that the servers reach a final state.
  void StopFaults() {
    this->faults = false;
    this->up.fill(true);
    this->ReachAll();
  }

  int Promotions() const { return this->promotions; }

  std::string FinalValue() const { return this->servers[this->primary].Get("k").value_or(""); }

 private:
  void ReachAll() {
    for (auto& servers : this->reach) {
      servers.fill(true);
    }
  }

  void Reply(const ExecuteCallback& done, ExecuteAnswer answer) {
    const int deliveries = !this->faults ? 1 : this->Chance(10) ? 0 : this->Chance(10) ? 2 : 1;
    for (int i = 0; i < deliveries; ++i) {
      this->clock.RunAfter(this->Delay(10), [done, answer] { done(answer); });
    }
  }

  void Run(const ExecuteCommand& command, TimePoint deadline, TimePoint wait_until,
           const ExecuteCallback& done) {
    const int i = this->Index(command.backend_server);
    const auto connection = this->servers[i].Open();
    const BackendReply reply = this->servers[i].Execute(*connection, command.request);
    this->servers[i].Close(*connection);
    if (reply.error == BackendError::kBehind && this->clock.Now() < wait_until) {
      this->clock.RunAfter(Milliseconds(5), [this, command, deadline, wait_until, done] {
        this->Run(command, deadline, wait_until, done);
      });
      return;
    }
    const ExecuteAnswer answer = ToAnswer(reply);
    if (command.request.write && answer.outcome == Outcome::kResult) {
      this->Confirm(command, deadline, answer, done);
    } else {
      this->Reply(done, answer);
    }
  }

  static ExecuteAnswer ToAnswer(const BackendReply& reply) {
    ExecuteAnswer answer;
    answer.outcome = Outcome::kNotRun;
    answer.results = reply.results;
    answer.position = reply.position;
    answer.duplicate = reply.duplicate;
    switch (reply.error) {
      case BackendError::kNone:
        answer.outcome = Outcome::kResult;
        break;
      case BackendError::kFenced:
        answer.reason = Reason::kFenced;
        break;
      case BackendError::kNotPrimary:
        answer.reason = Reason::kNoPrimary;
        break;
      case BackendError::kBehind:
        answer.reason = Reason::kBehind;
        break;
      case BackendError::kNotInHistory:
        answer.reason = Reason::kSessionPositionLost;
        break;
      default:
        answer.outcome = Outcome::kFailed;
        answer.reason = Reason::kStatement;
    }
    return answer;
  }

  void Confirm(const ExecuteCommand& command, TimePoint deadline, const ExecuteAnswer& answer,
               const ExecuteCallback& done) {
    int copies = 0;
    for (int i = 0; i < kServers; ++i) {
      const BackendServerStatus status = this->servers[i].Status();
      const bool unfenced = status.promised_term <= command.request.term;
      copies += this->up[i] && unfenced && status.Contains(answer.position) ? 1 : 0;
    }
    if (copies >= 2) {
      this->Reply(done, answer);
    } else if (this->clock.Now() >= deadline) {
      this->Reply(done, ExecuteAnswer::Unknown(Reason::kUnconfirmed, ""));
    } else {
      this->clock.RunAfter(Milliseconds(5), [this, command, deadline, answer, done] {
        this->Confirm(command, deadline, answer, done);
      });
    }
  }

  void Replicate() {
    for (int i = 0; i < kServers; ++i) {
      const std::string follows = this->servers[i].Status().follows;
      const bool lags = this->faults && this->Chance(20 + 35 * i);
      if (follows.empty() || lags || !this->up[i] || !this->up[this->Index(follows)]) {
        continue;
      }
      const LogRequest request = this->servers[i].NextLogRequest();
      this->servers[i].ApplyLog(follows, request,
                                this->servers[this->Index(follows)].ReadLog(request));
    }
  }

  // Changes the network faults at random, and replaces a primary that is unreachable or deposed.
  void Supervise() {
    if (this->faults && this->Chance(10)) {
      this->up.fill(true);
      this->up[this->random() % kServers] = this->Chance(30);
      this->ReachAll();
      for (int i = 0; i < kServers; ++i) {
        this->reach[this->random() % kProxies][this->random() % kServers] = this->Chance(50);
      }
    }
    const BackendServerStatus status = this->servers[this->primary].Status();
    const bool acting = status.role == Role::kPrimary && status.promised_term == status.term;
    if (!acting || !this->up[this->primary] || (this->faults && this->Chance(5))) {
      this->Promote();
    }
    this->FollowPrimary();
  }

  void FollowPrimary() {
    const BackendServerStatus status = this->servers[this->primary].Status();
    for (int i = 0; i < kServers; ++i) {
      const bool receives_follow =
          i != this->primary && this->up[i] && status.role == Role::kPrimary;
      if (receives_follow && !(this->faults && this->Chance(30))) {
        this->servers[i].Follow(status.term, status.backend_server);
      }
    }
  }

  void Promote() {
    const std::uint64_t term = ++this->last_term;
    const std::string proposer = absl::StrCat("promoter-", term);
    int best = -1;
    int fenced = 0;
    for (int i = 0; i < kServers; ++i) {
      if (!this->up[i] || !this->servers[i].Fence(term, proposer).accepted) {
        continue;
      }
      ++fenced;
      const LogPosition last = this->servers[i].Status().LastPosition();
      best = best < 0 || last > this->servers[best].Status().LastPosition() ? i : best;
    }
    if (fenced < 2) {
      return;
    }
    this->clock.RunAfter(this->Delay(20), [this, best, term, proposer] {
      if (this->up[best] && this->servers[best].Promote(term, proposer).accepted) {
        ++this->promotions;
        this->primary = best;
      }
    });
  }

  ManualClock& clock;
  std::mt19937_64 random;
  std::vector<BackendModel> servers;
  /// Servers that the promoter and the other servers can reach.
  std::array<bool, kServers> up{true, true, true};
  /// Servers that each proxy can reach.
  std::array<std::array<bool, kServers>, kProxies> reach{{{true, true, true}, {true, true, true}}};
  bool faults = true;
  int primary = 0;
  std::uint64_t last_term = 0;
  int promotions = 0;
};

}  // namespace sycamoredrum
