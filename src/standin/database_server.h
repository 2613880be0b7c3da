#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "backend_model.h"
#include "relay_log.h"
#include "sycamoredrum/event_loop.h"
#include "sycamoredrum/http.h"
#include "test_gate.h"

namespace sycamoredrum {

struct DatabaseServerOptions {
  std::string id;
  std::string database;
  std::string vm;
  std::string data_centre;
  Endpoint statements;  ///< Port 0: chosen by the system.
  Endpoint control;     ///< Port 0: chosen by the system.
  std::size_t connection_cap = 20;
  Duration open_delay = std::chrono::milliseconds(12);
  Duration replication_lag{};
  std::map<std::string, Endpoint> peers;  ///< Control ports of the group's other servers.
};

/// Serves one BackendModel over HTTP as described in docs/backend-interface.md.
///
/// One mutex guards the model and the members below it. Lock order: this mutex, then those of the
/// HTTP servers and of the gate. Destroy it after EventLoop::Join.
class DatabaseServer {
 public:
  DatabaseServer(EventLoop& loop, DatabaseServerOptions options);

  /// Starts both ports and the replication. Returns an error, or nothing.
  std::optional<std::string> Start();

  std::uint16_t StatementPort() const { return this->statement_port; }
  std::uint16_t ControlPort() const { return this->control_port; }
  HttpServer& Statements() { return *this->statements; }
  HttpServer& Control() { return *this->control; }

 private:
  using Handler = void (DatabaseServer::*)(const HttpRequest&, const HttpRespond&);
  struct TcpConnection {
    bool opening = false;
    std::optional<BackendModel::ConnectionId> database_connection;
  };

  void OnStatementRequest(const HttpRequest& request, const HttpRespond& respond);
  void OnControlRequest(const HttpRequest& request, const HttpRespond& respond);
  void OnClosed(std::uint64_t connection_id);

  void Open(const HttpRequest& request, const HttpRespond& respond);
  void FinishOpen(std::uint64_t connection_id, const HttpRespond& respond);
  void Execute(const HttpRequest& request, const HttpRespond& respond);
  void RunRequest(std::uint64_t connection_id, const BackendRequest& request,
                  const HttpRespond& respond);
  void Answer(std::uint64_t connection_id, const BackendReply& reply, const HttpRespond& respond);

  void Status(const HttpRequest& request, const HttpRespond& respond);
  void Fence(const HttpRequest& request, const HttpRespond& respond);
  void Promote(const HttpRequest& request, const HttpRespond& respond);
  void Follow(const HttpRequest& request, const HttpRespond& respond);
  void Wait(const HttpRequest& request, const HttpRespond& respond);
  void ReadLog(const HttpRequest& request, const HttpRespond& respond);

  void TestLag(const HttpRequest& request, const HttpRespond& respond);
  void TestFreeze(const HttpRequest& request, const HttpRespond& respond);
  void TestCut(const HttpRequest& request, const HttpRespond& respond);
  void TestStatementDelay(const HttpRequest& request, const HttpRespond& respond);
  void TestLoseAnswers(const HttpRequest& request, const HttpRespond& respond);
  void TestPeers(const HttpRequest& request, const HttpRespond& respond);
  void TestValue(const HttpRequest& request, const HttpRespond& respond);
  void TestStats(const HttpRequest& request, const HttpRespond& respond);

  /// Calls `attempt` under the mutex, now and after every change, until it returns true. After
  /// `limit` it is called once more.
  void Await(Duration limit, std::function<bool()> attempt);
  /// Called with the mutex held after each change of the model.
  void OnChange();
  void RetryWaiters();

  void Pull(std::uint64_t generation);
  void SchedulePull(std::uint64_t generation);
  void OnLogPage(std::uint64_t generation, const std::string& primary, const LogRequest& request,
                 const HttpResult& result);

  EventLoop& loop;
  const DatabaseServerOptions options;
  TestGate gate;
  HttpClient client;
  std::unique_ptr<HttpServer> statements;
  std::unique_ptr<HttpServer> control;
  std::uint16_t statement_port = 0;
  std::uint16_t control_port = 0;

  std::mutex mutex;
  BackendModel model;
  RelayLog relay;
  std::map<std::uint64_t, TcpConnection> connections;
  std::map<std::string, Endpoint> peers;
  std::list<std::function<bool()>> waiters;  ///< Attempts of Await that have not returned true.
  /// Incremented when the followed primary or term changes, which ends the earlier pull loop.
  std::uint64_t pull_generation = 0;
  Duration statement_delay{};
  int answers_to_lose = 0;     ///< Answers that are still to be replaced by closing the connection.
  std::uint64_t executed = 0;  ///< Requests that the model has run.
  std::size_t peak_connections = 0;
};

}  // namespace sycamoredrum
