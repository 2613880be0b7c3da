#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "sycamoredrum/http.h"

namespace sycamoredrum {

inline HttpResponse JsonTextResponse(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

inline HttpResponse JsonResponse(int status, const nlohmann::json& body) {
  return JsonTextResponse(status, body.dump());
}

inline HttpResponse ErrorResponse(int status, const std::string& error,
                                  const std::string& message) {
  return JsonResponse(status, nlohmann::json{{"error", error}, {"message", message}});
}

/// Parses a request body; an empty body is an empty object. Throws nlohmann::json::exception.
inline nlohmann::json ParseBody(const HttpRequest& request) {
  return request.body.empty() ? nlohmann::json::object() : nlohmann::json::parse(request.body);
}

/// Reads a number of milliseconds from a field of `json`, or returns zero.
inline Duration Milliseconds(const nlohmann::json& json, const char* field) {
  return std::chrono::milliseconds(json.value(field, std::int64_t{0}));
}

}  // namespace sycamoredrum
