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

/// Description of a setting, for help texts and docs/operators/settings.md.
struct SettingInfo {
  const char* flag;           ///< Without the leading dashes.
  const char* default_value;  ///< Empty if the setting is required or optional without a default.
  const char* help;

  /// Name of the environment variable: "SYCAMOREDRUM_" and the flag in upper case with underscores.
  std::string EnvironmentVariable() const;
};

/// Reads an environment variable; returns nothing if it is not set.
using EnvironmentReader = std::function<std::optional<std::string>(const std::string& name)>;

/// Returns a reader of this process's environment.
EnvironmentReader ProcessEnvironment();

/// The unparsed value of a setting, and its source as shown in findings.
struct RawSetting {
  std::string text;
  std::string place;
};

/// Unparsed values by flag.
using RawSettings = std::map<std::string, RawSetting>;

/// Returns the values of all settings of `table`. In order of precedence, they come from flags,
/// environment variables, the lines "flag = value" of `file`, and the defaults. Adds a finding for
/// each unknown or repeated flag and for lines of the file that cannot be read.
RawSettings CollectSettings(const std::vector<SettingInfo>& table,
                            const std::vector<std::string>& arguments,
                            const EnvironmentReader& environment,
                            const std::optional<std::string>& file, Findings& findings);

/// Returns the help text for `table`, several lines.
std::string DescribeSettings(const std::vector<SettingInfo>& table);

/// Parses the values of settings. If a value is invalid, the method adds a finding with the value's
/// place and returns a fallback, so that the other settings can be checked as well.
class SettingReader {
 public:
  SettingReader(RawSettings values, Findings& findings);

  /// Value of a required setting. Adds a finding if it is empty.
  std::string Text(const std::string& flag);
  /// Like Text. Adds a finding if the value has a control character.
  std::string Name(const std::string& flag);
  /// Value of a setting that may be empty.
  std::string OptionalText(const std::string& flag) { return this->values[flag].text; }
  Endpoint Address(const std::string& flag);
  /// Addresses separated by commas; may be empty.
  std::vector<Endpoint> Addresses(const std::string& flag);
  Duration Time(const std::string& flag, Duration minimum, Duration maximum);
  double Number(const std::string& flag, double minimum, double maximum);
  /// Size in bytes, from a text such as "64KiB".
  std::size_t Size(const std::string& flag, std::size_t minimum, std::size_t maximum);

  /// The element of `choices` that the value names.
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

  /// Adds a finding for each listener that has the address of an earlier one. Addresses with port 0
  /// are not compared.
  void RequireDistinct(const std::vector<std::pair<std::string, Endpoint>>& listeners);
  /// Adds a finding if `text`, the value of the setting, is not empty and shorter than `min_bytes`.
  void RequireMinimumBytes(const std::string& flag, const std::string& text, std::size_t min_bytes);

  /// Adds a finding with the place of the setting's value.
  void Add(const std::string& flag, const std::string& reason);

 private:
  Endpoint ParseAddress(const std::string& flag, const std::string& text);

  RawSettings values;
  Findings& findings;
};

}  // namespace sycamoredrum
