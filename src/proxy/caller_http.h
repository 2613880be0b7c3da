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

/// Limits of the interface for callers.
inline constexpr std::size_t kMaxRequestIdBytes = 128;
inline constexpr std::size_t kMaxStatements = 1024;

/// Name and value of a session cookie in a request.
struct SessionCookie {
  std::string name;
  std::string value;
};

/// A caller's parsed HTTP request, before authorisation. Its caller group is not set.
struct CallerCall {
  CallerRequest request;
  std::string bearer_token;
  std::vector<SessionCookie> cookies;  ///< Session cookies that the request carried.
};

/// Times from the arrival of a request to its deadline: the default for requests without a deadline
/// header, and the upper limit for the others.
struct DeadlineRule {
  Duration default_deadline;
  Duration max_deadline;
};

/// The transaction id that callers receive: the id at the holder, the backend server and the
/// database, separated by '~'.
struct TransactionHandle {
  std::string transaction;  ///< Id at the holder, "<member>.<random>".
  std::string backend_server;
  std::string database;

  std::string ToString() const;
  /// Returns nothing if `text` does not have three parts, or one is empty.
  static std::optional<TransactionHandle> Parse(std::string_view text);
};

/// Parses a caller's request as described in docs/callers.md. Adds every problem to `findings`,
/// with the header or the field as its place, and returns nothing if `findings` is not empty. A
/// session cookie that cannot be decoded counts as SessionToken::AllUncertain(); a session header
/// that cannot be decoded is a problem.
std::optional<CallerCall> ReadCallerCall(const HttpRequest& http, SessionTokenCodec codec,
                                         const DeadlineRule& rule, TimePoint now,
                                         Findings& findings);

/// True if the path belongs to the interface for callers.
bool IsCallerPath(std::string_view path);

/// Formats the answer to a caller. If the session changed, it sets a cookie with the name
/// `new_cookie` and expires `call.cookies`, which that cookie replaces.
HttpResponse WriteCallerAnswer(const CallerCall& call, const RequestAnswer& answer,
                               const SessionTokenCodec& codec, const std::string& new_cookie,
                               const std::string& trace_id);

/// Formats the answer to a request that was refused before it reached the executor.
HttpResponse WriteRefusal(Reason reason, const std::string& message, Duration retry_after,
                          const std::string& trace_id);

}  // namespace sycamoredrum
