#pragma once

#include <boost/program_options.hpp>
#include <optional>
#include <string>
#include <vector>

#include "sycamoredrum/finding.h"
#include "sycamoredrum/types.h"

namespace sycamoredrum {

/// Flags and words of one subcommand. Problems go to standard error, each with its place.
class CommandLine {
 public:
  /// `usage` follows "Usage: sycamoredrum " in the help; `description` is one paragraph.
  CommandLine(std::string usage, std::string description);

  /// A flag with a text, which may be given once.
  CommandLine& AddText(const char* flag, const char* help);
  /// A flag with a text, which may be given several times.
  CommandLine& AddTexts(const char* flag, const char* help);
  /// A flag without a value.
  CommandLine& AddSwitch(const char* flag, const char* help);

  /// Parses the arguments. Returns the exit code if the command is finished, because help was
  /// printed or the arguments are invalid, and nothing if it can go on.
  std::optional<int> Parse(const std::vector<std::string>& arguments);

  const std::vector<std::string>& Words() const { return this->words; }
  bool Has(const std::string& flag) const { return this->values.count(flag) != 0; }
  /// Text of a flag, or an empty text.
  std::string Text(const std::string& flag) const;

  /// Address from a flag or, if it is not given, from its SYCAMOREDRUM_ environment variable.
  Endpoint Address(const std::string& flag, Findings& findings) const;
  /// The same for several addresses, in repeated flags or separated by commas; at least one.
  std::vector<Endpoint> Addresses(const std::string& flag, Findings& findings) const;

  /// Adds a finding if a required flag is missing or empty.
  std::string RequiredText(const std::string& flag, Findings& findings) const;

  /// Prints findings and the usage to standard error and returns kExitUsage.
  int ReportUsage(const Findings& findings) const;

 private:
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
  std::vector<std::string> words;
};

}  // namespace sycamoredrum
