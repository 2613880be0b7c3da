// Starts relay processes with the command and the settings template of the deploy file, and
// clients that use them.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "cluster.h"

namespace review {

struct RelayAddresses {
  int front = 0;
  int ready = 0;
  int control = 0;
  int metrics = 0;
};

/// One machine of the fleet. Its process may be stopped and started again.
class Relay {
 public:
  Relay(std::string name, std::string zone, std::string folder, int store_port, Record& record);
  ~Relay();
  void SetSeeds(const std::string& seeds) { this->seeds = seeds; }
  std::string Control() const;
  void Start();
  void Signal(int signal);
  /// Waits for the end of the process; kills it after `limit`. Returns false if it was killed.
  bool Wait(Millis limit);
  bool Running();
  bool IsReady() const;

  const std::string name;
  RelayAddresses ports;

 private:
  std::string RenderSettings() const;

  const std::string zone;
  const std::string folder;
  const int store_port;
  Record& record;
  std::string seeds;
  pid_t pid = -1;
  int starts = 0;
};

template <typename Condition>
bool Eventually(Condition condition, Millis limit) {
  const Time end = Clock::now() + limit;
  while (!condition()) {
    if (Clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(Millis(5));
  }
  return true;
}

/// The operator's configuration: one service, and a route of each type.
std::string Configuration(int version, const std::string& service, int max_connections);

/// Answer of one statement.
struct Answer {
  bool complete = false;  ///< A READY line followed.
  bool done = false;      ///< DONE instead of ERR.
  std::string code;       ///< Of ERR.
  std::string proof;
  std::vector<std::string> rows;
  std::string state;
};

/// A client's session.
class Client {
 public:
  Client(int port, const std::string& route);
  ~Client();
  bool Open() const { return this->open; }
  Answer Execute(const std::string& id, const std::string& text);

 private:
  bool ReadLine(std::string* line);
  int socket;
  bool open = false;
  std::string buffer;
};

/// Folder of the case, from the command line, and whether the disruption happens.
struct CaseOptions {
  std::string folder;
  bool trouble = true;
};
CaseOptions ParseOptions(int argc, char** argv);

/// Name of the relay that holds the leader's key, or an empty text.
std::string LeaderName(Store& store, const std::vector<std::unique_ptr<Relay>>& relays);

}  // namespace review
