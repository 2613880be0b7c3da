#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sycamoredrum/byte_stream.h"
#include "sycamoredrum/event_loop.h"
#include "sycamoredrum/http.h"

namespace sycamoredrum {

/// Stand-in of the users' platform on loopback, for tests of real relay processes. It provides the
/// store, the call that promotes a backend server, and one database whose backend servers use the
/// platform's wire protocol; a commit takes effect on all running ones at once. The public methods
/// may be called by any thread; they run on the worker of the stand-in. Backend servers are
/// numbered from 0 and have the ids i-0, i-1 and so on.
class StandinUsersPlatform {
 public:
  /// Starts `backend_server_count` backend servers. The first one is the primary.
  explicit StandinUsersPlatform(int backend_server_count);
  ~StandinUsersPlatform();
  StandinUsersPlatform(const StandinUsersPlatform&) = delete;
  StandinUsersPlatform& operator=(const StandinUsersPlatform&) = delete;

  /// Address of the store and of the call that promotes a backend server.
  Endpoint Address() const { return this->address; }

  /// Writes the operator's configuration with this version. Each route is NAME=TYPE.
  /// `organisations` is the list of organisations in JSON; if it is empty, the configuration has no
  /// list. A backend server admits `connection_cap` connections.
  void Configure(int version, const std::vector<std::string>& routes,
                 const std::string& organisations = "", int connection_cap = 21);
  /// Stops a backend server and closes its connections, as if its process had been killed.
  void KillBackendServer(int number);
  /// Sets the record of a backend server to draining, which announces its stop.
  void DrainBackendServer(int number);
  /// Sets the time that each statement takes on every backend server.
  void SetStatementTime(Duration time);
  /// Makes the backend servers send every n-th answer a second time, with a delay that goes through
  /// the milliseconds from 3 to 40.
  void RepeatAnswers(int one_in);
  /// Makes the store and the promotion call answer with status 503, or ends that.
  void SetStoreDown(bool down);

  /// Saves a copy of the store. Until then, the copy is empty.
  void SaveStore();
  /// Replaces the content of the store by the saved copy: keys, leases and revisions go back, and
  /// the era that the store reports rises by one. Running backend servers register again.
  void RestoreStore();

  /// Writes a key of the store, as another writer would.
  void WriteKey(const std::string& key, const std::string& value);
  /// True if the store holds the key.
  bool HasKey(const std::string& key);
  /// Number of the backend server that is primary.
  int Primary();
  /// Number of promotions so far.
  int Promotions();
  /// Value of an item on a backend server, or nothing if it was never written there.
  std::optional<std::string> ValueAt(int number, const std::string& item);
  /// Number of commits that contained a write of `data`.
  int CommitsOf(const std::string& data);

  /// A statement that a backend server has run.
  struct RunStatement {
    std::string id;
    std::string text;                              ///< Without a required position.
    std::map<std::string, std::string> variables;  ///< Of the connection.
    std::string proof;                             ///< In its answer; differs from all others.
    std::string prepared;  ///< What the executed name was prepared as; empty for other statements.
    int transaction = 0;   ///< Number of its transaction among those of all servers; 0: none.
  };
  /// The reads, writes and commits that all backend servers have run, and executions of prepared
  /// statements. Not the statements of the relays themselves.
  std::vector<RunStatement> RunStatements();

 private:
  struct State;
  Endpoint address;
  std::unique_ptr<State> state;
};

}  // namespace sycamoredrum
