#include "backend_connections.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace sycamoredrum {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpServiceUnavailable = 503;

HttpRequest MakePost(const char* target, std::string body) {
  HttpRequest request;
  request.method = "POST";
  request.target = target;
  request.body = std::move(body);
  return request;
}

}  // namespace

BackendConnections::BackendConnections(EventLoop& loop, HttpClientOptions options)
    : loop(loop), options(std::move(options)) {}

void BackendConnections::Open(const Endpoint& statements, const std::string& database,
                              Duration timeout, OpenCallback callback) {
  auto connection = std::make_shared<HttpConnection>(this->loop, this->options, statements);
  const TimePoint deadline = this->loop.Now() + timeout;
  connection->Connect(timeout, [this, connection, database, deadline,
                                callback = std::move(callback)](const HttpResult& result) {
    if (!result.Ok()) {
      callback(OpenResult{OpenStatus::kUnreachable, 0});
      return;
    }
    this->SendOpen(connection, database, deadline - this->loop.Now(), callback);
  });
}

void BackendConnections::SendOpen(const ConnectionPtr& connection, const std::string& database,
                                  Duration timeout, OpenCallback callback) {
  const std::string body = nlohmann::json({{"database", database}}).dump();
  connection->Send(
      MakePost("/v1/open", body), timeout,
      [this, connection, callback = std::move(callback)](const HttpResult& result) {
        if (result.Ok() && result.response.status == kHttpOk) {
          callback(OpenResult{OpenStatus::kOpened, this->Add(connection)});
          return;
        }
        const bool refused = result.Ok() && result.response.status == kHttpServiceUnavailable;
        connection->Close();
        callback(OpenResult{refused ? OpenStatus::kRefused : OpenStatus::kUnreachable, 0});
      });
}

void BackendConnections::Execute(ConnectionId connection_id, const BackendRequest& request,
                                 Duration timeout, ReplyCallback callback) {
  const ConnectionPtr connection = this->Find(connection_id);
  if (connection == nullptr) {
    this->loop.Post([callback = std::move(callback)] { callback(std::nullopt); });
    return;
  }
  connection->Send(MakePost("/v1/execute", ToJson(request)), timeout,
                   [connection, callback = std::move(callback)](const HttpResult& result) {
                     // A refusal has a status code other than 200, but the same body format.
                     callback(result.Ok() ? ParseBackendReply(result.response.body) : std::nullopt);
                   });
}

void BackendConnections::Close(ConnectionId connection_id) {
  ConnectionPtr connection;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    auto node = this->connections.extract(connection_id);
    if (!node.empty()) {
      connection = std::move(node.mapped());
    }
  }
  if (connection != nullptr) {
    connection->Close();
  }
}

ConnectionId BackendConnections::Add(ConnectionPtr connection) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const ConnectionId id = this->next_connection++;
  this->connections.emplace(id, std::move(connection));
  return id;
}

BackendConnections::ConnectionPtr BackendConnections::Find(ConnectionId connection_id) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->connections.find(connection_id);
  return found == this->connections.end() ? nullptr : found->second;
}

}  // namespace sycamoredrum
