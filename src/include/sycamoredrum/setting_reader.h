#pragma once

#include <fmt/format.h>

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sycamoredrum/clock.h"
#include "sycamoredrum/finding.h"
#include "sycamoredrum/types.h"

namespace sycamoredrum {

/// One setting, for help texts and docs/operators/settings.md.
struct SettingInfo {
  const char* flag;           ///< Without the leading dashes.
  const char* default_value;  ///< Empty: the setting is required or has no value by default.
  const char* help;

  /// "SYCAMOREDRUM_" and the flag in upper case with underscores.
  std::string EnvironmentVariable() const;
};

/// Reads an environment variable; returns nothing if it is not set.
using EnvironmentReader = std::function<std::optional<std::string>(const std::string& name)>;

/// Reads the process environment.
EnvironmentReader ProcessEnvironment();

/// A setting's text and where it came from.
struct RawSetting {
  std::string text;
  std::string place;
};

using RawSettings = std::map<std::string, RawSetting>;

/// Texts of all settings of `table`: flags go before environment variables, these before the lines
/// "flag = value" of `file`, and these before the defaults. Unknown flags and lines are findings.
RawSettings CollectSettings(const std::vector<SettingInfo>& table,
                            const std::vector<std::string>& arguments,
                            const EnvironmentReader& environment,
                            const std::optional<std::string>& file, Findings& findings);

/// Lines of a help text for `table`.
std::string DescribeSettings(const std::vector<SettingInfo>& table);

/// Converts the texts of settings. Problems are added to the findings with the place of the text,
/// and the method returns some valid value.
class SettingReader {
 public:
  SettingReader(RawSettings values, Findings& findings);

  /// Text of a required setting.
  std::string Text(const std::string& flag);
  /// Text of a setting that may be empty.
  std::string OptionalText(const std::string& flag) { return this->values[flag].text; }
  Endpoint Address(const std::string& flag);
  /// Addresses separated by commas; may be empty.
  std::vector<Endpoint> Addresses(const std::string& flag);
  Duration Time(const std::string& flag, Duration minimum, Duration maximum);
  double Number(const std::string& flag, double minimum, double maximum);
  /// Size in bytes of a text such as "64KiB".
  std::size_t Size(const std::string& flag, std::size_t minimum, std::size_t maximum);

  template <typename Value>
  Value Choice(const std::string& flag, const std::map<std::string, Value>& choices) {
    const std::string text = this->Text(flag);
    const auto found = choices.find(text);
    if (found != choices.end()) {
      return found->second;
    }
    std::string names;
    for (const auto& choice : choices) {
      names += (names.empty() ? "" : ", ") + choice.first;
    }
    this->Add(flag, fmt::format("\"{}\" is not one of {}", text, names));
    return choices.begin()->second;
  }

  /// Adds a finding for each listener that has the address of an earlier one.
  void RequireDistinct(const std::vector<std::pair<std::string, Endpoint>>& listeners);
  /// Adds a finding if the text of a setting that is given has fewer bytes.
  void RequireBytes(const std::string& flag, const std::string& text, std::size_t least);

  /// Adds a finding at the place of the setting.
  void Add(const std::string& flag, const std::string& reason);

 private:
  Endpoint ParseAddress(const std::string& flag, const std::string& text);

  RawSettings values;
  Findings& findings;
};

}  // namespace sycamoredrum
