#pragma once

#include <boost/program_options.hpp>
#include <optional>
#include <string>
#include <vector>

#include "sycamoredrum/finding.h"
#include "sycamoredrum/types.h"

namespace sycamoredrum {

/// Flags and positional arguments of one subcommand. Problems are printed to standard error, each
/// with its place.
class CommandLine {
 public:
  /// The help prints `usage` after "Usage: sycamoredrum ", then `description`, one paragraph.
  CommandLine(std::string usage, std::string description);

  /// Adds a flag with a value that may be given once.
  CommandLine& AddText(const char* flag, const char* help);
  /// Adds a flag with a value that may be given several times.
  CommandLine& AddRepeatedText(const char* flag, const char* help);
  /// Adds a flag without a value.
  CommandLine& AddSwitch(const char* flag, const char* help);

  /// Parses the arguments. Returns an exit code if the command must end, because the help was
  /// printed or the arguments are invalid, and nothing otherwise.
  std::optional<int> Parse(const std::vector<std::string>& arguments);

  const std::vector<std::string>& PositionalArguments() const { return this->positional_arguments; }
  bool Has(const std::string& flag) const { return this->values.count(flag) != 0; }
  /// Value of a flag, or an empty string if it is not given.
  std::string Text(const std::string& flag) const;

  /// Address from a flag or, if it is not given, from its SYCAMOREDRUM_ environment variable. Adds
  /// a finding if there is none, more than one, or an invalid one.
  Endpoint Address(const std::string& flag, Findings& findings) const;
  /// Like Address, for one or more addresses in repeated flags or separated by commas.
  std::vector<Endpoint> Addresses(const std::string& flag, Findings& findings) const;

  /// Value of a flag. Adds a finding if it is missing or empty.
  std::string RequiredText(const std::string& flag, Findings& findings) const;

  /// Prints findings and the usage to standard error and returns kExitUsage.
  int ReportUsage(const Findings& findings) const;

 private:
  /// The values given for a flag, and the flag or environment variable that they come from.
  struct Source {
    std::string place;
    std::vector<std::string> texts;
  };

  Source FindSource(const std::string& flag) const;
  void PrintHelp() const;

  std::string usage;
  std::string description;
  boost::program_options::options_description flags;
  boost::program_options::variables_map values;
  std::vector<std::string> positional_arguments;
};

}  // namespace sycamoredrum
