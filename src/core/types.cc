#include "sycamoredrum/types.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <arpa/inet.h>

#include <algorithm>

namespace sycamoredrum {
namespace {

bool IsIpAddress(const std::string& text) {
  in6_addr address{};
  if (text.find('\0') != std::string::npos) {
    return false;
  }
  return inet_pton(AF_INET, text.c_str(), &address) == 1 ||
         inet_pton(AF_INET6, text.c_str(), &address) == 1;
}

}  // namespace

std::optional<Endpoint> Endpoint::Parse(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  std::string_view host = text.substr(0, colon);
  if (host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  } else if (host.find(':') != std::string_view::npos) {
    return std::nullopt;
  }
  unsigned port = 0;
  const std::string_view port_text = text.substr(colon + 1);
  const bool digits = std::all_of(port_text.begin(), port_text.end(), absl::ascii_isdigit);
  if (!IsIpAddress(std::string(host)) || !digits ||
      !absl::SimpleAtoi(std::string(port_text), &port) || port == 0 || port > 65535) {
    return std::nullopt;
  }
  return Endpoint{std::string(host), static_cast<std::uint16_t>(port)};
}

std::string Endpoint::ToString() const {
  if (this->host.find(':') != std::string::npos) {
    return absl::StrCat("[", this->host, "]:", this->port);
  }
  return absl::StrCat(this->host, ":", this->port);
}

std::string LogPosition::ToString() const { return absl::StrCat(this->term, "/", this->index); }

std::uint64_t TermHistory::TermAt(std::uint64_t index) const {
  std::uint64_t term = 0;
  for (const TermStart& start : this->starts) {
    if (start.first_index > index) {
      break;
    }
    term = start.term;
  }
  return term;
}

bool TermHistory::Contains(const LogPosition& position, std::uint64_t last_index) const {
  if (position.index == 0) {
    return true;
  }
  return position.index <= last_index && this->TermAt(position.index) == position.term;
}

bool TermHistory::Excludes(const LogPosition& position, std::uint64_t last_index) const {
  // Entries of lower terms than the position's may still be truncated and replaced.
  if (position.index == 0 || this->starts.empty() || this->starts.back().term < position.term) {
    return false;
  }
  if (position.index <= last_index) {
    return this->TermAt(position.index) != position.term;
  }
  return this->starts.back().term > position.term;
}

TermHistory TermHistory::WithTerm(std::uint64_t term, std::uint64_t first_index) const {
  std::vector<TermStart> extended = this->starts;
  if (extended.empty() || extended.back().term < term) {
    extended.push_back(TermStart{term, first_index});
  }
  return TermHistory(std::move(extended));
}

TermHistory TermHistory::TruncatedTo(std::uint64_t last_index) const {
  std::vector<TermStart> kept;
  std::copy_if(this->starts.begin(), this->starts.end(), std::back_inserter(kept),
               [&](const TermStart& start) { return start.first_index <= last_index; });
  return TermHistory(std::move(kept));
}

std::string_view ToString(Outcome outcome) {
  switch (outcome) {
    case Outcome::kResult:
      return "result";
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kUnknown:
      return "unknown";
    case Outcome::kFailed:
      return "failed";
  }
  return "unknown";
}

std::optional<Outcome> ParseOutcome(std::string_view text) {
  for (const Outcome outcome :
       {Outcome::kResult, Outcome::kNotRun, Outcome::kUnknown, Outcome::kFailed}) {
    if (ToString(outcome) == text) {
      return outcome;
    }
  }
  return std::nullopt;
}

}  // namespace sycamoredrum
