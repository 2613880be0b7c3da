// A relay is stopped with SIGTERM and starts again. The store loses the answer of its last write
// and executes that write 1.1 s later. Then the primary is released.
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <mutex>
#include <set>

#include "relays.h"

using namespace review;  // NOLINT: a test program.

int main(int argc, char** argv) {
  const CaseOptions options = ParseOptions(argc, argv);
  const char* const folder = std::getenv("CASE_TEMP");
  Record record(options.folder + "/record.txt");
  Store store(record);
  Cluster cluster(ClusterOptions{}, record, store);
  store.other_call = [&](const std::string&, const std::string& path,
                         const std::map<std::string, std::string>& headers,
                         const std::string& body) {
    return path == "/failover" ? cluster.Failover(headers, body)
                               : std::pair<int, std::string>(404, "{}");
  };
  const int store_port = store.Listen();
  cluster.Start();
  store.Put("op/config", Configuration(3, "orders", 21));

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
  std::this_thread::sleep_for(Millis(6000));

  // Planned work: a relay that does not lead is stopped and starts again at once.
  const std::string leader = LeaderName(store, relays);
  Relay* restarted = nullptr;
  for (const auto& relay : relays) {
    restarted = relay->name != leader && restarted == nullptr ? relay.get() : restarted;
  }
  record.Line("%s leads; %s is restarted", leader.c_str(), restarted->name.c_str());
  if (options.trouble) {
    store.LoseWrites(Millis(1100));
  }
  restarted->Signal(SIGTERM);
  if (!restarted->Wait(Millis(8000))) {
    stop(2, "the relay did not stop");
  }
  store.AnswerWrites();
  std::this_thread::sleep_for(Millis(100));
  restarted->Start();
  if (!Eventually([&] { return restarted->IsReady(); }, Millis(10000))) {
    stop(2, "the restarted relay does not become ready");
  }
  record.Line("%s is ready again", restarted->name.c_str());

  // Clients of the restarted relay.
  struct Write {
    std::string data;
    double sent;
    double answered;
    std::string outcome;
  };
  std::mutex mutex;
  std::map<std::string, Write> writes;  // By id.
  std::atomic<bool> end{false};
  std::vector<std::thread> clients;
  for (int client = 0; client < 8; ++client) {
    clients.emplace_back([&, client] {
      int number = 0;
      while (!end) {
        Client session(restarted->ports.front, "db-primary");
        while (!end && session.Open()) {
          const std::string id = "c" + std::to_string(client) + "x" + std::to_string(++number);
          Write write{"d" + id, record.Now(), 0, ""};
          const Answer answer = session.Execute(id, "WRITE item" + std::to_string(client) + " " +
                                                        write.data);
          write.answered = record.Now();
          write.outcome = !answer.complete ? "broken" : answer.done ? "DONE" : answer.code;
          record.Line("client %d: statement %s sent at %.2f, answer %s %s", client, id.c_str(),
                      write.sent, write.outcome.c_str(), answer.proof.c_str());
          {
            const std::lock_guard<std::mutex> lock(mutex);
            writes[id] = write;
          }
          std::this_thread::sleep_for(Millis(15 + number * 7 % 10));
        }
        std::this_thread::sleep_for(Millis(20));
      }
    });
  }

  // The lost write is executed; then the primary is released.
  if (options.trouble &&
      !Eventually([&] { return store.LateWrites() > 0; }, Millis(5000))) {
    stop(2, "the store lost no write");
  }
  std::this_thread::sleep_for(Millis(options.trouble ? 150 : 800));
  const int old = cluster.Primary();
  cluster.Drain(old);
  const bool replaced = Eventually([&] { return cluster.Primary() != old; }, Millis(12000));
  std::this_thread::sleep_for(Millis(3000));
  end = true;
  for (std::thread& client : clients) {
    client.join();
  }
  if (!replaced) {
    stop(2, "the primary was not replaced");
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
