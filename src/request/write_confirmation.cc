#include "write_confirmation.h"

#include <algorithm>
#include <memory>
#include <set>
#include <utility>

namespace sycamoredrum {
namespace {

// Pause before a backend server is asked again after a broken connection or a refusal.
constexpr Duration kAskAgainAfter = std::chrono::milliseconds(50);

class WriteConfirmation : public std::enable_shared_from_this<WriteConfirmation> {
 public:
  WriteConfirmation(const HolderHooks& hooks, const Clock& clock, Scheduler& scheduler,
                    const WriteToConfirm& write, std::function<void(Confirmation)> callback)
      : wait_position(hooks.wait_position),
        clock(clock),
        scheduler(scheduler),
        write(write),
        callback(std::move(callback)) {}

  void Start() {
    const std::size_t servers = this->write.database.backend_servers.size();
    this->copies_needed =
        static_cast<std::size_t>(std::max(this->write.database.acknowledge_copies, 1));
    this->reports_needed = servers / 2 + 1;
    this->copies.insert(this->write.primary);
    this->reports.insert(this->write.primary);
    this->FinishIfDecided();
    if (!this->callback) {
      return;
    }
    this->scheduler.RunAfter(this->Remaining(), [self = this->shared_from_this()] {
      self->Finish(Confirmation::kUnconfirmed);
    });
    for (const BackendServerConfig& server : this->write.database.backend_servers) {
      if (server.id != this->write.primary) {
        this->AskServer(server.id);
      }
    }
  }

 private:
  // Every log contains {0, 0}: such a wait asks for the promised term alone, and is needed where
  // fewer copies than a majority are asked for.
  void AskServer(const std::string& server) {
    if (this->copies_needed > 1) {
      this->Ask(server, this->write.position);
    }
    if (this->copies_needed < this->reports_needed) {
      this->Ask(server, LogPosition{});
    }
  }

  void Ask(const std::string& server, const LogPosition& position) {
    const Duration remaining = this->Remaining();
    if (!this->callback || remaining <= Duration::zero()) {
      return;
    }
    auto answered = std::make_shared<bool>(false);
    this->wait_position(*this->write.database.FindBackendServer(server), position, remaining,
                        [self = this->shared_from_this(), server, position,
                         answered](const std::optional<WaitReply>& reply) {
                          if (!std::exchange(*answered, true)) {
                            self->OnReply(server, position, reply);
                          }
                        });
  }

  void OnReply(const std::string& server, const LogPosition& position,
               const std::optional<WaitReply>& reply) {
    if (!this->callback) {
      return;
    }
    // A promised term never falls, so this server cannot confirm the write any more.
    if (reply && reply->promised_term > this->write.term) {
      this->fenced.insert(server);
      this->FinishIfDecided();
      return;
    }
    if (!reply || !reply->contains) {
      this->scheduler.RunAfter(kAskAgainAfter, [self = this->shared_from_this(), server, position] {
        self->Ask(server, position);
      });
      return;
    }
    this->reports.insert(server);
    if (position == this->write.position) {
      this->copies.insert(server);
    }
    this->FinishIfDecided();
  }

  void FinishIfDecided() {
    if (this->copies.size() >= this->copies_needed &&
        this->reports.size() >= this->reports_needed) {
      this->Finish(Confirmation::kConfirmed);
      return;
    }
    const bool possible = this->Possible(this->copies) >= this->copies_needed &&
                          this->Possible(this->reports) >= this->reports_needed;
    if (!possible) {
      this->Finish(this->fenced.empty() ? Confirmation::kUnconfirmed : Confirmation::kFenced);
    }
  }

  // Backend servers that have confirmed or still may.
  std::size_t Possible(const std::set<std::string>& confirmed) const {
    const auto& servers = this->write.database.backend_servers;
    return static_cast<std::size_t>(std::count_if(
        servers.begin(), servers.end(), [this, &confirmed](const BackendServerConfig& server) {
          return confirmed.count(server.id) != 0 || this->fenced.count(server.id) == 0;
        }));
  }

  void Finish(Confirmation result) {
    if (auto report = std::exchange(this->callback, nullptr)) {
      report(result);
    }
  }

  Duration Remaining() const { return this->write.deadline - this->clock.Now(); }

  decltype(HolderHooks::wait_position) wait_position;
  const Clock& clock;
  Scheduler& scheduler;
  WriteToConfirm write;
  std::function<void(Confirmation)> callback;  ///< Empty once the result is reported.
  std::size_t copies_needed = 0;
  std::size_t reports_needed = 0;
  std::set<std::string> copies;
  std::set<std::string> reports;  ///< Promised terms not above the write's term.
  std::set<std::string> fenced;
};

}  // namespace

void ConfirmWrite(const HolderHooks& hooks, const Clock& clock, Scheduler& scheduler,
                  const WriteToConfirm& write, std::function<void(Confirmation)> callback) {
  std::make_shared<WriteConfirmation>(hooks, clock, scheduler, write, std::move(callback))->Start();
}

}  // namespace sycamoredrum
