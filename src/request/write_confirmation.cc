#include "write_confirmation.h"

#include <algorithm>
#include <memory>
#include <set>
#include <utility>

namespace sycamoredrum {
namespace {

// Delay before a wait is repeated after a broken connection or a reply without the position.
constexpr Duration kRetryDelay = std::chrono::milliseconds(50);

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
    this->majority = servers / 2 + 1;
    this->copies.insert(this->write.primary);
    this->unfenced.insert(this->write.primary);
    this->FinishIfDecided();
    if (!this->callback) {
      return;
    }
    this->scheduler.RunAfter(this->Remaining(), [self = this->shared_from_this()] {
      self->Finish(Confirmation::kUnconfirmed);
    });
    for (const BackendServerConfig& server : this->write.database.backend_servers) {
      if (server.id != this->write.primary) {
        this->WaitForServer(server.id);
      }
    }
  }

 private:
  // Every log contains {0, 0}, so a wait for that position only queries the promised term. It is
  // needed if fewer copies than a majority are required, because servers without the write then
  // count towards the majority.
  void WaitForServer(const std::string& server) {
    if (this->copies_needed > 1) {
      this->WaitForPosition(server, this->write.position);
    }
    if (this->copies_needed < this->majority) {
      this->WaitForPosition(server, LogPosition{});
    }
  }

  void WaitForPosition(const std::string& server, const LogPosition& position) {
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
    // A promised term never decreases, so this server can no longer confirm the write.
    if (reply && reply->promised_term > this->write.term) {
      this->fenced.insert(server);
      this->FinishIfDecided();
      return;
    }
    if (!reply || !reply->contains) {
      this->scheduler.RunAfter(kRetryDelay, [self = this->shared_from_this(), server, position] {
        self->WaitForPosition(server, position);
      });
      return;
    }
    this->unfenced.insert(server);
    if (position == this->write.position) {
      this->copies.insert(server);
    }
    this->FinishIfDecided();
  }

  void FinishIfDecided() {
    if (this->copies.size() >= this->copies_needed && this->unfenced.size() >= this->majority) {
      this->Finish(Confirmation::kConfirmed);
      return;
    }
    const bool possible = this->CountPossible(this->copies) >= this->copies_needed &&
                          this->CountPossible(this->unfenced) >= this->majority;
    if (!possible) {
      this->Finish(this->fenced.empty() ? Confirmation::kUnconfirmed : Confirmation::kFenced);
    }
  }

  // Number of backend servers that are in `confirmed` or can still be added to it.
  std::size_t CountPossible(const std::set<std::string>& confirmed) const {
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
  std::size_t majority = 0;
  std::set<std::string> copies;
  std::set<std::string> unfenced;  ///< Servers that reported no promised term above the write's.
  std::set<std::string> fenced;    ///< Servers that promised a higher term.
};

}  // namespace

void ConfirmWrite(const HolderHooks& hooks, const Clock& clock, Scheduler& scheduler,
                  const WriteToConfirm& write, std::function<void(Confirmation)> callback) {
  std::make_shared<WriteConfirmation>(hooks, clock, scheduler, write, std::move(callback))->Start();
}

}  // namespace sycamoredrum
