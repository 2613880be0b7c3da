#include "sycamoredrum/platform_http.h"

#include <absl/strings/str_cat.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace sycamoredrum {
namespace {

using nlohmann::json;

constexpr Duration kCallTimeout = std::chrono::seconds(2);
// Added to the time for which the platform may hold a watch, to allow for the round trip.
constexpr Duration kWatchAllowance = std::chrono::seconds(2);

constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;
constexpr int kHttpConflict = 409;

std::string_view ToText(PlatformStatus status) {
  switch (status) {
    case PlatformStatus::kOk:
      return "ok";
    case PlatformStatus::kConflict:
      return "conflict";
    case PlatformStatus::kNotFound:
      return "not_found";
    case PlatformStatus::kUnavailable:
      return "unavailable";
    case PlatformStatus::kUnknown:
      return "unknown";
  }
  return "unknown";
}

PlatformStatus StatusOf(const HttpResult& result) {
  if (result.error == HttpError::kNotSent) {
    return PlatformStatus::kUnavailable;
  }
  if (result.error == HttpError::kMaybeReceived) {
    return PlatformStatus::kUnknown;
  }
  switch (result.response.status) {
    case kHttpOk:
      return PlatformStatus::kOk;
    case kHttpNotFound:
      return PlatformStatus::kNotFound;
    case kHttpConflict:
      return PlatformStatus::kConflict;
    default:
      // The platform returns other statuses only for calls that had no effect.
      return PlatformStatus::kUnavailable;
  }
}

KeyValue DecodeItem(const json& item) {
  return KeyValue{item.at("key").get<std::string>(), item.at("value").get<std::string>(),
                  item.at("revision").get<std::uint64_t>()};
}

std::vector<KeyValue> DecodeItems(const json& body) {
  std::vector<KeyValue> items;
  for (const json& item : body.at("items")) {
    items.push_back(DecodeItem(item));
  }
  return items;
}

VmList DecodeVms(const json& body) {
  VmList list;
  list.revision = body.at("revision").get<std::uint64_t>();
  for (const json& item : body.at("vms")) {
    VmRecord vm;
    vm.id = item.at("id").get<std::string>();
    vm.host = item.at("host").get<std::string>();
    vm.data_centre = item.at("data_centre").get<std::string>();
    vm.entry = item.at("entry").get<bool>();
    vm.leaving = item.at("leaving").get<bool>();
    list.vms.push_back(std::move(vm));
  }
  return list;
}

class PlatformHttp {
 public:
  PlatformHttp(HttpClient& client, Endpoint platform, PlatformCallCounter counter)
      : client(client), platform(std::move(platform)), counter(std::move(counter)) {}

  // Sends a request and decodes the body of a successful response with `decode`. A malformed body
  // counts as a lost response.
  template <typename Value>
  void Call(const char* kind, HttpRequest request, Duration timeout, Value (*decode)(const json&),
            std::function<void(PlatformStatus, Value)> done) {
    this->client.Call(
        this->platform, request, timeout,
        [kind, decode, done = std::move(done), counter = this->counter](const HttpResult& result) {
          PlatformStatus status = StatusOf(result);
          Value value{};
          if (status == PlatformStatus::kOk) {
            try {
              value = decode(json::parse(result.response.body));
            } catch (const json::exception&) {
              status = PlatformStatus::kUnknown;
            }
          }
          counter(kind, std::string(ToText(status)));
          done(status, std::move(value));
        });
  }

 private:
  HttpClient& client;
  Endpoint platform;
  PlatformCallCounter counter;
};

HttpRequest Get(std::string target) {
  HttpRequest request;
  request.target = std::move(target);
  return request;
}

}  // namespace

PlatformClient MakePlatformClient(HttpClient& client, const Endpoint& platform,
                                  PlatformCallCounter counter) {
  const auto http = std::make_shared<PlatformHttp>(client, platform, std::move(counter));
  PlatformClient platform_client;
  platform_client.get = [http](const std::string& key, PlatformClient::GetCallback callback) {
    http->Call<KeyValue>("get", Get("/v1/kv?key=" + PercentEncode(key)), kCallTimeout, DecodeItem,
                         [callback = std::move(callback)](PlatformStatus status, KeyValue item) {
                           if (status == PlatformStatus::kOk) {
                             callback(status, std::move(item));
                           } else {
                             callback(status, std::nullopt);
                           }
                         });
  };
  platform_client.put = [http](const std::string& key, const std::string& value,
                               std::uint64_t expected_revision,
                               PlatformClient::PutCallback callback) {
    HttpRequest request = Get(
        absl::StrCat("/v1/kv?key=", PercentEncode(key), "&expected_revision=", expected_revision));
    request.method = "PUT";
    request.body = value;
    http->Call<std::uint64_t>(
        "put", std::move(request), kCallTimeout,
        [](const json& body) { return body.at("revision").get<std::uint64_t>(); },
        std::move(callback));
  };
  platform_client.list = [http](const std::string& prefix, const std::string& after, int limit,
                                PlatformClient::ListCallback callback) {
    const std::string target = absl::StrCat("/v1/list?prefix=", PercentEncode(prefix),
                                            "&after=", PercentEncode(after), "&limit=", limit);
    http->Call<std::vector<KeyValue>>("list", Get(target), kCallTimeout, DecodeItems,
                                      std::move(callback));
  };
  platform_client.watch = [http](const std::string& prefix, std::uint64_t after_revision,
                                 Duration timeout, PlatformClient::ListCallback callback) {
    const auto timeout_ms = std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
    const std::string target =
        absl::StrCat("/v1/watch?prefix=", PercentEncode(prefix), "&after_revision=", after_revision,
                     "&timeout_ms=", timeout_ms);
    http->Call<std::vector<KeyValue>>("watch", Get(target), timeout + kWatchAllowance, DecodeItems,
                                      std::move(callback));
  };
  platform_client.list_vms = [http](PlatformClient::VmListCallback callback) {
    http->Call<VmList>("vms", Get("/v1/vms"), kCallTimeout, DecodeVms, std::move(callback));
  };
  return platform_client;
}

}  // namespace sycamoredrum
