#include "caller_http.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;

constexpr char kSessionHeader[] = "Sycamoredrum-Session";
constexpr char kDeadlineHeader[] = "Sycamoredrum-Deadline-Ms";
constexpr char kUnconfirmedHeader[] = "Sycamoredrum-Unconfirmed";
constexpr char kCookiePrefix[] = "sd-";
constexpr char kHandleSeparator = '~';

bool IsPrintable(const std::string& text) {
  return std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return absl::ascii_isgraph(c); });
}

void ReadPath(std::string_view path, CallerCall& call, Findings& findings) {
  const std::vector<std::string> parts = absl::StrSplit(std::string(path), '/');
  // The parts are "", "v1", "databases" or "transactions", a name, and an action.
  if (parts.size() != 5) {
    findings.Add("path", "is not known");
    return;
  }
  CallerRequest& request = call.request;
  if (parts[2] == "databases") {
    request.database = parts[3];
    request.step = parts[4] == "transactions" ? TransactionStep::kBegin : TransactionStep::kSingle;
    if (parts[4] != "transactions" && parts[4] != "execute") {
      findings.Add("path", "must end with /execute or /transactions");
    }
    return;
  }
  const std::optional<TransactionHandle> handle = TransactionHandle::Parse(parts[3]);
  if (!handle) {
    findings.Add("path", "\"" + parts[3] + "\" is not a transaction id");
    return;
  }
  request.transaction = handle->transaction;
  request.backend_server = handle->backend_server;
  request.database = handle->database;
  if (parts[4] == "execute") {
    request.step = TransactionStep::kContinue;
  } else if (parts[4] == "commit") {
    request.step = TransactionStep::kCommit;
  } else if (parts[4] == "rollback") {
    request.step = TransactionStep::kRollback;
  } else {
    findings.Add("path", "must end with /execute, /commit or /rollback");
  }
}

void ReadFlag(const nlohmann::json& body, const char* name, bool& flag, Findings& findings) {
  const auto found = body.find(name);
  if (found == body.end()) {
    return;
  }
  if (!found->is_boolean()) {
    findings.Add(name, "must be true or false");
    return;
  }
  flag = found->get<bool>();
}

void ReadStatements(const nlohmann::json& body, CallerRequest& request, Findings& findings) {
  const auto found = body.find("statements");
  const bool required = request.step == TransactionStep::kSingle;
  if (found == body.end()) {
    if (required) {
      findings.Add("statements", "is required");
    }
    return;
  }
  if (!found->is_array() || found->size() > kMaxStatements || (required && found->empty())) {
    findings.Add("statements", absl::StrCat("must be a list of 1 to ", kMaxStatements, " texts"));
    return;
  }
  for (std::size_t i = 0; i < found->size(); ++i) {
    if (!found->at(i).is_string()) {
      findings.Add(absl::StrCat("statements[", i, "]"), "must be a text");
      continue;
    }
    request.statements.push_back(found->at(i).get<std::string>());
  }
}

void ReadBody(const std::string& text, CallerRequest& request, Findings& findings) {
  const bool may_be_empty = request.step != TransactionStep::kSingle;
  if (text.empty() && may_be_empty) {
    return;
  }
  const nlohmann::json body = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!body.is_object()) {
    findings.Add("body", "must be a JSON object");
    return;
  }
  for (const auto& entry : body.items()) {
    if (entry.key() != "statements" && entry.key() != "read_only" && entry.key() != "idempotent") {
      findings.Add(entry.key(), "is not a known field");
    }
  }
  ReadStatements(body, request, findings);
  ReadFlag(body, "read_only", request.read_only, findings);
  ReadFlag(body, "idempotent", request.idempotent, findings);
}

void ReadDeadline(const HttpRequest& http, const DeadlineRule& rule, CallerRequest& request,
                  Findings& findings) {
  const std::string text(FindHeader(http.headers, kDeadlineHeader));
  Duration limit = rule.default_deadline;
  if (!text.empty()) {
    std::int64_t count = 0;
    if (!absl::SimpleAtoi(text, &count) || count < 1) {
      findings.Add(kDeadlineHeader, "must be a number of milliseconds from 1 on");
      return;
    }
    const auto max_count = std::chrono::duration_cast<milliseconds>(rule.max_deadline).count();
    limit = milliseconds(std::min<std::int64_t>(count, max_count));
  }
  request.deadline = request.arrival + limit;
}

void ReadRequestId(const HttpRequest& http, CallerRequest& request, Findings& findings) {
  request.request_id = std::string(FindHeader(http.headers, "Idempotency-Key"));
  if (request.request_id.size() > kMaxRequestIdBytes || !IsPrintable(request.request_id)) {
    findings.Add("Idempotency-Key",
                 absl::StrCat("must be 1 to ", kMaxRequestIdBytes, " printable characters"));
  }
}

void ReadHeaderTokens(const HttpRequest& http, SessionTokenCodec& codec, CallerRequest& request,
                      Findings& findings) {
  for (const std::string_view header : FindHeaders(http.headers, kSessionHeader)) {
    const std::vector<std::string> texts = absl::StrSplit(std::string(header), ',');
    for (const std::string& text : texts) {
      const auto token = codec.Decode(std::string(absl::StripAsciiWhitespace(text)));
      if (!token) {
        findings.Add(kSessionHeader, codec.LastReason());
        continue;
      }
      request.session = request.session ? SessionToken::Merge(*request.session, *token) : *token;
    }
  }
}

void ReadCookieTokens(const HttpRequest& http, SessionTokenCodec& codec, CallerCall& call) {
  for (const std::string_view header : FindHeaders(http.headers, "Cookie")) {
    const std::vector<std::string> pairs = absl::StrSplit(std::string(header), ';');
    for (const std::string& pair : pairs) {
      const std::string trimmed(absl::StripAsciiWhitespace(pair));
      const std::size_t equals = trimmed.find('=');
      if (!absl::StartsWith(trimmed, kCookiePrefix) || equals == std::string::npos) {
        continue;
      }
      SessionCookie cookie{trimmed.substr(0, equals), trimmed.substr(equals + 1)};
      const SessionToken token = codec.Decode(cookie.value).value_or(SessionToken::AllUncertain());
      CallerRequest& request = call.request;
      request.session = request.session ? SessionToken::Merge(*request.session, token) : token;
      call.cookies.push_back(std::move(cookie));
    }
  }
}

int StatusOf(Reason reason) {
  switch (reason) {
    case Reason::kBadRequest:
      return 400;
    case Reason::kUnauthorized:
      return 401;
    case Reason::kForbidden:
      return 403;
    case Reason::kUnknownDatabase:
    case Reason::kNoTransaction:
      return 404;
    case Reason::kRequestIdReused:
    case Reason::kSessionPositionLost:
      return 409;
    case Reason::kTooLarge:
      return 413;
    case Reason::kTooManyRequests:
    case Reason::kQueueFull:
      return 429;
    default:
      return 503;
  }
}

int StatusOf(const ExecuteAnswer& answer) {
  switch (answer.outcome) {
    case Outcome::kResult:
      return 200;
    case Outcome::kUnknown:
      return 504;
    case Outcome::kFailed:
      return 422;
    case Outcome::kNotRun:
      return StatusOf(answer.reason);
  }
  return 500;
}

void AddRetryAfter(Duration retry_after, nlohmann::json& body, HttpResponse& response) {
  if (retry_after <= Duration::zero()) {
    return;
  }
  const auto count = std::chrono::duration_cast<milliseconds>(retry_after).count();
  body["retry_after_ms"] = count;
  // The header has whole seconds, rounded up so that no caller retries too early.
  response.headers.push_back(HttpHeader{"Retry-After", absl::StrCat((count + 999) / 1000)});
}

void AddCookies(const CallerCall& call, const std::string& token, const std::string& new_cookie,
                HttpResponse& response) {
  if (call.cookies.size() == 1 && call.cookies[0].value == token) {
    return;
  }
  response.headers.push_back(
      HttpHeader{"Set-Cookie", new_cookie + "=" + token + "; Path=/; HttpOnly; SameSite=Lax"});
  for (const SessionCookie& cookie : call.cookies) {
    response.headers.push_back(HttpHeader{"Set-Cookie", cookie.name + "=; Path=/; Max-Age=0"});
  }
}

}  // namespace

std::string TransactionHandle::ToString() const {
  return this->transaction + kHandleSeparator + this->backend_server + kHandleSeparator +
         this->database;
}

std::optional<TransactionHandle> TransactionHandle::Parse(std::string_view text) {
  const std::vector<std::string> parts = absl::StrSplit(std::string(text), kHandleSeparator);
  if (parts.size() != 3 || parts[0].empty() || parts[1].empty() || parts[2].empty()) {
    return std::nullopt;
  }
  return TransactionHandle{parts[0], parts[1], parts[2]};
}

bool IsCallerPath(std::string_view path) {
  const std::string text(path);
  return absl::StartsWith(text, "/v1/databases/") || absl::StartsWith(text, "/v1/transactions/");
}

std::optional<CallerCall> ReadCallerCall(const HttpRequest& http, SessionTokenCodec codec,
                                         const DeadlineRule& rule, TimePoint now,
                                         Findings& findings) {
  CallerCall call;
  call.request.arrival = now;
  call.request.deadline = now + rule.default_deadline;
  if (http.method != "POST") {
    findings.Add("method", "must be POST");
  }
  ReadPath(http.Path(), call, findings);
  ReadBody(http.body, call.request, findings);
  ReadDeadline(http, rule, call.request, findings);
  ReadRequestId(http, call.request, findings);
  ReadHeaderTokens(http, codec, call.request, findings);
  ReadCookieTokens(http, codec, call);
  call.request.unconfirmed = FindHeader(http.headers, kUnconfirmedHeader) == "1";
  call.request.trace_parent = std::string(FindHeader(http.headers, "traceparent"));
  const std::string authorization(FindHeader(http.headers, "Authorization"));
  if (absl::StartsWithIgnoreCase(authorization, "Bearer ")) {
    call.bearer_token = authorization.substr(sizeof("Bearer ") - 1);
  }
  if (!findings.Empty()) {
    return std::nullopt;
  }
  return call;
}

HttpResponse WriteCallerAnswer(const CallerCall& call, const RequestAnswer& result,
                               const SessionTokenCodec& codec, const std::string& new_cookie,
                               const std::string& trace_id) {
  const ExecuteAnswer& answer = result.answer;
  const std::string token = codec.Encode(result.session);
  nlohmann::json body = {
      {"outcome", ToString(answer.outcome)}, {"session", token}, {"trace", trace_id}};
  HttpResponse response;
  response.status = StatusOf(answer);
  if (answer.outcome == Outcome::kResult) {
    body["results"] = answer.results;
  } else {
    body["reason"] = ToString(answer.reason);
    body["message"] = answer.message;
  }
  if (!result.request_id.empty()) {
    body["request_id"] = result.request_id;
  }
  if (!answer.backend_server.empty()) {
    body["served_by"] = answer.backend_server;
  }
  if (!answer.transaction.empty()) {
    body["transaction"] =
        TransactionHandle{answer.transaction, answer.backend_server, call.request.database}
            .ToString();
  }
  AddRetryAfter(answer.retry_after, body, response);
  AddCookies(call, token, new_cookie, response);
  response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

HttpResponse WriteRefusal(Reason reason, const std::string& message, Duration retry_after,
                          const std::string& trace_id) {
  nlohmann::json body = {{"outcome", ToString(Outcome::kNotRun)},
                         {"reason", ToString(reason)},
                         {"message", message},
                         {"trace", trace_id}};
  HttpResponse response;
  response.status = StatusOf(reason);
  AddRetryAfter(retry_after, body, response);
  response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

}  // namespace sycamoredrum
