#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/finding.h"
#include "sycamoredrum/http.h"
#include "sycamoredrum/request_executor.h"
#include "sycamoredrum/session_token.h"

namespace sycamoredrum {

/// Limits of the callers' interface.
inline constexpr std::size_t kMaxRequestIdBytes = 128;
inline constexpr std::size_t kMaxStatements = 1024;

/// Name and value of a session cookie that came with a request.
struct SessionCookie {
  std::string name;
  std::string value;
};

/// A caller's HTTP request, read but not yet authorised. The caller group is not set.
struct CallerCall {
  CallerRequest request;
  std::string bearer_token;
  std::vector<SessionCookie> cookies;  ///< Session cookies that the request carried.
};

/// Times that apply to requests that name no deadline, or a very long one.
struct DeadlineRule {
  Duration default_deadline;
  Duration max_deadline;
};

/// The database that an interactive transaction id given to callers belongs to, and its parts.
struct TransactionHandle {
  std::string transaction;  ///< Id at the holder, "<member>.<random>".
  std::string backend_server;
  std::string database;

  std::string ToString() const;
  static std::optional<TransactionHandle> Parse(std::string_view text);
};

/// Reads a caller's request as described in docs/callers.md. Adds every problem to `findings`, with
/// the header or the field as its place, and returns nothing if there is one. Cookies that cannot
/// be decoded make the session unproven; a header that cannot be decoded is a problem.
std::optional<CallerCall> ReadCallerCall(const HttpRequest& http, SessionTokenCodec codec,
                                         const DeadlineRule& rule, TimePoint now,
                                         Findings& findings);

/// True if the path belongs to the callers' interface.
bool IsCallerPath(std::string_view path);

/// Writes the answer to a caller. `new_cookie` names the cookie that replaces `call.cookies` if the
/// session changed.
HttpResponse WriteCallerAnswer(const CallerCall& call, const RequestAnswer& answer,
                               const SessionTokenCodec& codec, const std::string& new_cookie,
                               const std::string& trace_id);

/// Writes a refusal of a request that did not reach the executor.
HttpResponse WriteRefusal(Reason reason, const std::string& message, Duration retry_after,
                          const std::string& trace_id);

}  // namespace sycamoredrum
