// Case 7: a database whose commits are acknowledged once one replica has received them. One replica
// receives nothing for a while, and the primary crashes meanwhile. Which commits does the instance
// have that is promoted?

#include <iostream>

#include "fleet.h"

namespace review {
namespace {

// One database of rieksts-mill, with the traffic of its day scale-2: 494 operations a second for
// three databases of which one gets a tenth more (`copy_skew`), about 97 open sessions for each.
constexpr int kRelays = 3;
constexpr int kWriters = 10;
constexpr int kReaders = 87;
constexpr double kReadsPerSecond = 160;
constexpr Milliseconds kWriterPause{650};
constexpr double kBurst = 1.7;
constexpr Milliseconds kBurstTime{3000};
constexpr Milliseconds kDeafTime{6000};

class Case {
 public:
  Case(const std::string& program, const std::string& folder, const std::string& record_path,
       bool trouble)
      : trouble(trouble),
        record(record_path),
        store(this->loop),
        network(OwnNetwork()),
        database(this->loop, this->store, this->record, this->network + ".1", Options()) {
    const std::string duty = this->network + ".1:" + std::to_string(this->database.ServeFailover());
    const std::string store_address =
        this->network +
        ".1:" + std::to_string(this->store.Serve(this->network + ".1", [] { return true; }));
    this->Configure();
    this->database.promoted = [this](int number) { this->CheckPromoted(number); };
    const std::string seeds = this->RelayHost(0) + ":" + std::to_string(kPeerPort) + "," +
                              this->RelayHost(1) + ":" + std::to_string(kPeerPort);
    for (int i = 0; i < kRelays; ++i) {
      this->relays.push_back(std::make_unique<Relay>(RelayOptions{
          program, folder, "relay-" + std::to_string(i + 1), "dc" + std::to_string(i + 1),
          this->RelayHost(i), store_address, duty, seeds}));
    }
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
    for (int i = 0; i < kWriters; ++i) {
      this->StartWriter(i);
    }
    for (int i = 0; i < kReaders; ++i) {
      this->StartReader(i);
    }
    this->loop.RunUntil(Clock::now() + Milliseconds(500));
    this->next_read = Clock::now();
    this->SendReads();
    this->loop.RunUntil(Clock::now() + Milliseconds(5000));
    if (this->acknowledged.size() < 20) {
      this->record.Line("too few writes were acknowledged");
      return 2;
    }
    if (this->trouble) {
      this->database.SetDeaf(2, true);
      this->loop.RunAfter(kDeafTime, [this] { this->database.SetDeaf(2, false); });
      this->loop.RunUntil(Clock::now() + Milliseconds(1500));
      this->burst_until = Clock::now() + kBurstTime;
      this->record.Line("many users come at once");
      this->loop.RunUntil(Clock::now() + Milliseconds(1000));
      this->record.Line("queue of i-1: " + std::to_string(this->database.QueueOf(1)) +
                        ", positions: " + this->database.PositionOf(0) + " " +
                        this->database.PositionOf(1) + " " + this->database.PositionOf(2));
      this->database.Crash(0);
    }
    this->loop.RunUntil(Clock::now() + Milliseconds(6000));
    this->record.Line(
        "writes acknowledged: " + std::to_string(this->acknowledged.size()) + ", reads answered: " +
        std::to_string(this->reads) + ", refused: " + std::to_string(this->refused) +
        ", promotions: " + std::to_string(this->promotions) +
        ", acknowledged commits missing at a promotion: " + std::to_string(this->missing));
    if (this->trouble && this->promotions == 0) {
      this->record.Line("no instance was promoted");
      return 2;
    }
    return this->missing > 0 ? 1 : 0;
  }

 private:
  static DatabaseOptions Options() {
    DatabaseOptions options;
    options.sync_replicas = 1;
    options.max_connections = 43;
    options.read_time = Milliseconds(21);  // The mean of lot-lookup and grade-sync, with the tail.
    options.write_time = Milliseconds(6);
    return options;
  }

  std::string RelayHost(int number) const {
    return this->network + "." + std::to_string(number + 11);
  }

  void Configure() {
    const Json configuration = {
        {"version", 7},
        {"routes",
         {Route("batch-log", "primary", 800, 600, 1, 0),
          Route("lot-lookup", "bounded_staleness", 2000, 1000, 2, 1500)}},
        {"services", {{{"name", "orders"}, {"maxConns", 43}, {"syncReplicas", 1}}}},
        {"limits", {{"txIdleMs", 5000}, {"idleTimeoutMs", 60000}}}};
    this->store.Put("op/config", configuration.dump());
  }

  void StartWriter(int number) {
    auto caller =
        std::make_shared<Caller>(this->loop, this->RelayHost(number % kRelays), "batch-log");
    this->callers.push_back(caller);
    this->OpenAndRun(caller, [this, caller] { this->WriteNext(caller); });
  }
  void StartReader(int number) {
    auto caller =
        std::make_shared<Caller>(this->loop, this->RelayHost(number % kRelays), "lot-lookup");
    this->callers.push_back(caller);
    this->OpenAndRun(caller, [this, caller] { this->idle_readers.push_back(caller); });
  }

  void OpenAndRun(const std::shared_ptr<Caller>& caller, std::function<void()> run) {
    caller->Open([this, caller, run](const CallerResult& result) {
      if (result.code == "READY") {
        run();
      } else {
        this->loop.RunAfter(Milliseconds(500),
                            [this, caller, run] { this->OpenAndRun(caller, run); });
      }
    });
  }

  void WriteNext(const std::shared_ptr<Caller>& caller) {
    const std::string id = NextId();
    const std::string data = "d" + id;
    caller->Execute(id, "WRITE item" + std::to_string(this->writes++ % 50) + " " + data,
                    [this, caller, id, data](const CallerResult& result) {
                      this->record.Line("write " + id + " " + data + ": " + result.text);
                      if (result.code == "DONE") {
                        this->acknowledged.push_back(data);
                      }
                      this->Continue(caller, result, kWriterPause,
                                     [this, caller] { this->WriteNext(caller); });
                    });
  }

  // Reads come at a given rate, each on the session that has been idle for longest. While no
  // session is idle, they wait.
  void SendReads() {
    const TimePoint now = Clock::now();
    const double rate = kReadsPerSecond * (now < this->burst_until ? kBurst : 1.0);
    const auto interval =
        std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(1.0 / rate));
    while (this->next_read <= now && !this->idle_readers.empty()) {
      this->next_read += interval;
      const std::shared_ptr<Caller> caller = this->idle_readers.front();
      this->idle_readers.pop_front();
      const std::string id = NextId();
      caller->Execute(id, "READ item" + std::to_string(this->reads % 50),
                      [this, caller, id](const CallerResult& result) {
                        ++(result.code == "DONE" ? this->reads : this->refused);
                        this->record.Line("read " + id + ": " + result.text);
                        this->Continue(caller, result, Milliseconds(0),
                                       [this, caller] { this->idle_readers.push_back(caller); });
                      });
    }
    this->loop.RunAfter(Milliseconds(2), [this] { this->SendReads(); });
  }

  void Continue(const std::shared_ptr<Caller>& caller, const CallerResult& result,
                Milliseconds pause, const std::function<void()>& next) {
    this->loop.RunAfter(pause, [this, caller, next, closed = result.code == "CLOSED"] {
      if (closed || !caller->IsOpen()) {
        this->OpenAndRun(caller, next);
      } else {
        next();
      }
    });
  }

  // The rule: an acknowledged commit is in the log of the instance that is promoted.
  void CheckPromoted(int number) {
    ++this->promotions;
    for (const std::string& data : this->acknowledged) {
      if (!this->database.Contains(number, data)) {
        ++this->missing;
        this->record.Line("LOST: " + this->database.Id(number) +
                          " is promoted without the acknowledged write of " + data);
      }
    }
  }

  const bool trouble;
  EventLoop loop;
  Record record;
  Store store;
  const std::string network;
  Database database;
  std::vector<std::unique_ptr<Relay>> relays;
  std::vector<std::shared_ptr<Caller>> callers;
  std::deque<std::shared_ptr<Caller>> idle_readers;
  TimePoint next_read;
  TimePoint burst_until;
  std::vector<std::string> acknowledged;
  std::uint64_t writes = 0;
  std::uint64_t reads = 0;
  std::uint64_t refused = 0;
  int promotions = 0;
  int missing = 0;
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
