#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "sycamoredrum/clock.h"

namespace sycamoredrum {

enum class LogLevel { kDebug, kInfo, kWarning, kError };
enum class LogFormat { kText, kJson };

std::string_view ToString(LogLevel level);
std::optional<LogLevel> ParseLogLevel(std::string_view text);

/// One key=value pair of a log line.
struct LogField {
  std::string key;
  std::string value;
};

/// Whole milliseconds of a duration, as the text of a log field.
std::string LogMilliseconds(Duration duration);

/// Writes one structured line for each change of state. Thread-safe. Lines of one event are limited
/// to kMaxLinesPerSecond; the next line that passes says how many were suppressed.
class Logger {
 public:
  /// Receives a whole line without the line end.
  using Sink = std::function<void(const std::string& line)>;

  static constexpr int kMaxLinesPerSecond = 20;

  Logger(LogLevel minimum, LogFormat format, const Clock& clock, Sink sink);

  void Debug(std::string_view event, std::vector<LogField> fields = {});
  void Info(std::string_view event, std::vector<LogField> fields = {});
  void Warning(std::string_view event, std::vector<LogField> fields = {});
  void Error(std::string_view event, std::vector<LogField> fields = {});

  /// Sink that writes to standard error.
  static Sink StandardError();

  /// Sink that writes to standard output and never waits: a line for which a pipe has no room is
  /// dropped, and the next one that is written says how many were.
  static Sink StandardOutput();

 private:
  struct EventRate {
    TimePoint second_started;
    int lines = 0;
    std::uint64_t suppressed = 0;
  };

  void Write(LogLevel level, std::string_view event, std::vector<LogField> fields);
  bool Admit(std::string_view event, std::uint64_t& suppressed);

  const LogLevel minimum;
  const LogFormat format;
  const Clock& clock;
  const Sink sink;
  std::mutex mutex;  // Guards the members below.
  std::map<std::string, EventRate, std::less<>> rates;
};

}  // namespace sycamoredrum
