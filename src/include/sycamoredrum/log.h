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

/// Formats a duration as whole milliseconds for a log field.
std::string LogMilliseconds(Duration duration);

/// Writes structured log lines, one per change of state. Thread-safe. Each event is limited to
/// kMaxLinesPerSecond lines; its next line that is written reports the number of suppressed ones.
class Logger {
 public:
  /// Receives a complete line without the line terminator.
  using Sink = std::function<void(const std::string& line)>;

  static constexpr int kMaxLinesPerSecond = 20;

  Logger(LogLevel minimum, LogFormat format, const Clock& clock, Sink sink);

  void Debug(std::string_view event, std::vector<LogField> fields = {});
  void Info(std::string_view event, std::vector<LogField> fields = {});
  void Warning(std::string_view event, std::vector<LogField> fields = {});
  void Error(std::string_view event, std::vector<LogField> fields = {});

  /// Sink that writes to standard error.
  static Sink StandardError();

  /// Sink that writes to standard output without blocking. A line is dropped if the pipe is full;
  /// the next line that is written reports the number of dropped ones in `dropped_lines`.
  static Sink StandardOutput();

 private:
  struct EventRate {
    TimePoint second_started;
    int lines = 0;
    std::uint64_t suppressed = 0;
  };

  void Write(LogLevel level, std::string_view event, std::vector<LogField> fields);
  /// Returns false if the event has reached its limit. Otherwise sets `suppressed` to the number of
  /// lines dropped since the last one that was written.
  bool Admit(std::string_view event, std::uint64_t& suppressed);

  const LogLevel minimum;
  const LogFormat format;
  const Clock& clock;
  const Sink sink;
  std::mutex mutex;  ///< Guards `rates`.
  std::map<std::string, EventRate, std::less<>> rates;
};

}  // namespace sycamoredrum
