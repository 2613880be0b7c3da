#include "command_line.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>
#include <sstream>
#include <utility>

#include "commands.h"

namespace sycamoredrum {
namespace {

namespace options = boost::program_options;

constexpr char kPositionalOption[] = "words";

std::string EnvironmentVariable(const std::string& flag) {
  return "SYCAMOREDRUM_" + absl::AsciiStrToUpper(absl::StrReplaceAll(flag, {{"-", "_"}}));
}

}  // namespace

CommandLine::CommandLine(std::string usage, std::string description)
    : usage(std::move(usage)), description(std::move(description)), flags("Flags") {}

CommandLine& CommandLine::AddText(const char* flag, const char* help) {
  this->flags.add_options()(flag, options::value<std::string>(), help);
  return *this;
}

CommandLine& CommandLine::AddRepeatedText(const char* flag, const char* help) {
  this->flags.add_options()(flag, options::value<std::vector<std::string>>(), help);
  return *this;
}

CommandLine& CommandLine::AddSwitch(const char* flag, const char* help) {
  this->flags.add_options()(flag, help);
  return *this;
}

std::optional<int> CommandLine::Parse(const std::vector<std::string>& arguments) {
  if (WantsHelp(arguments)) {
    this->PrintHelp();
    return kExitOk;
  }
  options::options_description all;
  all.add(this->flags).add_options()(kPositionalOption, options::value<std::vector<std::string>>());
  options::positional_options_description positions;
  positions.add(kPositionalOption, -1);
  const int style =
      options::command_line_style::unix_style & ~options::command_line_style::allow_guessing;
  try {
    options::store(options::command_line_parser(arguments)
                       .options(all)
                       .positional(positions)
                       .style(style)
                       .run(),
                   this->values);
  } catch (const options::error& error) {
    Findings findings;
    findings.Add("command line", error.what());
    return this->ReportUsage(findings);
  }
  if (this->Has(kPositionalOption)) {
    this->positional_arguments = this->values[kPositionalOption].as<std::vector<std::string>>();
  }
  return std::nullopt;
}

std::string CommandLine::Text(const std::string& flag) const {
  return this->Has(flag) ? this->values[flag].as<std::string>() : std::string();
}

std::string CommandLine::RequiredText(const std::string& flag, Findings& findings) const {
  std::string text = this->Text(flag);
  if (text.empty()) {
    findings.Add("--" + flag, "is required");
  }
  return text;
}

CommandLine::Source CommandLine::FindSource(const std::string& flag) const {
  if (this->Has(flag)) {
    const boost::any& value = this->values[flag].value();
    const auto* texts = boost::any_cast<std::vector<std::string>>(&value);
    return {"--" + flag, texts != nullptr ? *texts : std::vector<std::string>{this->Text(flag)}};
  }
  const std::string name = EnvironmentVariable(flag);
  const char* text = std::getenv(name.c_str());
  if (text != nullptr) {
    return {name, {text}};
  }
  return {"--" + flag, {}};
}

std::vector<Endpoint> CommandLine::Addresses(const std::string& flag, Findings& findings) const {
  const Source source = this->FindSource(flag);
  std::vector<Endpoint> endpoints;
  bool found = false;
  for (const std::string& list : source.texts) {
    const std::vector<std::string> parts = absl::StrSplit(list, ',', absl::SkipEmpty());
    for (const std::string& text : parts) {
      found = true;
      const std::optional<Endpoint> endpoint = Endpoint::Parse(text);
      if (endpoint) {
        endpoints.push_back(*endpoint);
      } else {
        findings.Add(source.place,
                     fmt::format("\"{}\" is not an address of the form IP:PORT", text));
      }
    }
  }
  if (!found) {
    findings.Add(source.place, "is required");
  }
  return endpoints;
}

Endpoint CommandLine::Address(const std::string& flag, Findings& findings) const {
  const std::vector<Endpoint> endpoints = this->Addresses(flag, findings);
  if (endpoints.size() > 1) {
    findings.Add(this->FindSource(flag).place, "takes one address");
  }
  return endpoints.empty() ? Endpoint{} : endpoints[0];
}

int CommandLine::ReportUsage(const Findings& findings) const {
  fmt::print(stderr, "{}\nusage: sycamoredrum {}\n", findings.ToString(), this->usage);
  return kExitUsage;
}

void CommandLine::PrintHelp() const {
  std::ostringstream text;
  text << this->flags;
  fmt::print("Usage: sycamoredrum {}\n\n{}\n\n{}", this->usage, this->description, text.str());
}

}  // namespace sycamoredrum
