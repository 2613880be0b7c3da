#include "platform_server.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <utility>

#include "json_response.h"
#include "test_switches.h"

namespace sycamoredrum {
namespace {

constexpr std::chrono::milliseconds kLeaseCheckInterval{20};
constexpr std::chrono::seconds kMaxWatchTime{60};
constexpr int kDefaultListItems = 100;

template <typename Number>
Number NumberParameter(const HttpRequest& request, const char* name, Number default_value) {
  Number value = default_value;
  const std::optional<std::string> text = request.QueryParameter(name);
  return text && absl::SimpleAtoi(*text, &value) ? value : default_value;
}

nlohmann::json ToJson(const KeyValue& item) {
  return {{"key", item.key}, {"value", item.value}, {"revision", item.revision}};
}

HttpResponse ItemsResponse(const std::vector<KeyValue>& items, std::uint64_t revision) {
  nlohmann::json list = nlohmann::json::array();
  for (const KeyValue& item : items) {
    list.push_back(ToJson(item));
  }
  return JsonResponse(200, nlohmann::json{{"items", list}, {"revision", revision}});
}

nlohmann::json ToJson(const VmRecord& vm) {
  return {{"id", vm.id},
          {"host", vm.host},
          {"data_centre", vm.data_centre},
          {"entry", vm.entry},
          {"leaving", vm.leaving}};
}

VmRecord VmFromJson(const nlohmann::json& json) {
  VmRecord vm;
  vm.id = json.at("id").get<std::string>();
  vm.host = json.at("host").get<std::string>();
  vm.data_centre = json.at("data_centre").get<std::string>();
  vm.entry = json.value("entry", false);
  vm.leaving = json.value("leaving", false);
  return vm;
}

HttpServerLimits Limits() {
  HttpServerLimits limits;
  limits.max_body_bytes = 2 * PlatformModel::kMaxValueBytes;
  return limits;
}

}  // namespace

PlatformServer::PlatformServer(EventLoop& loop) : loop(loop), model(loop) {
  HttpServerHooks hooks;
  hooks.handle = [this](const HttpRequest& request, const HttpRespond& respond) {
    this->OnRequest(request, respond);
  };
  this->server = std::make_unique<HttpServer>(loop, Limits(), std::move(hooks));
}

std::optional<std::string> PlatformServer::Start(const Endpoint& endpoint) {
  const auto listener = this->server->Listen(endpoint);
  if (!listener) {
    return this->server->LastReason();
  }
  this->port = *listener;
  this->ExpireLeases();
  return std::nullopt;
}

void PlatformServer::OnRequest(const HttpRequest& request, const HttpRespond& respond) {
  if (request.Path().substr(0, 6) == "/test/") {
    this->OnTestRequest(request, respond);
    return;
  }
  const std::string host = request.remote.host;
  if (this->gate.Refuses(host)) {
    this->server->CloseConnection(request.connection_id);
    return;
  }
  const HttpRespond gated = [this, host, respond](const HttpResponse& response) {
    this->gate.Run(host, [respond, response] { respond(response); });
  };
  Duration wait{};
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    wait = this->delay;
  }
  const auto serve = [this, host, request, gated] {
    this->gate.Run(host, [this, request, gated] { this->Serve(request, gated); });
  };
  if (wait > Duration::zero()) {
    this->loop.RunAfter(wait, serve);
  } else {
    serve();
  }
}

void PlatformServer::Serve(const HttpRequest& request, const HttpRespond& respond) {
  struct Call {
    const char* method;
    const char* path;
    const char* kind;
    Handler handler;
  };
  static const Call calls[] = {
      {"GET", "/v1/kv", "get", &PlatformServer::Get},
      {"PUT", "/v1/kv", "put", &PlatformServer::Put},
      {"GET", "/v1/list", "list", &PlatformServer::List},
      {"GET", "/v1/watch", "watch", &PlatformServer::Watch},
      {"POST", "/v1/leases", "lease", &PlatformServer::CreateLease},
      {"POST", "/v1/leases/renew", "lease", &PlatformServer::RenewLease},
      {"GET", "/v1/vms", "vms", &PlatformServer::Vms},
  };
  for (const Call& call : calls) {
    if (request.method != call.method || request.Path() != call.path) {
      continue;
    }
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      ++this->calls[call.kind];
      if (this->outage) {
        respond(ErrorResponse(503, "unavailable", "the service has an outage"));
        return;
      }
    }
    this->Run(call.handler, request, respond);
    return;
  }
  respond(ErrorResponse(404, "not_found", "no such call"));
}

void PlatformServer::OnTestRequest(const HttpRequest& request, const HttpRespond& respond) {
  static const std::map<std::string, Handler> switches = {
      {"/test/vms", &PlatformServer::TestVms},
      {"/test/calls", &PlatformServer::TestCalls},
      {"/test/outage", &PlatformServer::TestOutage},
      {"/test/freeze", &PlatformServer::TestFreeze},
      {"/test/cut", &PlatformServer::TestCut},
      {"/test/slow", &PlatformServer::TestSlow},
      {"/test/lose-answers", &PlatformServer::TestLoseAnswers},
  };
  const auto found = switches.find(std::string(request.Path()));
  if (found == switches.end()) {
    respond(ErrorResponse(404, "not_found", "no such switch"));
    return;
  }
  this->Run(found->second, request, respond);
}

void PlatformServer::Run(Handler handler, const HttpRequest& request, const HttpRespond& respond) {
  try {
    (this->*handler)(request, respond);
  } catch (const nlohmann::json::exception& error) {
    respond(ErrorResponse(400, "bad_request", error.what()));
  }
}

void PlatformServer::Get(const HttpRequest& request, const HttpRespond& respond) {
  const std::string key = request.QueryParameter("key").value_or("");
  const std::lock_guard<std::mutex> lock(this->mutex);
  const std::optional<KeyValue> found = this->model.Get(key);
  if (!found) {
    respond(ErrorResponse(404, "not_found", "the key does not exist"));
    return;
  }
  respond(JsonResponse(200, ToJson(*found)));
}

void PlatformServer::Put(const HttpRequest& request, const HttpRespond& respond) {
  const std::string key = request.QueryParameter("key").value_or("");
  const std::string lease = request.QueryParameter("lease").value_or("");
  std::uint64_t expected = 0;
  if (key.empty() ||
      !absl::SimpleAtoi(request.QueryParameter("expected_revision").value_or(""), &expected)) {
    respond(ErrorResponse(400, "bad_request", "key or expected_revision is missing"));
    return;
  }
  if (request.body.size() > PlatformModel::kMaxValueBytes) {
    respond(ErrorResponse(413, "too_large", "the value is larger than 1 MiB"));
    return;
  }
  const std::lock_guard<std::mutex> lock(this->mutex);
  const PlatformModel::PutResult result = this->model.Put(key, request.body, expected, lease);
  if (!result.written) {
    const char* error = result.lease_missing ? "lease_expired" : "conflict";
    respond(JsonResponse(409, nlohmann::json{{"error", error}, {"revision", result.revision}}));
    return;
  }
  this->RetryWatches();
  if (this->answers_to_lose > 0) {
    --this->answers_to_lose;
    this->server->CloseConnection(request.connection_id);
    return;
  }
  respond(JsonResponse(200, nlohmann::json{{"revision", result.revision}}));
}

void PlatformServer::List(const HttpRequest& request, const HttpRespond& respond) {
  const std::string prefix = request.QueryParameter("prefix").value_or("");
  const std::string after = request.QueryParameter("after").value_or("");
  const int limit = NumberParameter(request, "limit", kDefaultListItems);
  const std::lock_guard<std::mutex> lock(this->mutex);
  respond(ItemsResponse(this->model.List(prefix, after, limit), this->model.Revision()));
}

void PlatformServer::Watch(const HttpRequest& request, const HttpRespond& respond) {
  const std::string prefix = request.QueryParameter("prefix").value_or("");
  const auto after = NumberParameter<std::uint64_t>(request, "after_revision", 0);
  const Duration requested_wait =
      std::chrono::milliseconds(NumberParameter<std::int64_t>(request, "timeout_ms", 0));
  const Duration wait = std::min<Duration>(requested_wait, kMaxWatchTime);
  const TimePoint deadline = this->loop.Now() + wait;
  const auto attempt = [this, prefix, after, deadline, respond] {
    const std::vector<KeyValue> items = this->model.ChangedSince(prefix, after);
    if (items.empty() && this->loop.Now() < deadline) {
      return false;
    }
    respond(ItemsResponse(items, this->model.Revision()));
    return true;
  };
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (attempt()) {
      return;
    }
    this->watches.emplace_back(attempt);
  }
  this->loop.RunAfter(wait, [this] {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->RetryWatches();
  });
}

void PlatformServer::CreateLease(const HttpRequest& request, const HttpRespond& respond) {
  const Duration time_to_live =
      std::chrono::milliseconds(ParseBody(request).at("ttl_ms").get<std::int64_t>());
  const std::lock_guard<std::mutex> lock(this->mutex);
  respond(JsonResponse(200, nlohmann::json{{"lease", this->model.CreateLease(time_to_live)}}));
}

void PlatformServer::RenewLease(const HttpRequest& request, const HttpRespond& respond) {
  const auto lease = ParseBody(request).at("lease").get<std::string>();
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->model.ExpireLeases();
  if (!this->model.RenewLease(lease)) {
    respond(ErrorResponse(404, "lease_expired", "the lease does not exist or has expired"));
    return;
  }
  respond(JsonResponse(200, nlohmann::json::object()));
}

void PlatformServer::Vms(const HttpRequest&, const HttpRespond& respond) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  nlohmann::json list = nlohmann::json::array();
  for (const VmRecord& vm : this->vms.vms) {
    list.push_back(ToJson(vm));
  }
  respond(JsonResponse(200, nlohmann::json{{"revision", this->vms.revision}, {"vms", list}}));
}

void PlatformServer::TestVms(const HttpRequest& request, const HttpRespond& respond) {
  const nlohmann::json body = ParseBody(request);
  VmList list;
  list.revision = body.at("revision").get<std::uint64_t>();
  for (const nlohmann::json& vm : body.at("vms")) {
    list.vms.push_back(VmFromJson(vm));
  }
  const auto publish = [this, list] {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->vms = list;
  };
  const Duration lag = Milliseconds(body, "lag_ms");
  if (lag > Duration::zero()) {
    this->loop.RunAfter(lag, publish);
  } else {
    publish();
  }
  respond(JsonResponse(200, nlohmann::json::object()));
}

void PlatformServer::TestCalls(const HttpRequest&, const HttpRespond& respond) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  respond(JsonResponse(200, nlohmann::json(this->calls)));
}

void PlatformServer::TestOutage(const HttpRequest& request, const HttpRespond& respond) {
  const bool value = ParseBody(request).at("on").get<bool>();
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->outage = value;
  respond(JsonResponse(200, nlohmann::json::object()));
}

void PlatformServer::TestFreeze(const HttpRequest& request, const HttpRespond& respond) {
  ApplyFreeze(ParseBody(request), this->gate, this->loop);
  respond(JsonResponse(200, nlohmann::json::object()));
}

void PlatformServer::TestCut(const HttpRequest& request, const HttpRespond& respond) {
  // Closing the existing connections would include the one of this request. Instead, each later
  // request of a cut host has its connection closed.
  ApplyCut(ParseBody(request), this->gate, nullptr);
  respond(JsonResponse(200, nlohmann::json::object()));
}

void PlatformServer::TestSlow(const HttpRequest& request, const HttpRespond& respond) {
  const Duration value = Milliseconds(ParseBody(request), "ms");
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->delay = value;
  respond(JsonResponse(200, nlohmann::json::object()));
}

void PlatformServer::TestLoseAnswers(const HttpRequest& request, const HttpRespond& respond) {
  const int count = ParseBody(request).at("count").get<int>();
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->answers_to_lose = count;
  respond(JsonResponse(200, nlohmann::json::object()));
}

void PlatformServer::RetryWatches() {
  for (auto watch = this->watches.begin(); watch != this->watches.end();) {
    watch = (*watch)() ? this->watches.erase(watch) : std::next(watch);
  }
}

void PlatformServer::ExpireLeases() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->model.ExpireLeases();
  }
  this->loop.RunAfter(kLeaseCheckInterval, [this] { this->ExpireLeases(); });
}

}  // namespace sycamoredrum
