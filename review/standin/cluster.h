// Stand-ins for a review case: the platform's store, its duty address, and the instances of one
// database. They follow the users' pages: what a page does not say, they do as a sound store,
// platform or instance would.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Millis = std::chrono::milliseconds;

/// Writes the lines of record.txt, each with the time in milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3)));
  double Now() const;

 private:
  std::mutex mutex;
  std::FILE* file;
  Time start = Clock::now();
};

/// A key of the store.
struct Item {
  std::string value;  // As base64 text.
  std::uint64_t rev = 0;
  std::uint64_t created = 0;
  std::uint64_t lease = 0;
};

/// The platform's metadata store, over HTTP.
class Store {
 public:
  explicit Store(Record& record) : record(record) {}
  /// Starts to listen on a free port of 127.0.0.1 and returns it.
  int Listen();

  void Put(const std::string& key, const std::string& bytes);
  bool Has(const std::string& key);
  /// The decoded value; empty if the key does not exist.
  std::string Get(const std::string& key);

  /// From now on, the answer of each conditional write is lost, and the write is executed `delay`
  /// after its arrival if its condition still holds then.
  void LoseWrites(Millis delay);
  void AnswerWrites();
  /// Refuses all calls with 503, or ends that.
  void SetBusy(bool value);
  /// Number of lost writes that were executed late.
  int LateWrites();
  /// Called with method, path and body for calls that are not the store's; returns status and body.
  std::function<std::pair<int, std::string>(const std::string&, const std::string&,
                                            const std::map<std::string, std::string>&,
                                            const std::string&)>
      other_call;

 private:
  struct Lease {
    Millis ttl{};
    Time end;
  };
  struct Change {
    std::uint64_t rev;
    std::string key;
  };
  void Serve(int socket);
  std::pair<int, std::string> Handle(const std::string& method, const std::string& target,
                                     const std::string& body);
  std::pair<int, std::string> Range(const std::map<std::string, std::string>& query);
  std::pair<int, std::string> Watch(const std::map<std::string, std::string>& query);
  std::pair<int, std::string> Txn(const std::string& body);
  void Sweep();
  void PutLocked(const std::string& key, const std::string& base64, std::uint64_t lease);
  void RemoveLocked(const std::string& key);

  Record& record;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Item> items;
  std::map<std::uint64_t, Lease> leases;
  std::vector<Change> changes;
  std::uint64_t rev = 10;
  std::uint64_t next_lease = 1;
  bool losing = false;
  bool busy = false;
  Millis late{};
  int late_writes = 0;
};

struct Entry {
  std::uint64_t term = 0;
  std::uint64_t number = 0;
  std::string item;
  std::string data;
  std::string id;  // Of the client's statement that committed it.
  Time at;
};

struct Position {
  std::uint64_t term = 0;
  std::uint64_t number = 0;
  bool operator<(const Position& other) const {
    return term != other.term ? term < other.term : number < other.number;
  }
};

struct ClusterOptions {
  std::string service = "orders";
  int instances = 3;
  int slots = 3;
  int max_connections = 21;
  Millis handshake{12};
  Millis statement{5};
  Millis receive_lag{4};
  Millis apply_lag{8};
  Millis promote{300};
};

/// One database: a primary and its replicas, over the wire protocol.
class Cluster {
 public:
  Cluster(ClusterOptions options, Record& record, Store& store);
  void Start();
  /// The instance reports that it is draining.
  void Drain(int number);
  /// The process of the instance ends; its log stays.
  void Crash(int number);
  /// It starts again, as a replica if another instance was promoted meanwhile.
  void Restart(int number);
  int Primary();
  /// Answers POST /failover.
  std::pair<int, std::string> Failover(const std::map<std::string, std::string>& headers,
                                       const std::string& body);
  /// Called when a promotion that changes the primary is accepted.
  std::function<void()> accepted;
  /// Called when a promotion has taken effect.
  std::function<void(int)> promoted;

  struct Commit {
    int instance;
    std::string id;
    std::string data;
    double at;            // Milliseconds since the start.
    int promotions;       // Promotions that had taken effect.
    bool at_old_primary;  // Another instance had been promoted before.
  };
  std::vector<Commit> Commits();
  /// True if the log of the present primary contains a write of `data`.
  bool Contains(const std::string& data);
  std::string IdOf(int number) const { return "i-" + std::to_string(number); }

 private:
  struct Instance {
    int port = 0;
    bool primary = false;
    bool draining = false;
    bool running = true;
    int listener = -1;
    std::uint64_t boot = 1;  // Number of the process.
    std::set<int> sockets;
    std::uint64_t term = 1;
    std::uint64_t seq = 0;
    std::vector<Entry> log;  // Only of an instance that leads or has led without stepping down yet.
    int connections = 0;
    int busy = 0;
  };
  struct Session;
  void Register(int number);
  void Accept(int number, int listener);
  void Serve(int number, int socket);
  std::string Query(int number, Session& session, const std::string& line);
  std::vector<Entry> View(int number, Millis lag, Time now);
  Position End(int number, Millis lag, Time now);
  void StepDown(int number);

  const ClusterOptions options;
  Record& record;
  Store& store;
  std::mutex mutex;
  std::vector<Instance> instances;
  std::vector<Commit> commits;
  int current = 0;
  int promotions = 0;
  std::uint64_t last_fence = 0;
};

/// Helpers over blocking sockets. Listens on `*port`, or on a free one if it is 0.
int ListenOn(int* port);
int ConnectTo(int port);
bool SendAll(int socket, const std::string& bytes);
/// A port of 127.0.0.1 that is free now.
int FreePort();
std::string Encode64(const std::string& bytes);
std::string Decode64(const std::string& text);

}  // namespace review
