#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "backend_model.h"
#include "sycamoredrum/holder_service.h"
#include "sycamoredrum/manual_clock.h"

namespace sycamoredrum {

/// Fault injected into one request to a backend server.
enum class Fault {
  kNone,
  kBreakBefore,     ///< The connection breaks and the request does not arrive.
  kBreakAfter,      ///< The request runs, then the connection breaks.
  kNoReply,         ///< The request runs, but its answer is lost.
  kLate,            ///< The request runs, but its answer arrives after the timeout.
  kDuplicateReply,  ///< The answer arrives twice.
  kTruncated,       ///< The answer lacks a result.
};

/// Three modelled backend servers a, b and c of the database "orders", reached with a latency of
/// 1 ms, and the pool of one holder to the primary a. Test-only.
class HolderTestGroup {
 public:
  static constexpr Duration kLatency = std::chrono::milliseconds(1);

  explicit HolderTestGroup(int limit = 4)
      : pool(ConnectionPoolHooks{
                 [this](const std::string&, OpenCallback callback) { this->Open(callback); },
                 [this](ConnectionId id) { this->Server("a").Close(id); }},
             limit, clock, clock) {
    auto orders = std::make_shared<DatabaseConfig>();
    orders->name = "orders";
    for (const char* id : {"a", "b", "c"}) {
      this->servers.emplace(id, std::make_unique<BackendModel>(id, "orders", 4, this->clock));
      BackendServerConfig server;
      server.id = id;
      orders->backend_servers.push_back(server);
    }
    this->database = orders;
    this->PromoteA(1);
  }

  BackendModel& Server(const std::string& id) { return *this->servers.at(id); }

  void PromoteA(std::uint64_t term) {
    for (auto& [id, server] : this->servers) {
      server->Fence(term, "p");
    }
    this->Server("a").Promote(term, "p");
    this->Server("b").Follow(term, "a");
    this->Server("c").Follow(term, "a");
  }

  void Replicate(const std::string& to) {
    const LogRequest request = this->Server(to).NextLogRequest();
    this->Server(to).ApplyLog("a", request, this->Server("a").ReadLog(request));
  }

  HolderHooks Hooks() {
    HolderHooks hooks;
    hooks.database = [this](const std::string& name) {
      return name == "orders" ? this->database : nullptr;
    };
    hooks.group_weight = [](const std::string&) { return 1; };
    hooks.pool = [this](const std::string& id) { return id == "a" ? &this->pool : nullptr; };
    hooks.execute = [this](ConnectionId connection, const BackendRequest& request, Duration timeout,
                           BackendCallback callback) {
      this->Execute(connection, request, timeout, std::move(callback));
    };
    hooks.wait_position = [this](const BackendServerConfig& server, const LogPosition& position,
                                 Duration timeout, WaitCallback callback) {
      this->Wait(server.id, position, this->clock.Now() + timeout, std::move(callback));
    };
    return hooks;
  }

  ManualClock clock;
  std::map<std::string, std::unique_ptr<BackendModel>> servers;
  std::shared_ptr<const DatabaseConfig> database;
  std::deque<Fault> faults;   ///< Applied to the next requests, in order.
  bool refuse_opens = false;  ///< True: the connection cap is reached.
  bool replicating = true;    ///< False: b and c receive nothing.
  bool waits_fail = false;    ///< True: every wait fails, and the failure is reported twice.
  int waits = 0;              ///< Waits that reached a server.
  std::set<std::string> fence_on_wait;  ///< Servers that promise a higher term when a wait arrives,
                                        ///< after replication.
  std::map<ConnectionId, int> requests_by_connection;  ///< Requests sent on each connection.
  ConnectionPool pool;

 private:
  void Open(const OpenCallback& callback) {
    this->clock.RunAfter(std::chrono::milliseconds(12), [this, callback] {
      const auto id = this->refuse_opens ? std::nullopt : this->Server("a").Open();
      callback(id ? OpenResult{OpenStatus::kOpened, *id} : OpenResult{OpenStatus::kRefused, 0});
    });
  }

  void Execute(ConnectionId connection, const BackendRequest& request, Duration timeout,
               BackendCallback callback) {
    ++this->requests_by_connection[connection];
    Fault fault = Fault::kNone;
    if (!this->faults.empty()) {
      fault = this->faults.front();
      this->faults.pop_front();
    }
    this->clock.RunAfter(kLatency, [this, connection, request, timeout, callback, fault] {
      if (fault == Fault::kBreakBefore) {
        callback(std::nullopt);
        return;
      }
      BackendReply reply = this->Server("a").Execute(connection, request);
      if (fault == Fault::kTruncated && !reply.results.empty()) {
        reply.results.pop_back();
      }
      const Duration delay = fault == Fault::kLate ? timeout : kLatency;
      this->clock.RunAfter(delay, [callback, reply, fault] {
        if (fault == Fault::kBreakAfter) {
          callback(std::nullopt);
        } else if (fault != Fault::kNoReply) {
          callback(reply);
        }
        if (fault == Fault::kDuplicateReply) {
          callback(reply);
        }
      });
    });
  }

  void Wait(const std::string& id, const LogPosition& position, TimePoint until,
            const WaitCallback& callback) {
    this->clock.RunAfter(kLatency, [this, id, position, until, callback] {
      ++this->waits;
      if (this->waits_fail) {
        callback(std::nullopt);
        callback(std::nullopt);
        return;
      }
      if (this->replicating) {
        this->Replicate(id);
      }
      if (this->fence_on_wait.count(id) != 0) {
        this->Server(id).Fence(this->Server(id).Status().term + 1, "q");
      }
      const BackendServerStatus status = this->Server(id).Status();
      if (status.Contains(position) || this->clock.Now() >= until) {
        callback(WaitReply{status.Contains(position), false, status.promised_term});
      } else {
        this->Wait(id, position, until, callback);
      }
    });
  }
};

}  // namespace sycamoredrum
