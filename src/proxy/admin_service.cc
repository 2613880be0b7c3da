#include "admin_service.h"

#include <sys/resource.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "sycamoredrum/ticket.h"

namespace sycamoredrum {
namespace {

using nlohmann::json;

// Time to the deadline that /v1/route assumes for a request.
constexpr Duration kRouteRemaining = std::chrono::seconds(2);

HttpResponse JsonResponse(int status, const json& body) {
  HttpResponse response;
  response.status = status;
  response.body = body.dump();
  return response;
}

std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

json DescribeServer(const BackendServerView& server, TimePoint now) {
  json text = {{"backend_server", server.id}, {"reachable", server.reachable}};
  if (server.status) {
    text["role"] = server.status->role == Role::kPrimary ? "primary" : "replica";
    text["term"] = server.status->term;
    text["promised_term"] = server.status->promised_term;
    text["last_index"] = server.status->last_index;
    text["observed_ms_ago"] = ToMilliseconds(now - server.observed_at);
  }
  return text;
}

json DescribeDatabase(const std::string& name, const DatabaseViewPtr& view, TimePoint now) {
  json text = {{"database", name}, {"backend_servers", json::array()}};
  if (view == nullptr) {
    return text;
  }
  text["primary"] = view->primary;
  text["term"] = view->term;
  if (view->proof) {
    text["proof_age_ms"] = ToMilliseconds(now - view->proof->proven_at);
  }
  for (const BackendServerView& server : view->backend_servers) {
    text["backend_servers"].push_back(DescribeServer(server, now));
  }
  return text;
}

double ProcessorSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  constexpr double kMicrosecond = 1e-6;
  return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         kMicrosecond * static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

}  // namespace

void AdminService::Handle(const HttpRequest& http, const HttpRespond& respond) {
  const std::string path(http.Path());
  if (path == "/healthz") {
    respond(JsonResponse(200, {{"healthy", true}}));
  } else if (path == "/readyz") {
    const bool ready = this->dependencies.ready();
    respond(JsonResponse(ready ? 200 : 503, {{"ready", ready}}));
  } else if (path == "/metrics") {
    respond(this->ExposeMetrics());
  } else if (path == "/v1/status") {
    respond(this->Status());
  } else if (path == "/v1/route") {
    respond(this->Route(http));
  } else if (path == "/v1/drain" && http.method == "POST") {
    respond(JsonResponse(202, {{"draining", true}}));
    this->dependencies.drain();
  } else {
    respond(JsonResponse(404, {{"message", "there is no " + http.method + " " + path}}));
  }
}

HttpResponse AdminService::ExposeMetrics() {
  Metrics& metrics = this->dependencies.metrics;
  const std::lock_guard<std::mutex> lock(this->scrape_mutex);
  this->dependencies.export_counters();
  metrics.RaiseTo(Metric::kControlCpuSeconds, {}, ProcessorSeconds());
  metrics.Set(Metric::kConcurrentRequests, {},
              static_cast<double>(this->dependencies.entry.InProgress()));
  HttpResponse response;
  response.headers.push_back(HttpHeader{"Content-Type", "text/plain; version=0.0.4"});
  response.body = metrics.Expose();
  return response;
}

HttpResponse AdminService::Status() {
  const TimePoint now = this->dependencies.loop.Now();
  const auto configuration = this->dependencies.configuration.Get();
  json members = json::array();
  const auto fleet = this->dependencies.fleet.Get();
  for (const Member& member : fleet->members) {
    members.push_back({{"member", member.id},
                       {"data_centre", member.data_centre},
                       {"state", ToString(member.state)},
                       {"peer_address", member.peer_link_endpoint.ToString()}});
  }
  json databases = json::array();
  for (const auto& entry : configuration->Databases()) {
    databases.push_back(
        DescribeDatabase(entry.first, this->dependencies.views.Get(entry.first), now));
  }
  return JsonResponse(200, {{"member", this->dependencies.settings.member_id},
                            {"data_centre", this->dependencies.settings.data_centre},
                            {"ready", this->dependencies.ready()},
                            {"configuration_number", configuration->Number()},
                            {"requests_in_progress", this->dependencies.entry.InProgress()},
                            {"members", members},
                            {"databases", databases},
                            {"pools", json::parse(this->dependencies.holders.DescribePools())}});
}

HttpResponse AdminService::Route(const HttpRequest& http) {
  const std::string group_name = http.QueryParameter("caller_group").value_or("");
  const std::string database_name = http.QueryParameter("database").value_or("");
  const auto configuration = this->dependencies.configuration.Get();
  const CallerGroupConfig* group = configuration->FindCallerGroup(group_name);
  const DatabaseConfig* database = configuration->FindDatabase(database_name);
  if (group == nullptr || database == nullptr) {
    return JsonResponse(
        404, {{"message", group == nullptr ? "there is no caller group \"" + group_name + "\""
                                           : "there is no database \"" + database_name + "\""}});
  }
  json text = {{"caller_group", group_name},
               {"database", database_name},
               {"may_reach", group->MayReach(database_name)},
               {"max_read_age", FormatDuration(group->max_read_age)}};
  const DatabaseViewPtr view = this->dependencies.views.Get(database_name);
  if (view == nullptr) {
    text["reason"] = "nothing is known of the database yet";
    return JsonResponse(200, text);
  }
  const auto fleet = this->dependencies.fleet.Get();
  RouteRequest request;
  request.require = view->proof ? view->proof->position : LogPosition();
  request.local_data_centre = this->dependencies.settings.data_centre;
  request.remaining = kRouteRemaining;
  const ReadRouter router(this->dependencies.loop, this->dependencies.random);
  const ReadRoute route =
      router.Route(*view, *database, FailureMemory(this->dependencies.loop), request);
  json reads = json::array();
  for (const ReadChoice& choice : route.choices) {
    const BackendServerConfig* server = database->FindBackendServer(choice.backend_server);
    reads.push_back({{"backend_server", choice.backend_server},
                     {"wait_ms", ToMilliseconds(choice.wait)},
                     {"holders", HoldersOf(*server, fleet->candidates)}});
  }
  text["require"] = request.require.ToString();
  text["reads"] = reads;
  text["primary_reason"] = ToString(route.primary_reason);
  text["writes"] = view->primary;
  return JsonResponse(200, text);
}

}  // namespace sycamoredrum
