#include "command_run.h"

#include <filesystem>
#include <fstream>
#include <iterator>

namespace sycamoredrum {
namespace {

constexpr std::chrono::seconds kRunTimeout(20);

}  // namespace

CommandRun RunBinary(const std::vector<std::string>& arguments,
                     const std::vector<std::string>& environment, const std::string& folder) {
  const std::string error_path = folder + "/command-errors.txt";
  std::filesystem::remove(error_path);
  CommandRun run;
  ChildProcess process(SYCAMOREDRUM, arguments, environment, error_path);
  while (const std::optional<std::string> line = process.ReadLine(kRunTimeout)) {
    run.output += *line + "\n";
  }
  run.exit_code = process.Wait(kRunTimeout).value_or(-1);
  std::ifstream errors(error_path);
  run.errors.assign(std::istreambuf_iterator<char>(errors), {});
  return run;
}

FleetOptions SmallFleet() {
  FleetOptions options;
  options.data_centres = {"mumbai"};
  options.proxies_per_data_centre = 1;
  options.proxy_flags = {"--drain-delay=100ms"};
  return options;
}

std::string WriteFile(const std::string& folder, const std::string& name, const std::string& text) {
  std::string path = folder + "/" + name;
  std::ofstream(path) << text;
  return path;
}

}  // namespace sycamoredrum
