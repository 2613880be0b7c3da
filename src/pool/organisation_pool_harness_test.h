#pragma once

#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sycamoredrum/connection_pool.h"
#include "sycamoredrum/manual_clock.h"

namespace sycamoredrum {

struct Caller {
  std::string route;
  std::string organisation;
  int route_weight = 1;
  int organisation_weight = 1;
  bool any_organisation = false;
};

/// A pool that is checked at each lease. The test answers the opens.
class OrganisationPoolHarness {
 public:
  struct PendingOpen {
    std::string organisation;
    OpenCallback done;
    TimePoint started;
  };
  struct Request {
    Caller caller;
    TimePoint arrived;
    std::optional<LeaseAnswer> answer;
    Duration waited{};
  };

  explicit OrganisationPoolHarness(int limit, std::size_t max_waiting = 256)
      : pool(ConnectionPoolHooks{
                 [this](const std::string& organisation, OpenCallback done) {
                   this->opens.push_back({organisation, std::move(done), this->clock.Now()});
                 },
                 [this](ConnectionId id) { this->open.erase(id); }},
             limit, clock, clock, max_waiting) {}

  std::size_t Acquire(const Caller& caller, Duration remaining = std::chrono::seconds(2),
                      std::function<void(std::size_t)> answered = nullptr) {
    const std::size_t number = this->requests.size();
    this->requests.push_back(Request{caller, this->clock.Now(), std::nullopt, {}});
    LeaseRequest request{caller.route, caller.route_weight, this->clock.Now() + remaining};
    request.organisation = caller.organisation;
    request.organisation_weight = caller.organisation_weight;
    request.any_organisation = caller.any_organisation;
    this->pool.Acquire(request, [this, number, answered](const LeaseAnswer& answer) {
      this->Check(number, answer);
      if (answered) {
        answered(number);
      }
    });
    return number;
  }

  void AnswerOpen(OpenStatus status) {
    const PendingOpen pending = this->opens.front();
    this->opens.pop_front();
    const ConnectionId id = this->next_connection++;
    if (status == OpenStatus::kOpened) {
      this->open[id] = pending.organisation;
    }
    pending.done(OpenResult{status, status == OpenStatus::kOpened ? id : 0});
  }
  void AnswerAllOpens(OpenStatus status) {
    while (!this->opens.empty()) {
      this->AnswerOpen(status);
    }
  }
  void Release(std::size_t request, ConnectionState state = ConnectionState::kClean) {
    const Lease lease = this->requests.at(request).answer->lease;
    this->leased.erase(lease.connection);
    this->pool.Release(lease, state);
  }
  bool Granted(std::size_t request) const {
    const auto& answer = this->requests.at(request).answer;
    return answer && answer->status == LeaseStatus::kGranted;
  }
  std::multiset<std::string> OpenOrganisations() const {
    std::multiset<std::string> organisations;
    for (const auto& [id, organisation] : this->open) {
      organisations.insert(organisation);
    }
    return organisations;
  }

  ManualClock clock;
  std::deque<PendingOpen> opens;
  std::map<ConnectionId, std::string> open;  ///< Organisations of the open connections.
  std::set<ConnectionId> leased;
  std::deque<Request> requests;
  std::vector<std::string> faults;
  ConnectionId next_connection = 1;
  ConnectionPool pool;

 private:
  void Check(std::size_t number, const LeaseAnswer& answer) {
    Request& request = this->requests.at(number);
    if (request.answer) {
      this->faults.push_back("second answer");
    }
    request.answer = answer;
    request.waited = this->clock.Now() - request.arrived;
    if (answer.status != LeaseStatus::kGranted) {
      return;
    }
    const auto connection = this->open.find(answer.lease.connection);
    if (connection == this->open.end()) {
      this->faults.push_back("closed connection leased");
    } else if (!request.caller.any_organisation &&
               connection->second != request.caller.organisation) {
      this->faults.push_back("connection of another organisation leased");
    } else if (this->pool.OrganisationOf(connection->first) != connection->second) {
      this->faults.push_back("wrong organisation reported");
    }
    if (!this->leased.insert(answer.lease.connection).second) {
      this->faults.push_back("connection leased twice");
    }
  }
};

}  // namespace sycamoredrum
