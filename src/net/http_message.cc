#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>

#include <algorithm>

#include "http_syntax.h"

namespace sycamoredrum {
namespace {

// Needed because Debian builds Abseil with its own string_view type instead of std::string_view.
absl::string_view ToAbslView(std::string_view text) { return {text.data(), text.size()}; }

// Decodes %XX, and "+" as a space. Invalid escapes are kept unchanged.
std::string PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool escape = text[i] == '%' && i + 2 < text.size() &&
                        absl::ascii_isxdigit(text[i + 1]) && absl::ascii_isxdigit(text[i + 2]);
    if (escape) {
      decoded += absl::HexStringToBytes(ToAbslView(text.substr(i + 1, 2)));
      i += 2;
    } else {
      decoded += text[i] == '+' ? ' ' : text[i];
    }
  }
  return decoded;
}

bool IsToken(std::string_view text) {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](unsigned char c) {
    return absl::ascii_isalnum(c) || kMarks.find(static_cast<char>(c)) != std::string_view::npos;
  });
}

}  // namespace

bool AreHeaders(const HttpHeaders& headers) {
  return std::all_of(headers.begin(), headers.end(), [](const HttpHeader& header) {
    const bool one_line =
        std::none_of(header.value.begin(), header.value.end(),
                     [](unsigned char c) { return absl::ascii_iscntrl(c) && c != '\t'; });
    return one_line && IsToken(header.name);
  });
}

bool IsSingleMessage(const HttpRequest& request) {
  const bool target =
      !request.target.empty() &&
      std::none_of(request.target.begin(), request.target.end(),
                   [](unsigned char c) { return absl::ascii_iscntrl(c) || c == ' '; });
  return target && IsToken(request.method) && AreHeaders(request.headers);
}

std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (absl::EqualsIgnoreCase(header.name, ToAbslView(name))) {
      return header.value;
    }
  }
  return "";
}

std::vector<std::string_view> FindHeaders(const HttpHeaders& headers, std::string_view name) {
  std::vector<std::string_view> values;
  for (const HttpHeader& header : headers) {
    if (absl::EqualsIgnoreCase(header.name, ToAbslView(name))) {
      values.emplace_back(header.value);
    }
  }
  return values;
}

std::string_view HttpRequest::Path() const {
  const std::string_view text = this->target;
  return text.substr(0, text.find('?'));
}

std::optional<std::string> HttpRequest::QueryParameter(std::string_view name) const {
  const std::string_view text = this->target;
  const std::size_t query = text.find('?');
  if (query == std::string_view::npos) {
    return std::nullopt;
  }
  const std::vector<std::string> parts = absl::StrSplit(ToAbslView(text.substr(query + 1)), '&');
  for (const std::string& part : parts) {
    const std::size_t equals = part.find('=');
    if (part.substr(0, equals) == name) {
      return equals == std::string::npos ? "" : PercentDecode(part.substr(equals + 1));
    }
  }
  return std::nullopt;
}

std::string PercentEncode(std::string_view text) {
  constexpr std::string_view kUnreserved = "-._~";
  std::string encoded;
  for (const char c : text) {
    if (absl::ascii_isalnum(static_cast<unsigned char>(c)) ||
        kUnreserved.find(c) != std::string_view::npos) {
      encoded += c;
    } else {
      encoded += "%" + absl::BytesToHexString(absl::string_view(&c, 1));
    }
  }
  return encoded;
}

}  // namespace sycamoredrum
