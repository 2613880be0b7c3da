#include <algorithm>
#include <map>
#include <utility>

#include "database_server.h"
#include "json_response.h"
#include "log_codec.h"
#include "test_switches.h"

namespace sycamoredrum {
namespace {

// Delay before the next log request if the primary is unknown or unreachable, or the call failed.
constexpr std::chrono::milliseconds kPullRetryDelay{10};
// How long a primary without new entries holds a log request before it sends an empty page.
// Replicas measure the silence of the primary from its last page, so this must stay well below the
// time after which watchers suspect a silent primary.
constexpr std::chrono::milliseconds kLogWait{50};
constexpr std::chrono::milliseconds kPullTimeout{500};
constexpr std::chrono::milliseconds kMaxLogWait{1000};

std::string CallName(const HttpRequest& request) {
  return request.method + " " + std::string(request.Path());
}

}  // namespace

void DatabaseServer::OnControlRequest(const HttpRequest& request, const HttpRespond& respond) {
  static const std::map<std::string, Handler> calls = {
      {"GET /v1/status", &DatabaseServer::Status},
      {"POST /v1/fence", &DatabaseServer::Fence},
      {"POST /v1/promote", &DatabaseServer::Promote},
      {"POST /v1/follow", &DatabaseServer::Follow},
      {"POST /v1/wait", &DatabaseServer::Wait},
      {"GET /v1/log", &DatabaseServer::ReadLog},
      {"POST /test/lag", &DatabaseServer::TestLag},
      {"POST /test/freeze", &DatabaseServer::TestFreeze},
      {"POST /test/cut", &DatabaseServer::TestCut},
      {"POST /test/statement-delay", &DatabaseServer::TestStatementDelay},
      {"POST /test/lose-answers", &DatabaseServer::TestLoseAnswers},
      {"POST /test/peers", &DatabaseServer::TestPeers},
      {"GET /test/value", &DatabaseServer::TestValue},
      {"GET /test/stats", &DatabaseServer::TestStats},
  };
  const auto call = calls.find(CallName(request));
  if (call == calls.end()) {
    respond(ErrorResponse(404, "not_found", "no such call on the control port"));
    return;
  }
  const Handler handler = call->second;
  const auto run = [this, handler, request](const HttpRespond& answer) {
    try {
      (this->*handler)(request, answer);
    } catch (const nlohmann::json::exception& error) {
      answer(ErrorResponse(400, "bad_request", error.what()));
    }
  };
  if (request.Path().substr(0, 6) == "/test/") {
    run(respond);
    return;
  }
  const std::string host = request.remote.host;
  if (this->gate.Refuses(host)) {
    this->control->CloseConnection(request.connection_id);
    return;
  }
  const HttpRespond gated = [this, host, respond](const HttpResponse& response) {
    this->gate.Run(host, [respond, response] { respond(response); });
  };
  this->gate.Run(host, [run, gated] { run(gated); });
}

void DatabaseServer::Status(const HttpRequest&, const HttpRespond& respond) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  respond(JsonTextResponse(200, ToJson(this->model.Status())));
}

void DatabaseServer::Fence(const HttpRequest& request, const HttpRespond& respond) {
  const nlohmann::json body = ParseBody(request);
  const auto term = body.at("term").get<std::uint64_t>();
  const auto proposer = body.at("proposer").get<std::string>();
  const std::lock_guard<std::mutex> lock(this->mutex);
  respond(JsonTextResponse(200, ToJson(this->model.Fence(term, proposer))));
  this->OnChange();
}

void DatabaseServer::Promote(const HttpRequest& request, const HttpRespond& respond) {
  const nlohmann::json body = ParseBody(request);
  const auto term = body.at("term").get<std::uint64_t>();
  const auto proposer = body.at("proposer").get<std::string>();
  const std::lock_guard<std::mutex> lock(this->mutex);
  respond(JsonTextResponse(200, ToJson(this->model.Promote(term, proposer))));
  this->OnChange();
}

void DatabaseServer::Follow(const HttpRequest& request, const HttpRespond& respond) {
  const nlohmann::json body = ParseBody(request);
  const auto term = body.at("term").get<std::uint64_t>();
  const auto primary = body.at("primary").get<std::string>();
  const std::lock_guard<std::mutex> lock(this->mutex);
  const BackendServerStatus before = this->model.Status();
  const BackendServerStatus after = this->model.Follow(term, primary);
  respond(JsonTextResponse(200, ToJson(after)));
  this->OnChange();
  if (before.follows != after.follows || before.term != after.term) {
    const std::uint64_t generation = ++this->pull_generation;
    this->loop.Post([this, generation] { this->Pull(generation); });
  }
}

void DatabaseServer::Wait(const HttpRequest& request, const HttpRespond& respond) {
  const nlohmann::json body = ParseBody(request);
  const LogPosition position{body.at("position").at("term").get<std::uint64_t>(),
                             body.at("position").at("index").get<std::uint64_t>()};
  const Duration limit = Milliseconds(body, "timeout_ms");
  const TimePoint deadline = this->loop.Now() + limit;
  this->Await(limit, [this, position, deadline, respond] {
    const BackendServerStatus status = this->model.Status();
    std::string outcome = "timeout";
    if (status.Contains(position)) {
      outcome = "contained";
    } else if (status.history.Excludes(position, status.last_index)) {
      outcome = "not_in_history";
    } else if (this->loop.Now() < deadline) {
      return false;
    }
    const nlohmann::json answer = {{"outcome", outcome}, {"promised_term", status.promised_term}};
    respond(JsonResponse(200, answer));
    return true;
  });
}

void DatabaseServer::ReadLog(const HttpRequest& request, const HttpRespond& respond) {
  const std::optional<LogRequest> parsed = ParseLogTarget(request);
  if (!parsed) {
    respond(ErrorResponse(400, "bad_request", "a parameter is missing or malformed"));
    return;
  }
  const std::string wait_text = request.QueryParameter("wait_ms").value_or("0");
  const std::chrono::milliseconds requested_wait(std::strtol(wait_text.c_str(), nullptr, 10));
  const auto wait = std::clamp(requested_wait, std::chrono::milliseconds(0), kMaxLogWait);
  const TimePoint deadline = this->loop.Now() + wait;
  this->Await(wait, [this, parsed = *parsed, deadline, respond] {
    const LogPage page = this->model.ReadLog(parsed);
    const bool changed = !page.entries.empty() || page.common_index != parsed.last_index;
    if (page.served && !changed && this->loop.Now() < deadline) {
      return false;
    }
    respond(JsonTextResponse(200, ToJson(page)));
    return true;
  });
}

void DatabaseServer::TestLag(const HttpRequest& request, const HttpRespond& respond) {
  const Duration lag = Milliseconds(ParseBody(request), "ms");
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->relay.SetLag(lag);
  this->relay.ApplyDue();
  this->OnChange();
  respond(JsonResponse(200, nlohmann::json::object()));
}

void DatabaseServer::TestFreeze(const HttpRequest& request, const HttpRespond& respond) {
  ApplyFreeze(ParseBody(request), this->gate, this->loop);
  respond(JsonResponse(200, nlohmann::json::object()));
}

void DatabaseServer::TestCut(const HttpRequest& request, const HttpRespond& respond) {
  ApplyCut(ParseBody(request), this->gate, this->statements.get());
  respond(JsonResponse(200, nlohmann::json::object()));
}

void DatabaseServer::TestStatementDelay(const HttpRequest& request, const HttpRespond& respond) {
  const Duration delay = Milliseconds(ParseBody(request), "ms");
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->statement_delay = delay;
  respond(JsonResponse(200, nlohmann::json::object()));
}

void DatabaseServer::TestLoseAnswers(const HttpRequest& request, const HttpRespond& respond) {
  const int count = ParseBody(request).at("count").get<int>();
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->answers_to_lose = count;
  respond(JsonResponse(200, nlohmann::json::object()));
}

void DatabaseServer::TestPeers(const HttpRequest& request, const HttpRespond& respond) {
  const auto texts = ParseBody(request).get<std::map<std::string, std::string>>();
  const std::lock_guard<std::mutex> lock(this->mutex);
  for (const auto& [id, text] : texts) {
    const std::optional<Endpoint> endpoint = Endpoint::Parse(text);
    if (!endpoint) {
      respond(ErrorResponse(400, "bad_request", "\"" + text + "\" is not IP:PORT"));
      return;
    }
    this->peers[id] = *endpoint;
  }
  respond(JsonResponse(200, nlohmann::json::object()));
}

void DatabaseServer::TestValue(const HttpRequest& request, const HttpRespond& respond) {
  const std::string key = request.QueryParameter("key").value_or("");
  const std::lock_guard<std::mutex> lock(this->mutex);
  const std::optional<std::string> value = this->model.Get(key);
  if (!value) {
    respond(ErrorResponse(404, "not_found", "the key has no value"));
    return;
  }
  respond(JsonResponse(200, nlohmann::json{{"value", *value}}));
}

void DatabaseServer::TestStats(const HttpRequest&, const HttpRespond& respond) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const nlohmann::json stats = {{"vm", this->options.vm},
                                {"data_centre", this->options.data_centre},
                                {"open_connections", this->model.OpenConnections()},
                                {"peak_connections", this->peak_connections},
                                {"executed", this->executed}};
  respond(JsonResponse(200, stats));
}

void DatabaseServer::Pull(std::uint64_t generation) {
  BackendServerStatus status;
  Endpoint target;
  LogRequest request;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (generation != this->pull_generation) {
      return;
    }
    status = this->model.Status();
    const auto peer = this->peers.find(status.follows);
    // A fenced replica accepts no entries of the term that it follows.
    if (peer != this->peers.end() && status.promised_term == status.term) {
      target = peer->second;
    }
    this->relay.ApplyDue();
    this->OnChange();
    request = this->relay.NextRequest();
  }
  if (target.port == 0 || this->gate.Blocks(target.host)) {
    this->SchedulePull(generation);
    return;
  }
  HttpRequest message;
  message.target = LogTarget(request, kLogWait);
  this->client.Call(
      target, message, kPullTimeout,
      [this, generation, primary = status.follows, request](const HttpResult& result) {
        this->OnLogPage(generation, primary, request, result);
      });
}

void DatabaseServer::SchedulePull(std::uint64_t generation) {
  this->loop.RunAfter(kPullRetryDelay, [this, generation] { this->Pull(generation); });
}

void DatabaseServer::OnLogPage(std::uint64_t generation, const std::string& primary,
                               const LogRequest& request, const HttpResult& result) {
  const std::optional<LogPage> page = result.Ok() && result.response.status == 200
                                          ? ParseLogPage(result.response.body)
                                          : std::nullopt;
  if (!page || !page->served || this->gate.Frozen()) {
    this->SchedulePull(generation);
    return;
  }
  Duration lag{};
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->relay.Receive(primary, request, *page);
    this->OnChange();
    lag = this->relay.Lag();
  }
  if (lag > Duration::zero() && !page->entries.empty()) {
    this->loop.RunAfter(lag, [this] {
      const std::lock_guard<std::mutex> lock(this->mutex);
      if (!this->gate.Frozen()) {
        this->relay.ApplyDue();
        this->OnChange();
      }
    });
  }
  this->Pull(generation);
}

}  // namespace sycamoredrum
