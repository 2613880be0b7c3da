#include "sycamoredrum/process_limits.h"

#include <absl/strings/numbers.h>
#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cstdint>
#include <fstream>
#include <limits>
#include <string>

namespace sycamoredrum {
namespace {

constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();
constexpr int kLargeBlockBytes = 128 * 1024;

// Returns kUnlimited if the file does not exist or contains no number, as in "max".
std::size_t NumberInFile(const std::string& path) {
  std::ifstream file(path);
  std::string text;
  std::getline(file, text);
  std::uint64_t number = 0;
  return file && absl::SimpleAtoi(text, &number) ? number : kUnlimited;
}

// Path of the process's control group in the unified hierarchy.
std::string ControlGroup() {
  std::ifstream file("/proc/self/cgroup");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind("0::", 0) == 0) {
      return line.substr(3);
    }
  }
  return "";
}

std::size_t ResourceLimit(int resource) {
  rlimit limit{};
  if (getrlimit(static_cast<__rlimit_resource>(resource), &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY) {
    return kUnlimited;
  }
  return limit.rlim_cur;
}

}  // namespace

std::size_t AvailableMemory() {
  const auto pages = static_cast<std::size_t>(std::max(sysconf(_SC_PHYS_PAGES), 0L));
  const auto page_size = static_cast<std::size_t>(std::max(sysconf(_SC_PAGESIZE), 0L));
  return std::min({pages * page_size, ResourceLimit(RLIMIT_AS), ResourceLimit(RLIMIT_DATA),
                   NumberInFile("/sys/fs/cgroup" + ControlGroup() + "/memory.max"),
                   NumberInFile("/sys/fs/cgroup/memory.max"),
                   NumberInFile("/sys/fs/cgroup/memory/memory.limit_in_bytes")});
}

std::size_t DescriptorLimit() { return ResourceLimit(RLIMIT_NOFILE); }

void ReturnFreedMemory() {
  mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
  mallopt(M_TRIM_THRESHOLD, kLargeBlockBytes);
}

}  // namespace sycamoredrum
