// The store is down for a moment while a released primary is handed over. Later, the primary crashes
// and comes back while the leader is restarted.
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <mutex>

#include "relays.h"

using namespace review;  // NOLINT: a test program.

int main(int argc, char** argv) {
  const CaseOptions options = ParseOptions(argc, argv);
  const char* const folder = std::getenv("CASE_TEMP");
  Record record(options.folder + "/record.txt");
  Store store(record);
  ClusterOptions database;
  database.promote = Millis(1000);
  database.max_connections = 34;
  database.slots = 5;
  Cluster cluster(database, record, store);
  store.other_call = [&](const std::string&, const std::string& path,
                         const std::map<std::string, std::string>& headers,
                         const std::string& body) {
    return path == "/failover" ? cluster.Failover(headers, body)
                               : std::pair<int, std::string>(404, "{}");
  };
  std::atomic<int> accepted{0};
  cluster.accepted = [&] { ++accepted; };
  const int store_port = store.Listen();
  cluster.Start();
  store.Put("op/config", Configuration(3, "orders", database.max_connections));

  std::vector<std::unique_ptr<Relay>> relays;
  std::string seeds;
  for (int number = 0; number < 3; ++number) {
    relays.push_back(std::make_unique<Relay>("front-" + std::to_string(number),
                                             "zone-" + std::to_string(number),
                                             folder == nullptr ? "." : folder, store_port, record));
    seeds += (seeds.empty() ? "" : ",") + relays.back()->Control();
  }
  for (const auto& relay : relays) {
    relay->SetSeeds(seeds);
    relay->Start();
  }
  const auto stop = [&](int result, const char* text) {
    record.Line("result %d: %s", result, text);
    std::printf("%s\n", text);
    for (const auto& relay : relays) {
      relay->Signal(SIGKILL);
      relay->Wait(Millis(2000));
    }
    std::fflush(stdout);
    std::_Exit(result);
  };
  for (const auto& relay : relays) {
    if (!Eventually([&] { return relay->IsReady(); }, Millis(20000))) {
      stop(2, "a relay does not become ready");
    }
  }
  std::this_thread::sleep_for(Millis(3000));

  // Clients of the relays that do not lead now.
  struct Write {
    double answered;
    std::string outcome;
  };
  const std::string first_leader = LeaderName(store, relays);
  std::mutex mutex;
  std::map<std::string, Write> writes;  // By id.
  std::atomic<bool> end{false};
  std::vector<std::thread> clients;
  for (const auto& relay : relays) {
    for (int client = 0; client < 9 && relay->name != first_leader; ++client) {
      clients.emplace_back([&, client, port = relay->ports.front, name = relay->name] {
        int number = 0;
        while (!end) {
          Client session(port, "db-primary");
          while (!end && session.Open()) {
            const std::string id =
                name.substr(6) + "c" + std::to_string(client) + "x" + std::to_string(++number);
            const double sent = record.Now();
            const Answer answer =
                session.Execute(id, "WRITE item" + std::to_string(client) + " d" + id);
            const std::string outcome =
                !answer.complete ? "broken" : answer.done ? "DONE" : answer.code;
            record.Line("client of %s: statement %s sent at %.2f, answer %s %s", name.c_str(),
                        id.c_str(), sent, outcome.c_str(), answer.proof.c_str());
            {
              const std::lock_guard<std::mutex> lock(mutex);
              writes[id] = Write{record.Now(), outcome};
            }
            std::this_thread::sleep_for(Millis(15 + number * 7 % 10));
          }
          std::this_thread::sleep_for(Millis(20));
        }
      });
    }
  }
  std::this_thread::sleep_for(Millis(1000));

  // The primary is released; the store is down while the new one takes over.
  const int released = cluster.Primary();
  cluster.Drain(released);
  if (!Eventually([&] { return accepted > 0; }, Millis(10000))) {
    stop(2, "the released primary was not handed over");
  }
  if (options.trouble) {
    std::this_thread::sleep_for(Millis(100));
    store.SetBusy(true);
    std::this_thread::sleep_for(Millis(1500));
    store.SetBusy(false);
  }
  std::this_thread::sleep_for(Millis(7000));

  // The leader is restarted, and the primary crashes and comes back.
  const std::string leader = LeaderName(store, relays);
  Relay* restarted = nullptr;
  for (const auto& relay : relays) {
    restarted = relay->name == leader ? relay.get() : restarted;
  }
  if (restarted == nullptr) {
    stop(2, "nobody leads");
  }
  const int primary = cluster.Primary();
  record.Line("%s leads and is restarted", leader.c_str());
  if (options.trouble) {
    cluster.Crash(primary);
  }
  restarted->Signal(SIGTERM);
  if (options.trouble) {
    std::this_thread::sleep_for(Millis(800));
    cluster.Restart(primary);
  }
  restarted->Wait(Millis(8000));
  restarted->Start();
  std::this_thread::sleep_for(Millis(4000));
  end = true;
  for (std::thread& client : clients) {
    client.join();
  }

  // ONE: a write is committed at the old primary after a promote has taken effect, and acknowledged
  // to the client.
  int broken = 0;
  int lost = 0;
  int acknowledged = 0;
  for (const Cluster::Commit& commit : cluster.Commits()) {
    const auto write = writes.find(commit.id);
    const bool done = write != writes.end() && write->second.outcome == "DONE";
    acknowledged += done ? 1 : 0;
    if (done && commit.at_old_primary) {
      ++broken;
      const bool kept = cluster.Contains(commit.data);
      lost += kept ? 0 : 1;
      record.Line("BROKEN ONE: statement %s was committed at %.2f at %s, which had been replaced, "
                  "and acknowledged at %.2f; the present primary %s it",
                  commit.id.c_str(), commit.at, cluster.IdOf(commit.instance).c_str(),
                  write->second.answered, kept ? "has" : "lacks");
    }
  }
  record.Line("%d writes acknowledged, %d of them at a replaced primary, %d of these lost",
              acknowledged, broken, lost);
  if (acknowledged < 50) {
    stop(2, "too few writes were acknowledged");
  }
  stop(broken > 0 ? 1 : 0, broken > 0 ? "ONE is broken" : "ONE holds");
}
