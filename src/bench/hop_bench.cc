#include <fmt/format.h>
#include <poll.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstring>
#include <exception>
#include <functional>
#include <map>
#include <sstream>
#include <thread>

#include "fleet.h"
#include "hop_client.h"
#include "process_usage.h"
#include "sycamoredrum/peer_link.h"

namespace sycamoredrum {
namespace {

using nlohmann::json;
using std::chrono::duration;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr char kFleetKey[] = "bench-fleet-key-0123456789";
constexpr int kEntryProxy = 0;
// The two memory measurements use different proxies: in one process, memory that the first has
// freed would hide the growth in the second.
constexpr int kProxyForLinks = 1;
constexpr int kProxyForConnections = 2;
constexpr int kLatencyPairs = 2000;
constexpr int kLoadThreads = 16;
constexpr seconds kLoadTime{6};
constexpr seconds kIdleTime{12};
constexpr milliseconds kSettleTime{1500};
constexpr std::array<int, 3> kConnectionCounts = {0, 1000, 4000};
constexpr std::array<int, 3> kLinkCounts = {0, 250, 1000};

void Wait(milliseconds time) { poll(nullptr, 0, static_cast<int>(time.count())); }

double SecondsSince(steady_clock::time_point start) {
  return duration<double>(steady_clock::now() - start).count();
}

double TimeMilliseconds(const std::function<void()>& call) {
  const auto start = steady_clock::now();
  call();
  return SecondsSince(start) * 1e3;
}

double Percentile(std::vector<double> values, double share) {
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

// Endpoint of the port `port` of a backend server, as the first ticket lists it.
Endpoint AddressOf(const Fleet& fleet, const std::string& server, const char* port) {
  const json ticket = fleet.Ticket(1, "lookup");
  for (const json& entry : ticket.at("databases").at(0).at("backend_servers")) {
    if (entry.at("id") == server) {
      return *Endpoint::Parse(entry.at(port).get<std::string>());
    }
  }
  return Endpoint{};
}

std::uint64_t TermOf(Fleet& fleet, const std::string& server) {
  const HttpResult result = fleet.Call(fleet.ControlAddress(server), "GET", "/v1/status");
  return json::parse(result.response.body).at("term").get<std::uint64_t>();
}

std::string ReplicaOf(const std::string& primary) {
  return primary == "orders-mumbai" ? "orders-chennai" : "orders-mumbai";
}

DirectCaller MakeDirectCaller(EventLoop& loop, Fleet& fleet) {
  const std::string primary = fleet.Primary(kEntryProxy, "orders");
  const std::string replica = ReplicaOf(primary);
  return DirectCaller(loop, AddressOf(fleet, replica, "statements"),
                      AddressOf(fleet, primary, "statements"), AddressOf(fleet, replica, "control"),
                      TermOf(fleet, primary));
}

void PrintPairs(const char* kind, const std::vector<double>& direct,
                const std::vector<double>& proxied) {
  std::vector<double> added;
  for (std::size_t i = 0; i < direct.size(); ++i) {
    added.push_back(proxied[i] - direct[i]);
  }
  fmt::print(
      "{:<6} {:>5} pairs, ms: direct p50 {:.3f} p99 {:.3f}; through a proxy p50 {:.3f} p99 "
      "{:.3f}; added per pair p50 {:.3f} p99 {:.3f}\n",
      kind, direct.size(), Percentile(direct, 0.5), Percentile(direct, 0.99),
      Percentile(proxied, 0.5), Percentile(proxied, 0.99), Percentile(added, 0.5),
      Percentile(added, 0.99));
  std::fflush(stdout);
}

// Direct and proxied calls run in pairs, in alternating order, so that other load on the machine
// affects both alike.
void MeasureLatency(EventLoop& loop, Fleet& fleet, int pairs) {
  DirectCaller direct = MakeDirectCaller(loop, fleet);
  ProxiedCaller proxied(loop, fleet.CallerAddress(kEntryProxy), Fleet::kToken);
  for (const bool write : {false, true}) {
    const auto direct_call = [&] { write ? direct.Write("k") : direct.Read("k"); };
    const auto proxied_call = [&] { write ? proxied.Write("k") : proxied.Read("k"); };
    std::vector<double> direct_times;
    std::vector<double> proxied_times;
    for (int i = 0; i < pairs; ++i) {
      if (i % 2 == 0) {
        direct_times.push_back(TimeMilliseconds(direct_call));
        proxied_times.push_back(TimeMilliseconds(proxied_call));
      } else {
        proxied_times.push_back(TimeMilliseconds(proxied_call));
        direct_times.push_back(TimeMilliseconds(direct_call));
      }
    }
    PrintPairs(write ? "write" : "read", direct_times, proxied_times);
  }
}

double ProxiesProcessorSeconds(Fleet& fleet) {
  double total = 0;
  for (int proxy = 0; proxy < fleet.ProxyCount(); ++proxy) {
    total += ReadProcessUsage(fleet.ProxyProcess(proxy).Id()).processor_seconds;
  }
  return total;
}

void MeasureThroughput(EventLoop& loop, Fleet& fleet, bool write) {
  const pid_t entry = fleet.ProxyProcess(kEntryProxy).Id();
  const double entry_before = ReadProcessUsage(entry).processor_seconds;
  const double all_before = ProxiesProcessorSeconds(fleet);
  std::atomic<std::uint64_t> requests{0};
  std::atomic<int> failures{0};
  const auto start = steady_clock::now();
  std::vector<std::thread> threads;
  threads.reserve(kLoadThreads);
  for (int i = 0; i < kLoadThreads; ++i) {
    threads.emplace_back([&, i] {
      try {
        ProxiedCaller caller(loop, fleet.CallerAddress(kEntryProxy), Fleet::kToken);
        const std::string key = fmt::format("k{}", i);
        while (steady_clock::now() - start < kLoadTime) {
          write ? caller.Write(key) : caller.Read(key);
          ++requests;
        }
      } catch (const std::exception& error) {
        fmt::print(stderr, "load thread {}: {}\n", i, error.what());
        ++failures;
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const double time = SecondsSince(start);
  const double entry_used = ReadProcessUsage(entry).processor_seconds - entry_before;
  const double all_used = ProxiesProcessorSeconds(fleet) - all_before;
  const auto count = static_cast<double>(requests.load());
  fmt::print(
      "{:<6} {} connections: {:.0f}/s; per core-second of the entry proxy {:.0f}, of all "
      "proxies {:.0f}; failed threads {}\n",
      write ? "write" : "read", kLoadThreads, count / time, count / entry_used, count / all_used,
      failures.load());
  std::fflush(stdout);
}

// Values of the counter `name` by its labels, from the text format of /metrics.
std::map<std::string, double> ReadCounters(Fleet& fleet, int proxy, const std::string& name) {
  std::map<std::string, double> values;
  std::istringstream text(fleet.Call(fleet.AdminAddress(proxy), "GET", "/metrics").response.body);
  for (std::string line; std::getline(text, line);) {
    const std::size_t space = line.rfind(' ');
    if (line.rfind(name, 0) == 0 && space != std::string::npos) {
      values[line.substr(name.size(), space - name.size())] = std::stod(line.substr(space + 1));
    }
  }
  return values;
}

void MeasureIdle(Fleet& fleet) {
  Wait(kSettleTime);
  const std::array<std::string, 2> names = {"sycamoredrum_control_bytes_total",
                                            "sycamoredrum_probes_total"};
  std::vector<std::map<std::string, double>> before;
  std::vector<double> processor_before;
  for (int proxy = 0; proxy < fleet.ProxyCount(); ++proxy) {
    for (const std::string& name : names) {
      before.push_back(ReadCounters(fleet, proxy, name));
    }
    processor_before.push_back(ReadProcessUsage(fleet.ProxyProcess(proxy).Id()).processor_seconds);
  }
  const auto start = steady_clock::now();
  Wait(kIdleTime);
  const double time = SecondsSince(start);
  const std::string server = fleet.Primary(kEntryProxy, "orders");
  fmt::print("Idle for {:.1f} s; one probe's answer has {} bytes\n", time,
             AnswerBytes(fleet.ControlAddress(server), "/v1/status"));
  for (int proxy = 0; proxy < fleet.ProxyCount(); ++proxy) {
    const ProcessUsage usage = ReadProcessUsage(fleet.ProxyProcess(proxy).Id());
    const auto index = static_cast<std::size_t>(proxy);
    fmt::print("  proxy {}: core {:.2f}%, resident {:.1f} MB, per second:", proxy,
               (usage.processor_seconds - processor_before[index]) / time * 100,
               usage.resident_bytes / 1e6);
    for (std::size_t i = 0; i < names.size(); ++i) {
      for (const auto& [labels, value] : ReadCounters(fleet, proxy, names[i])) {
        const double change = value - before[index * names.size() + i][labels];
        fmt::print(" {}={:.1f}", labels, change / time);
      }
    }
    fmt::print("\n");
  }
  std::fflush(stdout);
}

double ResidentBytes(Fleet& fleet, int proxy) {
  Wait(kSettleTime);
  return ReadProcessUsage(fleet.ProxyProcess(proxy).Id()).resident_bytes;
}

void PrintSlopes(const char* what, const std::vector<int>& counts,
                 const std::vector<double>& sizes) {
  fmt::print("Resident memory by idle {}:", what);
  for (std::size_t i = 0; i < counts.size(); ++i) {
    fmt::print(" {} -> {:.2f} MB;", counts[i], sizes[i] / 1e6);
  }
  const double slope = (sizes.back() - sizes.front()) / (counts.back() - counts.front());
  fmt::print(" slope {:.0f} bytes each\n", slope);
  std::fflush(stdout);
}

// Each connection makes one request first, so that its buffers are allocated.
void MeasureConnections(EventLoop& loop, Fleet& fleet) {
  std::vector<std::unique_ptr<ProxiedCaller>> callers;
  std::vector<double> sizes;
  for (const int count : kConnectionCounts) {
    while (static_cast<int>(callers.size()) < count) {
      callers.push_back(std::make_unique<ProxiedCaller>(
          loop, fleet.CallerAddress(kProxyForConnections), Fleet::kToken));
      callers.back()->Read("k");
    }
    sizes.push_back(ResidentBytes(fleet, kProxyForConnections));
  }
  PrintSlopes("client connections", {kConnectionCounts.begin(), kConnectionCounts.end()}, sizes);
}

void MeasureLinks(EventLoop& loop, Fleet& fleet) {
  const json status = fleet.Status(kProxyForLinks);
  Endpoint peer;
  for (const json& member : status.at("members")) {
    if (member.at("member") == fmt::format("proxy-{}", kProxyForLinks)) {
      peer = *Endpoint::Parse(member.at("peer_address").get<std::string>());
    }
  }
  std::vector<std::unique_ptr<PeerLink>> links;
  std::vector<double> sizes;
  std::atomic<int> answered{0};
  for (const int count : kLinkCounts) {
    while (static_cast<int>(links.size()) < count) {
      const PeerIdentity identity{fmt::format("bench-{}", links.size()), "mumbai", kFleetKey};
      links.push_back(std::make_unique<PeerLink>(loop, identity, PeerOptions(), peer));
      links.back()->Call(
          "tickets", R"({"after":1,"limit":1})", seconds(5),
          [&answered](const PeerAnswer& answer) { answered += answer.Ok() ? 1 : 0; });
    }
    Fleet::WaitUntil([&] { return answered >= count; }, seconds(10));
    sizes.push_back(ResidentBytes(fleet, kProxyForLinks));
  }
  fmt::print("{} of {} links answered. ", answered.load(), links.size());
  PrintSlopes("peer links", {kLinkCounts.begin(), kLinkCounts.end()}, sizes);
}

int Main() {
  FleetOptions options;
  options.replication_lag = "0ms";
  options.proxy_flags = {std::string("--fleet-key=") + kFleetKey};
  Fleet fleet(options);
  fleet.Start();
  EventLoop loop(4);
  fmt::print("Real processes on loopback: {} proxies, 3 backend servers, 1 platform stand-in\n",
             fleet.ProxyCount());
  const auto start = steady_clock::now();
  MeasureIdle(fleet);
  MeasureLinks(loop, fleet);
  MeasureConnections(loop, fleet);
  MeasureLatency(loop, fleet, kLatencyPairs);
  MeasureThroughput(loop, fleet, /*write=*/false);
  MeasureThroughput(loop, fleet, /*write=*/true);
  fmt::print("Took {:.0f} s\n", SecondsSince(start));
  loop.Stop();
  loop.Join();
  return 0;
}

}  // namespace
}  // namespace sycamoredrum

int main() {
  try {
    return sycamoredrum::Main();
  } catch (const std::exception& error) {
    fmt::print(stderr, "hop_bench: {}\n", error.what());
    return 1;
  }
}
