#include "process_usage.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

namespace sycamoredrum {
namespace {

// Fields of /proc/PID/stat, where field 0 is the one after the process name in parentheses.
constexpr std::size_t kUserTicks = 11;
constexpr std::size_t kSystemTicks = 12;
// Field of /proc/PID/statm.
constexpr std::size_t kResidentPages = 1;

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  return std::string(std::istreambuf_iterator<char>(file), {});
}

double Field(const std::vector<std::string>& fields, std::size_t index) {
  return index < fields.size() ? std::strtod(fields[index].c_str(), nullptr) : 0;
}

}  // namespace

ProcessUsage ReadProcessUsage(pid_t pid) {
  const std::string stat = ReadFile(absl::StrCat("/proc/", pid, "/stat"));
  const std::string statm = ReadFile(absl::StrCat("/proc/", pid, "/statm"));
  const std::size_t name_end = stat.rfind(") ");
  if (name_end == std::string::npos) {
    return ProcessUsage{};
  }
  const std::vector<std::string> times = absl::StrSplit(stat.substr(name_end + 2), ' ');
  const std::vector<std::string> pages = absl::StrSplit(statm, ' ');
  ProcessUsage usage;
  usage.processor_seconds = (Field(times, kUserTicks) + Field(times, kSystemTicks)) /
                            static_cast<double>(sysconf(_SC_CLK_TCK));
  usage.resident_bytes = Field(pages, kResidentPages) * static_cast<double>(sysconf(_SC_PAGESIZE));
  return usage;
}

}  // namespace sycamoredrum
