#include <fmt/format.h>

#include <boost/program_options.hpp>
#include <cstdio>
#include <fstream>
#include <future>
#include <iterator>
#include <optional>

#include "commands.h"
#include "sycamoredrum/configuration_log.h"
#include "sycamoredrum/event_loop.h"
#include "sycamoredrum/platform_http.h"
#include "sycamoredrum/ticket.h"
#include "sycamoredrum/ticket_writer.h"

namespace sycamoredrum {
namespace {

namespace options = boost::program_options;

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

// Serialises the answers of the platform for the writer, which is not thread-safe.
PlatformClient SerialClient(PlatformClient platform, std::mutex& mutex) {
  PlatformClient serial;
  serial.get = [platform, &mutex](const std::string& key, PlatformClient::GetCallback callback) {
    platform.get(key, [&mutex, callback](PlatformStatus status, std::optional<KeyValue> item) {
      const std::lock_guard<std::mutex> lock(mutex);
      callback(status, std::move(item));
    });
  };
  serial.put = [platform, &mutex](const std::string& key, const std::string& value,
                                  std::uint64_t expected_revision,
                                  PlatformClient::PutCallback callback) {
    platform.put(key, value, expected_revision,
                 [&mutex, callback](PlatformStatus status, std::uint64_t revision) {
                   const std::lock_guard<std::mutex> lock(mutex);
                   callback(status, revision);
                 });
  };
  serial.list = [platform, &mutex](const std::string& prefix, const std::string& after, int limit,
                                   PlatformClient::ListCallback callback) {
    platform.list(prefix, after, limit,
                  [&mutex, callback](PlatformStatus status, std::vector<KeyValue> items) {
                    const std::lock_guard<std::mutex> lock(mutex);
                    callback(status, std::move(items));
                  });
  };
  return serial;
}

WriteResult WriteTicket(const Ticket& ticket, const Endpoint& platform) {
  // One worker: timers and answers of the writer run one at a time.
  EventLoop loop(1);
  HttpClient client(loop, HttpClientOptions());
  std::mutex mutex;
  ConfigurationLog log;
  const auto ignore = [](const std::string&, const std::string&) {};
  TicketWriter writer(SerialClient(MakePlatformClient(client, platform, ignore), mutex), log, loop);
  std::promise<WriteResult> promise;
  loop.Post([&] {
    writer.Write(ticket, [&](WriteResult result) { promise.set_value(std::move(result)); });
  });
  WriteResult result = promise.get_future().get();
  loop.Stop();
  loop.Join();
  return result;
}

int ExitCodeOf(WriteStatus status) {
  switch (status) {
    case WriteStatus::kAccepted:
      return kExitOk;
    case WriteStatus::kConflict:
    case WriteStatus::kGap:
      return kExitConflict;
    case WriteStatus::kInvalid:
      return kExitUsage;
    case WriteStatus::kUnavailable:
      return kExitFailure;
    case WriteStatus::kUnknown:
      return kExitUnknown;
  }
  return kExitFailure;
}

int Apply(const std::string& path, const Endpoint& platform) {
  const std::optional<std::string> text = ReadFile(path);
  if (!text) {
    fmt::print(stderr, "{}: cannot be read\n", path);
    return kExitUsage;
  }
  Findings findings;
  const std::optional<Ticket> ticket = ParseTicket(*text, findings);
  if (!ticket) {
    fmt::print(stderr, "{}: the ticket is invalid\n{}\n", path, findings.ToString());
    return kExitUsage;
  }
  const WriteResult result = WriteTicket(*ticket, platform);
  const bool accepted = result.status == WriteStatus::kAccepted;
  fmt::print(accepted ? stdout : stderr, "{}: {}\n", ToString(result.status), result.message);
  for (const std::string& line : result.winner_lines) {
    fmt::print(stderr, "  {}\n", line);
  }
  if (!result.findings.Empty()) {
    fmt::print(stderr, "{}\n", result.findings.ToString());
  }
  return ExitCodeOf(result.status);
}

}  // namespace

int RunTicketCommand(const std::vector<std::string>& arguments) {
  options::options_description flags("Flags");
  flags.add_options()("platform-address", options::value<std::string>(),
                      "IP:PORT of the platform's key-value service");
  options::options_description all;
  all.add(flags).add_options()("words", options::value<std::vector<std::string>>());
  options::positional_options_description positions;
  positions.add("words", -1);
  if (WantsHelp(arguments)) {
    fmt::print("Usage: sycamoredrum ticket apply FILE --platform-address=IP:PORT\n\n");
    return kExitOk;
  }
  try {
    options::variables_map values;
    options::store(options::command_line_parser(arguments).options(all).positional(positions).run(),
                   values);
    const auto words = values.count("words") != 0 ? values["words"].as<std::vector<std::string>>()
                                                  : std::vector<std::string>();
    const auto platform = Endpoint::Parse(
        values.count("platform-address") != 0 ? values["platform-address"].as<std::string>() : "");
    if (!platform) {
      fmt::print(stderr, "--platform-address: must be an address of the form IP:PORT\n");
      return kExitUsage;
    }
    if (words.size() != 2 || words[0] != "apply") {
      fmt::print(stderr, "usage: sycamoredrum ticket apply FILE --platform-address=IP:PORT\n");
      return kExitUsage;
    }
    return Apply(words[1], *platform);
  } catch (const options::error& error) {
    fmt::print(stderr, "command line: {}\n", error.what());
    return kExitUsage;
  }
}

}  // namespace sycamoredrum
