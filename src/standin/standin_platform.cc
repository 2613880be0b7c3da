#include <fmt/core.h>

#include <boost/program_options.hpp>
#include <cstdio>
#include <optional>
#include <string>

#include "platform_server.h"
#include "standin_process.h"

namespace sycamoredrum {
namespace {

namespace po = boost::program_options;

constexpr int kWorkers = 2;

int Run(int argc, char** argv) {
  po::options_description description("standin_platform");
  description.add_options()("listen", po::value<std::string>()->required(), "IP:PORT to serve");
  po::variables_map flags;
  po::store(po::parse_command_line(argc, argv, description), flags);
  po::notify(flags);
  const auto endpoint = ParseListenEndpoint(flags["listen"].as<std::string>());
  if (!endpoint) {
    fmt::print(stderr, "standin_platform: --listen is not IP:PORT\n");
    return 2;
  }
  EventLoop loop(kWorkers);
  PlatformServer server(loop);
  if (const std::optional<std::string> error = server.Start(*endpoint)) {
    fmt::print(stderr, "standin_platform: {}\n", *error);
    loop.Stop();
    loop.Join();
    return 1;
  }
  RunUntilStopSignal(loop, {&server.Server()}, fmt::format("ready listen={}", server.Port()));
  return 0;
}

}  // namespace
}  // namespace sycamoredrum

int main(int argc, char** argv) {
  try {
    return sycamoredrum::Run(argc, argv);
  } catch (const std::exception& error) {
    fmt::print(stderr, "standin_platform: {}\n", error.what());
    return 2;
  }
}
