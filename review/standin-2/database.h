#pragma once

// Stand-in of one database: a primary and its replicas, each with a log, slots and connections.

#include <deque>
#include <fstream>
#include <iomanip>
#include <sstream>

#include "platform.h"

namespace review {

/// Writes lines with the time since the start to record.txt.
class Record {
 public:
  explicit Record(const std::string& path) : file(path), started(Clock::now()) {}
  void Line(const std::string& text) {
    const double seconds = std::chrono::duration<double>(Clock::now() - this->started).count();
    this->file << std::fixed << std::setprecision(3) << seconds << " " << text << "\n";
    this->file.flush();
  }

 private:
  std::ofstream file;
  TimePoint started;
};

inline std::vector<std::string> Words(const std::string& line) {
  std::istringstream stream(line);
  std::vector<std::string> words;
  for (std::string word; stream >> word;) {
    words.push_back(word);
  }
  return words;
}

/// Takes one line that ends with CR LF from the front of `input`.
inline bool TakeLine(std::string& input, std::string& line) {
  const std::size_t end = input.find("\r\n");
  if (end == std::string::npos) {
    return false;
  }
  line = input.substr(0, end);
  input.erase(0, end + 2);
  return true;
}

struct DatabaseOptions {
  std::string service = "orders";
  int instances = 3;
  int sync_replicas = 0;
  int slots = 3;
  std::size_t queue = 24;
  int max_connections = 21;
  Milliseconds replication_lag{8};
  Milliseconds promotion_time{300};
  Milliseconds handshake_time{12};
  Milliseconds read_time{40};
  Milliseconds write_time{8};
};

class Database {
 public:
  struct Entry {
    std::uint64_t term = 0;
    std::uint64_t number = 0;
    std::map<std::string, std::string> writes;
  };

  Database(EventLoop& loop, Store& store, Record& record, const std::string& host,
           DatabaseOptions options)
      : loop(loop), store(store), record(record), host(host), options(std::move(options)) {
    for (int i = 0; i < this->options.instances; ++i) {
      this->AddInstance(i);
    }
    this->instances[0]->primary = true;
    this->Beat();
  }

  /// The call that designates the instance that takes over.
  std::uint16_t ServeFailover() {
    return this->loop.Listen(this->host, 0, [this](const StreamPointer& stream) {
      const std::weak_ptr<Stream> weak = stream;
      stream->received = [this, weak] {
        const StreamPointer open = weak.lock();
        HttpMessage message;
        while (open && open->Open() && TakeHttpMessage(open->input, message)) {
          SendHttp(open, this->Failover(message), Json::object());
        }
      };
    });
  }

  /// Ends the instance as a crash does: its connections and its address are closed.
  void Crash(int number) {
    Instance& instance = *this->instances[static_cast<std::size_t>(number)];
    this->record.Line("instance " + instance.id + " crashes at " + Position(instance));
    instance.running = false;
    this->loop.StopListening(instance.address);
    for (const auto& connection : instance.connections) {
      connection->stream->Close();
    }
    instance.connections.clear();
    instance.waiting.clear();
    instance.unacknowledged.clear();
  }

  /// While it is set, a replica receives nothing.
  void SetDeaf(int number, bool deaf) {
    Instance& instance = *this->instances[static_cast<std::size_t>(number)];
    instance.deaf = deaf;
    this->record.Line("instance " + instance.id + (deaf ? " receives nothing" : " receives again") +
                      ", it is at " + Position(instance));
    if (!deaf) {
      this->Replicate();
    }
  }

  int PrimaryNumber() const {
    for (const auto& instance : this->instances) {
      if (instance->primary && instance->running) {
        return instance->number;
      }
    }
    return -1;
  }

  /// True if the log of an instance contains a commit that wrote `data`.
  bool Contains(int number, const std::string& data) const {
    for (const Entry& entry : this->instances[static_cast<std::size_t>(number)]->log) {
      for (const auto& [item, written] : entry.writes) {
        if (written == data) {
          return true;
        }
      }
    }
    return false;
  }

  std::string PositionOf(int number) const {
    return Position(*this->instances[static_cast<std::size_t>(number)]);
  }
  std::size_t QueueOf(int number) const {
    return this->instances[static_cast<std::size_t>(number)]->waiting.size();
  }
  const std::string& Id(int number) const {
    return this->instances[static_cast<std::size_t>(number)]->id;
  }
  std::function<void(int number)> promoted;  ///< Called when a promotion takes effect.

 private:
  struct Connection {
    StreamPointer stream;
    bool transaction = false;
    bool read_only = false;
    bool failed = false;
    std::map<std::string, std::string> writes;
    std::map<std::string, std::string> prepared;
  };
  using ConnectionPointer = std::shared_ptr<Connection>;
  struct Work {
    Milliseconds time{};
    std::function<void()> done;
  };
  struct Instance {
    int number = 0;
    std::string id;
    std::string address;
    bool running = true;
    bool primary = false;
    bool deaf = false;
    std::uint64_t term = 1;
    std::vector<Entry> log;
    int busy = 0;
    std::deque<Work> waiting;
    std::vector<ConnectionPointer> connections;
    /// Number of the commit and the answer that waits for a replica to receive it.
    std::vector<std::pair<std::uint64_t, std::function<void()>>> unacknowledged;
    std::uint64_t seq = 0;
  };

  static std::uint64_t Number(const Instance& instance) {
    return instance.log.empty() ? 1 : instance.log.back().number;
  }
  static std::uint64_t LogTerm(const Instance& instance) {
    return instance.log.empty() ? 1 : instance.log.back().term;
  }
  static std::string Position(const Instance& instance) {
    return std::to_string(LogTerm(instance)) + "." + std::to_string(Number(instance));
  }

  void AddInstance(int number) {
    auto instance = std::make_unique<Instance>();
    instance->number = number;
    instance->id = "i-" + std::to_string(number);
    const std::uint16_t port =
        this->loop.Listen(this->host, 0, [this, number](const StreamPointer& stream) {
          this->Accept(*this->instances[static_cast<std::size_t>(number)], stream);
        });
    instance->address = this->host + ":" + std::to_string(port);
    this->instances.push_back(std::move(instance));
  }

  void Beat() {
    for (const auto& instance : this->instances) {
      if (instance->running) {
        this->WriteRecord(*instance);
      }
    }
    this->loop.RunAfter(Milliseconds(1200), [this] { this->Beat(); });
  }

  void WriteRecord(Instance& instance) {
    const Json record = {{"service", this->options.service},
                         {"addr", instance.address},
                         {"zone", "dc" + std::to_string(instance.number + 1)},
                         {"version", "v1"},
                         {"slots", this->options.slots},
                         {"state", "ready"},
                         {"coldLeftMs", 0},
                         {"dbRole", instance.primary ? "primary" : "replica"},
                         {"seq", ++instance.seq},
                         {"born", 1765000000000}};
    this->store.Put("servers/" + instance.id, record.dump());
  }

  int Failover(const HttpMessage& message) {
    const std::string id = Json::parse(message.body).at("id");
    this->record.Line("failover to " + id + " called by " + message.headers.at("lease-holder") +
                      " with fence " + message.headers.at("fence-token"));
    for (const auto& instance : this->instances) {
      if (instance->id == id && instance->running) {
        if (!instance->primary) {
          this->loop.RunAfter(this->options.promotion_time,
                              [this, number = instance->number] { this->Promote(number); });
        }
        return 200;
      }
    }
    return 409;
  }

  void Promote(int number) {
    Instance& target = *this->instances[static_cast<std::size_t>(number)];
    if (target.primary || !target.running) {
      return;
    }
    target.primary = true;
    target.term = ++this->term;
    this->record.Line("instance " + target.id + " leads term " + std::to_string(target.term) +
                      " from " + Position(target));
    this->WriteRecord(target);
    for (const auto& other : this->instances) {
      // Replicas that were ahead are rolled back.
      if (other->running && !other->primary && other->log.size() > target.log.size()) {
        other->log.resize(target.log.size());
      }
    }
    if (this->promoted) {
      this->promoted(number);
    }
    this->Replicate();
  }

  void Replicate() {
    for (const auto& source : this->instances) {
      if (!source->primary || !source->running || source->term != this->term) {
        continue;
      }
      for (const auto& replica : this->instances) {
        if (replica->primary || replica->deaf || !replica->running) {
          continue;
        }
        const std::vector<Entry> entries = source->log;
        this->loop.RunAfter(
            this->options.replication_lag,
            [this, entries, source = source.get(), replica = replica.get(), term = source->term] {
              if (replica->deaf || !replica->running || replica->primary || term != this->term) {
                return;
              }
              if (replica->log.size() < entries.size()) {
                replica->log = entries;
              }
              replica->term = term;
              this->Acknowledge(*source, Number(*replica));
            });
      }
    }
  }

  // Answers the commits that a replica has received.
  void Acknowledge(Instance& primary, std::uint64_t received) {
    std::vector<std::pair<std::uint64_t, std::function<void()>>> left;
    std::vector<std::function<void()>> done;
    for (auto& [number, answer] : primary.unacknowledged) {
      if (number <= received) {
        done.push_back(std::move(answer));
      } else {
        left.emplace_back(number, std::move(answer));
      }
    }
    primary.unacknowledged = std::move(left);
    for (const auto& answer : done) {
      answer();
    }
  }

  void Accept(Instance& instance, const StreamPointer& stream) {
    auto connection = std::make_shared<Connection>();
    connection->stream = stream;
    const std::weak_ptr<Connection> weak = connection;
    stream->received = [this, &instance, weak] {
      const ConnectionPointer open = weak.lock();
      std::string line;
      while (open && open->stream->Open() && TakeLine(open->stream->input, line)) {
        this->HandleLine(instance, open, line);
      }
    };
    stream->closed = [&instance, weak] {
      auto& all = instance.connections;
      all.erase(std::remove(all.begin(), all.end(), weak.lock()), all.end());
    };
    instance.connections.push_back(connection);
  }

  // A slot is occupied for `time`. Returns false if all slots are busy and the queue is full.
  bool Occupy(Instance& instance, Milliseconds time, std::function<void()> done) {
    if (instance.busy >= this->options.slots && instance.waiting.size() >= this->options.queue) {
      return false;
    }
    instance.waiting.push_back(Work{time, std::move(done)});
    this->StartWork(instance);
    return true;
  }

  void StartWork(Instance& instance) {
    while (instance.running && instance.busy < this->options.slots && !instance.waiting.empty()) {
      const Work work = std::move(instance.waiting.front());
      instance.waiting.pop_front();
      ++instance.busy;
      this->loop.RunAfter(work.time, [this, &instance, work] {
        --instance.busy;
        if (instance.running) {
          work.done();
          this->StartWork(instance);
        }
      });
    }
  }

  static std::string Ready(const Instance& instance, const Connection& connection) {
    const char* state = connection.failed ? "E " : connection.transaction ? "T " : "I ";
    return std::string("READY ") + state + Position(instance) + "\r\n";
  }

  static void Answer(const Instance& instance, const ConnectionPointer& connection,
                     const std::string& text) {
    if (text.rfind("ERR", 0) == 0 && connection->transaction) {
      connection->failed = true;
    }
    connection->stream->Send(text + "\r\n" + Ready(instance, *connection));
  }

  void HandleLine(Instance& instance, const ConnectionPointer& connection,
                  const std::string& line) {
    const std::vector<std::string> words = Words(line);
    if (words.empty()) {
      return;
    }
    if (words[0] == "STARTUP") {
      if (static_cast<int>(instance.connections.size()) > this->options.max_connections) {
        connection->stream->Send("ERR TOOMANY\r\n");
        connection->stream->Close();
        auto& all = instance.connections;
        all.erase(std::remove(all.begin(), all.end(), connection), all.end());
        return;
      }
      if (words[1] != this->options.service || (words.size() > 3 && words[3] != instance.id)) {
        connection->stream->Send("ERR MISROUTED\r\n");
        return;
      }
      // A connection below the cap always gets its slot in the end.
      instance.waiting.push_back(Work{this->options.handshake_time, [&instance, connection] {
                                        connection->stream->Send(Ready(instance, *connection));
                                      }});
      this->StartWork(instance);
      return;
    }
    if (words[0] == "BYE") {
      connection->stream->Close();
      return;
    }
    this->Query(instance, connection, words);
  }

  // words: QUERY id [AFTER position] text
  void Query(Instance& instance, const ConnectionPointer& connection,
             std::vector<std::string> words) {
    const std::string id = words[1];
    words.erase(words.begin(), words.begin() + 2);
    if (words[0] == "AFTER") {
      const std::string position = words[1];
      words.erase(words.begin(), words.begin() + 2);
      const std::size_t dot = position.find('.');
      const std::pair<std::uint64_t, std::uint64_t> wanted(std::stoull(position.substr(0, dot)),
                                                           std::stoull(position.substr(dot + 1)));
      const std::pair<std::uint64_t, std::uint64_t> present(LogTerm(instance), Number(instance));
      if (present < wanted) {
        Answer(instance, connection, "ERR LAGGING " + instance.id);
        return;
      }
    }
    const std::string& word = words[0];
    if (connection->failed && word != "ROLLBACK" && word != "COMMIT") {
      Answer(instance, connection, "ERR MALFORMED");
    } else if (word == "STATUS") {
      this->Status(instance, connection);
    } else if (word == "STEPDOWN") {
      if (instance.primary && instance.term < std::stoull(words[1])) {
        instance.primary = false;
        this->record.Line("instance " + instance.id + " steps down");
      }
      this->Status(instance, connection);
    } else if (word == "BEGIN") {
      const bool read_only = words.size() > 1;
      if (!read_only && !instance.primary) {
        Answer(instance, connection, "ERR READONLY " + instance.id);
        return;
      }
      connection->transaction = true;
      connection->read_only = read_only;
      Answer(instance, connection, "DONE -");
    } else if (word == "ROLLBACK" || (word == "COMMIT" && connection->failed)) {
      connection->transaction = connection->failed = false;
      connection->writes.clear();
      Answer(instance, connection, word == "ROLLBACK" ? "DONE -" : "ERR ABORTED");
    } else if (word == "SET" || word == "CLOSE" || word == "RESET") {
      Answer(instance, connection, "DONE -");
    } else if (word == "PREPARE") {
      connection->prepared[words[1]] = words[2];  // READ or WRITE; the shape is not kept.
      Answer(instance, connection, "DONE -");
    } else {
      this->Run(instance, connection, id, words);
    }
  }

  void Status(Instance& instance, const ConnectionPointer& connection) {
    const bool room = this->Occupy(instance, Milliseconds(1), [&instance, connection] {
      Answer(instance, connection,
             std::string("ROW ") + (instance.primary ? "primary " : "replica ") +
                 std::to_string(instance.term) + " " + Position(instance) + " 0 0 0 0\r\nDONE -");
    });
    if (!room) {
      Answer(instance, connection, "ERR BUSY " + instance.id);
    }
  }

  // Reads, writes and commits.
  void Run(Instance& instance, const ConnectionPointer& connection, const std::string& id,
           const std::vector<std::string>& words) {
    const bool read =
        words[0] == "READ" || (words[0] == "EXEC" && connection->prepared[words[1]] == "READ");
    const bool commit = words[0] == "COMMIT";
    const bool nothing_written = commit && connection->writes.empty();
    const bool plain = connection->transaction && !connection->read_only;
    if (!instance.primary && !nothing_written && (!read || plain)) {
      Answer(instance, connection, "ERR READONLY " + instance.id);
      return;
    }
    const Milliseconds time = read ? this->options.read_time : this->options.write_time;
    const bool room =
        this->Occupy(instance, time, [this, &instance, connection, id, words, read, commit] {
          std::string text;
          for (const std::string& word : words) {
            text += " " + word;
          }
          this->record.Line(instance.id + " at " + Position(instance) + " runs " + id + text);
          if (!connection->stream->Open()) {
            return;
          }
          const std::string proof = "DONE proof." + std::to_string(++this->runs);
          if (read) {
            this->ReadItem(instance, connection, words.back(), proof);
            return;
          }
          if (!commit) {
            const std::size_t item = words[0] == "EXEC" ? 2 : 1;
            connection->writes[words[item]] = words.size() > item + 1 ? words[item + 1] : "";
            if (connection->transaction) {
              Answer(instance, connection, proof);
              return;
            }
          }
          this->Commit(instance, connection, proof);
        });
    if (!room) {
      Answer(instance, connection, "ERR BUSY " + instance.id);
    }
  }

  void ReadItem(const Instance& instance, const ConnectionPointer& connection,
                const std::string& item, const std::string& proof) {
    std::string value;
    for (auto entry = instance.log.rbegin(); entry != instance.log.rend(); ++entry) {
      const auto found = entry->writes.find(item);
      if (found != entry->writes.end()) {
        value = found->second;
        break;
      }
    }
    Answer(instance, connection, "ROW " + value + "\r\n" + proof);
  }

  void Commit(Instance& instance, const ConnectionPointer& connection, const std::string& proof) {
    connection->transaction = false;
    const auto writes = std::exchange(connection->writes, {});
    if (writes.empty()) {
      Answer(instance, connection, proof);
      return;
    }
    instance.log.push_back(Entry{instance.term, Number(instance) + 1, writes});
    const auto answer = [&instance, connection, proof] { Answer(instance, connection, proof); };
    if (this->options.sync_replicas == 0) {
      answer();
    } else {
      instance.unacknowledged.emplace_back(Number(instance), answer);
    }
    this->Replicate();
  }

  EventLoop& loop;
  Store& store;
  Record& record;
  const std::string host;
  const DatabaseOptions options;
  std::vector<std::unique_ptr<Instance>> instances;
  std::uint64_t term = 1;
  std::uint64_t runs = 0;
};

}  // namespace review
