#include "sycamoredrum/log.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <cstdio>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace sycamoredrum {
namespace {

// A pipe that poll() reports as writable accepts PIPE_BUF bytes without blocking.
constexpr std::size_t kMaxLineBytes = PIPE_BUF - 1;

std::string Timestamp() {
  return absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", absl::Now(), absl::UTCTimeZone());
}

// True unless the value consists of printable ASCII characters that have no meaning in a line.
bool NeedsQuotes(std::string_view value) {
  constexpr std::string_view kSpecial = "=\"\\";
  return value.empty() || std::any_of(value.begin(), value.end(), [&](char character) {
           return absl::ascii_isgraph(static_cast<unsigned char>(character)) == 0 ||
                  kSpecial.find(character) != std::string_view::npos;
         });
}

std::string Quoted(const std::string& value) {
  return NeedsQuotes(value)
             ? nlohmann::json(value).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace)
             : value;
}

std::string TextLine(LogLevel level, std::string_view event, const std::vector<LogField>& fields) {
  std::string line = fmt::format("time={} level={} event={}", Timestamp(), ToString(level), event);
  for (const LogField& field : fields) {
    fmt::format_to(std::back_inserter(line), " {}={}", field.key, Quoted(field.value));
  }
  return line;
}

std::string JsonLine(LogLevel level, std::string_view event, const std::vector<LogField>& fields) {
  nlohmann::ordered_json json;
  json["time"] = Timestamp();
  json["level"] = std::string(ToString(level));
  json["event"] = std::string(event);
  for (const LogField& field : fields) {
    json[field.key] = field.value;
  }
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

std::string_view ToString(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "info";
}

std::optional<LogLevel> ParseLogLevel(std::string_view text) {
  for (const LogLevel level :
       {LogLevel::kDebug, LogLevel::kInfo, LogLevel::kWarning, LogLevel::kError}) {
    if (ToString(level) == text) {
      return level;
    }
  }
  return std::nullopt;
}

std::string LogMilliseconds(Duration duration) {
  return absl::StrCat(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

Logger::Logger(LogLevel minimum, LogFormat format, const Clock& clock, Sink sink)
    : minimum(minimum), format(format), clock(clock), sink(std::move(sink)) {}

Logger::Sink Logger::StandardError() {
  return [](const std::string& line) { fmt::print(stderr, "{}\n", line); };
}

Logger::Sink Logger::StandardOutput() {
  return [dropped = std::make_shared<std::uint64_t>(0)](const std::string& line) {
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    if (poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) {
      ++*dropped;
      return;
    }
    std::string text = line;
    if (const std::uint64_t lost = std::exchange(*dropped, 0); lost > 0) {
      text += absl::StrCat(" dropped_lines=", lost);
    }
    text.resize(std::min(text.size(), kMaxLineBytes));
    text += '\n';
    if (write(STDOUT_FILENO, text.data(), text.size()) < 0) {
      ++*dropped;
    }
  };
}

void Logger::Debug(std::string_view event, std::vector<LogField> fields) {
  this->Write(LogLevel::kDebug, event, std::move(fields));
}

void Logger::Info(std::string_view event, std::vector<LogField> fields) {
  this->Write(LogLevel::kInfo, event, std::move(fields));
}

void Logger::Warning(std::string_view event, std::vector<LogField> fields) {
  this->Write(LogLevel::kWarning, event, std::move(fields));
}

void Logger::Error(std::string_view event, std::vector<LogField> fields) {
  this->Write(LogLevel::kError, event, std::move(fields));
}

bool Logger::Admit(std::string_view event, std::uint64_t& suppressed) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  EventRate& rate = this->rates[std::string(event)];
  const TimePoint now = this->clock.Now();
  if (now - rate.second_started >= std::chrono::seconds(1)) {
    rate.second_started = now;
    rate.lines = 0;
  }
  if (rate.lines >= kMaxLinesPerSecond) {
    ++rate.suppressed;
    return false;
  }
  ++rate.lines;
  suppressed = std::exchange(rate.suppressed, 0);
  return true;
}

void Logger::Write(LogLevel level, std::string_view event, std::vector<LogField> fields) {
  std::uint64_t suppressed = 0;
  if (level < this->minimum || !this->Admit(event, suppressed)) {
    return;
  }
  if (suppressed > 0) {
    fields.push_back(LogField{"suppressed", absl::StrCat(suppressed)});
  }
  this->sink(this->format == LogFormat::kJson ? JsonLine(level, event, fields)
                                              : TextLine(level, event, fields));
}

}  // namespace sycamoredrum
