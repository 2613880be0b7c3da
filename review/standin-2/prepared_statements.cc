// Case 9: callers prepare and execute statements with long texts, each within the limit of a
// message. The platform ends a relay that exceeds its memory limit and starts it again.

#include <iostream>

#include "fleet.h"

namespace review {
namespace {

constexpr int kRelays = 3;
constexpr int kCallersOfRelay = 3;
constexpr std::size_t kLongText = 900000;  // A message is at most 1 MiB.
constexpr std::size_t kShortText = 8;
constexpr double kMemoryLimitMiB = 260;  // memoryLimitMb of the site.
constexpr int kEndsOfFault = 3;          // On this many machines and this often: RULES.md, Fault.
constexpr int kMachinesOfFault = 2;
constexpr Milliseconds kDuration{60000};
constexpr Milliseconds kRestartDelay{500};

class Case {
 public:
  Case(const std::string& program, const std::string& folder, const std::string& record_path,
       bool trouble)
      : text_size(trouble ? kLongText : kShortText),
        record(record_path),
        store(this->loop),
        network(OwnNetwork()),
        database(this->loop, this->store, this->record, this->network + ".1", DatabaseOptions()) {
    const std::string duty = this->network + ".1:" + std::to_string(this->database.ServeFailover());
    const std::string store_address =
        this->network +
        ".1:" + std::to_string(this->store.Serve(this->network + ".1", [] { return true; }));
    const Json configuration = {
        {"version", 7},
        {"routes", {Route("stock-lookup", "bounded_staleness", 2000, 1200, 2, 1500)}},
        {"services", {{{"name", "orders"}, {"maxConns", 21}, {"syncReplicas", 0}}}},
        {"limits", {{"txIdleMs", 5000}, {"idleTimeoutMs", 60000}}}};
    this->store.Put("op/config", configuration.dump());
    for (int i = 0; i < kRelays; ++i) {
      this->options.push_back(
          RelayOptions{program, folder, "relay-" + std::to_string(i + 1),
                       "dc" + std::to_string(i + 1), this->network + "." + std::to_string(i + 11),
                       store_address, duty, this->network + ".11:" + std::to_string(kPeerPort)});
      this->relays.push_back(std::make_unique<Relay>(this->options.back()));
    }
    this->ends.resize(kRelays);
    this->peak.resize(kRelays);
  }

  int Run() {
    const bool ready = Await(this->loop, Milliseconds(30000), [this] {
      return std::all_of(this->relays.begin(), this->relays.end(),
                         [](const auto& relay) { return AnswersReady(relay->host); });
    });
    if (!ready) {
      this->record.Line("the relays did not become ready");
      return 2;
    }
    for (int i = 0; i < kRelays * kCallersOfRelay; ++i) {
      this->OpenCaller(this->options[static_cast<std::size_t>(i % kRelays)].host);
    }
    this->CheckMemory();
    Await(this->loop, kDuration, [this] { return this->Fault(); });
    for (std::size_t i = 0; i < this->relays.size(); ++i) {
      this->record.Line(this->options[i].name + ": ended " + std::to_string(this->ends[i]) +
                        " times over the memory limit, most memory seen " +
                        std::to_string(this->peak[i]) + " MiB");
    }
    this->record.Line("statements executed: " + std::to_string(this->executed) +
                      ", refused or lost: " + std::to_string(this->errors));
    if (this->Fault()) {
      return 1;
    }
    return this->executed < 100 ? 2 : 0;
  }

 private:
  bool Fault() const {
    return std::count_if(this->ends.begin(), this->ends.end(),
                         [](int count) { return count >= kEndsOfFault; }) >= kMachinesOfFault;
  }

  // The platform: ends a process above the limit and starts it again after a short delay.
  void CheckMemory() {
    for (std::size_t i = 0; i < this->relays.size(); ++i) {
      const double memory = this->relays[i] ? this->relays[i]->MemoryMiB() : 0;
      this->peak[i] = std::max(this->peak[i], memory);
      if (memory > kMemoryLimitMiB) {
        ++this->ends[i];
        this->record.Line(this->options[i].name + " has " + std::to_string(memory) +
                          " MiB and is ended");
        this->relays[i].reset();
        this->loop.RunAfter(kRestartDelay, [this, i] {
          this->relays[i] = std::make_unique<Relay>(this->options[i]);
        });
      }
    }
    this->loop.RunAfter(Milliseconds(50), [this] { this->CheckMemory(); });
  }

  void OpenCaller(const std::string& host) {
    const auto caller = std::make_shared<Caller>(this->loop, host, "stock-lookup");
    caller->Open([this, caller, host](const CallerResult& result) {
      if (result.code == "READY") {
        this->Prepare(caller, host);
      } else {
        this->loop.RunAfter(Milliseconds(500), [this, host] { this->OpenCaller(host); });
      }
    });
  }

  void Prepare(const std::shared_ptr<Caller>& caller, const std::string& host) {
    const std::string id = NextId();
    const std::string text =
        "PREPARE s READ shape" + std::to_string(++this->shapes) + std::string(this->text_size, 'x');
    caller->Execute(id, text, [this, caller, host, id](const CallerResult& result) {
      this->record.Line("PREPARE " + id + " at " + host + ": " + result.text);
      if (result.code == "DONE") {
        this->ExecutePrepared(caller, host);
      } else {
        this->Continue(caller, host, result);
      }
    });
  }

  void ExecutePrepared(const std::shared_ptr<Caller>& caller, const std::string& host) {
    const std::string id = NextId();
    caller->Execute(id, "EXEC s item1", [this, caller, host, id](const CallerResult& result) {
      this->record.Line("EXEC " + id + " at " + host + ": " + result.text);
      this->Continue(caller, host, result);
    });
  }

  void Continue(const std::shared_ptr<Caller>& caller, const std::string& host,
                const CallerResult& result) {
    ++(result.code == "DONE" ? this->executed : this->errors);
    if (caller->IsOpen()) {
      this->Prepare(caller, host);
    } else {
      this->loop.RunAfter(Milliseconds(500), [this, host] { this->OpenCaller(host); });
    }
  }

  const std::size_t text_size;
  EventLoop loop;
  Record record;
  Store store;
  const std::string network;
  Database database;
  std::vector<RelayOptions> options;
  std::vector<std::unique_ptr<Relay>> relays;
  std::vector<int> ends;     ///< Over the memory limit, by relay.
  std::vector<double> peak;  ///< Most memory seen, by relay.
  std::uint64_t shapes = 0;
  int executed = 0;
  int errors = 0;
};

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc != 4) {
    std::cerr << "usage: " << argv[0] << " PROGRAM FOLDER RECORD\n";
    return 2;
  }
  const char* trouble = std::getenv("TROUBLE");
  try {
    review::Case test(argv[1], argv[2], argv[3], trouble == nullptr || std::string(trouble) != "0");
    return test.Run();
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
