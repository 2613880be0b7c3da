#include "database_server.h"

#include <algorithm>
#include <utility>

#include "json_response.h"

namespace sycamoredrum {
namespace {

// Statement connections may stay idle in connection pools for any time.
HttpServerLimits StatementLimits() {
  HttpServerLimits limits;
  limits.idle_timeout = Duration::zero();
  return limits;
}

// Log pages can be large, and a freeze may hold back an answer for long.
HttpClientOptions PullOptions(const DatabaseServerOptions& options) {
  HttpClientOptions client;
  client.local_host = options.control.host;
  client.max_response_bytes = std::size_t{64} * 1024 * 1024;
  return client;
}

}  // namespace

DatabaseServer::DatabaseServer(EventLoop& loop, DatabaseServerOptions server_options)
    : loop(loop),
      options(std::move(server_options)),
      client(loop, PullOptions(this->options)),
      model(this->options.id, this->options.database, this->options.connection_cap, loop),
      relay(this->model, loop, this->options.replication_lag),
      peers(this->options.peers) {
  HttpServerHooks statement_hooks;
  statement_hooks.handle = [this](const HttpRequest& request, const HttpRespond& respond) {
    this->OnStatementRequest(request, respond);
  };
  statement_hooks.admit = [this](const Endpoint& remote) {
    return !this->gate.Refuses(remote.host);
  };
  statement_hooks.closed = [this](std::uint64_t id) { this->OnClosed(id); };
  this->statements =
      std::make_unique<HttpServer>(loop, StatementLimits(), std::move(statement_hooks));

  HttpServerHooks control_hooks;
  control_hooks.handle = [this](const HttpRequest& request, const HttpRespond& respond) {
    this->OnControlRequest(request, respond);
  };
  this->control = std::make_unique<HttpServer>(loop, HttpServerLimits{}, std::move(control_hooks));
}

std::optional<std::string> DatabaseServer::Start() {
  const auto statement_listener = this->statements->Listen(this->options.statements);
  if (!statement_listener) {
    return this->statements->LastReason();
  }
  const auto control_listener = this->control->Listen(this->options.control);
  if (!control_listener) {
    return this->control->LastReason();
  }
  this->statement_port = *statement_listener;
  this->control_port = *control_listener;
  this->Pull(0);
  return std::nullopt;
}

void DatabaseServer::OnStatementRequest(const HttpRequest& request, const HttpRespond& respond) {
  const std::string host = request.remote.host;
  const HttpRespond gated = [this, host, respond](const HttpResponse& response) {
    this->gate.Run(host, [respond, response] { respond(response); });
  };
  this->gate.Run(host, [this, request, gated] {
    if (request.method == "POST" && request.Path() == "/v1/open") {
      this->Open(request, gated);
    } else if (request.method == "POST" && request.Path() == "/v1/execute") {
      this->Execute(request, gated);
    } else {
      gated(ErrorResponse(404, "not_found", "no such call on the statement port"));
    }
  });
}

void DatabaseServer::OnClosed(std::uint64_t connection_id) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->connections.find(connection_id);
  if (found == this->connections.end()) {
    return;
  }
  if (found->second.database_connection) {
    this->model.Close(*found->second.database_connection);
  }
  this->connections.erase(found);
}

void DatabaseServer::Open(const HttpRequest& request, const HttpRespond& respond) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    TcpConnection& connection = this->connections[request.connection_id];
    if (connection.opening || connection.database_connection) {
      respond(ErrorResponse(409, "already_open", "the connection was opened before"));
      return;
    }
    connection.opening = true;
  }
  const std::uint64_t id = request.connection_id;
  const std::string host = request.remote.host;
  this->loop.RunAfter(this->options.open_delay, [this, id, host, respond] {
    this->gate.Run(host, [this, id, respond] { this->FinishOpen(id, respond); });
  });
}

void DatabaseServer::FinishOpen(std::uint64_t connection_id, const HttpRespond& respond) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->connections.find(connection_id);
  if (found == this->connections.end()) {
    return;
  }
  found->second.opening = false;
  found->second.database_connection = this->model.Open();
  if (!found->second.database_connection) {
    HttpResponse refusal =
        ErrorResponse(503, "too_many_connections", "the connection cap is reached");
    refusal.close = true;
    respond(std::move(refusal));
    return;
  }
  this->peak_connections = std::max(this->peak_connections, this->model.OpenConnections());
  respond(JsonResponse(200, nlohmann::json::object()));
}

void DatabaseServer::Execute(const HttpRequest& request, const HttpRespond& respond) {
  const std::optional<BackendRequest> parsed = ParseBackendRequest(request.body);
  if (!parsed) {
    BackendReply reply;
    reply.error = BackendError::kBadRequest;
    reply.message = "the body is not an execute message";
    respond(JsonTextResponse(400, ToJson(reply)));
    return;
  }
  Duration delay{};
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->connections.find(request.connection_id);
    if (found == this->connections.end() || !found->second.database_connection) {
      HttpResponse refusal = ErrorResponse(409, "not_open", "the connection was not opened");
      refusal.close = true;
      respond(std::move(refusal));
      return;
    }
    delay = this->statement_delay;
  }
  const std::uint64_t id = request.connection_id;
  if (delay <= Duration::zero()) {
    this->RunRequest(id, *parsed, respond);
    return;
  }
  const std::string host = request.remote.host;
  this->loop.RunAfter(delay, [this, id, host, parsed = *parsed, respond] {
    this->gate.Run(host, [this, id, parsed, respond] { this->RunRequest(id, parsed, respond); });
  });
}

void DatabaseServer::RunRequest(std::uint64_t connection_id, const BackendRequest& request,
                                const HttpRespond& respond) {
  const TimePoint deadline = this->loop.Now() + request.wait;
  this->Await(request.wait, [this, connection_id, request, respond, deadline] {
    const auto found = this->connections.find(connection_id);
    if (found == this->connections.end() || !found->second.database_connection) {
      return true;
    }
    const BackendServerStatus status = this->model.Status();
    const bool decided = status.Contains(request.require) ||
                         status.history.Excludes(request.require, status.last_index);
    if (!decided && this->loop.Now() < deadline) {
      return false;
    }
    const BackendReply reply = this->model.Execute(*found->second.database_connection, request);
    this->Answer(connection_id, reply, respond);
    return true;
  });
}

void DatabaseServer::Answer(std::uint64_t connection_id, const BackendReply& reply,
                            const HttpRespond& respond) {
  ++this->executed;
  if (this->answers_to_lose > 0) {
    --this->answers_to_lose;
    this->statements->CloseConnection(connection_id);
  } else {
    respond(JsonTextResponse(reply.error == BackendError::kNone ? 200 : 409, ToJson(reply)));
  }
  this->OnChange();
}

void DatabaseServer::Await(Duration limit, std::function<bool()> attempt) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (attempt()) {
      return;
    }
    this->waiters.push_back(std::move(attempt));
  }
  this->loop.RunAfter(limit, [this] {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->RetryWaiters();
  });
}

void DatabaseServer::OnChange() {
  // Waiters are retried in a separate callback, because a waiter may itself change the model.
  if (!this->waiters.empty()) {
    this->loop.Post([this] {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->RetryWaiters();
    });
  }
  for (auto& [id, connection] : this->connections) {
    const bool truncated =
        connection.database_connection && !this->model.IsOpen(*connection.database_connection);
    if (truncated) {
      connection.database_connection.reset();
      this->statements->CloseConnection(id);
    }
  }
}

void DatabaseServer::RetryWaiters() {
  for (auto waiter = this->waiters.begin(); waiter != this->waiters.end();) {
    waiter = (*waiter)() ? this->waiters.erase(waiter) : std::next(waiter);
  }
}

}  // namespace sycamoredrum
