#include <fmt/core.h>

#include <boost/program_options.hpp>
#include <cstdio>
#include <optional>
#include <string>
#include <vector>

#include "database_server.h"
#include "standin_process.h"

namespace sycamoredrum {
namespace {

namespace po = boost::program_options;

constexpr int kWorkers = 2;

po::options_description Describe() {
  po::options_description description("standin_database");
  auto add = description.add_options();
  add("id", po::value<std::string>()->required(), "id of the backend server");
  add("database", po::value<std::string>()->required(), "database name");
  add("vm", po::value<std::string>()->default_value(""), "VM id");
  add("data-centre", po::value<std::string>()->default_value(""), "data centre");
  add("statements", po::value<std::string>()->required(), "IP:PORT of the statement port");
  add("control", po::value<std::string>()->required(), "IP:PORT of the control port");
  add("cap", po::value<std::size_t>()->default_value(20), "connection cap");
  add("open-delay", po::value<std::string>()->default_value("12ms"), "time to open a connection");
  add("replication-lag", po::value<std::string>()->default_value("0ms"), "lag of a replica");
  add("peer", po::value<std::vector<std::string>>()->composing(), "ID=CONTROL_IP:PORT");
  return description;
}

// Reads "ID=IP:PORT" into `peers`.
bool AddPeer(const std::string& text, std::map<std::string, Endpoint>& peers) {
  const std::size_t equals = text.find('=');
  if (equals == std::string::npos) {
    return false;
  }
  const std::optional<Endpoint> endpoint = Endpoint::Parse(text.substr(equals + 1));
  if (endpoint) {
    peers[text.substr(0, equals)] = *endpoint;
  }
  return endpoint.has_value();
}

std::optional<DatabaseServerOptions> ReadOptions(const po::variables_map& flags) {
  DatabaseServerOptions options;
  options.id = flags["id"].as<std::string>();
  options.database = flags["database"].as<std::string>();
  options.vm = flags["vm"].as<std::string>();
  options.data_centre = flags["data-centre"].as<std::string>();
  options.connection_cap = flags["cap"].as<std::size_t>();
  const auto statements = ParseListenEndpoint(flags["statements"].as<std::string>());
  const auto control = ParseListenEndpoint(flags["control"].as<std::string>());
  const auto open_delay = ParseMilliseconds(flags["open-delay"].as<std::string>());
  const auto lag = ParseMilliseconds(flags["replication-lag"].as<std::string>());
  if (!statements || !control || !open_delay || !lag) {
    return std::nullopt;
  }
  options.statements = *statements;
  options.control = *control;
  options.open_delay = *open_delay;
  options.replication_lag = *lag;
  if (flags.count("peer") != 0) {
    for (const std::string& peer : flags["peer"].as<std::vector<std::string>>()) {
      if (!AddPeer(peer, options.peers)) {
        return std::nullopt;
      }
    }
  }
  return options;
}

int Run(int argc, char** argv) {
  po::variables_map flags;
  po::store(po::parse_command_line(argc, argv, Describe()), flags);
  po::notify(flags);
  const std::optional<DatabaseServerOptions> options = ReadOptions(flags);
  if (!options) {
    fmt::print(stderr,
               "standin_database: --statements, --control, --open-delay, --replication-lag or "
               "--peer is malformed\n");
    return 2;
  }
  EventLoop loop(kWorkers);
  DatabaseServer server(loop, *options);
  if (const std::optional<std::string> error = server.Start()) {
    fmt::print(stderr, "standin_database: {}\n", *error);
    loop.Stop();
    loop.Join();
    return 1;
  }
  const std::string ready =
      fmt::format("ready statements={} control={}", server.StatementPort(), server.ControlPort());
  RunUntilStopSignal(loop, {&server.Statements(), &server.Control()}, ready);
  return 0;
}

}  // namespace
}  // namespace sycamoredrum

int main(int argc, char** argv) {
  try {
    return sycamoredrum::Run(argc, argv);
  } catch (const std::exception& error) {
    fmt::print(stderr, "standin_database: {}\n", error.what());
    return 2;
  }
}
